"""Where a new process begins to read the control stream.

It reads backwards from the end until it finds a snapshot, so that a
start costs no more than the records since the last one, however long
the log is. A snapshot lags behind its own place: the records between
``through_offset`` and there are folded from the log as well, and a
snapshot that lags behind the retention's edge is of no use.
"""

import dataclasses
import typing

from guavachute import ids
from guavachute.wire import records

SEARCH_RECORDS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Fold what follows on *state* in the records read."""

    state: records.ControlState


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBack:
    """Read the records from *from_offset* to the present first one."""

    from_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The log alone doesn't tell the state any more."""


Step = Begin | ReadBack | Lost


def first_window(
    first_retained_offset: ids.Offset, next_offset: ids.Offset
) -> ids.Offset:
    """Where to begin the search."""
    return ids.Offset(max(first_retained_offset, next_offset - SEARCH_RECORDS))


def next_step(
    first_retained_offset: ids.Offset,
    window_offset: ids.Offset,
    end_offset: ids.Offset,
    snapshots: typing.Iterable[records.Snapshot],
) -> Step:
    """How the search goes on.

    :param window_offset: the first record read
    :param end_offset: one beyond the last record read
    :param snapshots: those found from *window_offset* on
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
        # Twice as far each time: few reads, and never much too far.
        length = end_offset - window_offset
        return ReadBack(
            ids.Offset(max(first_retained_offset, window_offset - 2 * length))
        )
    if first_retained_offset == 0:
        return Begin(records.ControlState())
    return Lost()
