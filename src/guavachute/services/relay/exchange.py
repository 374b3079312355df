"""Short HTTP exchanges with endpoints, apart from the streams.

Probes and exports of KV caches use new connections in the relay's
selector. An answer on a new connection proves that the endpoint works,
even if older connections to it are dead.
"""

import functools
import selectors
import typing

import msgspec

from guavachute.services.relay import upstream

MAX_BODY_BYTES = 1_048_576
"""A longer answer is none, and its connection is closed."""

JSON_HEADERS = {'Content-Type': 'application/json', 'Connection': 'close'}


class Answer(msgspec.Struct, frozen=True):
    """The answer of an endpoint; status 0 means that there was none."""

    status: int
    body: bytes = b''


AnswerHandler = typing.Callable[[Answer], None]


class _Exchange:
    __slots__ = ('connection', 'on_answer', 'deadline_s', 'body')

    def __init__(
        self,
        connection: upstream.Connection,
        on_answer: AnswerHandler,
        deadline_s: float,
    ) -> None:
        self.connection = connection
        self.on_answer = on_answer
        self.deadline_s = deadline_s
        self.body = b''


class Exchanges:
    """The running exchanges, in the *selector* of the relay task."""

    def __init__(self, selector: selectors.BaseSelector) -> None:
        self._selector = selector
        self._running: set[_Exchange] = set()

    def send_request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        timeout_s: float,
        on_answer: AnswerHandler,
        now_s: float,
    ) -> None:
        """Send a request without blocking.

        *on_answer* is called exactly once, later, unless :meth:`close`
        comes first. After *timeout_s* it gets an answer of status 0.
        """
        connection = upstream.Connection(address)
        connection.connect()
        exchange = _Exchange(connection, on_answer, now_s + timeout_s)
        self._running.add(exchange)
        if connection.state is upstream.State.BROKEN:
            exchange.deadline_s = now_s
            return
        connection.begin_exchange(
            upstream.encode_request(method, path, address, JSON_HEADERS, body)
        )
        self._selector.register(
            connection.socket,
            connection.wanted_events,
            functools.partial(self._handle_ready, exchange),
        )

    def sweep(self, now_s: float) -> None:
        """End the exchanges that exceed their timeout."""
        for exchange in list(self._running):
            if now_s >= exchange.deadline_s:
                self._finish(exchange, Answer(0))

    def close(self) -> None:
        """Close all connections without calling back."""
        for exchange in self._running:
            exchange.connection.close()
        self._running.clear()

    def _handle_ready(self, exchange: _Exchange, events: int) -> None:
        connection = exchange.connection
        connection.advance(events)
        exchange.body += connection.pop_body()
        is_too_long = len(exchange.body) > MAX_BODY_BYTES
        if connection.state is upstream.State.BROKEN or is_too_long:
            self._finish(exchange, Answer(0))
        elif connection.state is upstream.State.COMPLETE:
            self._finish(exchange, Answer(connection.status, exchange.body))
        else:
            self._selector.modify(
                connection.socket,
                connection.wanted_events,
                functools.partial(self._handle_ready, exchange),
            )

    def _finish(self, exchange: _Exchange, answer: Answer) -> None:
        self._running.discard(exchange)
        socket = exchange.connection.socket
        if self._selector.get_map().get(socket) is not None:
            self._selector.unregister(socket)
        exchange.connection.close()
        exchange.on_answer(answer)
