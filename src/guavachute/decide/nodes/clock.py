"""What time it is, agreed on by nodes whose clocks may jump.

Each node knows how far each clock, its own among them, is ahead of its
own steady clock. The median of these is near the true time as long as
fewer than half of the clocks are wrong. A clock that steps while the
process runs is not followed, unless it stays where it went: most steps
are taken back, and a step may meet all nodes at once.
"""

import statistics
import typing

MAX_AGE_S = 5.0
"""Older readings of other clocks are left out."""

STEP_S = 0.1
"""A clock that moves further than this at once has stepped; clocks that
are kept right move less."""

STEP_ACCEPTED_S = 30.0
"""A clock that stays for so long where it stepped to is followed."""


class Reading(typing.NamedTuple):
    """How far a clock was ahead of the steady one, and when."""

    offset_s: float
    read_s: float


class OwnClock:
    """This node's clock, without the steps that do not last."""

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._stepped: Reading | None = None

    def offset_s(self, wall_s: float, now_s: float) -> float:
        """How far the clock is ahead of the steady one; ask it often.

        :param wall_s: the time of day that the clock shows
        """
        shown_s = wall_s - now_s
        if self._offset_s is None or abs(shown_s - self._offset_s) < STEP_S:
            self._offset_s, self._stepped = shown_s, None
        elif (
            self._stepped is None
            or abs(shown_s - self._stepped.offset_s) >= STEP_S
        ):
            self._stepped = Reading(shown_s, now_s)
        elif now_s - self._stepped.read_s >= STEP_ACCEPTED_S:
            self._offset_s, self._stepped = shown_s, None
        return self._offset_s


def agreed_offset_s(
    own_offset_s: float, others: typing.Iterable[Reading], now_s: float
) -> float:
    """What to add to the steady clock for the time of day."""
    offsets = [own_offset_s]
    offsets += [
        reading.offset_s
        for reading in others
        if now_s - reading.read_s <= MAX_AGE_S
    ]
    return statistics.median(offsets)
