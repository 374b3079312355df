"""The callers' HTTP interface of a router.

Runs in cheroot's worker threads: authenticates and checks a request, then
hands it and its connection to the relay or to the plain calls. The threads
share one immutable ``LookupTables``, which is replaced when the tables
change.
"""

import dataclasses
import functools
import itertools
import threading
import time
import typing

from guavachute.document import schema
from guavachute.http import message
from guavachute.http import server
from guavachute import ids
from guavachute.kernel import kernel
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute import outcome
from guavachute.services import lookup_tables
from guavachute.services import plain_calls
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import downstream
from guavachute.services import replies
from guavachute.services import request_checks

SERVICES_PREFIX = '/v1/services/'


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """One request that the front handles.

    :ivar now_s: when it arrived, monotonic
    """

    request: message.Request
    exchange: server.Exchange
    request_id: ids.RequestId
    now_s: float


class Front:
    """Handles requests; safe to call from many threads.

    :param region: this router's
    :ivar draining: set by the owner when the router stops accepting new
        callers
    """

    def __init__(
        self,
        hosting: kernel.Kernel,
        region: str,
        count: counters.Counters,
        tracer: traces.Tracer,
    ) -> None:
        self._kernel = hosting
        self._region = region
        self._address_queries = itertools.count()
        self._count = count
        self._tracer = tracer
        self._lookup: lookup_tables.LookupTables | None = None
        self.draining = threading.Event()

    def set_tables(self, lookup: lookup_tables.LookupTables) -> None:
        """Use the tables in *lookup* for all requests from now on."""
        self._lookup = lookup

    def handle(
        self, request: message.Request, exchange: server.Exchange
    ) -> message.Response | message.Detach:
        """Answer one request, or detach its connection.

        A detached request is answered by the relay or the plain calls.
        Failures are answered with OpenAI's error body.
        """
        if request.path == '/healthz':
            return message.Response(200, b'{"status":"ok"}')
        if request.path == '/readyz':
            return self._readiness()
        incoming = IncomingRequest(
            request,
            exchange,
            ids.RequestId(ids.new_random_id('req')),
            time.monotonic(),
        )
        result = self._authenticate(incoming)
        if isinstance(result, outcome.Failure):
            return self._reject(incoming, result)
        return result

    def _readiness(self) -> message.Response:
        if self._lookup is None:
            return message.Response(503, b'{"status":"no configuration"}')
        if self.draining.is_set():
            return message.Response(503, b'{"status":"draining"}')
        return message.Response(200, b'{"status":"ready"}')

    def _reject(
        self, incoming: IncomingRequest, failure: outcome.Failure
    ) -> message.Response:
        self._count.add(f'requests.refused.{failure.reason.value}')
        return message.Response(
            replies.status_of(failure.reason),
            replies.error_body(failure),
            headers=replies.headers(
                incoming.request_id, outcome.Verdict.NOT_RUN, failure
            ),
        )

    def _authenticate(
        self, incoming: IncomingRequest
    ) -> message.Response | message.Detach | outcome.Failure:
        lookup = self._lookup
        if lookup is None:
            return outcome.Failure(
                outcome.Reason.NO_CONFIGURATION,
                'this router has no configuration yet',
                retry_after_s=1.0,
            )
        workspace = lookup_tables.workspace_of(lookup, incoming.request)
        if workspace is None:
            return outcome.Failure(
                outcome.Reason.UNAUTHENTICATED,
                'Authorization must be "Bearer KEY" with a known API key',
            )
        return self._route(incoming, lookup, workspace)

    def _route(
        self,
        incoming: IncomingRequest,
        lookup: lookup_tables.LookupTables,
        workspace: ids.WorkspaceName,
    ) -> message.Response | message.Detach | outcome.Failure:
        request = incoming.request
        if request.path.startswith(SERVICES_PREFIX):
            return self._plain_call(incoming, lookup, workspace)
        route = f'{request.method} {request.path}'
        if route == 'GET /v1/models':
            return lookup_tables.model_list(lookup)
        if route == 'GET /v1/addresses':
            return lookup_tables.address_list(
                lookup,
                self._region,
                request.query,
                next(self._address_queries),
            )
        if route == 'POST /v1/chat/completions':
            return self._model_call(incoming, lookup, workspace, chat=True)
        if route == 'POST /v1/completions':
            return self._model_call(incoming, lookup, workspace, chat=False)
        return outcome.Failure(
            outcome.Reason.NOT_FOUND, f'no such method and path: {route}'
        )

    def _model_call(
        self,
        incoming: IncomingRequest,
        lookup: lookup_tables.LookupTables,
        workspace: ids.WorkspaceName,
        chat: bool,
    ) -> message.Detach | outcome.Failure:
        body = message.decode_json(
            incoming.request.body, dict[str, typing.Any]
        )
        if isinstance(body, outcome.Failure):
            return body
        model_request = request_checks.check_request(body, chat)
        if isinstance(model_request, outcome.Failure):
            return model_request
        model = lookup.document.models.get(model_request.model)
        if model is None:
            names = ', '.join(sorted(lookup.document.models))
            return outcome.Failure(
                outcome.Reason.NOT_FOUND,
                f'model: got {model_request.model!r}, '
                f'expected one of: {names}',
            )
        build = functools.partial(
            self._build_call,
            incoming,
            workspace,
            model,
            model_request,
            body,
            chat,
        )
        return self._submit(incoming, build)

    def _build_call(
        self,
        incoming: IncomingRequest,
        workspace: ids.WorkspaceName,
        model: schema.Model,
        model_request: request_checks.ModelRequest,
        body: dict[str, typing.Any],
        chat: bool,
    ) -> relay_call.ModelCall | outcome.Failure:
        headers = incoming.request.headers
        timing = request_checks.parse_timing(headers, incoming.now_s)
        if isinstance(timing, outcome.Failure):
            return timing
        resume = request_checks.parse_resume(headers)
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
                'guavachute.model': model_request.model,
            },
        )
        return relay_call.ModelCall(
            request_id=request_id,
            workspace=workspace,
            model=ids.ModelName(model_request.model),
            pool=ids.PoolName(model.pool),
            chat=chat,
            streamed=model_request.stream,
            body=body,
            prompt=request_checks.prompt_text(model_request),
            priority=timing.priority,
            deadline_s=timing.deadline_s,
            received_s=incoming.now_s,
            resume_from=resume_from,
            resume_text=model_request.resume_text
            if resume is not None
            else None,
            caller=_caller_of(incoming, self.draining.is_set()),
            span=span,
            context=traces.context_of(span, parent),
        )

    def _submit(
        self,
        incoming: IncomingRequest,
        build: typing.Callable[[], relay_call.ModelCall | outcome.Failure],
    ) -> message.Detach | outcome.Failure:
        call = build()
        if isinstance(call, outcome.Failure):
            return call
        self._kernel.send('relay', call)
        return message.DETACH

    def _plain_call(
        self,
        incoming: IncomingRequest,
        lookup: lookup_tables.LookupTables,
        workspace: ids.WorkspaceName,
    ) -> message.Detach | outcome.Failure:
        request = incoming.request
        service_path = request.path.removeprefix(SERVICES_PREFIX)
        name, _, path = service_path.partition('/')
        service = lookup.document.services.get(name)
        if service is None:
            names = ', '.join(sorted(lookup.document.services)) or 'none'
            return outcome.Failure(
                outcome.Reason.NOT_FOUND,
                f'service: got {name!r}, expected one of: {names}',
            )
        timing = request_checks.parse_timing(request.headers, incoming.now_s)
        if isinstance(timing, outcome.Failure):
            return timing
        idempotent = lookup_tables.is_idempotent(
            service, request.method, f'/{path}'
        )
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


def _caller_of(
    incoming: IncomingRequest, draining: bool
) -> downstream.Downstream:
    keeps_alive = incoming.exchange.keeps_alive and not draining
    return downstream.Downstream(incoming.exchange.detach(), keeps_alive)
