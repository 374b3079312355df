"""Validates a document and reports each problem.

The JSON schema is derived from the types of
:mod:`guavachute.document.schema`.
"""

import dataclasses
import hashlib
import typing

import msgspec

from guavachute.document import problems
from guavachute.document import schema
from guavachute import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Checked:
    """A document that passed every check.

    :ivar digest: SHA-256 of its canonical JSON, which doesn't depend on
        white space or the order of keys
    :ivar raw: the document as plain JSON values
    """

    document: schema.Document
    digest: ids.Digest
    raw: dict[str, typing.Any]


def digest_of(raw: typing.Any) -> ids.Digest:
    """Return the digest of a document given as plain JSON values."""
    canonical = msgspec.json.encode(raw, order='sorted')
    return ids.Digest(hashlib.sha256(canonical).hexdigest())


def check_bytes(text: bytes) -> Checked | list[problems.Problem]:
    """Validate the JSON text of a document."""
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return [
            problems.Problem('$', 'text that is not JSON', f'JSON ({error})')
        ]
    return check_raw(raw)


def check_raw(raw: typing.Any) -> Checked | list[problems.Problem]:
    """Validate a document given as plain JSON values.

    References between its parts are checked only if it fits the schema.
    """
    found = problems.schema_violations(raw, json_schema())
    if found:
        return found
    document = msgspec.convert(raw, schema.Document)
    found = list(_reference_problems(document))
    if found:
        return found
    return Checked(document, digest_of(raw), raw)


def json_schema() -> dict[str, typing.Any]:
    """Return the JSON schema of a document."""
    return msgspec.json.schema(schema.Document)


def _reference_problems(
    document: schema.Document,
) -> typing.Iterator[problems.Problem]:
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
            yield problems.Problem(
                problems.json_path('pools', name, 'minimum_endpoints'),
                str(pool.minimum_endpoints),
                f'at most maximum_endpoints, {pool.maximum_endpoints}',
            )
    yield from _api_key_problems(document)


def _pool_problems(
    document: schema.Document,
    owner: tuple[str, str],
    pool_name: str,
    kind: schema.PoolKind,
) -> typing.Iterator[problems.Problem]:
    path = problems.json_path(*owner, 'pool')
    pool = document.pools.get(pool_name)
    if pool is None:
        names = ', '.join(sorted(document.pools)) or 'none is defined'
        yield problems.Problem(
            path, f'"{pool_name}"', f'a pool of $.pools ({names})'
        )
    elif pool.kind is not kind:
        yield problems.Problem(
            path,
            f'"{pool_name}" of kind {pool.kind.value}',
            f'a pool of kind {kind.value}',
        )


def _api_key_problems(
    document: schema.Document,
) -> typing.Iterator[problems.Problem]:
    owners: dict[str, str] = {}
    for name, workspace in document.workspaces.items():
        for index, digest in enumerate(workspace.api_key_digests):
            owner = owners.setdefault(digest, name)
            if owner != name:
                yield problems.Problem(
                    problems.json_path(
                        'workspaces', name, 'api_key_digests', index
                    ),
                    f'"{digest[:8]}..."',
                    f'a key of its own, not that of {owner}',
                )
