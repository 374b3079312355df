"""Which VMs a pool should have: the cheapest set that survives a loss.

The constraint: with any one failure domain gone, what is left still
carries the committed load. Where enough domains have VMs to offer, that
is met by spreading (``DOMAIN_LOSS``: a loss takes all VMs of the domain).
Where they don't, on-demand VMs cover what spreading can't
(``RECLAIM``: a wave takes the reclaimable VMs of the domain). Where even
that can't be had, the plan takes what there is and says so
(``SHORT``).

The objective is the cost per hour: the price and, for reclaimable VMs,
the expected cost of reclaims (the start that replaces it and the tokens
computed again) at the upper bound of the observed rate. The spare that
the constraint keeps also covers single reclaims until their replacements
serve; more for both at once would cost a small fleet whole VMs.

With at most M tokens/s in each domain, the total must be the load plus M,
and filling the cheapest offers first is optimal. The cost is piecewise
linear in M with its corners where the number of domains in use changes,
so only those are tried; the work grows with the offers, not the VMs.
"""

import bisect
import collections
import dataclasses
import enum
import math
import typing

from guavachute import ids

SECONDS_PER_HOUR = 3600.0
KEEP_MARGIN = 0.08
"""A new plan must be cheaper than what is held by this part."""
UNLIMITED = 1_000_000
SMALL_POOL_ENGINES = 40
"""Up to this size every limit per failure domain is tried."""


class Market(enum.Enum):
    """How a VM is paid for."""

    RECLAIMABLE = 'reclaimable'
    ON_DEMAND = 'on-demand'


class Cover(enum.Enum):
    """What a plan survives."""

    DOMAIN_LOSS = 'loss of any failure domain'
    RECLAIM = 'reclaim of any failure domain'
    SHORT = 'nothing: too few VMs on offer'


