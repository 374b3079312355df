"""Connections of callers: reads requests and writes their answers."""

import collections
import enum
import typing

from guavachute.decide.ingress.closing import idle_limits as closing_limits
from guavachute.decide.ingress.intake import budget
from guavachute.domain import call
from guavachute.domain import configuration
from guavachute.entry.closing import delivery
from guavachute.entry.closing import idle_clock
from guavachute.entry.closing import late_bytes
from guavachute.entry.closing import stop_state
from guavachute.entry import http1
from guavachute.entry.intake import guard
from guavachute.entry.intake import receive_window
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids
from guavachute.observe import journal
from guavachute.platform import requests

PARSED_AT_ONCE_BYTES = 8_192
"""Bytes that may hold several requests are parsed in parts of this size, so
that few requests are parsed before they are served."""

SHORTAGE_RETRY_S = 1.0
"""Retry-After of requests that are refused as the callers together hold too
much. Those that stall are found within half a second."""

LINGER_S = 1.0
"""After the last answer on a connection, its caller has this long to read it
and close. Closing at once could make the system reset the connection before
that."""

UNSENT_LINGER_S = 5.0
"""A caller that reads nothing for this long does not get the unsent part of
its last answer."""

UNSENT_CHECKS = 10
"""How often in that time it is looked at whether the caller reads."""

MAX_UNSENT_BYTES = 262_144
"""With more unsent bytes than this, the endpoint is not read."""

SHORT_UNSENT_BYTES = 16_384
"""The same while the callers together hold much."""


class Exchange(typing.Protocol):
    """The request that a connection is serving."""

    def handle_caller_left(self) -> None:
        """Handle that the caller closed; no answer can be sent any more."""

    def handle_caller_drained(self) -> None:
        """Continue sending; all that was written has been sent."""


class RequestHandler(typing.Protocol):
    """What a connection needs of the server that accepted it."""

    @property
    def limits(self) -> configuration.CallerLimits:
        """The limits on the requests of callers."""

    @property
    def is_stopping(self) -> bool:
        """Whether connections are closed after their current answer."""

    def begin(
        self, caller: 'CallerConnection', request: http1.Request
    ) -> Exchange | None:
        """Start to serve a request.

        Returns the exchange, or None if the request is answered already.
        """


RejectionHeaders = typing.Callable[
    [ids.AttemptId | None, float | None], list[call.Header]
]
"""Called with the attempt, if known, and with the time to retry after."""

_REJECTION_REASONS = {
    400: 'the request is malformed',
    408: 'the request was not complete in time',
    413: 'the body is larger than the configuration allows',
    431: 'the head is larger than the configuration allows',
}


class _State(enum.Enum):
    IDLE = 'idle'
    READING = 'reading'
    SERVING = 'serving'
    LINGERING = 'lingering'
    CLOSED = 'closed'


_PHASES = {
    _State.IDLE: budget.Phase.IDLE,
    _State.READING: budget.Phase.READING,
    _State.SERVING: budget.Phase.SERVING,
    _State.LINGERING: budget.Phase.LINGERING,
    _State.CLOSED: budget.Phase.LINGERING,
}


