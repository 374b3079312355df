"""Decides when the requests of callers begin, within their quotas."""

import itertools
import random
import re
import typing

from guavachute.decide.ingress.admission import pace
from guavachute.decide.ingress.admission import waiting
from guavachute.decide.ingress import quota
from guavachute.domain import configuration
from guavachute.domain import site as domain_site
from guavachute.entry import exchange
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute.entry import peers as entry_peers
from guavachute import ids
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics
from guavachute import outcome

AWAITED_SHARE = 1 / 3
"""Callers wait before a retry for at most this share of their remaining
time."""

WAITED_SHARE = 0.5
"""A request waits for its quota for at most this share of its objective, so
that it can still be served in time."""

RECHECK_S = 0.025
"""Interval at which the requests that wait are looked at."""

MAX_GAUGED_ROUTES = 32


class Gate:
    """Lets requests begin, or refuses them.

    Each submitted request is dispatched or refused exactly once, unless it
    ends before.
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        state: known_state.KnownState,
        peers: entry_peers.Peers,
        metrics: observe_metrics.Metrics,
    ) -> None:
        self._loop = loop
        self._state = state
        self._peers = peers
        self._metrics = metrics
        self._quotas = quota.Quotas(
            site.bounds.quota_allowance, loop.now_s, random.random
        )
        self._charged: dict[
            exchange.Exchange, tuple[configuration.Workspace, float]
        ] = {}
        self._waiting: waiting.WaitingQueue[exchange.Exchange]
        self._waiting = waiting.WaitingQueue()
        self._numbers = itertools.count()
        self._timer: entry_loop.Timer | None = None
        self._gauged_routes: set[str] = set()
        self._knows_peers = False
        metrics.gauge('admission_waiting', lambda: len(self._waiting))
        metrics.gauge('admission_waiting_bytes', lambda: self._waiting.bytes)

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
            started.dispatch()
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
            first_s=waiting.first_sent_s(
                started.arrived_s,
                started.expires_at_s,
                started.route.timeout_s,
            ),
            cost=ask.cost,
            size=len(started.call.body),
            latest_s=min(
                started.arrived_s + WAITED_SHARE * started.route.objective_s,
                started.expires_at_s - exchange.MIN_SEND_S,
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
            self._refuse_waiting(other.item)
        if self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        self._timer = self._loop.call_after(RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        """Begin or refuse those whose time has come."""
        self._timer = None
        for name in self._waiting.groups():
            self._recheck_group(name)
        if len(self._waiting):
            self._schedule()

    def _recheck_group(self, name: str) -> None:
        """Look at the requests of one workspace, in their order."""
        now_s = self._loop.now_s
        current = self._state.configuration
        before = 0.0
        for place in self._waiting.places(name):
            started = place.item
            workspace = started.workspace
            assert workspace is not None
            if current is not None:
                # The quota may have changed while the request waited.
                workspace = current.workspaces.get(workspace.name, workspace)
            bucket = self._quotas.bucket(workspace, now_s)
            ask = self._ask(started, workspace)
            if bucket is None or (
                (not before or not bucket.uses_common_lane_only(ask))
                and bucket.admit(ask, now_s)
            ):
                self._waiting.remove(started)
                if bucket is not None:
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
        started.dispatch()

    def _refuse_waiting(self, started: exchange.Exchange) -> None:
        workspace = started.workspace
        assert workspace is not None
        bucket = self._quotas.bucket(workspace, self._loop.now_s)
        assert bucket is not None
        self._refuse(started, workspace, bucket)

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
            return [
                place.item.arrived_s
                for place in self._waiting.all()
                if place.item.route.name == route
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

        :param run_age_s: how long ago that run started
        """
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

        :param source: a node, or a region
        :param nodes: how many nodes *queued* is the sum of
        """
        self._quotas.merge_queued(source, nodes, queued, self._loop.now_s)

    def expire(self) -> None:
        """Discard expired state; called about every half second."""
        runs, silent = self._peers.table.counted_runs(quota.SILENT_AFTER_S)
        self._quotas.set_peers(quota.PeerRuns(runs, silent), self._loop.now_s)
