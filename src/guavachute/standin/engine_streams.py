"""The task that runs all streams of a stand-in engine.

A single thread waits with one selector for the sockets, the mailbox and
the next due token, so that hundreds of streams cost little.
"""

import dataclasses
import heapq
import itertools
import queue
import selectors
import socket
import time
import typing

import msgspec

from guavachute.kernel import task
from guavachute.standin import engine_batch
from guavachute.standin import engine_cache
from guavachute.standin import engine_job
from guavachute.standin import engine_text
from guavachute.standin import engine_wire
from guavachute.standin import faults

TICK_S = 0.001
"""Tokens that are due within this time are sent together."""
MAX_UNSENT_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Requests that a job is run or queued."""

    job: engine_job.Job


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels an attempt; *reply* receives whether it existed."""

    attempt_id: str
    reply: 'queue.SimpleQueue[bool]'


@dataclasses.dataclass(frozen=True, slots=True)
class QueryState:
    """Queries the state of a running attempt; *reply* gets it or None."""

    attempt_id: str
    reply: 'queue.SimpleQueue[AttemptState | None]'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptState:
    """The state of a running attempt that an exported cache contains.

    :ivar tokens: the number of the answer's tokens so far
    """

    model: str
    prompt: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Replaces the settings."""

    settings: engine_job.EngineSettings


class Load(msgspec.Struct, frozen=True):
    """A load report; ``GET /v1/load`` adds its age and the models.

    :ivar taken_at_s: when it was made, by the monotonic clock
    """

    taken_at_s: float
    running: int = 0
    queued: int = 0
    slots: int = 0
    generated_tokens: int = 0
    kv_free_tokens: int = 0
    recomputed_tokens: int = 0
    prefilled_tokens: int = 0


class _Stream:
    """A job and the state of its response.

    :ivar alive: False once the connection is closed or released
    :ivar muted: whether nothing more is sent to the client
    :ivar unsent: bytes that the socket has not accepted yet
    """

    __slots__ = (
        'alive',
        'closes_when_sent',
        'job',
        'muted',
        'sent_head',
        'unsent',
        'waits_for_capacity',
        'writer',
    )

    def __init__(self, job: engine_job.Job) -> None:
        self.job = job
        self.alive = True
        self.sent_head = False
        self.unsent = b''
        self.waits_for_capacity = False
        self.closes_when_sent = False
        kind = job.fault.kind if job.fault is not None else None
        self.muted = kind is faults.Kind.LOSE_ANSWER
        self.writer = engine_wire.EventWriter(
            job, job.request_id, job.attempt_id
        )


class Streams(task.Task):
    """Runs the batch and writes the responses of all attempts.

    :param events: records the changes of the prefix cache
    :param crash: called when a fault crashes the engine during a stream
    :ivar load: the newest report, an immutable value that any thread may
        read
    """

    def __init__(
        self,
        name: str,
        settings: engine_job.EngineSettings,
        events: engine_cache.EventLog,
        crash: typing.Callable[[], None],
    ) -> None:
        super().__init__(name)
        cache = engine_cache.PrefixCache(settings.cache_blocks, events)
        self._batch = engine_batch.Batch(settings, cache)
        self._crash = crash
        self._streams: dict[str, _Stream] = {}
        self._due: list[tuple[float, int, _Stream]] = []
        self._sequence = itertools.count()
        self._selector = selectors.DefaultSelector()
        self.load = Load(time.monotonic(), slots=settings.slots)

    def run(self) -> None:
        """Run the streams until stopped; then close all connections."""
        self._selector.register(
            self.mailbox.fileno(), selectors.EVENT_READ, None
        )
        while not self.stopping.is_set():
            for key, mask in self._selector.select(self._select_timeout_s()):
                if key.data is None:
                    self._handle_mailbox()
                else:
                    self._handle_socket(key.data, mask)
            self._emit_due(time.monotonic())
            self._update_load(time.monotonic())
        for stream in list(self._streams.values()):
            self._abort(stream)
        self._selector.close()

    def _select_timeout_s(self) -> float:
        now_s = time.monotonic()
        lag_s = self._batch.settings.load_lag_s
        wake_s = self.load.taken_at_s + max(lag_s, TICK_S)
        if self._due:
            wake_s = min(wake_s, self._due[0][0])
        return max(0.0, wake_s - now_s)

    def _update_load(self, now_s: float) -> None:
        batch = self._batch
        if now_s - self.load.taken_at_s < batch.settings.load_lag_s:
            return
        self.load = Load(
            taken_at_s=now_s,
            running=len(batch.running),
            queued=batch.queued,
            slots=batch.settings.slots,
            generated_tokens=batch.generated_tokens,
            kv_free_tokens=batch.kv_free_tokens(),
            recomputed_tokens=batch.recomputed_tokens,
            prefilled_tokens=batch.prefilled_tokens,
        )

    def _handle_mailbox(self) -> None:
        for message in self.mailbox.drain():
            match message:
                case Start(job):
                    self._accept(_Stream(job), time.monotonic())
                case Cancel(attempt_id, reply):
                    reply.put(self._cancel(attempt_id))
                case QueryState(attempt_id, reply):
                    reply.put(self._attempt_state(attempt_id))
                case ChangeSettings(settings):
                    self._batch.settings = settings

    def _accept(self, stream: _Stream, now_s: float) -> None:
        job = stream.job
        if job.attempt_id in self._streams:
            self._reject(stream, 409, 'attempt_runs_already')
            return
        if self._batch.has_capacity():
            self._start(stream, now_s)
        elif not self._batch.enqueue(job):
            self._reject(stream, 429, 'queue_full')
            return
        elif job.deadline_s is not None:
            self._schedule(stream, now_s + job.deadline_s)
        self._streams[job.attempt_id] = stream
        self._selector.register(
            job.connection.socket, selectors.EVENT_READ, stream
        )

    def _reject(self, stream: _Stream, status: int, reason: str) -> None:
        body = {'error': reason, 'not_run': True}
        answer = engine_wire.json_response(status, body, retry_after_s=1)
        self._send_last(stream, answer)

    def _start(self, stream: _Stream, now_s: float) -> None:
        self._schedule(stream, self._batch.start(stream.job, now_s))

    def _schedule(self, stream: _Stream, due_s: float) -> None:
        heapq.heappush(self._due, (due_s, next(self._sequence), stream))

    def _emit_due(self, now_s: float) -> None:
        gap_s = self._batch.gap_s()
        while self._due and self._due[0][0] <= now_s + TICK_S:
            due_s, _, stream = heapq.heappop(self._due)
            if not stream.alive:
                continue
            job = stream.job
            if job.attempt_id not in self._batch.running:
                self._expire(stream)
                continue
            if self._inject_fault(stream, now_s):
                continue
            self._emit(stream)
            if job.next_token >= job.end:
                self._complete(stream, 'length')
            elif stream.alive:
                # The next token is scheduled from when this one was due,
                # so that delays don't accumulate.
                self._schedule(stream, max(due_s + gap_s, now_s))

    def _expire(self, stream: _Stream) -> None:
        if self._batch.remove_queued(stream.job.attempt_id) is not None:
            self._reject(stream, 503, 'deadline_before_start')

    def _emit(self, stream: _Stream) -> None:
        job = stream.job
        index = job.next_token
        text = engine_text.token(job.seed, index)
        job.next_token += 1
        job.text.append(text)
        self._batch.generated_tokens += 1
        if job.stream and not stream.muted:
            data = self._event_bytes(stream, index, text)
            if not stream.sent_head:
                stream.sent_head = True
                data = engine_wire.HEAD + data
            self._send(stream, data)

    def _event_bytes(self, stream: _Stream, index: int, text: str) -> bytes:
        data = stream.writer.token_event(index, text)
        if stream.job.fault is None:
            return data
        if stream.job.fault.kind is faults.Kind.DOUBLE:
            return data + data
        if stream.job.fault.kind is faults.Kind.FOREIGN:
            other = engine_wire.EventWriter(
                stream.job, 'req-of-another', 'att-of-another'
            )
            return other.token_event(index, ' stray') + data
        return data

    def _inject_fault(self, stream: _Stream, now_s: float) -> bool:
        """Inject a due fault; return whether no token is to be sent now."""
        fault = stream.job.fault
        if fault is None or stream.job.emitted != fault.after_tokens:
            return False
        match fault.kind:
            case faults.Kind.STALL:
                stream.job.fault = None
                self._schedule(stream, now_s + fault.delay_s)
            case faults.Kind.SILENT:
                stream.muted = True
                self._free_slot(stream, now_s)
            case faults.Kind.CLOSE | faults.Kind.REFUSE:
                self._abort(stream)
            case faults.Kind.CRASH:
                self._crash()
                self._abort(stream)
            case _:
                return False
        return True

    def _free_slot(self, stream: _Stream, now_s: float) -> None:
        self._batch.finish(stream.job, now_s)
        while (job := self._batch.pop_queued()) is not None:
            self._start(self._streams[job.attempt_id], now_s)

    def _complete(self, stream: _Stream, finish_reason: str) -> None:
        now_s = time.monotonic()
        self._free_slot(stream, now_s)
        if not stream.alive:
            return
        if stream.muted:
            self._abort(stream)
        elif stream.job.stream:
            data = stream.writer.final_event(finish_reason)
            head = b'' if stream.sent_head else engine_wire.HEAD
            self._send_last(stream, head + data)
        else:
            answer = engine_wire.completion_response(stream.job, finish_reason)
            self._send_last(stream, answer)

    def _send_last(self, stream: _Stream, data: bytes) -> None:
        stream.closes_when_sent = True
        self._send(stream, data)

    def _send(self, stream: _Stream, data: bytes) -> None:
        if stream.unsent:
            stream.unsent += data
            if len(stream.unsent) > MAX_UNSENT_BYTES:
                self._abort(stream)
            return
        try:
            sent = stream.job.connection.socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._abort(stream)
            return
        if sent < len(data):
            stream.unsent = data[sent:]
            self._set_interest(
                stream, selectors.EVENT_READ | selectors.EVENT_WRITE
            )
        elif stream.closes_when_sent:
            self._release(stream)

    def _set_interest(self, stream: _Stream, mask: int) -> None:
        watched = stream.job.connection.socket
        if watched in self._selector.get_map():
            self._selector.modify(watched, mask, stream)
        else:
            self._selector.register(watched, mask, stream)

    def _handle_socket(self, stream: _Stream, mask: int) -> None:
        if not stream.alive:
            return
        if mask & selectors.EVENT_WRITE:
            data, stream.unsent = stream.unsent, b''
            self._set_interest(stream, selectors.EVENT_READ)
            self._send(stream, data)
        if mask & selectors.EVENT_READ and stream.alive:
            self._check_for_close(stream)

    def _check_for_close(self, stream: _Stream) -> None:
        try:
            peeked = stream.job.connection.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            peeked = b''
        if not peeked:
            self._abort(stream)
        else:
            # The client has pipelined its next request, which is read
            # after this response.
            self._selector.unregister(stream.job.connection.socket)

    def _cancel(self, attempt_id: str) -> bool:
        stream = self._streams.get(attempt_id)
        if stream is None:
            return False
        if self._batch.remove_queued(attempt_id) is not None:
            self._reject(stream, 503, 'cancelled')
        else:
            self._complete(stream, 'cancelled')
        return True

    def _attempt_state(self, attempt_id: str) -> AttemptState | None:
        stream = self._streams.get(attempt_id)
        if stream is None or attempt_id not in self._batch.running:
            return None
        job = stream.job
        return AttemptState(job.model, job.prompt, job.next_token)

    def _unregister(self, stream: _Stream) -> None:
        stream.alive = False
        job = stream.job
        if self._streams.get(job.attempt_id) is stream:
            del self._streams[job.attempt_id]
        watched = job.connection.socket
        if watched in self._selector.get_map():
            self._selector.unregister(watched)

    def _release(self, stream: _Stream) -> None:
        self._unregister(stream)
        if stream.job.keeps_alive:
            stream.job.connection.release()
        else:
            stream.job.connection.close()

    def _abort(self, stream: _Stream) -> None:
        """Close the connection and free the slot of the attempt."""
        if not stream.alive:
            return
        self._unregister(stream)
        stream.job.connection.close()
        self._batch.remove_queued(stream.job.attempt_id)
        self._free_slot(stream, time.monotonic())
