"""Decodes the operator's configuration from the store."""

import typing

import msgspec

from guavachute.domain import configuration
from guavachute import ids
from guavachute import outcome
from guavachute.wire import untrusted

TOPIC = 'keyed.op'
KEY = 'config'

Milliseconds = untrusted.Number


class _Fields(msgspec.Struct, frozen=True, rename='camel'):
    """Base of fields in camel case; unknown fields are ignored."""


class _Split(_Fields, frozen=True):
    service: str
    weight: untrusted.Number = 1


class _Route(_Fields, frozen=True):
    name: str
    host: str
    path_prefix: str
    # "type" determines whether a request can run more than once.
    kind: typing.Literal['idempotent', 'non_idempotent', 'streaming'] = (
        msgspec.field(name='type')
    )
    timeout_ms: Milliseconds = 15_000
    slo_ms: Milliseconds = 1_000
    gap_slo_ms: Milliseconds = 1_000
    priority: untrusted.SignedInteger = 0
    service: str | None = None
    split: list[_Split] = []
    max_attempts: untrusted.SignedInteger = 1
    anonymous: bool = False
    # "sticky" marks the routes whose requests name model and prompt.
    sticky: bool = False
    resumable: bool = False


class _Engine(_Fields, frozen=True):
    slots: untrusted.SignedInteger = 1
    # "kvCapacity" counts tokens.
    kv_capacity: typing.Annotated[
        float, msgspec.Meta(ge=0, le=untrusted.MAX_INTEGER)
    ] = 0


class _Scaling(_Fields, frozen=True):
    min: untrusted.SignedInteger = 0
    max: untrusted.SignedInteger = 0
    boot_s: untrusted.Number = msgspec.field(default=0, name='bootS')
    # "spotPrice" is a fraction of the price in "zonePrices".
    spot_price: untrusted.Number | None = None
    zone_prices: dict[str, untrusted.Number] = {}


class _Service(_Fields, frozen=True):
    name: str
    max_conns: untrusted.SignedInteger = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(_Fields, frozen=True):
    max_header_bytes: untrusted.SignedInteger = 16_384
    max_body_bytes: untrusted.SignedInteger = 4_194_304
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000


class _Tenant(_Fields, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: untrusted.SignedInteger | None = None
    unit: str = 'requests'
    # "uncachedTokens" is the cost of a request without token counts.
    uncached_tokens: untrusted.Number = 1
    rate_per_s: untrusted.Number = msgspec.field(default=0, name='ratePerS')
    burst: untrusted.Number = 0


class _Configuration(_Fields, frozen=True):
    version: untrusted.Integer
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


_decoder = msgspec.json.Decoder(_Configuration, strict=False)


def decode(text: bytes) -> configuration.Configuration | outcome.Failure:
    """Decode a configuration from JSON; a failure names the problem."""
    fields = untrusted.decode(_decoder.decode, text, 'configuration')
    if isinstance(fields, outcome.Failure):
        return fields
    routes: dict[str, dict[str, configuration.Route]] = {}
    for route in fields.routes:
        routes.setdefault(route.host.lower(), {})[route.path_prefix] = _route(
            route
        )
    workspaces = [_workspace(tenant) for tenant in fields.tenants or []]
    by_key = {
        configuration.ApiKey(key): workspace
        for tenant, workspace in zip(
            fields.tenants or [], workspaces, strict=True
        )
        for key in tenant.api_keys
    }
    return configuration.Configuration(
        version=fields.version,
        routes_by_host=routes,
        services={
            ids.ServiceName(item.name): _service(item)
            for item in fields.services
        },
        workspaces={workspace.name: workspace for workspace in workspaces},
        workspace_by_key=by_key,
        requires_key=fields.tenants is not None,
        limits=configuration.CallerLimits(
            max_head_bytes=fields.limits.max_header_bytes,
            max_body_bytes=fields.limits.max_body_bytes,
            head_timeout_s=fields.limits.header_timeout_ms / 1000,
            idle_timeout_s=fields.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(fields: _Route) -> configuration.Route:
    targets = tuple(
        configuration.Target(ids.ServiceName(part.service), part.weight)
        for part in fields.split
    )
    if not targets and fields.service is not None:
        targets = (configuration.Target(ids.ServiceName(fields.service), 1.0),)
    return configuration.Route(
        name=fields.name,
        host=fields.host.lower(),
        path_prefix=fields.path_prefix,
        kind=configuration.RouteKind(fields.kind),
        timeout_s=fields.timeout_ms / 1000,
        objective_s=fields.slo_ms / 1000,
        event_gap_s=fields.gap_slo_ms / 1000,
        priority=fields.priority,
        targets=targets,
        max_attempts=max(1, fields.max_attempts),
        allows_anonymous=fields.anonymous,
        is_model=fields.sticky,
        is_resumable=fields.resumable,
    )


def _workspace(fields: _Tenant) -> configuration.Workspace:
    counts_tokens = fields.unit == 'tokens'
    return configuration.Workspace(
        name=ids.WorkspaceName(fields.name),
        priority=fields.priority,
        rate_per_s=fields.rate_per_s,
        burst=fields.burst,
        counts_tokens=counts_tokens,
        default_cost=fields.uncached_tokens if counts_tokens else 1.0,
    )


def _service(fields: _Service) -> configuration.Service:
    engine = fields.engine
    return configuration.Service(
        name=ids.ServiceName(fields.name),
        max_connections_per_endpoint=fields.max_conns,
        engine=None if engine is None else _engine(engine),
        scaling=None if fields.scaling is None else _scaling(fields.scaling),
    )


def _engine(fields: _Engine) -> configuration.EngineTraits:
    return configuration.EngineTraits(
        slots=fields.slots, memory_tokens=int(fields.kv_capacity)
    )


def _scaling(fields: _Scaling) -> configuration.Scaling:
    return configuration.Scaling(
        min_per_domain=fields.min,
        max_per_domain=fields.max,
        start_s=fields.boot_s,
        spot_price_ratio=fields.spot_price,
        price_by_domain={
            ids.FailureDomain(domain): price
            for domain, price in fields.zone_prices.items()
        },
    )