class OfferKey(typing.NamedTuple):
    """What is bought: where, what and how paid."""

    failure_domain: ids.FailureDomain
    machine_class: str
    market: Market


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """One offer of the cloud as it looks to one pool.

    :ivar tokens_per_s: what one VM carries within the latency target
    :ivar reclaims_per_vm_hour: upper bound; 0 for on-demand
    :ivar limit: how many VMs it may give in all; those held count, and
        while starts are refused only they do
    """

    key: OfferKey
    price_cents_per_hour: float
    tokens_per_s: float
    reclaims_per_vm_hour: float = 0.0
    start_up_s: float = 180.0
    limit: int = UNLIMITED


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """What the environment weighs against what.

    :ivar recomputed_tokens_per_reclaim: to expect when one VM goes
    """

    recomputed_token_cost_cents: float
    recomputed_tokens_per_reclaim: float = 20_000.0
    keep_margin: float = KEEP_MARGIN


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a pool must carry."""

    tokens_per_s: float
    minimum_endpoints: int = 0
    maximum_endpoints: int = UNLIMITED
    on_demand_allowed: bool = True


Counts = dict[OfferKey, int]


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPlan:
    """The VMs that a pool should have.

    :ivar cost_cents_per_hour: expected, with the cost of reclaims
    :ivar kept: what is held was kept though a cheaper set exists
    """

    counts: Counts
    cover: Cover
    cost_cents_per_hour: float
    reason: str
    kept: bool = False


def expected_cost_cents_per_hour(offer: Offer, weights: Weights) -> float:
    """The price of one VM with the expected cost of its reclaims."""
    start_hours = offer.start_up_s / SECONDS_PER_HOUR
    loss_cents = (
        offer.price_cents_per_hour * start_hours
        + weights.recomputed_tokens_per_reclaim
        * weights.recomputed_token_cost_cents
    )
    return offer.price_cents_per_hour + (
        offer.reclaims_per_vm_hour * loss_cents
    )


def survives(
    counts: typing.Mapping[OfferKey, int],
    offers: typing.Mapping[OfferKey, Offer],
    need_tokens_per_s: float,
    cover: Cover,
) -> bool:
    """Whether *counts* carry the load after the loss that *cover* names."""
    total = 0.0
    exposed: dict[str, float] = collections.defaultdict(float)
    for key, count in counts.items():
        if key not in offers:
            continue
        tokens_per_s = count * offers[key].tokens_per_s
        total += tokens_per_s
        if _is_exposed(key, cover):
            exposed[key.failure_domain] += tokens_per_s
    worst = max(exposed.values(), default=0.0)
    return total - worst >= need_tokens_per_s - 1e-6


def cost_cents_per_hour(
    counts: typing.Mapping[OfferKey, int],
    offers: typing.Mapping[OfferKey, Offer],
    weights: Weights,
) -> float:
    """The expected cost of a set of VMs."""
    return sum(
        count * expected_cost_cents_per_hour(offers[key], weights)
        for key, count in counts.items()
        if key in offers
    )


def plan_pool(
    need: Need,
    offers: typing.Iterable[Offer],
    held: typing.Mapping[OfferKey, int],
    weights: Weights,
) -> PoolPlan:
    """The VMs to have; *held* are those bought already."""
    by_key = {
        offer.key: offer
        for offer in offers
        if need.on_demand_allowed or offer.key.market is Market.RECLAIMABLE
    }
    if need.tokens_per_s <= 0 and need.minimum_endpoints <= 0:
        return PoolPlan({}, Cover.DOMAIN_LOSS, 0.0, 'no load to carry')
    for cover in (Cover.DOMAIN_LOSS, Cover.RECLAIM):
        best = _cheapest(need, by_key, held, weights, cover)
        if best is not None:
            return _keep_or_take(best, need, by_key, held, weights, cover)
    counts = _as_many_as_needed(need, by_key, held, weights)
    return PoolPlan(
        counts,
        Cover.SHORT,
        cost_cents_per_hour(counts, by_key, weights),
        'no set on offer survives the loss of a failure domain',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Tier:
    """Equal VMs: those held of an offer, or those still to be bought."""

    offer: Offer
    limit: int
    tokens_per_s: float
    cents_per_token: float


def _is_exposed(key: OfferKey, cover: Cover) -> bool:
    if cover is Cover.DOMAIN_LOSS:
        return True
    return key.market is Market.RECLAIMABLE


def _tiers(
    offers: typing.Mapping[OfferKey, Offer],
    held: typing.Mapping[OfferKey, int],
    weights: Weights,
) -> list[_Tier]:
    tiers = []
    for key, offer in offers.items():
        cost = expected_cost_cents_per_hour(offer, weights)
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
    tiers.sort(key=lambda tier: (tier.cents_per_token, order(tier.offer.key)))
    return tiers


def order(key: OfferKey) -> tuple[str, str, str]:
    """What sorts offers, the same way in every process."""
    return key.failure_domain, key.machine_class, key.market.value


def _domain_limits(
    need: Need, tiers: list[_Tier], cover: Cover
) -> list[float]:
    """The values of M, tokens/s a domain, that are worth trying."""
    domains = len({tier.offer.key.failure_domain for tier in tiers})
    limits = {0.0}
    lowest = 0.0
    if cover is Cover.DOMAIN_LOSS:
        # The other domains must carry the whole load.
        lowest = need.tokens_per_s / max(1, domains - 1)
    for size in {tier.tokens_per_s for tier in tiers}:
        engines = math.ceil(need.tokens_per_s / size - 1e-9)
        engines = max(engines, need.minimum_endpoints)
        if engines <= SMALL_POOL_ENGINES:
            limits.update(count * size for count in range(1, engines + 1))
            continue
        for others in range(1, domains + 1):
            whole = math.ceil(engines / others)
            limits.update((whole * size, (whole + 1) * size))
    return sorted(limit for limit in limits if limit >= lowest - 1e-6)


def _cheapest(
    need: Need,
    offers: typing.Mapping[OfferKey, Offer],
    held: typing.Mapping[OfferKey, int],
    weights: Weights,
    cover: Cover,
) -> Counts | None:
    tiers = _tiers(offers, held, weights)
    best: Counts | None = None
    best_cost = math.inf
    for limit in _domain_limits(need, tiers, cover):
        counts = _filled(need, tiers, limit, cover)
        if not survives(counts, offers, need.tokens_per_s, cover):
            continue
        counts = _trimmed(counts, need, offers, tiers, cover)
        endpoints = sum(counts.values())
        if not (need.minimum_endpoints <= endpoints <= need.maximum_endpoints):
            continue
        cost = _kept_cost(counts, tiers)
        if cost < best_cost - 1e-9:
            best, best_cost = counts, cost
    return best


def _filled(
    need: Need, tiers: list[_Tier], limit: float, cover: Cover
) -> Counts:
    """Fill the cheapest tiers first, at most *limit* a domain."""
    counts: Counts = {}
    exposed: dict[str, float] = collections.defaultdict(float)
    required = need.tokens_per_s + limit
    endpoints = 0
    total = 0.0
    for tier in tiers:
        key = tier.offer.key
        wanted = math.ceil((required - total) / tier.tokens_per_s - 1e-9)
        wanted = max(wanted, need.minimum_endpoints - endpoints)
        taken = min(tier.limit, wanted)
        if _is_exposed(key, cover):
            room = limit - exposed[key.failure_domain]
            taken = min(taken, math.floor(room / tier.tokens_per_s + 1e-9))
        if taken <= 0:
            continue
        counts[key] = counts.get(key, 0) + taken
        endpoints += taken
        total += taken * tier.tokens_per_s
        if _is_exposed(key, cover):
            exposed[key.failure_domain] += taken * tier.tokens_per_s
    return counts


def _trimmed(
    counts: Counts,
    need: Need,
    offers: typing.Mapping[OfferKey, Offer],
    tiers: list[_Tier],
    cover: Cover,
) -> Counts:
    """Without the VMs that rounding added, the dearest first."""
    current = dict(counts)
    for tier in reversed(tiers):
        key = tier.offer.key
        surplus = sum(current.values()) - need.minimum_endpoints
        most = min(current.get(key, 0), max(0, surplus))

        def breaks(fewer: int, key: OfferKey = key) -> bool:
            reduced = {**current, key: current[key] - fewer}
            load = need.tokens_per_s
            return not survives(reduced, offers, load, cover)

        # What survives never grows with the number taken away.
        kept_away = bisect.bisect_left(range(1, most + 1), True, key=breaks)
        if kept_away:
            current[key] -= kept_away
    return {key: count for key, count in current.items() if count}


def _kept_cost(counts: Counts, tiers: list[_Tier]) -> float:
    """The cost that decides: VMs that are held count a little less."""
    cost = 0.0
    left = dict(counts)
    for tier in tiers:
        taken = min(tier.limit, left.get(tier.offer.key, 0))
        if taken:
            left[tier.offer.key] -= taken
            cost += taken * tier.cents_per_token * tier.tokens_per_s
    return cost


def _as_many_as_needed(
    need: Need,
    offers: typing.Mapping[OfferKey, Offer],
    held: typing.Mapping[OfferKey, int],
    weights: Weights,
) -> Counts:
    """What carries the load today, evenly by domain as far as it goes.

    Nothing that is held is given up while there is too little.
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


def _least_loaded(tiers: list[_Tier], counts: Counts) -> _Tier | None:
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
            order(tier.offer.key),
        ),
    )


def _keep_or_take(
    best: Counts,
    need: Need,
    offers: typing.Mapping[OfferKey, Offer],
    held: typing.Mapping[OfferKey, int],
    weights: Weights,
    cover: Cover,
) -> PoolPlan:
    best_cost = cost_cents_per_hour(best, offers, weights)
    held_cost = cost_cents_per_hour(held, offers, weights)
    held_count = sum(held.values())
    fits = (
        need.minimum_endpoints <= held_count <= need.maximum_endpoints
        and all(key in offers for key in held)
        and survives(held, offers, need.tokens_per_s, cover)
    )
    if fits and held_cost <= best_cost * (1 + weights.keep_margin):
        return PoolPlan(
            {key: count for key, count in held.items() if count},
            cover,
            held_cost,
            f'survives the {cover.value}; a cheaper set would save less '
            f'than {weights.keep_margin:.0%}',
            kept=dict(best) != dict(held),
        )
    return PoolPlan(
        best, cover, best_cost, f'the cheapest set to survive {cover.value}'
    )
