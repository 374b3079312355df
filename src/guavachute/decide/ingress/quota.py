"""The workspaces' quotas, which hold over all nodes together.

Each node keeps the level of the whole workspace's bucket: what it
admitted itself counts at once, what the others admitted counts when
they tell. Between two messages of a node it is taken to go on at its
latest rate, so that nodes do not all spend the same refill. Of nodes
that may be serving callers unheard, each is left an even share of the
refill. A node that has just started takes a bucket as full until it
hears otherwise. What runs that began with it have admitted counts from
their start, for all of them took the bucket as full.
"""

import dataclasses
import math
import typing

from guavachute.decide import decay
from guavachute.domain import configuration
from guavachute import ids

OVERDRAFT_SHARE = 0.25
"""Part of the bound's allowance that a level may go below zero by. The
rest covers what nodes admit before they hear of each other."""

HALF_LIFE_S = 1.5
"""After this an old request counts half in a rate."""

SILENT_AFTER_S = 3.0
"""A node's latest rate is taken to go on for no longer than this; then
its even share is set aside instead."""

YOUNG_S = 2.0
"""A bucket that is younger takes over the level that others tell; runs
that began this close to each other began together."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0


class RateMeter:
    """How much per second there was of late."""

    __slots__ = ('_recent',)

    def __init__(self, now_s: float) -> None:
        self._recent = decay.DecayingSum(HALF_LIFE_S, now_s)

    def add(self, amount: float, now_s: float) -> None:
        """Count *amount*."""
        self._recent.add(amount, now_s)

    def per_s(self, now_s: float) -> float:
        """The rate of late."""
        return self._recent.value(now_s) * math.log(2) / HALF_LIFE_S


class Spending(typing.NamedTuple):
    """What one run of one node has admitted of a workspace.

    :ivar total: since the start of the run
    :ivar per_s: of late
    :ivar level: what the run takes the workspace to have left
    """

    total: float
    per_s: float
    level: float


class Source(typing.NamedTuple):
    """Who tells what was admitted.

    :ivar run: the run that tells it
    :ivar admitted_by: whose admissions these are; several runs may tell of the
        same ones
    """

    run: str
    admitted_by: str


class Others(typing.NamedTuple):
    """The runs of other nodes that count as serving callers.

    :ivar nodes: by source, how many nodes it tells of
    :ivar silent: sources that were not heard for a while
    """

    nodes: typing.Mapping[str, int]
    silent: typing.AbstractSet[str]


@dataclasses.dataclass(slots=True)
class _PeerRun:
    """Another node's spending, as it was told last."""

    total: float
    per_s: float
    reported_s: float


