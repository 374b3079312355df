"""Snapshots that preserve keys before the log drops their records.

Any committer may write a snapshot, and two written at the same time are
harmless. A snapshot is divided into parts, because a log may reject large
appends, and it is used only if all its parts have been read.
"""

import dataclasses

from guavachute.decide.orders import order_claims
from guavachute.wire import order_records

KEYS_PER_PART = 500
"""Maximum number of keys in one part of a snapshot."""

RECORDS_BETWEEN_SNAPSHOTS = 5_000
"""A snapshot is written after this many new records."""

SNAPSHOT_INTERVAL_S = 1800.0
"""A snapshot is written at least this often, even if no order arrived
(the parts of the last snapshot count as new records): a log that drops
records by age would otherwise drop the last snapshot. The log must retain
records for longer than this."""

MAXIMUM_AGE_FRACTION = 0.5
"""A snapshot is replaced when it is older than this fraction of the
records that the log retains."""


def snapshot_parts(
    claims: order_claims.Claims, snapshot_id: str
) -> list[order_records.OrderSnapshotPart]:
    """Return a snapshot of *claims*, divided into records."""
    entries = claims.entries()
    slices = [
        entries[start : start + KEYS_PER_PART]
        for start in range(0, max(1, len(entries)), KEYS_PER_PART)
    ]
    return [
        order_records.OrderSnapshotPart(
            snapshot_id=snapshot_id,
            part=number,
            parts=len(slices),
            through_offset=claims.through_offset,
            complete_from_unix_s=claims.complete_from_unix_s,
            keys=keys,
        )
        for number, keys in enumerate(slices)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class StartState:
    """A state from which a reader starts to fold.

    :ivar through_offset: offset of the last record folded into it
    :ivar complete_from_unix_s: keys claimed before this time may be
        missing; 0 if none are
    """

    through_offset: int
    complete_from_unix_s: float
    keys: list[order_records.KeyEntry]


class Collector:
    """Assembles snapshots from their parts while the stream is read.

    :ivar newest: the complete snapshot with the highest offset, or None
    """

    def __init__(self) -> None:
        self.newest: StartState | None = None
        self._parts: dict[str, dict[int, order_records.OrderSnapshotPart]] = {}

    @property
    def through_offset(self) -> int:
        """The offset of the newest complete snapshot; -1 without one."""
        return -1 if self.newest is None else self.newest.through_offset

    def collect(self, record: order_records.OrderRecord | None) -> None:
        """Collect *record* if it is a part of a snapshot."""
        if not isinstance(record, order_records.OrderSnapshotPart):
            return
        parts = self._parts.setdefault(record.snapshot_id, {})
        parts[record.part] = record
        if len(parts) < record.parts:
            return
        del self._parts[record.snapshot_id]
        if record.through_offset <= self.through_offset:
            return
        self._discard_older_parts(record.through_offset)
        self.newest = StartState(
            record.through_offset,
            record.complete_from_unix_s,
            [key for number in sorted(parts) for key in parts[number].keys],
        )

    def _discard_older_parts(self, through_offset: int) -> None:
        self._parts = {
            snapshot_id: parts
            for snapshot_id, parts in self._parts.items()
            if any(p.through_offset > through_offset for p in parts.values())
        }


def start_state(
    collector: Collector, first_retained_offset: int, now_unix_s: float
) -> StartState:
    """Return the state from which a reader of the stream starts.

    The reader has passed all retained records to *collector*. If there is
    no snapshot that reaches the first retained record, keys may have been
    lost; the state is then marked as complete only from *now_unix_s* on.
    """
    newest = collector.newest
    if (
        newest is not None
        and newest.through_offset >= first_retained_offset - 1
    ):
        return newest
    if first_retained_offset == 0:
        return StartState(-1, 0.0, [])
    return StartState(first_retained_offset - 1, now_unix_s, [])


class Schedule:
    """Decides when to write a snapshot.

    :param spread: from 0 to 1, different for each committer, so that they
        don't all write at the same time
    """

    def __init__(self, spread: float) -> None:
        self._factor = 0.5 + 0.5 * spread
        self._last_s: float | None = None
        self._last_offset = -1

    def record_snapshot(self, through_offset: int, now_s: float) -> None:
        """Record that a complete snapshot, by any committer, was read."""
        self._last_offset = through_offset
        self._last_s = now_s

    def is_due(
        self, first_retained: int, through_offset: int, now_s: float
    ) -> bool:
        """Return whether to write a snapshot now.

        :param first_retained: offset of the first record that the log
            retains
        :param through_offset: offset of the last record folded
        """
        if self._last_s is None:
            self._last_s = now_s
        new_records = through_offset - self._last_offset
        if new_records <= 0:
            return False
        if new_records >= RECORDS_BETWEEN_SNAPSHOTS * self._factor:
            return True
        if now_s - self._last_s >= SNAPSHOT_INTERVAL_S * self._factor:
            return True
        return self._is_about_to_be_dropped(first_retained, through_offset)

    def _is_about_to_be_dropped(
        self, first_retained: int, through_offset: int
    ) -> bool:
        retained = through_offset + 1 - first_retained
        age = through_offset - self._last_offset
        return first_retained > 0 and age > (
            retained * MAXIMUM_AGE_FRACTION * self._factor
        )
