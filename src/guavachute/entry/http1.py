"""Incremental parsers and encoders for HTTP/1.1, based on ``httptools``.

The parser rejects what two implementations could read differently: both kinds
of length, two lengths, bare line ends, folded headers, a space before a colon.
A rejected message ends the connection.
"""

import dataclasses
import enum
import typing

import httptools

from guavachute.decide.ingress.intake import budget
from guavachute.domain import call
from guavachute.http import message

LAST_CHUNK = b'0\r\n\r\n'
MAX_ANSWER_HEAD_BYTES = 65_536
"""Upper bound of what comes between two parts of the bodies of answers: heads,
interim answers, chunk sizes and trailers."""

MAX_STATUS = 599

REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Problem(enum.Enum):
    """Why a request is rejected; the value is the status of the answer."""

    MALFORMED = 400
    BODY_TOO_LARGE = 413
    HEAD_TOO_LARGE = 431


@dataclasses.dataclass(slots=True)
class Request:
    """A completely read request.

    :ivar held_bytes: what it costs in memory
    """

    method: str
    target: bytes
    headers: list[call.Header]
    body: bytes
    keeps_alive: bool
    held_bytes: int = 0


class RequestReader:
    """Parses the requests of a connection, one after the other.

    :ivar requests: complete requests, for the user to remove
    :ivar problem: why parsing has ended; None while it continues
    """

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.requests: list[Request] = []
        self.problem: Problem | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._headers: list[call.Header] = []
        self._body = bytearray()
        self._head_bytes = 0
        self._unended_bytes = 0
        self._framing_bytes = 0
        self._is_in_head = False
        self._is_in_body = False
        self._method = ''
        self._objects_bytes = 0
        self._queued_bytes = 0
        self._length: int | None = None

    @property
    def held_bytes(self) -> int:
        """What the requests cost in memory that it has and is reading."""
        return (
            self._queued_bytes
            + self._head_bytes
            + self._unended_bytes
            + self._objects_bytes
            + len(self._body)
        )

    @property
    def remaining_bytes(self) -> int:
        """How long the rest of the body is, at most; 0 in a head."""
        if not self._is_in_body:
            return 0
        length = self.max_body_bytes if self._length is None else self._length
        return max(0, length - len(self._body))

    def take(self) -> Request:
        """Remove the first complete request."""
        request = self.requests.pop(0)
        self._queued_bytes -= request.held_bytes
        return request

    def discard(self) -> None:
        """Discard all requests; nothing is parsed any more."""
        self.problem = self.problem or Problem.MALFORMED
        self.requests.clear()
        self._headers = []
        self._body = bytearray()
        self._target = b''
        self._queued_bytes = self._objects_bytes = 0
        self._head_bytes = self._unended_bytes = 0

    @property
    def is_reading_request(self) -> bool:
        """Whether a request has started and not ended."""
        return self._is_in_head or self._is_in_body

    @property
    def is_in_head(self) -> bool:
        """Whether the head of a request has started and not ended."""
        return self._is_in_head

    def feed(self, data: bytes) -> None:
        """Parse bytes of the connection; ignored after a problem."""
        if self.problem is not None:
            return
        self._framing_bytes += len(data)
        counted_bytes = self._head_bytes
        rest = data
        while rest:
            rest = self._parse(rest)
        if self._is_in_head:
            if self._head_bytes == counted_bytes:
                # All of it belongs to a header that has not ended yet.
                self._unended_bytes += len(data)
            self._check_head()
        elif self._is_in_body and self._framing_bytes > self.max_head_bytes:
            # A trailer or a chunk extension.
            self.problem = Problem.HEAD_TOO_LARGE

    def _parse(self, data: bytes) -> bytes:
        """Parse *data*; the result is left to be parsed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self._method != 'CONNECT':
                self._ignore_upgrade()
                return data[upgrade.args[0] :]
            self.problem = self.problem or Problem.MALFORMED
        except httptools.HttpParserError:
            self.problem = self.problem or Problem.MALFORMED
        return b''

    def _ignore_upgrade(self) -> None:
        """Read on in HTTP/1.1 behind a head that offers another protocol.

        The parser ends at such a head, so another one gets it without the
        offer.
        """
        version = self._parser.get_http_version().encode()
        lines = [
            b'%s %s HTTP/%s' % (self._method.encode(), self._target, version)
        ]
        lines += [
            b'%s: %s' % (name, value)
            for name, value in self._headers
            if name.lower() != b'upgrade'
        ]
        self._parser = httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(b'\r\n'.join(lines) + b'\r\n\r\n')
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # For example, the method belongs to RTSP.
            self.problem = self.problem or Problem.MALFORMED

    def on_message_begin(self) -> None:
        """Parser callback: a request starts."""
        self._target = b''
        self._headers = []
        self._body = bytearray()
        self._head_bytes = self._unended_bytes = 0
        self._objects_bytes = budget.REQUEST_BYTES
        self._length = 0
        self._is_in_head = True

    def on_url(self, data: bytes) -> None:
        """Parser callback: a part of the target."""
        self._target += data
        self._head_bytes += len(data)
        self._check_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header, or a trailer, which is dropped."""
        if self._is_in_head:
            self._headers.append((name, value))
            self._head_bytes += len(name) + len(value) + 4
            self._objects_bytes += budget.HEADER_BYTES
            self._unended_bytes = 0
            self._check_head()

    def _check_head(self) -> None:
        if self._head_bytes + self._unended_bytes > self.max_head_bytes:
            self.problem = Problem.HEAD_TOO_LARGE

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self._is_in_head = False
        self._is_in_body = True
        self._framing_bytes = 0
        self._method = self._parser.get_method().decode('latin-1')
        length = next(
            (v for n, v in self._headers if n.lower() == b'content-length'),
            b'0',
        )
        self._length = int(length)
        if self._length > self.max_body_bytes:
            self.problem = Problem.BODY_TOO_LARGE
        elif any(n.lower() == b'transfer-encoding' for n, _ in self._headers):
            self._length = None

    def on_body(self, data: bytes) -> None:
        """Parser callback: a part of the body."""
        self._framing_bytes = 0
        if len(self._body) + len(data) > self.max_body_bytes:
            self.problem = Problem.BODY_TOO_LARGE
        elif self.problem is None:
            self._body += data

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        if self._parser.should_upgrade():
            # Its body follows, which the parser takes for another protocol.
            return
        self._is_in_body = False
        if self.problem is None:
            request = Request(
                method=self._method,
                target=self._target,
                headers=self._headers,
                body=bytes(self._body),
                keeps_alive=self._parser.should_keep_alive(),
                held_bytes=(
                    self._head_bytes + self._objects_bytes + len(self._body)
                ),
            )
            self.requests.append(request)
            self._queued_bytes += request.held_bytes
        self._headers = []
        self._body = bytearray()
        self._head_bytes = self._objects_bytes = 0


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'
    """The end of the connection, which looks the same after an answer that
    was broken off."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The head of an answer is complete."""

    status: int
    headers: list[call.Header]
    framing: Framing


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBody:
    """A part of the answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The answer is complete.

    :ivar keeps_alive: whether the connection can serve another request
    """

    keeps_alive: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMalformed:
    """The bytes are no valid answer; parsing has ended."""


