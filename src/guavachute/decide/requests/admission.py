"""Refuses at once what can't be served in time.

The time that a request would wait follows from what waits before it and
from the drain rate of the pool, as measured. One that would miss its
deadline or the first-token target is answered "not run" with the time
after which asking again makes sense. A workspace that uses more than
its share has the longer wait and is refused first.

Under pressure the system gives up things in a fixed order, the
:class:`BrownOut` levels, which operators read in ``guavachute status``.
"""

import dataclasses
import enum

from guavachute import outcome

DRAIN_WINDOW_S = 5.0
"""The drain rate is smoothed over about this time."""

MINIMUM_RATE_TOKENS_PER_S = 1.0
START_GRACE_S = 0.1
"""A request with nothing before it may wait so long for a slot, even when
its prompt alone takes longer than the target."""

SHORTEST_RETRY_AFTER_S = 0.25
LONGEST_RETRY_AFTER_S = 30.0


class BrownOut(enum.IntEnum):
    """What is given up, each level with all before it."""

    NONE = 0
    """Everything is served that can be in time."""

    OVER_SHARE = 1
    """Workspaces that use more than their share are refused."""

    LOW_PRIORITY = 2
    """Requests of priority 2 are refused as well."""

    MIDDLE_PRIORITY = 3
    """Requests of priority 1 are refused as well."""

    CLOSED = 4
    """The pool has no endpoint; everything is refused."""


RAISE_AT = {
    BrownOut.OVER_SHARE: 1.0,
    BrownOut.LOW_PRIORITY: 2.0,
    BrownOut.MIDDLE_PRIORITY: 4.0,
}
"""Pressure from which a level holds, in first-token targets of waiting."""

LOWER_FACTOR = 0.5
"""A level is left below this part of the pressure that raised it."""

SHORTEST_AT_LEVEL_S = 1.0
"""A level is held for at least so long, so that it can be seen."""


class DrainRate:
    """Tokens a second that the pool takes from the queue.

    :param expected_tokens_per_s: used until something was measured, such
        as the document's rate of the endpoints
    """

    def __init__(self, expected_tokens_per_s: float, now_s: float) -> None:
        self._rate_tokens_per_s = expected_tokens_per_s
        self._since_s = now_s
        self._tokens = 0.0

    def started(self, tokens: float) -> None:
        """A request of *tokens* expected tokens left the queue."""
        self._tokens += tokens

    def update(self, busy: bool, now_s: float) -> None:
        """Take over what was counted; call it about each second.

        :param busy: whether requests waited all the time; else the pool
            could have done more and the rate may only rise
        """
        elapsed_s = now_s - self._since_s
        if elapsed_s <= 0:
            return
        measured = self._tokens / elapsed_s
        if busy or measured > self._rate_tokens_per_s:
            weight = min(1.0, elapsed_s / DRAIN_WINDOW_S)
            change = measured - self._rate_tokens_per_s
            self._rate_tokens_per_s += weight * change
        self._tokens = 0.0
        self._since_s = now_s

    @property
    def tokens_per_s(self) -> float:
        """The rate; never zero."""
        return max(MINIMUM_RATE_TOKENS_PER_S, self._rate_tokens_per_s)