class CallerConnection:
    """One connection: reads requests and writes their answers in order.

    Requests are served one at a time; pipelined ones wait.

    :param on_closed: called once, when the connection is closed
    :param intake: bounds what all connections hold; None without a bound
    :param rejection_headers: gives the headers of answers to requests that
        don't reach the handler
    :param idle_limits: the idle limits that callers may know, if they change;
        None if that of the handler is constant
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        connection: transport.Connection,
        handler: RequestHandler,
        on_closed: typing.Callable[['CallerConnection'], None],
        intake: guard.Guard | None = None,
        rejection_headers: RejectionHeaders = requests.own_answer_headers,
        idle_limits: closing_limits.IdleLimits | None = None,
    ) -> None:
        self._loop = loop
        self._connection = connection
        self._handler = handler
        self._on_closed = on_closed
        limits = handler.limits
        self._reader = http1.RequestReader(
            limits.max_head_bytes, limits.max_body_bytes
        )
        self._state = _State.IDLE
        self._exchange: Exchange | None = None
        self._timer: entry_loop.Timer | None = None
        self._closes = False
        self._is_framed = True
        self._intake = intake
        self._rejection_headers = rejection_headers
        self._unparsed: collections.deque[memoryview] = collections.deque()
        self._unparsed_bytes = 0
        self._received_bytes = 0
        self._serving_bytes = 0
        self._waits_for_room = False
        self._delivery = delivery.Delivery(connection)
        self._progressed_s = 0.0
        self._late_bytes: late_bytes.LateBytes | None = None
        self._idle = idle_clock.IdleClock(
            loop, lambda: handler.limits.idle_timeout_s, idle_limits
        )
        self._window = receive_window.ReceiveWindow(connection, intake)
        connection.owner = self
        self._start_timer(self._idle.timeout_s)
        if intake is not None:
            intake.add(self)

    @property
    def is_congested(self) -> bool:
        """Whether too many bytes wait to be sent to the caller."""
        limit = MAX_UNSENT_BYTES
        if self._intake is not None and self._intake.is_short:
            limit = SHORT_UNSENT_BYTES
        return self._connection.unsent_bytes > limit

    @property
    def has_open_request(self) -> bool:
        """Whether an answer waits to be sent, or a request to be begun.

        Also while a request is being read, but not while one is served, which
        the handler knows.
        """
        if self._state is _State.SERVING:
            return False
        if self._connection.unsent_bytes or self._delivery.would_be_cut:
            return True
        return self._state is _State.READING and self._has_read_more

    @property
    def usage(self) -> budget.Usage:
        """What the connection holds of its requests and answers."""
        unsent_bytes = self._connection.unsent_bytes
        phase, moved_bytes = _PHASES[self._state], self._received_bytes
        held_bytes = (
            self._reader.held_bytes
            + self._unparsed_bytes
            + self._serving_bytes
            + self._window.widened_bytes
            + unsent_bytes
        )
        if unsent_bytes:
            moved_bytes = self._connection.written_bytes - unsent_bytes
            if phase is not budget.Phase.SERVING:
                phase = budget.Phase.SENDING
        if phase in (budget.Phase.SERVING, budget.Phase.SENDING):
            # Further requests may wait in the operating system.
            held_bytes += self._window.unread_bytes
        return budget.Usage(
            phase,
            held_bytes,
            self._reader.remaining_bytes,
            moved_bytes,
            unsent_bytes if phase is budget.Phase.SERVING else 0,
        )

    def received(self, data: bytes) -> None:
        """Parse bytes of requests, and serve the next complete one."""
        if self._late_bytes is not None:
            self._late_bytes.read_bytes += len(data)
            return
        self._received_bytes += len(data)
        self._unparsed.append(memoryview(data))
        self._unparsed_bytes += len(data)
        if self._exchange is None and self._state is not _State.SERVING:
            self._parse()
            if not self._answers_are_behind:
                self._serve_next()
        if self._state is _State.READING:
            self._window.widen(self._reader.remaining_bytes)
        self._update_reading()
        self._update_usage()

    @property
    def _answers_are_behind(self) -> bool:
        """Whether the caller has to read answers before the next one."""
        return self.is_congested

    def _parse(self) -> None:
        """Parse what was received, until a request is complete."""
        limits = self._handler.limits
        self._reader.max_head_bytes = limits.max_head_bytes
        self._reader.max_body_bytes = limits.max_body_bytes
        while (
            self._unparsed
            and not self._reader.requests
            and self._reader.problem is None
        ):
            data = self._unparsed.popleft()
            if len(data) > max(
                PARSED_AT_ONCE_BYTES, self._reader.remaining_bytes
            ):
                self._unparsed.appendleft(data[PARSED_AT_ONCE_BYTES:])
                data = data[:PARSED_AT_ONCE_BYTES]
            self._unparsed_bytes -= len(data)
            self._reader.feed(bytes(data))

    def _update_reading(self) -> None:
        if self._late_bytes is not None:
            is_paused = not self._late_bytes.reason.reads_on
        else:
            is_paused = (
                self._waits_for_room
                or self._unparsed_bytes > self._window.max_unparsed_bytes
                # No further request will be answered.
                or (self._closes and self._state is _State.SERVING)
            )
        if is_paused:
            self._connection.pause(notices_close=True)
        else:
            self._connection.resume()

    def _update_usage(self) -> None:
        if self._intake is not None and self._state is not _State.CLOSED:
            self._intake.update(self)

    def stop_reading(self) -> None:
        """Leave what arrives to the operating system."""
        self._waits_for_room = True
        self._update_reading()

    def read_again(self) -> None:
        """Read what arrives."""
        self._waits_for_room = False
        if self._state is not _State.CLOSED:
            self._update_reading()

    def refuse_unread(self) -> None:
        """Refuse what was not completely read, and close.

        Also closes where the caller doesn't read its answer, or is idle.
        """
        if self._connection.unsent_bytes:
            self._close()
        elif self._exchange is not None or self._state is _State.SERVING:
            return
        elif self._state is _State.READING:
            self._send_rejection(503, SHORTAGE_RETRY_S)
        elif self._state is _State.IDLE:
            self.give_way()

    def give_way(self) -> None:
        """Close at once, unless a request has begun."""
        if self._state is _State.IDLE:
            self._connection.receive_now()
        if self._connection.unsent_bytes:
            return
        if self._state is _State.READING and self._reader.is_reading_request:
            self._send_rejection(503, SHORTAGE_RETRY_S)
        if self._state in (_State.IDLE, _State.LINGERING):
            self._close()

    def ended(self, is_clean: bool) -> None:
        """Handle the end of the connection."""
        self._close()

    def drained(self) -> None:
        """Continue after all that was written has been sent."""
        if self._state is _State.LINGERING:
            self._start_timer(LINGER_S)
            self._connection.finish_writing()
        elif self._exchange is not None:
            self._exchange.handle_caller_drained()
        else:
            self._continue()
        self._update_usage()

    def answer(
        self,
        status: int,
        headers: typing.Sequence[call.Header],
        body: bytes,
        closes: bool = False,
        is_framed: bool = True,
    ) -> None:
        """Send the answer to the current request.

        :param closes: whether to close the connection after it
        :param is_framed: whether the body is known to be complete, and so
            gets a length; otherwise it ends with the connection
        """
        if is_framed:
            self._closes |= closes or self._closes_for_stop
            head = self._encode_head(status, headers, len(body))
        else:
            head = self._begin_unframed(status, headers)
        self._connection.write(head + body)
        self._finish()
        self._update_usage()

    def begin_answer(
        self,
        status: int,
        headers: typing.Sequence[call.Header],
        is_framed: bool = True,
    ) -> None:
        """Send the head of an answer whose body is sent in parts.

        :param is_framed: whether the body is chunked; otherwise it ends with
            the connection
        """
        self._is_framed = is_framed
        if is_framed:
            self._closes |= self._closes_for_stop
            head = self._encode_head(status, headers, None)
        else:
            head = self._begin_unframed(status, headers)
        self._update_reading()
        self._connection.write(head)

    @property
    def _has_read_more(self) -> bool:
        """Whether bytes were read of a request that is not begun."""
        return bool(
            self._unparsed
            or self._reader.requests
            or self._reader.is_reading_request
        )

    @property
    def _closes_for_stop(self) -> bool:
        """Whether a stop closes the connection behind the current answer."""
        return self._handler.is_stopping and not self._has_read_more

    def _encode_head(
        self,
        status: int,
        headers: typing.Sequence[call.Header],
        body_bytes: int | None,
    ) -> bytes:
        return http1.encode_head(
            status,
            headers,
            body_bytes,
            self._closes,
            0 if self._closes else self._idle.tell_keep_alive_s(),
        )

    def answer_chunk(self, data: bytes) -> None:
        """Send *data* as a part of the body; nothing if it is empty."""
        if data:
            self._connection.write(
                http1.encode_chunk(data) if self._is_framed else data
            )
            if self._connection.unsent_bytes:
                self._update_usage()

    def end_answer(self) -> None:
        """Send the end of a body that was sent in parts."""
        if self._is_framed:
            self._connection.write(http1.LAST_CHUNK)
        self._finish()

    def _begin_unframed(
        self, status: int, headers: typing.Sequence[call.Header]
    ) -> bytes:
        """The head of an answer that ends with the connection.

        Any end but that of the answer has to be a reset: nothing else would
        tell the caller that the answer is incomplete.
        """
        self._closes = True
        self._connection.set_reset_on_close(True)
        return http1.encode_unframed_head(status, headers)

    def abort(self) -> None:
        """Close at once, so that an answer in progress is seen incomplete."""
        self._close()

    def end_with_process(self) -> None:
        """Close at once; a request that is still being read is refused."""
        if (
            self._state is _State.READING
            and self._reader.is_reading_request
            and not self._connection.unsent_bytes
        ):
            journal.event(
                'request',
                outcome='own 503',
                reason='the process ended before the request was read',
            )
            self._send_rejection(503, stop_state.RETRY_AFTER_S)
        self._close()

    def close_if_idle(self, unused_for_s: float = 0.0) -> None:
        """Close the connection if it has had no request for so long."""
        if self._idle.idle_s < unused_for_s:
            return
        # What arrives behind the close resets the connection, which would cut
        # an answer that is still under way.
        if self._delivery.is_complete:
            self._close_idle()

    def _close_idle(self) -> None:
        if self._state is _State.IDLE:
            # A request may have arrived during this turn of the loop.
            self._connection.receive_now()
        if self._state is _State.IDLE:
            self._linger(
                late_bytes.Reason.STOP
                if self._handler.is_stopping
                else late_bytes.Reason.IDLE
            )

    def _serve_next(self) -> None:
        if self._reader.requests:
            self._start_request(self._reader.take())
        elif self._reader.problem is not None:
            self._reject(self._reader.problem.value)
        elif self._reader.is_reading_request:
            if self._state is not _State.READING:
                self._state = _State.READING
                self._start_timer(self._handler.limits.head_timeout_s)
        elif self._state is not _State.IDLE:
            self._become_idle()

    def _become_idle(self) -> None:
        self._state = _State.IDLE
        self._idle.restart()
        self._start_timer(self._idle.timeout_s)

    def _start_request(self, request: http1.Request) -> None:
        if self._loop.is_catching_up and self._connection.has_peer_closed:
            # The request arrived while the process stood still.
            journal.event('request', outcome='caller-left', reason='unread')
            self._close()
            return
        self._cancel_timer()
        # The body is copied once more, to be sent to the endpoint.
        self._serving_bytes = (
            request.held_bytes
            + len(request.body)
            + requests.decoded_bytes(request.headers)
        )
        if self._intake is not None and not self._intake.may_begin(
            self, self._serving_bytes - request.held_bytes
        ):
            self._send_rejection(
                503, SHORTAGE_RETRY_S, requests.attempt_id_of(request.headers)
            )
            return
        self._state = _State.SERVING
        self._closes = not request.keeps_alive
        exchange = self._handler.begin(self, request)
        # The exchange may have ended already, and the next one started.
        if exchange is not None and self._state is _State.SERVING:
            self._exchange = exchange

    def _finish(self) -> None:
        self._exchange = None
        self._serving_bytes = 0
        if self._closes:
            self._linger(late_bytes.Reason.ANSWERED)
            return
        self._state = _State.READING
        # The calling exchange is still finishing, so the next request starts
        # in the loop's next turn.
        self._loop.call_after(0, self._continue)

    def _continue(self) -> None:
        """Go on with the next request, once the caller reads its answers."""
        if self._state is not _State.READING or self._exchange is not None:
            return
        if self._answers_are_behind:
            self._await_slow_caller()
            return
        self._parse()
        self._update_reading()
        if self._reader.requests or self._reader.problem is not None:
            self._serve_next()
        elif self._reader.is_reading_request:
            self._start_timer(self._handler.limits.head_timeout_s)
        else:
            self._become_idle()
        self._update_usage()

    def _reject(self, status: int) -> None:
        """Reject what is not a valid request, and close."""
        journal.event(
            'request',
            outcome=f'own {status}',
            reason=_REJECTION_REASONS[status],
        )
        self._send_rejection(status)

    def _send_rejection(
        self,
        status: int,
        retry_after_s: float | None = None,
        attempt_id: ids.AttemptId | None = None,
    ) -> None:
        headers = self._rejection_headers(attempt_id, retry_after_s)
        self._connection.write(http1.encode_head(status, headers, 0, True))
        self._linger(late_bytes.Reason.REFUSED)

    def _linger(self, reason: late_bytes.Reason) -> None:
        self._state = _State.LINGERING
        self._late_bytes = late_bytes.LateBytes(
            reason,
            self._loop.now_s,
            self._idle.idle_s,
            0 if reason.reads_on else self._unparsed_bytes,
        )
        self._discard_unserved()
        self._start_timer(LINGER_S)
        if self._connection.unsent_bytes:
            self._progressed_s = self._loop.now_s
            self._start_timer(UNSENT_LINGER_S / UNSENT_CHECKS)
        else:
            self._connection.finish_writing()

    def _discard_unserved(self) -> None:
        """Free what was received and will not be served."""
        self._reader.discard()
        self._unparsed.clear()
        self._unparsed_bytes = self._serving_bytes = 0
        self._waits_for_room = False
        self._update_reading()
        self._update_usage()

    def _start_timer(self, duration_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_after(duration_s, self._time_out)

    def _await_slow_caller(self) -> None:
        """Wait while the caller reads its answer, however slowly."""
        if not self._delivery.has_progressed():
            # It has read nothing for as long as a connection may be idle.
            self._close()
            return
        self._start_timer(self._idle.timeout_s)

    def _await_last_answer(self) -> None:
        """Wait while the caller reads its last answer, however slowly."""
        now_s = self._loop.now_s
        if self._delivery.has_progressed():
            self._progressed_s = now_s
        if now_s - self._progressed_s < UNSENT_LINGER_S:
            self._start_timer(UNSENT_LINGER_S / UNSENT_CHECKS)
        else:
            self._close()

    def _time_out(self) -> None:
        if self._state is _State.READING and not self._connection.is_closed:
            if self._answers_are_behind:
                self._await_slow_caller()
            elif self._reader.is_in_head:
                self._reject(408)
            else:
                self._extend_body_timeout()
            return
        if self._state is _State.IDLE:
            self._time_out_idle()
            return
        if self._connection.unsent_bytes:
            self._await_last_answer()
            return
        if self._delivery.would_be_cut and self._delivery.has_progressed():
            self._start_timer(LINGER_S)
            return
        self._close()

    def _time_out_idle(self) -> None:
        if not self._delivery.is_complete and self._delivery.has_progressed():
            self._become_idle()
            return
        left_s = self._idle.timeout_s - self._idle.idle_s
        if left_s > 0:
            # The limit has been raised meanwhile.
            self._start_timer(left_s)
        else:
            self._close_idle()

    def _extend_body_timeout(self) -> None:
        """Give the body as long in all as an idle connection gets."""
        head_timeout_s = self._handler.limits.head_timeout_s
        self._timer = self._loop.call_after(
            max(0.1, self._idle.timeout_s - head_timeout_s),
            lambda: self._reject(408),
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close(self) -> None:
        if self._state is _State.CLOSED:
            return
        self._state = _State.CLOSED
        if self._late_bytes is not None:
            self._late_bytes.report(self._connection, self._loop.now_s)
        self._cancel_timer()
        self._reader.discard()
        self._unparsed.clear()
        if self._intake is not None:
            self._intake.remove(self)
        self._connection.close()
        self._on_closed(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.handle_caller_left()
