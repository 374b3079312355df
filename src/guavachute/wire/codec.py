"""Typed messages as msgpack streams.

Every message is a ``msgspec.Struct`` with a tag. The stream is plain
msgpack, one map after another, so any msgpack reader can follow it.
"""

import typing

import msgpack
import msgspec

from guavachute import outcome

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


def encode(message: msgspec.Struct) -> bytes:
    """*message* as one msgpack map."""
    return msgpack.packb(msgspec.to_builtins(message))


class Decoder:
    """Cuts a byte stream into messages of one union type.

    :param message_type: a ``msgspec.Struct`` or a union of tagged ones
    """

    def __init__(self, message_type: typing.Any) -> None:
        self._message_type = message_type
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> list[typing.Any] | outcome.Failure:
        """The messages that *data* completes.

        A :class:`~guavachute.outcome.Failure` means that the peer sends
        something else; the stream can't be read any further.
        """
        messages = []
        try:
            self._unpacker.feed(data)
            for value in self._unpacker:
                messages.append(msgspec.convert(value, self._message_type))
        except (msgspec.ValidationError, ValueError, msgpack.BufferFull) as e:
            return outcome.Failure(outcome.Reason.UNREADABLE, str(e))
        return messages
