"""The callers' HTTP interface of a router.

Runs in cheroot's worker threads: reads, authenticates and checks; then
the relay or the plain calls take the connection over. The threads share
one immutable :class:`View`, replaced as a whole when tables change.
"""

import dataclasses
import functools
import hashlib
import threading
import time
import typing

import msgspec

from guavachute.decide import answer
from guavachute.document import schema
from guavachute.http import message
from guavachute.http import server
from guavachute import ids
from guavachute.kernel import kernel
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute import outcome
from guavachute.services import plain_calls
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import downstream
from guavachute.services import replies
from guavachute.wire import tables

DEFAULT_DEADLINE_S = 600.0
MAX_DEADLINE_S = 3600.0
DEFAULT_PRIORITY = 1
LAST_PRIORITY = 2
BEARER = 'bearer '
SERVICES_PREFIX = '/v1/services/'


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What is in force, prepared for look-ups."""

    tables: tables.Tables
    document: schema.Document
    workspaces: dict[str, ids.WorkspaceName]


class Message(msgspec.Struct):
    """A chat message; other fields pass unread."""

    role: str
    content: typing.Any = None


class ModelRequest(msgspec.Struct):
    """What the front reads of a request; the rest passes unread."""

    model: str
    prompt: typing.Any = None
    messages: list[Message] | None = None
    stream: bool = False
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    n: int | None = None


class ListedModel(msgspec.Struct):
    """An entry of ``GET /v1/models``."""

    id: str
    object: str = 'model'
    created: int = 0
    owned_by: str = 'guavachute'


class ModelList(msgspec.Struct):
    """The answer to ``GET /v1/models``."""

    data: list[ListedModel]
    object: str = 'list'


class Address(msgspec.Struct):
    """An address of the system that a caller may use."""

    address: str
    weight: float
    failure_domain: str


class Addresses(msgspec.Struct):
    """The answer to ``GET /v1/addresses``."""

    addresses: list[Address]
    ttl_s: float


@dataclasses.dataclass(slots=True)
class Incoming:
    """One request on its way through the front."""

    request: message.Request
    exchange: server.Exchange
    request_id: ids.RequestId
    now_s: float


def view_of(new: tables.Tables) -> View:
    """The look-ups for *new*, whose document was checked before."""
    document = msgspec.convert(new.document, schema.Document)
    workspaces = {
        digest: ids.WorkspaceName(name)
        for name, workspace in document.workspaces.items()
        for digest in workspace.api_key_digests
    }
    return View(new, document, workspaces)


class Front:
    """Handles requests; safe to call from many threads."""

    def __init__(
        self,
        hosting: kernel.Kernel,
        count: counters.Counters,
        tracer: traces.Tracer,
    ) -> None:
        self._kernel = hosting
        self._count = count
        self._tracer = tracer
        self._view: View | None = None
        self.draining = threading.Event()

    def put_in_force(self, view: View) -> None:
        """Use *view* for all requests from now on."""
        self._view = view

    def handle(
        self, request: message.Request, exchange: server.Exchange
    ) -> message.Response | message.Detach:
        """Serve one request; failures become OpenAI's error body."""
        if request.path == '/healthz':
            return message.Response(200, b'{"status":"ok"}')
        if request.path == '/readyz':
            return self._readiness()
        incoming = Incoming(
            request,
            exchange,
            ids.RequestId(ids.new_random_id('req')),
            time.monotonic(),
        )
        result = self._authenticated(incoming)
        if isinstance(result, outcome.Failure):
            return self._refusal(incoming, result)
        return result

    def _readiness(self) -> message.Response:
        if self._view is None:
            return message.Response(503, b'{"status":"no configuration"}')
        if self.draining.is_set():
            return message.Response(503, b'{"status":"draining"}')
        return message.Response(200, b'{"status":"ready"}')

    def _refusal(
        self, incoming: Incoming, failure: outcome.Failure
    ) -> message.Response:
        self._count.add(f'requests.refused.{failure.reason.value}')
        return message.Response(
            replies.status_of(failure.reason),
            replies.error_body(failure),
            headers=replies.headers(
                incoming.request_id, outcome.Verdict.NOT_RUN, failure
            ),
        )

    def _authenticated(
        self, incoming: Incoming
    ) -> message.Response | message.Detach | outcome.Failure:
        view = self._view
        if view is None:
            return outcome.Failure(
                outcome.Reason.NO_CONFIGURATION,
                'this router has no configuration yet',
                retry_after_s=1.0,
            )
        workspace = _workspace_of(view, incoming.request)
        if workspace is None:
            return outcome.Failure(
                outcome.Reason.UNAUTHENTICATED,
                'Authorization must be "Bearer KEY" with a known API key',
            )
        return self._route(incoming, view, workspace)

    def _route(
        self, incoming: Incoming, view: View, workspace: ids.WorkspaceName
    ) -> message.Response | message.Detach | outcome.Failure:
        request = incoming.request
        if request.path.startswith(SERVICES_PREFIX):
            return self._plain_call(incoming, view, workspace)
        route = f'{request.method} {request.path}'
        if route == 'GET /v1/models':
            return _model_list(view)
        if route == 'GET /v1/addresses':
            return _address_list(view)
        if route == 'POST /v1/chat/completions':
            return self._model_call(incoming, view, workspace, chat=True)
        if route == 'POST /v1/completions':
            return self._model_call(incoming, view, workspace, chat=False)
        return outcome.Failure(
            outcome.Reason.NOT_FOUND, f'nothing is served at {route}'
        )

    def _model_call(
        self,
        incoming: Incoming,
        view: View,
        workspace: ids.WorkspaceName,
        chat: bool,
    ) -> message.Detach | outcome.Failure:
        body = _object_of(incoming.request.body)
        if isinstance(body, outcome.Failure):
            return body
        wanted = _checked_request(body, chat)
        if isinstance(wanted, outcome.Failure):
            return wanted
        model = view.document.models.get(wanted.model)
        if model is None:
            names = ', '.join(sorted(view.document.models))
            return outcome.Failure(
                outcome.Reason.NOT_FOUND,
                f'model: got {wanted.model!r}, expected one of: {names}',
            )
        build = functools.partial(
            self._build_call, incoming, workspace, model, wanted, body, chat
        )
        return self._hand_over(incoming, build)

    def _build_call(
        self,
        incoming: Incoming,
        workspace: ids.WorkspaceName,
        model: schema.Model,
        wanted: ModelRequest,
        body: dict[str, typing.Any],
        chat: bool,
    ) -> relay_call.ModelCall | outcome.Failure:
        headers = incoming.request.headers
        timing = _timing_of(headers, incoming.now_s)
        if isinstance(timing, outcome.Failure):
            return timing
        resume = _resume_of(headers)
        if isinstance(resume, outcome.Failure):
            return resume
        request_id, resume_from = incoming.request_id, 0
        if resume is not None:
            request_id, resume_from = resume[0], resume[1] + 1
        parent = traces.context_from(headers)
        span = self._tracer.start(
            'request',
            parent,
            {
                'guavachute.request': request_id,
                'guavachute.workspace': workspace,
                'guavachute.model': wanted.model,
            },
        )
        return relay_call.ModelCall(
            request_id=request_id,
            workspace=workspace,
            model=ids.ModelName(wanted.model),
            pool=ids.PoolName(model.pool),
            chat=chat,
            streamed=wanted.stream,
            body=body,
            prompt=prompt_text(wanted),
            priority=timing.priority,
            deadline_s=timing.deadline_s,
            received_s=incoming.now_s,
            resume_from=resume_from,
            caller=_caller_of(incoming, self.draining.is_set()),
            span=span,
            context=traces.context_of(span, parent),
        )

    def _hand_over(
        self,
        incoming: Incoming,
        build: typing.Callable[[], relay_call.ModelCall | outcome.Failure],
    ) -> message.Detach | outcome.Failure:
        call = build()
        if isinstance(call, outcome.Failure):
            return call
        self._kernel.send('relay', call)
        return message.DETACH

    def _plain_call(
        self, incoming: Incoming, view: View, workspace: ids.WorkspaceName
    ) -> message.Detach | outcome.Failure:
        request = incoming.request
        rest = request.path.removeprefix(SERVICES_PREFIX)
        name, _, path = rest.partition('/')
        service = view.document.services.get(name)
        if service is None:
            names = ', '.join(sorted(view.document.services)) or 'none'
            return outcome.Failure(
                outcome.Reason.NOT_FOUND,
                f'service: got {name!r}, expected one of: {names}',
            )
        timing = _timing_of(request.headers, incoming.now_s)
        if isinstance(timing, outcome.Failure):
            return timing
        idempotent = is_idempotent(service, request.method, f'/{path}')
        key = request.headers.get('idempotency-key', '')
        if not idempotent and not key:
            return outcome.Failure(
                outcome.Reason.KEY_MISSING,
                f'{request.method} /{path} is not idempotent: send an '
                'Idempotency-Key header',
            )
        parent = traces.context_from(request.headers)
        span = self._tracer.start(
            'request',
            parent,
            {
                'guavachute.request': incoming.request_id,
                'guavachute.workspace': workspace,
                'guavachute.service': name,
            },
        )
        self._kernel.send(
            'plain-calls',
            plain_calls.PlainCall(
                request_id=incoming.request_id,
                workspace=workspace,
                pool=ids.PoolName(service.pool),
                request=dataclasses.replace(request, path=f'/{path}'),
                idempotency_key=None if idempotent else key,
                deadline_s=min(
                    timing.deadline_s, incoming.now_s + service.timeout_s
                ),
                caller=_caller_of(incoming, self.draining.is_set()),
                span=span,
                context=traces.context_of(span, parent),
            ),
        )
        return message.DETACH


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """When a request must be answered and how urgent it is."""

    deadline_s: float
    priority: int


