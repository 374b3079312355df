"""What a relay of the control stream and its followers tell each other."""

import typing

import msgspec

from guavachute import ids
from guavachute.wire import records


class Follow(msgspec.Struct, frozen=True, kw_only=True, tag='follow'):
    """Asks for all that follows on *through_offset*."""

    through_offset: ids.Offset


class RelayState(msgspec.Struct, frozen=True, kw_only=True, tag='relay-state'):
    """The whole state, for a follower that is new or far behind.

    :ivar log_age_s: since the log itself was heard, in all messages
    """

    state: records.ControlState
    log_age_s: float


class RelayRecords(
    msgspec.Struct, frozen=True, kw_only=True, tag='relay-records'
):
    """Records in a row, as plain values so that unknown kinds pass."""

    first_offset: ids.Offset
    records: list[typing.Any]
    log_age_s: float


class RelayAlive(msgspec.Struct, frozen=True, kw_only=True, tag='relay-alive'):
    """Nothing is new."""

    through_offset: ids.Offset
    log_age_s: float


FromRelay = RelayState | RelayRecords | RelayAlive
