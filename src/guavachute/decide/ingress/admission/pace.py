"""Paces the admissions of one node while the quota of a workspace is short.

All nodes see the level of a quota late. If each admitted whatever the level
allows, all would admit at once as soon as it is above zero, and none for
seconds afterwards. So each node accrues its part of the refill as credit, by
demand. It admits a request while its credit isn't negative, and subtracts the
cost: a request is admitted as often as any other one, whatever its size. More
credit accrues while the level is too high, so that what other nodes don't use
is used here, and less while it is too low.

Parts of the refill are reserved for kinds of requests that are much smaller
than the others, and for those that are more urgent. What they don't use goes
to the others.
"""

import collections
import enum
import math
import typing

LIGHT_SHARE = 0.15
URGENT_SHARE = 0.25
"""Shares of the refill that only light or urgent requests use."""

LIGHT_RATIO = 0.25
"""A kind is light if its mean cost is at most this share of the mean of all
requests."""

URGENT_MARGIN = 0.25
"""A request is urgent if its priority is more urgent than the mean, which is
weighted by cost, by this much."""

CAP_S = 1.0
"""Credit that isn't used is kept up to the refill of this time."""

RAISE_S = 4.0
"""Time in which a level that is too high is corrected. It is longer than twice
the age of the figures of other nodes, or the level would oscillate."""

LOWER_S = 2.0
"""Time in which a level that is too low is corrected: the quota was exceeded,
so this is quicker."""

LEAST_PACE = 0.1
"""Least accrual for light requests, as a share of the usual one. Without it,
they would be refused for seconds after a quota was exceeded."""

EXPECTED_PACE = 0.5
"""Least accrual that is expected when a time to return is computed, as the
level recovers meanwhile."""

MOST_PACE = 3.0
SMOOTHING = 0.05
MAX_KINDS = 64


class Lane(enum.IntEnum):
    """The part of the refill that a request uses."""

    LIGHT = 0
    URGENT = 1
    COMMON = 2


SHARES = (LIGHT_SHARE, URGENT_SHARE, 1 - LIGHT_SHARE - URGENT_SHARE)
"""Shares of the refill, by lane."""


class Ask(typing.NamedTuple):
    """What a request asks of a quota.

    :ivar cost: in the unit of the quota
    :ivar priority: 0 is the most urgent
    :ivar kind: requests of one kind are served equally often, whatever their
        size
    :ivar awaited_s: a refused caller returns after this time at the latest
    """

    cost: float
    priority: int = 0
    kind: str = ''
    awaited_s: float = math.inf


class Kinds:
    """Mean costs by kind of request, to tell which are light or urgent."""

    def __init__(self) -> None:
        self._means: collections.OrderedDict[str, float]
        self._means = collections.OrderedDict()
        self._mean: float | None = None
        self._priority = 0.0

    def record(self, ask: Ask) -> None:
        """Record a request, whether it is admitted or not."""
        cost = max(ask.cost, 1e-9)
        before = self._means.pop(ask.kind, ask.cost)
        self._means[ask.kind] = before + SMOOTHING * (ask.cost - before)
        if len(self._means) > MAX_KINDS:
            self._means.popitem(last=False)
        if self._mean is None:
            self._mean, self._priority = cost, float(ask.priority)
            return
        weight = min(1.0, SMOOTHING * cost / self._mean)
        self._priority += weight * (ask.priority - self._priority)
        self._mean += SMOOTHING * (cost - self._mean)

    @property
    def mean(self) -> float:
        """The mean cost of the requests; 0 before the first."""
        return self._mean or 0.0

    def lanes(self, ask: Ask) -> list[Lane]:
        """The lanes that a request may use, the first one preferred."""
        found = []
        mean = self._mean or ask.cost
        if self._means.get(ask.kind, ask.cost) <= LIGHT_RATIO * mean:
            found.append(Lane.LIGHT)
        if ask.priority < self._priority - URGENT_MARGIN:
            found.append(Lane.URGENT)
        found.append(Lane.COMMON)
        return found


class Pace:
    """The credit of one node in one quota that is short.

    :param credit: how much this node may admit at first, without the cost of
        the last request. It contains a random part, so that the nodes don't
        admit their first requests at the same time
    """

    def __init__(self, credit: float, now_s: float) -> None:
        self._credit = [0.0, 0.0, credit]
        self._refusals_end_s = [now_s] * len(Lane)
        self._advanced_s = now_s
        self._per_s = 1.0
        self.refused_s = -math.inf

    def advance(
        self,
        rate_per_s: float,
        part: float,
        excess: float,
        is_closed: bool,
        now_s: float,
    ) -> None:
        """Accrue credit.

        :param rate_per_s: the refill of the quota
        :param part: this node's part of it; those of all nodes are one
        :param excess: the level of the quota above the one that is to be kept
        :param is_closed: whether only light requests get credit
        """
        elapsed_s = max(0.0, now_s - self._advanced_s)
        self._advanced_s = now_s
        correction_s = RAISE_S if excess > 0 else LOWER_S
        pace = 1 + excess / rate_per_s / correction_s
        pace = 0.0 if is_closed else max(0.0, min(MOST_PACE, pace))
        self._per_s = rate_per_s * part * max(EXPECTED_PACE, pace)
        accrued = rate_per_s * part * elapsed_s
        cap = rate_per_s * part * CAP_S
        beyond = 0.0
        for lane, share in enumerate(SHARES):
            lane_pace = pace if lane else max(LEAST_PACE, pace)
            credit = self._credit[lane] + share * lane_pace * accrued + beyond
            kept = min(credit, max(cap, self._credit[lane]))
            self._credit[lane] = kept
            beyond = credit - kept

    def usable(self, lanes: typing.Sequence[Lane]) -> Lane | None:
        """The first of *lanes* that has credit."""
        for lane in lanes:
            if self._credit[lane] >= 0:
                return lane
        return None

    def charge(self, lane: Lane, cost: float) -> None:
        """Subtract the cost of an admitted request."""
        self._credit[lane] -= cost

    def refund(self, cost: float) -> None:
        """Add the cost of an admitted request that did not run."""
        credit = self._credit[Lane.COMMON]
        self._credit[Lane.COMMON] = max(credit, min(0.0, credit + cost))

    def wait_s(self, lanes: typing.Sequence[Lane], before: float) -> float:
        """How long until one of *lanes* has credit.

        :param before: the cost of the requests that use it before
        """
        return min(
            max(0.0, before - self._credit[lane]) / self._lane_per_s(lane)
            for lane in lanes
        )

    def return_after_s(
        self, lanes: typing.Sequence[Lane], ask: Ask, now_s: float
    ) -> float:
        """When credit is expected for a request that is refused now.

        Each refused request gets the credit after those refused before it, so
        that callers return one after the other. Callers that don't wait for so
        long get no credit.
        """
        self.refused_s = now_s
        best, best_s = lanes[-1], math.inf
        for lane in lanes:
            due_s = max(
                now_s + max(0.0, -self._credit[lane]) / self._lane_per_s(lane),
                self._refusals_end_s[lane],
            )
            if due_s < best_s:
                best, best_s = lane, due_s
        if best_s <= now_s + ask.awaited_s:
            used_s = ask.cost / self._lane_per_s(best)
            self._refusals_end_s[best] = best_s + used_s
        return best_s - now_s

    def _lane_per_s(self, lane: Lane) -> float:
        # Light requests are few, so most of their share is passed on.
        share = 1 - URGENT_SHARE if lane is Lane.COMMON else SHARES[lane]
        return max(1e-6, share * self._per_s)