def prompt_text(wanted: ModelRequest) -> str:
    """The prompt as one text, for counting and for prefix affinity."""
    if wanted.messages is None:
        return str(wanted.prompt)
    return '\n'.join(
        f'{one.role}: {_content_text(one.content)}' for one in wanted.messages
    )


def is_idempotent(service: schema.Service, method: str, path: str) -> bool:
    """Whether the call may be sent twice; by default only reads may."""
    for call in service.calls:
        if call.method == method and path.startswith(call.path_prefix):
            return call.idempotent
    return method in ('GET', 'HEAD', 'OPTIONS')


def _content_text(content: typing.Any) -> str:
    if isinstance(content, list):
        return ''.join(
            str(part.get('text', '')) if isinstance(part, dict) else str(part)
            for part in content
        )
    return '' if content is None else str(content)


def _workspace_of(
    view: View, request: message.Request
) -> ids.WorkspaceName | None:
    given = request.headers.get('authorization', '')
    if not given.lower().startswith(BEARER):
        return None
    key = given[len(BEARER) :].strip()
    digest = hashlib.sha256(key.encode('latin-1')).hexdigest()
    return view.workspaces.get(digest)


def _object_of(body: bytes) -> dict[str, typing.Any] | outcome.Failure:
    return message.decode_json(body, dict[str, typing.Any])


