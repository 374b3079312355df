"""Finds where a new process starts to read the control stream.

It reads backwards from the end until it finds a snapshot, so that the
cost of a start depends on the records since the last snapshot and not on
the length of the log. A snapshot covers the records up to its
``through_offset``, which is lower than its own offset. The records
between the two are folded from the log; if some of them are no longer
retained, the snapshot is unusable.
"""

import dataclasses
import typing

from guavachute import ids
from guavachute.wire import records

SEARCH_RECORDS = 500
"""How many records from the end are read first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Start from *state* and fold the later ones of the records read."""

    state: records.ControlState


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBack:
    """Also read the records from *from_offset* to the first one read."""

    from_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class StateLost:
    """The state can't be restored from the retained part of the log."""


Step = Begin | ReadBack | StateLost


def first_window(
    first_retained_offset: ids.Offset, next_offset: ids.Offset
) -> ids.Offset:
    """The offset from which to read first."""
    return ids.Offset(max(first_retained_offset, next_offset - SEARCH_RECORDS))


def next_step(
    first_retained_offset: ids.Offset,
    window_offset: ids.Offset,
    end_offset: ids.Offset,
    snapshots: typing.Iterable[records.Snapshot],
) -> Step:
    """The next step of the search.

    :param window_offset: the first record read
    :param end_offset: one beyond the last record read
    :param snapshots: those among the records read
    """
    usable = [
        snapshot.state
        for snapshot in snapshots
        if snapshot.state.through_offset + 1 >= first_retained_offset
    ]
    if usable:
        state = max(usable, key=lambda found: found.through_offset)
        if state.through_offset + 1 >= window_offset:
            return Begin(state)
        return ReadBack(ids.Offset(state.through_offset + 1))
    if window_offset > first_retained_offset:
        # The distance grows geometrically, which takes few reads and
        # doesn't read much more than needed.
        length = end_offset - window_offset
        return ReadBack(
            ids.Offset(max(first_retained_offset, window_offset - 2 * length))
        )
    if first_retained_offset == 0:
        return Begin(records.ControlState())
    return StateLost()
