"""The configuration in force: routes, services, workspaces, limits."""

import dataclasses
import enum
import typing

from guavachute import ids

ApiKey = typing.NewType('ApiKey', str)
"""A caller's secret; never logged and never sent to an endpoint."""


class RouteKind(enum.Enum):
    """What may happen to a request more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends to, with its weight in the split."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests for one host and path prefix go.

    :ivar path_prefix: begins and ends with a slash
    :ivar timeout_s: the longest that a caller is kept waiting
    :ivar objective_s: an answer within this time is on time; for
        streams, its first event
    :ivar event_gap_s: longest pause between the events of a stream
        that is on time
    :ivar priority: 0 is the highest
    :ivar max_attempts: endpoints that one request may be sent to
    :ivar is_open: whether no key is needed
    :ivar is_model: whether requests name prompts and tokens
    :ivar is_resumable: whether a stream may go on at another endpoint
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    event_gap_s: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    is_open: bool
    is_model: bool
    is_resumable: bool

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the configuration says of a model service's engines.

    :ivar slots: requests that one engine works on at once
    :ivar memory_tokens: room for the KV cache of all requests
    """

    slots: int
    memory_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds and prices of ordering a service's endpoints.

    :ivar min_per_domain: fewest endpoints in a failure domain
    :ivar max_per_domain: most endpoints in a failure domain
    :ivar start_s: how long an ordered endpoint takes to serve
    :ivar spot_price_ratio: price of a reclaimable endpoint against
        an on-demand one; None where none are offered
    :ivar price_by_domain: price of an endpoint-second
    """

    min_per_domain: int
    max_per_domain: int
    start_s: float
    spot_price_ratio: float | None
    price_by_domain: typing.Mapping[ids.FailureDomain, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of endpoints that serve the same requests."""

    name: ids.ServiceName
    max_connections_per_endpoint: int
    engine: EngineTraits | None
    scaling: Scaling | None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers with its quota.

    :ivar priority: goes before the route's, where there is one
    :ivar rate_per_s: quota, in tokens or requests; 0 is unlimited
    :ivar counts_tokens: whether the quota is in tokens
    :ivar default_cost: what a request without token counts costs
    """

    name: ids.WorkspaceName
    priority: int | None
    rate_per_s: float
    burst: float
    counts_tokens: bool
    default_cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version, whole.

    :ivar routes_by_host: per host, the route of each path prefix
    :ivar requires_key: whether callers need a key at all
    """

    version: int
    routes_by_host: typing.Mapping[str, typing.Mapping[str, Route]]
    services: typing.Mapping[ids.ServiceName, Service]
    workspaces: typing.Mapping[ids.WorkspaceName, Workspace]
    workspace_by_key: typing.Mapping[ApiKey, Workspace]
    requires_key: bool
    limits: CallerLimits

    def route(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of *path* on *host*."""
        prefixes = self.routes_by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
