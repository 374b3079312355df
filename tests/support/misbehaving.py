"""Clients that send too much or too slowly, and what a process uses."""

import contextlib
import dataclasses
import os
import pathlib
import resource
import selectors
import socket
import threading
import time
import typing

RECEIVE_BYTES = 65_536
QUIET_S = 2.0
"""Clients stop sending when no connection accepts any byte for this long."""

MEASURE_PERIOD_S = 0.05
TCP_LISTEN = '0A'
"""The state of a listening socket in ``/proc/net/tcp``."""

PIECE_PERIOD_S = 0.2
"""Pause between two pieces of clients that send piece by piece."""


@dataclasses.dataclass(slots=True)
class _Client:
    socket: socket.socket
    pieces: typing.Iterator[bytes]
    unsent: memoryview = memoryview(b'')
    is_done: bool = False

    def send(self) -> bool:
        """Send what the connection accepts; whether it accepted any."""
        has_sent = False
        try:
            while True:
                if not self.unsent:
                    self.unsent = memoryview(next(self.pieces))
                count = self.socket.send(self.unsent)
                self.unsent = self.unsent[count:]
                has_sent = True
        except BlockingIOError:
            return has_sent
        except (OSError, StopIteration):
            self.is_done = True
            return has_sent


class Clients:
    """Connections of clients, which stay open until :meth:`close`."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._selector = selectors.DefaultSelector()
        self._sockets: list[socket.socket] = []
        self._slow: list[tuple[socket.socket, typing.Iterator[bytes]]] = []
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def send(self, payloads: typing.Iterable[typing.Iterator[bytes]]) -> None:
        """Send each payload over a new connection, all at once.

        Returns when each connection has sent its payload or is closed, or
        when none of them accepts any more.
        """
        for pieces in payloads:
            client = _Client(self._connect(), pieces)
            self._selector.register(
                client.socket,
                selectors.EVENT_READ | selectors.EVENT_WRITE,
                client,
            )
        progress_s = time.monotonic()
        while (
            self._selector.get_map()
            and time.monotonic() - progress_s < QUIET_S
        ):
            for key, events in self._selector.select(0.1):
                client = key.data
                if events & selectors.EVENT_READ:
                    client.is_done |= not _receive(client.socket)
                if events & selectors.EVENT_WRITE and client.send():
                    progress_s = time.monotonic()
                if client.is_done:
                    self._selector.unregister(client.socket)
        for key in list(self._selector.get_map().values()):
            self._selector.unregister(key.fileobj)

    def send_slowly(
        self, payloads: typing.Iterable[typing.Iterator[bytes]]
    ) -> None:
        """Send payloads piece by piece, until :meth:`close`."""
        for pieces in payloads:
            self._slow.append((self._connect(), pieces))
        if self._thread is None:
            self._thread = threading.Thread(target=self._send_pieces)
            self._thread.start()

    def close(self) -> None:
        """Stop sending, and close all connections."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()
        self._selector.close()
        for each in self._sockets:
            each.close()

    def _connect(self) -> socket.socket:
        connection = socket.create_connection(self._address, timeout=30)
        connection.setblocking(False)
        self._sockets.append(connection)
        return connection

    def _send_pieces(self) -> None:
        while not self._stopped.wait(PIECE_PERIOD_S):
            for connection, pieces in self._slow:
                with contextlib.suppress(OSError):
                    connection.send(next(pieces, b''))
                with contextlib.suppress(OSError):
                    connection.recv(RECEIVE_BYTES)


def _receive(connection: socket.socket) -> bool:
    """Read what has arrived; whether the connection is still open."""
    try:
        return bool(connection.recv(RECEIVE_BYTES))
    except BlockingIOError:
        return True
    except OSError:
        return False


def peak_memory_mb(pid: int) -> float:
    """The peak of the resident memory of a process."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, value = line.partition(':')
        if name == 'VmHWM':
            return int(value.split()[0]) / 1024
    raise AssertionError(f'process {pid} has no peak memory')


def wait_until_read(pid: int) -> None:
    """Wait until a process has read what it reads of the clients' bytes.

    They may still be in the buffers of the operating system.
    """
    peak_mb, since_s = 0.0, time.monotonic()
    while time.monotonic() - since_s < QUIET_S:
        time.sleep(0.1)
        latest_mb = peak_memory_mb(pid)
        if latest_mb > peak_mb:
            peak_mb, since_s = latest_mb, time.monotonic()


def unread_mb(pid: int) -> float:
    """What the sockets of a process have received and it has not read."""
    inodes = set()
    for file in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(OSError):
            kind, _, number = os.readlink(file).partition(':')
            if kind == 'socket':
                inodes.add(number.strip('[]'))
    unread_bytes = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        # A listener has its queue of connections there.
        if fields[9] in inodes and fields[3] != TCP_LISTEN:
            unread_bytes += int(fields[4].partition(':')[2], 16)
    return unread_bytes / 2**20


def resident_mb(pid: int) -> float:
    """The resident memory of a process now."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize() / 2**20


class MemoryWatch:
    """The memory of a process, with what it has received and not read.

    :ivar peak_mb: the most of both together
    :ivar peak_unread_mb: the most that was not read
    """

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._measure)
        self.peak_mb = 0.0
        self.peak_unread_mb = 0.0

    def start(self) -> None:
        """Measure until :meth:`stop`."""
        self._thread.start()

    def stop(self) -> None:
        """End the measurements."""
        self._stopped.set()
        self._thread.join()

    def _measure(self) -> None:
        # The process may end at any time, which the test finds out itself.
        with contextlib.suppress(OSError, IndexError):
            while not self._stopped.wait(MEASURE_PERIOD_S):
                waiting_mb = unread_mb(self._pid)
                self.peak_unread_mb = max(self.peak_unread_mb, waiting_mb)
                self.peak_mb = max(
                    self.peak_mb, waiting_mb + resident_mb(self._pid)
                )


@contextlib.contextmanager
def watched_memory(pid: int) -> typing.Iterator[MemoryWatch]:
    """Measure the memory of a process until the end of the context."""
    watch = MemoryWatch(pid)
    watch.start()
    try:
        yield watch
    finally:
        watch.stop()


def open_descriptors(pid: int) -> int:
    """The number of open descriptors of a process."""
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
