"""What the models share: how one is checked and reported."""

import dataclasses
import typing

import minicheck

MAX_STATES = 2_000_000

State = tuple[typing.Any, ...]
Successors = typing.Iterable[tuple[str, State]]


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model of the real rules, or of a broken variant of them.

    :ivar fields: names of the parts of a state
    :ivar properties: what must hold in each state, by its wording
    :ivar breaks: the property that must fail; None for the real rules
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    successors: typing.Callable[[State], Successors]
    properties: dict[str, typing.Callable[[dict[str, typing.Any]], bool]]
    breaks: str | None = None


@dataclasses.dataclass(slots=True)
class Report:
    """What to print of one model, and whether it is as wanted."""

    name: str
    good: bool
    lines: list[str]


def put(
    values: tuple[typing.Any, ...], place: int, value: typing.Any
) -> tuple[typing.Any, ...]:
    """*values* with *value* at *place*."""
    return (*values[:place], value, *values[place + 1 :])


def check(model: Model) -> Report:
    """Check the real rules, or see whether a variant is caught."""
    if model.breaks is None:
        return _report_real(model, _check(model))
    return _report_variant(model, _check(_until_broken(model, model.breaks)))


def _check(model: Model) -> dict[str, typing.Any]:
    protocol = minicheck.Protocol(
        name=model.name,
        candidate=False,
        fields=model.fields,
        initial=model.initial,
        transitions=model.successors,
        invariants=model.properties,
    )
    return minicheck.check_safety(protocol, max_states=MAX_STATES)


def _until_broken(model: Model, breaks: str) -> Model:
    """The variant with one property, whose states end when it fails."""
    broken = False

    def holds(state: dict[str, typing.Any]) -> bool:
        nonlocal broken
        broken = broken or not model.properties[breaks](state)
        return not broken

    def successors(state: State) -> Successors:
        return () if broken else model.successors(state)

    return dataclasses.replace(
        model, successors=successors, properties={breaks: holds}
    )


def _report_real(model: Model, result: dict[str, typing.Any]) -> Report:
    states = result['reachable_states']
    reached = 'all' if result['exhaustive'] else 'not all'
    lines = [f'{model.name}: {states} states, {reached} of them checked']
    good = bool(result['exhaustive'])
    for wording, found in result['properties'].items():
        verdict = {True: 'holds', False: 'FAILS', None: 'undetermined'}
        lines.append(f'  {verdict[found["holds"]]}: {wording}')
        if not found['holds']:
            good = False
            lines += [
                f'    {step["label"]}: {step["state"]}'
                for step in found['counterexample'] or []
            ]
    return Report(model.name, good, lines)


def _report_variant(model: Model, result: dict[str, typing.Any]) -> Report:
    assert model.breaks is not None
    found = result['properties'][model.breaks]
    caught = found['holds'] is False
    lines = [f'  variant "{model.name}": caught {"yes" if caught else "NO"}']
    if caught:
        labels = [step['label'] for step in found['counterexample'][1:]]
        lines.append(f'    {", ".join(labels)}')
        lines.append(f'    breaks: {model.breaks}')
    return Report(model.name, caught, lines)
