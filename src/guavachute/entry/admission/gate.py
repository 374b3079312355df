"""Decides when the requests of callers begin, within their quotas."""

import typing

from guavachute.decide.ingress import quota
from guavachute.domain import site as domain_site
from guavachute.entry import exchange
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute.entry import peers as entry_peers
from guavachute import ids
from guavachute.observe import metrics as observe_metrics
from guavachute import outcome


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
        self._quotas = quota.Quotas(site.bounds.quota_allowance, loop.now_s)

    def submit(self, started: exchange.Exchange) -> None:
        """Dispatch or refuse a request, now or later."""
        workspace = started.workspace
        wait_s = 0.0
        if workspace is not None:
            wait_s = self._quotas.consume(
                workspace,
                quota.cost(workspace, started.call.total_tokens),
                self._loop.now_s,
            )
        if workspace is None or not wait_s:
            started.dispatch()
            return
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

    def expire(self) -> None:
        """Discard expired state; called about every half second."""
        runs, silent = self._peers.table.counted_runs(quota.SILENT_AFTER_S)
        self._quotas.set_peers(quota.PeerRuns(runs, silent), self._loop.now_s)
