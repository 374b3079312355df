"""Listens to nodes as their routers do and notes when tables come."""

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
    """Reads one node's tables until its connection ends.

    :param changed: notified with every message that comes
    """

    def __init__(self, address: str, changed: threading.Condition) -> None:
        super().__init__(daemon=True)
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection(
            (host, int(port)), CONNECT_TIMEOUT_S
        )
        self._socket.settimeout(None)
        self._changed = changed
        self.newest: tables.Tables | None = None
        self.offset_s: dict[int, float] = {}

    def run(self) -> None:
        """Note when each offset came first, by ``time.monotonic``."""
        decoder = codec.Decoder(tables.FromNode)
        with contextlib.suppress(OSError):
            while data := self._socket.recv(RECEIVE_BYTES):
                now_s = time.monotonic()
                messages = decoder.feed(data)
                assert not isinstance(messages, outcome.Failure), messages
                for message in messages:
                    if isinstance(message, tables.Tables):
                        self._take(message, now_s)

    def _take(self, message: tables.Tables, now_s: float) -> None:
        with self._changed:
            self.newest = message
            self.offset_s.setdefault(message.offset, now_s)
            self._changed.notify_all()

    def close(self) -> None:
        """End the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()


class Listeners:
    """Listeners to several nodes."""

    def __init__(self, addresses: list[str]) -> None:
        self._changed = threading.Condition()
        self._all = [Listener(each, self._changed) for each in addresses]
        for listener in self._all:
            listener.start()

    def wait_for_offset(self, offset: int, timeout_s: float) -> list[float]:
        """When each node told *offset* first."""
        with self._changed:
            came = self._changed.wait_for(
                lambda: all(offset in each.offset_s for each in self._all),
                timeout_s,
            )
            assert came, f'configuration {offset} did not get everywhere'
            return [each.offset_s[offset] for each in self._all]

    def close(self) -> None:
        """End all connections."""
        for listener in self._all:
            listener.close()


@contextlib.contextmanager
def listening(addresses: list[str]) -> typing.Iterator[Listeners]:
    """Listen to the nodes at *addresses*."""
    listeners = Listeners(addresses)
    try:
        yield listeners
    finally:
        listeners.close()
