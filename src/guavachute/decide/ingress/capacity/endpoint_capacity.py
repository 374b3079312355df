"""How slow an endpoint is, and how many requests it handles well."""

import dataclasses
import typing

SLOWER_WEIGHT = 0.5
"""Weight of a measurement that shows an endpoint slower than was known: other
requests should avoid it at once."""

FASTER_WEIGHT = 0.25
"""Weight of a measurement that shows it faster: one short answer between slow
ones is no recovery."""

KEPT_S = 20.0
"""A measurement has less weight the older it is, and none after this, so that
an endpoint which nobody uses is tried again."""

INITIAL_WEIGHT = 0.3
"""Weight of the assumption that an endpoint is as fast as the others."""

MAX_TOLD_WEIGHT = 0.8
"""Weight of another node's figure. It is below the weight of an own one: the
other node may be slow itself."""

REPORT_KEPT_S = 1.0
"""The slowdown that an endpoint reports is used for this long: it changes many
times a second."""

REPORT_TRUST = 2.0
"""A report of less load or slowness counts down to this part of what nodes
have measured, as it may be false."""

SLOWER_REPORT_TRUST = 8.0
"""A report of more slowness counts up to this multiple of what was measured:
an endpoint that reports too much only loses requests itself."""

REPORT_WEIGHT = 0.25
"""Weight of a report as a measurement; only if it shows more slowness."""

COUNT_KEPT_S = 1.5
"""An endpoint's own count of its requests is used for this long, with less and
less weight: work of nodes that this one has not heard of comes and ends."""

SLOWDOWN_RANGE = (0.25, 20.0)

HEAVY_SLOWDOWN = 2.0
"""An answer that takes this multiple of the usual time shows that the endpoint
had too many requests."""

LIMIT_DECREASE = 0.85
MIN_LIMIT_SHARE = 0.15
LIMIT_RECOVERY_S = 10.0
"""After this time without rejected or heavily slowed requests, an endpoint is
tried with all of its slots again."""

DECREASE_INTERVAL_S = 0.3
"""Requests that end together show the same overload once."""


class Told(typing.NamedTuple):
    """Another node's figures of an endpoint.

    :ivar limit_share: share of the slots that it handles well
    :ivar measured_s: when it was measured, as this node's time
    """

    slowdown: float
    limit_share: float
    measured_s: float


def expected_requests(
    known: int, reported: int, age_s: float, slots: int
) -> float:
    """The requests that an endpoint is expected to have.

    What an endpoint reports may be false. So it counts at least as half of
    what the nodes know of, and at most as all slots more.

    :param known: requests that this node and others told of
    :param reported: requests that the endpoint counted itself, and those that
        this node has sent since
    :param age_s: age of that count
    """
    if age_s >= COUNT_KEPT_S:
        return known
    bounded = min(known + slots, max(known / REPORT_TRUST, reported))
    return known + (1 - age_s / COUNT_KEPT_S) * (bounded - known)


@dataclasses.dataclass(slots=True)
class EndpointCapacity:
    """What is known of the capacity of one incarnation of an endpoint.

    :ivar measured: how long work takes there in proportion to the usual time
        of its service, as this node measured
    :ivar measured_s: when that was measured last
    :ivar told: the figures of other nodes, by node
    """

    measured: float = 1.0
    measured_s: float = float('-inf')
    told: dict[str, Told] = dataclasses.field(default_factory=dict)
    _reported: float = 1.0
    _reported_s: float = float('-inf')
    _limit_share: float = 1.0
    _decreased_s: float = float('-inf')

    def record_slowdown(self, slowdown: float, now_s: float) -> None:
        """Record how slow an answer was, in proportion to the usual time."""
        low, high = SLOWDOWN_RANGE
        bounded = min(high, max(low, slowdown))
        known = self._known(now_s)
        weight = SLOWER_WEIGHT if bounded > known else FASTER_WEIGHT
        self.measured = known + weight * (bounded - known)
        self.measured_s = now_s

    def record_report(self, slowdown: float, now_s: float) -> None:
        """Record the slowdown that the endpoint reports of itself."""
        low, high = SLOWDOWN_RANGE
        self._reported = min(high, max(low, slowdown))
        self._reported_s = now_s
        known = self._known(now_s)
        if self._reported > max(1.0, known):
            self.measured = known + REPORT_WEIGHT * (self._reported - known)
            self.measured_s = now_s

    def record_overload(self, share: float, now_s: float) -> None:
        """Record that the endpoint had too many requests.

        :param share: of its slots that were occupied then, as far as is known
        """
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        limit = min(self._own_limit_share(now_s), max(0.0, share))
        self._limit_share = max(MIN_LIMIT_SHARE, LIMIT_DECREASE * limit)
        self._decreased_s = now_s

    def slowdown(self, now_s: float) -> float:
        """How long work takes, in proportion to the usual time."""
        if (
            not self.told
            and now_s - self.measured_s >= KEPT_S
            and now_s - self._reported_s > REPORT_KEPT_S
        ):
            return 1.0
        weight = self._freshness(now_s)
        total = INITIAL_WEIGHT + weight
        found = INITIAL_WEIGHT + weight * self.measured
        for item in self.told.values():
            weight = MAX_TOLD_WEIGHT * _freshness(now_s - item.measured_s)
            total += weight
            found += weight * item.slowdown
        found /= total
        if now_s - self._reported_s <= REPORT_KEPT_S:
            return min(
                SLOWER_REPORT_TRUST * found,
                max(found / REPORT_TRUST, self._reported),
            )
        return found

    def limit_share(self, now_s: float) -> float:
        """The share of its slots up to which it handles requests well.

        What the least of the nodes has found counts; it recovers with time.
        """
        share = self._own_limit_share(now_s)
        for item in self.told.values():
            share = min(
                share,
                _recovered(item.limit_share, now_s - item.measured_s),
            )
        return share

    def discard_told(self, now_s: float) -> None:
        """Discard the figures of other nodes that are too old."""
        for node, item in list(self.told.items()):
            if now_s - item.measured_s >= KEPT_S:
                del self.told[node]

    def own(self, now_s: float) -> Told | None:
        """What this node has found itself; None if that is too old."""
        last_s = max(self.measured_s, self._decreased_s)
        if now_s - last_s >= KEPT_S:
            return None
        return Told(self.measured, self._own_limit_share(now_s), last_s)

    def _own_limit_share(self, now_s: float) -> float:
        return _recovered(self._limit_share, now_s - self._decreased_s)

    def _known(self, now_s: float) -> float:
        """What this node measured, nearer to the usual the older it is."""
        return 1 + (self.measured - 1) * self._freshness(now_s)

    def _freshness(self, now_s: float) -> float:
        return _freshness(now_s - self.measured_s)


def _freshness(age_s: float) -> float:
    """The weight of a measurement: 1 for a new one, 0 for one too old."""
    return max(0.0, 1 - age_s / KEPT_S)


def _recovered(share: float, age_s: float) -> float:
    """A limit as it is *age_s* after it was found."""
    return min(1.0, share + (1 - share) * min(1.0, age_s / LIMIT_RECOVERY_S))
