"""Short exchanges with endpoints beside the streams.

Probes and the export of KV caches go over new connections in the relay's
own selector: an answer proves that the endpoint works, whatever has
become of older connections.
"""

import functools
import selectors
import typing

import msgspec

from guavachute.services.relay import upstream

JSON_HEADERS = {'Content-Type': 'application/json', 'Connection': 'close'}


class Answer(msgspec.Struct, frozen=True):
    """What came back; status 0 means that nothing did."""

    status: int
    body: bytes = b''


Done = typing.Callable[[Answer], None]


class _Exchange:
    __slots__ = ('connection', 'done', 'end_s', 'body')

    def __init__(
        self, connection: upstream.Connection, done: Done, end_s: float
    ) -> None:
        self.connection = connection
        self.done = done
        self.end_s = end_s
        self.body = b''


class Exchanges:
    """The exchanges under way; *selector* is the owner's."""

    def __init__(self, selector: selectors.BaseSelector) -> None:
        self._selector = selector
        self._running: set[_Exchange] = set()

    def ask(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        timeout_s: float,
        done: Done,
        now_s: float,
    ) -> None:
        """Send a request; *done* is called once, never from here."""
        connection = upstream.Connection(address)
        connection.connect()
        exchange = _Exchange(connection, done, now_s + timeout_s)
        self._running.add(exchange)
        if connection.state is upstream.State.BROKEN:
            exchange.end_s = now_s
            return
        connection.begin(
            upstream.request_bytes(method, path, address, JSON_HEADERS, body)
        )
        self._selector.register(
            connection.socket,
            connection.wanted_events,
            functools.partial(self._ready, exchange),
        )

    def sweep(self, now_s: float) -> None:
        """End what takes too long."""
        for exchange in list(self._running):
            if now_s >= exchange.end_s:
                self._end(exchange, Answer(0))

    def close(self) -> None:
        """Drop all; nobody is called any more."""
        for exchange in self._running:
            exchange.connection.close()
        self._running.clear()

    def _ready(self, exchange: _Exchange, events: int) -> None:
        connection = exchange.connection
        connection.advance(events)
        exchange.body += connection.take_body()
        if connection.state is upstream.State.BROKEN:
            self._end(exchange, Answer(0))
        elif connection.state is upstream.State.COMPLETE:
            self._end(exchange, Answer(connection.status, exchange.body))
        else:
            self._selector.modify(
                connection.socket,
                connection.wanted_events,
                functools.partial(self._ready, exchange),
            )

    def _end(self, exchange: _Exchange, answer: Answer) -> None:
        self._running.discard(exchange)
        socket = exchange.connection.socket
        if self._selector.get_map().get(socket) is not None:
            self._selector.unregister(socket)
        exchange.connection.close()
        exchange.done(answer)
