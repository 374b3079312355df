"""Pooled connections to endpoints; each carries one request at a time."""

import collections
import typing

from guavachute.decide.ingress import endpoint_links
from guavachute.domain import call
from guavachute.entry import http1
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids

CONNECT_TIMEOUT_S = 0.5
"""The operating system repeats a lost SYN packet after a second; another
endpoint is tried before that."""

PROVEN_S = 1.0
"""A request that must not run twice reuses a connection only if the connection
answered a request within this time; an older one may have failed without any
packet that shows it."""

MAX_IDLE_S = 8.0
"""Connections that are idle for this long are closed."""

KEPT_ATTEMPTS = 256
"""So many attempts that a connection has carried are remembered."""

MAX_UNREAD_BYTES = 65_536
"""What the operating system receives of an answer that is not read, as its
caller reads slowly."""

MAX_ANSWERS = 16
"""So many answers may come to one request, those to other requests included.
An endpoint that sends more has no end."""

IDLE_MARGIN_S = 1.0
"""Idle connections are closed this long before the endpoint would."""


class Listener(typing.Protocol):
    """Callbacks of a connection for the request that uses it."""

    def handle_upstream_event(self, event: http1.AnswerEvent) -> None:
        """A part of an answer was parsed."""

    def handle_upstream_ended(
        self, is_clean: bool, was_connected: bool
    ) -> None:
        """The connection has ended.

        :param is_clean: whether the endpoint closed it
        :param was_connected: whether it had been established
        """


