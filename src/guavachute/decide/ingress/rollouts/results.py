"""Compares the responses of a new version with those of the old one.

Each node counts by route. The counts only grow, so that sums over nodes may be
formed from what each has told last. Times are summed as logarithms, from which
every node derives the same threshold of a slow response.
"""

import dataclasses
import math
import operator
import typing

from guavachute.decide.fleet import rollout

RouteName = str

MAX_SUM = 2**45
"""Upper bound of what another node may tell of one count. Sums over 2**18
sources fit into the 64 bits of an encoded integer."""

MIN_TIMED = 20
"""With fewer times of the old version, no response counts as slow."""

SLOW_DEVIATIONS = 2.0
SLOW_FACTORS = (2.5, 4.0)
"""A response is slow if it takes this much longer than the old version's
geometric mean: so many standard deviations, within these bounds. The responses
of one version differ by less than the lower one with its load, and a version
that is several times slower exceeds the upper one."""

MIN_FAILED = 3
MIN_SLOW = 4
"""Fewer bad responses may be those of one request and its retries, or of one
moment."""

MANY_FAILED = 25
MANY_FAILURE_EXCESS = 0.01
"""With so many failures, a smaller difference is no accident. A version has to
be rolled back soon after its 50th bad response."""

FAILURE_EXCESS = 0.04
SLOW_EXCESS = 0.15
"""The new version is bad if its rate exceeds the old one's significantly, and
by at least this. Single failures also have other causes, and slow responses
come with each burst of requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """The responses on one route.

    :ivar old_done: responses of the old version
    :ivar old_failed: of those, the ones that failed
    :ivar old_slow: of those, the ones that succeeded late
    :ivar timed: how many times of the old version are in the sums
    :ivar total_sum: sum of the logarithms of total times, in hundredths
    :ivar total_squares: sum of their squares
    :ivar first_sum: the same of the times to the first event
    :ivar first_squares: the same of the times to the first event
    """

    old_done: int = 0
    old_failed: int = 0
    old_slow: int = 0
    new_done: int = 0
    new_failed: int = 0
    new_slow: int = 0
    timed: int = 0
    total_sum: int = 0
    total_squares: int = 0
    first_sum: int = 0
    first_squares: int = 0

    def values(self) -> list[int]:
        """The counts in their order, for other nodes."""
        return [getattr(self, name) for name in FIELDS]


FIELDS = tuple(field.name for field in dataclasses.fields(Counts))

ByRoute = typing.Mapping[RouteName, Counts]


def from_values(values: typing.Sequence[int]) -> Counts:
    """The inverse of :meth:`Counts.values`; bounded, missing ones are 0.

    No more responses have failed or were slow than there are: rates above 1
    have no interval.
    """
    found = Counts(
        *(min(MAX_SUM, max(0, item)) for item in values[: len(FIELDS)])
    )
    old_failed = min(found.old_failed, found.old_done)
    new_failed = min(found.new_failed, found.new_done)
    return dataclasses.replace(
        found,
        old_failed=old_failed,
        old_slow=min(found.old_slow, found.old_done - old_failed),
        new_failed=new_failed,
        new_slow=min(found.new_slow, found.new_done - new_failed),
    )


def add(parts: typing.Iterable[ByRoute]) -> dict[RouteName, Counts]:
    """The sums by route."""
    found: dict[RouteName, Counts] = {}
    for part in parts:
        for route, counts in part.items():
            before = found.get(route)
            found[route] = (
                counts
                if before is None
                else Counts(
                    *map(operator.add, before.values(), counts.values())
                )
            )
    return found


def recorded(
    counts: Counts,
    is_new: bool,
    has_failed: bool,
    is_slow: bool,
    total_s: float | None,
    first_s: float | None,
) -> Counts:
    """The counts with one more response.

    :param total_s: its duration, if it is to be a measure for others
    :param first_s: the time to its first event; None if there are no events
    """
    if is_new:
        return dataclasses.replace(
            counts,
            new_done=counts.new_done + 1,
            new_failed=counts.new_failed + has_failed,
            new_slow=counts.new_slow + is_slow,
        )
    counts = dataclasses.replace(
        counts,
        old_done=counts.old_done + 1,
        old_failed=counts.old_failed + has_failed,
        old_slow=counts.old_slow + is_slow,
    )
    if has_failed or total_s is None:
        return counts
    total = _log(total_s)
    first = total if first_s is None else _log(first_s)
    return dataclasses.replace(
        counts,
        timed=counts.timed + 1,
        total_sum=counts.total_sum + total,
        total_squares=counts.total_squares + total * total,
        first_sum=counts.first_sum + first,
        first_squares=counts.first_squares + first * first,
    )


class Thresholds(typing.NamedTuple):
    """From when on a response on one route is slow."""

    total_s: float
    first_s: float

    def is_slow(self, total_s: float, first_s: float | None) -> bool:
        """Whether a response with these times is slow."""
        return total_s > self.total_s or (
            first_s is not None and first_s > self.first_s
        )


def thresholds(counts: Counts | None) -> Thresholds | None:
    """The thresholds by the old version's times; None with too few."""
    if counts is None or counts.timed < MIN_TIMED:
        return None
    return Thresholds(
        _threshold_s(counts.timed, counts.total_sum, counts.total_squares),
        _threshold_s(counts.timed, counts.first_sum, counts.first_squares),
    )


