"""Folds the records of a claims stream into who may run each order.

The first claim of a key in the log holds the key. Only the attempt that
made it may be dispatched, and only by the router that made the attempt.
If an attempt certainly has not run and never will, a give-up record
releases the key, and the next claim after that record holds it. All
readers of the same records come to the same result, even if records are
late or duplicated.

An attempt has only one claim that counts. Once its claim was not the first
or a give-up record names it, the attempt is spent and later records of it
are ignored. This holds even if the give-up record precedes the claim in
the log, which happens when an append whose answer was lost takes effect
late.
"""

import dataclasses
import enum
import functools
import typing

from guavachute import ids
from guavachute.wire import order_records

MAXIMUM_SPENT_ATTEMPTS = 32
"""How many spent attempts are kept for each key. If the claim of a
discarded one still arrives, the key is blocked for the window, which is
safe."""

CLOCK_ERROR_S = 300.0
"""Maximum assumed difference between the clocks of two VMs."""


class AttemptStatus(enum.Enum):
    """The status of one attempt according to the log."""

    FREE = 'free'
    """No claim holds the key, and this attempt is not spent."""
    HOLDS = 'holds'
    """The attempt holds the key and may be dispatched."""
    LOST = 'lost'
    """Another attempt holds the key, or this one is spent."""
    ANSWERED = 'answered'
    """The order ran and its answer is stored."""
    OTHER_BODY = 'other-body'
    """The key was claimed with a different body."""


@dataclasses.dataclass(slots=True)
class _Key:
    body_digest: str
    seen_unix_s: float
    holder: ids.AttemptId | None = None
    answer: order_records.OrderAnswer | None = None
    spent: tuple[ids.AttemptId, ...] = ()

    def mark_spent(self, attempt_id: ids.AttemptId) -> None:
        if attempt_id not in self.spent:
            self.spent = (*self.spent, attempt_id)[-MAXIMUM_SPENT_ATTEMPTS:]


class Claims:
    """The state that the records of one stream fold into.

    :param window_s: how long a key is kept after its last claim
    :ivar through_offset: offset of the last folded record; -1 before the
        first
    :ivar complete_from_unix_s: keys claimed before this time may be
        missing; 0 if none are
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.through_offset = -1
        self.complete_from_unix_s = 0.0
        self._keys: dict[str, _Key] = {}

    def __len__(self) -> int:
        """The number of keys in the state."""
        return len(self._keys)

    def fold(
        self,
        offset: int,
        record: order_records.OrderRecord | None,
        now_unix_s: float,
    ) -> None:
        """Fold the record at *offset*; None stands for an unreadable one.

        A record at or before :attr:`through_offset` is skipped.

        :param now_unix_s: the reader's clock, which bounds the times in
            the records
        """
        if offset <= self.through_offset:
            return
        self.through_offset = offset
        if record is not None:
            _fold(record, self, now_unix_s)

    def status_of(
        self, key_digest: str, attempt_id: ids.AttemptId, body_digest: str
    ) -> AttemptStatus:
        """Return the status of *attempt_id* by the records folded so far."""
        key = self._keys.get(key_digest)
        if key is None:
            return AttemptStatus.FREE
        if key.body_digest not in ('', body_digest):
            return AttemptStatus.OTHER_BODY
        if key.answer is not None:
            return AttemptStatus.ANSWERED
        if key.holder == attempt_id:
            return AttemptStatus.HOLDS
        if key.holder is not None or attempt_id in key.spent:
            return AttemptStatus.LOST
        return AttemptStatus.FREE

    def answer(self, key_digest: str) -> order_records.OrderAnswer | None:
        """Return the stored answer to *key_digest*, or None."""
        key = self._keys.get(key_digest)
        return key.answer if key is not None else None

    def expire(self, now_unix_s: float) -> None:
        """Discard the keys whose window has passed by every VM's clock."""
        oldest_unix_s = now_unix_s - self.window_s - CLOCK_ERROR_S
        if self.complete_from_unix_s < oldest_unix_s:
            self.complete_from_unix_s = 0.0
        self._keys = {
            digest: key
            for digest, key in self._keys.items()
            if key.seen_unix_s >= oldest_unix_s
        }

    def entries(self) -> list[order_records.KeyEntry]:
        """Return all keys in the form that snapshots use."""
        return [
            order_records.KeyEntry(
                digest,
                key.body_digest,
                key.seen_unix_s,
                key.holder,
                key.answer,
                key.spent,
            )
            for digest, key in self._keys.items()
        ]

    def restore(
        self,
        through_offset: int,
        complete_from_unix_s: float,
        entries: typing.Iterable[order_records.KeyEntry],
    ) -> None:
        """Replace the state by that of a complete snapshot."""
        self.through_offset = through_offset
        self.complete_from_unix_s = complete_from_unix_s
        self._keys = {
            entry.key_digest: _Key(
                entry.body_digest,
                entry.seen_unix_s,
                entry.holder,
                entry.answer,
                entry.spent,
            )
            for entry in entries
        }

    def apply_claim(
        self, claim: order_records.OrderClaim, now_unix_s: float
    ) -> None:
        """Apply a claim: it holds the key if that is free, or is spent."""
        key = self._key(claim.key_digest)
        # A later claim extends the time for which the key is kept.
        # Otherwise readers that expire it at slightly different times
        # could disagree on which of two claims near the end of the window
        # is the first.
        seen_unix_s = min(claim.claimed_unix_s, now_unix_s + CLOCK_ERROR_S)
        key.seen_unix_s = max(key.seen_unix_s, seen_unix_s)
        key.body_digest = key.body_digest or claim.body_digest
        if claim.attempt_id in key.spent or claim.attempt_id == key.holder:
            return
        if key.holder is None and key.body_digest == claim.body_digest:
            key.holder = claim.attempt_id
        else:
            key.mark_spent(claim.attempt_id)

    def apply_give_up(
        self, record: order_records.OrderGiveUp, now_unix_s: float
    ) -> None:
        """Release the key if the attempt holds it, and spend the attempt."""
        key = self._key(record.key_digest)
        key.seen_unix_s = max(key.seen_unix_s, now_unix_s)
        key.mark_spent(record.attempt_id)
        if key.holder == record.attempt_id and key.answer is None:
            key.holder = None

    def apply_answer(self, record: order_records.OrderAnswer) -> None:
        """Store the answer if its attempt holds the key."""
        key = self._key(record.key_digest)
        if key.holder == record.attempt_id:
            key.answer = record

    def _key(self, key_digest: str) -> _Key:
        return self._keys.setdefault(key_digest, _Key('', 0.0))


@functools.singledispatch
def _fold(
    record: order_records.OrderRecord, claims: Claims, now_unix_s: float
) -> None:
    raise AssertionError(f'no fold for {record!r}')


@_fold.register
def _(
    record: order_records.OrderClaim, claims: Claims, now_unix_s: float
) -> None:
    claims.apply_claim(record, now_unix_s)


@_fold.register
def _(
    record: order_records.OrderGiveUp, claims: Claims, now_unix_s: float
) -> None:
    claims.apply_give_up(record, now_unix_s)


@_fold.register
def _(
    record: order_records.OrderAnswer, claims: Claims, now_unix_s: float
) -> None:
    claims.apply_answer(record)


@_fold.register
def _(
    record: order_records.OrderSnapshotPart,
    claims: Claims,
    now_unix_s: float,
) -> None:
    """A reader that folded the records in the snapshot learns nothing new."""
