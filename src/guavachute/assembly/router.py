"""Assembles a router: the HTTP server, the relay and the table feed."""

import contextlib
import resource
import threading
import time
import typing

import msgspec

from guavachute.decide.ingress.intake import process_limits
from guavachute.decide.members import address_answer
from guavachute.document import schema
from guavachute.http import server
from guavachute import ids
from guavachute.kernel import kernel
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute.observe import traces
from guavachute import outcome
from guavachute.services import claim_client
from guavachute.services import claim_gate
from guavachute.services import engine_watch
from guavachute.services import front
from guavachute.services import lookup_tables
from guavachute.services import plain_calls
from guavachute.services.relay import messages
from guavachute.services.relay import task as relay_task
from guavachute.services import replies
from guavachute.services import request_cost
from guavachute.services import table_feed
from guavachute import settings
from guavachute.wire import requests
from guavachute.wire import tables

HAND_OVER_MARGIN_S = 2.0
"""Part of the drain limit that is reserved for handing callers over."""
POLL_INTERVAL_S = 0.05
MAX_DESCRIPTORS = 65_536
"""Descriptors that are used where the operating system allows more."""

_log = logs.logger('router')


class RouterSettings(settings.Strict, frozen=True, kw_only=True):
    """Settings of ``guavachute-router``.

    :ivar node: the id of the VM
    :ivar node_address: ``IP:PORT`` at which the VM's node process serves
        tables
    :ivar reuse_port: whether to share the port with other routers of the
        VM
    :ivar drain_limit_s: the longest drain; callers that remain shortly
        before its end are handed over
    :ivar news_delay_s: how long it takes until all routers know that
        this one is draining
    :ivar memory_mb: the memory that the process may use
    :ivar max_descriptors: limit on its open files; by default that of the
        operating system
    """

    node: str
    failure_domain: str
    region: str
    node_address: settings.AddressText
    host: settings.Host = '127.0.0.1'
    port: settings.Port = 0
    reuse_port: bool = False
    drain_limit_s: settings.Seconds = 60.0
    news_delay_s: settings.Seconds = 4.0
    memory_mb: settings.Megabytes = 512.0
    max_descriptors: settings.Descriptors | None = None
    observe: settings.Observe = settings.Observe()


