"""Advances the roll-outs of model versions and records each step."""

import typing

from guavachute.decide.fleet import fleet_state
from guavachute.decide.fleet import rollout
from guavachute import ids
from guavachute.services.fleet import messages
from guavachute.wire import records


class Rollouts:
    """The roll-outs of one environment, as this holder sees them.

    Steps and stops are in the log. The requests and errors of a step are
    not: a new holder starts to count them from zero.
    """

    def __init__(self, environment: ids.EnvironmentName) -> None:
        self._environment = environment
        self._current: dict[ids.ModelName, rollout.Rollout] = {}
        self._health: dict[
            ids.ModelName, tuple[rollout.Health, rollout.Health]
        ] = {}

    def record_health(self, message: messages.VersionHealth) -> None:
        """Add the requests and errors since the last message."""
        old, new = self._health.get(
            message.model, (rollout.Health(), rollout.Health())
        )
        self._health[message.model] = (
            _sum(old, message.old),
            _sum(new, message.new),
        )

    def changes(
        self,
        inputs: fleet_state.FleetInputs,
        held: messages.HeldLease,
        now_s: float,
    ) -> typing.Iterator[records.Record]:
        """Yield the records of roll-outs that begin, advance or stop now."""
        for name, model in inputs.document.models.items():
            model_name = ids.ModelName(name)
            logged = fleet_state.rollout_of(
                inputs.state, self._environment, model_name
            )
            new_state = self._next(
                inputs, model_name, model.version, logged, now_s
            )
            if logged is None or _differs(logged, new_state):
                yield _record(self._environment, held, new_state)

    def _next(
        self,
        inputs: fleet_state.FleetInputs,
        name: ids.ModelName,
        version: str,
        logged: rollout.Rollout | None,
        now_s: float,
    ) -> rollout.Rollout:
        if logged is None:
            # The first version of a model has nothing to compare with.
            return rollout.Rollout(
                name, version, version, progress=rollout.Progress.DONE
            )
        if logged.new_version != version:
            return rollout.begin(name, _proven(logged), version)
        if logged.progress is not rollout.Progress.RUNNING:
            return logged
        current = self._current.get(name)
        if current is None or _differs(current, logged):
            current = logged
            self._health.pop(name, None)
        self._current[name] = self._advance(inputs, current, now_s)
        return self._current[name]

    def _advance(
        self,
        inputs: fleet_state.FleetInputs,
        current: rollout.Rollout,
        now_s: float,
    ) -> rollout.Rollout:
        engines = [
            report
            for report in inputs.reports.values()
            if current.model in report.models
        ]
        serving_new = sum(
            report.accepted is not None
            and report.accepted.version == current.new_version
            for report in engines
        )
        old, new = self._health.get(
            current.model, (rollout.Health(), rollout.Health())
        )
        return rollout.advance(
            current, old, new, len(engines), serving_new, now_s
        )


def _proven(logged: rollout.Rollout) -> str:
    """Return the last version whose roll-out was completed."""
    if logged.progress is rollout.Progress.DONE:
        return logged.new_version
    return logged.old_version


def _differs(one: rollout.Rollout, other: rollout.Rollout) -> bool:
    return (one.new_version, one.step, one.progress) != (
        other.new_version,
        other.step,
        other.progress,
    )


def _sum(one: rollout.Health, other: rollout.Health) -> rollout.Health:
    return rollout.Health(
        one.requests + other.requests, one.errors + other.errors
    )


def _record(
    environment: ids.EnvironmentName,
    held: messages.HeldLease,
    new_state: rollout.Rollout,
) -> records.RolloutChange:
    progress = new_state.progress.value
    return records.RolloutChange(
        record_id=ids.RecordId(
            f'rollout/{new_state.model}/{new_state.old_version}/'
            f'{new_state.new_version}/{new_state.step}/{progress}'
        ),
        environment=environment,
        model=new_state.model,
        lease_name=held.name,
        term_offset=held.term_offset,
        old_version=new_state.old_version,
        new_version=new_state.new_version,
        step=new_state.step,
        progress=progress,
        reason=new_state.reason,
    )
