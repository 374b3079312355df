"""Estimates the time of day from the clocks of all nodes.

Each node knows the offset of each node's wall clock, its own included,
from its own monotonic clock. The median of the offsets is near the true
time as long as fewer than half of the clocks are wrong. A step of the
own clock is ignored until it has lasted for a while: most steps are
reverted, and all nodes may step at once, which the median can't detect.
"""

import statistics
import typing

MAX_AGE_S = 5.0
"""Older readings of other clocks are ignored."""

STEP_S = 0.1
"""A larger change of the offset between two calls is a step; the
corrections of a synchronized clock are smaller."""

STEP_ACCEPTED_S = 30.0
"""A step that has lasted for this long is accepted."""


class Reading(typing.NamedTuple):
    """Offset of a wall clock from the monotonic clock, and its time.

    :ivar offset_s: wall clock less this node's monotonic clock
    :ivar read_s: when it was read, by the monotonic clock
    """

    offset_s: float
    read_s: float


class OwnClock:
    """This node's wall clock, without steps that don't last."""

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._stepped: Reading | None = None

    def offset_s(self, wall_s: float, now_s: float) -> float:
        """The offset of the wall clock from the monotonic clock.

        Steps are detected between calls, so it has to be called often.

        :param wall_s: the time of day by the wall clock
        :param now_s: the time by the monotonic clock
        """
        measured_s = wall_s - now_s
        if self._offset_s is None or abs(measured_s - self._offset_s) < STEP_S:
            self._offset_s, self._stepped = measured_s, None
        elif (
            self._stepped is None
            or abs(measured_s - self._stepped.offset_s) >= STEP_S
        ):
            self._stepped = Reading(measured_s, now_s)
        elif now_s - self._stepped.read_s >= STEP_ACCEPTED_S:
            self._offset_s, self._stepped = measured_s, None
        return self._offset_s


def agreed_offset_s(
    own_offset_s: float, others: typing.Iterable[Reading], now_s: float
) -> float:
    """The offset from the monotonic clock to the agreed time of day.

    :param others: the latest readings of the other nodes' clocks
    """
    offsets = [own_offset_s]
    offsets += [
        reading.offset_s
        for reading in others
        if now_s - reading.read_s <= MAX_AGE_S
    ]
    return statistics.median(offsets)
