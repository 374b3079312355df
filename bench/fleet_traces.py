"""Price, reclaim and load traces for ``bench.fleet``, from fixed seeds.

Each price is a random walk that reverts to its own mean. Each failure
domain has rates of single reclaims and of waves, which policies can't
see; a wave reclaims all reclaimable VMs of the domain, which then refuses
to start any for ``WAVE_REFUSAL_S``. The load follows a daily cycle with
noise and one sudden rise per day.
"""

import dataclasses
import itertools
import math
import random

from guavachute.decide.fleet import market
from guavachute import ids

STEP_S = 30.0
HOURS = 48
STEPS = int(HOURS * 3600 / STEP_S)
START_UP_S = 180.0
MACHINE_CLASSES = ('a10x8', 'l4x8')
TOKENS_PER_S = 1400.0
ON_DEMAND_CENTS_PER_HOUR = 300.0
RECLAIMABLE_CENTS_PER_HOUR = 100.0
PRICE_DEVIATION = 0.012
"""Standard deviation of a price's change in one step."""
PRICE_REVERSION = 0.01
"""Part of the distance to its mean that a price reverts in one step."""
WAVE_REFUSAL_S = 1200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """The parameters in which the sites differ.

    :ivar reclaims_per_vm_hour: rate of single reclaims, by domain
    :ivar waves_per_hour: rate of reclaim waves, by domain
    """

    name: str
    domains: tuple[str, ...]
    reclaims_per_vm_hour: tuple[float, ...]
    waves_per_hour: tuple[float, ...]
    peak_tokens_per_s: float
    recomputed_token_cost_cents: float


SITES = (
    Site(
        'stitchwright',
        ('perth-a', 'perth-b', 'bunbury-a'),
        (0.02, 0.05, 0.3),
        (1 / 48, 1 / 24, 1 / 12),
        9 * TOKENS_PER_S,
        0.0001,
    ),
    Site(
        'kalahari',
        ('erongo-pit', 'erongo-bay', 'karas-depot'),
        (0.02, 0.05, 0.3),
        (1 / 48, 1 / 24, 1 / 12),
        9 * TOKENS_PER_S,
        0.002,
    ),
    Site(
        'eight domains',
        tuple(f'domain-{number}' for number in range(8)),
        (0.01, 0.02, 0.02, 0.05, 0.05, 0.1, 0.2, 0.4),
        (1 / 96, 1 / 48, 1 / 48, 1 / 48, 1 / 24, 1 / 24, 1 / 12, 1 / 6),
        40 * TOKENS_PER_S,
        0.002,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """The environment of one run; all lists have a value for each step.

    :ivar prices: by offer, in cents per hour
    :ivar wave_domains: the failure domain in which a wave starts, or None
    """

    site: Site
    prices: dict[market.OfferKey, list[float]]
    loads_tokens_per_s: list[float]
    wave_domains: list[str | None]
    seed: int


def make(site: Site, seed: int) -> Trace:
    """Return the trace of *site* for *seed*."""
    source = random.Random(f'{site.name}-{seed}')
    prices = {}
    for domain, kind in itertools.product(site.domains, MACHINE_CLASSES):
        mean = RECLAIMABLE_CENTS_PER_HOUR * source.uniform(0.85, 1.2)
        key = offer(domain, market.Market.RECLAIMABLE, kind)
        prices[key] = _price_walk(source, mean)
        key = offer(domain, market.Market.ON_DEMAND, kind)
        prices[key] = [ON_DEMAND_CENTS_PER_HOUR] * STEPS
    return Trace(
        site, prices, _loads(source, site), _waves(source, site), seed
    )


def offer(
    domain: str, how: market.Market, kind: str = MACHINE_CLASSES[0]
) -> market.OfferKey:
    """Return the key of an offer in a failure domain."""
    return market.OfferKey(ids.FailureDomain(domain), kind, how)


def _price_walk(source: random.Random, mean: float) -> list[float]:
    price = mean
    walk = []
    for _ in range(STEPS):
        price += PRICE_REVERSION * (mean - price)
        price *= 1 + source.gauss(0, PRICE_DEVIATION)
        walk.append(price)
    return walk


def _loads(source: random.Random, site: Site) -> list[float]:
    day = 86_400 / STEP_S
    rises = [source.randrange(STEPS) for _ in range(HOURS // 24)]
    loads = []
    for step in range(STEPS):
        wave = 0.6 - 0.4 * math.cos(2 * math.pi * step / day)
        load = site.peak_tokens_per_s * wave * source.uniform(0.95, 1.05)
        if any(0 <= step - rise < 120 for rise in rises):
            load *= 1.25
        loads.append(load)
    return loads


def _waves(source: random.Random, site: Site) -> list[str | None]:
    waves: list[str | None] = []
    for _ in range(STEPS):
        wave_domain = None
        for domain, rate in zip(
            site.domains, site.waves_per_hour, strict=True
        ):
            if source.random() < rate * STEP_S / 3600:
                wave_domain = domain
        waves.append(wave_domain)
    return waves
