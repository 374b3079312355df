"""Assigns a model, version and role to each engine.

An engine serves one model with its adapters. The result is the desired
state of every engine rather than a change to it. An order that is sent
twice, arrives late or comes from an earlier lease holder is therefore
corrected in the next round.

Models are loaded before they are drained: an engine stops serving its
model only while the other engines that have the model loaded, not merely
ordered, serve its load. A model that moves is loaded elsewhere first.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

from guavachute.decide.fleet import rollout
from guavachute import ids

MIN_ENGINES_PER_ROLE = 2
"""A single engine of a role would be lost with its failure domain."""


class Role(enum.Enum):
    """The phase of a request that an engine processes."""

    BOTH = 'both'
    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """The desired state of one engine."""

    model: ids.ModelName
    version: str
    adapters: tuple[str, ...] = ()
    role: Role = Role.BOTH


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The present state of one engine.

    :ivar loaded: the model that it serves; None while it has none
    :ivar loaded_version: of that model; empty while it isn't known
    :ivar desired: the last order that it accepted; None before the first
    :ivar leaving: it gets no new orders and isn't counted
    :ivar surplus: its VM will be ended once other engines serve its model
    """

    endpoint: ids.EndpointId
    failure_domain: ids.FailureDomain
    loaded: ids.ModelName | None = None
    loaded_version: str = ''
    desired: DesiredState | None = None
    leaving: bool = False
    surplus: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ModelTarget:
    """The engines that one model of the pool needs.

    :ivar version: the version in the document
    :ivar weight: its relative share of the pool's engines
    :ivar needed: engines that must serve it at any moment
    :ivar minimum: engines that it keeps even without load
    :ivar rolling: the roll-out to *version*; None without one
    """

    model: ids.ModelName
    version: str
    weight: float
    needed: int = 0
    minimum: int = 1
    adapters: tuple[str, ...] = ()
    prefill_fraction: float = 0.0
    rolling: rollout.Rollout | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The desired state of one engine, with the reason.

    :ivar desired: None if the engine has no order and gets none
    :ivar held_back: the engine must keep serving its model until others
        have loaded it; its desired state is then the present one
    """

    endpoint: ids.EndpointId
    desired: DesiredState | None
    reason: str
    held_back: bool = False


def divide(targets: list[ModelTarget], engines: int) -> dict[str, int]:
    """How many of *engines* each model gets.

    Minimums come first, by weight. Each remaining engine goes to the
    model with the highest weight per engine.
    """
    counts = {target.model: 0 for target in targets}
    remaining = engines
    for target in sorted(targets, key=lambda each: -each.weight):
        counts[target.model] = min(target.minimum, remaining)
        remaining -= counts[target.model]
    total = sum(target.weight for target in targets)
    for _ in range(remaining if total > 0 else 0):
        chosen = max(
            targets,
            key=lambda each: (
                each.weight / (counts[each.model] + 1),
                each.model,
            ),
        )
        counts[chosen.model] += 1
    return {str(model): count for model, count in counts.items()}


def assign(
    engines: list[Engine], targets: list[ModelTarget]
) -> list[Assignment]:
    """The desired state of each engine that is neither leaving nor surplus.

    Engines keep the model of their last order as far as the targets
    allow. An engine that no model needs keeps its last order unchanged.
    """
    present = [engine for engine in engines if not engine.leaving]
    staying = [engine for engine in present if not engine.surplus]
    counts = divide(targets, len(staying))
    by_model = _keep(staying, targets, counts)
    placed = {engine.endpoint for kept in by_model.values() for engine in kept}
    free = [each for each in staying if each.endpoint not in placed]
    held_back = _held_back(present, free, targets)
    for engine in sorted(free, key=_loaded_last):
        if engine.endpoint in held_back:
            continue
        model = _most_underprovisioned(engine, by_model, counts)
        if model is not None:
            by_model[model].append(engine)
    assignments = [
        Assignment(
            engine.endpoint,
            engine.desired,
            f'serves {engine.loaded} until others have loaded it',
            held_back=True,
        )
        for engine in free
        if engine.endpoint in held_back
    ]
    for target in targets:
        assignments.extend(_assignments_of(target, by_model[target.model]))
    assigned = {each.endpoint for each in assignments}
    assignments.extend(
        Assignment(engine.endpoint, engine.desired, 'no model needs it')
        for engine in staying
        if engine.endpoint not in assigned
    )
    return assignments


def drainable(
    engines: list[Engine], targets: list[ModelTarget]
) -> set[ids.EndpointId]:
    """The surplus engines whose model enough other engines serve."""
    present = [engine for engine in engines if not engine.leaving]
    surplus = [engine for engine in present if engine.surplus]
    held_back = _held_back(present, surplus, targets)
    return {each.endpoint for each in surplus} - held_back


def _model_of(engine: Engine) -> ids.ModelName | None:
    """The model of the engine's last order, or the one it has loaded."""
    if engine.desired is not None:
        return engine.desired.model
    return engine.loaded


