"""Admission control: rejects requests that can't be served in time.

The expected wait of a request is computed from the tokens queued before
it and the measured drain rate of the pool. A request that would miss its
deadline or the first-token target is rejected immediately as "not run",
with the time after which a retry makes sense. A workspace that uses more
than its share has a longer expected wait, so its requests are rejected
first.

Under load the router sheds requests in a fixed order, given by the
:class:`BrownOut` levels, which operators read in ``guavachute status``.
"""

import dataclasses
import enum

from guavachute import outcome

DRAIN_WINDOW_S = 5.0
"""Approximate time over which the drain rate is smoothed."""

MINIMUM_RATE_TOKENS_PER_S = 1.0
START_GRACE_S = 0.1
"""A request with nothing queued before it may wait this long for a slot,
even if its prompt alone takes longer than the first-token target."""

SHORTEST_RETRY_AFTER_S = 0.25
LONGEST_RETRY_AFTER_S = 30.0


class BrownOut(enum.IntEnum):
    """Load-shedding levels; each level includes those below it."""

    NONE = 0
    """Every request that can be served in time is admitted."""

    OVER_SHARE = 1
    """Requests of workspaces that use more than their share are rejected."""

    LOW_PRIORITY = 2
    """Requests of priority 2 are rejected as well."""

    MIDDLE_PRIORITY = 3
    """Requests of priority 1 are rejected as well."""

    CLOSED = 4
    """The pool has no endpoint; every request is rejected."""


PRESSURE_THRESHOLDS = {
    BrownOut.OVER_SHARE: 1.0,
    BrownOut.LOW_PRIORITY: 2.0,
    BrownOut.MIDDLE_PRIORITY: 4.0,
}
"""The pressure at which each level is entered.

Pressure is the expected wait divided by the first-token target.
"""

LOWER_FACTOR = 0.5
"""A level is left when the pressure falls below its threshold times this."""

MINIMUM_TIME_AT_LEVEL_S = 1.0
"""Minimum time before the level is lowered, so that operators can see it."""


class DrainRate:
    """The rate in tokens/s at which requests leave the queue of a pool.

    :param expected_tokens_per_s: the rate before the first measurement,
        such as the rate of the endpoints given in the document
    """

    def __init__(self, expected_tokens_per_s: float, now_s: float) -> None:
        self._rate_tokens_per_s = expected_tokens_per_s
        self._since_s = now_s
        self._tokens = 0.0

    def record_start(self, tokens: float) -> None:
        """Record that a request of *tokens* expected tokens was started."""
        self._tokens += tokens

    def update(self, busy: bool, now_s: float) -> None:
        """Update the rate with the starts recorded since the last call.

        The caller calls this about once a second.

        :param busy: whether requests were waiting throughout. If not, the
            pool had spare capacity, so the measurement is only a lower
            bound and the rate may only rise
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
        """The current rate, at least :data:`MINIMUM_RATE_TOKENS_PER_S`."""
        return max(MINIMUM_RATE_TOKENS_PER_S, self._rate_tokens_per_s)


class BrownOutState:
    """The brown-out level of one pool, which changes with hysteresis."""

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
        """Update the level and return it if it changed, otherwise None.

        The caller logs and counts the change.

        :param queued_tokens: expected tokens of all waiting requests
        :param endpoints: how many endpoints the pool has
        """
        wait_s = queued_tokens / drain.tokens_per_s
        pressure = wait_s / first_token_target_s
        desired = self._desired_level(pressure, endpoints)
        if desired is self.level:
            return None
        too_soon = now_s - self._since_s < MINIMUM_TIME_AT_LEVEL_S
        if desired < self.level and too_soon:
            return None
        self.level = desired
        self._since_s = now_s
        return desired

    def _desired_level(self, pressure: float, endpoints: int) -> BrownOut:
        if endpoints == 0:
            return BrownOut.CLOSED
        desired = BrownOut.NONE
        for level, threshold in PRESSURE_THRESHOLDS.items():
            held = self.level >= level and self.level is not BrownOut.CLOSED
            if pressure >= threshold * (LOWER_FACTOR if held else 1.0):
                desired = level
        return desired


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A new request and the state of the queue when it arrives.

    :ivar priority: from 0, the highest, to 2
    :ivar needed_s: expected time from its start to its first token
    :ivar over_share: whether its workspace runs more than its share
    :ivar ahead_tokens: queued tokens of all workspaces
    :ivar own_ahead_tokens: queued tokens of its own workspace
    :ivar fraction: its workspace's fraction of the pool
    :ivar deadline_s: the caller's deadline, or None
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
    """The request is admitted to the queue.

    :ivar wait_s: how long it is expected to wait
    :ivar start_by_s: the latest start; after it the request would miss
        its first-token target or its deadline
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
    """Admit *arrival* if it can be served in time, otherwise reject it.

    The failure says when the caller should try again. The reason
    ``NO_CAPACITY`` is answered with 503, all others with 429.
    """
    wait_s = expected_wait_s(arrival, drain)
    rejection = _rejection_by_level(arrival, level)
    if rejection is not None:
        reason = (
            outcome.Reason.NO_CAPACITY
            if level is BrownOut.CLOSED
            else outcome.Reason.OVERLOADED
        )
        return outcome.Failure(reason, rejection, retry_after_s(wait_s))
    maximum_wait_s = first_token_target_s - arrival.needed_s
    if wait_s > 0 and wait_s > maximum_wait_s:
        return outcome.Failure(
            outcome.Reason.OVERLOADED,
            f'the first token would take {wait_s + arrival.needed_s:.2f} s',
            retry_after_s(wait_s),
        )
    start_by_s = now_s + max(START_GRACE_S, maximum_wait_s)
    if arrival.deadline_s is not None:
        latest_s = arrival.deadline_s - arrival.needed_s
        if now_s + wait_s > latest_s:
            return outcome.Failure(
                outcome.Reason.DEADLINE,
                'the deadline cannot be met',
                retry_after_s(wait_s),
            )
        start_by_s = min(start_by_s, latest_s)
    return Admit(wait_s, start_by_s)


def expected_wait_s(arrival: Arrival, drain: DrainRate) -> float:
    """Return how long *arrival* is expected to wait until it starts.

    Fair queueing serves each workspace at its fraction of the drain rate
    or faster. The wait is therefore the shorter of two: draining the
    whole queue at the full rate, or the workspace's own queue at the
    workspace's fraction of the rate.
    """
    rate = drain.tokens_per_s
    in_order_s = arrival.ahead_tokens / rate
    own_s = arrival.own_ahead_tokens / (rate * max(arrival.fraction, 1e-6))
    return min(in_order_s, own_s)


def retry_after_s(wait_s: float) -> float:
    """Return the wait in seconds to suggest to a rejected caller.

    It is the expected time until the queue has drained, limited to the
    range from :data:`SHORTEST_RETRY_AFTER_S` to
    :data:`LONGEST_RETRY_AFTER_S`.
    """
    return min(LONGEST_RETRY_AFTER_S, max(SHORTEST_RETRY_AFTER_S, wait_s))


def _rejection_by_level(arrival: Arrival, level: BrownOut) -> str | None:
    if level is BrownOut.CLOSED:
        return 'the pool has no endpoint at present'
    if level >= BrownOut.OVER_SHARE and arrival.over_share:
        return 'the workspace uses more than its share'
    if level >= BrownOut.LOW_PRIORITY and arrival.priority >= 2:
        return 'requests of low priority are currently rejected'
    if level >= BrownOut.MIDDLE_PRIORITY and arrival.priority >= 1:
        return 'only requests of priority 0 are currently accepted'
    return None
