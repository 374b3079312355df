"""Non-blocking TCP connections and listeners on the loop."""

import collections
import errno
import fcntl
import socket
import struct
import termios
import typing

from guavachute.decide import keepalive
from guavachute.entry import loop as entry_loop
from guavachute import ids
from guavachute.kernel import receiving

RECEIVE_BYTES = 65_536
LISTEN_BACKLOG = 1024

KEEPALIVE = keepalive.Keepalive(idle_s=1.0, interval_s=1.0, user_timeout_s=4.0)
"""Idle connections are probed. The timeout also bounds how long sent bytes may
stay unacknowledged."""


_LINGER = struct.Struct('ii')
_INT = struct.Struct('i')


class Owner(typing.Protocol):
    """Callbacks of a connection."""

    def received(self, data: bytes) -> None:
        """Bytes were received."""

    def ended(self, is_clean: bool) -> None:
        """The peer has closed or the connection broke.

        :param is_clean: whether the peer closed in order, when all that was
            written had been sent
        """

    def drained(self) -> None:
        """All that was written has been passed to the operating system."""


class Connection:
    """A non-blocking TCP connection with a queue of unsent bytes.

    After :meth:`close`, and after the owner's ``ended`` was called, it does
    not call its owner again.

    :param receive_bytes: how much is read at once
    :ivar unsent_bytes: the length of the queue in bytes
    :ivar written_bytes: the length of all that was written
    :ivar owner: gets the callbacks; has to be set before the loop's next turn
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        sock: socket.socket,
        is_open: bool,
        receive_bytes: int = RECEIVE_BYTES,
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._is_open = is_open
        self._is_reading = True
        self._notices_close = False
        self._receive_bytes = receive_bytes
        self._unsent: collections.deque[memoryview] = collections.deque()
        self._events = 0
        self._has_failed = False
        self._unread_bytes_at_close = 0
        self.unsent_bytes = 0
        self.written_bytes = 0
        self.is_closed = False
        self.owner: Owner | None = None
        _set_options(sock)
        self._watch()

    @property
    def is_connected(self) -> bool:
        """Whether the connection has been established."""
        return self._is_open

    def write(self, data: bytes) -> None:
        """Send *data*; queue what can't be sent yet."""
        if self.is_closed or not data:
            return
        self.written_bytes += len(data)
        sent = 0
        if self._is_open and not self._unsent:
            result = self._send(data)
            if result is None or result == len(data):
                return
            sent = result
        unsent = memoryview(data)[sent:]
        self._unsent.append(unsent)
        self.unsent_bytes += len(unsent)
        self._watch()

    @property
    def has_peer_closed(self) -> bool:
        """Whether the peer has closed behind the bytes that were read."""
        if self.is_closed:
            return True
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    @property
    def unread_bytes(self) -> int:
        """The length of what has arrived and was not read.

        Once closed, what it was then if reading had been paused.
        """
        if self.is_closed:
            return self._unread_bytes_at_close
        return self._queued_bytes(termios.FIONREAD)

    @property
    def undelivered_bytes(self) -> int:
        """The length of what was written and the peer has not received.

        Beyond the unsent bytes, what the operating system has not got an
        acknowledgement of.
        """
        if self.is_closed:
            return 0
        return self.unsent_bytes + self._queued_bytes(termios.TIOCOUTQ)

    def _queued_bytes(self, queue: int) -> int:
        try:
            answer = fcntl.ioctl(self._socket, queue, bytes(_INT.size))
        except OSError:
            # The connection has broken.
            return 0
        return int(_INT.unpack(answer)[0])

    def limit_receiving(self, unread_bytes: int) -> None:
        """Limit what the operating system receives before it is read.

        More may be left from a higher limit before.
        """
        self._receive_bytes = min(RECEIVE_BYTES, unread_bytes)
        if not self.is_closed:
            receiving.limit(self._socket, unread_bytes)

    def pause(self, notices_close: bool = False) -> None:
        """Stop reading until :meth:`resume`.

        :param notices_close: end the connection if the peer closes, whatever
            it sent before
        """
        self._is_reading = False
        self._notices_close = notices_close
        self._watch()

    def resume(self) -> None:
        """Read again."""
        self._is_reading = True
        self._watch()

    def receive_now(self) -> None:
        """Pass on what has arrived already, without the loop's next turn."""
        if self._events & entry_loop.READ:
            self._receive()

    def finish_writing(self) -> None:
        """Close the sending direction; the peer reads the end."""
        self.set_reset_on_close(False)
        if not self.is_closed:
            try:
                self._socket.shutdown(socket.SHUT_WR)
            except OSError:
                # The peer has closed already.
                self._break()

    def set_reset_on_close(self, enabled: bool) -> None:
        """Set whether closing resets the connection.

        That also holds when the process ends. The peer then reads an error
        in place of the end.
        """
        if not self.is_closed:
            self._socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _LINGER.pack(enabled, 0),
            )

    def close(self) -> None:
        """Close; unsent bytes are discarded."""
        if self.is_closed:
            return
        if not self._is_reading:
            self._unread_bytes_at_close = self.unread_bytes
        self.is_closed = True
        if self._events:
            self._loop.unwatch(self._socket)
            self._events = 0
        self._socket.close()
        self._unsent.clear()
        self.owner = None

    def _watch(self) -> None:
        if self.is_closed:
            return
        events = 0
        if self._is_reading and self._is_open:
            events |= entry_loop.READ
        elif self._notices_close and self._is_open:
            events |= entry_loop.CLOSED
        if self._unsent or not self._is_open:
            events |= entry_loop.WRITE
        if events == self._events:
            return
        if not events:
            self._loop.unwatch(self._socket)
        elif not self._events:
            self._loop.watch(self._socket, events, self._ready)
        else:
            self._loop.rewatch(self._socket, events, self._ready)
        self._events = events

    def _ready(self, events: int) -> None:
        if events & entry_loop.WRITE:
            if not self._is_open and not self._finish_connecting():
                return
            self._flush()
        if events & entry_loop.READ and not self.is_closed:
            self._receive()
        elif events & entry_loop.CLOSED and not self.is_closed:
            self._break()

    def _finish_connecting(self) -> bool:
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._break()
            return False
        self._is_open = True
        return True

    def _flush(self) -> None:
        while self._unsent:
            data = self._unsent[0]
            sent = self._send(data)
            if sent is None:
                return
            self.unsent_bytes -= sent
            if sent < len(data):
                self._unsent[0] = data[sent:]
                break
            self._unsent.popleft()
        self._watch()
        if not self._unsent and self.owner is not None:
            self.owner.drained()

    def _send(self, data: bytes | memoryview) -> int | None:
        try:
            return self._socket.send(data, socket.MSG_NOSIGNAL)
        except BlockingIOError:
            return 0
        except OSError:
            # Received bytes may still wait to be read. The break is handled
            # after the loop has read the socket. The operating system reports
            # it only once, and an end in order to those who read on.
            self._has_failed = True
            self._loop.call_at(self._loop.now_s, self._break)
            return None

    def _receive(self) -> None:
        try:
            data = self._socket.recv(self._receive_bytes)
        except BlockingIOError:
            return
        except OSError:
            self._break()
            return
        if data:
            assert self.owner is not None
            self.owner.received(data)
        else:
            # A peer that closes before it has read everything resets the
            # connection, though perhaps only behind its end.
            self._end(is_clean=not (self._has_failed or self._unsent))

    def _break(self) -> None:
        if self.is_closed:
            return
        self._end(is_clean=False)

    def _end(self, is_clean: bool) -> None:
        owner = self.owner
        self.close()
        if owner is not None:
            owner.ended(is_clean)


