"""What is on offer, what it costs, and what a set of VMs survives."""

import collections
import dataclasses
import enum
import typing

from guavachute import ids

SECONDS_PER_HOUR = 3600.0
KEEP_MARGIN = 0.08
"""A new plan must be cheaper than what is held by this part."""
UNLIMITED = 1_000_000


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
    carried = carried_by(counts, offers, cover)
    return carried.left() >= need_tokens_per_s - 1e-6


@dataclasses.dataclass(slots=True)
class Carried:
    """What a set of VMs carries, and what of it each domain could take."""

    total: float
    exposed: dict[str, float]

    def left(self, domain: str = '', fewer: float = 0.0) -> float:
        """What is left after the loss; *fewer* tokens/s from *domain*."""
        worst = 0.0
        for name, tokens_per_s in self.exposed.items():
            if name == domain:
                tokens_per_s -= fewer
            worst = max(worst, tokens_per_s)
        return self.total - fewer - worst


def carried_by(
    counts: typing.Mapping[OfferKey, int],
    offers: typing.Mapping[OfferKey, Offer],
    cover: Cover,
) -> Carried:
    """What *counts* carry; VMs of offers that are not given don't count."""
    total = 0.0
    exposed: dict[str, float] = collections.defaultdict(float)
    for key, count in counts.items():
        if key not in offers:
            continue
        tokens_per_s = count * offers[key].tokens_per_s
        total += tokens_per_s
        if is_exposed(key, cover):
            exposed[key.failure_domain] += tokens_per_s
    return Carried(total, exposed)


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


def is_exposed(key: OfferKey, cover: Cover) -> bool:
    """Whether the loss that *cover* names may take VMs of *key*."""
    if cover is Cover.DOMAIN_LOSS:
        return True
    return key.market is Market.RECLAIMABLE


def order(key: OfferKey) -> tuple[str, str, str]:
    """What sorts offers, the same way in every process."""
    return key.failure_domain, key.machine_class, key.market.value
