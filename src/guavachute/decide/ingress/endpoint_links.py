"""What this node's own connections show of its links to endpoints.

A failed connection says that the endpoint, its VM, or the link between it and
this node is broken. Only what other nodes get from the same endpoint tells
these apart. A node counts as cut off if it hears no endpoint at all, contacts
with several fail, and another node has heard one of those since. If no node
hears them, the endpoints are at fault; if this node hears others, single links
are, which needs no judgement beyond those links.
"""

import dataclasses
import enum
import typing

from guavachute import ids

NEVER_S = float('-inf')

MIN_FAILING = 2
"""Endpoints whose contacts have to fail before the node may be cut off."""

PROOF_MARGIN_S = 0.1
"""Another node's contact counts as later than a failure by at least this: it
is told in steps of a tenth of a second, and updates take time."""

REGAINED_CONTACTS = 2
"""Contacts that have to work in a row before the node is no longer cut off;
lossy links let single ones through."""

SILENT_S = 0.7
"""If requests wait at an endpoint, and nothing was heard from it for this long
although another node heard it, or nothing from any endpoint, the link is
tested with a new connection. A sound endpoint may fall silent for a second,
but others don't hear it then either."""


ESTABLISHED_TTL_S = 1.0
"""A test connection shows for this long that the links of this node work."""


class LinkState(enum.Enum):
    """Whether this node reaches endpoints."""

    OPEN = 'open'
    CUT = 'cut'
    """No endpoint is reached from here, while other nodes reach some."""


HeardByOthers = typing.Callable[[ids.Address], float]
"""Gives the time at which another node last heard an endpoint."""


@dataclasses.dataclass(slots=True)
class _Failing:
    """Contacts with one address that have failed since it was last heard.

    :ivar since_s: when the first of them began
    :ivar failed_s: when the latest of them failed
    """

    since_s: float
    failed_s: float


@dataclasses.dataclass(slots=True)
class _Waiting:
    """Requests at one address.

    :ivar since_s: since when nothing was heard from it while they wait
    :ivar requests: how many have not ended
    """

    since_s: float
    requests: int


class EndpointLinks:
    """The contacts of this node with the addresses of endpoints.

    :ivar state: as of the last call of :meth:`assess`
    """

    def __init__(self) -> None:
        self.state = LinkState.OPEN
        self._heard_s: dict[ids.Address, float] = {}
        self._waiting: dict[ids.Address, _Waiting] = {}
        self._failing: dict[ids.Address, _Failing] = {}
        self._any_heard_s = NEVER_S
        self._established_s = NEVER_S
        self._contacts_since_cut = 0

    @property
    def is_cut(self) -> bool:
        """Whether no endpoint is reached from here, as far as is known."""
        return self.state is LinkState.CUT

    def record_sent(self, address: ids.Address, now_s: float) -> None:
        """Record a request that is sent to an endpoint."""
        waiting = self._waiting.setdefault(address, _Waiting(now_s, 0))
        waiting.requests += 1

    def record_ended(self, address: ids.Address) -> None:
        """Record the end of a request that was sent to an endpoint."""
        waiting = self._waiting.get(address)
        if waiting is not None:
            waiting.requests -= 1
            if waiting.requests <= 0:
                del self._waiting[address]

    def record_heard(self, address: ids.Address, now_s: float) -> None:
        """Record bytes from an endpoint."""
        self._heard_s[address] = self._any_heard_s = now_s
        waiting = self._waiting.get(address)
        if waiting is not None:
            # Those that are still open wait for more.
            waiting.since_s = now_s
        if self._failing:
            self._failing.pop(address, None)

    def record_established(self, address: ids.Address, now_s: float) -> None:
        """Record a connection that was established to test a link."""
        self.record_heard(address, now_s)
        self._established_s = now_s
        self._contacts_since_cut += 1

    def record_failure(
        self, address: ids.Address, since_s: float, now_s: float
    ) -> None:
        """Record a contact that was not established, or that broke.

        :param since_s: when the contact began, or was last known to work
        """
        failing = self._failing.setdefault(address, _Failing(since_s, now_s))
        failing.failed_s = now_s
        self._contacts_since_cut = 0

    def heard_s(self, address: ids.Address) -> float:
        """When this node last heard the endpoint."""
        return self._heard_s.get(address, NEVER_S)

    def failing(self) -> list[ids.Address]:
        """Where contacts fail, and nothing was heard since."""
        return list(self._failing)

    def silent(
        self, heard_by_others_s: HeardByOthers, now_s: float
    ) -> list[ids.Address]:
        """Where requests wait for answers, and the link may be at fault."""
        hears_nothing = now_s - self._any_heard_s >= SILENT_S
        return [
            address
            for address, waiting in self._waiting.items()
            if now_s - waiting.since_s >= SILENT_S
            and (
                hears_nothing
                or heard_by_others_s(address)
                > waiting.since_s + PROOF_MARGIN_S
            )
        ]

    def assess(self, heard_by_others_s: HeardByOthers) -> LinkState:
        """Decide whether this node is cut off from the endpoints."""
        if self.is_cut:
            if self._contacts_since_cut >= REGAINED_CONTACTS:
                self.state = LinkState.OPEN
            return self.state
        failing = [
            address
            for address, item in self._failing.items()
            if item.failed_s > self._any_heard_s
        ]
        if len(failing) >= MIN_FAILING and any(
            self.is_contradicted(address, heard_by_others_s)
            for address in failing
        ):
            self.state = LinkState.CUT
            self._contacts_since_cut = 0
        return self.state

    def is_contradicted(
        self, address: ids.Address, heard_by_others_s: HeardByOthers
    ) -> bool:
        """Whether another node has heard an endpoint that fails from here."""
        item = self._failing.get(address)
        return (
            item is not None
            and heard_by_others_s(address) > item.since_s + PROOF_MARGIN_S
        )

    def has_established(self, now_s: float) -> bool:
        """Whether a test connection was established a short time ago."""
        return now_s - self._established_s <= ESTABLISHED_TTL_S

    def is_only_link(self, address: ids.Address, now_s: float) -> bool:
        """Whether contacts elsewhere work while those with *address* fail.

        Bytes from elsewhere show nothing: while this node's own link is full
        they still come, late, and new connections fail.
        """
        item = self._failing.get(address)
        return (
            item is not None
            and self._established_s > item.since_s
            and self.has_established(now_s)
        )

    def discard(self, existing: typing.Container[ids.Address]) -> None:
        """Forget all addresses but *existing* ones."""
        known = {*self._heard_s, *self._waiting, *self._failing}
        for address in known:
            if address not in existing:
                self._heard_s.pop(address, None)
                self._waiting.pop(address, None)
                self._failing.pop(address, None)
