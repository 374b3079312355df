"""Computes a router's fraction of the limits and slots of a workspace.

Routers serve different callers. Each second they exchange sums of their
demand, and a router's fraction of a workspace's limit or slots is its
fraction of that demand. If the sums of other routers stop arriving, their
weight decays over a few seconds and the fraction moves to an equal split
between the live routers. That is safe whatever the other routers do,
because the fractions still add up to one.

A sum may stand for one router or for many, such as those of a failure
domain, so a router need not receive messages from all the others.
"""

import dataclasses
import typing

from guavachute import ids
from guavachute.wire import requests

FRESH_S = 2.0
"""A sum has its full weight up to this age."""

STALE_S = 6.0
"""From this age on a sum is ignored."""

EQUAL_SPLIT_FRACTION = 0.1
"""The fraction of a limit that is always split equally.

A router whose first caller has just connected needs capacity immediately,
not only after the next exchange.
"""


@dataclasses.dataclass(slots=True)
class _ReceivedSum:
    sum: requests.DemandSum
    when_s: float


class DemandShares:
    """The demand sums of the other routers, and the fractions from them."""

    def __init__(self) -> None:
        self._sums: dict[str, _ReceivedSum] = {}

    def record_sum(
        self, message: requests.DemandSum, now_s: float
    ) -> dict[ids.WorkspaceName, float]:
        """Store *message* and return the tokens served since the last sum.

        The tokens are by workspace and meant for
        :meth:`shares.FairQueue.charge_elsewhere`. The first sum of a
        source gives none, nor does the first one after its restart.
        """
        previous = self._sums.get(message.source)
        self._sums[message.source] = _ReceivedSum(message, now_s)
        if previous is None:
            return {}
        previous_tokens = previous.sum.served_tokens
        return {
            ids.WorkspaceName(name): tokens - previous_tokens[name]
            for name, tokens in message.served_tokens.items()
            if name in previous_tokens and tokens > previous_tokens[name]
        }

    def discard_source(self, source: str) -> None:
        """Discard the sum of *source*, which left.

        The other routers get its fraction immediately.
        """
        self._sums.pop(source, None)

    def routers(self, now_s: float) -> int:
        """Return how many other routers the current sums stand for.

        Sums older than :data:`STALE_S` do not count.
        """
        return sum(
            received.sum.routers
            for received in self._sums.values()
            if now_s - received.when_s < STALE_S
        )

    def fraction(
        self,
        workspace: ids.WorkspaceName,
        own_demand: float,
        live_routers: int,
        now_s: float,
    ) -> float:
        """Return this router's fraction of what *workspace* may use.

        :param own_demand: requests of *workspace* that run or wait in
            this router
        :param live_routers: number of live routers by membership,
            including this one
        """
        equal = 1.0 / max(1, live_routers)
        demand, freshness = self._remote_demand(workspace, live_routers, now_s)
        total = own_demand + demand
        by_demand = own_demand / total if total > 0 else equal
        trust = (1.0 - EQUAL_SPLIT_FRACTION) * freshness
        return trust * by_demand + (1.0 - trust) * equal

    def slots(
        self,
        own_demand: dict[ids.WorkspaceName, float],
        shares: dict[ids.WorkspaceName, float],
        slots: float,
        live_routers: int,
        now_s: float,
    ) -> dict[ids.WorkspaceName, float]:
        """Return how many of the pool's *slots* this router may fill.

        The slots are divided between the workspaces by share and demand,
        see :func:`water_fill`. This router gets its fraction of the slots
        of each workspace.
        """
        demand = {
            name: own_demand.get(name, 0.0)
            + self._remote_demand(name, live_routers, now_s)[0]
            for name in shares
        }
        due = water_fill(slots, demand, shares)
        return {
            name: amount
            * self.fraction(
                name, own_demand.get(name, 0.0), live_routers, now_s
            )
            for name, amount in due.items()
        }

    def _remote_demand(
        self, workspace: ids.WorkspaceName, live_routers: int, now_s: float
    ) -> tuple[float, float]:
        """Return the demand of the other routers and its freshness, 0 to 1.

        The freshness is 1 if current sums from all other routers are
        known.
        """
        demand = 0.0
        weight = 0.0
        for received in self._sums.values():
            freshness = _freshness(now_s - received.when_s)
            demand += freshness * received.sum.demand.get(workspace, 0.0)
            weight += freshness * received.sum.routers
        others = live_routers - 1
        if others <= 0:
            return demand, 1.0
        return demand, min(1.0, weight / others)


def _freshness(age_s: float) -> float:
    fresh = (STALE_S - age_s) / (STALE_S - FRESH_S)
    return min(1.0, max(0.0, fresh))


def water_fill(
    amount: float,
    demand: typing.Mapping[ids.WorkspaceName, float],
    shares: typing.Mapping[ids.WorkspaceName, float],
) -> dict[ids.WorkspaceName, float]:
    """Divide *amount* between workspaces by share, up to their demand.

    What a workspace does not need is divided between the others. What
    remains when all demand is met is divided by share as well, because
    demand may be about to arrive.
    """
    allotted = {name: 0.0 for name in shares}
    unsatisfied = {name for name in shares if demand.get(name, 0.0) > 0}
    remaining = amount
    while unsatisfied and remaining > 1e-9:
        total_share = sum(shares[name] for name in unsatisfied)
        level = min(
            (demand[name] - allotted[name]) / shares[name]
            for name in unsatisfied
        )
        step = min(level, remaining / total_share)
        for name in unsatisfied:
            allotted[name] += step * shares[name]
        remaining -= step * total_share
        unsatisfied = {
            name
            for name in unsatisfied
            if demand[name] - allotted[name] > 1e-9
        }
    total_share = sum(shares.values())
    if remaining > 0 and total_share > 0:
        for name in allotted:
            allotted[name] += remaining * shares[name] / total_share
    return allotted


def free_slots(
    allowed: float, running: int, idle_slots: int, equal_fraction: float
) -> int:
    """Return how many requests a router may start now.

    A router may use its allowed slots freely. Beyond them it may use only
    an equal fraction of the slots that engines report as idle. Idle slots
    are thus used before the next exchange, up to a second later, and the
    routers don't all fill the same ones.

    :param allowed: the sum over workspaces of :meth:`DemandShares.slots`
    :param running: requests of this router that run now
    :param idle_slots: unused slots of its endpoints
    :param equal_fraction: the fraction of the idle slots for this router
    """
    within = max(0, round(allowed) - running)
    beyond = int(idle_slots * equal_fraction)
    return min(idle_slots, max(within, beyond))
