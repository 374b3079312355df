"""Server-sent events of the engines: cut from bytes and typed."""

import msgspec

EVENT_END = b'\n\n'
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

    @property
    def text(self) -> str | None:
        """The text of the token, if there is one."""
        if not self.choices:
            return None
        choice = self.choices[0]
        if choice.delta is not None:
            return choice.delta.content
        return choice.text

    @property
    def finish_reason(self) -> str | None:
        """Why the answer ends here, if it does."""
        return self.choices[0].finish_reason if self.choices else None


class Splitter:
    """Cuts a stream of bytes into the data of its events."""

    __slots__ = ('_rest',)

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, data: bytes) -> list[bytes]:
        """The data of each event that *data* completes."""
        parts = (self._rest + data).split(EVENT_END)
        self._rest = parts.pop()
        return [part[len(DATA) :] for part in parts if part.startswith(DATA)]


decode_chunk = msgspec.json.Decoder(Chunk).decode