class Connection:
    """A connection to an endpoint, reused for further requests.

    :ivar idle_timeout_s: after how long the endpoint closes an idle
        connection; None if it has not said
    :ivar idle_since_s: loop time at which the latest request ended
    """

    def __init__(
        self, loop: entry_loop.Loop, address: ids.Address, pool: 'Pool'
    ) -> None:
        self.address = address
        self._loop = loop
        self._pool = pool
        self._reader = http1.AnswerReader()
        self._listener: Listener | None = None
        self._opened_s = self._sent_s = loop.now_s
        self._is_in_use = False
        self._answers = 0
        self._attempts: collections.deque[str] = collections.deque(
            maxlen=KEPT_ATTEMPTS
        )
        self._received_s = endpoint_links.NEVER_S
        self._timer: entry_loop.Timer | None = None
        self.idle_timeout_s: float | None = None
        self.idle_since_s = loop.now_s
        self._transport = transport.connect(loop, address, MAX_UNREAD_BYTES)
        if self._transport is not None:
            self._transport.owner = self

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on it."""
        return self._transport is not None and not self._transport.is_closed

    @property
    def is_connected(self) -> bool:
        """Whether it has been established, so that requests are sent."""
        return self._transport is not None and self._transport.is_connected

    @property
    def silent_s(self) -> float:
        """For how long nothing was received since its request was sent."""
        return self._loop.now_s - max(self._sent_s, self._received_s)

    @property
    def was_idle(self) -> bool:
        """Whether it was used before, and its request got no byte yet."""
        return endpoint_links.NEVER_S < self._received_s < self._sent_s

    @property
    def has_sent_all(self) -> bool:
        """Whether the request has been completely sent."""
        return self._transport is None or not self._transport.unsent_bytes

    @property
    def ends_answer(self) -> bool:
        """Whether the current answer ends with the connection."""
        return self._reader.ends_with_connection

    def may_carry(self, attempt_id: ids.AttemptId) -> bool:
        """Whether an answer to that attempt would certainly be its answer.

        An endpoint may send an answer once more. If the attempt was on this
        connection before, nothing tells the two answers apart.
        """
        return call.part_id(attempt_id) not in self._attempts

    def record_attempt(self, attempt_id: ids.AttemptId) -> None:
        """Record the attempt that uses the connection from now on."""
        # Callers choose the ids, which may be as long as a head.
        self._attempts.append(call.part_id(attempt_id))

    def send_request(self, request: bytes, listener: Listener) -> None:
        """Send *request*; *listener* gets the answer."""
        self._listener = listener
        self._answers = 0
        self._sent_s = self._loop.now_s
        self._pool.links.record_sent(self.address, self._sent_s)
        self._is_in_use = True
        if self._transport is None:
            self._loop.call_after(0, self._fail_connecting)
            return
        if not self._transport.is_connected:
            self._timer = self._loop.call_after(
                CONNECT_TIMEOUT_S, self._check_connected
            )
        self._transport.write(request)

    def pause(self) -> None:
        """Stop reading until :meth:`resume`."""
        if self._transport is not None:
            self._transport.pause()

    def resume(self) -> None:
        """Read again."""
        if self._transport is not None:
            self._transport.resume()

    def release(self, keeps_alive: bool) -> None:
        """End the use by a request; return to the pool if still usable."""
        self._listener = None
        if self._is_in_use and self._received_s < self._sent_s:
            self._call_back()
        self._record_ended()
        if keeps_alive and self.is_usable and self.has_sent_all:
            self.resume()
            self.idle_since_s = self._loop.now_s
            self._pool.release(self)
        else:
            self.close()

    def close(self) -> None:
        """Close, which cancels a running request."""
        self._listener = None
        self._record_ended()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def _call_back(self) -> None:
        """Discard what the operating system has not delivered on closing.

        After a close it would still deliver the request, long after its
        caller has left.
        """
        if self._transport is not None:
            self._transport.set_reset_on_close(True)

    def received(self, data: bytes) -> None:
        """Parse bytes of an answer.

        Bytes outside of any request belong to no answer, and close the
        connection.
        """
        self._received_s = self._loop.now_s
        self._pool.links.record_heard(self.address, self._received_s)
        if self._listener is None:
            self._pool.discard(self)
            self.close()
            return
        events = self._reader.feed(data)
        for index, event in enumerate(events, start=1):
            if self._listener is None:
                self._pool.discard(self)
                self.close()
                return
            if isinstance(event, http1.AnswerEnded) and (
                index < len(events) or self._reader.is_reading_answer
            ):
                # Bytes after an answer belong to no later request.
                event = http1.AnswerEnded(keeps_alive=False)
            if isinstance(event, http1.AnswerStarted):
                self._answers += 1
                if self._answers > MAX_ANSWERS:
                    event = http1.AnswerMalformed()
            self._listener.handle_upstream_event(event)

    def ended(self, is_clean: bool) -> None:
        """Handle the end of the connection."""
        assert self._transport is not None
        self._end(is_clean, self._transport.is_connected)

    def drained(self) -> None:
        """Ignored: requests are written at once."""

    def _fail_connecting(self) -> None:
        self._end(False, False)

    def _check_connected(self) -> None:
        if self._transport is not None and not self._transport.is_connected:
            self._transport.close()
            self._end(False, False)

    def _record_ended(self) -> None:
        if self._is_in_use:
            self._is_in_use = False
            self._pool.links.record_ended(self.address)

    def _end(self, is_clean: bool, was_connected: bool) -> None:
        self._record_ended()
        if self._timer is not None:
            self._timer.cancel()
        if not is_clean:
            self._pool.links.record_failure(
                self.address,
                self._loop.now_s if was_connected else self._opened_s,
                self._loop.now_s,
            )
        listener, self._listener = self._listener, None
        if listener is None:
            self._pool.discard(self)
        else:
            listener.handle_upstream_ended(is_clean, was_connected)


class Pool:
    """Idle connections to endpoints, by address.

    :ivar links: told of what the connections show
    """

    def __init__(
        self, loop: entry_loop.Loop, links: endpoint_links.EndpointLinks
    ) -> None:
        self._loop = loop
        self.links = links
        self._idle: dict[ids.Address, collections.deque[Connection]] = {}
        self.opened = 0
        """Connections opened since the start."""

    def acquire(
        self,
        address: ids.Address,
        attempt_id: ids.AttemptId,
        needs_proven: bool,
    ) -> Connection:
        """Acquire an idle connection to *address*, or open a new one.

        :param attempt_id: the attempt that will use it
        :param needs_proven: whether an idle one must have answered within
            :data:`PROVEN_S`
        """
        idle = self._idle.get(address, collections.deque())
        while idle:
            connection = idle.pop()
            idle_s = self._loop.now_s - connection.idle_since_s
            if (
                connection.is_usable
                and idle_s < _max_idle_s(connection, needs_proven)
                and connection.may_carry(attempt_id)
            ):
                break
            connection.close()
        else:
            self.opened += 1
            connection = Connection(self._loop, address, self)
        connection.record_attempt(attempt_id)
        return connection

    def release(self, connection: Connection) -> None:
        """Return *connection* for another request."""
        self._idle.setdefault(connection.address, collections.deque()).append(
            connection
        )

    def discard(self, connection: Connection) -> None:
        """Discard *connection*, which can no longer be used."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        for address, idle in list(self._idle.items()):
            while idle:
                idle_s = self._loop.now_s - idle[0].idle_since_s
                if idle_s < _max_idle_s(idle[0], False):
                    break
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.popleft().close()
        self._idle.clear()


def _max_idle_s(connection: Connection, needs_proven: bool) -> float:
    limit_s = PROVEN_S if needs_proven else MAX_IDLE_S
    if connection.idle_timeout_s is not None:
        limit_s = min(limit_s, connection.idle_timeout_s - IDLE_MARGIN_S)
    return limit_s
