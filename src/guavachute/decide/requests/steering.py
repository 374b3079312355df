"""A router's part of what a workspace may use over all routers.

Routers see different callers. Each second they exchange sums of their
demand; a router's part of a workspace's limit or slots is its part of
that demand. Reports that stop coming lose their weight over a few
seconds, and the part moves to an equal split between the live routers,
which is safe whatever the others do: the parts still add up to one.

A sum may stand for one router or for many, such as those of a failure
domain, so that no router hears all the others.
"""

import dataclasses
import typing

from guavachute import ids
from guavachute.wire import requests

FRESH_S = 2.0
"""A sum counts in full up to this age."""

STALE_S = 6.0
"""From this age on it counts for nothing."""

FLOOR_FRACTION = 0.1
"""The part of a limit that is always split equally.

A router whose first caller has just come needs something at once, not
only after the next exchange.
"""


@dataclasses.dataclass(slots=True)
class _Heard:
    sum: requests.DemandSum
    when_s: float


class Steering:
    """The sums of the other routers, and what follows from them."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def take(
        self, message: requests.DemandSum, now_s: float
    ) -> dict[ids.WorkspaceName, float]:
        """Keep *message*; gives tokens served since the last one.

        They are for :meth:`shares.FairQueue.charge_elsewhere`. The first
        sum of a source gives none, and neither does one after a restart.
        """
        before = self._heard.get(message.source)
        self._heard[message.source] = _Heard(message, now_s)
        if before is None:
            return {}
        old = before.sum.served_tokens
        return {
            ids.WorkspaceName(name): tokens - old[name]
            for name, tokens in message.served_tokens.items()
            if name in old and tokens > old[name]
        }

    def forget(self, source: str) -> None:
        """*source* left; its part goes to the others at once."""
        self._heard.pop(source, None)

    def routers(self, now_s: float) -> int:
        """How many other routers have been heard of lately."""
        return sum(
            heard.sum.routers
            for heard in self._heard.values()
            if now_s - heard.when_s < STALE_S
        )

    def part(
        self,
        workspace: ids.WorkspaceName,
        own_demand: float,
        live_routers: int,
        now_s: float,
    ) -> float:
        """This router's fraction of what *workspace* may use.

        :param live_routers: by membership, this one included
        """
        equal = 1.0 / max(1, live_routers)
        demand, freshness = self._others(workspace, live_routers, now_s)
        total = own_demand + demand
        by_demand = own_demand / total if total > 0 else equal
        trust = (1.0 - FLOOR_FRACTION) * freshness
        return trust * by_demand + (1.0 - trust) * equal

    def slots(
        self,
        own_demand: dict[ids.WorkspaceName, float],
        shares: dict[ids.WorkspaceName, float],
        slots: float,
        live_routers: int,
        now_s: float,
    ) -> dict[ids.WorkspaceName, float]:
        """How many of the pool's *slots* this router may fill.

        Each workspace is due its share of the slots, less what it has no
        use for; of that this router has its part.
        """
        demand = {
            name: own_demand.get(name, 0.0)
            + self._others(name, live_routers, now_s)[0]
            for name in shares
        }
        due = water_fill(slots, demand, shares)
        return {
            name: amount
            * self.part(name, own_demand.get(name, 0.0), live_routers, now_s)
            for name, amount in due.items()
        }

    def _others(
        self, workspace: ids.WorkspaceName, live_routers: int, now_s: float
    ) -> tuple[float, float]:
        """Demand of the others and how far it can be trusted, 0 to 1."""
        demand = 0.0
        weight = 0.0
        for heard in self._heard.values():
            freshness = _freshness(now_s - heard.when_s)
            demand += freshness * heard.sum.demand.get(workspace, 0.0)
            weight += freshness * heard.sum.routers
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
    """Divide *amount* by share; nobody gets more than its demand.

    What one leaves is divided between the others. What nobody demands
    is divided by share on top, for demand may be about to come.
    """
    given = {name: 0.0 for name in shares}
    hungry = {name for name in shares if demand.get(name, 0.0) > 0}
    left = amount
    while hungry and left > 1e-9:
        total_share = sum(shares[name] for name in hungry)
        level = min(
            (demand[name] - given[name]) / shares[name] for name in hungry
        )
        step = min(level, left / total_share)
        for name in hungry:
            given[name] += step * shares[name]
        left -= step * total_share
        hungry = {name for name in hungry if demand[name] - given[name] > 1e-9}
    total_share = sum(shares.values())
    if left > 0 and total_share > 0:
        for name in given:
            given[name] += left * shares[name] / total_share
    return given


def free_slots(
    allowed: float, running: int, idle_slots: int, equal_part: float
) -> int:
    """How many requests a router may start now.

    Within its allowance it starts what it can; beyond it only its equal
    part of what engines report idle, so that no slot stays unused for
    the whole second to the next exchange and routers don't all fill the
    same idle slots.

    :param allowed: the sum over workspaces of :meth:`Steering.slots`
    :param running: requests of this router that run now
    :param idle_slots: slots of its endpoints that nothing uses
    """
    within = max(0, round(allowed) - running)
    beyond = int(idle_slots * equal_part)
    return min(idle_slots, max(within, beyond))
