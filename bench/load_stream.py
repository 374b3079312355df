"""A request of the load generator, and parsing and checking its answer."""

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
    """The fields of a choice that are read."""

    text: str = ''
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """The fields of a server-sent event that are read."""

    token_index: int = -1
    choices: list[Choice] = []


_decode = msgspec.json.Decoder(Chunk).decode


class Result(enum.Enum):
    """How a request ended, as the load generator sees it.

    ``CUT`` is an answer that ended early, ``REFUSED`` a complete answer
    with another status than 200.
    """

    COMPLETE = 'complete'
    REFUSED = 'refused'
    CUT = 'cut'
    WRONG = 'wrong-text'


@dataclasses.dataclass(slots=True)
class Request:
    """One request to send.

    :ivar at_s: earliest time to send it, in seconds since the start
    :ivar label: the name under which its figures are summed
    :ivar expected: the text of the complete answer; None is not checked
    """

    address: str
    body: bytes
    at_s: float = 0
    label: str = ''
    path: str = '/v1/completions'
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    expected: str | None = None

    def encode(self) -> bytes:
        """Return the encoded HTTP request."""
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
    """Start a non-blocking connection to *address*, ``IP:PORT``.

    The socket becomes writable when it is connected or has failed.
    """
    host, _, port = address.rpartition(':')
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.connect_ex((host, int(port)))
    return connection


class Exchange:
    """A request in progress and what has been received of its answer.

    All times are on the clock of the ``now_s`` that are passed in.

    :ivar unsent: remaining bytes of the request
    :ivar reused: the connection has served another request before
    :ivar tokens: number received
    :ivar in_order: False after a token that wasn't the next one
    :ivar gaps: seconds between reads that brought tokens
    :ivar outcome: the ``Guavachute-Outcome`` header or trailer, or
        ``none``
    :ivar complete: the HTTP response is complete
    :ivar done: the stream's final event has been received
    """

    __slots__ = (
        'start_s', 'complete', 'connection', 'done', 'first_byte_s',
        'first_token_s', 'gaps', 'in_order', 'last_token_s', 'outcome',
        'request', 'reused', 'status', 'text', 'tokens', 'unsent', '_parser',
        '_partial_event',
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
        self.start_s = now_s
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
        self._partial_event = b''

    def send(self) -> bool:
        """Send as much as possible; return False if the connection failed.

        A connection that isn't established yet counts as good.
        """
        try:
            sent = self.connection.send(self.unsent)
        except BlockingIOError:
            return True
        except OSError as error:
            return error.errno == errno.ENOTCONN
        self.unsent = self.unsent[sent:]
        return True

    def receive(self, now_s: float) -> bool:
        """Read and parse available bytes.

        Returns False if the connection has ended or the answer can't be
        parsed.
        """
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
        """Return whether another request can be sent on the connection."""
        return self.complete and self._parser.should_keep_alive()

    def result(self) -> Result:
        """Return how the request ended."""
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

    # Callbacks of the HTTP parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record the outcome from a header or a trailer."""
        if name.lower() == OUTCOME_HEADER:
            self.outcome = value.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Record the status."""
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Parse the events that are complete; keep the last partial one."""
        if self.status != 200:
            return
        parts = (self._partial_event + data).split(EVENT_END)
        self._partial_event = parts.pop()
        for part in parts:
            _, _, event = part.rpartition(b'data: ')
            if event == DONE:
                self.done = True
            else:
                self._record_chunk(_decode(event))

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self.complete = True

    def _record_chunk(self, chunk: Chunk) -> None:
        if not chunk.choices or chunk.choices[0].finish_reason is not None:
            return
        self.in_order = self.in_order and chunk.token_index == self.tokens
        self.tokens += 1
        self.text.append(chunk.choices[0].text)
