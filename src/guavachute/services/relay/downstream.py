"""The caller's side of a stream: the response that is written to it."""

import contextlib
import enum
import http
import socket
import typing

from guavachute.http import server

MAX_PENDING_BYTES = 256 * 1024
"""Above this the endpoint is not read until the caller has caught up."""

READ_AHEAD_BYTES = 1024
LAST_CHUNK = b'0\r\n'


class Flushed(enum.Enum):
    """How a write went."""

    ALL = 'all'
    BLOCKED = 'blocked'
    GONE = 'gone'


class Downstream:
    """A response in the making on a connection that the relay owns."""

    __slots__ = ('_connection', '_pending', '_keeps_alive', 'started', 'gone')

    def __init__(self, taken: server.Taken, keeps_alive: bool) -> None:
        self._connection = taken
        self._pending = bytearray()
        self._keeps_alive = keeps_alive
        self.started = False
        self.gone = False

    def fileno(self) -> int:
        """For a selector."""
        return self._connection.socket.fileno()

    @property
    def has_unsent_data(self) -> bool:
        """Whether something is queued that the caller did not take yet."""
        return bool(self._pending)

    @property
    def is_buffer_full(self) -> bool:
        """Whether the caller is too far behind."""
        return len(self._pending) > MAX_PENDING_BYTES

    def start_stream(self, headers: typing.Mapping[str, str]) -> None:
        """Write the head of a chunked stream of events."""
        self.started = True
        lines = {
            'Content-Type': 'text/event-stream',
            'Cache-Control': 'no-cache',
            'Transfer-Encoding': 'chunked',
            **headers,
        }
        self._pending += self._head(http.HTTPStatus.OK, lines)

    def add(self, data: bytes) -> None:
        """Queue *data* as one chunk."""
        self._pending += b'%x\r\n%b\r\n' % (len(data), data)

    def send_now(self, data: bytes) -> bool:
        """Write *data* as one chunk; nothing may be queued before it.

        :returns: whether all of it is written; what isn't is queued, and
            :meth:`flush` says why
        """
        assert not self._pending, 'chunks must not overtake each other'
        chunk = b'%x\r\n%b\r\n' % (len(data), data)
        try:
            sent = self._connection.socket.send(chunk)
        except OSError:
            sent = 0
        if sent == len(chunk):
            return True
        self._pending += chunk[sent:]
        return False

    def end_stream(self, trailers: typing.Mapping[str, str]) -> None:
        """Write the end, by which the caller knows that it has it all."""
        self._pending += LAST_CHUNK + _lines(trailers) + b'\r\n'

    def send_whole(
        self, status: int, headers: typing.Mapping[str, str], body: bytes
    ) -> None:
        """Write a whole response."""
        self.started = True
        lines = {
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            **headers,
        }
        self._pending += self._head(status, lines) + body

    def flush(self) -> Flushed:
        """Write as much as the connection takes."""
        try:
            while self._pending:
                sent = self._connection.socket.send(self._pending)
                del self._pending[:sent]
        except BlockingIOError:
            return Flushed.BLOCKED
        except OSError:
            self.gone = True
            return Flushed.GONE
        return Flushed.ALL

    def has_hung_up(self) -> bool:
        """Whether the caller closed; called when it is readable.

        A caller that sends its next request early is not gone; its
        bytes stay in the socket for cheroot.
        """
        try:
            ahead = self._connection.socket.recv(
                READ_AHEAD_BYTES, socket.MSG_PEEK
            )
        except BlockingIOError:
            return False
        except OSError:
            ahead = b''
        self.gone = not ahead
        return self.gone

    def release(self) -> None:
        """Give the connection back for the next request, or close it."""
        if self._keeps_alive and not self.gone and not self._pending:
            self._connection.hand_back()
            return
        self.abort()

    def abort(self) -> None:
        """Close now; a stream without its end tells that it was cut."""
        with contextlib.suppress(OSError):
            self._connection.close()

    def _head(self, status: int, lines: typing.Mapping[str, str]) -> bytes:
        phrase = http.HTTPStatus(status).phrase
        connection = 'keep-alive' if self._keeps_alive else 'close'
        head = f'HTTP/1.1 {int(status)} {phrase}\r\n'.encode()
        return head + _lines({**lines, 'Connection': connection}) + b'\r\n'


def _lines(headers: typing.Mapping[str, str]) -> bytes:
    return ''.join(
        f'{name}: {value}\r\n' for name, value in headers.items()
    ).encode('latin-1', 'replace')
