"""Decides when requests begin, by their quotas and the capacity."""

import itertools
import math
import random
import re
import typing

from guavachute.decide.ingress.admission import pace
from guavachute.decide.ingress.admission import shortage
from guavachute.decide.ingress.admission import waiting
from guavachute.decide.ingress import quota
from guavachute.decide.requests import demand_shares
from guavachute.domain import configuration
from guavachute.domain import site as domain_site
from guavachute.entry.dispatch import refusals
from guavachute.entry import exchange
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute.entry import peers as entry_peers
from guavachute import ids
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics
from guavachute import outcome
from guavachute.wire import requests as wire_requests
from guavachute.wire import untrusted

AWAITED_SHARE = 1 / 3
"""Callers wait before a retry for at most this share of their remaining
time."""

WAITED_SHARE = 0.5
"""A request waits for its quota for at most this share of its objective, so
that it can still be served in time."""

RECHECK_S = 0.025
"""Interval at which the requests that wait are looked at."""

ESTIMATE_TTL_S = 0.05
"""An expected time to first token is used again for so long if it is far below
the objective, as all endpoints of the service are compared for it."""

CALM_SHARE = 0.25
"""It is far below the objective up to this share of it."""

RELEASE_CHANCE = 0.5
"""Chance for each held request, when they are looked at and there is capacity,
that one begins. All nodes see the same free capacity, with figures up to 3 s
old, and would fill it at once."""

SHORT_TTL_S = 10.0
"""For so long after a service was short, the use by workspaces is recorded."""

MAX_GAUGED_ROUTES = 32

StopRefusal = typing.Callable[[ids.ServiceName], outcome.Failure | None]


class _Service:
    """What the gate knows of a service.

    :ivar first_token_s: the latest estimate
    """

    def __init__(self) -> None:
        self.shortage = shortage.ServiceShortage()
        self.held: dict[
            ids.RequestId, tuple[exchange.Exchange, shortage.Ask]
        ] = {}
        self.first_token_s = 0.0
        self.estimated_s = -math.inf
        self.short_s = -math.inf


def _first_sent_s(started: exchange.Exchange) -> float:
    return waiting.first_sent_s(
        started.arrived_s, started.expires_at_s, started.route.timeout_s
    )


def _has_token_quota(workspace: configuration.Workspace) -> bool:
    return workspace.rate_per_s > 0 and workspace.counts_tokens