def connect(
    loop: entry_loop.Loop,
    address: ids.Address,
    unread_bytes: int | None = None,
) -> Connection | None:
    """Start to connect to *address*.

    Returns None if the operating system refuses at once, as it does when no
    file descriptor is left.

    :param unread_bytes: limit of what is received before it is read; None for
        that of the operating system
    """
    host, _, port = address.rpartition(':')
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return None
    sock.setblocking(False)
    if unread_bytes is not None:
        # The peer learns it with the first packet.
        receiving.limit(sock, unread_bytes)
    error = sock.connect_ex((host, int(port)))
    if error not in (0, errno.EINPROGRESS):
        sock.close()
        return None
    return Connection(loop, sock, is_open=False)


class ListenError(OSError):
    """An address could not be bound, mostly as another process has it.

    :ivar address: the address
    """

    def __init__(self, address: ids.Address, reason: OSError) -> None:
        super().__init__(reason.errno, reason.strerror)
        self.address = address


def bind(bound: socket.socket, address: ids.Address) -> None:
    """Bind *bound* to *address*; raises :class:`ListenError`."""
    host, _, port = address.rpartition(':')
    try:
        bound.bind((host, int(port)))
    except OSError as error:
        bound.close()
        raise ListenError(address, error) from error


class Listener:
    """Accepts connections and passes them to a callback.

    :param unread_bytes: limit of what a connection receives before it is read,
        also before it is accepted; None for that of the operating system
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        address: ids.Address,
        accepted: typing.Callable[[Connection], None],
        unread_bytes: int | None = None,
    ) -> None:
        self._loop = loop
        self._accepted = accepted
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._unread_bytes = unread_bytes
        if unread_bytes is not None:
            receiving.limit(self._socket, unread_bytes)
        bind(self._socket, address)
        self._socket.listen(LISTEN_BACKLOG)
        self._socket.setblocking(False)
        self._is_open = True
        loop.watch(self._socket, entry_loop.READ, self._ready)

    @property
    def address(self) -> ids.Address:
        """Where it listens, with the port that the kernel chose."""
        host, port = self._socket.getsockname()
        return ids.Address(f'{host}:{port}')

    def finish(self) -> None:
        """Accept what is pending, and stop listening."""
        self._ready(entry_loop.READ)
        self.close()

    def close(self) -> None:
        """Stop listening; pending connections are refused."""
        if self._is_open:
            self._is_open = False
            self._loop.unwatch(self._socket)
            self._socket.close()

    def _ready(self, events: int) -> None:
        while self._is_open:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                # No connection is pending, the caller has gone, or no
                # descriptor is left; the loop calls again while one is
                # pending.
                return
            sock.setblocking(False)
            self._accepted(
                Connection(
                    self._loop,
                    sock,
                    is_open=True,
                    receive_bytes=self._unread_bytes or RECEIVE_BYTES,
                )
            )


def _set_options(sock: socket.socket) -> None:
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, round(KEEPALIVE.idle_s)),
        (
            socket.IPPROTO_TCP,
            socket.TCP_KEEPINTVL,
            round(KEEPALIVE.interval_s),
        ),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(1_000 * KEEPALIVE.user_timeout_s),
        ),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)
