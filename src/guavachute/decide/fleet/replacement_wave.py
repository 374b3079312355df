"""Chooses which VMs to start first when many are missing.

After a wave of reclaims, more VMs must be started than can be at once:
offers refuse orders, and the cloud API and the weight store are slow.
The next start goes to the pool with the largest unmet load, weighted by
the shares of its workspaces and counting VMs that were started already.
So a large pool doesn't take all of the first starts, and a small one
doesn't wait until all others are complete.
"""

import dataclasses

from guavachute.decide.fleet import market
from guavachute import ids


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceLoad:
    """The load that one workspace offers to one pool."""

    workspace: ids.WorkspaceName
    share: float
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolNeed:
    """One pool with VMs to start.

    :ivar coming_tokens_per_s: of VMs that serve or have been ordered
    :ivar missing: VMs to start, by offer
    """

    pool: ids.PoolName
    coming_tokens_per_s: float
    tokens_per_s_per_vm: float
    loads: tuple[WorkspaceLoad, ...]
    missing: market.Counts


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One VM to start now.

    :ivar unmet: unmet part of the workspaces' loads, weighted by their
        shares, by which the pool was chosen
    """

    pool: ids.PoolName
    offer: market.OfferKey
    unmet: float


def allocate(
    loads: tuple[WorkspaceLoad, ...], tokens_per_s: float
) -> dict[ids.WorkspaceName, float]:
    """Divides *tokens_per_s* max-min fairly, weighted by share."""
    allocated: dict[ids.WorkspaceName, float] = {}
    remaining = tokens_per_s
    ascending = sorted(loads, key=lambda load: load.tokens_per_s / load.share)
    shares = sum(load.share for load in ascending)
    for load in ascending:
        due = remaining * load.share / shares
        allocated[load.workspace] = min(load.tokens_per_s, due)
        remaining -= allocated[load.workspace]
        shares -= load.share
    return allocated


def unmet_load(loads: tuple[WorkspaceLoad, ...], tokens_per_s: float) -> float:
    """The unmet fraction of each load times its share, summed."""
    allocated = allocate(loads, tokens_per_s)
    return sum(
        load.share * (1 - allocated[load.workspace] / load.tokens_per_s)
        for load in loads
        if load.tokens_per_s > 0
    )


def next_starts(
    needs: list[PoolNeed],
    capacity_by_offer: dict[market.OfferKey, int],
    capacity: int,
) -> list[Start]:
    """The starts to order now, the most urgent first.

    :param capacity_by_offer: how many VMs may be ordered now of each
        offer; offers that are left out have no limit
    :param capacity: how many VMs may be ordered now in all
    """
    missing = {need.pool: dict(need.missing) for need in needs}
    coming = {need.pool: need.coming_tokens_per_s for need in needs}
    remaining_by_offer = dict(capacity_by_offer)
    starts: list[Start] = []
    while len(starts) < capacity:
        found = _most_urgent(needs, missing, coming, remaining_by_offer)
        if found is None:
            break
        need, start = found
        starts.append(start)
        missing[need.pool][start.offer] -= 1
        coming[need.pool] += need.tokens_per_s_per_vm
        if start.offer in remaining_by_offer:
            remaining_by_offer[start.offer] -= 1
    return starts


def _most_urgent(
    needs: list[PoolNeed],
    missing: dict[ids.PoolName, market.Counts],
    coming: dict[ids.PoolName, float],
    remaining_by_offer: dict[market.OfferKey, int],
) -> tuple[PoolNeed, Start] | None:
    best: tuple[PoolNeed, Start] | None = None
    for need in needs:
        offer = _most_missing(missing[need.pool], remaining_by_offer)
        if offer is None:
            continue
        unmet = unmet_load(need.loads, coming[need.pool])
        if best is None or unmet > best[1].unmet:
            best = (need, Start(need.pool, offer, unmet))
    return best


def _most_missing(
    missing: market.Counts, remaining_by_offer: dict[market.OfferKey, int]
) -> market.OfferKey | None:
    """The offer with the most VMs to start, so that domains fill evenly."""
    open_offers = [
        (count, key)
        for key, count in missing.items()
        if count > 0 and remaining_by_offer.get(key, 1) > 0
    ]
    if not open_offers:
        return None
    return max(
        open_offers, key=lambda entry: (entry[0], market.sort_key(entry[1]))
    )[1]
