"""Subscribes to nodes as routers do and records when tables arrive."""

import contextlib
import socket
import threading
import time
import typing

from guavachute import outcome
from guavachute.wire import codec
from guavachute.wire import tables

CONNECT_TIMEOUT_S = 5.0
RECEIVE_BYTES = 256 * 1024


class Listener(threading.Thread):
    """A thread that reads one node's tables until the connection ends.

    :param changed: the lock of the results; notified for each message
    :ivar latest: the last tables received
    :ivar first_seen_s: when tables of each offset arrived first, by
        ``time.monotonic``
    """

    def __init__(self, address: str, changed: threading.Condition) -> None:
        super().__init__(daemon=True)
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection(
            (host, int(port)), CONNECT_TIMEOUT_S
        )
        self._socket.settimeout(None)
        self._changed = changed
        self.latest: tables.Tables | None = None
        self.first_seen_s: dict[int, float] = {}

    def run(self) -> None:
        """Receive tables and record when each offset arrived first."""
        decoder = codec.Decoder(tables.FromNode)
        with contextlib.suppress(OSError):
            while data := self._socket.recv(RECEIVE_BYTES):
                now_s = time.monotonic()
                messages = decoder.feed(data)
                assert not isinstance(messages, outcome.Failure), messages
                for message in messages:
                    if isinstance(message, tables.Tables):
                        self._record(message, now_s)

    def _record(self, message: tables.Tables, now_s: float) -> None:
        with self._changed:
            self.latest = message
            self.first_seen_s.setdefault(message.offset, now_s)
            self._changed.notify_all()

    def close(self) -> None:
        """Close the connection, which ends the thread."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()


class Listeners:
    """Listeners to the nodes at *addresses*, running."""

    def __init__(self, addresses: list[str]) -> None:
        self._changed = threading.Condition()
        self._all = [Listener(each, self._changed) for each in addresses]
        for listener in self._all:
            listener.start()

    def wait_for_offset(self, offset: int, timeout_s: float) -> list[float]:
        """Wait until all nodes have sent *offset*.

        Returns when each node sent it first, by ``time.monotonic``.

        :raises AssertionError: if not all sent it within *timeout_s*
        """
        with self._changed:
            arrived = self._changed.wait_for(
                lambda: all(offset in each.first_seen_s for each in self._all),
                timeout_s,
            )
            assert arrived, f'configuration {offset} did not reach all nodes'
            return [each.first_seen_s[offset] for each in self._all]

    def close(self) -> None:
        """Close all connections."""
        for listener in self._all:
            listener.close()


@contextlib.contextmanager
def listening(addresses: list[str]) -> typing.Iterator[Listeners]:
    """Listen to the nodes at *addresses* until the end of the block."""
    listeners = Listeners(addresses)
    try:
        yield listeners
    finally:
        listeners.close()
