"""HTTP client for the store, the cloud, engines and peers."""

import collections
import dataclasses
import enum
import typing

from guavachute.domain import call
from guavachute.entry import http1
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids

MAX_IDLE_CONNECTIONS = 4
MAX_IDLE_S = 4.0
"""A connection that was idle for this long may have failed; it is replaced."""

CONNECT_TIMEOUT_S = 0.8

STALLED_AFTER_S = 1.0
"""A reply that is being received may take longer than its call's timeout, as
long as it does not stall for this long: starting a large one again would only
fill a slow link further."""

MAX_REPLY_BYTES = 8_388_608
"""A larger reply is none, and its connection is closed."""

MAX_TRANSFER_S = 8.0
"""Upper bound of the time for which a reply may be received."""


class CallFailure(enum.Enum):
    """Why a call has no reply."""

    NOT_SENT = 'not-sent'
    """No connection was established, so the call has had no effect."""
    NO_ANSWER = 'no-answer'
    """The call may have had its effect, or may have it later."""
    OTHER_ERA = 'other-era'
    """The store has come back from a copy since the call was sent, or the
    answer is from before that. The effect of the call may be lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply; its status may be an error."""

    status: int
    body: bytes
    headers: typing.Sequence[call.Header] = dataclasses.field(
        default=(), compare=False, repr=False
    )


Done = typing.Callable[[Reply | CallFailure], None]

Cancel = typing.Callable[[], None]
"""Cancels a call, so that its callback is not called. It has no effect on a
call that has ended."""


class Client:
    """Calls one address; concurrent calls use separate connections."""

    def __init__(self, loop: entry_loop.Loop, address: ids.Address) -> None:
        self._loop = loop
        self.address = address
        self._idle: collections.deque[_Channel] = collections.deque()
        self._channels: set[_Channel] = set()

    def call(
        self,
        method: bytes,
        target: bytes,
        done: Done,
        timeout_s: float,
        body: bytes = b'',
        headers: typing.Sequence[call.Header] = (),
    ) -> Cancel:
        """Send a request; *done* is called once, in a later turn of the loop.

        Returns a function that cancels the call: *done* is then not called.

        :param timeout_s: for the call until its reply begins, connecting
            included; a reply that has begun may go on for longer
        """
        lines = [
            b'%s %s HTTP/1.1' % (method, target),
            b'Host: %s' % self.address.encode(),
        ]
        lines += [b'%s: %s' % header for header in headers]
        if body or method != b'GET':
            lines.append(b'Content-Length: %d' % len(body))
        channel = self._acquire()
        request = b'\r\n'.join(lines) + b'\r\n\r\n' + body
        return channel.send(request, done, timeout_s)

    def close(self) -> None:
        """Close all connections and cancel all pending calls."""
        for channel in list(self._channels):
            channel.abort()
        self._idle.clear()

    def _acquire(self) -> '_Channel':
        while self._idle:
            channel = self._idle.pop()
            if channel.is_usable(self._loop.now_s):
                return channel
            channel.abort()
        channel = _Channel(
            self._loop, self.address, self._release, self._channels.discard
        )
        self._channels.add(channel)
        return channel

    def _release(self, channel: '_Channel') -> None:
        self._idle.append(channel)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.popleft().abort()


class _Channel:
    """A connection that carries one call at a time."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        address: ids.Address,
        release: typing.Callable[['_Channel'], None],
        discard: typing.Callable[['_Channel'], None],
    ) -> None:
        self._loop = loop
        self._discard = discard
        self._release = release
        self._reader = http1.AnswerReader()
        self._connection = transport.connect(loop, address)
        if self._connection is not None:
            self._connection.owner = self
        self._done: Done | None = None
        self._timer: entry_loop.Timer | None = None
        self._connect_timer: entry_loop.Timer | None = None
        self._calls = 0
        self._status = 0
        self._headers: list[call.Header] = []
        self._body = bytearray()
        self._idle_since_s = loop.now_s
        self._started_s = loop.now_s
        self._received_s = float('-inf')

    def is_usable(self, now_s: float) -> bool:
        """Whether another call may be sent on this connection."""
        return (
            self._connection is not None
            and not self._connection.is_closed
            and now_s - self._idle_since_s < MAX_IDLE_S
        )

    def send(self, request: bytes, done: Done, timeout_s: float) -> Cancel:
        """Send one call; the result cancels this call and no later one."""
        self._calls += 1
        call_number = self._calls
        self._done = done
        self._body = bytearray()

        def cancel() -> None:
            if self._done is not None and self._calls == call_number:
                self.abort()

        if self._connection is None:
            self._loop.call_after(0, lambda: self._fail(CallFailure.NOT_SENT))
            return cancel
        self._started_s = self._loop.now_s
        self._received_s = float('-inf')
        self._timer = self._loop.call_after(timeout_s, self._time_out)
        if not self._connection.is_connected:
            self._connect_timer = self._loop.call_after(
                min(timeout_s, CONNECT_TIMEOUT_S), self._connect_timed_out
            )
        self._connection.write(request)
        return cancel

    def abort(self) -> None:
        """Close the connection without calling the callback."""
        self._done = None
        self._discard(self)
        self._cancel_timers()
        if self._connection is not None:
            self._connection.close()

    def received(self, data: bytes) -> None:
        """Parse bytes of the reply; bytes outside of any call end it."""
        if self._done is None:
            self.abort()
            return
        self._received_s = self._loop.now_s
        for event in self._reader.feed(data):
            if isinstance(event, http1.AnswerStarted):
                self._status = event.status
                self._headers = event.headers
            elif isinstance(event, http1.AnswerBody):
                self._body += event.data
                if len(self._body) > MAX_REPLY_BYTES:
                    self._fail(CallFailure.NO_ANSWER)
            elif isinstance(event, http1.AnswerEnded):
                self._finish(event.keeps_alive)
            else:
                self._fail(CallFailure.NO_ANSWER)
            if self._connection is None or self._connection.is_closed:
                return

    def ended(self, is_clean: bool) -> None:
        """Handle the end of the connection."""
        assert self._connection is not None
        if is_clean and self._done and self._reader.ends_with_connection:
            self._finish(keeps_alive=False)
        elif self._connection.is_connected:
            self._fail(CallFailure.NO_ANSWER)
        else:
            self._fail(CallFailure.NOT_SENT)

    def drained(self) -> None:
        """Ignored: the client does not limit its writes."""

    def _finish(self, keeps_alive: bool) -> None:
        done, self._done = self._done, None
        self._cancel_timers()
        reply = Reply(self._status, bytes(self._body), self._headers)
        self._body = bytearray()
        assert self._connection is not None
        if done is None or not keeps_alive:
            self.abort()
        else:
            self._idle_since_s = self._loop.now_s
            self._release(self)
        if done is not None:
            done(reply)

    def _time_out(self) -> None:
        now_s = self._loop.now_s
        stalls_at_s = min(
            self._received_s + STALLED_AFTER_S,
            self._started_s + MAX_TRANSFER_S,
        )
        if now_s < stalls_at_s:
            self._timer = self._loop.call_at(stalls_at_s, self._time_out)
        else:
            self._fail(CallFailure.NO_ANSWER)

    def _connect_timed_out(self) -> None:
        assert self._connection is not None
        if not self._connection.is_connected:
            self._fail(CallFailure.NOT_SENT)

    def _fail(self, reason: CallFailure) -> None:
        done, self._done = self._done, None
        self.abort()
        if done is not None:
            done(reason)

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._connect_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._connect_timer = None
