"""Calls of plain services, made with urllib3 in a bounded set of threads.

An idempotent call is sent to another endpoint when one fails. Any other
call is an order: it is claimed first, by its idempotency key, and sent
once; if it fails after its first byte was sent, its outcome is
``unknown``.
"""

import concurrent.futures
import dataclasses
import itertools
import threading
import time
import typing
import urllib.parse

import urllib3

from guavachute.http import bounded_answers
from guavachute.http import message
from guavachute import ids
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute import outcome
from guavachute.services.relay import downstream
from guavachute.services import replies
from guavachute.wire import tables

THREADS = 32
MAX_QUEUED = 256
"""Calls that wait for a thread; more are refused as overloaded."""

CONNECT_TIMEOUT_S = 1.0
CROSSED_WITHIN_S = 1.0
"""A call crossed the close of an idle connection only if that connection ends
within this time after the call was sent; later, the call itself may have
stopped the endpoint, which is not to happen twice."""

LEAST_TIMEOUT_S = 0.001
"""Timeout of a call that is sent as its deadline passes; 0 is no timeout."""

WRITE_RETRY_S = 0.005
MAX_BODY_BYTES = 16_777_216
"""A longer body of an answer may have no end; its connection is closed."""

READ_BYTES = 65_536
MAX_ATTEMPTS = 3
DROPPED_HEADERS = frozenset(
    {
        'authorization', 'connection', 'content-length', 'host',
        'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade',
        'x-deadline-s',
    }
)  # fmt: skip
FRAMING_HEADERS = frozenset({'content-length', 'transfer-encoding'})
FORWARDED_HEADERS = ('Content-Type', 'Location', 'ETag')


@dataclasses.dataclass(slots=True)
class PlainCall:
    """A checked call of a plain service, as the front passes it on.

    :ivar pool: whose endpoints serve the call
    :ivar request: the caller's, with the path below the service's prefix
    :ivar idempotency_key: None for an idempotent call
    :ivar deadline_s: monotonic
    :ivar caller: the connection that gets the answer
    :ivar span: of the request; ended here
    :ivar context: parent of the attempts' spans
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceName
    pool: ids.PoolName
    request: message.Request
    idempotency_key: str | None
    deadline_s: float
    caller: downstream.Downstream
    span: traces.Span
    context: traces.Context


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An endpoint's answer.

    :ivar is_framed: whether its length or chunks show that the body is
        complete; the end of a connection doesn't
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_framed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call without an answer, and whether it may have run."""

    verdict: outcome.Verdict
    failure: outcome.Failure


class Claimer(typing.Protocol):
    """Decides whether an order may be dispatched by this attempt."""

    def claim(self, call: PlainCall, now_s: float) -> Answer | Failed | None:
        """Claim the order of *call*; blocks until decided.

        None means that it must be dispatched once and the result reported
        by one of the other methods. Anything else is the reply to the
        caller, and the order must not be dispatched.
        """

    def store_answer(self, call: PlainCall, answer: Answer) -> None:
        """Store *answer* for callers that send the key again."""

    def release_claim(self, call: PlainCall) -> None:
        """Release the claim: the call reached no endpoint."""

    def keep_claim(self, call: PlainCall) -> None:
        """Keep the claim: the call may have run."""


