"""Checks a document and says what is wrong, where, and what was expected.

The schema comes from the types of :mod:`guavachute.document.schema`.
``jsonschema`` reports each problem with its JSON path; it is imported
only here, for processes that take accepted documents don't need it.
"""

import dataclasses
import hashlib
import re
import typing

import msgspec

from guavachute.document import schema
from guavachute import ids

MAX_VALUE_CHARACTERS = 60
PLAIN_NAME = re.compile('[A-Za-z_][A-Za-z0-9_]*')


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a document.

    :ivar path: JSON path of the value
    :ivar value: the value, shortened
    :ivar expected: what may stand there
    """

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f'{self.path}: got {self.value}, expected {self.expected}'


@dataclasses.dataclass(frozen=True, slots=True)
class Checked:
    """A document that passed every check.

    :ivar digest: SHA-256 of its canonical JSON; white space and the
        order of keys don't change it
    """

    document: schema.Document
    digest: ids.Digest
    raw: dict[str, typing.Any]


def digest_of(raw: typing.Any) -> ids.Digest:
    """The digest of a document as plain JSON values."""
    canonical = msgspec.json.encode(raw, order='sorted')
    return ids.Digest(hashlib.sha256(canonical).hexdigest())


def check_bytes(text: bytes) -> Checked | list[Problem]:
    """Check a document as written in a file."""
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return [Problem('$', 'text that is not JSON', f'JSON ({error})')]
    return check_raw(raw)


def check_raw(raw: typing.Any) -> Checked | list[Problem]:
    """Check a document given as plain JSON values."""
    problems = _schema_problems(raw)
    if problems:
        return problems
    document = msgspec.convert(raw, schema.Document)
    problems = list(_reference_problems(document))
    if problems:
        return problems
    return Checked(document, digest_of(raw), raw)


def json_schema() -> dict[str, typing.Any]:
    """The JSON schema of a document."""
    return msgspec.json.schema(schema.Document)


def _schema_problems(raw: typing.Any) -> list[Problem]:
    import jsonschema

    validator = jsonschema.Draft202012Validator(json_schema())
    problems = []
    for error in validator.iter_errors(raw):
        deepest = jsonschema.exceptions.best_match([error])
        problems.append(
            Problem(
                deepest.json_path,
                _shortened(deepest.instance),
                _expectation(deepest),
            )
        )
    return problems


def _expectation(error: typing.Any) -> str:
    rule = error.validator
    wanted = error.validator_value
    texts = {
        'type': f'a value of type {wanted}',
        'enum': f'one of {wanted}',
        'pattern': f'text that matches {wanted}',
        'minimum': f'a number of at least {wanted}',
        'exclusiveMinimum': f'a number above {wanted}',
        'maximum': f'a number of at most {wanted}',
        'required': f'the fields {wanted} ({error.message})',
        'additionalProperties': f'only known fields ({error.message})',
    }
    return texts.get(rule, error.message)


def _json_path(*parts: str | int) -> str:
    """The path as ``jsonschema`` writes it."""
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


def _reference_problems(
    document: schema.Document,
) -> typing.Iterator[Problem]:
    for name, model in document.models.items():
        yield from _pool_problems(
            document, ('models', name), model.pool, schema.PoolKind.MODEL
        )
    for name, service in document.services.items():
        yield from _pool_problems(
            document,
            ('services', name),
            service.pool,
            schema.PoolKind.SERVICE,
        )
    for name, pool in document.pools.items():
        if pool.minimum_endpoints > pool.maximum_endpoints:
            yield Problem(
                _json_path('pools', name, 'minimum_endpoints'),
                str(pool.minimum_endpoints),
                f'at most maximum_endpoints, {pool.maximum_endpoints}',
            )
    yield from _key_problems(document)


def _pool_problems(
    document: schema.Document,
    owner: tuple[str, str],
    pool_name: str,
    kind: schema.PoolKind,
) -> typing.Iterator[Problem]:
    path = _json_path(*owner, 'pool')
    pool = document.pools.get(pool_name)
    if pool is None:
        names = ', '.join(sorted(document.pools)) or 'none is defined'
        yield Problem(path, f'"{pool_name}"', f'a pool of $.pools ({names})')
    elif pool.kind is not kind:
        yield Problem(
            path,
            f'"{pool_name}" of kind {pool.kind.value}',
            f'a pool of kind {kind.value}',
        )


def _key_problems(document: schema.Document) -> typing.Iterator[Problem]:
    owners: dict[str, str] = {}
    for name, workspace in document.workspaces.items():
        for index, digest in enumerate(workspace.api_key_digests):
            owner = owners.setdefault(digest, name)
            if owner != name:
                yield Problem(
                    _json_path('workspaces', name, 'api_key_digests', index),
                    f'"{digest[:8]}..."',
                    f'a key of its own, not that of {owner}',
                )
