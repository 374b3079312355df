"""The endpoint's side of a stream: non-blocking HTTP/1.1 connections.

urllib3 would block a thread per exchange, whereas the relay task waits for
hundreds. Responses are parsed by ``httptools``.
"""

import contextlib
import enum
import errno
import selectors
import socket
import typing

import httptools

RECEIVE_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
"""Upper bound of what comes between two parts of a body: heads, interim
responses, chunk sizes and trailers."""

MAX_STATUS = 599
IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)


class State(enum.Enum):
    """The state of the current exchange."""

    CONNECTING = 'connecting'
    SENDING = 'sending'
    WAITING = 'waiting'
    """The request is sent; no byte of the response has arrived."""

    READING = 'reading'
    COMPLETE = 'complete'
    BROKEN = 'broken'


class Connection:
    """A connection to an endpoint for consecutive exchanges.

    The owner calls :meth:`connect` and :meth:`begin_exchange`, waits for
    :attr:`wanted_events` in a selector, and calls :meth:`advance`.

    :param address: ``IP:PORT``
    :ivar state: of the current exchange
    :ivar status: HTTP status of the response; 0 until its head is read
    :ivar sent_bytes: of the request; 0 means that it can't have run
    :ivar reused: whether an earlier exchange was completed on it
    :ivar retry_after_s: from the response's ``Retry-After`` header
    :ivar problem: why the state is BROKEN
    :ivar idle_since_s: when the last exchange ended
    """

    __slots__ = (
        'address', 'idle_since_s', 'problem', 'retry_after_s', 'reused',
        'sent_bytes', 'socket', 'state', 'status', '_body', '_framing_bytes',
        '_outgoing', '_parser',
    )  # fmt: skip

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_since_s = 0.0
        self.problem = ''
        self.reused = False
        self.retry_after_s: float | None = None
        self.sent_bytes = 0
        self.state = State.CONNECTING
        self.status = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._body: list[bytes] = []
        self._framing_bytes = 0
        self._outgoing = b''
        self._parser: typing.Any = None

    def connect(self) -> None:
        """Start connecting; the state is BROKEN if that fails at once."""
        host, _, port = self.address.rpartition(':')
        result = self.socket.connect_ex((host, int(port)))
        if result and result not in IN_PROGRESS:
            self._mark_broken(errno.errorcode.get(result, str(result)))

    def begin_exchange(self, request: bytes) -> None:
        """Start an exchange; *request* is sent when the socket is writable."""
        self.status = 0
        self.sent_bytes = 0
        self.retry_after_s = None
        self._body = []
        self._framing_bytes = 0
        self._outgoing = request
        self._parser = httptools.HttpResponseParser(self)
        if self.reused:
            self.state = State.SENDING
            self._send()

    @property
    def wanted_events(self) -> int:
        """The selector events that the exchange waits for now."""
        if self.state in (State.CONNECTING, State.SENDING):
            return selectors.EVENT_WRITE
        return selectors.EVENT_READ

    @property
    def can_be_reused(self) -> bool:
        """Whether the connection can be used for another exchange."""
        return (
            self.state is State.COMPLETE and self._parser.should_keep_alive()
        )

    def advance(self, events: int) -> None:
        """Connect, send or receive after the selector reported *events*."""
        if self.state is State.CONNECTING and events & selectors.EVENT_WRITE:
            self._finish_connect()
        if self.state is State.SENDING:
            self._send()
        if events & selectors.EVENT_READ:
            self.receive()

    def receive(self) -> None:
        """Read available data and feed it to the parser."""
        try:
            data = self.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._mark_broken(str(error))
            return
        if not data:
            self._mark_broken('closed by the endpoint')
            return
        if self.state is State.WAITING:
            self.state = State.READING
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._mark_broken(f'not HTTP: {error}')
        if self._framing_bytes > MAX_HEAD_BYTES:
            self._mark_broken('a head without end')

    def pop_body(self) -> bytes:
        """Return and clear the body bytes received since the last call."""
        if len(self._body) == 1:
            data = self._body[0]
        else:
            data = b''.join(self._body)
        self._body.clear()
        return data

    def close(self) -> None:
        """Close the connection, which cancels a running request."""
        with contextlib.suppress(OSError):
            self.socket.close()

    def _finish_connect(self) -> None:
        error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._mark_broken(errno.errorcode.get(error, str(error)))
        else:
            self.state = State.SENDING

    def _send(self) -> None:
        try:
            sent = self.socket.send(self._outgoing)
        except BlockingIOError:
            return
        except OSError as error:
            self._mark_broken(str(error))
            return
        self.sent_bytes += sent
        self._outgoing = self._outgoing[sent:]
        if not self._outgoing:
            self.state = State.WAITING

    def _mark_broken(self, problem: str) -> None:
        if self.state is not State.COMPLETE:
            self.state = State.BROKEN
            self.problem = problem

    # Callbacks of the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the headers that matter for a retry."""
        if name.lower() == b'retry-after':
            with contextlib.suppress(ValueError):
                self.retry_after_s = float(value)

    def on_headers_complete(self) -> None:
        """Store the status, unless it is that of an interim response."""
        status = self._parser.get_status_code()
        is_interim = 100 <= status < 200 and status != 101
        if 200 <= status <= MAX_STATUS:
            self.status = status
        elif not is_interim:
            self._mark_broken(f'no response has status {status}')

    def on_body(self, data: bytes) -> None:
        """Store a part of the body for :meth:`pop_body`."""
        if not self.status:
            self._mark_broken('an interim response with a body')
        elif self.state is not State.BROKEN:
            self._framing_bytes = 0
            self._body.append(data)

    def on_message_complete(self) -> None:
        """The response is complete, unless it is an interim one."""
        if self.status and self.state is not State.BROKEN:
            self.state = State.COMPLETE


def encode_request(
    method: str,
    path: str,
    address: str,
    headers: typing.Mapping[str, str],
    body: bytes,
) -> bytes:
    """Encode an HTTP/1.1 request that keeps the connection alive."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {address}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body