class BrownOutState:
    """The level of one pool; changes step by step, with hysteresis."""

    def __init__(self, now_s: float) -> None:
        self.level = BrownOut.NONE
        self._since_s = now_s

    def update(
        self,
        queued_tokens: float,
        drain: DrainRate,
        first_token_target_s: float,
        endpoints: int,
        now_s: float,
    ) -> BrownOut | None:
        """The new level if it changed, to be logged and counted."""
        wait_s = queued_tokens / drain.tokens_per_s
        pressure = wait_s / first_token_target_s
        wanted = self._wanted(pressure, endpoints)
        if wanted is self.level:
            return None
        too_soon = now_s - self._since_s < SHORTEST_AT_LEVEL_S
        if wanted < self.level and too_soon:
            return None
        self.level = wanted
        self._since_s = now_s
        return wanted

    def _wanted(self, pressure: float, endpoints: int) -> BrownOut:
        if endpoints == 0:
            return BrownOut.CLOSED
        wanted = BrownOut.NONE
        for level, threshold in RAISE_AT.items():
            held = self.level >= level and self.level is not BrownOut.CLOSED
            if pressure >= threshold * (LOWER_FACTOR if held else 1.0):
                wanted = level
        return wanted


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at the door and what it meets.

    :ivar needed_s: from its start to its first token
    :ivar over_share: whether its workspace runs more than it is due
    :ivar ahead_tokens: what all workspaces have waiting
    :ivar own_ahead_tokens: what its own workspace has waiting before it
    :ivar fraction: its workspace's part of the pool
    :ivar deadline_s: the caller's, or None
    """

    priority: int
    needed_s: float
    over_share: bool
    ahead_tokens: float
    own_ahead_tokens: float
    fraction: float
    deadline_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """It may wait.

    :ivar start_by_s: for the queue; later it would miss its target
    """

    wait_s: float
    start_by_s: float


def decide(
    arrival: Arrival,
    level: BrownOut,
    drain: DrainRate,
    first_token_target_s: float,
    now_s: float,
) -> Admit | outcome.Failure:
    """Whether *arrival* can be served in time; if not, when to ask again.

    ``NO_CAPACITY`` is for 503, all other reasons are for 429.
    """
    wait_s = expected_wait_s(arrival, drain)
    refused = _refused_by_level(arrival, level)
    if refused is not None:
        reason = (
            outcome.Reason.NO_CAPACITY
            if level is BrownOut.CLOSED
            else outcome.Reason.OVERLOADED
        )
        return outcome.Failure(reason, refused, retry_after_s(wait_s))
    in_time_s = first_token_target_s - arrival.needed_s
    if wait_s > 0 and wait_s > in_time_s:
        return outcome.Failure(
            outcome.Reason.OVERLOADED,
            f'the first token would take {wait_s + arrival.needed_s:.2f} s',
            retry_after_s(wait_s),
        )
    start_by_s = now_s + max(START_GRACE_S, in_time_s)
    if arrival.deadline_s is not None:
        latest_s = arrival.deadline_s - arrival.needed_s
        if now_s + wait_s > latest_s:
            return outcome.Failure(
                outcome.Reason.DEADLINE,
                'the deadline can not be met',
                retry_after_s(wait_s),
            )
        start_by_s = min(start_by_s, latest_s)
    return Admit(wait_s, start_by_s)


def expected_wait_s(arrival: Arrival, drain: DrainRate) -> float:
    """How long it would wait for its start.

    Fair queueing serves its workspace at its fraction of the rate or
    better, so the wait is the shorter of "all before me" and "my own at
    my fraction".
    """
    rate = drain.tokens_per_s
    in_order_s = arrival.ahead_tokens / rate
    own_s = arrival.own_ahead_tokens / (rate * max(arrival.fraction, 1e-6))
    return min(in_order_s, own_s)


def retry_after_s(wait_s: float) -> float:
    """When the queue will have drained, within sensible bounds."""
    return min(LONGEST_RETRY_AFTER_S, max(SHORTEST_RETRY_AFTER_S, wait_s))


def _refused_by_level(arrival: Arrival, level: BrownOut) -> str | None:
    if level is BrownOut.CLOSED:
        return 'no endpoint serves this now'
    if level >= BrownOut.OVER_SHARE and arrival.over_share:
        return 'the workspace uses more than its share'
    if level >= BrownOut.LOW_PRIORITY and arrival.priority >= 2:
        return 'requests of low priority are refused for now'
    if level >= BrownOut.MIDDLE_PRIORITY and arrival.priority >= 1:
        return 'only requests of priority 0 are taken now'
    return None
