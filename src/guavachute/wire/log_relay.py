"""Messages between a relay of the control stream and its followers.

They are encoded by position to keep them short, because most of them are
heartbeats.
"""

import typing

import msgspec

from guavachute import ids
from guavachute.wire import gossip
from guavachute.wire import records


class Follow(msgspec.Struct, frozen=True, array_like=True, tag='follow'):
    """Requests all records after *through_offset*."""

    through_offset: ids.Offset


class RelayState(msgspec.Struct, frozen=True, array_like=True, tag='state'):
    """The full state, for a follower that is new or far behind.

    :ivar log_age_s: time since the log itself was last read, here and in
        the other messages
    """

    state: records.ControlState
    log_age_s: float


class RelayRecords(
    msgspec.Struct, frozen=True, array_like=True, tag='records'
):
    """Consecutive records from *first_offset* on.

    They are plain values, so that records of unknown kinds are relayed.
    """

    first_offset: ids.Offset
    records: list[typing.Any]
    log_age_s: float


class RelayAlive(msgspec.Struct, frozen=True, array_like=True, tag='alive'):
    """A heartbeat: there are no records after *through_offset*."""

    through_offset: ids.Offset
    log_age_s: float


Message = Follow | RelayState | RelayRecords | RelayAlive
AnyMessage = typing.Union[gossip.Handshake, Message]
