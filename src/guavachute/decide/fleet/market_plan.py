"""Chooses the cheapest set of VMs for a pool that survives a loss.

The constraint: after the loss of any one failure domain, the remaining
VMs still serve the committed load. Where enough domains have offers, it
is met by spreading the VMs (``DOMAIN_LOSS``: all VMs of the domain are
lost). Otherwise on-demand VMs cover what spreading can't (``RECLAIM``:
the reclaimable VMs of the domain are lost). If that isn't possible
either, the plan has the VMs that are available and reports ``SHORT``.

The objective is the cost per hour: the price and, for reclaimable VMs,
the expected cost of reclaims (starting a replacement and computing
tokens again) at the upper bound of the observed rate. The spare capacity
that the constraint requires also covers single reclaims until their
replacements serve; capacity for both at once would cost a small fleet
several more VMs.

With at most M tokens/s in each domain, the total must be the load plus M,
and filling the cheapest offers first is optimal. The cost is piecewise
linear in M with breakpoints where the number of domains in use changes.
In large pools only these are tried, so the work grows with the number of
offers, not of VMs.
"""

import bisect
import collections
import dataclasses
import math
import typing

from guavachute.decide.fleet import market

SMALL_POOL_ENGINES = 40
"""Pools up to this size try every limit per failure domain."""


