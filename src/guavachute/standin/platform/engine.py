"""A stand-in for an endpoint: a model engine or a plain service."""

import collections
import dataclasses
import enum
import typing
import weakref

import msgspec

from guavachute.entry import http1
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute.standin.platform import server
from guavachute.standin.platform import store as standin_store
from guavachute.standin.platform import version

STAMP = b'stamp-of-'
BREAK_AFTER_S = 0.01
"""How long after its last bytes a broken answer ends."""

CRASH_AFTER_S = 0.03
"""How long after the start of a run a crashing prompt part takes effect."""

RESTART_AFTER_S = 0.3
"""How long after a crash the next incarnation starts."""

KEPT_ARRIVALS = 1_000


class Behaviour(enum.Enum):
    """How the endpoint answers requests."""

    NORMAL = 'sound'
    SHED = 'shed'
    """Rejects the request as overloaded, without running it."""
    FAIL = 'fail'
    """Runs the request and answers with status 500."""
    LOSE = 'lose'
    """Runs the request and closes the connection without an answer."""
    BREAK = 'break'
    """Closes the connection in the middle of an event or body."""
    EXTRA = 'extra'
    """Sends a second answer to the same request after the first."""
    FOREIGN_FIRST = 'foreign-first'
    """Sends the answer to another request before the right one."""
    UNSIGNED = 'unsigned'
    """Sends a plain answer without the endpoint's stamp."""
    UNFRAMED = 'unframed'
    """Sends an answer without a length, which ends with the connection."""
    UNFRAMED_BREAK = 'unframed-break'
    """Sends such an answer, and closes in the middle of an event or body."""
    UNFRAMED_RESET = 'unframed-reset'
    """Sends such an answer, and resets the connection before its last event
    or in the middle of its body."""
    TORN = 'torn'
    """Ends the chunks of a stream in the middle of an event."""
    ENDLESS_HEAD = 'endless-head'
    """Sends a header whose value never ends."""
    ENDLESS_INTERIM = 'endless-interim'
    """Sends interim answers without end, and no final one."""
    ENDLESS_BODY = 'endless-body'
    """Sends a body without events and without end."""
    ENDLESS_TRAILER = 'endless-trailer'
    """Sends a trailer after the chunks whose value never ends."""
    ENDLESS_REFUSAL = 'endless-refusal'
    """Rejects the request, with a body without end."""
    ENDLESS_FOREIGN = 'endless-foreign'
    """Sends the answer to another request, with a body without end."""
    ENDLESS_ANSWERS = 'endless-answers'
    """Sends answers to other requests without end, all without a body."""
    REPEAT_REFUSAL = 'repeat-refusal'
    """Sends the connection's last rejection once more, then the answer."""
    SILENT = 'silent'
    """Runs the request and never answers."""
    LOSE_MOVES = 'lose-moves'
    """Closes the stream of a moved run in the middle of an event."""


_FLOOD_BYTES = 65_536
_FLOOD_PAUSE_S = 0.001
_ENDLESS_STARTS = {
    Behaviour.ENDLESS_HEAD: b'HTTP/1.1 200 OK\r\nServer: ',
    Behaviour.ENDLESS_INTERIM: b'',
    Behaviour.ENDLESS_BODY: b'HTTP/1.1 200 OK\r\n%s\r\n',
    Behaviour.ENDLESS_TRAILER: b'HTTP/1.1 200 OK\r\n%s'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\nServer: ',
    Behaviour.ENDLESS_REFUSAL: b'HTTP/1.1 503 Busy\r\n%s'
    b'Not-Executed: 1\r\n\r\n',
    Behaviour.ENDLESS_FOREIGN: b'HTTP/1.1 200 OK\r\n\r\n',
    Behaviour.ENDLESS_ANSWERS: b'',
}
"""How the answers without end begin; ``%s`` stands for the usual headers."""

_FLOOD_UNITS = {
    Behaviour.ENDLESS_INTERIM: b'HTTP/1.1 102 Processing\r\n\r\n',
    Behaviour.ENDLESS_ANSWERS: b'HTTP/1.1 204 No Content\r\n\r\n',
}
"""What is repeated without end, if not a letter."""