def _keep(
    engines: list[Engine],
    targets: list[ModelTarget],
    counts: dict[str, int],
) -> dict[ids.ModelName, list[Engine]]:
    """The engines that keep their model, by model.

    Engines beyond a model's count are released from the failure domains
    with the most engines.
    """
    by_model: dict[ids.ModelName, list[Engine]] = {}
    for target in targets:
        mine = [each for each in engines if _model_of(each) == target.model]
        surplus = len(mine) - counts[target.model]
        for _ in range(max(0, surplus)):
            mine.remove(_in_fullest_domain(mine))
        by_model[target.model] = mine
    return by_model


def _in_fullest_domain(engines: list[Engine]) -> Engine:
    """The engine to release: without a model, then in the fullest domain."""
    engines_in = collections.Counter(each.failure_domain for each in engines)
    return max(
        engines,
        key=lambda each: (
            each.loaded is None,
            engines_in[each.failure_domain],
            each.endpoint,
        ),
    )


def _held_back(
    engines: list[Engine], free: list[Engine], targets: list[ModelTarget]
) -> set[ids.EndpointId]:
    """Engines of *free* that must not unload their model yet."""
    held: set[ids.EndpointId] = set()
    for target in targets:
        loaded = sum(each.loaded == target.model for each in engines)
        releasable = max(0, loaded - max(target.needed, target.minimum))
        # Engines that were ordered to load another model still report
        # this one as loaded, but may unload it at any moment.
        elsewhere = [
            each
            for each in engines
            if each.loaded == target.model
            and each.desired is not None
            and each.desired.model != target.model
        ]
        releasable = max(0, releasable - len(elsewhere))
        mine = [each for each in free if each.loaded == target.model]
        held.update(each.endpoint for each in mine[releasable:])
    return held


def _loaded_last(engine: Engine) -> tuple[bool, str]:
    return engine.loaded is not None, engine.endpoint


def _most_underprovisioned(
    engine: Engine,
    by_model: dict[ids.ModelName, list[Engine]],
    counts: dict[str, int],
) -> ids.ModelName | None:
    """The model with the smallest part of its engines.

    Among equals, the one with fewest engines in the domain of *engine*.
    None if all models have their engines.
    """
    open_models = [
        model for model in by_model if len(by_model[model]) < counts[model]
    ]
    if not open_models:
        return None
    domain = engine.failure_domain

    def rank(model: ids.ModelName) -> tuple[float, int, str]:
        here = sum(e.failure_domain == domain for e in by_model[model])
        return len(by_model[model]) / counts[model], here, model

    return min(open_models, key=rank)


