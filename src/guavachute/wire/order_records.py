"""Records of the streams in which orders are claimed (``claims-{n}``).

They need no record ids: each names its attempt, and folding it twice
changes nothing. An append whose answer was lost is simply repeated.
"""

import typing

import msgspec

from guavachute import ids
from guavachute import outcome


class _Record(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """What all records of these streams have in common."""


class _KeyRecord(_Record, frozen=True, kw_only=True):
    """A record about one key.

    :ivar key_digest: of workspace, service and ``Idempotency-Key``
    :ivar attempt_id: one try to run the order, made by one router
    """

    key_digest: str
    attempt_id: ids.AttemptId


class OrderClaim(_KeyRecord, frozen=True, kw_only=True, tag='order-claim'):
    """Asks for the right to dispatch.

    :ivar body_digest: a key is refused with any other body
    :ivar claimed_unix_s: to forget keys after the window
    """

    body_digest: str
    claimed_unix_s: float


class OrderGiveUp(_KeyRecord, frozen=True, kw_only=True, tag='order-give-up'):
    """The attempt has not run and never will."""


class OrderAnswer(_KeyRecord, frozen=True, kw_only=True, tag='order-answer'):
    """The attempt has run and was answered.

    :ivar body: None where it is too large to be kept
    """

    status: int
    headers: dict[str, str]
    body: bytes | None


class KeyEntry(msgspec.Struct, frozen=True, array_like=True):
    """What is remembered of a key; see ``decide.orders.order_claims``."""

    key_digest: str
    body_digest: str
    seen_unix_s: float
    holder: ids.AttemptId | None = None
    answer: OrderAnswer | None = None
    spent: tuple[ids.AttemptId, ...] = ()


class OrderSnapshotPart(
    _Record, frozen=True, kw_only=True, tag='order-snapshot-part'
):
    """A part of what the records up to *through_offset* fold into.

    :ivar part: counted from 0
    :ivar complete_from_unix_s: any key may have been claimed before this
        time without a trace left; 0 where nothing was lost
    """

    snapshot_id: str
    part: int
    parts: int
    through_offset: int
    complete_from_unix_s: float
    keys: list[KeyEntry]


OrderRecord = OrderClaim | OrderGiveUp | OrderAnswer | OrderSnapshotPart


def parse(raw: typing.Any) -> OrderRecord | outcome.Failure:
    """A record from its plain JSON values."""
    try:
        return msgspec.convert(raw, OrderRecord)
    except msgspec.ValidationError as error:
        return outcome.Failure(outcome.Reason.UNREADABLE, str(error))
