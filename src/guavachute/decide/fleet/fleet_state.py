"""Assembles the state of an environment's fleet as input for planning.

The control log says which VMs belong to the fleet, the cloud's list
which of them exist, and the engines' reports what they serve.
"""

import collections
import dataclasses
import typing

from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import placement
from guavachute.decide.fleet import purchases
from guavachute.decide.fleet import replacement_wave
from guavachute.decide.fleet import rollout
from guavachute.document import schema
from guavachute import ids
from guavachute.wire import records


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """The last report from one engine.

    :ivar models: the models loaded
    :ivar accepted: the last order that it accepted from this process
    :ivar running: requests that it runs or has queued
    """

    endpoint: ids.EndpointId
    models: tuple[ids.ModelName, ...] = ()
    accepted: placement.DesiredState | None = None
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetInputs:
    """All input for planning except the market.

    :ivar state: the fold of the control log
    :ivar listed: VMs on the cloud's list
    :ivar live: VMs that the platform's VM list shows as live
    :ivar awaited: intents that were appended and not yet read back
    """

    environment: ids.EnvironmentName
    document: schema.Document
    state: records.ControlState
    listed: tuple[purchases.ListedVm, ...]
    live: frozenset[ids.VmId] = frozenset()
    reports: typing.Mapping[ids.EndpointId, EngineReport] = dataclasses.field(
        default_factory=dict
    )
    awaited: tuple[records.PurchaseIntent, ...] = ()
    forecasts: typing.Mapping[ids.ModelName, demand.Forecast] = (
        dataclasses.field(default_factory=dict)
    )
    loads: typing.Mapping[
        ids.PoolName, tuple[replacement_wave.WorkspaceLoad, ...]
    ] = dataclasses.field(default_factory=dict)
    start_ups: typing.Mapping[ids.PoolName, demand.StartUp] = (
        dataclasses.field(default_factory=dict)
    )


def pool_states(
    inputs: FleetInputs, now_s: float | None = None
) -> list[fleet_plan.PoolState]:
    """The state of each pool in the document, sorted by name.

    :param now_s: for deciding whether each pool's load has been observed
        for long enough to end VMs; None assumes that it has
    """
    vms = _vms_by_pool(inputs)
    states = []
    for name, config in sorted(inputs.document.pools.items()):
        pool = ids.PoolName(name)
        models = {
            ids.ModelName(each): model
            for each, model in inputs.document.models.items()
            if model.pool == name
        }
        states.append(
            fleet_plan.PoolState(
                pool,
                config,
                models,
                inputs.forecasts,
                inputs.loads.get(pool, ()),
                tuple(vms[pool]),
                inputs.start_ups.get(pool, demand.StartUp()),
                _rollouts(inputs, models),
                now_s is None or _has_full_history(inputs, models, now_s),
            )
        )
    return states


def _has_full_history(
    inputs: FleetInputs,
    models: typing.Mapping[ids.ModelName, schema.Model],
    now_s: float,
) -> bool:
    return all(
        demand.has_full_history(
            inputs.forecasts.get(name, demand.Forecast()), now_s
        )
        for name in models
    )


def rollout_of(
    state: records.ControlState,
    environment: ids.EnvironmentName,
    model: ids.ModelName,
) -> rollout.Rollout | None:
    """The latest roll-out of a model; None if the log has none."""
    record = state.rollouts.get(f'{environment}/{model}')
    if record is None:
        return None
    return rollout.Rollout(
        model,
        record.old_version,
        record.new_version,
        record.step,
        rollout.Progress(record.progress),
        reason=record.reason,
    )


def _rollouts(
    inputs: FleetInputs, models: typing.Mapping[ids.ModelName, schema.Model]
) -> dict[ids.ModelName, rollout.Rollout]:
    """The roll-outs to the versions named in the current document."""
    found = {}
    for name, model in models.items():
        current = rollout_of(inputs.state, inputs.environment, name)
        if current is not None and current.new_version == model.version:
            found[name] = current
    return found


def _vms_by_pool(
    inputs: FleetInputs,
) -> dict[ids.PoolName, list[fleet_plan.FleetVm]]:
    """VMs and pending orders by pool, without duplicate or unknown VMs."""
    state = inputs.state
    prefix = purchases.name_prefix(inputs.environment)
    listed: dict[str, list[purchases.ListedVm]] = collections.defaultdict(list)
    for vm in inputs.listed:
        listed[vm.name].append(vm)
    by_pool: dict[ids.PoolName, list[fleet_plan.FleetVm]] = (
        collections.defaultdict(list)
    )
    for name, owned in state.owned_purchases.items():
        if name.startswith(prefix) and name in listed:
            kept = purchases.vm_to_keep(listed[name], owned.vm)
            by_pool[owned.intent.pool].append(
                _fleet_vm(inputs, owned.intent, kept, owned.draining)
            )
    waiting = {
        intent.vm_name: intent
        for intent in (*inputs.awaited, *state.open_purchases.values())
        if intent.vm_name not in state.owned_purchases
        and intent.vm_name not in state.closed_purchases
    }
    for name, intent in waiting.items():
        if not name.startswith(prefix):
            continue
        offer = purchases.offer_of(intent)
        by_pool[intent.pool].append(
            fleet_plan.FleetVm(name, offer, fleet_plan.Phase.STARTING)
        )
    for name, vms in listed.items():
        if _is_only_in_allowance(state, name):
            # Bought while the log was unavailable; not yet recorded.
            vm = purchases.vm_to_keep(vms, None)
            by_pool[vm.pool].append(
                fleet_plan.FleetVm(name, vm.offer, fleet_plan.Phase.STARTING)
            )
    return by_pool


def _is_only_in_allowance(state: records.ControlState, name: str) -> bool:
    return (
        name not in state.open_purchases
        and name not in state.owned_purchases
        and name not in state.closed_purchases
        and purchases.allowance_of(state, name) is not None
    )


def _fleet_vm(
    inputs: FleetInputs,
    intent: records.PurchaseIntent,
    vm: purchases.ListedVm,
    draining: str,
) -> fleet_plan.FleetVm:
    pool = inputs.document.pools.get(intent.pool)
    is_service = pool is not None and pool.kind is schema.PoolKind.SERVICE
    endpoint = ids.EndpointId(vm.vm)
    report = inputs.reports.get(endpoint)
    if vm.leaving:
        phase = fleet_plan.Phase.LEAVING
    elif draining:
        phase = fleet_plan.Phase.DRAINING
    elif vm.vm in inputs.live if is_service else report and report.models:
        phase = fleet_plan.Phase.SERVING
    else:
        phase = fleet_plan.Phase.STARTING
    engine = None
    if not is_service:
        engine = _engine(vm, report, phase)
    return fleet_plan.FleetVm(intent.vm_name, vm.offer, phase, engine)


def _engine(
    vm: purchases.ListedVm,
    report: EngineReport | None,
    phase: fleet_plan.Phase,
) -> placement.Engine:
    accepted = report.accepted if report is not None else None
    models = report.models if report is not None else ()
    loaded = models[0] if models else None
    if accepted is not None and accepted.model in models:
        loaded = accepted.model
    # Engines don't report versions. The version is known only for a model
    # that is loaded and was named in the last order accepted.
    version = ''
    if accepted is not None and loaded == accepted.model:
        version = accepted.version
    leaving = phase in (
        fleet_plan.Phase.LEAVING,
        fleet_plan.Phase.DRAINING,
    )
    return placement.Engine(
        ids.EndpointId(vm.vm),
        vm.offer.failure_domain,
        loaded,
        version,
        accepted,
        leaving,
    )
