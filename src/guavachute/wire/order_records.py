"""Records of the streams in which orders are claimed (``claims-{n}``).

The records need no ids: each names its attempt, and folding it twice
changes nothing. An append whose answer was lost is repeated.
"""

import typing

import msgspec

from guavachute import ids
from guavachute import outcome


class _Record(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """Base of all records of these streams."""


class _KeyRecord(_Record, frozen=True, kw_only=True):
    """A record about one key.

    :ivar key_digest: digest of workspace, service and ``Idempotency-Key``
    :ivar attempt_id: one attempt of a router to run the order
    """

    key_digest: str
    attempt_id: ids.AttemptId


class OrderClaim(_KeyRecord, frozen=True, kw_only=True, tag='order-claim'):
    """Claims the right to dispatch the order.

    :ivar body_digest: digest of the request; the key is refused with any
        other
    :ivar claimed_unix_s: the time from which the key is kept for the
        window
    """

    body_digest: str
    claimed_unix_s: float


class OrderGiveUp(_KeyRecord, frozen=True, kw_only=True, tag='order-give-up'):
    """Records that the attempt has not run and never will."""


class OrderAnswer(_KeyRecord, frozen=True, kw_only=True, tag='order-answer'):
    """Records the answer to an attempt that ran.

    :ivar body: None if it is too large to be stored, or may be incomplete
    """

    status: int
    headers: dict[str, str]
    body: bytes | None


class KeyEntry(msgspec.Struct, frozen=True, array_like=True):
    """The state of a key in a snapshot; see ``decide.orders.order_claims``.

    :ivar seen_unix_s: time of its last claim
    :ivar holder: the attempt that holds the key, or None
    :ivar answer: the answer to the holder, or None
    :ivar spent: attempts whose later records are ignored
    """

    key_digest: str
    body_digest: str
    seen_unix_s: float
    holder: ids.AttemptId | None = None
    answer: OrderAnswer | None = None
    spent: tuple[ids.AttemptId, ...] = ()


class OrderSnapshotPart(
    _Record, frozen=True, kw_only=True, tag='order-snapshot-part'
):
    """A part of a snapshot of the records up to *through_offset*.

    :ivar part: the number of this part, from 0
    :ivar parts: how many parts the snapshot has
    :ivar complete_from_unix_s: claims made before this time may be
        missing; 0 if none are
    """

    snapshot_id: str
    part: int
    parts: int
    through_offset: int
    complete_from_unix_s: float
    keys: list[KeyEntry]


OrderRecord = OrderClaim | OrderGiveUp | OrderAnswer | OrderSnapshotPart


def parse(raw: typing.Any) -> OrderRecord | outcome.Failure:
    """Convert plain JSON values to a record."""
    try:
        return msgspec.convert(raw, OrderRecord)
    except msgspec.ValidationError as error:
        return outcome.Failure(outcome.Reason.UNREADABLE, str(error))
