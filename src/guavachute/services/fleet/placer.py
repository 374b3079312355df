"""Turns the desired states of a plan into orders that can be sent now.

An engine that must fetch weights is ordered only when the schedule
grants it a slot at the weight store. Until then it keeps its earlier
order and is only queried for its report.
"""

import typing

from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import fleet_state
from guavachute.decide.fleet import placement
from guavachute.decide.fleet import weights_schedule
from guavachute.document import schema
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.services.fleet import messages

MAX_FETCHES = 64
FETCH_LIMIT_S = 1800.0
"""After this time a fetch no longer occupies a slot."""


class Placer:
    """Tracks which engines wait for weights and which fetch them.

    :param store_bytes_per_s: the total throughput of the weight store
    """

    def __init__(self, store_bytes_per_s: float) -> None:
        self._store_bytes_per_s = store_bytes_per_s
        self._waiting: dict[ids.EndpointId, weights_schedule.Fetch] = {}
        self._running: dict[ids.EndpointId, weights_schedule.Fetch] = {}
        self._granted_s: dict[ids.EndpointId, float] = {}
        self._version_changes: set[ids.EndpointId] = set()
        self._slots = 1

    def desired_engines(
        self,
        inputs: fleet_state.FleetInputs,
        plan: fleet_plan.FleetPlan,
        reply: mailbox.Mailbox,
        now_s: float,
    ) -> messages.DesiredEngines:
        """Return the desired states of all engines that have an address.

        The state of an engine that waits for a slot is None.

        :param reply: receives the engines' reports
        """
        assignments = {
            each.endpoint: each
            for decision in plan.decisions
            for each in decision.assignments
        }
        self._update(inputs, assignments, now_s)
        self._grant(inputs, now_s)
        entries = []
        for vm in inputs.listed:
            endpoint = ids.EndpointId(vm.vm)
            pool = inputs.document.pools.get(vm.pool)
            if not vm.address or pool is None:
                continue
            if pool.kind is not schema.PoolKind.MODEL:
                continue
            assignment = assignments.get(endpoint)
            desired = assignment.desired if assignment is not None else None
            if endpoint in self._waiting:
                desired = None
            entries.append(
                messages.DesiredEngine(
                    endpoint, ids.Address(vm.address), desired
                )
            )
        return messages.DesiredEngines(tuple(entries), reply)

    def _update(
        self,
        inputs: fleet_state.FleetInputs,
        assignments: typing.Mapping[ids.EndpointId, placement.Assignment],
        now_s: float,
    ) -> None:
        needed: dict[ids.EndpointId, weights_schedule.Fetch] = {}
        for endpoint, each in assignments.items():
            if each.desired is None:
                continue
            report = inputs.reports.get(endpoint)
            held = self._waiting.get(endpoint) or self._running.get(endpoint)
            fetch = weights_schedule.Fetch(
                endpoint, each.desired.model, each.desired.version, now_s
            )
            if held is not None and _is_same(held, fetch):
                fetch = held
            if _must_fetch(report, each.desired) or self._is_changing_version(
                inputs, fetch, now_s
            ):
                needed[endpoint] = fetch
        self._running = {
            endpoint: fetch
            for endpoint, fetch in self._running.items()
            if needed.get(endpoint) is fetch
            and now_s - self._granted_s[endpoint] < FETCH_LIMIT_S
        }
        self._granted_s = {
            each: self._granted_s[each] for each in self._running
        }
        self._version_changes &= self._running.keys()
        self._waiting = {
            endpoint: fetch
            for endpoint, fetch in needed.items()
            if endpoint not in self._running
        }

    def _is_changing_version(
        self,
        inputs: fleet_state.FleetInputs,
        fetch: weights_schedule.Fetch,
        now_s: float,
    ) -> bool:
        """Whether an engine may still be fetching another version.

        Engines don't report versions, so a fetch counts as running for
        the time that it needs while all slots are occupied.
        """
        if self._running.get(fetch.endpoint) is not fetch:
            return False
        if fetch.endpoint not in self._version_changes:
            return False
        size_bytes = inputs.document.models[fetch.model].weights_bytes
        duration_s = size_bytes * self._slots / self._store_bytes_per_s
        return now_s - self._granted_s[fetch.endpoint] < duration_s

    def _grant(self, inputs: fleet_state.FleetInputs, now_s: float) -> None:
        needs = list(_needs(inputs))
        count = weights_schedule.slots(
            self._store_bytes_per_s, needs, MAX_FETCHES
        )
        granted = weights_schedule.grant(
            list(self._waiting.values()),
            list(self._running.values()),
            needs,
            count,
            now_s,
        )
        self._slots = count
        for fetch in granted:
            report = inputs.reports.get(fetch.endpoint)
            if report is not None and fetch.model in report.models:
                self._version_changes.add(fetch.endpoint)
            self._running[fetch.endpoint] = fetch
            self._granted_s[fetch.endpoint] = now_s
            del self._waiting[fetch.endpoint]


def _must_fetch(
    report: fleet_state.EngineReport | None, desired: placement.DesiredState
) -> bool:
    if report is None or desired.model not in report.models:
        return True
    accepted = report.accepted
    return accepted is not None and accepted.version != desired.version


def _is_same(
    one: weights_schedule.Fetch, other: weights_schedule.Fetch
) -> bool:
    return (one.model, one.version) == (other.model, other.version)


def _needs(
    inputs: fleet_state.FleetInputs,
) -> typing.Iterator[weights_schedule.ModelNeed]:
    for name, model in inputs.document.models.items():
        pool = inputs.document.pools[model.pool]
        per_endpoint = pool.tokens_per_s_per_endpoint
        forecast = inputs.forecasts.get(ids.ModelName(name))
        load = demand.committed_tokens_per_s(forecast or demand.Forecast())
        serving = sum(
            name in report.models for report in inputs.reports.values()
        )
        shares = inputs.loads.get(ids.PoolName(model.pool), ())
        yield weights_schedule.ModelNeed(
            ids.ModelName(name),
            sum(each.share for each in shares) or 1.0,
            max(load, model.minimum_endpoints * per_endpoint),
            serving * per_endpoint,
            per_endpoint,
            model.weights_bytes,
        )
