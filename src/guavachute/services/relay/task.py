"""The relay task, an event loop over all callers and endpoints.

cheroot's worker threads read and check requests and hand them over. From
then on, this task owns both connections of each request. One task is
cheaper than a thread per request: a token costs one read and one write.
"""

import contextlib
import functools
import selectors
import threading
import time
import typing

from guavachute.decide import crash
from guavachute.decide.requests import answer
from guavachute.decide.requests import attempts
from guavachute.decide.requests import retry
from guavachute.decide.requests import silence
from guavachute import ids
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute import outcome
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import callers
from guavachute.services.relay import connections
from guavachute.services.relay import endpoints
from guavachute.services.relay import exchange
from guavachute.services.relay import gate
from guavachute.services.relay import granter
from guavachute.services.relay import messages
from guavachute.services.relay import mover
from guavachute.services.relay import moves
from guavachute.services.relay import probes
from guavachute.services.relay import suspects
from guavachute.services.relay import turn
from guavachute.services.relay import upstream
from guavachute.services.relay import work as relay_work
from guavachute.services.relay import writing
from guavachute.wire import requests
from guavachute.wire import tables

SWEEP_INTERVAL_S = 0.1
CHECK_INTERVAL_S = 0.3
"""A check of all streams takes a millisecond or more, which delays first
tokens."""

EXPECTED_GAP_S = 0.051
PACE_TOKENS = 16
"""The mean gap of a stream is measured over this many tokens."""

NOT_RUN_STATUSES = frozenset({429, 503})
"""HTTP statuses by which an engine states that it ran nothing."""


