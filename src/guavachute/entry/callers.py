"""The connections of callers."""

import enum
import typing

from guavachute.domain import call
from guavachute.domain import configuration
from guavachute.entry import http1
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute.observe import journal

MAX_PIPELINED = 8
"""Requests that may wait behind the one that is served."""

LINGER_S = 1.0
"""How long bytes of a caller that was answered and told to close are
still read, since closing at once would reset the answer away."""

UNSENT_LINGER_S = 5.0
"""How long a caller may take to read the end of its last answer."""

MAX_UNSENT_BYTES = 262_144
"""With more than this unsent, nothing is read from the endpoint."""


class Exchange(typing.Protocol):
    """The request that a connection is serving."""

    def caller_left(self) -> None:
        """The caller closed; nothing can be answered any more."""

    def caller_reads(self) -> None:
        """The caller has taken what was sent."""


class Serve(typing.Protocol):
    """What a connection needs of the process."""

    @property
    def limits(self) -> configuration.CallerLimits:
        """What callers may send."""

    @property
    def is_stopping(self) -> bool:
        """Whether connections are to be closed after their answers."""

    def begin(
        self, caller: 'CallerConnection', request: http1.Request
    ) -> Exchange | None:
        """Serve a request; None if it has been answered already."""


_REFUSALS = {
    400: 'the request is malformed',
    408: 'the request did not come to its end in time',
    413: 'the body is larger than the configuration allows',
    431: 'the head is larger than the configuration allows',
}


class _State(enum.Enum):
    IDLE = 'idle'
    READING = 'reading'
    SERVING = 'serving'
    LINGERING = 'lingering'
    CLOSED = 'closed'


class CallerConnection:
    """One connection: reads requests and writes their answers in turn."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        connection: transport.Connection,
        process: Serve,
        forget: typing.Callable[['CallerConnection'], None],
    ) -> None:
        self._loop = loop
        self._connection = connection
        self._process = process
        self._forget = forget
        limits = process.limits
        self._reader = http1.RequestReader(
            limits.max_head_bytes, limits.max_body_bytes
        )
        self._state = _State.IDLE
        self._exchange: Exchange | None = None
        self._timer: entry_loop.Timer | None = None
        self._closes = False
        connection.owner = self
        self._wait(limits.idle_timeout_s)

    @property
    def is_congested(self) -> bool:
        """Whether the caller reads more slowly than it is sent to."""
        return self._connection.unsent_bytes > MAX_UNSENT_BYTES

    def received(self, data: bytes) -> None:
        """Bytes of requests."""
        if self._state is _State.LINGERING:
            return
        limits = self._process.limits
        self._reader.max_head_bytes = limits.max_head_bytes
        self._reader.max_body_bytes = limits.max_body_bytes
        self._reader.feed(data)
        if len(self._reader.requests) > MAX_PIPELINED:
            self._connection.pause()
        if self._exchange is None:
            self._next()

    def ended(self, is_clean: bool) -> None:
        """The caller has gone."""
        self._close()

    def drained(self) -> None:
        """The caller has taken what was sent."""
        if self._state is _State.LINGERING:
            self._connection.finish_writing()
        elif self._exchange is not None:
            self._exchange.caller_reads()

    def answer(
        self,
        status: int,
        headers: typing.Sequence[call.Header],
        body: bytes,
        closes: bool = False,
    ) -> None:
        """Answer the present request, whole.

        :param closes: serve nothing more on this connection
        """
        self._closes = self._closes or closes or self._process.is_stopping
        head = http1.encode_head(status, headers, len(body), self._closes)
        self._connection.write(head + body)
        self._finish()

    def begin_answer(
        self, status: int, headers: typing.Sequence[call.Header]
    ) -> None:
        """Send the head of an answer whose body comes in pieces."""
        self._closes = self._closes or self._process.is_stopping
        self._connection.write(
            http1.encode_head(status, headers, None, self._closes)
        )

    def answer_piece(self, data: bytes) -> None:
        """Send a piece of the body."""
        if data:
            self._connection.write(http1.encode_chunk(data))

    def end_answer(self) -> None:
        """The body is whole."""
        self._connection.write(http1.LAST_CHUNK)
        self._finish()

    def abort(self) -> None:
        """Break off an answer, so that it can't look complete."""
        self._close()

    def close_if_idle(self) -> None:
        """Close unless a request is under way."""
        if self._state is _State.IDLE:
            self._linger()

    def _next(self) -> None:
        if self._reader.requests:
            self._begin(self._reader.requests.pop(0))
        elif self._reader.problem is not None:
            self._refuse(self._reader.problem.value)
        elif self._reader.is_amid_request:
            if self._state is not _State.READING:
                self._state = _State.READING
                self._wait(self._process.limits.head_timeout_s)
        elif self._state is not _State.IDLE:
            self._state = _State.IDLE
            self._wait(self._process.limits.idle_timeout_s)

    def _begin(self, request: http1.Request) -> None:
        self._cancel_timer()
        self._state = _State.SERVING
        self._closes = not request.keeps_alive
        exchange = self._process.begin(self, request)
        # An exchange may have ended already, and the next have begun.
        if exchange is not None and self._state is _State.SERVING:
            self._exchange = exchange

    def _finish(self) -> None:
        self._exchange = None
        if self._closes:
            self._linger()
            return
        self._state = _State.READING
        self._connection.resume()
        # The caller of this may still hold the exchange, so the next
        # request begins in a step of its own.
        self._loop.call_after(0, self._continue)

    def _continue(self) -> None:
        if self._state is _State.READING and self._exchange is None:
            self._next_after_answer()

    def _next_after_answer(self) -> None:
        if self._reader.requests or self._reader.problem is not None:
            self._next()
        elif self._reader.is_amid_request:
            self._wait(self._process.limits.head_timeout_s)
        else:
            self._state = _State.IDLE
            self._wait(self._process.limits.idle_timeout_s)

    def _refuse(self, status: int) -> None:
        """Answer what can't be read as a request, and close."""
        journal.event(
            'request', outcome=f'own {status}', reason=_REFUSALS[status]
        )
        self._connection.write(http1.encode_head(status, (), 0, True))
        self._linger()

    def _linger(self) -> None:
        self._state = _State.LINGERING
        self._wait(LINGER_S)
        if self._connection.unsent_bytes:
            self._wait(UNSENT_LINGER_S)
        else:
            self._connection.finish_writing()

    def _wait(self, duration_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_after(duration_s, self._time_out)

    def _time_out(self) -> None:
        if self._state is _State.READING and not self._connection.is_closed:
            if self._reader.is_in_head:
                self._refuse(408)
            else:
                self._await_body()
            return
        if self._state is _State.IDLE:
            self._linger()
            return
        self._close()

    def _await_body(self) -> None:
        """A slow body gets as long as an idle connection."""
        limits = self._process.limits
        self._timer = self._loop.call_after(
            max(0.1, limits.idle_timeout_s - limits.head_timeout_s),
            lambda: self._refuse(408),
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close(self) -> None:
        if self._state is _State.CLOSED:
            return
        self._state = _State.CLOSED
        self._cancel_timer()
        self._connection.close()
        self._forget(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.caller_left()