class Router:
    """The services of one router process, with their own kernel."""

    def __init__(
        self,
        router_settings: RouterSettings,
        count: counters.Counters,
        tracer: traces.Tracer,
    ) -> None:
        self._settings = router_settings
        self._name = ids.new_random_id('router')
        self.count = count
        self.kernel = kernel.Kernel()
        self.relay = relay_task.Relay(
            router_settings.node,
            router_settings.failure_domain,
            router_settings.region,
            count,
            tracer,
            self._name,
            lambda message: self.feed.mailbox.send(message),
        )
        self.claims = claim_client.ClaimClient(count)
        self.plain_calls = plain_calls.PlainCalls(
            router_settings.region,
            count,
            tracer,
            claim_gate.ClaimGate(self.claims.mailbox),
        )
        self.front = front.Front(
            self.kernel, router_settings.region, count, tracer
        )
        self.server = server.Server(
            'http',
            router_settings.host,
            router_settings.port,
            self.front.handle,
            reuse_port=router_settings.reuse_port,
            limits=process_limits.for_callers(
                round(router_settings.memory_mb * process_limits.MEGABYTE),
                router_settings.max_descriptors or _descriptor_limit(),
            ),
            request_cost=request_cost.request_cost,
            count=count.add,
        )
        self.server.format_errors(
            _error_body, 'application/json', _error_headers
        )
        self._ttl_s = schema.Policy().address_ttl_s
        self.feed = table_feed.TableFeed(
            router_settings.node_address,
            count,
            self._set_tables,
            self._report,
            self._handle_message,
        )
        self.engine_watch = engine_watch.EngineWatch(self.relay.mailbox, count)
        for service in (
            self.relay,
            self.claims,
            self.plain_calls,
            self.feed,
            self.engine_watch,
        ):
            self.kernel.add(service)
        self.kernel.add(self.server)

    @property
    def address(self) -> str:
        """``IP:PORT`` at which callers connect."""
        return self.server.address

    def drain(self) -> None:
        """Drain the router; return when no request is left.

        Callers keep the addresses that they received for some time, so
        the router continues to serve until the last answer that names it
        has expired. Then it stops listening and finishes the requests
        that it has accepted. Requests that still run shortly before
        ``drain_limit_s`` are handed over, and the call returns.
        """
        end_s = time.monotonic() + self._settings.drain_limit_s
        _log.notice('draining')
        self.front.draining.set()
        self.feed.mailbox.send('report')
        expire_s = address_answer.drain_wait_s(
            self._ttl_s, self._settings.news_delay_s
        )
        _pause_until(min(time.monotonic() + expire_s, end_s))
        self.server.request_stop()
        idle = threading.Event()
        self.relay.mailbox.send(messages.NotifyWhenIdle(idle))
        hand_over_s = end_s - HAND_OVER_MARGIN_S
        while time.monotonic() < hand_over_s:
            if idle.wait(POLL_INTERVAL_S) and not self.plain_calls.active:
                _log.notice('drained')
                return
        _log.warning('drain limit reached, handing over the remaining callers')
        self.relay.mailbox.send(messages.HandOver())
        idle.wait(HAND_OVER_MARGIN_S)

    def _set_tables(self, new: tables.Tables) -> None:
        lookup = lookup_tables.build_lookup_tables(new)
        self._ttl_s = lookup.document.policy.address_ttl_s
        self.relay.mailbox.send(messages.TablesChanged(lookup))
        self.plain_calls.set_tables(new)
        self.claims.mailbox.send(claim_client.UseCommitter(new.claims_address))
        pools = {model.pool for model in lookup.document.models.values()}
        self.engine_watch.set_tables(new, pools)
        self.front.set_tables(lookup)

    def _handle_message(self, message: table_feed.IncomingMessage) -> None:
        """Send a message from other routers to the relay.

        Demand sums of this router itself are left out.
        """
        if not isinstance(message, requests.DemandSums):
            self.relay.mailbox.send(message)
            return
        for each in message.sums:
            if each.source != self._name:
                self.relay.mailbox.send(each)

    def _report(self, offset: int) -> tables.RouterReport:
        return tables.RouterReport(
            router=self._name,
            address=self.address,
            offset=offset,
            draining=self.front.draining.is_set(),
            active_requests=self.relay.active + self.plain_calls.active,
            used_tokens=self.relay.used_tokens,
            demand=self.relay.demand,
        )


@contextlib.contextmanager
def running(router_settings: RouterSettings) -> typing.Iterator[Router]:
    """Run a router for the duration of the block.

    Leaving the block doesn't drain the router: call :meth:`Router.drain`
    before.
    """
    observe = router_settings.observe
    count = counters.connect(observe.statsd, 'guavachute.router')
    with traces.exporting('guavachute-router', observe.traces) as tracer:
        router = Router(router_settings, count, tracer)
        with router.kernel.running():
            yield router


def _pause_until(end_s: float) -> None:
    while time.monotonic() < end_s:
        time.sleep(POLL_INTERVAL_S)


def _descriptor_limit() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft < 0 else min(soft, MAX_DESCRIPTORS)


def _error_body(status: int, detail: str) -> bytes:
    code, kind = outcome.Reason.BAD_REQUEST, 'invalid_request_error'
    if status == 413:
        code = outcome.Reason.BODY_TOO_LARGE
    elif status == 503:
        code, kind = outcome.Reason.NO_CAPACITY, 'server_error'
    error = replies.ErrorDetail(detail, kind, code.value)
    return msgspec.json.encode(replies.ErrorBody(error))


def _error_headers() -> list[tuple[bytes, bytes]]:
    request_id = ids.new_random_id('req')
    lines = replies.headers(request_id, outcome.Verdict.NOT_RUN)
    return [(name.encode(), value.encode()) for name, value in lines.items()]
