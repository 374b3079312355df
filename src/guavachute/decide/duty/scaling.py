"""How many endpoints of each kind to order in each failure domain.

Reclaimable endpoints cost a fraction of on-demand ones, but a failure
domain can lose all of them within seconds, and none can be had for a
while after that. So each domain gets enough reclaimable ones that the
demand is met when the others have lost theirs, as long as this is
cheaper than on-demand ones, and a few on-demand ones stay as a floor.
"""

import dataclasses
import math
import typing

from guavachute.domain import configuration
from guavachute import ids

TARGET_USE = 0.55
"""Part of an engine's time that the demand may take; the rest keeps the
time to the first token short when long prompts meet."""

STEP_S = 0.0055
"""Assumed time of a decoding step, in which a batch gets a token each."""

BATCH = 16
"""Assumed requests that share a step at the wanted use."""

SHRINK_AFTER_S = 12.0
"""A wish is lowered only when the need was lower for so long."""

FOUND_PART = 0.6
"""Part of the endpoints found at the start that is kept at first."""

FOUND_S = 40.0
"""How long that part is kept."""

LOST_DOMAINS = 2
"""Domains that may lose their reclaimable endpoints at the same time."""

ON_DEMAND_FLOOR = 1
"""On-demand endpoints that are kept for the case that all others go."""


class Kind(typing.NamedTuple):
    """What is ordered as one number."""

    domain: ids.FailureDomain
    is_reclaimable: bool


Wish = dict[Kind, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What all callers ask of a service, over all nodes.

    :ivar prompt_tokens_per_s: that have to be read
    :ivar output_tokens_per_s: that are generated
    :ivar prefill_tokens_per_s: how fast one engine reads
    """

    prompt_tokens_per_s: float
    output_tokens_per_s: float
    prefill_tokens_per_s: float


def needed(demand: Demand) -> int:
    """Engines that serve *demand* without making callers wait."""
    reading = demand.prompt_tokens_per_s / demand.prefill_tokens_per_s
    decoding = demand.output_tokens_per_s * STEP_S / BATCH
    return math.ceil((reading + decoding) / TARGET_USE)


def wish(
    scaling: configuration.Scaling,
    domains: typing.Sequence[ids.FailureDomain],
    engines: int,
) -> Wish:
    """The orders that serve a need of so many *engines*."""
    floor = min(ON_DEMAND_FLOOR, engines) if engines else 0
    cheapest = sorted(
        domains, key=lambda name: (scaling.price_by_domain.get(name, 1), name)
    )
    wished: Wish = {}
    if scaling.spot_price_ratio is None:
        _deal(wished, scaling, cheapest, max(engines, 1), False)
        return wished
    surviving = max(1, len(domains) - LOST_DOMAINS)
    per_domain = math.ceil(max(0, engines - floor) / surviving)
    for place, domain in enumerate(cheapest):
        on_demand = floor if place == 0 else 0
        room = scaling.max_per_domain - on_demand
        reclaimable = min(
            room, max(per_domain, scaling.min_per_domain - on_demand)
        )
        wished[Kind(domain, False)] = on_demand
        wished[Kind(domain, True)] = reclaimable
    return wished


def _deal(
    wished: Wish,
    scaling: configuration.Scaling,
    domains: typing.Sequence[ids.FailureDomain],
    engines: int,
    is_reclaimable: bool,
) -> None:
    """Spread *engines* evenly, the cheapest domains first."""
    for domain in domains:
        wished[Kind(domain, is_reclaimable)] = scaling.min_per_domain
    left = engines - sum(wished.values())
    while left > 0:
        open_domains = [
            domain
            for domain in domains
            if wished[Kind(domain, is_reclaimable)] < scaling.max_per_domain
        ]
        if not open_domains:
            return
        domain = min(
            open_domains, key=lambda name: wished[Kind(name, is_reclaimable)]
        )
        wished[Kind(domain, is_reclaimable)] += 1
        left -= 1


class Need:
    """The need over time: up at once, down only after a while.

    Until the demand has been seen for a while, a part of the on-demand
    endpoints that were there before any order is taken as needed.
    """

    def __init__(self, now_s: float) -> None:
        self._recent: list[tuple[float, int]] = []
        self._found = 0
        self._found_until_s = now_s + FOUND_S

    def update(self, engines: int, on_demand: int, now_s: float) -> int:
        """The highest need of late, with *engines* now.

        :param on_demand: endpoints of that kind that are there
        """
        self._found = max(self._found, on_demand)
        self._recent = [
            item for item in self._recent if now_s - item[0] < SHRINK_AFTER_S
        ]
        self._recent.append((now_s, engines))
        highest = max(item[1] for item in self._recent)
        if now_s < self._found_until_s:
            return max(highest, math.ceil(self._found * FOUND_PART))
        return highest
