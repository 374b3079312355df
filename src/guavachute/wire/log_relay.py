"""What a relay of the control stream and its followers tell each other.

Encoded by position, for most of what travels is a sign of life.
"""

import typing

import msgspec

from guavachute import ids
from guavachute.wire import gossip
from guavachute.wire import records


class Follow(msgspec.Struct, frozen=True, array_like=True, tag='follow'):
    """Asks for all that follows on *through_offset*."""

    through_offset: ids.Offset


class RelayState(msgspec.Struct, frozen=True, array_like=True, tag='state'):
    """The whole state, for a follower that is new or far behind.

    :ivar log_age_s: since the log itself was heard, in all messages
    """

    state: records.ControlState
    log_age_s: float


class RelayRecords(
    msgspec.Struct, frozen=True, array_like=True, tag='records'
):
    """Records in a row, as plain values so that unknown kinds pass."""

    first_offset: ids.Offset
    records: list[typing.Any]
    log_age_s: float


class RelayAlive(msgspec.Struct, frozen=True, array_like=True, tag='alive'):
    """Nothing is new."""

    through_offset: ids.Offset
    log_age_s: float


Message = Follow | RelayState | RelayRecords | RelayAlive
Any = typing.Union[gossip.Handshake, Message]
