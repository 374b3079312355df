"""What time it is, agreed on by nodes whose clocks may jump.

Each node knows how far each clock, its own among them, is ahead of its
own steady clock. The median of these is near the true time as long as
fewer than half of the clocks are wrong.
"""

import statistics
import typing

MAX_AGE_S = 5.0
"""Older readings of other clocks are left out."""


class Reading(typing.NamedTuple):
    """How far a clock was ahead of the steady one, and when."""

    offset_s: float
    read_s: float


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
