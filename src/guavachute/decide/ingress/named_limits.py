"""The limits that endpoints name for the requests of all nodes together.

A node can't keep such a limit by itself, as it would need to know what the
others send. A few nodes near the endpoint are its senders. All nodes compute
the same ones, without messages, by rendezvous hashing. Each sender gets an
equal share of the rate and a burst of one request; the other nodes send
nothing. A change of the senders costs little, as a new one starts without
tokens.

A limit ends when answers no longer name it. The senders find that out and
tell the others.
"""

import collections
import dataclasses
import math
import typing

from guavachute.decide.ingress import announcements
from guavachute.decide import rendezvous
from guavachute import ids

USED_SHARE = 0.9
"""Share of a named limit that is used. Requests that are sent at an even pace
may arrive closer together."""

MIN_RATE_PER_S = 0.25
"""An endpoint that names a lower limit, or zero, gets this many requests per
second from all nodes: only answers tell when the limit ends."""

MAX_LIMIT_PER_S = 10_000.0
"""A higher limit restricts nothing."""

BURST_REQUESTS = 1.0

CONFIRMING_ANSWERS = 2
"""So many answers in a row that name no limit end it."""

QUIET_S = 1.0
"""Answers count as naming no limit if their requests were sent this long
after the limit was last named, and as long again as the senders need for one
request. A limit that only some answers name holds."""

TIMING_ERROR_S = 0.2
"""Upper bound of the error when the times of two nodes' events are compared:
a notice's age is rounded, and it travels."""

TOLD_AFTER_NAMED_S = 2.0
"""A node that is no sender tells the others for this long of a limit that an
endpoint has named to it."""

ENDED_TTL_S = 10.0
"""The end of a limit is told to other nodes for this long."""

FORGOTTEN_AFTER_S = 10.0
"""A node that is no sender forgets a limit of which it has not heard for this
long: the senders repeat it as long as it holds."""

KEPT = 1_000
"""Number of endpoints whose limits are remembered."""