class Relay(task.Task):
    """Relays the bytes of all streams between callers and endpoints.

    Messages: :class:`call.ModelCall`, :class:`messages.TablesChanged`,
    :class:`messages.EndpointReport`, :class:`messages.CacheChanged`,
    :class:`requests.DemandSum` and :class:`requests.CrashNotice` of other
    routers, :class:`requests.GrantAnswer` of owners,
    :class:`messages.NotifyWhenIdle`, :class:`messages.HandOver`.

    The attributes below are replaced as a whole, never modified in place,
    and can be read from any thread.

    :param node: the id of the VM, which determines the subset of endpoints
    :param router: the name of this process, as other routers know it
    :param send_to_node: sends a message to the node process, which
        forwards it
    :ivar active: number of streams
    :ivar used_tokens: tokens used since the start, by workspace
    :ivar demand: requests that run or wait, by workspace
    """

    def __init__(
        self,
        node: str,
        failure_domain: str,
        region: str,
        count: counters.Counters,
        tracer: traces.Tracer,
        router: str,
        send_to_node: typing.Callable[
            [requests.CrashNotice | requests.Grant], None
        ],
    ) -> None:
        super().__init__('relay')
        self._endpoints = endpoints.Endpoints(
            node, failure_domain, region, count
        )
        self._gate = gate.Gate(self._endpoints, count)
        self._granter = granter.RemoteGranter(router, send_to_node)
        self._suspects = suspects.Suspects(count, self._granter, send_to_node)
        self._move_planner = moves.MovePlanner(self._endpoints)
        self._budgets = retry.Budgets()
        self._count = count
        self._tracer = tracer
        self._streams: set[relay_call.Stream] = set()
        self._delayed: list[tuple[float, relay_call.Stream]] = []
        self._next_sweep_s = 0.0
        self._next_check_s = 0.0
        self._idle_events: list[threading.Event] = []
        self.active = 0
        self.used_tokens: dict[str, float] = {}
        self.demand: dict[str, float] = {}

    def outstanding(self, endpoint: str) -> int:
        """Requests that run or wait at *endpoint*; also for other threads."""
        return self._endpoints.outstanding(endpoint)

    def free_slots(self, pool: str) -> int:
        """Free slots of *pool*; also for other threads."""
        return self._endpoints.free_slots(pool)

    def run(self) -> None:
        """Serve until stopped; streams that still run then are aborted."""
        with selectors.DefaultSelector() as selector:
            self._exchanges = exchange.Exchanges(selector)
            self._probes = probes.Probes(
                self._exchanges, self._count, self._handle_probe_result
            )
            self._mover = mover.Mover(
                self._move_planner,
                self._endpoints,
                self._exchanges,
                self._count,
                self._move_stream,
            )
            self._connections = connections.Connections(
                selector, self._handle_endpoint_ready
            )
            self._callers = callers.Callers(
                selector,
                on_gone=self._handle_caller_gone,
                on_full=self._connections.pause,
                on_flushed=self._handle_caller_flushed,
            )
            selector.register(
                self.mailbox.fileno(),
                selectors.EVENT_READ,
                self._handle_mailbox,
            )
            while not self.stopping.is_set():
                turn.run_ready(selector, SWEEP_INTERVAL_S)
                now_s = time.monotonic()
                if self._gate.has_waiting:
                    self._start_queued(now_s)
                self._sweep(now_s)
            self._close_all()

    # Messages of other tasks.

    def _handle_mailbox(self, events: int) -> None:
        for message in self.mailbox.drain():
            self._handle_message(message)
        self._start_queued(time.monotonic())
        self.active = len(self._streams)

    @functools.singledispatchmethod
    def _handle_message(self, message: typing.Any) -> None:
        assert isinstance(message, task.Stop), message

    @_handle_message.register
    def _handle_call(self, message: relay_call.ModelCall) -> None:
        now_s = time.monotonic()
        stream = relay_call.Stream(message, now_s)
        self._streams.add(stream)
        self._count.add('requests.accepted')
        self._callers.add(stream)
        refused = self._gate.enqueue(stream, now_s)
        if refused is not None:
            self._fail(stream, outcome.Verdict.NOT_RUN, refused)
            return
        # If a slot is free, start it now, so that admission of the next
        # call doesn't count it as queued work.
        self._start_queued(now_s)

    @_handle_message.register
    def _handle_tables(self, message: messages.TablesChanged) -> None:
        now_s = time.monotonic()
        new = message.lookup
        routers = sum(not each.leaving for each in new.tables.routers)
        self._endpoints.update(new.tables, new.document, now_s)
        self._gate.update(new.document, routers, now_s)
        self._move_planner.live_routers = max(1, routers)

    @_handle_message.register
    def _handle_report(self, message: messages.EndpointReport) -> None:
        self._endpoints.record_report(
            message.endpoint,
            message.outstanding,
            message.slots,
            message.age_s,
            message.received_s,
        )

    @_handle_message.register
    def _handle_cache_events(self, message: messages.CacheChanged) -> None:
        self._endpoints.apply_cache_events(message.endpoint, message.events)

    @_handle_message.register
    def _handle_demand_sum(self, message: requests.DemandSum) -> None:
        self._gate.record_demand_sum(message, time.monotonic())

    @_handle_message.register
    def _handle_grant_answer(self, message: requests.GrantAnswer) -> None:
        now_s = time.monotonic()
        self._granter.handle_answer(message, now_s)
        self._start_delayed(now_s)

    @_handle_message.register
    def _handle_crash_notice(self, message: requests.CrashNotice) -> None:
        now_s = time.monotonic()
        stopped = set(self._suspects.registry.merge_notice(message, now_s))
        for stream in list(self._streams):
            work = stream.work
            if work is not None and work.attempt_id in stopped:
                self._cancel_attempt(stream, now_s)
                self._start_attempt(stream, now_s)

    @_handle_message.register
    def _handle_notify_when_idle(
        self, message: messages.NotifyWhenIdle
    ) -> None:
        self._idle_events.append(message.event)
        self._notify_if_idle()

    @_handle_message.register
    def _handle_hand_over(self, message: messages.HandOver) -> None:
        for stream in list(self._streams):
            if stream.ended:
                # The response is queued, but the caller hasn't read all of it.
                stream.caller.gone = True
                self._release(stream)
            else:
                self._hand_over(stream)

    # Attempts at endpoints.

    def _start_queued(self, now_s: float) -> None:
        for stream, failure in self._gate.expire(now_s):
            self._fail(stream, outcome.Verdict.NOT_RUN, failure)
        for stream in self._gate.start_next(now_s):
            self._budgets.record_first_attempt(stream.call.workspace)
            self._start_attempt(stream, now_s)

    def _start_attempt(self, stream: relay_call.Stream, now_s: float) -> None:
        work = stream.work
        assert work is not None
        choice = self._choose(stream, work, now_s)
        if isinstance(choice, outcome.Failure):
            self._handle_no_endpoint(stream, choice, now_s)
            return
        attempt_id = ids.AttemptId(ids.new_random_id('att'))
        stream.endpoint = choice
        stream.history.begin(choice.endpoint)
        stream.answer.begin_attempt(attempt_id)
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
        work.begin_attempt(attempt_id, stream.answer.next_index, now_s)
        self._endpoints.record_start(choice.endpoint, work, now_s)
        self._suspects.record_start(work, choice.endpoint, now_s)
        self._count.add('attempts.started')
        if stream.answer.next_index:
            self._count.add('attempts.resumed')
        self._connections.open(stream, choice.address, attempt_id, now_s)

    def _choose(
        self,
        stream: relay_call.Stream,
        work: relay_work.Work,
        now_s: float,
    ) -> tables.EndpointEntry | outcome.Failure:
        refused = self._suspects.check_start(work, now_s)
        if refused is not None:
            return refused
        if stream.target is not None:
            target = self._endpoints.entry(stream.target)
            stream.target = None
            if target is not None and not target.leaving:
                return target
        shared = self._suspects.running_on(work, now_s)
        if shared is not None and self._endpoints.has_capacity(shared):
            return self._endpoints.known_entry(shared)
        choice = self._endpoints.choose(
            stream.call.pool,
            work,
            stream.history.endpoints,
            self._suspects.avoided_endpoints(work, now_s),
            now_s,
        )
        if isinstance(choice, outcome.Failure):
            self._suspects.record_end(work)
        return choice

    def _handle_no_endpoint(
        self,
        stream: relay_call.Stream,
        failure: outcome.Failure,
        now_s: float,
    ) -> None:
        no_capacity = failure.reason is outcome.Reason.NO_CAPACITY
        if stream.history.attempts and no_capacity:
            # An accepted request waits for an endpoint until its deadline.
            self._delayed.append((now_s, stream))
        else:
            self._fail(stream, stream.history.verdict(), failure)

    def _handle_endpoint_ready(
        self, stream: relay_call.Stream, events: int
    ) -> None:
        connection = stream.connection
        assert connection is not None
        if connection.state is upstream.State.READING:
            # The fast path, for all tokens but the first.
            connection.receive()
            wanted = selectors.EVENT_READ
        else:
            wanted = connection.wanted_events
            connection.advance(events)
        now_s = time.monotonic()
        if connection.status == 200:
            self._forward(stream, connection.pop_body(), now_s)
        if connection.state is upstream.State.READING:
            return
        if stream.connection is not connection or stream.paused:
            return
        if connection.state is upstream.State.BROKEN:
            unsent = not connection.sent_bytes
            self._handle_attempt_failure(
                stream,
                attempts.Ending.UNREACHED if unsent
                else attempts.Ending.LOST,
                now_s,
            )  # fmt: skip
        elif connection.state is upstream.State.COMPLETE:
            self._handle_response_end(stream, connection, now_s)
        elif connection.wanted_events != wanted:
            self._connections.update_events(stream)

    def _forward(
        self, stream: relay_call.Stream, data: bytes, now_s: float
    ) -> None:
        parts, step = stream.handle_data(data)
        stream.watch.record_progress(now_s)
        self._record_tokens(stream, now_s)
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
            self._handle_attempt_failure(stream, attempts.Ending.LOST, now_s)

    def _record_tokens(self, stream: relay_call.Stream, now_s: float) -> None:
        """Count new tokens; measure the pace and charge in batches."""
        work = stream.work
        if work is None or stream.endpoint is None:
            return
        before = work.tokens
        work.tokens = stream.answer.next_index - work.first_index
        if before == 0 and work.tokens:
            self._gate.record_first_token(stream, now_s - work.pace_start_s)
            work.start_pace_window(now_s)
        if before < crash.PROVEN_TOKENS <= work.tokens:
            self._suspects.registry.record_proven(work.attempt_id)
        since = work.tokens - work.pace_start_tokens
        if since >= PACE_TOKENS:
            gap_s = (now_s - work.pace_start_s) / since
            self._endpoints.record_pace(stream.endpoint.endpoint, gap_s, now_s)
            self._gate.charge_generated(stream, now_s)
            work.start_pace_window(now_s)

    def _send_events(self, stream: relay_call.Stream, data: bytes) -> None:
        caller = stream.caller
        if not caller.started:
            writing.start(stream)
        if caller.has_unsent_data:
            caller.add(data)
            self._callers.flush(stream)
        elif not caller.send_now(data):
            self._callers.flush(stream)

    def _handle_response_end(
        self,
        stream: relay_call.Stream,
        connection: upstream.Connection,
        now_s: float,
    ) -> None:
        status = connection.status
        if status in NOT_RUN_STATUSES:
            self._count.add('attempts.refused')
            self._handle_attempt_failure(
                stream, attempts.Ending.REFUSED, now_s
            )
        elif 400 <= status < 500:
            detail = connection.pop_body().decode('utf-8', 'replace')
            self._end_attempt(stream, now_s)
            self._fail(
                stream,
                stream.history.verdict(),
                outcome.Failure(outcome.Reason.BAD_REQUEST, detail),
            )
        else:
            # The response ended without the last event of the answer.
            self._handle_attempt_failure(stream, attempts.Ending.LOST, now_s)

    def _handle_attempt_failure(
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
        is_new = connection is not None and not connection.reused
        if ending is attempts.Ending.UNREACHED and is_new:
            self._endpoints.record_unreachable(entry.endpoint, now_s)
        elif ending is not attempts.Ending.REFUSED:
            self._endpoints.record_failure(entry.endpoint, now_s)
        self._end_attempt(stream, now_s)
        if ending is attempts.Ending.LOST and not leaving:
            self._suspects.record_disconnect(stream.work, entry.endpoint)
            self._probes.probe_after_disconnect(stream, entry, now_s)
            return
        self._suspects.record_end(stream.work)
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
        elif not self._can_retry(stream, ending):
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

    def _can_retry(
        self, stream: relay_call.Stream, ending: attempts.Ending
    ) -> bool:
        """Whether the retry budgets allow another attempt.

        An answer that has begun, or whose endpoint is gone, is resumed in
        any case; :mod:`guavachute.decide.requests.retry` explains why.
        """
        if stream.answer.next_index or ending not in (
            attempts.Ending.REFUSED,
            attempts.Ending.LOST,
        ):
            return True
        if self._budgets.consume(stream.call.workspace):
            self._count.add('retries.sent')
            return True
        self._count.add('retries.refused')
        return False

    def _handle_probe_result(
        self,
        entry: tables.EndpointEntry,
        streams: list[relay_call.Stream],
        alive: bool,
        now_s: float,
    ) -> None:
        if not alive:
            self._endpoints.record_unreachable(entry.endpoint, now_s)
        self._suspects.handle_probe_result(entry, alive, now_s)
        for stream in streams:
            if stream.ended:
                continue
            if alive:
                self._next_attempt(stream, attempts.Ending.LOST, now_s)
            else:
                at_s = self._move_planner.resume_at_s(stream, now_s)
                self._delayed.append((at_s, stream))
        self._start_delayed(now_s)

    def _probe_silent(self, stream: relay_call.Stream, now_s: float) -> None:
        """Probe the endpoint of a silent stream on a new connection."""
        entry = stream.endpoint
        assert entry is not None
        connection = stream.connection
        on_answer = functools.partial(
            self._handle_silence_probe, stream, connection
        )
        self._probes.send_probe(entry, on_answer, now_s)

    def _handle_silence_probe(
        self,
        stream: relay_call.Stream,
        connection: upstream.Connection | None,
        response: exchange.Answer,
    ) -> None:
        if stream.connection is not connection or stream.ended:
            return
        now_s = time.monotonic()
        answered = response.status != 0
        probe = silence.Probe.ANSWERED if answered else silence.Probe.NO_ANSWER
        if stream.watch.handle_probe(probe, now_s) is silence.Action.WAIT:
            return
        entry = stream.endpoint
        assert entry is not None
        self._handle_attempt_failure(stream, attempts.Ending.SILENT, now_s)
        self._count.add(f'probes.{probe.value}')

    def _move_stream(self, stream: relay_call.Stream, now_s: float) -> None:
        """Resume at another endpoint while the present one still runs."""
        self._cancel_attempt(stream, now_s)
        self._start_attempt(stream, now_s)

    # The end of attempts.

    def _end_attempt(self, stream: relay_call.Stream, now_s: float) -> None:
        if stream.connection is None:
            return
        self._connections.release(stream, now_s)
        assert stream.endpoint is not None
        self._endpoints.record_end(stream.endpoint.endpoint, now_s)
        if stream.span is not None:
            stream.span.end()
            stream.span = None

    def _cancel_attempt(self, stream: relay_call.Stream, now_s: float) -> None:
        """End an attempt that didn't fail."""
        connection = stream.connection
        if connection is not None and connection.sent_bytes:
            stream.history.end(attempts.Ending.LEAVING)
        if stream.work is not None:
            self._suspects.record_end(stream.work)
        self._end_attempt(stream, now_s)

    # Events of callers.

    def _handle_caller_flushed(self, stream: relay_call.Stream) -> None:
        if stream.ended:
            self._release(stream)
        else:
            self._connections.unpause(stream, time.monotonic())

    def _handle_caller_gone(self, stream: relay_call.Stream) -> None:
        self._count.add('requests.cancelled')
        traces.fail(stream.call.span, outcome.Reason.CANCELLED.value)
        now_s = time.monotonic()
        # Closing the endpoint's connection cancels the request at the engine.
        self._cancel_attempt(stream, now_s)
        stream.ended = True
        self._release(stream)

    # The end of streams.

    def _finish(self, stream: relay_call.Stream, now_s: float) -> None:
        call = stream.call
        if stream.work is not None:
            self._suspects.record_completion(stream.work, now_s)
        self._end_attempt(stream, now_s)
        writing.finish(stream)
        self._count.add('requests.done')
        self._count.add('tokens.prompt', stream.usage.prompt_tokens)
        self._count.add('tokens.cached', stream.usage.cached_tokens)
        generated = stream.answer.next_index
        self._count.add('tokens.generated', generated)
        uncached = stream.usage.prompt_tokens - stream.usage.cached_tokens
        self._charge(call.workspace, generated + max(uncached, 0))
        self._end_stream(stream)

    def _charge(self, workspace: str, tokens: int) -> None:
        # Replaced rather than modified, since other threads read it.
        used = self.used_tokens.get(workspace, 0.0) + tokens
        self.used_tokens = {**self.used_tokens, workspace: used}

    def _fail(
        self,
        stream: relay_call.Stream,
        verdict: outcome.Verdict,
        failure: outcome.Failure,
    ) -> None:
        traces.fail(stream.call.span, failure.reason.value)
        self._count.add(f'requests.{verdict.value}')
        self._count.add(f'requests.failed.{failure.reason.value}')
        writing.fail(stream, verdict, failure)
        self._end_stream(stream)

    def _hand_over(self, stream: relay_call.Stream) -> None:
        """End a stream so that its caller resumes at another router.

        Without the last chunk the caller detects that the answer is
        incomplete, and sends the request again with ``Last-Event-ID``.
        """
        self._count.add('requests.handed_over')
        self._cancel_attempt(stream, time.monotonic())
        if stream.call.streamed and stream.caller.started:
            stream.caller.add(writing.RECONNECT_AT_ONCE)
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
                'this router is stopping; send the request to another one',
                retry_after_s=0.0,
            ),
        )

    def _notify_if_idle(self) -> None:
        if not self._streams:
            for event in self._idle_events:
                event.set()

    def _end_stream(self, stream: relay_call.Stream) -> None:
        stream.ended = True
        self._leave_gate(stream)
        self._callers.flush(stream)

    def _leave_gate(self, stream: relay_call.Stream) -> None:
        """Free the slot of *stream* for another one."""
        if stream.work is not None:
            self._gate.remove(stream, time.monotonic())

    def _release(self, stream: relay_call.Stream) -> None:
        if stream not in self._streams:
            return
        self._streams.remove(stream)
        self._leave_gate(stream)
        self._callers.remove(stream)
        stream.call.span.end()
        stream.caller.release()
        self.active = len(self._streams)
        self._notify_if_idle()

    # Periodic work.

    def _sweep(self, now_s: float) -> None:
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + SWEEP_INTERVAL_S
        self._connections.sweep(now_s)
        self._callers.sweep(now_s)
        self._exchanges.sweep(now_s)
        self._start_delayed(now_s)
        self._mover.sweep(self._streams, now_s)
        if self._gate.tick(now_s):
            # Replaced rather than modified, since other threads read it.
            self.demand = self._gate.demand()
        self._granter.expire(now_s)
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        for stream in list(self._streams):
            if not stream.ended:
                self._check_timeouts(stream, now_s)
        self._count.set('streams.active', len(self._streams))

    def _start_delayed(self, now_s: float) -> None:
        delayed, self._delayed = self._delayed, []
        for at_s, stream in delayed:
            if stream.ended:
                continue
            if at_s > now_s:
                self._delayed.append((at_s, stream))
            else:
                self._start_attempt(stream, now_s)

    def _check_timeouts(self, stream: relay_call.Stream, now_s: float) -> None:
        if now_s >= stream.call.deadline_s:
            self._cancel_attempt(stream, now_s)
            self._fail(
                stream,
                stream.history.verdict(),
                outcome.Failure(
                    outcome.Reason.DEADLINE, 'the deadline has passed'
                ),
            )
        elif stream.connection is not None and not stream.paused:
            action = stream.watch.check(now_s)
            if action is silence.Action.PROBE:
                self._probe_silent(stream, now_s)
            elif action is silence.Action.RESUME:
                self._handle_attempt_failure(
                    stream, attempts.Ending.SILENT, now_s
                )

    def _close_all(self) -> None:
        for stream in list(self._streams):
            with contextlib.suppress(OSError):
                stream.caller.abort()
            if stream.connection is not None:
                stream.connection.close()
        self._connections.close()
        self._exchanges.close()
