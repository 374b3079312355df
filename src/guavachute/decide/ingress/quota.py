"""Enforces the quotas of workspaces over all nodes together.

Each node keeps a token bucket for the whole quota of each workspace. It
deducts what it admits at once, and what other nodes admit when they
report it. Between two reports of a node, the node is assumed to
continue at its latest rate; otherwise all nodes would consume the same
refill. For each node that may serve callers but sends no reports, an
even share of the refill is reserved.

A node that has just started assumes a full bucket until another node
reports a lower level. Runs that started at the same time all assumed a
full bucket; so everything that such a run has admitted since its start
is deducted.
"""

import dataclasses
import math
import typing

from guavachute.decide import decay
from guavachute.domain import configuration
from guavachute import ids

OVERDRAFT_SHARE = 0.25
"""Share of the allowance by which a level may fall below zero. The rest
of the allowance covers what nodes admit between two reports."""

HALF_LIFE_S = 1.5
"""Half-life of the weight of a request in a rate."""

SILENT_AFTER_S = 3.0
"""A node without reports is assumed to continue at its latest rate for
this long; afterwards an even share is reserved for it instead."""

STARTUP_WINDOW_S = 2.0
"""A bucket younger than this adopts a lower level that another node
reports. Runs whose starts are at most this far apart count as started
together."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0


class RateMeter:
    """Measures a rate, weighted towards recent amounts."""

    __slots__ = ('_recent',)

    def __init__(self, now_s: float) -> None:
        self._recent = decay.DecayingSum(HALF_LIFE_S, now_s)

    def add(self, amount: float, now_s: float) -> None:
        """Record *amount*."""
        self._recent.add(amount, now_s)

    def per_s(self, now_s: float) -> float:
        """The recent rate per second."""
        return self._recent.value(now_s) * math.log(2) / HALF_LIFE_S


class Consumption(typing.NamedTuple):
    """What a run of a node, or several, admitted of a workspace.

    All figures are in the unit of the workspace's quota.

    :ivar total: admitted since the start of the run
    :ivar per_s: recent rate of admission
    :ivar level: remaining quota of the workspace, as seen by the run
    """

    total: float
    per_s: float
    level: float


class Source(typing.NamedTuple):
    """Where a report of admissions comes from.

    :ivar run: the run that sent the report
    :ivar admitted_by: the run or region that admitted; several runs may
        report for the same region
    """

    run: str
    admitted_by: str


class PeerRuns(typing.NamedTuple):
    """The runs of other nodes that share the quotas with this node.

    :ivar nodes: number of nodes that each run reports for
    :ivar silent: runs that have not reported for a while
    """

    nodes: typing.Mapping[str, int]
    silent: typing.AbstractSet[str]


@dataclasses.dataclass(slots=True)
class _PeerRun:
    """The latest report of another run.

    :ivar is_silent: whether it is older than :data:`SILENT_AFTER_S`
    """

    total: float
    per_s: float
    reported_s: float
    is_silent: bool = False


@dataclasses.dataclass(slots=True)
class _Unreported:
    """An estimate of what runs have admitted since their latest reports.

    Each run goes on at its latest rate. The estimate for all runs is kept as
    a line over time, so that its cost does not grow with their number.

    :ivar per_s: how fast the estimate grows
    :ivar offset: the estimate at time 0 of the clock
    """

    per_s: float = 0.0
    offset: float = 0.0

    def add(self, run: _PeerRun, sign: int) -> None:
        """Add the part of *run*, or with a negative *sign* take it away."""
        if run.is_silent:
            self.offset += sign * run.per_s * SILENT_AFTER_S
        else:
            self.per_s += sign * run.per_s
            self.offset -= sign * run.per_s * run.reported_s

    def at(self, now_s: float) -> float:
        """The estimate at *now_s*."""
        return max(0.0, self.per_s * now_s + self.offset)


class Bucket:
    """The token bucket of one workspace, as seen by one node.

    :param overdraft: how far the level may fall below zero
    """

    def __init__(
        self,
        workspace: configuration.Workspace,
        overdraft: float,
        now_s: float,
    ) -> None:
        self._workspace = workspace
        self._overdraft = overdraft
        self._level = workspace.burst
        self._started_s = now_s
        self._refilled_s = now_s
        self._own_total = 0.0
        self._own_rate = RateMeter(now_s)
        self._peers: dict[str, _PeerRun] = {}
        self._unreported = _Unreported()
        self._deducted: dict[str, float] = {}
        self._node_count = 1
        self._silent_nodes: dict[str, int] = {}
        self._reserved: dict[str, float] = {}
        self._next_retry_s = now_s

    def set_workspace(
        self, workspace: configuration.Workspace, now_s: float
    ) -> None:
        """Refill by the quota of *workspace* from now on."""
        if workspace is not self._workspace:
            self._refill(now_s)
            self._workspace = workspace
            self._level = min(self._level, workspace.burst)

    def consumption(self, now_s: float) -> Consumption:
        """What this run admitted, to be reported to other nodes."""
        return Consumption(
            round(self._own_total, 1),
            round(self._own_rate.per_s(now_s), 1),
            round(self.level(now_s), 1),
        )

    def merge(
        self,
        source: Source,
        consumption: Consumption,
        started_together: bool,
        now_s: float,
    ) -> None:
        """Deduct what another run reports to have admitted.

        :param started_together: whether the other run started together
            with this one or later
        """
        other = self._peers.get(source.run)
        if (
            other is not None
            and not other.per_s
            and not consumption.per_s
            and consumption.total == other.total
            and source.run not in self._reserved
        ):
            # Most workspaces send nothing through most nodes.
            other.reported_s = now_s
            return
        self._refill(now_s)
        if other is None and not started_together:
            # The reported level includes what the run admitted before.
            if now_s - self._started_s < STARTUP_WINDOW_S:
                self._level = min(self._level, consumption.level)
        else:
            deducted = (
                other.total
                if other
                else self._deducted.get(source.admitted_by, 0.0)
            )
            admitted = max(0.0, consumption.total - deducted)
            self._level -= max(
                0.0, admitted - self._reserved.get(source.run, 0.0)
            )
        if started_together:
            self._deducted[source.admitted_by] = max(
                consumption.total, self._deducted.get(source.admitted_by, 0.0)
            )
        self._reserved.pop(source.run, None)
        if other is not None:
            self._unreported.add(other, -1)
        latest = _PeerRun(consumption.total, consumption.per_s, now_s)
        self._unreported.add(latest, 1)
        self._peers[source.run] = latest

    def set_peers(self, peers: PeerRuns, now_s: float) -> None:
        """Share the quota with exactly these runs of other nodes."""
        self._refill(now_s)
        self._node_count = 1 + sum(peers.nodes.values())
        self._silent_nodes = {run: peers.nodes[run] for run in peers.silent}
        for table in (self._peers, self._reserved):
            for run in table.keys() - peers.nodes.keys():
                del table[run]
        # Adding it up anew also takes rounding errors away.
        self._unreported = _Unreported()
        for other in self._peers.values():
            other.is_silent = now_s - other.reported_s >= SILENT_AFTER_S
            self._unreported.add(other, 1)

    def level(self, now_s: float) -> float:
        """The remaining quota, less the estimate of unreported admissions."""
        self._refill(now_s)
        return self._level - self._unreported.at(now_s)

    def consume(self, cost: float, now_s: float) -> float:
        """Consume *cost*; 0 if admitted, else when to retry, in seconds."""
        level = self.level(now_s)
        capacity = max(1.0, self._workspace.burst)
        if level + self._overdraft >= min(cost, capacity):
            self._level -= cost
            self._own_total += cost
            self._own_rate.add(cost, now_s)
            return 0.0
        return self._retry_after_s(
            min(cost, capacity) - level - self._overdraft, now_s
        )

    def refund(self, cost: float) -> None:
        """Refund *cost*, which was consumed but not used."""
        self._level = min(self._level + cost, self._workspace.burst)
        self._own_total -= cost

    def _retry_after_s(self, missing: float, now_s: float) -> float:
        """When a rejected request should be retried, in seconds from now.

        Successive rejections get successive times, since the refill
        admits only so many requests.

        :param missing: how much the level is too low
        """
        rate_per_s = self._workspace.rate_per_s
        wait_s = missing / rate_per_s
        retry_s = max(now_s + wait_s, self._next_retry_s)
        self._next_retry_s = min(
            retry_s + wait_s / self._node_count, now_s + MAX_RETRY_AFTER_S
        )
        return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, retry_s - now_s))

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        filled = elapsed_s * self._workspace.rate_per_s
        share = filled / self._node_count
        for source, nodes in self._silent_nodes.items():
            filled -= nodes * share
            reserved = self._reserved.get(source, 0.0)
            self._reserved[source] = reserved + nodes * share
        self._level = min(self._workspace.burst, self._level + filled)
        self._refilled_s = max(self._refilled_s, now_s)


class Quotas:
    """The token buckets of all workspaces at one node.

    :param allowance: what all nodes may admit beyond a quota in a window
    :param started_s: when this run of the node started
    """

    def __init__(self, allowance: float, started_s: float) -> None:
        self._overdraft = allowance * OVERDRAFT_SHARE
        self._started_s = started_s
        self._peers = PeerRuns({}, frozenset())
        self._buckets: dict[ids.WorkspaceName, Bucket] = {}

    def consume(
        self, workspace: configuration.Workspace, cost: float, now_s: float
    ) -> float:
        """Consume *cost*; 0 if admitted, else when to retry, in seconds.

        A workspace without a rate is unlimited.
        """
        if workspace.rate_per_s <= 0:
            return 0.0
        return self._bucket(workspace, now_s).consume(cost, now_s)

    def refund(self, workspace: configuration.Workspace, cost: float) -> None:
        """Refund the *cost* of an admitted request that did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.refund(cost)

    def merge(
        self,
        source: Source,
        workspace: configuration.Workspace,
        consumption: Consumption,
        run_age_s: float,
        now_s: float,
    ) -> None:
        """Merge the admissions that a run of another node reports.

        :param run_age_s: how long ago that run started
        """
        if workspace.rate_per_s > 0:
            own_age_s = now_s - self._started_s
            self._bucket(workspace, now_s).merge(
                source,
                consumption,
                run_age_s <= own_age_s + STARTUP_WINDOW_S,
                now_s,
            )

    def set_peers(self, peers: PeerRuns, now_s: float) -> None:
        """Share the quotas with exactly these runs of other nodes."""
        self._peers = peers
        for bucket in self._buckets.values():
            bucket.set_peers(peers, now_s)

    def consumption(
        self, now_s: float
    ) -> dict[ids.WorkspaceName, Consumption]:
        """What this run admitted of each workspace."""
        return {
            name: bucket.consumption(now_s)
            for name, bucket in self._buckets.items()
        }

    def _bucket(
        self, workspace: configuration.Workspace, now_s: float
    ) -> Bucket:
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = Bucket(workspace, self._overdraft, now_s)
            bucket.set_peers(self._peers, now_s)
            self._buckets[workspace.name] = bucket
        else:
            bucket.set_workspace(workspace, now_s)
        return bucket


def cost(workspace: configuration.Workspace, total_tokens: int) -> float:
    """The cost of a request in the unit of the workspace's quota.

    :param total_tokens: of prompt and answer; 0 if unknown
    """
    if workspace.counts_tokens and total_tokens > 0:
        return float(total_tokens)
    return workspace.default_cost
