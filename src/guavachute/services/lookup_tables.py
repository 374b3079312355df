"""The tables of a router, indexed for the look-ups of each request.

Also builds the answers that need only the tables: ``GET /v1/models`` and
``GET /v1/addresses``.
"""

import dataclasses
import hashlib

import msgspec

from guavachute.decide.members import address_answer
from guavachute.document import schema
from guavachute.http import message
from guavachute import ids
from guavachute.wire import tables

BEARER = 'bearer '


@dataclasses.dataclass(frozen=True, slots=True)
class LookupTables:
    """The tables in force, indexed for look-ups.

    :ivar document: the document of *tables*, decoded
    :ivar workspaces: by the digest of each of their API keys
    """

    tables: tables.Tables
    document: schema.Document
    workspaces: dict[str, ids.WorkspaceName]


def build_lookup_tables(new: tables.Tables) -> LookupTables:
    """Index *new*, whose document must have been checked before."""
    document = msgspec.convert(new.document, schema.Document)
    workspaces = {
        digest: ids.WorkspaceName(name)
        for name, workspace in document.workspaces.items()
        for digest in workspace.api_key_digests
    }
    return LookupTables(new, document, workspaces)


def workspace_of(
    lookup: LookupTables, request: message.Request
) -> ids.WorkspaceName | None:
    """The workspace of the API key in *request*; None without a known key."""
    given = request.headers.get('authorization', '')
    if not given.lower().startswith(BEARER):
        return None
    key = given[len(BEARER) :].strip()
    digest = hashlib.sha256(key.encode('latin-1')).hexdigest()
    return lookup.workspaces.get(digest)


def is_idempotent(service: schema.Service, method: str, path: str) -> bool:
    """Whether the call may be sent more than once.

    The first entry of the document that matches it decides; without
    one, only the methods that read are idempotent.
    """
    for call in service.calls:
        if call.method == method and path.startswith(call.path_prefix):
            return call.idempotent
    return method in ('GET', 'HEAD', 'OPTIONS')


class ListedModel(msgspec.Struct):
    """An entry of ``GET /v1/models``."""

    id: str
    object: str = 'model'
    created: int = 0
    owned_by: str = 'guavachute'


class ModelList(msgspec.Struct):
    """The answer to ``GET /v1/models``."""

    data: list[ListedModel]
    object: str = 'list'


class Address(msgspec.Struct):
    """An address that a caller may send requests to.

    :ivar weight: share of its requests that a caller should send there
    """

    address: str
    weight: float
    failure_domain: str
    region: str


class Addresses(msgspec.Struct):
    """The answer to ``GET /v1/addresses``."""

    addresses: list[Address]
    ttl_s: float


def model_list(lookup: LookupTables) -> message.Response:
    """The answer to ``GET /v1/models``."""
    models = [ListedModel(name) for name in sorted(lookup.document.models)]
    return message.json_response(ModelList(models))


def address_list(
    lookup: LookupTables, region: str, query: dict[str, str], spread: int
) -> message.Response:
    """The answer to ``GET /v1/addresses``.

    :param region: this router's, for callers that don't name theirs
    :param query: may hold ``model``, ``region`` and ``affinity``
    :param spread: a number that differs from call to call, to spread the
        callers over the addresses
    """
    address_query = address_answer.Query(
        model=query.get('model', ''),
        region=query.get('region', region),
        affinity=query.get('affinity'),
        spread=spread,
    )
    result = address_answer.answer(
        [_known_router(entry) for entry in lookup.tables.routers],
        address_query,
        lookup.document.policy.address_ttl_s,
    )
    addresses = [
        Address(one.address, one.weight, one.failure_domain, one.region)
        for one in result.addresses
    ]
    return message.json_response(Addresses(addresses, result.ttl_s))


def _known_router(entry: tables.RouterEntry) -> address_answer.KnownRouter:
    return address_answer.KnownRouter(
        node=entry.node,
        address=entry.address,
        failure_domain=entry.failure_domain,
        region=entry.region,
        leaving=entry.leaving,
        suspect=entry.suspect,
    )
