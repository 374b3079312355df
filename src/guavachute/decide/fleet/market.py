"""Offers of the cloud, their expected cost, and what a set survives."""

import collections
import dataclasses
import enum
import typing

from guavachute import ids

SECONDS_PER_HOUR = 3600.0
KEEP_MARGIN = 0.08
"""A new plan must be cheaper than the held VMs by this fraction."""
UNLIMITED = 1_000_000


class Market(enum.Enum):
    """The terms on which a VM is bought."""

    RECLAIMABLE = 'reclaimable'
    ON_DEMAND = 'on-demand'


class Cover(enum.Enum):
    """The loss after which a plan still serves the load."""

    DOMAIN_LOSS = 'loss of any failure domain'
    RECLAIM = 'reclaim of any failure domain'
    SHORT = 'nothing: too few VMs on offer'


class OfferKey(typing.NamedTuple):
    """Identifies an offer: failure domain, machine class and market."""

    failure_domain: ids.FailureDomain
    machine_class: str
    market: Market


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """One offer of the cloud, with the throughput it has for one pool.

    :ivar tokens_per_s: what one VM serves within the latency target
    :ivar reclaims_per_vm_hour: upper bound; 0 for on-demand
    :ivar start_up_s: time from an order until the VM serves
    :ivar limit: the most VMs of this offer that a plan may have, held
        ones included; close to the number held while starts are refused
    """

    key: OfferKey
    price_cents_per_hour: float
    tokens_per_s: float
    reclaims_per_vm_hour: float = 0.0
    start_up_s: float = 180.0
    limit: int = UNLIMITED


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Cost weights of an environment.

    :ivar recomputed_tokens_per_reclaim: expected when a VM is reclaimed
    :ivar keep_margin: see :data:`KEEP_MARGIN`
    """

    recomputed_token_cost_cents: float
    recomputed_tokens_per_reclaim: float = 20_000.0
    keep_margin: float = KEEP_MARGIN


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """The load that a pool must serve, and limits on its endpoints."""

    tokens_per_s: float
    minimum_endpoints: int = 0
    maximum_endpoints: int = UNLIMITED
    on_demand_allowed: bool = True


Counts = dict[OfferKey, int]
"""Number of VMs by offer."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPlan:
    """The VMs that a pool should have.

    :ivar cover: the loss that these VMs survive
    :ivar cost_cents_per_hour: expected, including the cost of reclaims
    :ivar kept: the held VMs were kept although another set was cheaper
    """

    counts: Counts
    cover: Cover
    cost_cents_per_hour: float
    reason: str
    kept: bool = False


def expected_cost_cents_per_hour(offer: Offer, weights: Weights) -> float:
    """The price of one VM plus the expected cost of its reclaims.

    A reclaim costs the price of the replacement's start-up time and the
    tokens that are computed again.
    """
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
    """Whether *counts* still serve the load after the loss in *cover*."""
    throughput = throughput_of(counts, offers, cover)
    return throughput.after_loss() >= need_tokens_per_s - 1e-6


@dataclasses.dataclass(slots=True)
class Throughput:
    """Tokens/s that a set of VMs serves.

    :ivar exposed: the part that would be lost with each failure domain
    """

    total: float
    exposed: dict[str, float]

    def after_loss(self, domain: str = '', fewer: float = 0.0) -> float:
        """Tokens/s that remain after the loss of the worst domain.

        :param domain: where VMs are removed before the loss
        :param fewer: tokens/s that these VMs serve
        """
        worst = 0.0
        for name, tokens_per_s in self.exposed.items():
            if name == domain:
                tokens_per_s -= fewer
            worst = max(worst, tokens_per_s)
        return self.total - fewer - worst


def throughput_of(
    counts: typing.Mapping[OfferKey, int],
    offers: typing.Mapping[OfferKey, Offer],
    cover: Cover,
) -> Throughput:
    """Tokens/s served by *counts*; VMs without an offer don't count."""
    total = 0.0
    exposed: dict[str, float] = collections.defaultdict(float)
    for key, count in counts.items():
        if key not in offers:
            continue
        tokens_per_s = count * offers[key].tokens_per_s
        total += tokens_per_s
        if is_exposed(key, cover):
            exposed[key.failure_domain] += tokens_per_s
    return Throughput(total, exposed)


def cost_cents_per_hour(
    counts: typing.Mapping[OfferKey, int],
    offers: typing.Mapping[OfferKey, Offer],
    weights: Weights,
) -> float:
    """Expected cost of a set of VMs; those without an offer cost nothing."""
    return sum(
        count * expected_cost_cents_per_hour(offers[key], weights)
        for key, count in counts.items()
        if key in offers
    )


def is_exposed(key: OfferKey, cover: Cover) -> bool:
    """Whether VMs of *key* may be lost in the loss that *cover* names."""
    if cover is Cover.DOMAIN_LOSS:
        return True
    return key.market is Market.RECLAIMABLE


def sort_key(key: OfferKey) -> tuple[str, str, str]:
    """The sort key of offers, the same in every process."""
    return key.failure_domain, key.machine_class, key.market.value
