"""Requests that cross the close of their connection on slow links.

Each process is behind links that pass on at once what callers send, and late
what the process sends, ends of connections included, as links with a full
queue do. So callers use connections that the process has closed already.
"""

import collections
import dataclasses
import enum
import socket
import typing

import httptools
import msgspec

from guavachute.entry import loop as entry_loop
from guavachute.standin.platform import store as standin_store
from soak import clients
from soak import guarantees
from soak import programs
from soak import seed_run
from tests.support import looping
from tests.support import platform_site

SERIES_S = 15.0
DELAY_RANGE_S = (0.05, 0.5)
IDLE_RANGES_S = ((0.4, 1.0), (0.6, 3.0))
"""One limit of two is short: a fifth of it is less than the links' delay."""

TIMEOUT_RANGE_MS = (2_000, 4_000)
PAUSE_RANGE_S = (0.2, 1.0)
STEP_RANGE_S = (0.1, 0.8)
"""Time between two disturbances of a site with four processes; they come
more often the more processes there are."""

CHANGE_RANGE_S = (0.3, 6.0)
"""Time between two configurations. After the longer ones, callers know one
idle limit only."""

USED_FRACTION = 0.8
"""Callers use connections that rested up to this fraction of an idle limit."""

NEW_S = 0.4
"""A request that is sent this soon after its connection was opened has to get
an answer, whatever the process does."""

LOSS_SLACK_S = 0.2
"""A request may be lost if its connection ends this soon (lossSlackMs)."""

LONGEST_OPEN_S = min(3.0, TIMEOUT_RANGE_MS[0] / 1_000)
"""Answers may break off after the deadline of all requests (see
``platform_site.request_bytes``) or the time-out of their route."""

RETRY_S = 0.2
MAX_PIECE_PAUSE_S = 0.15
"""The longest time between two pieces of a body, below the time-out of
heads."""

CALLERS_PER_PROCESS = 30
MAX_CALLERS = 300
START_GAP_S = 0.25
"""Time between the starts of two processes, which need half a second of
processor time each; many at once would disturb all else on the machine."""

SECOND_STOP_FRACTION = 0.4
END_TIMEOUT_S = 30.0
"""Bounds a run that hangs; no guarantee bounds the speed."""


class End(enum.Enum):
    """How the process ended a connection."""

    NONE = 'none'
    IN_ORDER = 'in order'
    """All that had arrived had been read, as far as is known yet."""
    RESET = 'reset'
    """Something was left unread."""


@dataclasses.dataclass(slots=True)
class Request(guarantees.Attempt):
    """A request of a caller.

    :ivar handed_s: when the link passed its last byte to the process; infinite
        before
    :ivar crossed: whether the process had ended the connection by then
    :ivar end_is_late: whether this program itself stood still when it noticed
        the end of the connection
    :ivar idle_s: how long its connection had been idle when it was sent, by
        the caller's clock
    :ivar limit_s: the shortest idle limit that its caller might know
    :ivar is_first: whether it was the first on its connection
    """

    handed_s: float = float('inf')
    crossed: bool = False
    end_is_late: bool = False
    idle_s: float = 0.0
    limit_s: float = 0.0
    is_first: bool = False
    connection: 'Connection | None' = None

    def __str__(self) -> str:
        """The line of the request in the log of the play."""
        assert self.connection is not None
        return (
            f'{guarantees.Attempt.__str__(self)} handed={self.handed_s:.3f} '
            f'ended={self.ended_s:.3f} crossed={self.crossed} '
            f'idle={self.idle_s:.3f} limit={self.limit_s} '
            f'first={self.is_first} '
            f'end={self.connection.end.value}'
        )

    def is_lost(self, has_run: bool) -> bool:
        """Whether it was whole and may have been read, and has no answer.

        :param has_run: whether an endpoint ran it, so that it had been read
        """
        if self.is_complete or self.handed_s == float('inf'):
            return False
        return has_run or not self.is_unread

    def is_cut_in_time(self, stopped_s: float) -> bool:
        """Whether it got no answer although its connection had to be kept.

        :param stopped_s: when its process was told to stop; infinite if it
            was not
        """
        if self.status or self.handed_s == float('inf'):
            return False
        if self.is_first and self.idle_s <= NEW_S:
            return True
        return (
            self.handed_s < stopped_s
            and self.idle_s <= USED_FRACTION * self.limit_s
        )

    def excuse(self, paused_in_stop_s: float) -> str:
        """Why it may be lost; empty if it may not.

        :param paused_in_stop_s: when its process was paused while it stopped;
            infinite if it was not
        """
        open_s = self.ended_s - self.handed_s
        reasons = {
            'paused in a stop': self.ended_s >= paused_in_stop_s,
            'slack': open_s <= LOSS_SLACK_S,
            'noticed late': self.end_is_late,
            'deadline': open_s >= LONGEST_OPEN_S,
        }
        return next((name for name, holds in reasons.items() if holds), '')

    @property
    def is_unread(self) -> bool:
        """Whether the process closed before it read the request.

        The process may nevertheless have read it if an endpoint ran it.
        """
        assert self.connection is not None
        return (
            self.handed_s < float('inf')
            and not self.status
            and self.connection.end is End.RESET
        )


