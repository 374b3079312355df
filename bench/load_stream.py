"""One request of the load generator and the check of its answer."""

import dataclasses
import enum
import errno
import socket

import httptools
import msgspec

RECEIVE_BYTES = 64 * 1024
OUTCOME_HEADER = b'guavachute-outcome'
EVENT_END = b'\n\n'
DONE = b'[DONE]'


class Choice(msgspec.Struct):
    """What is read of a chunk's choice."""

    text: str = ''
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """What is read of an event."""

    token_index: int = -1
    choices: list[Choice] = []


_decode = msgspec.json.Decoder(Chunk).decode


class Result(enum.Enum):
    """How a request ended, as the load generator sees it."""

    COMPLETE = 'complete'
    REFUSED = 'refused'
    CUT = 'cut'
    WRONG = 'wrong-text'


@dataclasses.dataclass(slots=True)
class Request:
    """One request to send.

    :ivar at_s: not before this time after the start
    :ivar label: what its figures are summed under
    :ivar expected: the text of the whole answer, to be checked
    """

    address: str
    body: bytes
    at_s: float = 0
    label: str = ''
    path: str = '/v1/completions'
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    expected: str | None = None

    def encode(self) -> bytes:
        """The request's bytes."""
        lines = [
            f'POST {self.path} HTTP/1.1',
            f'Host: {self.address}',
            'Content-Type: application/json',
            f'Content-Length: {len(self.body)}',
            *(f'{name}: {value}' for name, value in self.headers.items()),
            '',
            '',
        ]
        return '\r\n'.join(lines).encode() + self.body


def connect(address: str) -> socket.socket:
    """A connection in the making, non-blocking."""
    host, _, port = address.rpartition(':')
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.connect_ex((host, int(port)))
    return made


class Exchange:
    """A request on its way and what has come of its answer.

    :ivar tokens: how many came, each checked to be the next
    :ivar outcome: the header or trailer of that name, or ``none``
    """

    __slots__ = (
        'begun_s', 'complete', 'connection', 'done', 'first_byte_s',
        'first_token_s', 'gaps', 'in_order', 'last_token_s', 'outcome',
        'request', 'reused', 'status', 'text', 'tokens', 'unsent', '_parser',
        '_rest',
    )  # fmt: skip

    def __init__(
        self,
        request: Request,
        connection: socket.socket,
        reused: bool,
        now_s: float,
    ) -> None:
        self.request = request
        self.connection = connection
        self.reused = reused
        self.begun_s = now_s
        self.first_byte_s: float | None = None
        self.first_token_s: float | None = None
        self.last_token_s: float | None = None
        self.unsent = request.encode()
        self.status = 0
        self.outcome = 'none'
        self.complete = False
        self.done = False
        self.in_order = True
        self.tokens = 0
        self.text: list[str] = []
        self.gaps: list[float] = []
        self._parser = httptools.HttpResponseParser(self)
        self._rest = b''

    def send(self) -> bool:
        """Send what the socket takes; False when it broke."""
        try:
            sent = self.connection.send(self.unsent)
        except BlockingIOError:
            return True
        except OSError as error:
            return error.errno == errno.ENOTCONN
        self.unsent = self.unsent[sent:]
        return True

    def receive(self, now_s: float) -> bool:
        """Take what has come; False when the connection ended."""
        try:
            data = self.connection.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        if self.first_byte_s is None:
            self.first_byte_s = now_s
        before = self.tokens
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            return False
        if self.tokens > before:
            if self.last_token_s is None:
                self.first_token_s = now_s
            else:
                self.gaps.append(now_s - self.last_token_s)
            self.last_token_s = now_s
        return True

    def can_be_reused(self) -> bool:
        """Whether another request may follow on the connection."""
        return self.complete and self._parser.should_keep_alive()

    def result(self) -> Result:
        """How it ended."""
        if not self.complete:
            return Result.CUT
        if self.status != 200:
            return Result.REFUSED
        if not self.done:
            return Result.CUT
        expected = self.request.expected
        if expected is not None and ''.join(self.text) != expected:
            return Result.WRONG
        return Result.COMPLETE if self.in_order else Result.WRONG

    # The parser calls what follows.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the outcome, from the head or from the trailers."""
        if name.lower() == OUTCOME_HEADER:
            self.outcome = value.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Note the status."""
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Read the events that are whole."""
        if self.status != 200:
            return
        parts = (self._rest + data).split(EVENT_END)
        self._rest = parts.pop()
        for part in parts:
            _, _, event = part.rpartition(b'data: ')
            if event == DONE:
                self.done = True
            else:
                self._take(_decode(event))

    def on_message_complete(self) -> None:
        """The answer is whole."""
        self.complete = True

    def _take(self, chunk: Chunk) -> None:
        if not chunk.choices or chunk.choices[0].finish_reason is not None:
            return
        self.in_order = self.in_order and chunk.token_index == self.tokens
        self.tokens += 1
        self.text.append(chunk.choices[0].text)
