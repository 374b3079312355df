"""Encodes and decodes streams of typed messages in msgpack.

Every message is a ``msgspec.Struct`` with a tag. A stream consists of
msgpack values, one after another, so any msgpack library can read it.
"""

import typing

import msgpack
import msgspec

from guavachute import outcome

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


def encode(message: msgspec.Struct) -> bytes:
    """Return *message* as one msgpack value."""
    return msgpack.packb(msgspec.to_builtins(message))


class Decoder:
    """Decodes a byte stream into messages of one union type.

    :param message_type: a ``msgspec.Struct`` or a union of tagged ones
    """

    def __init__(self, message_type: typing.Any) -> None:
        self._message_type = message_type
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> list[typing.Any] | outcome.Failure:
        """Return the messages that are complete after *data*.

        A :class:`~guavachute.outcome.Failure` means that the peer sent
        something other than such messages; the stream can't be read any
        further.
        """
        messages = []
        try:
            self._unpacker.feed(data)
            for value in self._unpacker:
                messages.append(msgspec.convert(value, self._message_type))
        except (
            msgspec.ValidationError,
            ValueError,
            OverflowError,
            RecursionError,
            msgpack.BufferFull,
            msgpack.StackError,
        ) as e:
            return outcome.Failure(outcome.Reason.UNREADABLE, str(e))
        return messages
