"""The relay task: a selector over all callers and endpoints of a router.

cheroot's workers read and check requests and hand them over. From then
on this task owns both connections of each request. One task for all is
cheaper than a thread for each: a token costs one read and one write.
"""

import contextlib
import dataclasses
import functools
import selectors
import threading
import time
import typing

import msgspec

from guavachute.decide import answer
from guavachute.decide import attempts
from guavachute.decide import crash
from guavachute.decide import prefix_index
from guavachute.decide import retry
from guavachute.decide import silence
from guavachute import ids
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute import outcome
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import downstream
from guavachute.services.relay import endpoints
from guavachute.services.relay import exchange
from guavachute.services.relay import gate
from guavachute.services.relay import granter
from guavachute.services.relay import moves
from guavachute.services.relay import pool
from guavachute.services.relay import suspects
from guavachute.services.relay import upstream
from guavachute.services.relay import work as relay_work
from guavachute.services import replies
from guavachute.services import view as view_module
from guavachute.wire import requests
from guavachute.wire import tables

SWEEP_INTERVAL_S = 0.1
CHECK_INTERVAL_S = 0.3
"""Looking at all streams takes a millisecond or more, which a first token
then waits."""

PROBE_TIMEOUT_S = 0.5
EXPORT_TIMEOUT_S = 5.0
EXPECTED_GAP_S = 0.051
PACE_TOKENS = 16
"""The pace of a stream is looked at after so many tokens."""

