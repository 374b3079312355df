"""Computes how many endpoints to order in each failure domain.

Reclaimable endpoints cost a fraction of on-demand ones, but a failure
domain can lose all of them within seconds, and none are available there
for a while afterwards. So more reclaimable endpoints are ordered than
the demand needs, spread over the domains such that the loss of one
domain leaves enough. While endpoints are being reclaimed, on-demand
endpoints are ordered such that the loss of one more domain still leaves
enough for all callers, at a higher latency.
"""

import dataclasses
import math
import typing

from guavachute.domain import configuration
from guavachute import ids

TARGET_UTILIZATION = 0.8
"""Utilization of the engines that is aimed at; the rest keeps the time
to first token short when several long prompts arrive at once."""

MAX_UTILIZATION = 1.0
"""Utilization accepted while reclaimable engines are not available."""

PREFILL_TOKENS_PER_S = 60_000.0
"""Prefill speed of an engine that also decodes running requests, assumed until
it is measured."""

DECODE_TOKEN_S = 0.00031
"""Time per generated token, as its share of a batch step, assumed until it is
measured."""

SPEED_TRUST = 3.0
"""Measured speeds count down to the assumed ones divided by this factor: one
node's wrong measurement must not order any number of engines. Faster ones
don't count: they were measured without a queue, and fewer engines make callers
wait behind long prompts."""

SCALE_DOWN_DELAY_S = 12.0
"""The desired counts fall only after the demand was lower for this long."""

INITIAL_USE = 0.8
"""Before the demand is measured, this share of the engines that were
ready at the start is assumed to be needed."""

INITIAL_ESTIMATE_S = 40.0
"""Without any demand, the assumption is dropped after this."""

DEMAND_WARMUP_S = 6.0
"""The assumption is dropped this long after the first demand; a rate
takes some seconds to be measured."""

TOLERATED_DOMAIN_LOSSES = 1
"""Number of domains that may lose their reclaimable endpoints without
a shortage."""

RECLAIMABLE_RESERVE = 2
"""Part of each domain's maximum that is reserved for reclaimable
endpoints, so that they can replace on-demand ones later."""

MIN_ON_DEMAND = 1
"""On-demand endpoints that are kept in case all others are lost."""


class EndpointKind(typing.NamedTuple):
    """A kind of endpoints, ordered by one count.

    :ivar is_reclaimable: whether the cloud may reclaim them at any time
    """

    domain: ids.FailureDomain
    is_reclaimable: bool


DesiredCounts = dict[EndpointKind, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The load of a service, summed over all nodes.

    :ivar prompt_tokens_per_s: rate of prompt tokens to prefill
    :ivar output_tokens_per_s: rate of tokens to generate
    :ivar prefill_tokens_per_s: the prefill speed of an engine
    :ivar decode_token_s: time per generated token, as its share of a step
    """

    prompt_tokens_per_s: float
    output_tokens_per_s: float
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    decode_token_s: float = DECODE_TOKEN_S

    def at_speed(
        self, prefill_tokens_per_s: float | None, decode_token_s: float | None
    ) -> 'Demand':
        """The same load on engines of the measured speed, within bounds.

        :param prefill_tokens_per_s: None if it was not measured
        :param decode_token_s: None if it was not measured
        """
        return dataclasses.replace(
            self,
            prefill_tokens_per_s=1
            / _trusted(
                prefill_tokens_per_s and 1 / prefill_tokens_per_s,
                1 / PREFILL_TOKENS_PER_S,
            ),
            decode_token_s=_trusted(decode_token_s, DECODE_TOKEN_S),
        )

    @property
    def busy_engines(self) -> float:
        """The load as a number of fully utilized engines."""
        return (
            self.prompt_tokens_per_s / self.prefill_tokens_per_s
            + self.output_tokens_per_s * self.decode_token_s
        )


def _trusted(measured_s: float | None, assumed_s: float) -> float:
    """The time per token to scale for, between the assumed and a bound."""
    if measured_s is None:
        return assumed_s
    return min(SPEED_TRUST * assumed_s, max(assumed_s, measured_s))


def desired_counts(
    scaling: configuration.Scaling,
    domains: typing.Sequence[ids.FailureDomain],
    busy_engines: float,
    reclaimable_ready: typing.Mapping[ids.FailureDomain, int],
    is_reclaiming: bool,
    limited: int = 0,
) -> DesiredCounts:
    """The desired number of endpoints of each kind in each domain.

    :param busy_engines: the demand, as a number of fully utilized engines
    :param reclaimable_ready: by domain, the number of reclaimable
        endpoints that are ready and not draining
    :param is_reclaiming: whether a domain lost endpoints recently, so
        that other domains may follow while none are available
    :param limited: endpoints that have named a limit. They are ready, but do
        little work, so that others are needed in their place.
    """
    by_price = sorted(
        domains, key=lambda name: (scaling.price_by_domain.get(name, 1), name)
    )
    engines = math.ceil(busy_engines / TARGET_UTILIZATION) + limited
    if scaling.spot_price_ratio is None:
        return _spread(
            by_price, max(1, engines), False, scaling.max_per_domain
        )
    ready = sum(reclaimable_ready.values())
    missing = math.ceil(busy_engines / MAX_UTILIZATION) - ready
    if is_reclaiming:
        remaining = ready - max(reclaimable_ready.values(), default=0)
        missing = max(missing, math.ceil(busy_engines) - remaining)
    maximum = max(1, scaling.max_per_domain - RECLAIMABLE_RESERVE)
    desired = _spread(by_price, max(MIN_ON_DEMAND, missing), False, maximum)
    surviving = max(1, len(domains) - TOLERATED_DOMAIN_LOSSES)
    per_domain = math.ceil(max(0, engines - MIN_ON_DEMAND) / surviving)
    for domain in by_price:
        on_demand = desired[EndpointKind(domain, False)]
        desired[EndpointKind(domain, True)] = max(
            scaling.min_per_domain - on_demand,
            min(scaling.max_per_domain - on_demand, per_domain),
            0,
        )
    return desired


def _spread(
    domains: typing.Sequence[ids.FailureDomain],
    engines: int,
    is_reclaimable: bool,
    maximum: int,
) -> DesiredCounts:
    """Spread *engines* evenly; the first of *domains* get the remainder.

    :param maximum: most engines in one domain; others are left out
    """
    desired: DesiredCounts = {}
    remaining = engines
    for place, domain in enumerate(domains):
        count = min(-(-remaining // (len(domains) - place)), maximum)
        desired[EndpointKind(domain, is_reclaimable)] = count
        remaining -= count
    return desired


class DemandEstimate:
    """The demand used for scaling: rises at once, falls after a delay."""

    def __init__(self) -> None:
        self._first_update_s: float | None = None
        self._recent: list[tuple[float, float]] = []
        self._initial_ready = 0
        self._first_demand_s: float | None = None

    def update(self, busy_engines: float, ready: int, now_s: float) -> float:
        """Record a measurement and return the demand to scale for.

        That is the highest recent measurement. Until the demand has been
        measured for a while, it is at least a share of the endpoints
        that were ready at the first call, of any kind, since this
        process may have restarted under full load.

        :param busy_engines: measured demand, as fully utilized engines
        :param ready: number of ready endpoints
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
