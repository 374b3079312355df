"""Reads the requests of all connections in one thread, within a budget.

A worker thread gets a connection when a whole request has been read, and so
never waits for a caller. What all connections hold is bounded by
:mod:`guavachute.decide.ingress.intake.budget`.
"""

import collections
import contextlib
import dataclasses
import socket
import threading
import time
import typing

from guavachute.decide.ingress.intake import budget
from guavachute.decide.ingress.intake import process_limits
from guavachute.http import request_framing
from guavachute.kernel import poller
from guavachute.kernel import receiving
from guavachute.observe import logs

_log = logs.logger('intake')

RECEIVE_BYTES = 65_536
CHECK_PERIOD_S = 0.1
"""Interval at which bodies that wait are given room. Each check goes through
all connections."""

LEAST_PERIOD_S = 0.02
"""While the process is short, connections are not checked more often."""

BODY_COPIES = 3
"""How often a body is usually copied while it is served; what a complete
request costs is estimated from its content."""

WAIT_S = 0.5
"""Longest wait of the thread, so that timeouts are noticed."""

MAX_READ_S = 120.0
"""A request has to be complete within this time, also byte by byte. A body of
the default limit arrives in it at 0.6 Mbit/s."""

MAX_CHUNK_OVERHEAD = 8
"""Bytes that are read for each byte of a body. Chunks of one byte take six."""

LINGER_S = 1.0
"""After a refusal, bytes of the caller are discarded for this long. Closing at
once could reset the connection before the caller has read the refusal."""

STOPPING = 'the server stops; send it again'
"""The detail of refusals of requests that had been read in part at a stop."""

LOG_PERIOD_S = 5.0
"""The log says at most this often what was done; a client can cause many
actions."""

CLOSED_AT_ONCE = 64
"""With too many connections, this part of their number is closed at a
time, as finding them takes longer with many."""

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Connection(typing.Hashable, typing.Protocol):
    """A connection of the HTTP server.

    :ivar socket: not used by others while the intake reads
    :ivar widened_bytes: how much more than usual it may receive before it is
        read
    :ivar rfile: gets each whole request
    """

    socket: socket.socket
    rfile: request_framing.RequestFile
    widened_bytes: int

    def close(self) -> None:
        """Close it."""


