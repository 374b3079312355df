"""Drains VMs before they are ended, and measures their start-up times."""

import typing

from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import fleet_state
from guavachute.decide.fleet import purchases
from guavachute.document import schema
from guavachute import ids
from guavachute import outcome
from guavachute.services.fleet import messages
from guavachute.wire import records

MIN_DRAIN_S = 15.0
"""By then every router has stopped sending requests to a draining VM."""
DRAIN_LIMIT_S = 600.0
START_LIMIT_S = 1800.0
"""A VM that doesn't serve within this time is drained and replaced."""


class Drains:
    """Tracks which VMs are drained or start slowly, and since when.

    The record of a drain makes the routers' tables leave the VM out. A
    drained VM's purchase is closed; then the reconciliation ends the VM.
    """

    def __init__(self, environment: ids.EnvironmentName) -> None:
        self._prefix = purchases.name_prefix(environment)
        self._since_s: dict[str, float] = {}
        self._starting_since_s: dict[str, float] = {}

    def begin_drains(
        self,
        plan: fleet_plan.FleetPlan,
        state: records.ControlState,
        held: messages.HeldLease,
        now_s: float,
    ) -> typing.Iterator[records.Record]:
        """Yield the records that drain or close the VMs a plan ends."""
        for decision in plan.decisions:
            for end in decision.ends:
                if end.name in state.owned_purchases:
                    yield _drain(end.name, held, end.why)
                elif end.name in state.open_purchases:
                    # Its order may be in flight. A VM that it starts is
                    # ended, because the purchase is closed.
                    yield purchases.closing_record(
                        end.name, 'refused', end.why
                    )

    def drain_stuck(
        self,
        pools: typing.Iterable[fleet_plan.PoolState],
        state: records.ControlState,
        held: messages.HeldLease,
        now_s: float,
    ) -> typing.Iterator[records.Record]:
        """Yield the drains of VMs that don't serve in time."""
        starting = {
            vm.name
            for pool in pools
            for vm in pool.vms
            if vm.phase is fleet_plan.Phase.STARTING
            and vm.name in state.owned_purchases
        }
        self._starting_since_s = {
            name: self._starting_since_s.get(name, now_s) for name in starting
        }
        for name, since_s in self._starting_since_s.items():
            if now_s - since_s >= START_LIMIT_S:
                yield _drain(name, held, 'it did not serve in time')

    def close_drained(
        self,
        state: records.ControlState,
        reports: typing.Mapping[ids.EndpointId, fleet_state.EngineReport],
        now_s: float,
    ) -> list[records.Record]:
        """Return the records that close the purchases of drained VMs.

        A VM counts as drained when its engine reports no requests and
        ``MIN_DRAIN_S`` has passed, or in any case after ``DRAIN_LIMIT_S``.
        """
        draining = {
            name: owned
            for name, owned in state.owned_purchases.items()
            if owned.draining and name.startswith(self._prefix)
        }
        self._since_s = {
            name: self._since_s.get(name, now_s) for name in draining
        }
        new_records: list[records.Record] = []
        for name, owned in draining.items():
            waited_s = now_s - self._since_s[name]
            report = reports.get(ids.EndpointId(owned.vm or ''))
            idle = report is not None and not report.running
            if (idle and waited_s >= MIN_DRAIN_S) or waited_s >= DRAIN_LIMIT_S:
                new_records.append(
                    purchases.closing_record(
                        name, 'ended', owned.draining, owned.vm
                    )
                )
        return new_records


def _drain(
    name: str, held: messages.HeldLease, why: str
) -> records.PurchaseDrain:
    return records.PurchaseDrain(
        record_id=ids.RecordId(f'drain/{name}'),
        vm_name=name,
        lease_name=held.name,
        term_offset=held.term_offset,
        why=why,
    )


class StartUps:
    """Measures the time from the order of a VM until it serves, by pool."""

    def __init__(self) -> None:
        self._by_pool: dict[ids.PoolName, demand.StartUp] = {}
        self._ordered: dict[ids.EndpointId, tuple[ids.PoolName, float]] = {}

    def by_pool(self) -> typing.Mapping[ids.PoolName, demand.StartUp]:
        """Return the estimate of each pool that was measured so far."""
        return self._by_pool

    def of_model(
        self, model: ids.ModelName, document: schema.Document | None
    ) -> demand.StartUp:
        """Return the estimate of the pool that serves *model*."""
        if document is None or model not in document.models:
            return demand.StartUp()
        pool = ids.PoolName(document.models[model].pool)
        return self._by_pool.get(pool, demand.StartUp())

    def record_order(self, done: messages.StartDone, now_s: float) -> None:
        """Start the measurement of a VM that was ordered just now."""
        if not isinstance(done.result, outcome.Failure):
            endpoint = ids.EndpointId(done.result.vm)
            self._ordered[endpoint] = (done.order.pool, now_s)

    def record_report(
        self, report: fleet_state.EngineReport, now_s: float
    ) -> None:
        """End the measurement of a VM whose engine has loaded a model."""
        if not report.models:
            return
        entry = self._ordered.pop(report.endpoint, None)
        if entry is not None:
            pool, ordered_s = entry
            self._by_pool[pool] = demand.record_start(
                self._by_pool.get(pool, demand.StartUp()), now_s - ordered_s
            )
