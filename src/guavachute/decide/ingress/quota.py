"""A node's part of each workspace's quota.

A quota holds over all nodes. Each node spends from a bucket of its own
that fills at its part of the rate. The parts follow the nodes' shares
of the demand that they tell each other, so that a workspace whose
callers all use one node still gets its whole quota there.
"""

import typing

from guavachute.domain import configuration
from guavachute import ids

EVEN_SHARE = 0.3
"""The part of a rate that is dealt evenly; the rest follows demand."""

RATE_MARGIN = 0.97
"""The nodes' parts add up to this, as their views differ for moments."""

MIN_BUCKET_S = 1.0
"""A bucket holds at least what its rate gives in this time, so that a
large request is not refused where the workspace's burst is small."""

DEMAND_HALF_LIFE_S = 2.0
"""After this an old demand counts half."""

MIN_RETRY_AFTER_S = 0.1


class DemandMeter:
    """How much per second was asked for lately, whether admitted or not."""

    __slots__ = ('_sum', '_at_s')

    def __init__(self, now_s: float) -> None:
        self._sum = 0.0
        self._at_s = now_s

    def add(self, cost: float, now_s: float) -> None:
        """Somebody asked for *cost*."""
        self._sum = self._decayed(now_s) + cost
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        """The rate of late."""
        return self._decayed(now_s) * 0.6931 / DEMAND_HALF_LIFE_S

    def _decayed(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._sum * 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)


def share(own_per_s: float, others_per_s: typing.Sequence[float]) -> float:
    """This node's part, 0 to 1, of what all nodes may spend.

    :param others_per_s: the demand at each other node; one that fell
        silent counts with what it told last
    """
    nodes = 1 + len(others_per_s)
    total = own_per_s + sum(others_per_s)
    by_demand = own_per_s / total if total > 0 else 1 / nodes
    return EVEN_SHARE / nodes + (1 - EVEN_SHARE) * by_demand


class Bucket:
    """What a workspace has left at this node.

    The level may fall below zero by one request, which a bucket that is
    smaller than a request needs to admit any.
    """

    __slots__ = ('_level', '_filled_s', '_rate_per_s', '_size')

    def __init__(
        self, workspace: configuration.Workspace, part: float, now_s: float
    ) -> None:
        self._level = 0.0
        self._filled_s = now_s
        self._rate_per_s = 0.0
        self._size = 0.0
        self.set_part(workspace, part, now_s)
        self._level = self._size

    def set_part(
        self, workspace: configuration.Workspace, part: float, now_s: float
    ) -> None:
        """Fill by another quota or part from now on."""
        self._fill(now_s)
        self._rate_per_s = workspace.rate_per_s * part * RATE_MARGIN
        self._size = max(
            workspace.burst * part, self._rate_per_s * MIN_BUCKET_S
        )
        self._level = min(self._level, self._size)

    def take(self, cost: float, now_s: float) -> float:
        """Take *cost* and give 0, or how long until it is there."""
        self._fill(now_s)
        if self._level >= min(cost, self._size):
            self._level -= cost
            return 0.0
        if self._rate_per_s <= 0:
            return 1.0
        missing = min(cost, self._size) - self._level
        return max(MIN_RETRY_AFTER_S, missing / self._rate_per_s)

    def give_back(self, cost: float) -> None:
        """What was taken was not used."""
        self._level = min(self._size, self._level + cost)

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._level = min(
            self._size, self._level + elapsed_s * self._rate_per_s
        )
        self._filled_s = max(self._filled_s, now_s)


class Quotas:
    """The buckets and the demand of all workspaces at this node."""

    def __init__(self) -> None:
        self._buckets: dict[ids.WorkspaceName, Bucket] = {}
        self._demand: dict[ids.WorkspaceName, DemandMeter] = {}

    def ask(
        self,
        workspace: configuration.Workspace,
        cost: float,
        part: float,
        now_s: float,
    ) -> float:
        """Admit a request (0), or how long until it would be."""
        meter = self._demand.get(workspace.name)
        if meter is None:
            meter = self._demand[workspace.name] = DemandMeter(now_s)
        meter.add(cost, now_s)
        if workspace.rate_per_s <= 0:
            return 0.0
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = Bucket(workspace, part, now_s)
            self._buckets[workspace.name] = bucket
        else:
            bucket.set_part(workspace, part, now_s)
        return bucket.take(cost, now_s)

    def give_back(
        self, workspace: configuration.Workspace, cost: float
    ) -> None:
        """An admitted request did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.give_back(cost)

    def demand_per_s(self, now_s: float) -> dict[ids.WorkspaceName, float]:
        """The demand of each workspace, for the other nodes."""
        return {
            name: round(meter.per_s(now_s), 1)
            for name, meter in self._demand.items()
        }


def cost(workspace: configuration.Workspace, total_tokens: int) -> float:
    """What a request counts in the workspace's unit."""
    if workspace.counts_tokens and total_tokens > 0:
        return float(total_tokens)
    return workspace.default_cost
