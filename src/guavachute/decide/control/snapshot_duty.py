"""Decides when to write the next snapshot of the control stream."""

import dataclasses

from guavachute import ids

PERIOD_S = 300.0
"""Well below the retention period of a log that expires records by age."""
RECORDS = 500
"""Bounds how many records a new process reads after the snapshot."""
MAX_FRACTION_OF_RETAINED = 1 / 4
"""Largest part of the retained records that may follow the snapshot.

Applies where it is less than :data:`RECORDS`.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Position of the log and of its last snapshot.

    :ivar snapshot_offset: the last record covered by that snapshot
    :ivar snapshot_read_s: when it was read; before the first one, when
        the process started
    :ivar through_offset: the last record folded
    """

    snapshot_offset: ids.Offset
    snapshot_read_s: float
    through_offset: ids.Offset
    first_retained_offset: ids.Offset


def is_due(progress: Progress, now_s: float) -> bool:
    """Whether a snapshot should be written now."""
    lag = progress.through_offset - progress.snapshot_offset
    if lag <= 0:
        return False
    if now_s - progress.snapshot_read_s >= PERIOD_S or lag >= RECORDS:
        return True
    if progress.first_retained_offset == 0:
        return False
    retained = progress.through_offset + 1 - progress.first_retained_offset
    return lag >= retained * MAX_FRACTION_OF_RETAINED