def plan_pool(
    need: market.Need,
    offers: typing.Iterable[market.Offer],
    held: typing.Mapping[market.OfferKey, int],
    weights: market.Weights,
) -> market.PoolPlan:
    """The VMs that the pool should have.

    :param held: VMs that the pool has already, or has ordered
    """
    by_key = {
        offer.key: offer
        for offer in offers
        if need.on_demand_allowed
        or offer.key.market is market.Market.RECLAIMABLE
    }
    if need.tokens_per_s <= 0 and need.minimum_endpoints <= 0:
        return market.PoolPlan(
            {}, market.Cover.DOMAIN_LOSS, 0.0, 'no load to carry'
        )
    for cover in (market.Cover.DOMAIN_LOSS, market.Cover.RECLAIM):
        best = _cheapest(need, by_key, held, weights, cover)
        if best is not None:
            return _keep_or_replace(best, need, by_key, held, weights, cover)
    counts = _fill_without_cover(need, by_key, held, weights)
    return market.PoolPlan(
        counts,
        market.Cover.SHORT,
        market.cost_cents_per_hour(counts, by_key, weights),
        'no set on offer survives the loss of a failure domain',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Tier:
    """VMs of one offer at one cost: those held, or those not yet bought.

    Held VMs cost less by ``keep_margin``, so a plan prefers them.
    """

    offer: market.Offer
    limit: int
    tokens_per_s: float
    cents_per_token: float


def _tiers(
    offers: typing.Mapping[market.OfferKey, market.Offer],
    held: typing.Mapping[market.OfferKey, int],
    weights: market.Weights,
) -> list[_Tier]:
    tiers = []
    for key, offer in offers.items():
        cost = market.expected_cost_cents_per_hour(offer, weights)
        tokens_per_s = offer.tokens_per_s
        kept = held.get(key, 0)
        kept_cost = cost * (1 - weights.keep_margin)
        if kept:
            tiers.append(
                _Tier(offer, kept, tokens_per_s, kept_cost / tokens_per_s)
            )
        if offer.limit > kept:
            tiers.append(
                _Tier(
                    offer,
                    offer.limit - kept,
                    tokens_per_s,
                    cost / tokens_per_s,
                )
            )
    tiers.sort(
        key=lambda tier: (
            tier.cents_per_token,
            market.sort_key(tier.offer.key),
        )
    )
    return tiers


def _domain_limits(
    need: market.Need, tiers: list[_Tier], cover: market.Cover
) -> list[float]:
    """The values of M (tokens/s per domain) to try; see the module."""
    domains = len({tier.offer.key.failure_domain for tier in tiers})
    limits = {0.0}
    lowest = 0.0
    if cover is market.Cover.DOMAIN_LOSS:
        # The other domains must serve the whole load.
        lowest = need.tokens_per_s / max(1, domains - 1)
    for size in {tier.tokens_per_s for tier in tiers}:
        engines = math.ceil(need.tokens_per_s / size - 1e-9)
        engines = max(engines, need.minimum_endpoints)
        if engines <= SMALL_POOL_ENGINES:
            limits.update(count * size for count in range(1, engines + 1))
            continue
        for others in range(1, domains + 1):
            per_domain = math.ceil(engines / others)
            limits.update((per_domain * size, (per_domain + 1) * size))
    return sorted(limit for limit in limits if limit >= lowest - 1e-6)


def _cheapest(
    need: market.Need,
    offers: typing.Mapping[market.OfferKey, market.Offer],
    held: typing.Mapping[market.OfferKey, int],
    weights: market.Weights,
    cover: market.Cover,
) -> market.Counts | None:
    tiers = _tiers(offers, held, weights)
    best: market.Counts | None = None
    best_cost = math.inf
    for limit in _domain_limits(need, tiers, cover):
        counts = _fill(need, tiers, limit, cover)
        if not market.survives(counts, offers, need.tokens_per_s, cover):
            continue
        counts = _trim(counts, need, offers, tiers, cover)
        endpoints = sum(counts.values())
        if not (need.minimum_endpoints <= endpoints <= need.maximum_endpoints):
            continue
        cost = _discounted_cost(counts, tiers)
        if cost < best_cost - 1e-9:
            best, best_cost = counts, cost
    return best


def _fill(
    need: market.Need, tiers: list[_Tier], limit: float, cover: market.Cover
) -> market.Counts:
    """VMs from the cheapest tiers first, up to *limit* per domain.

    *limit* is in tokens/s and applies only to VMs that the loss may take.
    """
    counts: market.Counts = {}
    exposed: dict[str, float] = collections.defaultdict(float)
    required = need.tokens_per_s + limit
    endpoints = 0
    total = 0.0
    for tier in tiers:
        key = tier.offer.key
        desired = math.ceil((required - total) / tier.tokens_per_s - 1e-9)
        desired = max(desired, need.minimum_endpoints - endpoints)
        added = min(tier.limit, desired)
        if market.is_exposed(key, cover):
            headroom = limit - exposed[key.failure_domain]
            added = min(added, math.floor(headroom / tier.tokens_per_s + 1e-9))
        if added <= 0:
            continue
        counts[key] = counts.get(key, 0) + added
        endpoints += added
        total += added * tier.tokens_per_s
        if market.is_exposed(key, cover):
            exposed[key.failure_domain] += added * tier.tokens_per_s
    return counts


def _trim(
    counts: market.Counts,
    need: market.Need,
    offers: typing.Mapping[market.OfferKey, market.Offer],
    tiers: list[_Tier],
    cover: market.Cover,
) -> market.Counts:
    """*counts* without VMs added by rounding, the most expensive first."""
    current = dict(counts)
    for tier in reversed(tiers):
        key = tier.offer.key
        surplus = sum(current.values()) - need.minimum_endpoints
        most = min(current.get(key, 0), max(0, surplus))
        if not most:
            continue
        throughput = market.throughput_of(current, offers, cover)
        domain = key.failure_domain if market.is_exposed(key, cover) else ''

        def is_too_many(
            fewer: int,
            size: float = tier.tokens_per_s,
            domain: str = domain,
            throughput: market.Throughput = throughput,
        ) -> bool:
            remaining = throughput.after_loss(domain, fewer * size)
            return remaining < need.tokens_per_s - 1e-6

        # The remaining throughput falls as more VMs are removed, so the
        # largest number that can be removed is found by bisection.
        removable = bisect.bisect_left(
            range(1, most + 1), True, key=is_too_many
        )
        if removable:
            current[key] -= removable
    return {key: count for key, count in current.items() if count}


def _discounted_cost(counts: market.Counts, tiers: list[_Tier]) -> float:
    """The cost used for comparison, with the discount on held VMs."""
    cost = 0.0
    remaining = dict(counts)
    for tier in tiers:
        count = min(tier.limit, remaining.get(tier.offer.key, 0))
        if count:
            remaining[tier.offer.key] -= count
            cost += count * tier.cents_per_token * tier.tokens_per_s
    return cost


def _fill_without_cover(
    need: market.Need,
    offers: typing.Mapping[market.OfferKey, market.Offer],
    held: typing.Mapping[market.OfferKey, int],
    weights: market.Weights,
) -> market.Counts:
    """VMs that serve the load as long as none is lost, by domain in turn.

    Held VMs are kept, unless they exceed the pool's maximum. May serve
    less than the load if the offers or the maximum don't allow more.
    """
    tiers = _tiers(offers, held, weights)
    counts = {key: count for key, count in held.items() if key in offers}
    if sum(counts.values()) > need.maximum_endpoints:
        counts = {}
    total = sum(n * offers[key].tokens_per_s for key, n in counts.items())
    endpoints = sum(counts.values())
    while total < need.tokens_per_s or endpoints < need.minimum_endpoints:
        if endpoints >= need.maximum_endpoints:
            break
        tier = _least_loaded(tiers, counts)
        if tier is None:
            break
        key = tier.offer.key
        counts[key] = counts.get(key, 0) + 1
        endpoints += 1
        total += tier.tokens_per_s
    return counts


def _least_loaded(tiers: list[_Tier], counts: market.Counts) -> _Tier | None:
    in_domain: dict[str, int] = collections.defaultdict(int)
    for key, count in counts.items():
        in_domain[key.failure_domain] += count
    free = [
        tier
        for tier in tiers
        if counts.get(tier.offer.key, 0) < tier.offer.limit
    ]
    if not free:
        return None
    return min(
        free,
        key=lambda tier: (
            in_domain[tier.offer.key.failure_domain],
            tier.cents_per_token,
            market.sort_key(tier.offer.key),
        ),
    )


def _keep_or_replace(
    best: market.Counts,
    need: market.Need,
    offers: typing.Mapping[market.OfferKey, market.Offer],
    held: typing.Mapping[market.OfferKey, int],
    weights: market.Weights,
    cover: market.Cover,
) -> market.PoolPlan:
    best_cost = market.cost_cents_per_hour(best, offers, weights)
    held_cost = market.cost_cents_per_hour(held, offers, weights)
    held_count = sum(held.values())
    fits = (
        need.minimum_endpoints <= held_count <= need.maximum_endpoints
        and all(key in offers for key in held)
        and market.survives(held, offers, need.tokens_per_s, cover)
    )
    if fits and held_cost <= best_cost * (1 + weights.keep_margin):
        return market.PoolPlan(
            {key: count for key, count in held.items() if count},
            cover,
            held_cost,
            f'survives the {cover.value}; a cheaper set would save less '
            f'than {weights.keep_margin:.0%}',
            kept=dict(best) != dict(held),
        )
    return market.PoolPlan(
        best,
        cover,
        best_cost,
        f'the cheapest set that survives the {cover.value}',
    )
