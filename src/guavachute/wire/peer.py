"""One end of a TCP connection that carries messages in msgpack.

The socket does not block; its owner waits for it with a selector.
"""

import contextlib
import errno
import selectors
import socket
import typing

import msgspec

from guavachute import outcome
from guavachute.wire import codec

RECEIVE_BYTES = 256 * 1024
MAX_PENDING_BYTES = 64 * 1024 * 1024
LISTEN_BACKLOG = 128


class Peer:
    """A non-blocking connection that carries typed messages.

    :param message_type: the type of the messages that the other end sends
    :ivar failure: why the connection can't be used any more, or None
    :ivar sent_bytes: total since the connection was created
    :ivar received_bytes: total since the connection was created
    """

    def __init__(
        self, connection: socket.socket, message_type: typing.Any
    ) -> None:
        self.socket = connection
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.failure: outcome.Failure | None = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self._decoder = codec.Decoder(message_type)
        self._pending = bytearray()

    @property
    def wanted_events(self) -> int:
        """The events to register for in the selector."""
        if self._pending:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def send(self, message: msgspec.Struct) -> None:
        """Queue *message* and write as much as the socket accepts."""
        self._pending += codec.encode(message)
        self.flush()

    def flush(self) -> None:
        """Write as much of the queued data as the socket accepts.

        Sets :attr:`failure` on an error, or if more than
        :data:`MAX_PENDING_BYTES` are queued because the other end does not
        read.
        """
        if self.failure is not None:
            return
        try:
            while self._pending:
                sent = self.socket.send(self._pending)
                self.sent_bytes += sent
                del self._pending[:sent]
        except BlockingIOError:
            if len(self._pending) > MAX_PENDING_BYTES:
                self._fail('the other end does not read')
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                self._fail(str(error))

    def receive(self) -> list[typing.Any]:
        """Return the messages that have arrived.

        Sets :attr:`failure` if the connection was closed or failed, or if
        the data is not a valid stream of messages.
        """
        try:
            data = self.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return []
        except OSError as error:
            self._fail(str(error))
            return []
        if not data:
            self._fail('closed by the other end')
            return []
        self.received_bytes += len(data)
        messages = self._decoder.feed(data)
        if isinstance(messages, outcome.Failure):
            self.failure = messages
            return []
        return messages

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.socket.close()

    def _fail(self, detail: str) -> None:
        self.failure = outcome.Failure(outcome.Reason.UNAVAILABLE, detail)


def listen(host: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket.

    Port 0 lets the kernel choose the port.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def connect(address: str, message_type: typing.Any) -> Peer:
    """Return a peer that connects to *address*, ``IP:PORT``.

    The connection is established in the background. If that fails, the
    next send or receive after the selector reports the socket sets
    :attr:`Peer.failure`.
    """
    host, _, port = address.rpartition(':')
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    connection.connect_ex((host, int(port)))
    return Peer(connection, message_type)


def address_of(listener: socket.socket) -> str:
    """Return the local address of a socket as ``IP:PORT``."""
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'
