"""What the fleet's tasks tell each other and hear from the node."""

import dataclasses
import typing

from guavachute.decide.fleet import fleet_view
from guavachute.decide.fleet import market
from guavachute.decide.fleet import placement
from guavachute.decide.fleet import purchases
from guavachute.decide.fleet import replacement_wave
from guavachute.decide.fleet import rollout
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute import outcome
from guavachute.services import log_writer
from guavachute.wire import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A lease that is safely held now.

    :ivar term_offset: where the holder's term began, for records
    :ivar fencing_number: for orders to engines
    """

    name: str
    term_offset: ids.Offset
    fencing_number: ids.Offset


HeldNow = typing.Callable[[], Held | None]
"""Looks at the clock and says whether the lease is held at this moment;
safe to call from any thread."""

QueueAppend = typing.Callable[[log_writer.Append], None]
"""Queues an append to the control stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSeen:
    """The routers' sums, as the node knows them."""

    sums: tuple[requests.DemandSum, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OfferedLoad:
    """What callers ask for, summed over all routers.

    :ivar by_model: tokens/s, refused requests included
    :ivar by_pool: the same by workspace, with the workspaces' shares
    """

    by_model: typing.Mapping[ids.ModelName, float]
    by_pool: typing.Mapping[
        ids.PoolName, tuple[replacement_wave.WorkspaceLoad, ...]
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionHealth:
    """What ran on the old and the new version of a model so far."""

    model: ids.ModelName
    old: rollout.Health
    new: rollout.Health


@dataclasses.dataclass(frozen=True, slots=True)
class StartVm:
    """Order the VM called *name*.

    :ivar reply: gets the :class:`StartDone`
    :ivar from_allowance: under an allowance, which needs no lease
    """

    name: str
    pool: ids.PoolName
    offer: market.OfferKey
    reply: mailbox.Mailbox
    from_allowance: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EndVm:
    """End one VM.

    :ivar reply: gets the :class:`EndDone`
    """

    vm: ids.VmId
    name: str
    reply: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class StartDone:
    """What came of a :class:`StartVm`.

    :ivar result: the VM; or a failure, of which ``LOST_ANSWER`` leaves
        open whether there is one and ``SUPERSEDED`` means that the order
        was not sent because the lease had gone
    """

    order: StartVm
    result: purchases.ListedVm | outcome.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class EndDone:
    """What came of an :class:`EndVm`."""

    order: EndVm
    failure: outcome.Failure | None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWish:
    """The wished state of one engine.

    :ivar wish: None only asks what the engine reports
    """

    endpoint: ids.EndpointId
    address: ids.Address
    wish: placement.Wish | None


@dataclasses.dataclass(frozen=True, slots=True)
class Wishes:
    """The wishes for all engines, in place of those sent before.

    :ivar reply: gets an :class:`EngineReported` for each answer
    """

    wishes: tuple[EngineWish, ...]
    reply: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReported:
    """What one engine reported."""

    report: fleet_view.EngineReport
