"""Validates a JSON value and describes each problem.

``jsonschema`` is imported only when it is used: processes that receive
values which were already validated don't need it.
"""

import dataclasses
import re
import typing

import msgspec

MAX_VALUE_CHARACTERS = 60
PLAIN_NAME = re.compile('[A-Za-z_][A-Za-z0-9_]*')


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An invalid value and its place in the checked JSON value.

    :ivar path: JSON path of the value
    :ivar value: the value as shortened JSON
    :ivar expected: a description of the values that are valid there
    """

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f'{self.path}: got {self.value}, expected {self.expected}'


def schema_violations(
    raw: typing.Any, json_schema: dict[str, typing.Any]
) -> list[Problem]:
    """Return the violations of *json_schema* in *raw*; empty if valid."""
    import jsonschema

    validator = jsonschema.Draft202012Validator(json_schema)
    found = []
    for error in validator.iter_errors(raw):
        deepest = jsonschema.exceptions.best_match([error])
        found.append(
            Problem(
                deepest.json_path,
                _shortened(deepest.instance),
                _expected_text(deepest),
            )
        )
    return found


def _expected_text(error: typing.Any) -> str:
    rule = error.validator
    rule_value = error.validator_value
    texts = {
        'type': f'a value of type {rule_value}',
        'enum': f'one of {rule_value}',
        'pattern': f'text that matches {rule_value}',
        'minimum': f'a number of at least {rule_value}',
        'exclusiveMinimum': f'a number above {rule_value}',
        'maximum': f'a number of at most {rule_value}',
        'required': f'the fields {rule_value} ({error.message})',
        'additionalProperties': f'only known fields ({error.message})',
    }
    return texts.get(rule, error.message)


def json_path(*parts: str | int) -> str:
    """Return a JSON path in the notation of ``jsonschema``."""
    path = '$'
    for part in parts:
        if isinstance(part, int):
            path += f'[{part}]'
        elif PLAIN_NAME.fullmatch(part):
            path += f'.{part}'
        else:
            path += f"['{part}']"
    return path


def _shortened(value: typing.Any) -> str:
    text = msgspec.json.encode(value).decode()
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[: MAX_VALUE_CHARACTERS - 3] + '...'
    return text
