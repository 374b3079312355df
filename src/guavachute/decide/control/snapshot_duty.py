"""When the snapshot of the control stream is to be written again."""

import dataclasses

from guavachute import ids

PERIOD_S = 300.0
"""Well under any retention that goes by time."""
RECORDS = 500
"""Bounds what a new process reads after the snapshot."""
SHARE_OF_RETAINED = 1 / 4
"""Of the records that the log keeps, where that is fewer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What is known of the log and its last snapshot.

    :ivar snapshot_offset: through where the last one seen goes
    :ivar snapshot_read_s: when it was read, or when the process began
    """

    snapshot_offset: ids.Offset
    snapshot_read_s: float
    through_offset: ids.Offset
    first_retained_offset: ids.Offset


def is_due(progress: Progress, now_s: float) -> bool:
    """Whether to write a snapshot now."""
    lag = progress.through_offset - progress.snapshot_offset
    if lag <= 0:
        return False
    if now_s - progress.snapshot_read_s >= PERIOD_S or lag >= RECORDS:
        return True
    if progress.first_retained_offset == 0:
        return False
    retained = progress.through_offset + 1 - progress.first_retained_offset
    return lag >= retained * SHARE_OF_RETAINED