def _assignments_of(
    target: ModelTarget, engines: list[Engine]
) -> list[Assignment]:
    versions = _versions(target, engines)
    roles = _roles(target, engines)
    return [
        Assignment(
            engine.endpoint,
            DesiredState(
                target.model,
                versions[engine.endpoint],
                target.adapters,
                roles[engine.endpoint],
            ),
            _reason(target, versions[engine.endpoint]),
        )
        for engine in engines
    ]


def _reason(target: ModelTarget, version: str) -> str:
    steps = target.rolling
    if steps is None or version == target.version:
        return f'carries the load of {target.model}'
    return f'{version} while the roll-out is {steps.progress.value}'


def _versions(
    target: ModelTarget, engines: list[Engine]
) -> dict[ids.EndpointId, str]:
    """The version for each engine, as far as a roll-out allows.

    Engines that have the new version, or were ordered to load it, are
    chosen first. Only as many engines change at once as the others can
    spare.
    """
    steps = target.rolling
    if steps is None:
        return {each.endpoint: target.version for each in engines}
    allowed = rollout.engines_allowed(steps, len(engines))
    spread = _spread(engines, lambda e: _has_version(e, steps.new_version))
    chosen = spread[:allowed]
    # Rolling out and rolling back both replace the version of a serving
    # engine in place, so the limit applies to both.
    changing = sum(
        each.desired is not None
        and each.loaded is not None
        and each.loaded_version != each.desired.version
        for each in engines
    )
    loaded = sum(each.loaded == target.model for each in engines)
    spare = max(0, loaded - changing - target.needed)
    versions: dict[ids.EndpointId, str] = {}
    for engine in spread:
        is_new = engine in chosen
        goal = steps.new_version if is_new else steps.old_version
        versions[engine.endpoint] = goal
        serves = engine.loaded == target.model
        if not serves or engine.loaded_version == goal:
            continue
        if engine.desired is not None and engine.desired.version == goal:
            continue
        if spare > 0:
            spare -= 1
        else:
            versions[engine.endpoint] = engine.loaded_version
    return versions


def _has_version(engine: Engine, version: str) -> bool:
    if engine.desired is not None:
        return engine.desired.version == version
    return engine.loaded_version == version


def _roles(
    target: ModelTarget, engines: list[Engine]
) -> dict[ids.EndpointId, Role]:
    """The role of each engine, with both roles spread over the domains.

    All engines get ``BOTH`` if a role would have fewer than
    :data:`MIN_ENGINES_PER_ROLE`.
    """
    prefill = round(target.prefill_fraction * len(engines))
    decode = len(engines) - prefill
    if min(prefill, decode) < MIN_ENGINES_PER_ROLE:
        return {each.endpoint: Role.BOTH for each in engines}
    spread = _spread(
        engines,
        lambda each: (
            each.desired is not None and each.desired.role is Role.PREFILL
        ),
    )
    chosen = {each.endpoint for each in spread[:prefill]}
    return {
        each.endpoint: (
            Role.PREFILL if each.endpoint in chosen else Role.DECODE
        )
        for each in engines
    }


def _spread(
    engines: list[Engine], first: collections.abc.Callable[[Engine], bool]
) -> list[Engine]:
    """Engines matching *first*, then the others, alternating domains."""
    turn: collections.Counter[str] = collections.Counter()
    ordered = sorted(
        engines, key=lambda each: (not first(each), each.endpoint)
    )
    ranked = []
    for engine in ordered:
        ranked.append((not first(engine), turn[engine.failure_domain], engine))
        turn[engine.failure_domain] += 1
    ranked.sort(
        key=lambda entry: (entry[0], entry[1], entry[2].failure_domain)
    )
    return [engine for _, _, engine in ranked]


def surge_engines(target: ModelTarget, engines: int) -> int:
    """Additional engines to have while a version rolls out.

    They replace the engines that reload, so that the pool still
    survives the loss of a failure domain.
    """
    steps = target.rolling
    if steps is None or steps.progress is not rollout.Progress.RUNNING:
        return 0
    return max(1, math.ceil(rollout.STEP_FRACTIONS[1] * engines))
