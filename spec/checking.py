"""Checks a model with the model checker and reports the result."""

import dataclasses
import typing

import minicheck

MAX_STATES = 2_000_000

State = tuple[typing.Any, ...]
Successors = typing.Iterable[tuple[str, State]]


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model of the real rules, or of a faulty variant of them.

    :ivar fields: the names of a state's components
    :ivar successors: yields the label and the state of each next step
    :ivar properties: what must hold in each state, by its description
    :ivar violates: the property that must fail; None for the real rules
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    successors: typing.Callable[[State], Successors]
    properties: dict[str, typing.Callable[[dict[str, typing.Any]], bool]]
    violates: str | None = None


@dataclasses.dataclass(slots=True)
class Report:
    """The result of one model.

    :ivar as_expected: whether the real rules hold in all states, or a
        variant violates the property that it must
    :ivar lines: the lines to print
    """

    name: str
    as_expected: bool
    lines: list[str]


def replace_at(
    values: tuple[typing.Any, ...], index: int, value: typing.Any
) -> tuple[typing.Any, ...]:
    """Return *values* with *value* at *index*."""
    return (*values[:index], value, *values[index + 1 :])


def check(model: Model) -> Report:
    """Check the real rules, or whether a variant's fault is detected."""
    if model.violates is None:
        return _report_real(model, _check(model))
    return _report_variant(
        model, _check(_stopping_at_violation(model, model.violates))
    )


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


def _stopping_at_violation(model: Model, violates: str) -> Model:
    """Return the variant with only the property that it must violate.

    It has no more successors once the property has failed, so that the
    checker stops early.
    """
    broken = False

    def holds(state: dict[str, typing.Any]) -> bool:
        nonlocal broken
        broken = broken or not model.properties[violates](state)
        return not broken

    def successors(state: State) -> Successors:
        return () if broken else model.successors(state)

    return dataclasses.replace(
        model, successors=successors, properties={violates: holds}
    )


def _report_real(model: Model, result: dict[str, typing.Any]) -> Report:
    states = result['reachable_states']
    reached = 'all' if result['exhaustive'] else 'not all'
    lines = [f'{model.name}: {states} states, {reached} of them checked']
    as_expected = bool(result['exhaustive'])
    for description, found in result['properties'].items():
        verdict = {True: 'holds', False: 'FAILS', None: 'undetermined'}
        lines.append(f'  {verdict[found["holds"]]}: {description}')
        if not found['holds']:
            as_expected = False
            lines += [
                f'    {step["label"]}: {step["state"]}'
                for step in found['counterexample'] or []
            ]
    return Report(model.name, as_expected, lines)


def _report_variant(model: Model, result: dict[str, typing.Any]) -> Report:
    assert model.violates is not None
    found = result['properties'][model.violates]
    detected = found['holds'] is False
    lines = [
        f'  variant "{model.name}": detected {"yes" if detected else "NO"}'
    ]
    if detected:
        labels = [step['label'] for step in found['counterexample'][1:]]
        lines.append(f'    {", ".join(labels)}')
        lines.append(f'    violates: {model.violates}')
    return Report(model.name, detected, lines)