def _checked_request(
    body: dict[str, typing.Any], chat: bool
) -> ModelRequest | outcome.Failure:
    try:
        wanted = msgspec.convert(body, ModelRequest)
    except msgspec.ValidationError as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, str(error))
    if chat and not wanted.messages:
        return _bad('messages', wanted.messages, 'a list of messages')
    if not chat and not isinstance(wanted.prompt, str):
        return _bad('prompt', wanted.prompt, 'a string')
    if wanted.n not in (None, 1):
        return _bad('n', wanted.n, '1; ask again for another answer')
    return wanted


def _bad(name: str, value: typing.Any, expected: str) -> outcome.Failure:
    shown = repr(value)[:60]
    return outcome.Failure(
        outcome.Reason.BAD_REQUEST, f'{name}: got {shown}, expected {expected}'
    )


def _timing_of(
    headers: typing.Mapping[str, str], now_s: float
) -> Timing | outcome.Failure:
    deadline = headers.get('x-deadline-s', str(DEFAULT_DEADLINE_S))
    priority = headers.get('x-priority', str(DEFAULT_PRIORITY))
    try:
        left_s = float(deadline)
    except ValueError:
        left_s = 0.0
    if not 0 < left_s <= MAX_DEADLINE_S:
        return _bad(
            'X-Deadline-S', deadline, f'seconds, up to {MAX_DEADLINE_S:g}'
        )
    if priority not in ('0', '1', '2'):
        return _bad('X-Priority', priority, f'0 (first) to {LAST_PRIORITY}')
    return Timing(now_s + left_s, int(priority))


def _resume_of(
    headers: typing.Mapping[str, str],
) -> tuple[ids.RequestId, int] | None | outcome.Failure:
    text = headers.get('last-event-id')
    if text is None:
        return None
    parsed = answer.parse_event_id(text)
    if parsed is None:
        return _bad('Last-Event-ID', text, 'the id of an event of ours')
    return parsed


def _caller_of(incoming: Incoming, draining: bool) -> downstream.Downstream:
    keeps_alive = incoming.exchange.keeps_alive and not draining
    return downstream.Downstream(incoming.exchange.take(), keeps_alive)


def _model_list(view: View) -> message.Response:
    models = [ListedModel(name) for name in sorted(view.document.models)]
    return message.json_response(ModelList(models))


def _address_list(view: View) -> message.Response:
    live = [
        Address(entry.address, 1.0, entry.failure_domain)
        for entry in view.tables.routers
        if not entry.leaving
    ]
    ttl_s = view.document.policy.address_ttl_s
    return message.json_response(Addresses(live, ttl_s))