class Connection:
    """The connection of a caller to a process over a slow link.

    :ivar has_ended: whether the caller knows that the connection ended
    :ivar pending: requests without a complete answer, oldest first
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        program: programs.Program,
        delay_s: float,
        on_changed: typing.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._delay_s = delay_s
        self._on_changed = on_changed
        self._parser = httptools.HttpResponseParser(self)
        self.incarnation = program.incarnation
        self.end = End.NONE
        self.has_ended = False
        self.is_told_to_close = False
        self.keep_alive_s = float('inf')
        self.pending: collections.deque[Request] = collections.deque()
        self.is_unused = True
        self.idle_since_s = loop.now_s
        address = program.site.listen.callers
        assert address is not None
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection((host, int(port)))
        self._socket.setblocking(False)
        loop.watch(self._socket, entry_loop.READ, self._receive)

    def send(self, data: bytes, completed: typing.Iterable[Request]) -> None:
        """Pass *data* on, which is the last of the *completed* requests."""
        if self.end is End.NONE:
            self._receive()
        crossed = self.end is not End.NONE
        try:
            sent = self._socket.send(data, socket.MSG_NOSIGNAL)
            assert sent == len(data), 'the socket takes small requests'
        except OSError:
            # The process has closed, and will not read this.
            self._note_end(End.RESET)
        for request in completed:
            request.handed_s = self._loop.now_s
            request.crossed = crossed

    def close(self) -> None:
        """Close, as the caller does."""
        if self.end is End.NONE:
            self._loop.unwatch(self._socket)
        self._socket.close()

    def settle(self) -> None:
        """Look whether a reset has followed an end in order."""
        if self.end is End.IN_ORDER and self._socket.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        ):
            self.end = End.RESET

    def _receive(self, events: int = entry_loop.READ) -> None:
        while self.end is End.NONE:
            try:
                data = self._socket.recv(65_536)
            except BlockingIOError:
                return
            except OSError:
                self._note_end(End.RESET)
                return
            if not data:
                self._note_end(End.IN_ORDER)
                return
            self._later(lambda data=data: self._deliver(data))

    def _note_end(self, end: End) -> None:
        if self.end is End.NONE:
            # The socket stays open: a reset may follow the end, and would
            # not come if the caller's direction were closed first.
            self._loop.unwatch(self._socket)
            is_late = self._loop.is_catching_up
            self._later(lambda: self._deliver_end(is_late))
        self.end = end

    def _later(self, action: typing.Callable[[], None]) -> None:
        self._loop.call_at(self._loop.now_s + self._delay_s, action)

    def _deliver(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self.pending:
                self.pending[0].is_malformed = True
        self._on_changed()

    def _deliver_end(self, is_late: bool) -> None:
        self.has_ended = True
        for request in self.pending:
            request.ended_s = self._loop.now_s
            request.end_is_late = is_late
        self._on_changed()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header of the answer."""
        if self.pending:
            self.pending[0].headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        if self.pending:
            request = self.pending[0]
            request.status = self._parser.get_status_code()
            keep_alive = request.headers.get('keep-alive', 'timeout=inf')
            self.keep_alive_s = float(keep_alive.partition('timeout=')[2])
            if request.headers.get('connection') == 'close':
                self.is_told_to_close = True

    def on_body(self, data: bytes) -> None:
        """Parser callback: a part of the body."""
        if self.pending:
            self.pending[0].answer += data

    def on_message_complete(self) -> None:
        """Parser callback: the answer is complete."""
        if self.pending:
            request = self.pending.popleft()
            request.is_complete = True
            request.ended_s = self.idle_since_s = self._loop.now_s


