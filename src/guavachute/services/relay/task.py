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

from guavachute.decide import answer
from guavachute.decide import attempts
from guavachute import ids
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute import outcome
from guavachute.services.relay import balancer
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import downstream
from guavachute.services.relay import pool
from guavachute.services.relay import upstream
from guavachute.services import replies
from guavachute.wire import tables

SWEEP_INTERVAL_S = 0.1
SILENCE_S = 5.0
"""Without a byte for this long an attempt is taken for lost."""

NOT_RUN_STATUSES = frozenset({429, 503})
DONE_EVENT = b'data: [DONE]\n\n'
Handler = typing.Callable[[int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class TablesChanged:
    """New tables are in force."""

    view: tables.Tables


@dataclasses.dataclass(frozen=True, slots=True)
class TellWhenIdle:
    """Set *event* as soon as no stream is left."""

    event: threading.Event


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """The VM is about to go: callers are to go on elsewhere."""


class Relay(task.Task):
    """Moves the bytes of all streams.

    Messages: :class:`call.ModelCall`, :class:`TablesChanged`,
    :class:`TellWhenIdle`, :class:`HandOver`.

    :param region: where this router stands
    """

    def __init__(
        self,
        region: str,
        count: counters.Counters,
        tracer: traces.Tracer,
    ) -> None:
        super().__init__('relay')
        self._balancer = balancer.Balancer(region)
        self._count = count
        self._tracer = tracer
        self._pool = pool.ConnectionPool()
        self._streams: set[relay_call.Stream] = set()
        self._waiting: list[relay_call.Stream] = []
        self._next_sweep_s = 0.0
        self._tell_idle: list[threading.Event] = []
        self.active = 0
        self.used_tokens: dict[str, float] = {}

    def run(self) -> None:
        """Serve until stopped; what still runs then is cut."""
        with selectors.DefaultSelector() as selector:
            self._selector = selector
            selector.register(
                self.mailbox.fileno(), selectors.EVENT_READ, self._read_mail
            )
            while not self.stopping.is_set():
                for key, events in selector.select(SWEEP_INTERVAL_S):
                    key.data(events)
                self._sweep(time.monotonic())
            self._close_all()

    # Messages.

    def _read_mail(self, events: int) -> None:
        for message in self.mailbox.drain():
            self._take_message(message)
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
        self._start_attempt(stream, now_s)

    @_take_message.register
    def _take_tables(self, message: TablesChanged) -> None:
        self._balancer.update(message.view)

    @_take_message.register
    def _take_idle(self, message: TellWhenIdle) -> None:
        self._tell_idle.append(message.event)
        self._tell_if_idle()

    @_take_message.register
    def _take_hand_over(self, message: HandOver) -> None:
        for stream in list(self._streams):
            self._hand_over(stream)

    # Attempts.

    def _start_attempt(self, stream: relay_call.Stream, now_s: float) -> None:
        choice = self._balancer.choose(stream)
        if isinstance(choice, outcome.Failure):
            self._no_endpoint(stream, choice)
            return
        attempt_id = ids.AttemptId(ids.new_random_id('att'))
        stream.endpoint = choice
        stream.history.begin(choice.endpoint)
        stream.answer.begin(attempt_id)
        stream.splitter = type(stream.splitter)()
        stream.last_progress_s = now_s
        stream.span = self._tracer.start(
            'attempt',
            stream.call.context,
            {
                'guavachute.endpoint': choice.endpoint,
                'guavachute.attempt': attempt_id,
                'guavachute.resume_from': stream.answer.next_index,
            },
        )
        self._balancer.started(choice.endpoint)
        self._count.add('attempts.started')
        if stream.answer.next_index:
            self._count.add('attempts.resumed')
        self._connect(stream, choice.address, attempt_id, now_s)

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
        self, stream: relay_call.Stream, failure: outcome.Failure
    ) -> None:
        if stream.history.attempts:
            # It was accepted: it waits for an endpoint until its deadline.
            self._waiting.append(stream)
        else:
            self._fail(stream, outcome.Verdict.NOT_RUN, failure)

    def _endpoint_ready(self, stream: relay_call.Stream, events: int) -> None:
        connection = stream.connection
        assert connection is not None
        wanted = connection.wanted_events
        connection.advance(events)
        now_s = time.monotonic()
        if connection.status == 200:
            self._forward(stream, connection.take_body(), now_s)
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
        stream.last_progress_s = now_s
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

    def _send_events(self, stream: relay_call.Stream, data: bytes) -> None:
        caller = stream.caller
        if not caller.started:
            lines = replies.headers(
                stream.call.request_id, outcome.Verdict.UNKNOWN
            )
            lines['Trailer'] = replies.OUTCOME_HEADER
            caller.start_stream(lines)
        caller.add(data)
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
        self._end_attempt(stream, now_s)
        step = attempts.next_step(
            stream.history, ending, stream.call.deadline_s, now_s
        )
        if isinstance(step, attempts.GiveUp):
            self._fail(stream, step.verdict, step.failure)
        else:
            self._start_attempt(stream, now_s)

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
        self._balancer.ended(stream.endpoint.endpoint)
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
            stream.last_progress_s = time.monotonic()
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
        self._end_attempt(stream, now_s)
        stream.ended = True
        self._release(stream)

    # Ends.

    def _finish(self, stream: relay_call.Stream, now_s: float) -> None:
        call = stream.call
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
        self._flush(stream)

    def _release(self, stream: relay_call.Stream) -> None:
        if stream not in self._streams:
            return
        self._streams.remove(stream)
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
        waiting, self._waiting = self._waiting, []
        for stream in waiting:
            if not stream.ended:
                self._start_attempt(stream, now_s)
        for stream in list(self._streams):
            if not stream.ended:
                self._check_time(stream, now_s)
        self._count.set('streams.active', len(self._streams))

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
            if now_s - stream.last_progress_s > SILENCE_S:
                self._attempt_failed(stream, attempts.Ending.SILENT, now_s)

    def _close_all(self) -> None:
        for stream in list(self._streams):
            with contextlib.suppress(OSError):
                stream.caller.cut()
            if stream.connection is not None:
                stream.connection.close()
        self._pool.close()
