"""Decides when the requests of callers begin, within their quotas."""

import random
import typing

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

    def submit(self, started: exchange.Exchange) -> None:
        """Dispatch or refuse a request, now or later."""
        workspace = started.workspace
        wait_s = 0.0
        if workspace is not None:
            now_s = self._loop.now_s
            wait_s = self._quotas.consume(
                workspace,
                quota.cost(workspace, started.call.total_tokens),
                now_s,
                priority=started.route.priority,
                kind=started.route.name,
                awaited_s=(started.expires_at_s - now_s) * AWAITED_SHARE,
            )
        if workspace is None or not wait_s:
            started.dispatch()
            return
        self._refuse_quota(started, workspace, wait_s)

    def _refuse_quota(
        self,
        started: exchange.Exchange,
        workspace: configuration.Workspace,
        wait_s: float,
    ) -> None:
        now_s = self._loop.now_s
        view = self._quotas.view(workspace.name, now_s)
        journal.event(
            'admission',
            outcome='refused',
            request=started.call.attempt_id,
            route=started.route.name,
            workspace=workspace.name,
            cost=quota.cost(workspace, started.call.total_tokens),
            waited_s=round(now_s - started.arrived_s, 3),
            left_s=round(started.expires_at_s - now_s, 3),
            retry_after_s=round(wait_s, 3),
            **(view._asdict() if view else {}),
        )
        self._metrics.add('refused_429')
        started.refuse(
            429,
            outcome.Failure(
                outcome.Reason.LIMIT,
                f'the quota of {workspace.name} is used up',
                wait_s,
            ),
        )

    def handle_ended(self, started: exchange.Exchange, verdict: str) -> None:
        """Handle the end of a request, whether it began or not.

        An answer 503 refunds the quota, as the request has not run.
        """
        if verdict == 'own 503' and started.workspace is not None:
            self._quotas.refund(
                started.workspace,
                quota.cost(started.workspace, started.call.total_tokens),
            )

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
