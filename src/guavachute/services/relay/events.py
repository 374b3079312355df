"""Splits and decodes the server-sent events of the engines."""

import msgspec

EVENT_END = b'\n\n'
DATA_FIELD = b'data:'
DATA = b'data: '
DONE = b'[DONE]'
MAX_EVENT_BYTES = 1_048_576
"""Size limit of one event; a longer one may have no end."""


class Delta(msgspec.Struct):
    """The text of one chunk in the chat format."""

    content: str | None = None


class Choice(msgspec.Struct):
    """The text of one chunk, in the completion or the chat format."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Token counts of an answer, as the engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Chunk(msgspec.Struct):
    """The fields of an event that the relay uses; others are ignored."""

    id: str = ''
    attempt_id: str = ''
    token_index: int = -1
    choices: list[Choice] = []
    usage: Usage | None = None


class Splitter:
    """Splits a stream of bytes into the data of its events."""

    __slots__ = ('_partial_event',)

    def __init__(self) -> None:
        self._partial_event = bytearray()

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event exceeds :data:`MAX_EVENT_BYTES`."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Append *data* to the stream.

        :returns: the data of each event that is now complete, in order;
            events without data are left out
        """
        if b'\r' in data:
            # JSON contains no bare carriage return, so each one is part of
            # a line end.
            data = data.replace(b'\r', b'')
        known = max(0, len(self._partial_event) - len(EVENT_END) + 1)
        self._partial_event += data
        if self._partial_event.find(EVENT_END, known) < 0:
            return []
        parts = bytes(self._partial_event).split(EVENT_END)
        self._partial_event = bytearray(parts.pop())
        return [
            part[len(DATA) :]
            if part.startswith(DATA) and b'\n' not in part
            else _data_of(part)
            for part in parts
            if DATA_FIELD in part
        ]


def text_and_end(chunk: Chunk) -> tuple[str | None, str | None]:
    """The text of the chunk's token and the reason if the answer ends."""
    if not chunk.choices:
        return None, None
    choice = chunk.choices[0]
    if choice.delta is not None:
        return choice.delta.content, choice.finish_reason
    return choice.text, choice.finish_reason


def _data_of(event: bytes) -> bytes:
    """The data of an event with other fields or without the space."""
    lines = [
        line[len(DATA_FIELD) :].removeprefix(b' ')
        for line in event.split(b'\n')
        if line.startswith(DATA_FIELD)
    ]
    return b'\n'.join(lines)


decode_chunk = msgspec.json.Decoder(Chunk).decode