def usual_total_s(counts: Counts, deviations: float) -> float | None:
    """The old version's total time, so many deviations above its mean."""
    if not counts.timed:
        return None
    mean, deviation = _moments(
        counts.timed, counts.total_sum, counts.total_squares
    )
    return math.exp(min(20.0, mean + deviations * deviation)) / 1000


def is_bad(totals: ByRoute) -> str | None:
    """Why the new version is worse than the old one; None if it isn't.

    A version may be bad on one route only, or a little on each of them.
    """
    every = add({'all routes': counts} for counts in totals.values())
    for route, item in {**every, **totals}.items():
        for kind, old, new, least, excess in (
            (
                'failed',
                item.old_failed,
                item.new_failed,
                MIN_FAILED,
                FAILURE_EXCESS
                if item.new_failed < MANY_FAILED
                else MANY_FAILURE_EXCESS,
            ),
            (
                'were slow',
                item.old_slow,
                item.new_slow,
                MIN_SLOW,
                SLOW_EXCESS,
            ),
            (
                'failed or were slow',
                item.old_failed + item.old_slow,
                item.new_failed + item.new_slow,
                MIN_SLOW,
                SLOW_EXCESS,
            ),
        ):
            if new >= least and _is_worse(
                rollout.Health(item.old_done, old),
                rollout.Health(item.new_done, new),
                excess,
            ):
                return (
                    f'{new} of {item.new_done} responses {kind} on {route}, '
                    f'{old} of {item.old_done} of the old version'
                )
    return None


def _is_worse(old: rollout.Health, new: rollout.Health, excess: float) -> bool:
    if not rollout.is_worse(old, new):
        return False
    old_rate = old.errors / old.requests if old.requests else 0.0
    return new.errors / new.requests >= old_rate + excess


def _log(duration_s: float) -> int:
    """The logarithm of a duration in milliseconds, in hundredths."""
    return round(100 * math.log(max(1.0, 1000 * duration_s)))


def _moments(count: int, total: int, squares: int) -> tuple[float, float]:
    mean = total / count
    variance = max(0.0, squares / count - mean * mean)
    return mean / 100, math.sqrt(variance) / 100


def _threshold_s(count: int, total: int, squares: int) -> float:
    mean, deviation = _moments(count, total, squares)
    least, most = SLOW_FACTORS
    # Bounded, as other nodes may tell anything.
    factor = min(
        most, max(least, math.exp(min(9.0, SLOW_DEVIATIONS * deviation)))
    )
    return math.exp(min(20.0, mean)) * factor / 1000