@dataclasses.dataclass(slots=True)
class _Reading:
    """A connection whose request is being read.

    :ivar begun_s: when its first byte arrived; None before
    :ivar heard_s: when its last byte arrived, or it was read again
    """

    connection: Connection
    heard_s: float
    begun_s: float | None = None
    data: bytearray = dataclasses.field(default_factory=bytearray)
    framing: request_framing.Framing = dataclasses.field(
        default_factory=request_framing.Framing
    )
    received_bytes: int = 0
    phase: budget.Phase = budget.Phase.IDLE
    is_waiting: bool = False

    def remaining_bytes(self, max_body_bytes: int) -> int:
        """How much of the body is missing, at most."""
        if self.framing.is_in_head:
            return 0
        length = self.framing.length
        if length is None:
            length = max_body_bytes
        return max(0, length - self.framing.body_bytes)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What an intake accepts.

    :ivar body_cost: called with a whole request and a number of bytes;
        returns what the request costs while it is served, or any larger
        number if that exceeds the second argument
    """

    limits: process_limits.Limits
    max_head_bytes: int
    max_body_bytes: int
    read_timeout_s: float
    body_cost: typing.Callable[[bytearray, int], int]


class Intake:
    """Reads requests until each is complete, and hands it on.

    Methods without another note may be called from any thread.

    :param serve: called with a connection whose request was read
    :param refusal: returns the answer with a status and a detail
    :param count: increases a counter
    :param failed: called if the thread ends by an error
    """

    def __init__(
        self,
        bounds: Bounds,
        serve: typing.Callable[[typing.Any], None],
        refusal: typing.Callable[[int, str], bytes],
        count: typing.Callable[[str], None],
        failed: typing.Callable[[Exception], None],
    ) -> None:
        self._bounds = bounds
        self._serve = serve
        self._refusal = refusal
        self._count_one = count
        self._failed = failed
        self._budget: budget.Budget[Connection] = budget.Budget(
            bounds.limits, BODY_COPIES
        )
        self._poller = poller.Poller()
        self._reading: dict[Connection, _Reading] = {}
        self._added: collections.deque[Connection] = collections.deque()
        self._closed: collections.deque[Connection] = collections.deque()
        self._wake_out, self._wake_in = socket.socketpair()
        self._wake_out.setblocking(False)
        self._wake_in.setblocking(False)
        self._poller.register(self._wake_out, poller.READ, None)
        self._is_stopping = False
        self._serves_no_more = threading.Event()
        self._has_ended = False
        self._now_s = time.monotonic()
        self._checked_s = self._now_s
        self._turn_s = self._now_s
        self._logged_s = -LOG_PERIOD_S
        self._done: dict[str, int] = {}
        self._thread = threading.Thread(target=self._run, name='intake')

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Refuse what was read in part; return when no more is served.

        Bytes of refused requests are still discarded until :meth:`join`
        returns, so that their callers can read the refusal.
        """
        self._is_stopping = True
        self._wake()
        if self._thread.is_alive():
            self._serves_no_more.wait()
        else:
            self._end()

    def join(self) -> None:
        """Wait until all connections that were being read are closed."""
        if self._thread.is_alive():
            self._thread.join()

    def add(self, connection: Connection) -> None:
        """Read the next request of a connection; close it after a stop."""
        self._added.append(connection)
        self._wake()
        if self._has_ended:
            self._turn_away_added()

    def forget(self, connection: Connection) -> None:
        """No longer count a connection, which was closed."""
        self._closed.append(connection)
        self._wake()

    def _wake(self) -> None:
        # If the buffer is full or closed, the thread is awake or has ended.
        with contextlib.suppress(OSError):
            self._wake_in.send(b'.')

    # -- the thread ----------------------------------------------------

    def _run(self) -> None:
        try:
            while not self._is_stopping:
                self._turn()
        except Exception as error:
            # Without this thread, the server would not serve anybody.
            _log.exception('reading requests failed')
            self._failed(error)
        try:
            self._refuse_begun()
            self._serves_no_more.set()
            self._linger()
        finally:
            self._serves_no_more.set()
            self._end()

    def _refuse_begun(self) -> None:
        """Refuse the requests that were read in part; close the others.

        What was not read of an idle connection stays in the operating
        system, so that closing resets the connection.
        """
        self._now_s = time.monotonic()
        for reading in list(self._reading.values()):
            if reading.phase is budget.Phase.READING:
                self._count('intake.refused')
                self._refuse(reading, 503, STOPPING)
            elif reading.phase is not budget.Phase.LINGERING:
                self._close(reading.connection)

    def _linger(self) -> None:
        """Discard the rest of refused requests, for a limited time."""
        end_s = time.monotonic() + LINGER_S
        while self._reading and self._now_s < end_s:
            for watched, _ in self._poller.poll(end_s - self._now_s):
                if watched.data is None:
                    with contextlib.suppress(OSError):
                        self._wake_out.recv(RECEIVE_BYTES)
                elif self._poller.is_current(watched):
                    self._receive(watched.data)
            self._turn_away_added()
            self._now_s = time.monotonic()

    def _turn_away_added(self) -> None:
        """Close the connections that come after the stop.

        A request that was read together with the one before it is refused, as
        the answer to that one may have kept the connection.
        """
        while True:
            try:
                connection = self._added.popleft()
            except IndexError:
                return
            with contextlib.suppress(OSError, ValueError):
                if connection.rfile.read():
                    connection.socket.send(
                        self._refusal(503, STOPPING), socket.MSG_DONTWAIT
                    )
            with contextlib.suppress(OSError):
                connection.close()

    def _end(self) -> None:
        for connection in list(self._reading):
            self._close(connection)
        self._has_ended = True
        # Later connections are closed by the thread that adds them.
        self._turn_away_added()
        self._release()

    def _release(self) -> None:
        self._poller.close()
        self._wake_out.close()
        self._wake_in.close()

    def _turn(self) -> None:
        ready = self._poller.poll(
            CHECK_PERIOD_S if self._budget.is_short else WAIT_S
        )
        self._now_s = time.monotonic()
        for watched, events in ready:
            if watched.data is None:
                with contextlib.suppress(OSError):
                    self._wake_out.recv(RECEIVE_BYTES)
            elif not self._poller.is_current(watched):
                continue
            elif events & poller.READ:
                self._receive(watched.data)
            else:
                # It waits for room, and its caller has left.
                self._close(watched.data.connection)
        self._update_connections()
        if self._budget.is_short:
            due_s = (
                LEAST_PERIOD_S if self._budget.is_over() else CHECK_PERIOD_S
            )
            if self._now_s - self._checked_s >= due_s:
                self._act()
        elif self._budget.is_over():
            self._act()
        self._close_expired()

    def _update_connections(self) -> None:
        while self._closed:
            self._budget.remove(self._closed.popleft())
        while self._added:
            self._begin(self._added.popleft())

    def _begin(self, connection: Connection) -> None:
        reading = _Reading(connection, self._now_s)
        try:
            # Bytes of the next request may have come with the last one.
            early = connection.rfile.read()
            self._poller.register(connection.socket, poller.READ, reading)
        except (OSError, ValueError):
            # It was closed meanwhile.
            self._budget.remove(connection)
            return
        self._reading[connection] = reading
        self._update(reading)
        if self._budget.excess_connections:
            at_once = max(1, self._bounds.limits.connections // CLOSED_AT_ONCE)
            for each in self._budget.to_close(at_once, connection):
                self._count('intake.closed')
                self._close(each)
            if self._budget.excess_connections:
                self._count('intake.closed')
                self._close(connection)
                return
        if early:
            self._handle_data(reading, early)

    def _receive(self, reading: _Reading) -> None:
        try:
            data = reading.connection.socket.recv(
                RECEIVE_BYTES, socket.MSG_DONTWAIT
            )
        except (BlockingIOError, TimeoutError):
            return
        except OSError:
            data = b''
        if not data and reading.phase is budget.Phase.READING:
            # The worker answers that the request is incomplete.
            self._hand_over(reading)
        elif not data:
            self._close(reading.connection)
        elif reading.phase is not budget.Phase.LINGERING:
            self._handle_data(reading, data)

    def _handle_data(self, reading: _Reading, data: bytes) -> None:
        framing, bounds = reading.framing, self._bounds
        reading.heard_s = self._now_s
        if reading.begun_s is None:
            reading.begun_s = self._now_s
        reading.phase = budget.Phase.READING
        reading.received_bytes += len(data)
        reading.data += data
        was_in_head = framing.is_in_head
        framing.feed(data)
        if framing.is_complete:
            self._hand_over(reading)
            return
        if framing.is_in_head:
            if len(reading.data) > bounds.max_head_bytes:
                # The worker answers that the head is too large.
                self._hand_over(reading)
                return
        elif (framing.length or 0) > bounds.max_body_bytes or (
            framing.body_bytes > bounds.max_body_bytes
        ):
            self._refuse(reading, 413, 'Request Entity Too Large')
            return
        elif len(reading.data) > min(
            MAX_CHUNK_OVERHEAD * bounds.max_body_bytes,
            max(bounds.limits.held_bytes, 2 * bounds.max_body_bytes),
        ):
            # Tiny chunks, or chunk extensions without end.
            self._count('intake.refused')
            self._refuse(reading, 503, 'the chunks take too much memory')
            return
        elif was_in_head and framing.expects_continue:
            with contextlib.suppress(OSError):
                reading.connection.socket.send(CONTINUE, socket.MSG_DONTWAIT)
        self._widen_receiving(reading)
        if self._update(reading):
            self._budget.mark_waiting(reading.connection)
            self._stop_reading(reading)

    def _widen_receiving(self, reading: _Reading) -> None:
        """Receive a large body faster, if there is room."""
        connection = reading.connection
        unread_bytes = self._bounds.limits.unread_bytes
        extra_bytes = process_limits.MAX_UNREAD_BYTES - unread_bytes
        if (
            extra_bytes > 0
            and not connection.widened_bytes
            and reading.remaining_bytes(self._bounds.max_body_bytes)
            > unread_bytes
            and self._budget.has_spare(extra_bytes)
        ):
            connection.widened_bytes = extra_bytes
            with contextlib.suppress(OSError):
                receiving.limit(
                    connection.socket, process_limits.MAX_UNREAD_BYTES
                )

    def _update(self, reading: _Reading) -> bool:
        """Count what is held; whether the connection has to wait."""
        return self._budget.record(
            reading.connection,
            budget.Usage(
                reading.phase,
                len(reading.data)
                + budget.HEADER_BYTES * reading.framing.headers
                + reading.connection.widened_bytes,
                reading.remaining_bytes(self._bounds.max_body_bytes),
                reading.received_bytes,
            ),
            self._now_s,
        )

    def _hand_over(self, reading: _Reading) -> None:
        """Let a worker serve a request that was read."""
        connection, data = reading.connection, reading.data
        self._update(reading)
        limit = round(budget.LONE_FRACTION * self._bounds.limits.held_bytes)
        cost = self._bounds.body_cost(data, limit)
        extra = max(0, cost - len(data))
        if (
            self._budget.total_bytes + extra > limit
            or not self._budget.may_begin(connection, extra)
        ):
            self._count('intake.refused')
            self._refuse(
                reading, 503, 'too little memory is free; send it again'
            )
            return
        self._budget.record(
            connection,
            budget.Usage(
                budget.Phase.SERVING,
                # The next request may wait in the operating system.
                cost
                + connection.widened_bytes
                + self._bounds.limits.unread_bytes,
            ),
            self._now_s,
        )
        self._remove(reading)
        connection.rfile.fill(data)
        self._serve(connection)

    def _refuse(self, reading: _Reading, status: int, detail: str) -> None:
        """Answer that a request has not run, and close soon."""
        if reading.is_waiting:
            self._read_again(reading)
        reading.data = bytearray()
        reading.framing = request_framing.Framing()
        reading.phase = budget.Phase.LINGERING
        reading.heard_s = self._now_s
        self._update(reading)
        with contextlib.suppress(OSError):
            reading.connection.socket.send(
                self._refusal(status, detail), socket.MSG_DONTWAIT
            )
            reading.connection.socket.shutdown(socket.SHUT_WR)

    def _stop_reading(self, reading: _Reading) -> None:
        if not reading.is_waiting:
            self._count('intake.waits')
            reading.is_waiting = True
            self._poller.modify(
                reading.connection.socket, poller.CLOSED, reading
            )

    def _read_again(self, reading: _Reading) -> None:
        if reading.is_waiting:
            reading.is_waiting = False
            reading.heard_s = self._now_s
            self._poller.modify(
                reading.connection.socket, poller.READ, reading
            )

    def _remove(self, reading: _Reading) -> None:
        del self._reading[reading.connection]
        self._poller.unregister(reading.connection.socket)

    def _close(self, connection: Connection) -> None:
        reading = self._reading.get(connection)
        if reading is not None:
            self._remove(reading)
            self._budget.remove(connection)
            with contextlib.suppress(OSError):
                connection.close()

    def _act(self) -> None:
        # If the thread got no time, what has arrived was not read either.
        stood_still = self._now_s - self._checked_s > WAIT_S + CHECK_PERIOD_S
        self._checked_s = self._now_s
        actions = self._budget.decide(self._now_s, not stood_still)
        for each in actions.wait:
            if each in self._reading:
                self._stop_reading(self._reading[each])
        for each in actions.refuse:
            reading = self._reading.get(each)
            if reading is not None and reading.phase is budget.Phase.IDLE:
                self._count('intake.closed')
                self._close(each)
            elif reading is not None:
                self._count('intake.refused')
                self._refuse(
                    self._reading[each],
                    503,
                    'too little memory is free; send it again',
                )
        for each in actions.read:
            if each in self._reading:
                self._read_again(self._reading[each])

    def _close_expired(self) -> None:
        if self._now_s - self._turn_s < WAIT_S:
            return
        self._turn_s = self._now_s
        timeout_s = self._bounds.read_timeout_s
        for reading in list(self._reading.values()):
            silent_s = self._now_s - reading.heard_s
            if reading.phase is budget.Phase.LINGERING:
                if silent_s >= LINGER_S:
                    self._close(reading.connection)
                continue
            if reading.begun_s is None:
                if silent_s >= timeout_s:
                    self._close(reading.connection)
                continue
            limit_s = timeout_s if reading.framing.is_in_head else MAX_READ_S
            if self._now_s - reading.begun_s >= limit_s or (
                not reading.is_waiting and silent_s >= timeout_s
            ):
                self._refuse(reading, 408, 'Request Timeout')

    def _count(self, name: str) -> None:
        """Count an action, and log what was done if that is due."""
        self._count_one(name)
        self._done[name] = self._done.get(name, 0) + 1
        if self._now_s - self._logged_s >= LOG_PERIOD_S:
            self._logged_s = self._now_s
            done, self._done = self._done, {}
            _log.warning(
                'callers hold {} of {} bytes and {} of {} connections: {}',
                self._budget.total_bytes,
                self._bounds.limits.held_bytes,
                self._budget.connections,
                self._bounds.limits.connections,
                done,
            )