class Caller:
    """Sends to one process, over a connection that it keeps if it may."""

    def __init__(self, run: 'SlowRun', program: programs.Program) -> None:
        self._run = run
        self._program = program
        self._connection: Connection | None = None
        self._is_resting = True
        self._rest(run.rng.uniform(0.0, 1.0))

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for an answer."""
        return self._connection is not None and bool(self._connection.pending)

    def _rest(self, duration_s: float) -> None:
        self._is_resting = True
        self._run.loop.call_after(duration_s, self._next)

    def _next(self) -> None:
        rng = self._run.rng
        if self._run.is_ending:
            return
        if self._connection is not None and rng.random() < 0.1:
            self._leave()
        if self._connection is None:
            try:
                self._connection = Connection(
                    self._run.loop,
                    self._program,
                    rng.uniform(*DELAY_RANGE_S),
                    self._changed,
                )
            except OSError:
                self._rest(rng.uniform(0.0, 2 * RETRY_S))
                return
            if rng.random() < 0.3:
                self._rest(self._run.rest_s())
                return
        self._is_resting = False
        requests = [
            self._run.new_request(self._connection)
            for _ in range(2 if rng.random() < 0.15 else 1)
        ]
        data = b''.join(_encode(request) for request in requests)
        self._connection.pending.extend(requests)
        if len(requests) > 1 or rng.random() < 0.7:
            self._connection.send(data, requests)
            return
        connection, last = self._connection, rng.randint(1, 5)
        connection.send(data[:-last], ())
        self._run.loop.call_after(
            rng.uniform(0.0, MAX_PIECE_PAUSE_S),
            lambda: self._send_rest(connection, data[-last:], requests),
        )

    def _send_rest(
        self,
        connection: Connection,
        data: bytes,
        requests: typing.Iterable[Request],
    ) -> None:
        if connection is self._connection and not connection.has_ended:
            connection.send(data, requests)

    def _changed(self) -> None:
        connection = self._connection
        if connection is None:
            return
        if connection.has_ended or (
            connection.is_told_to_close and not connection.pending
        ):
            self._leave()
            if not self._is_resting:
                self._rest(self._run.rng.uniform(0.0, RETRY_S))
        elif not connection.pending and not self._is_resting:
            self._rest(min(connection.keep_alive_s, self._run.rest_s()))

    def _leave(self) -> None:
        assert self._connection is not None
        if self._connection.pending:
            self._run.unsettled.append(self._connection)
        else:
            self._connection.close()
        self._connection = None


def _encode(request: Request) -> bytes:
    return platform_site.request_bytes(
        request.target,
        request.attempt_id,
        'POST',
        request.body,
        clients.KEYS[request.workspace],
        Prefix_Hash=f'system:50,{request.attempt_id}:5',
    )


class SlowRun(seed_run.SeedRun):
    """One seed: a site whose processes stop behind slow links."""

    series_s = SERIES_S
    max_callers = MAX_CALLERS
    callers_per_process = CALLERS_PER_PROCESS
    caller_type: typing.Callable[..., typing.Any] = Caller

    def __init__(self, *arguments: typing.Any) -> None:
        self._limits: list[tuple[float, float]] = []
        self._stopped_s: dict[str, float] = {}
        self._paused: set[str] = set()
        self._paused_in_stop_s: dict[str, float] = {}
        self.requests: list[Request] = []
        self.unsettled: list[Connection] = []
        self.is_ending = False
        super().__init__(*arguments)
        self.callers: list[typing.Any] = []

    def close(self) -> None:
        """Stop all processes and close all connections and servers."""
        for connection in self.unsettled:
            connection.close()
        super().close()

    def new_request(self, connection: Connection) -> Request:
        """Return a request on any route."""
        route = self.rng.choice([*clients.ROUTES, clients.PROBE])
        target = f'{route.path}{self.rng.randrange(9)}'
        if route is clients.PROBE:
            target = f'/v{self.rng.randint(1, self.version)}/x'
        request = Request(
            attempt_id=f'attempt-{len(self.requests)}',
            route=route,
            target=target,
            body=b'question %d' % self.rng.randrange(1_000),
            workspace=self.rng.choice(sorted(clients.KEYS)),
            incarnation=connection.incarnation,
            sent_s=self.loop.now_s,
            version=self.version,
            idle_s=self.loop.now_s - connection.idle_since_s,
            limit_s=min(self._known_limits_s()),
            is_first=connection.is_unused,
            connection=connection,
        )
        connection.is_unused = False
        self.requests.append(request)
        self.attempts.append(request)
        return request

    def _known_limits_s(self) -> list[float]:
        """The idle limits that callers may know."""
        known_for_s = self.programs[0].site.bounds.configuration_s
        ends_s = [at_s for _, at_s in self._limits[1:]] + [float('inf')]
        return [
            limit_s
            for (limit_s, _), end_s in zip(self._limits, ends_s, strict=True)
            if end_s > self.loop.now_s - known_for_s
        ]

    def rest_s(self) -> float:
        """How long a caller may rest, by a limit that it may know."""
        known = self._known_limits_s()
        share = 1.0 - self.rng.random() ** 2
        return USED_FRACTION * share * self.rng.choice(known)

    def run(self) -> list[str]:
        """Play the whole series; return the violated guarantees."""
        self._heartbeat()
        for program in self.programs:
            program.start()
            looping.run_for(self.loop, START_GAP_S)
        failures = self._wait_until_ready('after the start')
        self.callers = [
            type(self).caller_type(self, program)
            for program in self.programs
            for _ in range(
                min(
                    self.callers_per_process,
                    self.max_callers // len(self.programs),
                )
            )
        ]
        self._restart_ended()
        self._disturb()
        self._change_configuration()
        end_s = self.loop.now_s + self.series_s
        looping.run_until(
            self.loop,
            lambda: self.loop.now_s >= end_s,
            self.series_s + END_TIMEOUT_S,
        )
        self.is_ending = True
        for program in self.programs:
            program.resume()
        if not self._wait_for(
            lambda: not any(caller.is_waiting for caller in self.callers),
            END_TIMEOUT_S,
        ):
            failures.append('some callers never got an answer')
        for program in self.programs:
            program.stop()
        if not self._wait_for(
            lambda: not any(item.is_running for item in self.programs),
            END_TIMEOUT_S,
        ):
            failures.append('some processes did not end')
        # Now all ends are final, and their resets have arrived.
        for connection in self.unsettled:
            connection.settle()
        failures += [
            f'unexpected exit of a process: {end}'
            for program in self.programs
            for end in program.unexpected_exits
        ]
        failures += guarantees.violations(self.attempts, self.runs)
        return (
            failures
            + [
                f'lost: {item}'
                for item in self.requests
                if item.is_lost(item.attempt_id in self.runs)
                and not self._excuse(item)
            ]
            + [f'cut in time: {item}' for item in self.cut_in_time]
        )

    # -- the disturbances ----------------------------------------------

    def write_configuration(self) -> None:
        """Write the newest version, with its own idle limit and time-outs."""
        range_s = self.rng.choice(IDLE_RANGES_S)
        limit_s = round(self.rng.uniform(*range_s), 1)
        self._limits.append((limit_s, self.loop.now_s))
        self._note(f'version {self.version}, idle limit {limit_s} s')
        own = [
            (f'v{number}', f'/v{number}/', *seed_run.PROBE_ROUTE)
            for number in range(1, self.version + 1)
        ]
        fields = msgspec.json.decode(
            platform_site.configuration(
                self.version, [*platform_site.ROUTES, *own]
            )
        )
        fields['limits']['idleTimeoutMs'] = round(1_000 * limit_s)
        for route in fields['routes']:
            route.update(self.route_fields())
        self.store.put(
            standin_store.OPERATOR_TOPIC, 'config', msgspec.json.encode(fields)
        )

    def route_fields(self) -> dict[str, typing.Any]:
        """Return what a version sets for its routes."""
        return {'timeoutMs': self.rng.randint(*TIMEOUT_RANGE_MS)}

    def _change_configuration(self) -> None:
        if not self.is_ending:
            self.change_configuration()
            wait_s = self.rng.uniform(*CHANGE_RANGE_S)
            self.loop.call_after(wait_s, self._change_configuration)

    def _note(self, text: str) -> None:
        self.faults.log.append(f'{self.loop.now_s:.3f} {text}')

    def _disturb(self) -> None:
        if self.is_ending:
            return
        program = self.rng.choice(self.programs)
        self.rng.choice([self._stop, self._reload, self._pause])(program)
        step_s = self.rng.uniform(*STEP_RANGE_S) * 4 / len(self.programs)
        self.loop.call_after(min(step_s, STEP_RANGE_S[1]), self._disturb)

    def _stop(self, program: programs.Program) -> None:
        self._note(f'SIGTERM {program.incarnation}')
        self._stopped_s.setdefault(program.incarnation, self.loop.now_s)
        self._note_pause_in_stop(program.incarnation)
        program.stop()
        if self.rng.random() < SECOND_STOP_FRACTION:
            self.loop.call_after(
                self.rng.uniform(0.0, 1.0), lambda: self._stop(program)
            )

    def _reload(self, program: programs.Program) -> None:
        # SIGHUP ends a process that has not yet reached its first line.
        if _is_listening(program):
            self._note(f'SIGHUP {program.incarnation}')
            program.reload()

    def _pause(self, program: programs.Program) -> None:
        incarnation = program.incarnation
        if incarnation in self._paused:
            return
        self._note(f'SIGSTOP {incarnation}')
        self._paused.add(incarnation)
        self._note_pause_in_stop(incarnation)
        program.pause()

        def resume() -> None:
            self._note(f'SIGCONT {incarnation}')
            self._paused.discard(incarnation)
            program.resume()

        self.loop.call_after(self.rng.uniform(*PAUSE_RANGE_S), resume)

    def _note_pause_in_stop(self, incarnation: str) -> None:
        if incarnation in self._paused and incarnation in self._stopped_s:
            self._paused_in_stop_s.setdefault(incarnation, self.loop.now_s)

    def _restart_ended(self) -> None:
        self.loop.call_after(0.05, self._restart_ended)
        for program in self.programs:
            if not program.is_running and not self.is_ending:
                program.start()
                self._note(f'start {program.incarnation}')
        for connection in self.unsettled:
            connection.settle()

    # -- the guarantees ------------------------------------------------

    def _excuse(self, request: Request) -> str:
        """Why a request may be lost; empty if it may not."""
        return request.excuse(
            self._paused_in_stop_s.get(request.incarnation, float('inf'))
        )

    @property
    def cut_in_time(self) -> list[Request]:
        """The requests without an answer whose connection had to be kept."""
        return [
            item
            for item in self.requests
            if item.is_cut_in_time(
                self._stopped_s.get(item.incarnation, float('inf'))
            )
            and not self._excuse(item)
        ]

    @property
    def crossed(self) -> int:
        """The number of requests that crossed the close of a connection."""
        return sum(item.crossed or item.is_unread for item in self.requests)

    @property
    def notes(self) -> str:
        """How many requests crossed a close, and how many are excused."""
        excuses = collections.Counter(
            self._excuse(item)
            for item in self.requests
            if item.is_lost(item.attempt_id in self.runs)
        )
        return f', {self.crossed} crossed a close, excused: ' + (
            ', '.join(
                f'{count} {name}' for name, count in excuses.items() if name
            )
            or 'none'
        )


def _is_listening(program: programs.Program) -> bool:
    address = program.site.listen.callers
    assert address is not None
    host, _, port = address.rpartition(':')
    with socket.socket() as probe:
        return not probe.connect_ex((host, int(port)))