UNFRAMED_BEHAVIOURS = frozenset(
    {Behaviour.UNFRAMED, Behaviour.UNFRAMED_BREAK, Behaviour.UNFRAMED_RESET}
)


@dataclasses.dataclass(slots=True)
class Run:
    """A request that the endpoint started to run.

    :ivar headers: with names in lower case
    :ivar engine: the name and the incarnation of the endpoint
    :ivar build: the version of the endpoint's software then
    :ivar has_told_end: whether its answer says that the endpoint leaves
    :ivar is_framed: whether its answer has a length or chunks
    :ivar is_cancelled: whether its connection closed before the answer
        was complete
    """

    attempt_id: str
    target: str
    headers: dict[str, str]
    body: bytes
    engine: tuple[str, int] = ('', 0)
    has_told_end: bool = False
    is_framed: bool = True
    is_cancelled: bool = False
    build: str = ''

    @property
    def workspace(self) -> str | None:
        """The workspace that the request's headers name, if any."""
        return self.headers.get('tenant')

    @property
    def shared_parts(self) -> list[str]:
        """The ids of the prompt's parts, without its last, own one."""
        items = self.headers.get('prefix-hash', '').split(',')
        return [item.partition(':')[0].strip() for item in items[:-1]]

    @property
    def was_moved(self) -> bool:
        """Whether it continues a run of another endpoint from its copy."""
        return 'kv-from' in self.headers

    @property
    def has_caller_key(self) -> bool:
        """Whether the request still carried the caller's API key."""
        return 'authorization' in self.headers


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The origin of an answer according to its headers.

    :ivar endpoint: the endpoint that produced it; None without a stamp
    :ivar attempt_id: the attempt that it answers; None if it names none
    """

    endpoint: str | None
    attempt_id: str | None


def origin(headers: typing.Mapping[str, str]) -> Origin:
    """Return the origin that *headers* (names in lower case) state."""
    stamp = headers.get('server-stamp')
    return Origin(
        None if stamp is None else stamp.removeprefix(STAMP.decode()),
        headers.get('attempt-id'),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Stream:
    """A stream that is being sent, with the methods that fit its framing."""

    answer: server.Answer
    send: typing.Callable[[bytes], None]
    end: typing.Callable[[], None]


class Engine:
    """One endpoint, which registers itself in the store.

    :ivar events: the number of events of a stream; 0 for plain answers
    :ivar behaviour: how it answers requests
    :ivar event_pause_s: seconds between two events of a stream
    :ivar incarnation: the number of its current start
    :ivar build: the version of its software
    :ivar version: what goes wrong with that version; None if nothing does
    :ivar work_s: how long a plain answer takes
    :ivar running: the number of plain answers that it works on
    :ivar is_leaving: whether all answers say that the endpoint will end
    :ivar retry_after: the ``Retry-After`` header of rejections; None without
    :ivar limit: the ``Server-Limit`` header of all answers; None without
    :ivar arrivals: loop times at which requests of any kind arrived, its
        report included; the newest of them
    :ivar crashing_part: the prompt part whose runs crash it; None if no part
        does
    :ivar crashes: how often it has crashed
    :ivar is_down: whether it has crashed and not started again
    :ivar on_restarted: called at each start after a crash; by default it
        registers the new incarnation
    :ivar max_rejections_per_s: with more streams than slots, it rejects the
        rest, and crashes if it rejects more than this in a second, as all its
        answers say; None for an endpoint that takes any number
    :ivar runs: the requests that it ran, oldest first
    :ivar report: the answer to ``/guavachute/report``
    :ivar flooded_bytes: how many bytes of answers without end were sent
    :ivar refused: the number of requests that it rejected as overloaded
    :ivar on_moved: called when a run has been copied to another endpoint
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        store: standin_store.Store,
        name: str,
        service: str,
        domain: str,
        events: int = 0,
        slots: int = 8,
    ) -> None:
        self._loop = loop
        self._store = store
        self.name = name
        self.service = service
        self.domain = domain
        self.events = events
        self.slots = slots
        self.behaviour = Behaviour.NORMAL
        self.event_pause_s = 0.0
        self.padding_bytes = 0
        self.incarnation = 1
        self.build = 'v1'
        self.version: version.Version | None = None
        self.work_s = 0.0
        self.running = 0
        self._recent_runs: collections.deque[float] = collections.deque()
        self.is_leaving = False
        self.retry_after: str | None = None
        self.limit: str | None = None
        self.arrivals: collections.deque[float] = collections.deque(
            maxlen=KEPT_ARRIVALS
        )
        self.crashing_part: str | None = None
        self.max_rejections_per_s: int | None = None
        self._rejected_s: collections.deque[float] = collections.deque()
        self.crashes = 0
        self.is_down = False
        self.on_restarted: typing.Callable[[], None] = self.register
        self.runs: list[Run] = []
        self.report: dict[str, typing.Any] = {
            'active': 0,
            'queued': 0,
            'state': 'ready',
        }
        self.flooded_bytes = 0
        self.refused = 0
        self.on_moved: typing.Callable[[], None] = lambda: None
        self._sequence = 0
        self._rejections: weakref.WeakKeyDictionary[
            transport.Connection, bytes
        ] = weakref.WeakKeyDictionary()
        self._streams: dict[str, server.Answer] = {}
        self._sent_events: dict[str, int] = {}
        self._server = server.Server(loop, self._serve)
        self.address = self._server.address

    def register(self, state: str = 'ready', **fields: typing.Any) -> None:
        """Write the endpoint's entry to the store.

        *fields* replace or extend the entry's usual fields.
        """
        self._sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.domain,
            'version': self.build,
            'slots': self.slots,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': self._sequence,
            'born': self.incarnation,
            **fields,
        }
        self._store.put(
            standin_store.ENDPOINTS_TOPIC,
            self.name,
            msgspec.json.encode(entry),
        )

    def unregister(self) -> None:
        """Delete the endpoint's entry from the store."""
        self._store.put(standin_store.ENDPOINTS_TOPIC, self.name, None)

    @property
    def open_streams(self) -> int:
        """The number of streams that it is sending."""
        return len(self._streams)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()

    def abort_connections(self) -> None:
        """Abort all connections, but keep listening."""
        self._server.abort_connections()

    def crash(self) -> None:
        """Abort all connections and stop listening until the restart."""
        if self.is_down:
            return
        self.crashes += 1
        self.is_down = True
        self._server.close()
        self._loop.call_after(RESTART_AFTER_S, self._restart)

    def _restart(self) -> None:
        self.incarnation += 1
        self.is_down = False
        self._server = server.Server(self._loop, self._serve, self.address)
        self.on_restarted()

    def _serve(self, answer: server.Answer) -> None:
        self.arrivals.append(self._loop.now_s)
        if answer.request.target == b'/guavachute/kv-move':
            self._move(answer)
            return
        if answer.request.target == b'/guavachute/report':
            report = {**self.report, 'born': self.incarnation}
            answer.reply(200, msgspec.json.encode(report), self._own_headers())
            return
        expected = answer.header(b'Expect-Instance')
        if expected is not None and expected.decode() != self.name:
            answer.reply(421, b'', self._headers(answer, ran=False))
            return
        if self.behaviour is Behaviour.SHED or self._is_full():
            self.refused += 1
            headers = self._headers(answer, ran=False)
            if self.retry_after is not None:
                headers.append((b'Retry-After', self.retry_after.encode()))
            self._rejections[answer.connection] = http1.encode_head(
                503, headers, 0, False
            )
            answer.reply(503, b'', headers)
            return
        run = Run(
            (answer.header(b'Attempt-Id') or b'').decode(),
            answer.request.target.decode(),
            {
                name.decode().lower(): value.decode()
                for name, value in answer.request.headers
            },
            answer.request.body,
            (self.name, self.incarnation),
            self.is_leaving,
            self.behaviour not in UNFRAMED_BEHAVIOURS,
            build=self.build,
        )
        self.runs.append(run)
        answer.on_disconnected = lambda: setattr(run, 'is_cancelled', True)
        work_s, fails = self.work_s, False
        if self.version is not None:
            slow_s = self.version.slow_s
            if self.version.goes_wrong(
                run.target, self._count_recent_runs(), self._loop.now_s
            ):
                work_s, fails = work_s + (slow_s or 0.0), slow_s is None
        if work_s or fails:
            self.running += 1
            self._loop.call_after(
                work_s, lambda: self._end_work(answer, run, fails)
            )
            return
        if self.crashing_part in run.shared_parts:
            self._loop.call_after(CRASH_AFTER_S, self.crash)
            return
        self._answer(answer)

    def _count_recent_runs(self) -> int:
        """The requests of the last second, with a new one."""
        now_s = self._loop.now_s
        self._recent_runs.append(now_s)
        while self._recent_runs[0] < now_s - 1.0:
            self._recent_runs.popleft()
        return len(self._recent_runs)

    def _end_work(self, answer: server.Answer, run: Run, fails: bool) -> None:
        """Answer a request that took some time."""
        self.running -= 1
        if run.is_cancelled:
            return
        if fails:
            answer.reply(500, b'failed', self._headers(answer))
        else:
            self._answer(answer)

    def _is_full(self) -> bool:
        """Whether a brittle endpoint has no room; too often, it crashes."""
        if self.max_rejections_per_s is None:
            return False
        if len(self._streams) < self.slots:
            return False
        now_s = self._loop.now_s
        self._rejected_s.append(now_s)
        while self._rejected_s[0] < now_s - 1.0:
            self._rejected_s.popleft()
        if len(self._rejected_s) > self.max_rejections_per_s:
            self._rejected_s.clear()
            self._loop.call_after(0, self.crash)
        return True

    def _answer(self, answer: server.Answer) -> None:
        if self.behaviour is Behaviour.SILENT:
            return
        if self.behaviour is Behaviour.REPEAT_REFUSAL:
            answer.send_raw(self._rejections.pop(answer.connection, b''))
        if self.behaviour is Behaviour.LOSE:
            answer.abort()
        elif self.behaviour in _ENDLESS_STARTS:
            self._start_flood(answer)
        elif self.behaviour is Behaviour.FAIL:
            answer.reply(500, b'failed', self._headers(answer))
        elif self.events:
            self._stream(answer)
        else:
            self._answer_plain(answer)

    def _start_flood(self, answer: server.Answer) -> None:
        lines = b''.join(
            b'%s: %s\r\n' % header for header in self._headers(answer)
        )
        answer.send_raw(_ENDLESS_STARTS[self.behaviour].replace(b'%s', lines))
        unit = _FLOOD_UNITS.get(self.behaviour, b'x')
        self._flood(answer, unit * (_FLOOD_BYTES // len(unit)))

    def _flood(self, answer: server.Answer, data: bytes) -> None:
        if answer.is_disconnected:
            return
        if not answer.connection.unsent_bytes:
            answer.send_raw(data)
            self.flooded_bytes += len(data)
        self._loop.call_after(
            _FLOOD_PAUSE_S, lambda: self._flood(answer, data)
        )

    def _move(self, answer: server.Answer) -> None:
        """Answer a request to move a run, whose stream is then aborted."""
        command = msgspec.json.decode(answer.request.body)
        stream = self._streams.pop(command['id'], None)
        if stream is None:
            answer.reply(404)
            return
        sent_events = self._sent_events[command['id']]
        if self.behaviour is Behaviour.LOSE_MOVES:
            stream.caller.answer_chunk(
                b'id: %d\ndata: half' % (sent_events + 1)
            )
            self._loop.call_after(0.01, stream.abort)
            self._loop.call_after(0.05, lambda: answer.reply(503))
            return
        stream.abort()
        self._loop.call_after(
            0.01, lambda: self._finish_move(answer, sent_events)
        )

    def _finish_move(self, answer: server.Answer, sent_events: int) -> None:
        self.on_moved()
        answer.reply(
            200, msgspec.json.encode({'handle': 'h1', 'created': sent_events})
        )

    def _answer_plain(self, answer: server.Answer) -> None:
        body = b'answer of ' + self.name.encode() + bytes(self.padding_bytes)
        headers = self._headers(answer)
        if self.behaviour is Behaviour.UNSIGNED:
            headers = [item for item in headers if item[0] != b'Server-Stamp']
        head = http1.encode_head(200, headers, len(body), False)
        if self.behaviour is Behaviour.BREAK:
            answer.send_raw(head + body[:5])
            self._loop.call_after(BREAK_AFTER_S, answer.abort)
        elif self.behaviour is Behaviour.FOREIGN_FIRST:
            foreign = [(b'Attempt-Id', b'another'), *headers[1:]]
            answer.send_raw(
                http1.encode_head(200, foreign, 5, False) + b'other'
            )
            answer.reply(200, body, headers)
        elif self.behaviour is Behaviour.EXTRA:
            answer.send_raw(head + body)
            answer.reply(200, body, headers)
        elif self.behaviour is Behaviour.UNFRAMED:
            answer.send_raw(http1.encode_unframed_head(200, headers) + body)
            answer.connection.finish_writing()
        elif self.behaviour in UNFRAMED_BEHAVIOURS:
            answer.send_raw(
                http1.encode_unframed_head(200, headers) + body[:5]
            )
            self._break_unframed(answer)
        else:
            answer.reply(200, body, headers)

    def _break_unframed(self, answer: server.Answer) -> None:
        if self.behaviour is Behaviour.UNFRAMED_RESET:
            answer.connection.set_reset_on_close(True)
        self._loop.call_after(BREAK_AFTER_S, answer.abort)

    def _stream(self, answer: server.Answer) -> None:
        first = int(answer.header(b'Last-Event-Id') or b'0') + 1
        headers = self._headers(answer)
        if self.behaviour in UNFRAMED_BEHAVIOURS:
            answer.send_raw(http1.encode_unframed_head(200, headers))
            send, end = answer.send_raw, answer.connection.finish_writing
        else:
            answer.caller.begin_answer(200, headers)
            send, end = answer.caller.answer_chunk, answer.caller.end_answer
        self._send_event(_Stream(answer, send, end), first)

    def _send_event(self, stream: _Stream, number: int) -> None:
        answer = stream.answer
        name = (answer.header(b'Attempt-Id') or b'').decode()
        if answer.is_disconnected:
            self._streams.pop(name, None)
            return
        self._streams[name] = answer
        self._sent_events[name] = number - 1
        if number > self.events:
            del self._streams[name]
            stream.end()
            return
        event = b'id: %d\ndata: %s-%d\n\n' % (
            number,
            self.name.encode(),
            number,
        )
        if number == self.events and self._break_stream(stream, event):
            return
        stream.send(event)
        self._sent_events[name] = number
        self._loop.call_after(
            self.event_pause_s, lambda: self._send_event(stream, number + 1)
        )

    def _break_stream(self, stream: _Stream, last_event: bytes) -> bool:
        """End a stream at its last event if the behaviour demands it."""
        if self.behaviour in (Behaviour.BREAK, Behaviour.UNFRAMED_BREAK):
            stream.send(last_event[:9])
            self._loop.call_after(BREAK_AFTER_S, stream.answer.abort)
        elif self.behaviour is Behaviour.UNFRAMED_RESET:
            self._break_unframed(stream.answer)
        elif self.behaviour is Behaviour.TORN:
            stream.send(last_event[:9])
            stream.end()
        else:
            return False
        return True

    def _headers(
        self, answer: server.Answer, ran: bool = True
    ) -> list[tuple[bytes, bytes]]:
        headers = [(b'Attempt-Id', answer.header(b'Attempt-Id') or b'')]
        if ran:
            headers.append((b'Server-Stamp', STAMP + self.name.encode()))
        else:
            headers.append((b'Not-Executed', b'1'))
        headers.append((b'Instance-Id', self.name.encode()))
        headers.append(
            (b'Instance-Load', b'%d,0,%d' % (len(self.runs), self.slots))
        )
        return headers + self._own_headers()

    def _own_headers(self) -> list[tuple[bytes, bytes]]:
        headers = [(b'Server-Leaving', b'1')] if self.is_leaving else []
        if self.limit is not None:
            headers.append((b'Server-Limit', self.limit.encode()))
        if self.max_rejections_per_s is not None:
            headers.append(
                (b'Server-Brittle', b'%d' % self.max_rejections_per_s)
            )
        return headers