class PlainCalls(task.Task):
    """Runs each call in one of its threads.

    Messages: :class:`PlainCall`.

    :param region: this router's; its endpoints are preferred
    """

    def __init__(
        self,
        region: str,
        count: counters.Counters,
        tracer: traces.Tracer,
        claimer: Claimer,
    ) -> None:
        super().__init__('plain-calls')
        self._region = region
        self._count = count
        self._tracer = tracer
        self._claimer = claimer
        self._endpoints: list[tables.EndpointEntry] = []
        self._round_robin = itertools.count()
        self._active = 0
        self._lock = threading.Lock()
        self._http = bounded_answers.pool_manager(
            num_pools=64, maxsize=THREADS
        )

    @property
    def active(self) -> int:
        """The number of calls accepted and not yet answered."""
        return self._active

    def set_tables(self, new: tables.Tables) -> None:
        """Use the endpoints of *new* from now on; from any thread."""
        self._endpoints = new.endpoints

    def run(self) -> None:
        """Serve until stopped; then finish the calls that are under way.

        Calls that have not begun by then are refused.
        """
        with concurrent.futures.ThreadPoolExecutor(THREADS) as executor:
            while not self.stopping.is_set():
                call = self.mailbox.receive()
                if isinstance(call, PlainCall):
                    self._accept(executor, call)
            self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        """Refuse the calls that were sent to this task and not begun."""
        for call in self.mailbox.drain():
            if isinstance(call, PlainCall):
                self._reply(
                    call,
                    _not_run(
                        outcome.Reason.DRAINING,
                        'this router is stopping; send the request to '
                        'another one',
                    ),
                )

    def _accept(
        self, executor: concurrent.futures.Executor, call: PlainCall
    ) -> None:
        if self._active >= THREADS + MAX_QUEUED:
            self._reply(
                call,
                _not_run(
                    outcome.Reason.OVERLOADED,
                    'too many calls of plain services are waiting',
                ),
            )
            return
        with self._lock:
            self._active += 1
        executor.submit(self._serve, call)

    def _serve(self, call: PlainCall) -> None:
        try:
            self._reply(call, self._call(call))
        finally:
            with self._lock:
                self._active -= 1

    def _call(self, call: PlainCall) -> Answer | Failed:
        if call.idempotency_key is None:
            return self._call_with_retries(call)
        claimed = self._claimer.claim(call, time.monotonic())
        if claimed is not None:
            return claimed
        return self._dispatch_order(call)

    def _dispatch_order(self, call: PlainCall) -> Answer | Failed:
        endpoint = self._choose(call, tried=())
        result: Answer | Failed
        if endpoint is None:
            result = _not_run(
                outcome.Reason.NO_CAPACITY, f'{call.pool} has no endpoint'
            )
        else:
            result = self._attempt(call, endpoint)
        if isinstance(result, Answer):
            self._claimer.store_answer(call, result)
        elif result.verdict is outcome.Verdict.NOT_RUN:
            self._claimer.release_claim(call)
        else:
            self._claimer.keep_claim(call)
        return result

    def _call_with_retries(self, call: PlainCall) -> Answer | Failed:
        tried: list[str] = []
        result: Answer | Failed = _not_run(
            outcome.Reason.NO_CAPACITY, f'{call.pool} has no endpoint'
        )
        while len(tried) < MAX_ATTEMPTS:
            endpoint = self._choose(call, tried)
            if endpoint is None or time.monotonic() >= call.deadline_s:
                break
            tried.append(endpoint.endpoint)
            result = self._attempt(call, endpoint)
            if isinstance(result, Answer):
                break
        return result

    def _choose(
        self, call: PlainCall, tried: typing.Sequence[str]
    ) -> tables.EndpointEntry | None:
        live = [
            entry
            for entry in self._endpoints
            if entry.pool == call.pool
            and not entry.leaving
            and entry.endpoint not in tried
        ]
        same_region = [entry for entry in live if entry.region == self._region]
        candidates = same_region or live
        if not candidates:
            return None
        return candidates[next(self._round_robin) % len(candidates)]

    def _attempt(
        self, call: PlainCall, endpoint: tables.EndpointEntry
    ) -> Answer | Failed:
        span = self._tracer.start(
            'attempt', call.context, {'guavachute.endpoint': endpoint.endpoint}
        )
        self._count.add('service_attempts.started')
        try:
            result = self._exchange(call, endpoint, span)
        finally:
            span.end()
        if isinstance(result, Failed):
            self._count.add('service_attempts.failed')
            traces.fail(span, result.failure.reason.value)
        return result

    def _exchange(
        self,
        call: PlainCall,
        endpoint: tables.EndpointEntry,
        span: traces.Span,
    ) -> Answer | Failed:
        if time.monotonic() >= call.deadline_s:
            return _not_run(outcome.Reason.DEADLINE, 'the deadline passed')
        try:
            response = self._send(call, endpoint, span)
            body = _read_body(response)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return _not_run(outcome.Reason.UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            return Failed(
                outcome.Verdict.UNKNOWN,
                outcome.Failure(outcome.Reason.LOST_ANSWER, str(error)),
            )
        return _answer_of(response, body, call.request.method)

    def _send(
        self,
        call: PlainCall,
        endpoint: tables.EndpointEntry,
        span: traces.Span,
    ) -> urllib3.BaseHTTPResponse:
        """Send *call*, and return its answer, whose body is not read yet.

        If the endpoint closes an idle connection as the call goes out, an
        idempotent call is sent once more, on a new one. The other idle ones
        may have been closed at the same time.
        """
        sent_s = time.monotonic()
        try:
            return self._send_on(self._connections(call, endpoint), call, span)
        except urllib3.exceptions.ProtocolError as error:
            is_late = time.monotonic() - sent_s > CROSSED_WITHIN_S
            if is_late or not bounded_answers.was_closed_idle(error):
                raise
            closed = error
        self._count.add('service_attempts.sent_again')
        try:
            return self._send_on(_new_connections(endpoint), call, span)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            # The call may have run when it was sent first.
            raise closed from None

    def _send_on(
        self,
        connections: urllib3.HTTPConnectionPool,
        call: PlainCall,
        span: traces.Span,
    ) -> urllib3.BaseHTTPResponse:
        remaining_s = max(LEAST_TIMEOUT_S, call.deadline_s - time.monotonic())
        return connections.urlopen(
            call.request.method,
            _request_target(call.request),
            body=call.request.body,
            headers=self._headers(call, span),
            timeout=urllib3.Timeout(
                connect=min(CONNECT_TIMEOUT_S, remaining_s),
                read=remaining_s,
            ),
            redirect=False,
            preload_content=False,
        )

    def _connections(
        self, call: PlainCall, endpoint: tables.EndpointEntry
    ) -> urllib3.HTTPConnectionPool:
        if call.idempotency_key is None:
            host, _, port = endpoint.address.rpartition(':')
            return self._http.connection_from_host(host, int(port))
        # An order is sent only once, so it needs a connection that works.
        # A new one is known to; an idle one may be dead without notice,
        # and the order would be lost with an unknown outcome.
        return _new_connections(endpoint)

    def _headers(self, call: PlainCall, span: traces.Span) -> dict[str, str]:
        forwarded = {
            name: value
            for name, value in call.request.headers.items()
            if name not in DROPPED_HEADERS
        }
        context = traces.context_of(span, call.context)
        return {
            **forwarded,
            **traces.headers_for(context),
            replies.REQUEST_ID_HEADER: call.request_id,
        }

    def _reply(self, call: PlainCall, result: Answer | Failed) -> None:
        if isinstance(result, Answer):
            self._count.add('requests.done')
            outcome_headers = replies.headers(
                call.request_id, outcome.Verdict.DONE
            )
            call.caller.send_response(
                result.status,
                {**result.headers, **outcome_headers},
                result.body,
                result.is_framed,
            )
        else:
            self._count.add(f'requests.{result.verdict.value}')
            traces.fail(call.span, result.failure.reason.value)
            call.caller.send_response(
                replies.status_of(result.failure.reason),
                replies.headers(
                    call.request_id, result.verdict, result.failure
                ),
                replies.error_body(result.failure),
            )
        self._flush_reply(call)
        call.span.end()

    def _flush_reply(self, call: PlainCall) -> None:
        end_s = time.monotonic() + CONNECT_TIMEOUT_S * 10
        while call.caller.flush() is downstream.FlushResult.BLOCKED:
            if time.monotonic() > end_s:
                break
            time.sleep(WRITE_RETRY_S)
        call.caller.release()


def _new_connections(
    endpoint: tables.EndpointEntry,
) -> urllib3.HTTPConnectionPool:
    """Return a pool without any idle connection."""
    host, _, port = endpoint.address.rpartition(':')
    return bounded_answers.Pool(host, int(port), retries=False)


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Read the body of an answer, and return the connection to its pool.

    :raises urllib3.exceptions.HTTPError: it was cut off, or has not ended
        within :data:`MAX_BODY_BYTES` or in time; the connection is then closed
    """
    parts: list[bytes] = []
    size = 0
    while data := response.read1(READ_BYTES):
        parts.append(data)
        size += len(data)
        if size > MAX_BODY_BYTES:
            response.close()
            raise urllib3.exceptions.ProtocolError(
                f'the answer has not ended after {size} bytes'
            )
    response.release_conn()
    return b''.join(parts)


def _answer_of(
    response: urllib3.BaseHTTPResponse, body: bytes, method: str
) -> Answer:
    headers = {
        name: response.headers[name]
        for name in FORWARDED_HEADERS
        if name in response.headers
    }
    is_framed = (
        response.status in message.BODILESS_STATUSES
        or method == 'HEAD'
        or not FRAMING_HEADERS.isdisjoint(map(str.lower, response.headers))
    )
    return Answer(response.status, headers, body, is_framed)


def _request_target(request: message.Request) -> str:
    path = urllib.parse.quote(request.path, safe="/%:@!$&'()*+,;=~-._")
    if not request.query:
        return path
    return f'{path}?{urllib.parse.urlencode(request.query)}'


def _not_run(reason: outcome.Reason, detail: str) -> Failed:
    return Failed(
        outcome.Verdict.NOT_RUN,
        outcome.Failure(reason, detail, retry_after_s=1.0),
    )
