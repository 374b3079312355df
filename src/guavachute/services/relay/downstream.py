"""The caller's side of a stream: the HTTP response sent to the caller."""

import contextlib
import enum
import http
import socket
import struct
import typing

from guavachute.http import server

MAX_PENDING_BYTES = 256 * 1024
"""Above this, reading from the endpoint pauses until all is written."""

READ_AHEAD_BYTES = 1024
LAST_CHUNK = b'0\r\n'
_LINGER = struct.Struct('ii')


class FlushResult(enum.Enum):
    """Result of :meth:`Downstream.flush`."""

    ALL = 'all'
    BLOCKED = 'blocked'
    """The socket accepts no more data for now."""

    GONE = 'gone'
    """The caller has disconnected."""


class Downstream:
    """Writes one response to a connection detached from cheroot.

    Methods queue data; :meth:`flush` and :meth:`send_now` write it.

    :param keeps_alive: whether the caller may send another request on
        the connection
    :ivar started: whether the head of the response is queued
    :ivar gone: whether the caller has disconnected or the connection is
        to be closed
    """

    __slots__ = (
        '_connection', '_pending', '_keeps_alive', '_is_framed', 'started',
        'gone',
    )  # fmt: skip

    def __init__(
        self, connection: server.DetachedConnection, keeps_alive: bool
    ) -> None:
        self._connection = connection
        self._pending = bytearray()
        self._keeps_alive = keeps_alive
        self._is_framed = True
        self.started = False
        self.gone = False

    def fileno(self) -> int:
        """The descriptor of the connection, for a selector."""
        return self._connection.socket.fileno()

    @property
    def has_unsent_data(self) -> bool:
        """Whether queued data has not been written yet."""
        return bool(self._pending)

    @property
    def is_buffer_full(self) -> bool:
        """Whether more than :data:`MAX_PENDING_BYTES` are queued."""
        return len(self._pending) > MAX_PENDING_BYTES

    def start_stream(self, headers: typing.Mapping[str, str]) -> None:
        """Queue the head of a chunked stream of server-sent events."""
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

        :returns: whether the chunk is written completely. If not, the
            remainder is queued, and :meth:`flush` finds out why.
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
        """Queue the last chunk, which marks the stream as complete."""
        self._pending += LAST_CHUNK + _lines(trailers) + b'\r\n'

    def send_response(
        self,
        status: int,
        headers: typing.Mapping[str, str],
        body: bytes,
        is_framed: bool = True,
    ) -> None:
        """Queue a response.

        :param is_framed: whether the body is known to be complete, and so
            gets a length; otherwise it ends with the connection, and any
            other end of the connection is a reset
        """
        self.started = True
        lines = {'Content-Type': 'application/json', **headers}
        if is_framed:
            lines['Content-Length'] = str(len(body))
        else:
            self._keeps_alive = False
            self._is_framed = False
            self._set_reset_on_close(True)
        self._pending += self._head(status, lines) + body

    def flush(self) -> FlushResult:
        """Write as much queued data as the socket accepts."""
        try:
            while self._pending:
                sent = self._connection.socket.send(self._pending)
                del self._pending[:sent]
        except BlockingIOError:
            return FlushResult.BLOCKED
        except OSError:
            self.gone = True
            return FlushResult.GONE
        return FlushResult.ALL

    def has_disconnected(self) -> bool:
        """Whether the caller closed a connection that is readable.

        The data is only peeked at: a next request that the caller sends
        early stays in the socket for cheroot.
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
        """Return the connection to cheroot, or close it.

        It is returned if the caller keeps it alive and the response is
        written completely.
        """
        if self._keeps_alive and not self.gone and not self._pending:
            self._connection.release()
            return
        if not self._is_framed and not self._pending:
            self._set_reset_on_close(False)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once.

        The caller detects an incomplete stream by its missing last chunk.
        """
        with contextlib.suppress(OSError):
            self._connection.close()

    def _set_reset_on_close(self, enabled: bool) -> None:
        with contextlib.suppress(OSError):
            self._connection.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(enabled, 0)
            )

    def _head(self, status: int, lines: typing.Mapping[str, str]) -> bytes:
        phrase = http.HTTPStatus(status).phrase
        connection = 'keep-alive' if self._keeps_alive else 'close'
        head = f'HTTP/1.1 {int(status)} {phrase}\r\n'.encode()
        return head + _lines({**lines, 'Connection': connection}) + b'\r\n'


def _lines(headers: typing.Mapping[str, str]) -> bytes:
    return ''.join(
        f'{name}: {value}\r\n' for name, value in headers.items()
    ).encode('latin-1', 'replace')