class Bucket:
    """The level of one workspace's quota, as one node sees it.

    :param overdraft: how far the level may go below zero
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
        self._deducted: dict[str, float] = {}
        self._node_count = 1
        self._silent_nodes: dict[str, int] = {}
        self._reserved: dict[str, float] = {}
        self._next_retry_s = now_s

    def set_workspace(
        self, workspace: configuration.Workspace, now_s: float
    ) -> None:
        """Fill by another quota from now on."""
        if workspace is not self._workspace:
            self._refill(now_s)
            self._workspace = workspace
            self._level = min(self._level, workspace.burst)

    def consumption(self, now_s: float) -> Spending:
        """What this node admitted, for the others."""
        return Spending(
            round(self._own_total, 1),
            round(self._own_rate.per_s(now_s), 1),
            round(self.level(now_s), 1),
        )

    def merge(
        self,
        source: Source,
        spending: Spending,
        started_together: bool,
        now_s: float,
    ) -> None:
        """Another node's run told what it admitted.

        :param started_together: whether it is no older than this run
        """
        self._refill(now_s)
        other = self._peers.get(source.run)
        if other is None and not started_together:
            # What it admitted before is in the level that it tells.
            if now_s - self._started_s < YOUNG_S:
                self._level = min(self._level, spending.level)
        else:
            before = (
                other.total
                if other
                else self._deducted.get(source.admitted_by, 0.0)
            )
            spent = max(0.0, spending.total - before)
            self._level -= max(
                0.0, spent - self._reserved.get(source.run, 0.0)
            )
        if started_together:
            self._deducted[source.admitted_by] = max(
                spending.total, self._deducted.get(source.admitted_by, 0.0)
            )
        self._reserved.pop(source.run, None)
        self._peers[source.run] = _PeerRun(
            spending.total, spending.per_s, now_s
        )

    def set_peers(self, others: 'Others', now_s: float) -> None:
        """Share the quota with these runs of other nodes, and no more."""
        self._refill(now_s)
        self._node_count = 1 + sum(others.nodes.values())
        self._silent_nodes = {
            source: others.nodes[source] for source in others.silent
        }
        for known in (self._peers, self._reserved):
            for source in known.keys() - others.nodes.keys():
                del known[source]

    def level(self, now_s: float) -> float:
        """What is left, with what others will have admitted by now."""
        self._refill(now_s)
        return self._level - self._estimate_unreported(now_s)

    def consume(self, cost: float, now_s: float) -> float:
        """Take *cost* and give 0, or how long until it is there."""
        level = self.level(now_s)
        size = max(1.0, self._workspace.burst)
        if level + self._overdraft >= min(cost, size):
            self._level -= cost
            self._own_total += cost
            self._own_rate.add(cost, now_s)
            return 0.0
        return self._retry_after_s(
            min(cost, size) - level - self._overdraft, now_s
        )

    def refund(self, cost: float) -> None:
        """What was taken was not used."""
        self._level = min(self._level + cost, self._workspace.burst)
        self._own_total -= cost

    def _retry_after_s(self, missing: float, now_s: float) -> float:
        """When a refused request should come back, from now.

        Requests that are refused one after the other get times one
        after the other, for only as many can be admitted.
        """
        rate_per_s = self._workspace.rate_per_s
        wait_s = missing / rate_per_s
        slot_s = max(now_s + wait_s, self._next_retry_s)
        self._next_retry_s = min(
            slot_s + wait_s / self._node_count, now_s + MAX_RETRY_AFTER_S
        )
        return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, slot_s - now_s))

    def _estimate_unreported(self, now_s: float) -> float:
        """What the others admitted since they were heard, presumably."""
        return sum(
            other.per_s
            * max(0.0, min(SILENT_AFTER_S, now_s - other.reported_s))
            for other in self._peers.values()
        )

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        filled = elapsed_s * self._workspace.rate_per_s
        share = filled / self._node_count
        for source, nodes in self._silent_nodes.items():
            filled -= nodes * share
            set_aside = self._reserved.get(source, 0.0)
            self._reserved[source] = set_aside + nodes * share
        self._level = min(self._workspace.burst, self._level + filled)
        self._refilled_s = max(self._refilled_s, now_s)


class Quotas:
    """The buckets of all workspaces at one node.

    :param allowance: what the bound allows beyond the quota itself
    :param started_s: when this run of the node began
    """

    def __init__(self, allowance: float, started_s: float) -> None:
        self._overdraft = allowance * OVERDRAFT_SHARE
        self._started_s = started_s
        self._peers = Others({}, frozenset())
        self._buckets: dict[ids.WorkspaceName, Bucket] = {}

    def ask(
        self, workspace: configuration.Workspace, cost: float, now_s: float
    ) -> float:
        """Admit a request (0), or how long until it would be."""
        if workspace.rate_per_s <= 0:
            return 0.0
        return self._bucket(workspace, now_s).consume(cost, now_s)

    def give_back(
        self, workspace: configuration.Workspace, cost: float
    ) -> None:
        """An admitted request did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.refund(cost)

    def told(
        self,
        source: Source,
        workspace: configuration.Workspace,
        spending: Spending,
        run_age_s: float,
        now_s: float,
    ) -> None:
        """A run of another node told what it admitted.

        :param run_age_s: how long ago that run began
        """
        if workspace.rate_per_s > 0:
            own_age_s = now_s - self._started_s
            self._bucket(workspace, now_s).merge(
                source, spending, run_age_s <= own_age_s + YOUNG_S, now_s
            )

    def heed(self, others: Others, now_s: float) -> None:
        """Share the quotas with these runs of other nodes, and no more."""
        self._peers = others
        for bucket in self._buckets.values():
            bucket.set_peers(others, now_s)

    def spending(self, now_s: float) -> dict[ids.WorkspaceName, Spending]:
        """What this node admitted of each workspace."""
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
    """What a request counts in the workspace's unit."""
    if workspace.counts_tokens and total_tokens > 0:
        return float(total_tokens)
    return workspace.default_cost
