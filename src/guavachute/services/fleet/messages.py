"""Messages between the fleet's tasks, and from the node to them."""

import dataclasses
import typing

from guavachute.decide.fleet import fleet_state
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
class HeldLease:
    """A lease that is safely held now.

    :ivar term_offset: the offset at which the holder's term started,
        which the holder's records carry
    :ivar fencing_number: the number that orders to engines carry
    """

    name: str
    term_offset: ids.Offset
    fencing_number: ids.Offset


HeldNow = typing.Callable[[], HeldLease | None]
"""Returns the lease if it is held at this moment, else None; safe to
call from any thread."""

QueueAppend = typing.Callable[[log_writer.Append], None]
"""Queues an append to the control stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReported:
    """The demand sums of all routers, as far as the node knows them."""

    sums: tuple[requests.DemandSum, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OfferedLoad:
    """The load that callers offer, summed over all routers.

    :ivar by_model: tokens/s of each model, rejected requests included
    :ivar by_pool: the load of each workspace in each pool, with the
        workspaces' shares
    """

    by_model: typing.Mapping[ids.ModelName, float]
    by_pool: typing.Mapping[
        ids.PoolName, tuple[replacement_wave.WorkspaceLoad, ...]
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionHealth:
    """Requests and errors of two versions of a model.

    Each message counts what ran since the one before.
    """

    model: ids.ModelName
    old: rollout.Health
    new: rollout.Health


@dataclasses.dataclass(frozen=True, slots=True)
class StartVm:
    """The order to start one VM.

    :ivar name: the name in the purchase's record, used once
    :ivar reply: receives the :class:`StartDone`
    :ivar from_allowance: whether it is bought from an allowance, which
        needs no lease
    """

    name: str
    pool: ids.PoolName
    offer: market.OfferKey
    reply: mailbox.Mailbox
    from_allowance: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EndVm:
    """The order to end one VM.

    :ivar reply: receives the :class:`EndDone`
    """

    vm: ids.VmId
    name: str
    reply: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class StartDone:
    """The result of a :class:`StartVm`.

    :ivar result: the VM, or a failure. After ``LOST_ANSWER`` the VM may
        exist, now or later; after ``SUPERSEDED`` the order wasn't sent,
        because the lease was no longer held.
    """

    order: StartVm
    result: purchases.ListedVm | outcome.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class EndDone:
    """The result of an :class:`EndVm`; *failure* is None on success."""

    order: EndVm
    failure: outcome.Failure | None


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredEngine:
    """The desired state of one engine.

    :ivar desired: None if the engine gets no order and is only queried
    """

    endpoint: ids.EndpointId
    address: ids.Address
    desired: placement.DesiredState | None


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredEngines:
    """The desired states of all engines; replaces the previous ones.

    :ivar reply: receives an :class:`EngineReported` for each answer
    """

    engines: tuple[DesiredEngine, ...]
    reply: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReported:
    """The report of one engine."""

    report: fleet_state.EngineReport
