"""A fleet plan in words, as ``guavachute plan`` prints it."""

import typing

from guavachute.decide import fleet_plan
from guavachute.decide import market


def lines(plan: fleet_plan.FleetPlan) -> typing.Iterator[str]:
    """What would be bought, moved and ended, with reasons and cost."""
    for decision in plan.decisions:
        yield from _pool_lines(decision)
    for start in plan.starts:
        yield (
            f'start now: pool {start.pool}, {offer_text(start.offer)} '
            f'(unmet share {start.unmet:.2f})'
        )
    cost = sum(each.plan.cost_cents_per_hour for each in plan.decisions)
    yield f'expected cost: {cost:.1f} cents/h'


def offer_text(key: market.OfferKey) -> str:
    """An offer as operators read it."""
    return f'{key.market.value} {key.machine_class} in {key.failure_domain}'


def _pool_lines(
    decision: fleet_plan.PoolDecision,
) -> typing.Iterator[str]:
    need = decision.need
    plan = decision.plan
    yield (
        f'pool {decision.pool}: {need.tokens_per_s:.0f} tokens/s to carry; '
        f'survives {plan.cover.value}; '
        f'{plan.cost_cents_per_hour:.1f} cents/h'
    )
    yield f'  {plan.reason}'
    for key in sorted({*plan.counts, *decision.held}, key=market.order):
        held = decision.held.get(key, 0)
        wanted = plan.counts.get(key, 0)
        if held or wanted:
            change = f'{wanted - held:+d}' if wanted != held else 'no change'
            yield f'  {offer_text(key)}: {held} -> {wanted} ({change})'
    for end in decision.ends:
        yield f'  end {end.name}: {end.why}'
    for assignment in decision.assignments:
        wish = assignment.wish
        if wish is not None:
            yield (
                f'  {assignment.endpoint}: {wish.model} version '
                f'{wish.version}, role {wish.role.value}: '
                f'{assignment.reason}'
            )