class Place(typing.NamedTuple):
    """A node and where it runs.

    :ivar domain: None if not known
    """

    node: ids.NodeId
    domain: ids.FailureDomain | None
    region: ids.Region


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What a node tells others of the limit of one incarnation.

    :ivar named_s: when an answer named the limit last
    :ivar ended_s: when the limit ended; None while it holds
    """

    incarnation: announcements.Incarnation
    limit_per_s: float
    named_s: float
    ended_s: float | None


def bounded_limit_per_s(named_per_s: float) -> float | None:
    """The limit that an answer imposes; None if it imposes none.

    :param named_per_s: as the answer names it; may be negative, not a number
        or infinite
    """
    if math.isnan(named_per_s) or named_per_s > MAX_LIMIT_PER_S:
        return None
    return max(0.0, named_per_s)


def senders_wanted(limit_per_s: float) -> int:
    """The number of nodes that may send to an endpoint with this limit.

    Few enough that their bursts and shares together stay below one and a half
    times the limit and five requests more in four seconds.
    """
    return 1 + math.ceil(limit_per_s)


def share_per_s(
    node: ids.NodeId,
    incarnation: announcements.Incarnation,
    limit_per_s: float,
    places: typing.Sequence[Place],
    domain: ids.FailureDomain,
    region: ids.Region | None,
    is_settled: bool,
) -> float:
    """The requests per second that *node* may send; 0 for no sender.

    :param places: all nodes that count as serving callers, with this one
    :param domain: of the endpoint, as is *region*
    :param is_settled: whether *places* is complete. Otherwise the share is
        the smallest possible.
    """
    near = [place.node for place in places if place.domain == domain]
    if not near:
        near = [place.node for place in places if place.region == region]
    if not near:
        near = [place.node for place in places]
    wanted = senders_wanted(limit_per_s)
    key = f'{incarnation.endpoint}/{incarnation.start_ms}'
    senders = rendezvous.ranked(key, near, str)[:wanted]
    if node not in senders:
        return 0.0
    return _used_per_s(limit_per_s) / (len(senders) if is_settled else wanted)


@dataclasses.dataclass(slots=True)
class _State:
    """The limit of one incarnation, and this node's use of it.

    :ivar named_s: when any node was last told the limit
    :ivar told_s: when this node was last told it by the endpoint
    :ivar heard_s: latest time at which anything was heard of it
    :ivar unnamed: answers in a row that named no limit
    :ivar is_ended_here: whether this node found out that it ended
    """

    limit_per_s: float
    named_s: float
    heard_s: float
    told_s: float = float('-inf')
    ended_s: float | None = None
    unnamed: int = 0
    is_ended_here: bool = False
    share_per_s: float = 0.0
    tokens: float = 0.0
    tokens_s: float = 0.0

    def is_told(self, now_s: float) -> bool:
        """Whether this node tells the others of it."""
        if self.ended_s is not None:
            return self.is_ended_here and now_s - self.ended_s <= ENDED_TTL_S
        is_news = now_s - self.told_s <= TOLD_AFTER_NAMED_S
        return is_news or self.share_per_s > 0

    def is_outdated(self, now_s: float, extra_age_s: float) -> bool:
        """Whether it is forgotten; *extra_age_s* as in ``expire``."""
        if self.ended_s is not None:
            return now_s - self.ended_s > 2 * ENDED_TTL_S
        silent_s = now_s - self.heard_s
        is_silent = silent_s > FORGOTTEN_AFTER_S + extra_age_s
        return is_silent and not self.share_per_s

    def refill(self, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        elapsed_s = max(0.0, now_s - self.tokens_s)
        self.tokens = min(
            BURST_REQUESTS, self.tokens + elapsed_s * self.share_per_s
        )
        self.tokens_s = now_s


class NamedLimits:
    """The limits of all endpoints, as one node knows and uses them."""

    def __init__(self) -> None:
        self._states: collections.OrderedDict[
            announcements.Incarnation, _State
        ] = collections.OrderedDict()

    # -- what endpoints and other nodes tell ---------------------------

    def record_named(
        self,
        incarnation: announcements.Incarnation,
        limit_per_s: float,
        now_s: float,
    ) -> bool:
        """Record a limit that an answer names; True if it is new or lower."""
        state = self._states.get(incarnation)
        if state is None or state.ended_s is not None:
            state = self._begin(incarnation, limit_per_s, now_s, now_s)
            state.told_s = now_s
            return True
        is_lower = limit_per_s < state.limit_per_s
        state.limit_per_s = limit_per_s
        state.named_s = state.told_s = state.heard_s = now_s
        state.unnamed = 0
        return is_lower

    def record_unnamed(
        self,
        incarnation: announcements.Incarnation,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Record an answer that names no limit; True if that ends one.

        It tells nothing if its request was sent before the limit was named
        last: it may have been made before the endpoint had a limit.

        :param sent_s: when the request was sent
        """
        state = self._states.get(incarnation)
        if state is None or state.ended_s is not None:
            return False
        quiet_s = QUIET_S + 1.0 / _used_per_s(state.limit_per_s)
        if sent_s <= state.named_s + quiet_s:
            return False
        state.heard_s = now_s
        state.unnamed += 1
        if state.unnamed < CONFIRMING_ANSWERS:
            return False
        state.ended_s = now_s
        state.is_ended_here = True
        return True

    def merge(self, notice: Notice, now_s: float) -> bool:
        """Merge another node's notice; True if a limit began or ended."""
        state = self._states.get(notice.incarnation)
        if notice.ended_s is not None:
            if (
                state is None
                or state.ended_s is not None
                or notice.ended_s <= state.named_s + TIMING_ERROR_S
            ):
                return False
            state.ended_s = notice.ended_s
            return True
        if state is None or (
            state.ended_s is not None
            and notice.named_s > state.ended_s + TIMING_ERROR_S
        ):
            self._begin(
                notice.incarnation, notice.limit_per_s, notice.named_s, now_s
            )
            return True
        if state.ended_s is not None:
            return False
        state.heard_s = now_s
        if notice.named_s > state.named_s + TIMING_ERROR_S:
            state.limit_per_s = notice.limit_per_s
        elif notice.named_s > state.named_s - TIMING_ERROR_S:
            state.limit_per_s = min(state.limit_per_s, notice.limit_per_s)
        state.named_s = max(state.named_s, notice.named_s)
        return False

    def notices(self, now_s: float) -> list[Notice]:
        """What the other nodes should hear from this one."""
        return [
            _notice(incarnation, state)
            for incarnation, state in self._states.items()
            if state.is_told(now_s)
        ]

    def known(self, now_s: float) -> list[Notice]:
        """All limits that hold or ended lately, whoever found that out."""
        return [
            _notice(incarnation, state)
            for incarnation, state in self._states.items()
            if state.ended_s is None or now_s - state.ended_s <= ENDED_TTL_S
        ]

    # -- use -----------------------------------------------------------

    def in_force(self) -> dict[announcements.Incarnation, float]:
        """The limits that hold, in requests per second."""
        return {
            incarnation: state.limit_per_s
            for incarnation, state in self._states.items()
            if state.ended_s is None
        }

    def holds(self, incarnation: announcements.Incarnation) -> bool:
        """Whether an endpoint has a limit now."""
        state = self._states.get(incarnation)
        return state is not None and state.ended_s is None

    def set_share(
        self,
        incarnation: announcements.Incarnation,
        rate_per_s: float,
        now_s: float,
    ) -> bool:
        """Set what this node may send; True if that changes.

        A node that becomes a sender starts without tokens.
        """
        state = self._states[incarnation]
        state.refill(now_s)
        if rate_per_s == state.share_per_s:
            return False
        if not state.share_per_s:
            state.tokens = min(0.0, state.tokens)
        state.share_per_s = rate_per_s
        return True

    def wait_s(
        self, incarnation: announcements.Incarnation, now_s: float
    ) -> float:
        """Time until this node may send a request; infinite for no sender."""
        state = self._states.get(incarnation)
        if state is None or state.ended_s is not None:
            return 0.0
        state.refill(now_s)
        if not state.share_per_s:
            return math.inf
        return max(0.0, (1.0 - state.tokens) / state.share_per_s)

    def record_sent(
        self, incarnation: announcements.Incarnation, now_s: float
    ) -> None:
        """Record a request or another call to an endpoint.

        Work that was promised to the endpoint before it named its limit may
        leave the tokens negative.
        """
        state = self._states.get(incarnation)
        if state is not None and state.ended_s is None:
            state.refill(now_s)
            state.tokens -= 1.0

    def expire(self, now_s: float, extra_age_s: float = 0.0) -> None:
        """Forget limits of which nothing was heard, and ended ones.

        :param extra_age_s: how much older notices are where nodes are many
        """
        forgotten = [
            incarnation
            for incarnation, state in self._states.items()
            if state.is_outdated(now_s, extra_age_s)
        ]
        for incarnation in forgotten:
            del self._states[incarnation]

    def discard(self, incarnation: announcements.Incarnation) -> None:
        """Forget the limit of an endpoint that is gone."""
        self._states.pop(incarnation, None)

    def _begin(
        self,
        incarnation: announcements.Incarnation,
        limit_per_s: float,
        named_s: float,
        now_s: float,
    ) -> _State:
        state = self._states[incarnation] = _State(
            limit_per_s, named_s, heard_s=now_s, tokens_s=now_s
        )
        self._states.move_to_end(incarnation)
        if len(self._states) > KEPT:
            self._states.popitem(last=False)
        return state


def _used_per_s(limit_per_s: float) -> float:
    """The rate that all senders together use."""
    return max(MIN_RATE_PER_S, USED_SHARE * limit_per_s)


def _notice(incarnation: announcements.Incarnation, state: _State) -> Notice:
    return Notice(incarnation, state.limit_per_s, state.named_s, state.ended_s)
