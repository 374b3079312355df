"""Formats a fleet plan for ``guavachute plan``, as text or JSON."""

import typing

import msgspec

from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import market


class OfferChange(msgspec.Struct, frozen=True, kw_only=True):
    """Held and planned number of a pool's VMs of one offer."""

    failure_domain: str
    machine_class: str
    market: market.Market
    held: int
    wanted: int


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """The model, version and role assigned to one engine."""

    endpoint: str
    model: str
    version: str
    role: str
    reason: str


class EndedVm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM that would be drained and ended."""

    name: str
    why: str


class StartNow(msgspec.Struct, frozen=True, kw_only=True):
    """A VM that would be ordered now.

    :ivar unmet: unmet part of the workspaces' loads, weighted by share
    """

    pool: str
    failure_domain: str
    machine_class: str
    market: market.Market
    unmet: float


class PoolReport(msgspec.Struct, frozen=True, kw_only=True):
    """The plan for one pool.

    :ivar survives: the loss that the planned VMs survive
    """

    pool: str
    need_tokens_per_s: float
    survives: str
    cost_cents_per_hour: float
    reason: str
    offers: list[OfferChange]
    ends: list[EndedVm]
    engines: list[Move]


class PlanReport(msgspec.Struct, frozen=True, kw_only=True):
    """The plan for all pools of an environment."""

    pools: list[PoolReport]
    starts: list[StartNow]
    cost_cents_per_hour: float


def report(plan: fleet_plan.FleetPlan) -> PlanReport:
    """The serializable report of *plan*, with reasons and costs."""
    pools = [_pool_report(each) for each in plan.decisions]
    return PlanReport(
        pools=pools,
        starts=[
            StartNow(
                pool=start.pool,
                failure_domain=start.offer.failure_domain,
                machine_class=start.offer.machine_class,
                market=start.offer.market,
                unmet=start.unmet,
            )
            for start in plan.starts
        ],
        cost_cents_per_hour=sum(each.cost_cents_per_hour for each in pools),
    )


def lines(shown: PlanReport) -> typing.Iterator[str]:
    """The report as lines of text for an operator."""
    for pool in shown.pools:
        yield from _pool_lines(pool)
    for start in shown.starts:
        yield (
            f'start now: pool {start.pool}, {start.market.value} '
            f'{start.machine_class} in {start.failure_domain} '
            f'(unmet share {start.unmet:.2f})'
        )
    yield f'expected cost: {shown.cost_cents_per_hour:.1f} cents/h'


def offer_text(key: market.OfferKey) -> str:
    """An offer as text: market, machine class and failure domain."""
    return f'{key.market.value} {key.machine_class} in {key.failure_domain}'


def _pool_report(decision: fleet_plan.PoolDecision) -> PoolReport:
    plan = decision.plan
    keys = sorted({*plan.counts, *decision.held}, key=market.sort_key)
    return PoolReport(
        pool=decision.pool,
        need_tokens_per_s=decision.need.tokens_per_s,
        survives=plan.cover.value,
        cost_cents_per_hour=plan.cost_cents_per_hour,
        reason=plan.reason,
        offers=[
            OfferChange(
                failure_domain=key.failure_domain,
                machine_class=key.machine_class,
                market=key.market,
                held=decision.held.get(key, 0),
                wanted=plan.counts.get(key, 0),
            )
            for key in keys
        ],
        ends=[EndedVm(name=e.name, why=e.why) for e in decision.ends],
        engines=[
            Move(
                endpoint=each.endpoint,
                model=each.desired.model,
                version=each.desired.version,
                role=each.desired.role.value,
                reason=each.reason,
            )
            for each in decision.assignments
            if each.desired is not None
        ],
    )


def _pool_lines(pool: PoolReport) -> typing.Iterator[str]:
    yield (
        f'pool {pool.pool}: {pool.need_tokens_per_s:.0f} tokens/s to carry; '
        f'survives {pool.survives}; {pool.cost_cents_per_hour:.1f} cents/h'
    )
    yield f'  {pool.reason}'
    for each in pool.offers:
        change = each.wanted - each.held
        yield (
            f'  {each.market.value} {each.machine_class} in '
            f'{each.failure_domain}: {each.held} -> {each.wanted} '
            f'({f"{change:+d}" if change else "no change"})'
        )
    for end in pool.ends:
        yield f'  end {end.name}: {end.why}'
    for move in pool.engines:
        yield (
            f'  {move.endpoint}: {move.model} version {move.version}, '
            f'role {move.role}: {move.reason}'
        )
