"""A stand-in for a model engine: generated text and modelled batching.

docs/platform.md describes its HTTP API. The text of an answer is that of
:func:`guavachute.standin.engine_text.expected_text`.
"""

import queue
import time
import typing

import msgspec

from guavachute.decide.requests import prefix
from guavachute.http import message
from guavachute.http import server
from guavachute import ids
from guavachute import outcome
from guavachute.standin import base
from guavachute.standin import engine_cache
from guavachute.standin import engine_job
from guavachute.standin import engine_kv
from guavachute.standin import engine_orders
from guavachute.standin import engine_streams
from guavachute.standin import engine_text
from guavachute.standin import faults

DEFAULT_MAX_TOKENS = 16
REPLY_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 5.0

COMPLETIONS = {'/v1/completions': False, '/v1/chat/completions': True}
"""The completion paths, and whether each uses the chat format."""

STREAM_KINDS = {
    faults.Kind.DOUBLE,
    faults.Kind.FOREIGN,
    faults.Kind.LOSE_ANSWER,
}


class CancelBody(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/cancel``."""

    attempt_id: str


class Engine(base.StandIn):
    """A model engine that generates text without a model.

    :ivar streams: the task that runs the attempts
    :ivar orders: the task that holds the desired state of the engine
    """

    def __init__(
        self,
        name: str = 'engine',
        host: str = base.HOST,
        port: int = 0,
        settings: engine_job.EngineSettings | None = None,
    ) -> None:
        super().__init__(name, host, port)
        self.settings = settings or engine_job.EngineSettings()
        self._events = engine_cache.EventLog(
            self.settings.cache_event_delay_s,
            self.settings.cache_event_loss,
            self.settings.seed,
        )
        self.streams = engine_streams.Streams(
            f'{name}-streams', self.settings, self._events, self.crash
        )
        self.orders = engine_orders.Orders(
            f'{name}-orders', name, self.settings
        )
        self._kv = engine_kv.KvStore()

    def start(self) -> None:
        """Start the engine's tasks and its HTTP server."""
        self.streams.start()
        self.orders.start()
        super().start()

    def request_stop(self) -> None:
        """Request the engine's tasks and its HTTP server to stop."""
        self.streams.request_stop()
        self.orders.request_stop()
        super().request_stop()

    def join(self, timeout_s: float) -> bool:
        """Wait for all tasks to end; return whether all did in time."""
        ended = [self.streams.join(timeout_s), self.orders.join(timeout_s)]
        return super().join(timeout_s) and all(ended)

    def change(self, **settings: typing.Any) -> None:
        """Replace the given fields of the settings while it runs."""
        self.settings = msgspec.structs.replace(self.settings, **settings)
        self.streams.mailbox.send(engine_streams.ChangeSettings(self.settings))

    def implements_fault(
        self, request: message.Request, fault: faults.Fault
    ) -> bool:
        """Return whether *fault* affects a stream rather than a request."""
        return request.path in COMPLETIONS and (
            fault.after_tokens > 0 or fault.kind in STREAM_KINDS
        )

    def serve_with_fault(
        self,
        request: message.Request,
        exchange: server.Exchange,
        fault: faults.Fault,
    ) -> base.Reply:
        """Start an attempt into whose stream *fault* is injected."""
        return self._complete(request, exchange, fault)

    def serve(
        self, request: message.Request, exchange: server.Exchange
    ) -> base.Reply:
        """Answer one request to the engine's API."""
        if request.path in COMPLETIONS:
            return self._complete(request, exchange, None)
        match request.method, request.path:
            case 'GET', '/v1/load':
                return self._load()
            case 'GET', '/v1/cache_events':
                return self._cache_events(request)
            case 'GET', '/v1/models':
                return self._models()
            case 'POST', '/v1/cancel':
                return self._cancel(request)
            case 'POST', '/v1/kv/export':
                return self._export(request)
            case 'POST', '/v1/kv/import':
                return self._import(request)
            case 'POST', '/v1/orders':
                return self._serve_order(request)
            case 'GET', '/v1/orders':
                return message.json_response({'taken': self.orders.accepted})
            case 'PUT', '/settings':
                return self._serve_settings(request)
        return base.not_found()

    def _complete(
        self,
        request: message.Request,
        exchange: server.Exchange,
        fault: faults.Fault | None,
    ) -> base.Reply:
        body = message.decode_json(request.body, engine_job.CompletionBody)
        if isinstance(body, outcome.Failure):
            return _not_run(400, body.detail)
        if body.model not in self.orders.models():
            return _not_run(404, 'model_not_loaded')
        job = self._make_job(request, body, exchange, fault)
        self.streams.mailbox.send(engine_streams.Start(job))
        return message.DETACH

    def _make_job(
        self,
        request: message.Request,
        body: engine_job.CompletionBody,
        exchange: server.Exchange,
        fault: faults.Fault | None,
    ) -> engine_job.Job:
        prompt = body.full_prompt()
        prompt_tokens = engine_text.count_tokens(prompt)
        imported = None
        if body.kv_handle is not None:
            imported = self._kv.pop_import(body.kv_handle, body.model, prompt)
        max_tokens = body.max_tokens or body.max_completion_tokens
        job = engine_job.Job(
            request_id=request.headers.get('x-request-id')
            or ids.new_random_id('req'),
            attempt_id=request.headers.get('x-attempt-id')
            or ids.new_random_id('att'),
            model=body.model,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            chain=prefix.block_chain(body.model, prompt),
            chat=COMPLETIONS[request.path],
            stream=body.stream,
            seed=engine_job.answer_seed(body, prompt, imported is not None),
            end=max_tokens or DEFAULT_MAX_TOKENS,
            next_token=body.resume_from,
            resume_from=body.resume_from,
            resume_text=body.resume_text or '',
            priority=_numeric_header(request, 'x-priority', int) or 0,
            deadline_s=_numeric_header(request, 'x-deadline-s', float),
            keeps_alive=exchange.keeps_alive,
            connection=exchange.detach(),
            fault=fault,
        )
        if imported is not None:
            job.imported_tokens = prompt_tokens + imported[0]
            job.kv_ready_at_s = imported[1]
        return job

    def _load(self) -> message.Response:
        load = self.streams.load
        value = msgspec.to_builtins(load)
        age_s = time.monotonic() - value.pop('taken_at_s')
        value['age_s'] = round(age_s, 3)
        value['models'] = self.orders.models()
        return message.json_response(value)

    def _cache_events(self, request: message.Request) -> message.Response:
        try:
            first = int(request.query.get('from', '0'))
        except ValueError as error:
            return base.error(400, str(error))
        return message.json_response(
            self._events.since(first, time.monotonic())
        )

    def _models(self) -> message.Response:
        data = [
            {'id': model, 'object': 'model', 'created': 0, 'owned_by': ''}
            for model in self.orders.models()
        ]
        return message.json_response({'object': 'list', 'data': data})

    def _cancel(self, request: message.Request) -> message.Response:
        body = message.decode_json(request.body, CancelBody)
        if isinstance(body, outcome.Failure):
            return base.bad_request(body)
        reply: queue.SimpleQueue[bool] = queue.SimpleQueue()
        self.streams.mailbox.send(
            engine_streams.Cancel(body.attempt_id, reply)
        )
        found = _wait_for_reply(reply)
        return message.json_response({'cancelled': bool(found)})

    def _export(self, request: message.Request) -> message.Response:
        body = message.decode_json(request.body, engine_kv.ExportOrder)
        if isinstance(body, outcome.Failure):
            return base.bad_request(body)
        reply: queue.SimpleQueue[engine_streams.AttemptState | None] = (
            queue.SimpleQueue()
        )
        self.streams.mailbox.send(
            engine_streams.QueryState(body.attempt_id, reply)
        )
        state = _wait_for_reply(reply)
        if state is None:
            return base.error(404, 'attempt_unknown')
        exported = self._kv.export(
            state,
            body.to,
            engine_text.count_tokens(state.prompt),
            self.settings,
        )
        if isinstance(exported, outcome.Failure):
            return base.error(502, exported.detail)
        return message.json_response(exported)

    def _import(self, request: message.Request) -> message.Response:
        body = message.decode_json(request.body, engine_kv.Import)
        if isinstance(body, outcome.Failure):
            return base.bad_request(body)
        self._kv.store_import(body, self.settings.kv_handle_s)
        return message.json_response({})

    def _serve_order(self, request: message.Request) -> message.Response:
        order = message.decode_json(request.body, engine_orders.Order)
        if isinstance(order, outcome.Failure):
            return base.bad_request(order)
        if not self.orders.accept(order):
            return base.error(409, 'stale_fencing_number')
        return message.json_response({})

    def _serve_settings(self, request: message.Request) -> message.Response:
        changes = message.decode_json(request.body, dict[str, typing.Any])
        if isinstance(changes, outcome.Failure):
            return base.bad_request(changes)
        merged = {**msgspec.to_builtins(self.settings), **changes}
        try:
            checked = msgspec.convert(merged, engine_job.EngineSettings)
        except msgspec.ValidationError as error:
            return base.error(400, str(error))
        self.change(**{name: getattr(checked, name) for name in changes})
        return message.json_response({})


def _not_run(status: int, reason: str) -> message.Response:
    return message.json_response({'error': reason, 'not_run': True}, status)


Number = typing.TypeVar('Number', int, float)


def _numeric_header(
    request: message.Request, header: str, kind: type[Number]
) -> Number | None:
    try:
        return kind(request.headers[header])
    except (KeyError, ValueError):
        return None


Reply = typing.TypeVar('Reply')


def _wait_for_reply(reply: 'queue.SimpleQueue[Reply]') -> Reply | None:
    try:
        return reply.get(timeout=REPLY_TIMEOUT_S)
    except queue.Empty:
        return None