AnswerEvent = AnswerStarted | AnswerBody | AnswerEnded | AnswerMalformed


class AnswerReader:
    """Parses the answers of a connection, one after the other.

    The parts of a body that come in one piece of data are one, however small
    its chunks. Interim answers (1xx) are skipped. Malformed are answers with a
    status that none has, interim ones that have a body or change the protocol,
    and bytes that go on without a body for more than
    :data:`MAX_ANSWER_HEAD_BYTES`.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[call.Header] = []
        self._body = bytearray()
        self._events: list[AnswerEvent] = []
        self._status = 0
        self._framing = Framing.LENGTH
        self._framing_bytes = 0
        self._is_in_head = False
        self._is_in_body = False
        self._is_malformed = False

    @property
    def is_reading_answer(self) -> bool:
        """Whether an answer has started and not ended."""
        return self._is_in_head or self._is_in_body

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body of the answer is ended by the connection."""
        return self._is_in_body and self._framing is Framing.CONNECTION

    def feed(self, data: bytes) -> list[AnswerEvent]:
        """Parse bytes of the connection; the events are in order."""
        self._events = []
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_malformed = True
        self._add_body()
        if self._framing_bytes > MAX_ANSWER_HEAD_BYTES:
            self._is_malformed = True
        if self._is_malformed:
            self._events.append(AnswerMalformed())
        return self._events

    def _add_body(self) -> None:
        if self._body:
            self._events.append(AnswerBody(bytes(self._body)))
            self._body.clear()

    def on_message_begin(self) -> None:
        """Parser callback: an answer starts."""
        self._headers = []
        self._is_in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header, or a trailer, which is dropped."""
        if self._is_in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self._is_in_head = False
        self._is_in_body = True
        self._status = self._parser.get_status_code()
        self._framing = _framing(self._status, self._headers)
        is_final = 200 <= self._status <= MAX_STATUS
        if not is_final and not self._is_interim():
            self._is_malformed = True
        if is_final and not self._is_malformed:
            self._framing_bytes = 0
            self._events.append(
                AnswerStarted(self._status, self._headers, self._framing)
            )

    def _is_interim(self) -> bool:
        """Whether the head is that of an interim answer.

        No request offers another protocol, and an interim answer has no body.
        """
        return (
            100 <= self._status < 200
            and self._status != 101
            and (
                self._framing is not Framing.CHUNKS
                and not any(
                    name.lower() == b'content-length' and value.strip(b'0 ')
                    for name, value in self._headers
                )
            )
        )

    def on_body(self, data: bytes) -> None:
        """Parser callback: a part of the body."""
        self._framing_bytes = 0
        if not self._is_malformed:
            self._body += data

    def on_message_complete(self) -> None:
        """Parser callback: the answer is complete."""
        self._is_in_body = False
        self._add_body()
        if self._status >= 200 and not self._is_malformed:
            self._framing_bytes = 0
            self._events.append(AnswerEnded(self._parser.should_keep_alive()))


def _framing(status: int, headers: typing.Sequence[call.Header]) -> Framing:
    names = {name.lower() for name, _ in headers}
    if b'transfer-encoding' in names:
        return Framing.CHUNKS
    if b'content-length' in names or status in message.BODILESS_STATUSES:
        return Framing.LENGTH
    return Framing.CONNECTION


def encode_head(
    status: int,
    headers: typing.Sequence[call.Header],
    body_bytes: int | None,
    closes: bool,
    keep_alive_s: int = 0,
) -> bytes:
    """The head of an answer.

    :param body_bytes: the length of the body; None for a chunked body
    :param closes: whether the connection is closed after the answer
    :param keep_alive_s: otherwise, how long the caller may count on the idle
        connection; 0 if that is not said
    """
    if body_bytes is None:
        framing = b'Transfer-Encoding: chunked'
    else:
        framing = b'Content-Length: %d' % body_bytes
    lines = [framing]
    if closes:
        lines.append(b'Connection: close')
    elif keep_alive_s:
        lines.append(b'Connection: keep-alive')
        lines.append(b'Keep-Alive: timeout=%d' % keep_alive_s)
    return _encode_lines(status, headers, lines)


def encode_unframed_head(
    status: int, headers: typing.Sequence[call.Header]
) -> bytes:
    """The head of an answer whose body ends with the connection."""
    return _encode_lines(status, headers, [b'Connection: close'])


def _encode_lines(
    status: int,
    headers: typing.Sequence[call.Header],
    last_lines: typing.Sequence[bytes],
) -> bytes:
    lines = [b'HTTP/1.1 %d %s' % (status, REASONS.get(status, b'Status'))]
    lines += [b'%s: %s' % header for header in headers]
    return b'\r\n'.join([*lines, *last_lines]) + b'\r\n\r\n'


def encode_chunk(data: bytes) -> bytes:
    """*data* as one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)
