"""One planning round: which VMs to start and end, and why.

Combines market, demand, placement and replacement order for all pools
of one environment. The functions are pure, so the same input gives the
same plan: ``guavachute plan`` prints it and the lease holder executes it.
"""

import collections
import dataclasses
import enum
import math
import typing

from guavachute.decide.fleet import demand
from guavachute.decide.fleet import market
from guavachute.decide.fleet import market_plan
from guavachute.decide.fleet import placement
from guavachute.decide.fleet import reclaim_rate
from guavachute.decide.fleet import replacement_wave
from guavachute.decide.fleet import rollout
from guavachute.decide.requests import congestion_window
from guavachute.document import schema
from guavachute import ids

MAX_ENDED_FRACTION = 0.1
"""Largest part of a pool's VMs to end in one round; at least one VM."""


class Phase(enum.Enum):
    """Lifecycle phase of a VM of the fleet."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    LEAVING = 'leaving'
    """The cloud has announced that it will reclaim the VM."""


HELD_PHASES = (Phase.STARTING, Phase.SERVING)
"""Phases in which a VM counts as held; all others are to be replaced."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetVm:
    """A VM of a pool, or an order for one.

    :ivar engine: None for VMs of service pools and for pending orders
    """

    name: str
    offer: market.OfferKey
    phase: Phase
    engine: placement.Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """The input of the plan for one pool.

    :ivar loads: what each workspace requests of the pool; may be empty
    :ivar has_full_history: the load has been observed for long enough;
        until then, as after a change of the lease holder, no VM is ended
    """

    pool: ids.PoolName
    config: schema.Pool
    models: typing.Mapping[ids.ModelName, schema.Model]
    forecasts: typing.Mapping[ids.ModelName, demand.Forecast]
    loads: tuple[replacement_wave.WorkspaceLoad, ...]
    vms: tuple[FleetVm, ...]
    start_up: demand.StartUp = demand.StartUp()
    rollouts: typing.Mapping[ids.ModelName, rollout.Rollout] = (
        dataclasses.field(default_factory=dict)
    )
    has_full_history: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class MarketState:
    """Prices, reclaim statistics and congestion windows, by offer.

    An offer without a price isn't on sale at present.
    """

    prices: typing.Mapping[market.OfferKey, float]
    observed: typing.Mapping[market.OfferKey, reclaim_rate.Observed]
    windows: typing.Mapping[
        market.OfferKey, congestion_window.CongestionWindow
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """A VM to drain and then end, with the reason."""

    pool: ids.PoolName
    name: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDecision:
    """The plan for one pool and the inputs it follows from.

    :ivar held: starting and serving VMs at present, by offer
    :ivar missing: VMs that the plan has and the pool lacks, by offer
    """

    pool: ids.PoolName
    need: market.Need
    plan: market.PoolPlan
    held: market.Counts
    missing: market.Counts
    targets: tuple[placement.ModelTarget, ...]
    assignments: tuple[placement.Assignment, ...]
    ends: tuple[End, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """The plan for all pools.

    :ivar starts: VMs to order now; further VMs in ``missing`` are ordered
        in later rounds, as the order rate allows
    """

    decisions: tuple[PoolDecision, ...]
    starts: tuple[replacement_wave.Start, ...]


def plan(
    pools: typing.Iterable[PoolState],
    offers: MarketState,
    policy: schema.Policy,
    order_capacity: int,
    now_s: float,
) -> FleetPlan:
    """The plan for this round.

    :param order_capacity: how many orders may be sent to the cloud now
    """
    states = list(pools)
    decisions = [_decide(state, offers, policy, now_s) for state in states]
    needs = [
        _pool_need(state, decision)
        for state, decision in zip(states, decisions, strict=True)
    ]
    starts = replacement_wave.next_starts(
        needs, _order_capacity_by_offer(states, offers, now_s), order_capacity
    )
    return FleetPlan(tuple(decisions), tuple(starts))


def tokens_per_s(config: schema.Pool, machine_class: str) -> float:
    """Tokens/s that an endpoint of the class serves within the target."""
    return config.class_tokens_per_s.get(
        machine_class, config.tokens_per_s_per_endpoint
    )


def targets_of(
    state: PoolState, now_s: float
) -> tuple[placement.ModelTarget, ...]:
    """Engines and weight of each model in the pool, sorted by name."""
    targets = []
    for name, model in sorted(state.models.items()):
        forecast = state.forecasts.get(name, demand.Forecast())
        load = demand.committed_tokens_per_s(forecast)
        to_zero = demand.can_scale_to_zero(
            forecast, model.scale_to_zero, now_s
        )
        per_endpoint = state.config.tokens_per_s_per_endpoint
        needed = math.ceil(load / per_endpoint - 1e-9)
        minimum = 0 if to_zero else model.minimum_endpoints
        if minimum:
            # The number needed is what must survive the loss of a failure
            # domain, so at least one engine remains.
            needed = max(1, needed)
        targets.append(
            placement.ModelTarget(
                model=name,
                version=model.version,
                weight=0.0 if to_zero else load,
                needed=0 if to_zero else needed,
                minimum=minimum,
                adapters=tuple(model.adapters),
                prefill_fraction=state.config.prefill_fraction,
                rolling=state.rollouts.get(name),
            )
        )
    return tuple(targets)


def need_of(
    state: PoolState, targets: tuple[placement.ModelTarget, ...]
) -> market.Need:
    """The load and endpoint limits of a pool, from its models' targets."""
    config = state.config
    if config.kind is schema.PoolKind.SERVICE:
        # Calls of a service have no token rate to forecast. The load is
        # that of one endpoint less than the minimum, so the loss of a
        # failure domain may take one endpoint.
        engines = max(1, config.minimum_endpoints - 1)
        minimum = config.minimum_endpoints
    else:
        surge = sum(
            placement.surge_engines(target, target.needed)
            for target in targets
        )
        engines = sum(target.needed for target in targets) + surge
        minimum = sum(target.minimum for target in targets)
        if minimum or engines:
            minimum = max(minimum, config.minimum_endpoints)
    return market.Need(
        tokens_per_s=engines * config.tokens_per_s_per_endpoint,
        minimum_endpoints=min(minimum, config.maximum_endpoints),
        maximum_endpoints=config.maximum_endpoints,
        on_demand_allowed=config.on_demand_allowed,
    )


def _keep_held_vms(
    desired: market.PoolPlan, held: market.Counts
) -> market.PoolPlan:
    """The plan changed to keep every held VM while the load is unknown.

    VMs are added only if the pool grows or lacks cover. Held VMs aren't
    exchanged for cheaper ones, since which VMs to end isn't known yet.
    """
    grows = sum(desired.counts.values()) > sum(held.values())
    counts = dict(held)
    if grows or desired.cover is not market.Cover.DOMAIN_LOSS:
        for key, count in desired.counts.items():
            counts[key] = max(count, held.get(key, 0))
    return dataclasses.replace(
        desired,
        counts=counts,
        reason='the load has not been observed for long enough to end VMs',
    )


def offers_for(
    state: PoolState,
    offers: MarketState,
    held: market.Counts,
    now_s: float,
) -> list[market.Offer]:
    """The offers that one pool can choose from, sorted.

    An offer that is held but no longer listed gets the highest listed
    price and no capacity for more, so that an outage of the price list
    ends no VM.
    """
    highest = max(offers.prices.values(), default=0.0)
    keys = {
        key
        for key in offers.prices
        if key.machine_class in state.config.machine_classes
    }
    result = []
    for key in sorted(keys | set(held), key=market.sort_key):
        listed = key in keys
        rate = 0.0
        if key.market is market.Market.RECLAIMABLE:
            observed = offers.observed.get(key, reclaim_rate.Observed())
            rate = reclaim_rate.upper_per_vm_hour(observed)
        result.append(
            market.Offer(
                key,
                offers.prices.get(key, highest),
                tokens_per_s(state.config, key.machine_class),
                rate,
                demand.horizon_s(state.start_up),
                _limit(offers, key, held.get(key, 0), listed, now_s),
            )
        )
    return result


def _limit(
    offers: MarketState,
    key: market.OfferKey,
    held: int,
    listed: bool,
    now_s: float,
) -> int:
    window = offers.windows.get(key)
    if not listed:
        return held
    if window is None or not window.failures:
        return market.UNLIMITED
    return held + congestion_window.free_slots(window, 0, now_s)


def weights_of(policy: schema.Policy) -> market.Weights:
    """The cost weights of an environment's policy."""
    return market.Weights(
        policy.recomputed_token_cost_cents,
        policy.recomputed_tokens_per_reclaim,
        policy.keep_margin,
    )


def _held(state: PoolState, phases: tuple[Phase, ...]) -> market.Counts:
    counts = collections.Counter(
        vm.offer for vm in state.vms if vm.phase in phases
    )
    return dict(counts)


def _decide(
    state: PoolState,
    offers: MarketState,
    policy: schema.Policy,
    now_s: float,
) -> PoolDecision:
    targets = targets_of(state, now_s)
    need = need_of(state, targets)
    held = _held(state, HELD_PHASES)
    choice = offers_for(state, offers, held, now_s)
    desired = market_plan.plan_pool(need, choice, held, weights_of(policy))
    if not state.has_full_history and held:
        desired = _keep_held_vms(desired, held)
    missing = {
        key: count - held.get(key, 0)
        for key, count in desired.counts.items()
        if count > held.get(key, 0)
    }
    surplus = _surplus(state, desired, held)
    engines = [
        dataclasses.replace(vm.engine, surplus=True)
        if vm.name in surplus
        else vm.engine
        for vm in state.vms
        if vm.engine is not None
    ]
    by_key = {offer.key: offer for offer in choice}
    drainable = placement.drainable(engines, list(targets))
    return PoolDecision(
        state.pool,
        need,
        desired,
        held,
        missing,
        targets,
        tuple(placement.assign(engines, list(targets))),
        tuple(_ends(state, need, desired, by_key, surplus, drainable)),
    )


def _surplus(
    state: PoolState, desired: market.PoolPlan, held: market.Counts
) -> set[str]:
    """Names of the VMs beyond the plan, preferring those not yet serving."""
    surplus: set[str] = set()
    for key, count in held.items():
        beyond = count - desired.counts.get(key, 0)
        mine = sorted(
            (
                vm
                for vm in state.vms
                if vm.offer == key and vm.phase in HELD_PHASES
            ),
            key=lambda vm: (vm.phase is Phase.SERVING, vm.name),
        )
        surplus.update(vm.name for vm in mine[: max(0, beyond)])
    return surplus


def _ends(
    state: PoolState,
    need: market.Need,
    desired: market.PoolPlan,
    offers: dict[market.OfferKey, market.Offer],
    surplus: set[str],
    drainable: set[ids.EndpointId],
) -> typing.Iterator[End]:
    """The surplus VMs to end now, without which the load is still served.

    A serving VM is ended only if its engine is drainable and the
    remaining serving VMs meet the minimum and survive the same loss.
    """
    serving = _held(state, (Phase.SERVING,))
    allowed = max(1, math.floor(MAX_ENDED_FRACTION * len(state.vms)))
    for vm in sorted(state.vms, key=lambda each: each.name):
        if not allowed:
            return
        if vm.name not in surplus:
            continue
        if vm.phase is Phase.SERVING:
            engine = vm.engine
            if engine is not None and engine.endpoint not in drainable:
                continue
            fewer = {**serving, vm.offer: serving[vm.offer] - 1}
            if sum(fewer.values()) < need.minimum_endpoints:
                continue
            if not _serves_load(fewer, offers, need, desired.cover):
                continue
            serving = fewer
        allowed -= 1
        yield End(state.pool, vm.name, f'not in the plan: {desired.reason}')


def _serves_load(
    serving: market.Counts,
    offers: dict[market.OfferKey, market.Offer],
    need: market.Need,
    cover: market.Cover,
) -> bool:
    if cover is market.Cover.SHORT:
        return False
    return market.survives(serving, offers, need.tokens_per_s, cover)


def _pool_need(
    state: PoolState, decision: PoolDecision
) -> replacement_wave.PoolNeed:
    config = state.config
    coming = sum(
        count * tokens_per_s(config, key.machine_class)
        for key, count in decision.held.items()
    )
    loads = state.loads
    if not loads:
        # Without loads by workspace, the need of the pool counts as that
        # of one workspace; otherwise a cold pool would never start.
        loads = (
            replacement_wave.WorkspaceLoad(
                ids.WorkspaceName(''), 1.0, decision.need.tokens_per_s
            ),
        )
    return replacement_wave.PoolNeed(
        state.pool,
        coming,
        config.tokens_per_s_per_endpoint,
        loads,
        decision.missing,
    )


def _order_capacity_by_offer(
    states: list[PoolState], offers: MarketState, now_s: float
) -> dict[market.OfferKey, int]:
    """How many VMs may be ordered now of each offer that refused orders."""
    starting = collections.Counter(
        vm.offer
        for state in states
        for vm in state.vms
        if vm.phase is Phase.STARTING
    )
    return {
        key: congestion_window.free_slots(window, starting[key], now_s)
        for key, window in offers.windows.items()
        if window.failures
    }
