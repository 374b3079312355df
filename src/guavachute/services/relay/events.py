"""Server-sent events of the engines: cut from bytes and typed."""

import msgspec

EVENT_END = b'\n\n'
DATA_FIELD = b'data:'
DATA = b'data: '
DONE = b'[DONE]'


class Delta(msgspec.Struct):
    """The text of a chat chunk."""

    content: str | None = None


class Choice(msgspec.Struct):
    """The text of a chunk, in either of OpenAI's formats."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """What an answer cost, in tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Chunk(msgspec.Struct):
    """What the relay reads of an event; the rest passes unread."""

    id: str = ''
    attempt_id: str = ''
    token_index: int = -1
    choices: list[Choice] = []
    usage: Usage | None = None


class Splitter:
    """Cuts a stream of bytes into the data of its events."""

    __slots__ = ('_partial_event',)

    def __init__(self) -> None:
        self._partial_event = b''

    def feed(self, data: bytes) -> list[bytes]:
        """The data of each event that *data* completes."""
        if b'\r' in data:
            # JSON has no bare carriage return: these end lines.
            data = data.replace(b'\r', b'')
        parts = (self._partial_event + data).split(EVENT_END)
        self._partial_event = parts.pop()
        return [
            part[len(DATA) :]
            if part.startswith(DATA) and b'\n' not in part
            else _data_of(part)
            for part in parts
            if DATA_FIELD in part
        ]


def text_and_end(chunk: Chunk) -> tuple[str | None, str | None]:
    """The text of the chunk's token and why the answer ends, if it does."""
    if not chunk.choices:
        return None, None
    choice = chunk.choices[0]
    if choice.delta is not None:
        return choice.delta.content, choice.finish_reason
    return choice.text, choice.finish_reason


def _data_of(event: bytes) -> bytes:
    """The data of an event that has other fields, or no space."""
    lines = [
        line[len(DATA_FIELD) :].removeprefix(b' ')
        for line in event.split(b'\n')
        if line.startswith(DATA_FIELD)
    ]
    return b'\n'.join(lines)


decode_chunk = msgspec.json.Decoder(Chunk).decode
