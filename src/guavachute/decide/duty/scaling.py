"""How many endpoints of each kind to order in each failure domain.

Reclaimable endpoints cost a fraction of on-demand ones, but a failure
domain can lose all of them within seconds, and none can be had for a
while after that. So there are more reclaimable ones than the demand
needs, spread such that one domain's loss is borne. Once a domain has
lost its own, on-demand ones are ordered such that the loss of one more
domain still leaves enough to serve everybody, if slowly.
"""

import dataclasses
import math
import typing

from guavachute.domain import configuration
from guavachute import ids

TARGET_UTILIZATION = 0.8
"""Part of the engines' time that the demand takes at best; the rest
keeps the time to the first token short when long prompts meet."""

MAX_UTILIZATION = 1.0
"""The same while reclaimable engines can't be had."""

PREFILL_TOKENS_PER_S = 60_000.0
"""Assumed speed of an engine that reads prompts between the tokens of
running requests."""

DECODE_TOKEN_S = 0.00031
"""Assumed time of one generated token, as a part of a shared step."""

SCALE_DOWN_DELAY_S = 12.0
"""A wish is lowered only when the demand was lower for so long."""

INITIAL_USE = 0.8
"""What part of the engines found at the start is taken to be needed,
before the demand has been seen."""

INITIAL_ESTIMATE_S = 40.0
"""For how long they are the guide, if there is no demand at all."""

DEMAND_WARMUP_S = 6.0
"""After this long with callers, the measured demand is the guide; a rate
takes some seconds to be measured."""

TOLERATED_DOMAIN_LOSSES = 1
"""Domains whose reclaimable endpoints may go without a shortage."""

MIN_RECLAIMABLE_SLOTS = 2
"""Endpoints of each domain that are never ordered on demand, so that
reclaimable ones can come back and take over from on-demand ones."""

MIN_ON_DEMAND = 1
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
    """

    prompt_tokens_per_s: float
    output_tokens_per_s: float

    @property
    def busy_engines(self) -> float:
        """Engines that would be busy all the time."""
        return (
            self.prompt_tokens_per_s / PREFILL_TOKENS_PER_S
            + self.output_tokens_per_s * DECODE_TOKEN_S
        )


def wish(
    scaling: configuration.Scaling,
    domains: typing.Sequence[ids.FailureDomain],
    busy_engines: float,
    reclaimable_ready: typing.Mapping[ids.FailureDomain, int],
    is_reclaiming: bool,
) -> Wish:
    """The orders for a demand that keeps so many engines busy.

    :param reclaimable_ready: reclaimable endpoints of each domain that
        serve and have not been told to leave
    :param is_reclaiming: whether a domain lost its endpoints of late, so
        that others may follow while none can be had
    """
    by_price = sorted(
        domains, key=lambda name: (scaling.price_by_domain.get(name, 1), name)
    )
    engines = math.ceil(busy_engines / TARGET_UTILIZATION)
    if scaling.spot_price_ratio is None:
        return _spread(
            by_price, max(1, engines), False, scaling.max_per_domain
        )
    ready = sum(reclaimable_ready.values())
    short = math.ceil(busy_engines / MAX_UTILIZATION) - ready
    if is_reclaiming:
        left = ready - max(reclaimable_ready.values(), default=0)
        short = max(short, math.ceil(busy_engines) - left)
    most = max(1, scaling.max_per_domain - MIN_RECLAIMABLE_SLOTS)
    wished = _spread(by_price, max(MIN_ON_DEMAND, short), False, most)
    surviving = max(1, len(domains) - TOLERATED_DOMAIN_LOSSES)
    per_domain = math.ceil(max(0, engines - MIN_ON_DEMAND) / surviving)
    for domain in by_price:
        on_demand = wished[Kind(domain, False)]
        wished[Kind(domain, True)] = max(
            scaling.min_per_domain - on_demand,
            min(scaling.max_per_domain - on_demand, per_domain),
            0,
        )
    return wished


def _spread(
    domains: typing.Sequence[ids.FailureDomain],
    engines: int,
    is_reclaimable: bool,
    most: int,
) -> Wish:
    """*engines* spread evenly, more to the first of *domains*.

    :param most: in one domain
    """
    wished: Wish = {}
    left = engines
    for place, domain in enumerate(domains):
        count = min(-(-left // (len(domains) - place)), most)
        wished[Kind(domain, is_reclaimable)] = count
        left -= count
    return wished


class Need:
    """The demand over time: up at once, down only after a while."""

    def __init__(self) -> None:
        self._first_update_s: float | None = None
        self._recent: list[tuple[float, float]] = []
        self._initial_ready = 0
        self._first_demand_s: float | None = None

    def update(self, busy_engines: float, ready: int, now_s: float) -> float:
        """The highest demand of late, with *busy_engines* now.

        Until the demand has been seen for a while, it is judged by the
        endpoints that were there first, whatever their kind: this
        process may have started again amid the day.

        :param ready: endpoints that serve
        """
        if self._first_update_s is None:
            self._first_update_s = now_s
            self._initial_ready = ready
        if busy_engines and self._first_demand_s is None:
            self._first_demand_s = now_s
        self._recent = [
            item
            for item in self._recent
            if now_s - item[0] < SCALE_DOWN_DELAY_S
        ]
        self._recent.append((now_s, busy_engines))
        highest = max(item[1] for item in self._recent)
        if self._first_demand_s is None:
            is_measured = now_s - self._first_update_s > INITIAL_ESTIMATE_S
        else:
            is_measured = now_s - self._first_demand_s > DEMAND_WARMUP_S
        if is_measured:
            return highest
        return max(
            highest, self._initial_ready * INITIAL_USE * TARGET_UTILIZATION
        )