NOT_RUN_STATUSES = frozenset({429, 503})
DONE_EVENT = b'data: [DONE]\n\n'
Handler = typing.Callable[[int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class TablesChanged:
    """New tables are in force."""

    view: view_module.View


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReport:
    """What an endpoint says of itself, late.

    :ivar age_s: of the load, at *heard_s* on the monotonic clock
    """

    endpoint: str
    outstanding: int
    slots: int
    age_s: float
    heard_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """Cache events of an endpoint, in order."""

    endpoint: str
    events: list[prefix_index.Event]


@dataclasses.dataclass(frozen=True, slots=True)
class TellWhenIdle:
    """Set *event* as soon as no stream is left."""

    event: threading.Event


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """The VM is about to go: callers are to go on elsewhere."""


class KvExport(msgspec.Struct):
    """Asks an engine to export the KV cache of an attempt."""

    attempt_id: str
    to: str


class KvExported(msgspec.Struct):
    """The engine's answer."""

    kv_handle: str


class Relay(task.Task):
    """Moves the bytes of all streams.

    Messages: :class:`call.ModelCall`, :class:`TablesChanged`,
    :class:`EndpointReport`, :class:`CacheChanged`,
    :class:`requests.DemandSum` and :class:`requests.CrashNotice` of other
    routers, :class:`TellWhenIdle`, :class:`HandOver`.

    :param node: the VM, by which the subset of endpoints is chosen
    :param router: the name of this process, as others know it
    :param tell: takes what the node process is to pass on
    """

    def __init__(
        self,
        node: str,
        failure_domain: str,
        region: str,
        count: counters.Counters,
        tracer: traces.Tracer,
        router: str,
        tell: typing.Callable[[requests.CrashNotice | requests.Grant], None],
    ) -> None:
        super().__init__('relay')
        self._endpoints = endpoints.Endpoints(
            node, failure_domain, region, count
        )
        self._gate = gate.Gate(self._endpoints, count)
        self._granter = granter.RemoteGranter(router, tell)
        self._suspects = suspects.Suspects(count, self._granter, tell)
        self._moves = moves.Moves(self._endpoints)
        self._budgets = retry.Budgets()
        self._probed: dict[str, list[relay_call.Stream]] = {}
        self._count = count
        self._tracer = tracer
        self._pool = pool.ConnectionPool()
        self._streams: set[relay_call.Stream] = set()
        self._waiting: list[tuple[float, relay_call.Stream]] = []
        self._next_sweep_s = 0.0
        self._next_check_s = 0.0
        self._tell_idle: list[threading.Event] = []
        self.active = 0
        self.used_tokens: dict[str, float] = {}
        self.demand: dict[str, float] = {}

    def outstanding(self, endpoint: str) -> int:
        """Requests at *endpoint*, as last known; from any thread."""
        return self._endpoints.outstanding(endpoint)

    def free_slots(self, pool: str) -> int:
        """Slots of *pool* that nothing uses; from any thread."""
        return self._endpoints.free_slots(pool)

    def run(self) -> None:
        """Serve until stopped; what still runs then is cut."""
        with selectors.DefaultSelector() as selector:
            self._selector = selector
            self._exchanges = exchange.Exchanges(selector)
            selector.register(
                self.mailbox.fileno(), selectors.EVENT_READ, self._read_mail
            )
            while not self.stopping.is_set():
                for key, events in selector.select(SWEEP_INTERVAL_S):
                    key.data(events)
                now_s = time.monotonic()
                if self._gate.waiting:
                    self._start_queued(now_s)
                self._sweep(now_s)
            self._close_all()

    # Messages.

    def _read_mail(self, events: int) -> None:
        for message in self.mailbox.drain():
            self._take_message(message)
        self._start_queued(time.monotonic())
        self.active = len(self._streams)

    @functools.singledispatchmethod
    def _take_message(self, message: typing.Any) -> None:
        assert isinstance(message, task.Stop), message

    @_take_message.register
    def _take_call(self, message: relay_call.ModelCall) -> None:
        now_s = time.monotonic()
        stream = relay_call.Stream(message, now_s)
        self._streams.add(stream)
        self._count.add('requests.accepted')
        self._selector.register(
            stream.caller.fileno(),
            selectors.EVENT_READ,
            functools.partial(self._caller_ready, stream),
        )
        refused = self._gate.arrive(stream, now_s)
        if refused is not None:
            self._fail(stream, outcome.Verdict.NOT_RUN, refused)
            return
        # Its own arrival must not make the next one wait in vain.
        self._start_queued(now_s)

    @_take_message.register
    def _take_tables(self, message: TablesChanged) -> None:
        now_s = time.monotonic()
        new = message.view
        routers = sum(not each.leaving for each in new.tables.routers)
        self._endpoints.update(new.tables, new.document, now_s)
        self._gate.update(new.document, routers, now_s)
        self._moves.live_routers = max(1, routers)

    @_take_message.register
    def _take_report(self, message: EndpointReport) -> None:
        self._endpoints.reported(
            message.endpoint,
            message.outstanding,
            message.slots,
            message.age_s,
            message.heard_s,
        )

    @_take_message.register
    def _take_cache(self, message: CacheChanged) -> None:
        self._endpoints.cache_changed(message.endpoint, message.events)

    @_take_message.register
    def _take_sum(self, message: requests.DemandSum) -> None:
        self._gate.take_sum(message, time.monotonic())

    @_take_message.register
    def _take_grant(self, message: requests.GrantAnswer) -> None:
        now_s = time.monotonic()
        self._granter.answered(message, now_s)
        self._start_waiting(now_s)

    @_take_message.register
    def _take_notice(self, message: requests.CrashNotice) -> None:
        now_s = time.monotonic()
        stopped = set(self._suspects.book.take(message, now_s))
        for stream in list(self._streams):
            work = stream.work
            if work is not None and work.attempt_id in stopped:
                self._abandon_attempt(stream, now_s)
                self._start_attempt(stream, now_s)

    @_take_message.register
    def _take_idle(self, message: TellWhenIdle) -> None:
        self._tell_idle.append(message.event)
        self._tell_if_idle()

    @_take_message.register
    def _take_hand_over(self, message: HandOver) -> None:
        for stream in list(self._streams):
            self._hand_over(stream)

    # Attempts.

    def _start_queued(self, now_s: float) -> None:
        for stream, failure in self._gate.expire(now_s):
            self._fail(stream, outcome.Verdict.NOT_RUN, failure)
        for stream in self._gate.start(now_s):
            self._budgets.first_attempt(stream.call.workspace)
            self._start_attempt(stream, now_s)

    def _start_attempt(self, stream: relay_call.Stream, now_s: float) -> None:
        work = stream.work
        assert work is not None
        choice = self._choose(stream, work, now_s)
        if isinstance(choice, outcome.Failure):
            self._no_endpoint(stream, choice, now_s)
            return
        attempt_id = ids.AttemptId(ids.new_random_id('att'))
        stream.endpoint = choice
        stream.history.begin(choice.endpoint)
        stream.answer.begin(attempt_id)
        stream.splitter = type(stream.splitter)()
        stream.moving = False
        stream.watch = silence.Watch(True, EXPECTED_GAP_S, now_s)
        stream.span = self._tracer.start(
            'attempt',
            stream.call.context,
            {
                'guavachute.endpoint': choice.endpoint,
                'guavachute.attempt': attempt_id,
                'guavachute.resume_from': stream.answer.next_index,
            },
        )
        work.begin(attempt_id, stream.answer.next_index, now_s)
        self._endpoints.started(choice.endpoint, work, now_s)
        self._suspects.started(work, choice.endpoint, now_s)
        self._count.add('attempts.started')
        if stream.answer.next_index:
            self._count.add('attempts.resumed')
        self._connect(stream, choice.address, attempt_id, now_s)

    def _choose(
        self,
        stream: relay_call.Stream,
        work: relay_work.Work,
        now_s: float,
    ) -> tables.EndpointEntry | outcome.Failure:
        refused = self._suspects.may_start(work, now_s)
        if refused is not None:
            return refused
        if stream.target is not None:
            target = self._endpoints.entry(stream.target)
            stream.target = None
            if target is not None and not target.leaving:
                return target
        together = self._suspects.running_on(work, now_s)
        if together is not None and self._endpoints.has_room(together):
            return self._endpoints.known(together)
        choice = self._endpoints.choose(
            stream.call.pool,
            work,
            stream.history.endpoints,
            self._suspects.apart_from(work, now_s),
            now_s,
        )
        if isinstance(choice, outcome.Failure):
            self._suspects.ended(work)
        return choice

    def _connect(
        self,
        stream: relay_call.Stream,
        address: str,
        attempt_id: ids.AttemptId,
        now_s: float,
    ) -> None:
        connection = self._pool.take(address, now_s)
        if connection is None:
            connection = upstream.Connection(address)
            connection.connect()
        if connection.state is not upstream.State.BROKEN:
            connection.begin(stream.request(attempt_id, address, now_s))
        stream.connection = connection
        self._selector.register(
            connection.socket,
            connection.wanted_events,
            functools.partial(self._endpoint_ready, stream),
        )
        if connection.state is upstream.State.BROKEN:
            self._endpoint_ready(stream, 0)

    def _no_endpoint(
        self,
        stream: relay_call.Stream,
        failure: outcome.Failure,
        now_s: float,
    ) -> None:
        lacking = failure.reason is outcome.Reason.NO_CAPACITY
        if stream.history.attempts and lacking:
            # It was accepted: it waits for an endpoint until its deadline.
            self._waiting.append((now_s, stream))
        else:
            self._fail(stream, stream.history.verdict(), failure)

    def _endpoint_ready(self, stream: relay_call.Stream, events: int) -> None:
        connection = stream.connection
        assert connection is not None
        if connection.state is upstream.State.READING:
            # The way of all tokens but the first.
            connection.receive()
            wanted = selectors.EVENT_READ
        else:
            wanted = connection.wanted_events
            connection.advance(events)
        now_s = time.monotonic()
        if connection.status == 200:
            self._forward(stream, connection.take_body(), now_s)
        if connection.state is upstream.State.READING:
            return
        if stream.connection is not connection or stream.paused:
            return
        if connection.state is upstream.State.BROKEN:
            unsent = not connection.sent_bytes
            self._attempt_failed(
                stream,
                attempts.Ending.UNREACHED if unsent
                else attempts.Ending.LOST,
                now_s,
            )  # fmt: skip
        elif connection.state is upstream.State.COMPLETE:
            self._attempt_completed(stream, connection, now_s)
        elif connection.wanted_events != wanted:
            self._selector.modify(
                connection.socket,
                connection.wanted_events,
                functools.partial(self._endpoint_ready, stream),
            )

    def _forward(
        self, stream: relay_call.Stream, data: bytes, now_s: float
    ) -> None:
        parts, step = stream.take(data)
        stream.watch.progress(now_s)
        self._count_tokens(stream, now_s)
        if parts:
            if stream.first_token_s is None:
                stream.first_token_s = now_s
                self._count.observe_s(
                    'first_token', now_s - stream.call.received_s
                )
            if stream.call.streamed:
                self._send_events(stream, b''.join(parts))
        if stream.ended:
            return
        if stream.answer.finished:
            self._finish(stream, now_s)
        elif step is answer.Step.RESUME:
            self._attempt_failed(stream, attempts.Ending.LOST, now_s)

    def _count_tokens(self, stream: relay_call.Stream, now_s: float) -> None:
        """Look at the pace and charge, now and then."""
        work = stream.work
        if work is None or stream.endpoint is None:
            return
        before = work.tokens
        work.tokens = stream.answer.next_index - work.first_index
        if before == 0 and work.tokens:
            self._gate.first_token(stream, now_s - work.mark_s)
            work.mark(now_s)
        if before < crash.PROVEN_TOKENS <= work.tokens:
            self._suspects.book.proven(work.attempt_id)
        since = work.tokens - work.mark_tokens
        if since >= PACE_TOKENS:
            gap_s = (now_s - work.mark_s) / since
            self._endpoints.paced(stream.endpoint.endpoint, gap_s, now_s)
            self._gate.generated(stream, now_s)
            work.mark(now_s)

    def _send_events(self, stream: relay_call.Stream, data: bytes) -> None:
        caller = stream.caller
        if not caller.started:
            lines = replies.headers(
                stream.call.request_id, outcome.Verdict.UNKNOWN
            )
            lines['Trailer'] = replies.OUTCOME_HEADER
            caller.start_stream(lines)
        if caller.is_behind:
            caller.add(data)
            self._flush(stream)
        elif not caller.send_now(data):
            self._flush(stream)

    def _attempt_completed(
        self,
        stream: relay_call.Stream,
        connection: upstream.Connection,
        now_s: float,
    ) -> None:
        status = connection.status
        if status in NOT_RUN_STATUSES:
            self._count.add('attempts.refused')
            self._attempt_failed(stream, attempts.Ending.REFUSED, now_s)
        elif 400 <= status < 500:
            detail = connection.take_body().decode('utf-8', 'replace')
            self._end_attempt(stream, now_s)
            self._fail(
                stream,
                stream.history.verdict(),
                outcome.Failure(outcome.Reason.BAD_REQUEST, detail),
            )
        else:
            # The answer ended without its last event.
            self._attempt_failed(stream, attempts.Ending.LOST, now_s)

    def _attempt_failed(
        self,
        stream: relay_call.Stream,
        ending: attempts.Ending,
        now_s: float,
    ) -> None:
        stream.history.end(ending)
        self._count.add(f'attempts.{ending.value}')
        if stream.span is not None:
            traces.fail(stream.span, ending.value)
        entry = stream.endpoint
        assert entry is not None and stream.work is not None
        leaving = self._endpoints.leave_at_s(entry.endpoint) is not None
        connection = stream.connection
        fresh = connection is not None and not connection.reused
        if ending is attempts.Ending.UNREACHED and fresh:
            self._endpoints.lost(entry.endpoint, now_s)
        elif ending is not attempts.Ending.REFUSED:
            self._endpoints.failed(entry.endpoint, now_s)
        self._end_attempt(stream, now_s)
        if ending is attempts.Ending.LOST and not leaving:
            self._suspects.cut(stream.work, entry.endpoint)
            self._probe_cut(stream, entry, now_s)
            return
        self._suspects.ended(stream.work)
        self._next_attempt(stream, ending, now_s)

    def _next_attempt(
        self,
        stream: relay_call.Stream,
        ending: attempts.Ending,
        now_s: float,
    ) -> None:
        step = attempts.next_step(
            stream.history, ending, stream.call.deadline_s, now_s
        )
        if isinstance(step, attempts.GiveUp):
            self._fail(stream, step.verdict, step.failure)
        elif not self._may_retry(stream, ending):
            self._fail(
                stream,
                stream.history.verdict(),
                outcome.Failure(
                    outcome.Reason.RETRIES_SPENT,
                    'the retry budget of the workspace is spent',
                    retry.BACKOFF_LONGEST_S,
                ),
            )
        else:
            self._start_attempt(stream, now_s)

    def _may_retry(
        self, stream: relay_call.Stream, ending: attempts.Ending
    ) -> bool:
        """Whether the budgets allow another attempt.

        An answer that has begun, or whose endpoint is gone, goes on in
        any case; :mod:`guavachute.decide.retry` says why.
        """
        if stream.answer.next_index or ending not in (
            attempts.Ending.REFUSED,
            attempts.Ending.LOST,
        ):
            return True
        if self._budgets.take(stream.call.workspace):
            self._count.add('retries.sent')
            return True
        self._count.add('retries.refused')
        return False

    def _probe_cut(
        self,
        stream: relay_call.Stream,
        entry: tables.EndpointEntry,
        now_s: float,
    ) -> None:
        """Ask whether the endpoint still lives; *stream* waits for it."""
        cut = self._probed.setdefault(entry.endpoint, [])
        cut.append(stream)
        if len(cut) == 1:
            self._probe(
                entry, functools.partial(self._cut_judged, entry), now_s
            )

    def _probe(
        self,
        entry: tables.EndpointEntry,
        done: exchange.Done,
        now_s: float,
    ) -> None:
        self._count.add('probes.sent')
        self._exchanges.ask(
            'GET',
            entry.address,
            '/healthz',
            b'',
            PROBE_TIMEOUT_S,
            done,
            now_s,
        )

    def _cut_judged(
        self, entry: tables.EndpointEntry, found: exchange.Answer
    ) -> None:
        now_s = time.monotonic()
        alive = found.status != 0
        if not alive:
            self._endpoints.lost(entry.endpoint, now_s)
        self._suspects.judged(entry, alive, now_s)
        for stream in self._probed.pop(entry.endpoint, []):
            if stream.ended:
                continue
            if alive:
                self._next_attempt(stream, attempts.Ending.LOST, now_s)
            else:
                at_s = self._moves.resume_at_s(stream, now_s)
                self._waiting.append((at_s, stream))
        self._start_waiting(now_s)

    def _probe_silent(self, stream: relay_call.Stream, now_s: float) -> None:
        """Ask on a new connection whether the endpoint answers."""
        entry = stream.endpoint
        assert entry is not None
        connection = stream.connection
        done = functools.partial(self._silence_judged, stream, connection)
        self._probe(entry, done, now_s)

    def _silence_judged(
        self,
        stream: relay_call.Stream,
        connection: upstream.Connection | None,
        found: exchange.Answer,
    ) -> None:
        if stream.connection is not connection or stream.ended:
            return
        now_s = time.monotonic()
        answered = found.status != 0
        probe = silence.Probe.ANSWERED if answered else silence.Probe.NO_ANSWER
        if stream.watch.probed(probe, now_s) is silence.Act.WAIT:
            return
        entry = stream.endpoint
        assert entry is not None
        self._attempt_failed(stream, attempts.Ending.SILENT, now_s)
        self._count.add(f'probes.{probe.value}')

    # Moves from endpoints that leave.

    def _move_leaving(self, now_s: float) -> None:
        for move in self._moves.due(self._streams, now_s):
            stream = move.stream
            if stream.moving:
                continue
            if move.target is None or stream.work is None:
                self._move(stream, now_s)
            else:
                self._export(stream, move.target, now_s)

    def _export(
        self,
        stream: relay_call.Stream,
        target: ids.EndpointId,
        now_s: float,
    ) -> None:
        entry = self._endpoints.entry(target)
        assert entry is not None and stream.endpoint is not None
        assert stream.work is not None
        stream.moving = True
        body = KvExport(stream.work.attempt_id, entry.address)
        self._exchanges.ask(
            'POST',
            stream.endpoint.address,
            '/v1/kv/export',
            msgspec.json.encode(body),
            EXPORT_TIMEOUT_S,
            functools.partial(
                self._exported, stream, stream.connection, target
            ),
            now_s,
        )

    def _exported(
        self,
        stream: relay_call.Stream,
        connection: upstream.Connection | None,
        target: ids.EndpointId,
        found: exchange.Answer,
    ) -> None:
        if stream.connection is not connection or stream.ended:
            return
        try:
            exported = msgspec.json.decode(found.body, type=KvExported)
        except (msgspec.ValidationError, msgspec.DecodeError):
            self._count.add('moves.export_failed')
        else:
            stream.kv_handle = exported.kv_handle
            stream.target = target
            self._count.add('moves.exported')
        self._move(stream, time.monotonic())

    def _move(self, stream: relay_call.Stream, now_s: float) -> None:
        self._count.add('moves.started')
        self._abandon_attempt(stream, now_s)
        self._start_attempt(stream, now_s)

    # Ends of attempts.

    def _end_attempt(self, stream: relay_call.Stream, now_s: float) -> None:
        connection = stream.connection
        if connection is None:
            return
        stream.connection = None
        if not stream.paused:
            self._selector.unregister(connection.socket)
        stream.paused = False
        if connection.can_be_reused:
            self._pool.put(connection, now_s)
        else:
            connection.close()
        assert stream.endpoint is not None
        self._endpoints.ended(stream.endpoint.endpoint, now_s)
        if stream.span is not None:
            stream.span.end()
            stream.span = None

    def _abandon_attempt(
        self, stream: relay_call.Stream, now_s: float
    ) -> None:
        """End an attempt that did not fail by itself."""
        connection = stream.connection
        if connection is not None and connection.sent_bytes:
            stream.history.end(attempts.Ending.LEAVING)
        if stream.work is not None:
            self._suspects.ended(stream.work)
        self._end_attempt(stream, now_s)

    # The caller's side.

    def _caller_ready(self, stream: relay_call.Stream, events: int) -> None:
        if events & selectors.EVENT_READ:
            if stream.caller.has_hung_up():
                self._caller_gone(stream)
                return
            # Its next request waits in the socket until this one is done.
            self._watch_caller(stream, 0)
        if events & selectors.EVENT_WRITE:
            self._flush(stream)

    def _flush(self, stream: relay_call.Stream) -> None:
        flushed = stream.caller.flush()
        if flushed is downstream.Flushed.GONE:
            self._caller_gone(stream)
        elif flushed is downstream.Flushed.BLOCKED:
            self._watch_caller(stream, selectors.EVENT_WRITE)
            if stream.caller.is_full and stream.connection is not None:
                self._pause(stream)
        elif stream.ended:
            self._release(stream)
        else:
            self._watch_caller(stream, selectors.EVENT_READ)
            self._unpause(stream)

    def _watch_caller(self, stream: relay_call.Stream, events: int) -> None:
        descriptor = stream.caller.fileno()
        watched = self._selector.get_map().get(descriptor)
        if watched is not None and watched.events == events:
            return
        if watched is not None and not events:
            self._selector.unregister(descriptor)
        elif events:
            change = (
                self._selector.register
                if watched is None
                else self._selector.modify
            )
            change(
                descriptor,
                events,
                functools.partial(self._caller_ready, stream),
            )

    def _pause(self, stream: relay_call.Stream) -> None:
        if not stream.paused and stream.connection is not None:
            stream.paused = True
            self._selector.unregister(stream.connection.socket)

    def _unpause(self, stream: relay_call.Stream) -> None:
        if stream.paused and stream.connection is not None:
            stream.paused = False
            now_s = time.monotonic()
            stream.watch.progress(now_s)
            if stream.work is not None:
                stream.work.mark(now_s)
            self._selector.register(
                stream.connection.socket,
                stream.connection.wanted_events,
                functools.partial(self._endpoint_ready, stream),
            )

    def _caller_gone(self, stream: relay_call.Stream) -> None:
        self._count.add('requests.cancelled')
        traces.fail(stream.call.span, outcome.Reason.CANCELLED.value)
        now_s = time.monotonic()
        self._unpause(stream)
        # Closing its connection cancels the request at the engine.
        self._abandon_attempt(stream, now_s)
        stream.ended = True
        self._release(stream)

    # Ends.

    def _finish(self, stream: relay_call.Stream, now_s: float) -> None:
        call = stream.call
        if stream.work is not None:
            self._suspects.completed(stream.work, now_s)
        self._end_attempt(stream, now_s)
        verdict = outcome.Verdict.DONE
        lines = replies.headers(call.request_id, verdict)
        if call.streamed:
            comment = f': outcome {verdict.value}\n'.encode()
            stream.caller.add(comment + DONE_EVENT)
            stream.caller.end_stream({replies.OUTCOME_HEADER: verdict.value})
        else:
            stream.caller.send_whole(200, lines, stream.whole_body())
        self._count.add('requests.done')
        self._count.add('tokens.prompt', stream.usage.prompt_tokens)
        self._count.add('tokens.cached', stream.usage.cached_tokens)
        generated = stream.answer.next_index
        self._count.add('tokens.generated', generated)
        fresh = stream.usage.prompt_tokens - stream.usage.cached_tokens
        self._charge(call.workspace, generated + max(fresh, 0))
        self._end(stream)

    def _charge(self, workspace: str, tokens: int) -> None:
        # Replaced, not changed: another thread reads it.
        used = self.used_tokens.get(workspace, 0.0) + tokens
        self.used_tokens = {**self.used_tokens, workspace: used}

    def _fail(
        self,
        stream: relay_call.Stream,
        verdict: outcome.Verdict,
        failure: outcome.Failure,
    ) -> None:
        call = stream.call
        body = replies.error_body(failure)
        traces.fail(call.span, failure.reason.value)
        self._count.add(f'requests.{verdict.value}')
        self._count.add(f'requests.failed.{failure.reason.value}')
        if not stream.caller.started:
            stream.caller.send_whole(
                replies.status_of(failure.reason),
                replies.headers(call.request_id, verdict, failure),
                body,
            )
        else:
            comment = f': outcome {verdict.value}\n'.encode()
            stream.caller.add(comment + b'data: %b\n\n' % body)
            stream.caller.end_stream({replies.OUTCOME_HEADER: verdict.value})
        self._end(stream)

    def _hand_over(self, stream: relay_call.Stream) -> None:
        """Cut a stream so that its caller goes on at another router.

        Without the last chunk the caller knows that more is to come; it
        sends the request again with ``Last-Event-ID``.
        """
        self._count.add('requests.handed_over')
        self._abandon_attempt(stream, time.monotonic())
        if stream.call.streamed and stream.caller.started:
            stream.caller.add(b'retry: 0\n\n')
            stream.caller.flush()
            stream.caller.gone = True
            stream.ended = True
            self._release(stream)
            return
        self._fail(
            stream,
            stream.history.verdict(),
            outcome.Failure(
                outcome.Reason.DRAINING,
                'this router stops; send the request to another',
                retry_after_s=0.0,
            ),
        )

    def _tell_if_idle(self) -> None:
        if not self._streams:
            for event in self._tell_idle:
                event.set()

    def _end(self, stream: relay_call.Stream) -> None:
        stream.ended = True
        self._leave(stream)
        self._flush(stream)

    def _leave(self, stream: relay_call.Stream) -> None:
        """Free its place; another may start in it."""
        if stream.work is not None:
            self._gate.leave(stream, time.monotonic())

    def _release(self, stream: relay_call.Stream) -> None:
        if stream not in self._streams:
            return
        self._streams.remove(stream)
        self._leave(stream)
        self._watch_caller(stream, 0)
        stream.call.span.end()
        stream.caller.release()
        self.active = len(self._streams)
        self._tell_if_idle()

    # Time.

    def _sweep(self, now_s: float) -> None:
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + SWEEP_INTERVAL_S
        self._pool.forget_old(now_s)
        self._exchanges.sweep(now_s)
        self._start_waiting(now_s)
        self._move_leaving(now_s)
        if self._gate.tick(now_s):
            # Replaced, not changed: another thread reads it.
            self.demand = self._gate.demand()
        self._granter.expire(now_s)
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        for stream in list(self._streams):
            if not stream.ended:
                self._check_time(stream, now_s)
        self._count.set('streams.active', len(self._streams))

    def _start_waiting(self, now_s: float) -> None:
        waiting, self._waiting = self._waiting, []
        for at_s, stream in waiting:
            if stream.ended:
                continue
            if at_s > now_s:
                self._waiting.append((at_s, stream))
            else:
                self._start_attempt(stream, now_s)

    def _check_time(self, stream: relay_call.Stream, now_s: float) -> None:
        if now_s >= stream.call.deadline_s:
            self._abandon_attempt(stream, now_s)
            self._fail(
                stream,
                stream.history.verdict(),
                outcome.Failure(
                    outcome.Reason.DEADLINE, 'the deadline has passed'
                ),
            )
        elif stream.connection is not None and not stream.paused:
            act = stream.watch.check(now_s)
            if act is silence.Act.PROBE:
                self._probe_silent(stream, now_s)
            elif act is silence.Act.RESUME:
                self._attempt_failed(stream, attempts.Ending.SILENT, now_s)

    def _close_all(self) -> None:
        for stream in list(self._streams):
            with contextlib.suppress(OSError):
                stream.caller.cut()
            if stream.connection is not None:
                stream.connection.close()
        self._pool.close()
        self._exchanges.close()