class Gate:
    """Lets requests begin, or refuses them.

    Each submitted request is dispatched or refused exactly once, unless it
    ends before.

    :param stop_refusal: why a request of a service can't begin in a stop of
        the node; None if it can
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        state: known_state.KnownState,
        peers: entry_peers.Peers,
        metrics: observe_metrics.Metrics,
        stop_refusal: StopRefusal = lambda _: None,
    ) -> None:
        self._stop_refusal = stop_refusal
        self._loop = loop
        self._state = state
        self._peers = peers
        self._metrics = metrics
        self._draw = random.random
        self._quotas = quota.Quotas(
            site.bounds.quota_allowance, loop.now_s, self._draw
        )
        self._charged: dict[
            exchange.Exchange, tuple[configuration.Workspace, float]
        ] = {}
        self._waiting: waiting.WaitingQueue[exchange.Exchange]
        self._waiting = waiting.WaitingQueue()
        self._services: dict[ids.ServiceName, _Service] = {}
        self._held: dict[
            exchange.Exchange, tuple[_Service, ids.RequestId]
        ] = {}
        self._held_bytes = 0
        self._served = demand_shares.DemandShares()
        self._numbers = itertools.count()
        self._timer: entry_loop.Timer | None = None
        self._gauged_routes: set[str] = set()
        self._knows_peers = False
        metrics.gauge('admission_waiting', lambda: len(self._waiting))
        metrics.gauge('admission_waiting_bytes', lambda: self._waiting.bytes)
        metrics.gauge('admission_held', lambda: len(self._held))
        metrics.gauge('admission_held_bytes', lambda: self._held_bytes)

    def submit(self, started: exchange.Exchange) -> None:
        """Dispatch or refuse a request, now or later."""
        if not self._knows_peers:
            # Otherwise the first requests would use the whole quota.
            self._knows_peers = True
            self.expire()
        now_s = self._loop.now_s
        workspace = started.workspace
        bucket = None
        if workspace is not None:
            bucket = self._quotas.bucket(workspace, now_s)
        if workspace is None or bucket is None:
            self._start(started)
            return
        ask = self._ask(started, workspace)
        bucket.record(ask, now_s)
        has_to_queue = self._waiting.has_any(workspace.name) and (
            bucket.uses_common_lane_only(ask)
        )
        if not has_to_queue and bucket.admit(ask, now_s):
            self._begin(started, workspace, ask.cost)
            return
        self._wait_or_refuse(started, workspace, bucket)

    # -- requests that wait for their quota ----------------------------

    def _wait_or_refuse(
        self,
        started: exchange.Exchange,
        workspace: configuration.Workspace,
        bucket: quota.Bucket,
    ) -> None:
        now_s = self._loop.now_s
        ask = self._ask(started, workspace)
        place = waiting.Place(
            item=started,
            group=workspace.name,
            priority=ask.priority,
            first_s=_first_sent_s(started),
            cost=ask.cost,
            size=len(started.call.body),
            latest_s=min(
                started.arrived_s + WAITED_SHARE * started.route.objective_s,
                started.expires_at_s - refusals.MIN_SEND_S,
            ),
            number=next(self._numbers),
        )
        before = self._waiting.cost_before(place)
        expected_s = bucket.wait_s(ask, before, now_s)
        if now_s + expected_s > place.latest_s:
            self._refuse(started, workspace, bucket)
            return
        given_up = self._waiting.add(place)
        if given_up is None:
            self._refuse(started, workspace, bucket)
            return
        self._log('waits', started, workspace, bucket, expected_s=expected_s)
        self._metrics.add('admission_waits')
        self._add_gauges(started.route.name)
        for other in given_up:
            self._give_up(other.item)
        if self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        self._timer = self._loop.call_after(RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        """Begin or refuse those whose time has come."""
        self._timer = None
        self._refuse_in_stop()
        for name in self._waiting.groups():
            self._recheck_group(name)
        # An answer may bring the next request of its connection.
        for service in list(self._services.values()):
            if service.held:
                self._recheck_service(service)
        if self._timer is None and (len(self._waiting) or self._held):
            self._schedule()

    def _refuse_in_stop(self) -> None:
        """Refuse what would not begin any more if it came now."""
        for started in [
            *(place.item for place in self._waiting.all()),
            *self._held,
        ]:
            refusal = self._stop_refusal(started.service)
            if refusal is not None and (
                started in self._waiting or started in self._held
            ):
                self._waiting.remove(started)
                self._forget_held(started)
                self._metrics.add('refused_503')
                started.refuse(503, refusal)

    def _recheck_group(self, name: str) -> None:
        """Look at the requests of one workspace, in their order."""
        now_s = self._loop.now_s
        before = 0.0
        for place in self._waiting.places(name):
            started = place.item
            if started not in self._waiting:
                continue
            workspace = self._current_workspace(started)
            bucket = self._quotas.bucket(workspace, now_s)
            ask = self._ask(started, workspace)
            if bucket is None or (
                (not before or not bucket.uses_common_lane_only(ask))
                and bucket.admit(ask, now_s)
            ):
                self._waiting.remove(started)
                if bucket is None:
                    self._start(started)
                    continue
                self._log('waited', started, workspace, bucket)
                self._begin(started, workspace, ask.cost)
                continue
            if now_s + bucket.wait_s(ask, before, now_s) > place.latest_s:
                self._waiting.remove(started)
                self._refuse(started, workspace, bucket)
                continue
            before += ask.cost

    def _begin(
        self,
        started: exchange.Exchange,
        workspace: configuration.Workspace,
        cost: float,
    ) -> None:
        self._charged[started] = (workspace, cost)
        self._start(started)

    def _give_up(self, started: exchange.Exchange) -> None:
        """Refuse a request that another one took the place of."""
        workspace = self._current_workspace(started)
        bucket = self._quotas.bucket(workspace, self._loop.now_s)
        if bucket is None:
            self._start(started)
        else:
            self._refuse(started, workspace, bucket)

    def _current_workspace(
        self, started: exchange.Exchange
    ) -> configuration.Workspace:
        """The workspace, whose quota may change while a request waits."""
        workspace = started.workspace
        current = self._state.configuration
        assert workspace is not None
        if current is None:
            return workspace
        return current.workspaces.get(workspace.name, workspace)

    def _refuse(
        self,
        started: exchange.Exchange,
        workspace: configuration.Workspace,
        bucket: quota.Bucket,
    ) -> None:
        wait_s = bucket.return_after_s(
            self._ask(started, workspace), self._loop.now_s
        )
        self._log('refused', started, workspace, bucket, retry_after_s=wait_s)
        self._metrics.add('refused_429')
        started.refuse(
            429,
            outcome.Failure(
                outcome.Reason.LIMIT,
                f'the quota of {workspace.name} is used up',
                wait_s,
            ),
        )

    # -- requests that wait for capacity -------------------------------

    def _start(self, started: exchange.Exchange) -> None:
        """Dispatch a request that has its quota, unless capacity is short."""
        if not started.route.is_model:
            # There is no estimate for plain endpoints.
            started.dispatch()
            return
        now_s = self._loop.now_s
        service = self._services.get(started.service)
        if service is None:
            service = self._services[started.service] = _Service()
        workspace = started.workspace
        ask = shortage.Ask(
            ids.RequestId(str(next(self._numbers))),
            workspace.name if workspace else ids.WorkspaceName(''),
            configuration.urgency(started.route, workspace) or 0,
            started.route.name,
            float(started.call.total_tokens),
            started.route.objective_s,
            started.expires_at_s,
        )
        service.shortage.see(ask, now_s)
        first_token_s = self._first_token_s(service, started)
        if first_token_s > ask.objective_s:
            service.short_s = now_s
        verdict = service.shortage.decide(ask, first_token_s, now_s)
        if verdict is shortage.Verdict.HOLD:
            if self._hold(started, service, ask):
                return
            verdict = shortage.Verdict.REFUSE
        if verdict is shortage.Verdict.REFUSE:
            self._refuse_capacity(started, service)
            return
        older = None
        if first_token_s <= ask.objective_s or (
            not service.shortage.comes_after_others(ask, now_s)
        ):
            older = self._oldest_before(started, service, ask)
        if older is not None:
            # Otherwise newer requests overtake it until it is refused.
            self._forget_held(older[0])
            is_held = self._hold(started, service, ask)
            self._release_held(older[0], service, older[1])
            if is_held:
                return
        self._release(started, service, ask)

    def _first_token_s(
        self, service: _Service, started: exchange.Exchange
    ) -> float:
        """When the first token is expected if a request begins now."""
        now_s = self._loop.now_s
        calm_s = CALM_SHARE * started.route.objective_s
        if (
            now_s - service.estimated_s > ESTIMATE_TTL_S
            or service.first_token_s > calm_s
        ):
            # Without an endpoint, the exchange itself waits for one.
            service.first_token_s = started.expected_first_token_s() or 0.0
            service.estimated_s = now_s
        return service.first_token_s

    def _release(
        self,
        started: exchange.Exchange,
        service: _Service,
        ask: shortage.Ask,
    ) -> None:
        now_s = self._loop.now_s
        workspace = started.workspace
        # Other nodes report use in the unit of the quota, if there is one.
        if (
            now_s - service.short_s <= SHORT_TTL_S
            and workspace is not None
            and _has_token_quota(workspace)
        ):
            service.shortage.record_begun(ask.workspace, ask.tokens, now_s)
        started.dispatch()

    def _hold(
        self,
        started: exchange.Exchange,
        service: _Service,
        ask: shortage.Ask,
    ) -> bool:
        """Hold a request; False if there is no room for it."""
        size = len(started.call.body)
        if self._held_bytes + size > waiting.MAX_BYTES or (
            not service.shortage.hold(ask, self._loop.now_s)
        ):
            return False
        self._held_bytes += size
        self._held[started] = (service, ask.request_id)
        service.held[ask.request_id] = (started, ask)
        self._log_capacity('held', started, service)
        self._metrics.add('admission_holds')
        self._add_gauges(started.route.name)
        if self._timer is None:
            self._schedule()
        return True

    def _oldest_before(
        self,
        started: exchange.Exchange,
        service: _Service,
        ask: shortage.Ask,
    ) -> tuple[exchange.Exchange, shortage.Ask] | None:
        """The held request that was first sent longest before *started*.

        Only requests of the same workspace and priority that can still meet
        their deadline are regarded.
        """
        expected_s = self._loop.now_s + service.first_token_s
        first_s = _first_sent_s(started)
        return min(
            (
                held
                for held in service.held.values()
                if held[1].workspace == ask.workspace
                and held[1].priority == ask.priority
                and held[1].expires_s >= expected_s
                and _first_sent_s(held[0]) < first_s
            ),
            key=lambda held: _first_sent_s(held[0]),
            default=None,
        )

    def _release_held(
        self,
        started: exchange.Exchange,
        service: _Service,
        ask: shortage.Ask,
    ) -> None:
        self._forget_held(started)
        self._log_capacity('released', started, service)
        self._release(started, service, ask)
        # The next release depends on the capacity that this one leaves.
        service.estimated_s = -math.inf

    def _forget_held(self, started: exchange.Exchange) -> None:
        held = self._held.pop(started, None)
        if held is not None:
            service, request_id = held
            service.shortage.cancel(request_id)
            del service.held[request_id]
            self._held_bytes -= len(started.call.body)

    def _recheck_service(self, service: _Service) -> None:
        """Begin or refuse what is held of one service."""
        now_s = self._loop.now_s
        for ask in service.shortage.expire(now_s):
            if ask.request_id in service.held:
                started = service.held[ask.request_id][0]
                self._forget_held(started)
                self._refuse_capacity(started, service)
        for _ in range(len(service.held)):
            first = service.shortage.first()
            if first is None:
                return
            started = service.held[first.request_id][0]
            first_token_s = self._first_token_s(service, started)
            if first_token_s > first.objective_s and (
                service.shortage.comes_after_others(first, now_s)
                or now_s + first_token_s > first.expires_s
            ):
                break
            if self._draw() <= RELEASE_CHANCE:
                following = service.shortage.next(now_s)
                assert following is not None
                started = service.held[following.request_id][0]
                self._release_held(started, service, following)
        first_token_s = service.first_token_s
        for started, ask in list(service.held.values()):
            if (
                ask.request_id in service.held
                and now_s + first_token_s > ask.expires_s
            ):
                # The estimate may be that of a much larger request.
                own_s = started.expected_first_token_s() or 0.0
                if now_s + own_s <= ask.expires_s:
                    continue
                service.first_token_s, service.estimated_s = own_s, now_s
                self._forget_held(started)
                self._refuse_capacity(started, service)

    def _refuse_capacity(
        self, started: exchange.Exchange, service: _Service
    ) -> None:
        wait_s = shortage.retry_after_s(
            service.first_token_s, started.route.objective_s, self._draw()
        )
        self._log_capacity('refused', started, service, retry_after_s=wait_s)
        self._metrics.add('refused_503')
        started.refuse(
            503,
            outcome.Failure(
                outcome.Reason.OVERLOADED,
                f'the first token would take {service.first_token_s:.2f} s',
                wait_s,
            ),
        )

    def _log_capacity(
        self,
        result: str,
        started: exchange.Exchange,
        service: _Service,
        **times_s: float,
    ) -> None:
        now_s = self._loop.now_s
        journal.event(
            'admission',
            outcome=result,
            request=started.call.attempt_id,
            route=started.route.name,
            service=started.service,
            workspace=started.workspace.name if started.workspace else None,
            priority=started.route.priority,
            first_token_s=round(service.first_token_s, 4),
            age_s=round(now_s - service.estimated_s, 3),
            objective_s=started.route.objective_s,
            waited_s=round(now_s - started.arrived_s, 3),
            left_s=round(started.expires_at_s - now_s, 3),
            held=len(service.held),
            **{name: round(time_s, 3) for name, time_s in times_s.items()},
        )

    def _ask(
        self, started: exchange.Exchange, workspace: configuration.Workspace
    ) -> pace.Ask:
        left_s = started.expires_at_s - self._loop.now_s
        return pace.Ask(
            quota.cost(workspace, started.call.total_tokens),
            priority=started.route.priority,
            kind=started.route.name,
            awaited_s=left_s * AWAITED_SHARE,
        )

    def _log(
        self,
        result: str,
        started: exchange.Exchange,
        workspace: configuration.Workspace,
        bucket: quota.Bucket,
        **times_s: float,
    ) -> None:
        now_s = self._loop.now_s
        journal.event(
            'admission',
            outcome=result,
            request=started.call.attempt_id,
            route=started.route.name,
            workspace=workspace.name,
            cost=quota.cost(workspace, started.call.total_tokens),
            waited_s=round(now_s - started.arrived_s, 3),
            left_s=round(started.expires_at_s - now_s, 3),
            waiting=len(self._waiting),
            **{name: round(time_s, 3) for name, time_s in times_s.items()},
            **bucket.view(now_s)._asdict(),
        )

    def _add_gauges(self, route: str) -> None:
        """Show the requests of a route that wait, and the longest wait."""
        if (
            route in self._gauged_routes
            or len(self._gauged_routes) >= MAX_GAUGED_ROUTES
        ):
            return
        self._gauged_routes.add(route)
        suffix = re.sub(r'[^a-zA-Z0-9]', '_', route)

        def arrivals() -> list[float]:
            items = [place.item for place in self._waiting.all()]
            return [
                item.arrived_s
                for item in [*items, *self._held]
                if item.route.name == route
            ]

        self._metrics.gauge(
            f'admission_waiting_{suffix}', lambda: len(arrivals())
        )
        self._metrics.gauge(
            f'admission_wait_seconds_{suffix}',
            lambda: (
                self._loop.now_s - min(arrivals(), default=self._loop.now_s)
            ),
        )

    def handle_ended(self, started: exchange.Exchange, verdict: str) -> None:
        """Handle the end of a request, whether it began or not.

        The quota is refunded if the request has not run: it was answered 503,
        or it was not sent to any endpoint before its caller left.
        """
        self._waiting.remove(started)
        self._forget_held(started)
        charged = self._charged.pop(started, None)
        if charged is not None and (
            verdict == 'own 503' or not started.attempts
        ):
            self._quotas.refund(*charged)

    # -- the other nodes -----------------------------------------------

    def consumption(
        self,
    ) -> dict[ids.WorkspaceName, tuple[float, float, float]]:
        """What this run admitted of each quota, for the other nodes.

        The items are the total since its start, the rate per second and the
        level of the quota as seen here.
        """
        return dict(self._quotas.consumption(self._loop.now_s))

    def merge_consumption(
        self,
        source: quota.Source,
        spent: typing.Mapping[ids.WorkspaceName, tuple[float, float, float]],
        run_age_s: float,
    ) -> None:
        """Merge what a run of another node has admitted of the quotas.

        Items that are not finite or out of bounds are ignored.

        :param run_age_s: how long ago that run started
        """
        spent = {
            name: (total, per_s, level)
            for name, (total, per_s, level) in spent.items()
            if untrusted.is_amount(total, per_s, abs(level))
        }
        self._charge_elsewhere(source, spent)
        current = self._state.configuration
        if current is None:
            return
        for name, item in spent.items():
            workspace = current.workspaces.get(name)
            if workspace is not None:
                self._quotas.merge(
                    source,
                    workspace,
                    quota.Consumption(*item),
                    run_age_s,
                    self._loop.now_s,
                )

    def _charge_elsewhere(
        self,
        source: quota.Source,
        spent: typing.Mapping[ids.WorkspaceName, tuple[float, float, float]],
    ) -> None:
        """Record for services that are short what others have admitted.

        Consumption is not reported by service, so all services count it.
        """
        oldest_s = self._loop.now_s - SHORT_TTL_S
        short = [
            service.shortage
            for service in self._services.values()
            if service.short_s >= oldest_s
        ]
        current = self._state.configuration
        workspaces = {} if current is None else current.workspaces
        # Recorded also without a shortage: only differences are charged.
        served = self._served.record_sum(
            wire_requests.DemandSum(
                source=source.admitted_by,
                demand={},
                served_tokens={
                    str(name): item[0]
                    for name, item in spent.items()
                    if name in workspaces
                    and _has_token_quota(workspaces[name])
                },
            ),
            self._loop.now_s,
        )
        for item in short:
            item.charge_elsewhere(served, self._loop.now_s)

    def queued(self) -> dict[ids.WorkspaceName, float]:
        """What is asked per second here of the quotas that are short."""
        return self._quotas.queued(self._loop.now_s)

    def merge_queued(
        self,
        source: str,
        nodes: int,
        queued: typing.Mapping[ids.WorkspaceName, float],
    ) -> None:
        """Merge what is asked elsewhere of the quotas that are short.

        Items that are not finite or out of bounds are ignored.

        :param source: a node, or a region
        :param nodes: how many nodes *queued* is the sum of
        """
        amounts = {
            name: per_s
            for name, per_s in queued.items()
            if untrusted.is_amount(per_s)
        }
        self._quotas.merge_queued(source, nodes, amounts, self._loop.now_s)

    def expire(self) -> None:
        """Discard expired state; called about every half second."""
        runs, silent = self._peers.table.counted_runs(quota.RESERVED_AFTER_S)
        self._quotas.set_peers(quota.PeerRuns(runs, silent), self._loop.now_s)
