"""The operator's configuration: routes, services, workspaces, limits."""

import dataclasses
import enum
import typing

from guavachute import ids

ApiKey = typing.NewType('ApiKey', str)
"""A caller's secret; never logged and never sent to an endpoint."""


class RouteKind(enum.Enum):
    """How a route's requests behave when they are sent again.

    Idempotent requests can run more than once, others can not; streaming
    ones only if the route is resumable.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a route's requests, in proportion to *weight*."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host and path prefix.

    :ivar path_prefix: begins and ends with a slash
    :ivar timeout_s: longest time for which a caller waits for an answer
    :ivar objective_s: latency objective of an answer; for streams, of
        the first event
    :ivar event_gap_s: latency objective between two events of a stream
    :ivar priority: 0 is the highest
    :ivar max_attempts: most endpoints that a request may be sent to
    :ivar allows_anonymous: whether callers need no API key
    :ivar is_model: whether requests state prompt parts and token counts
    :ivar is_resumable: whether another endpoint can resume a stream
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
    allows_anonymous: bool
    is_model: bool
    is_resumable: bool

    @property
    def can_run_again(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties of a model service's engines.

    :ivar slots: requests that one engine runs at once
    :ivar memory_tokens: capacity of an engine's KV cache, in tokens
    """

    slots: int
    memory_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds and prices for orders of a service's endpoints.

    :ivar min_per_domain: fewest endpoints in a failure domain
    :ivar max_per_domain: most endpoints in a failure domain
    :ivar start_s: time from an order until the endpoint is ready
    :ivar spot_price_ratio: price of a reclaimable endpoint divided by
        that of an on-demand one; None if none are offered
    :ivar price_by_domain: price of an on-demand endpoint per second
    """

    min_per_domain: int
    max_per_domain: int
    start_s: float
    spot_price_ratio: float | None
    price_by_domain: typing.Mapping[ids.FailureDomain, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of endpoints that serve the same requests.

    :ivar engine: None for plain services
    :ivar scaling: None if its endpoints can't be ordered
    """

    name: ids.ServiceName
    max_connections_per_endpoint: int
    engine: EngineTraits | None
    scaling: Scaling | None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers that share a quota.

    :ivar priority: overrides the route's; None if not set
    :ivar rate_per_s: quota, in tokens or requests per second; 0 means
        unlimited
    :ivar burst: capacity of the token bucket, in the quota's unit
    :ivar counts_tokens: whether the quota is in tokens, not requests
    :ivar default_cost: cost of a request without token counts
    """

    name: ids.WorkspaceName
    priority: int | None
    rate_per_s: float
    burst: float
    counts_tokens: bool
    default_cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on their time."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the configuration.

    :ivar routes_by_host: by host, the route of each path prefix
    :ivar requires_key: whether callers need an API key, except on routes
        that allow anonymous callers
    """

    version: int
    routes_by_host: typing.Mapping[str, typing.Mapping[str, Route]]
    services: typing.Mapping[ids.ServiceName, Service]
    workspaces: typing.Mapping[ids.WorkspaceName, Workspace]
    workspace_by_key: typing.Mapping[ApiKey, Workspace]
    requires_key: bool
    limits: CallerLimits
    _prefix_lengths: typing.Mapping[str, tuple[int, ...]] = dataclasses.field(
        init=False, repr=False, compare=False
    )
    """By host, the different lengths of its prefixes, longest first."""

    def __post_init__(self) -> None:
        lengths = {
            host: tuple(
                sorted(
                    {len(each) for each in prefixes if each.endswith('/')},
                    reverse=True,
                )
            )
            for host, prefixes in self.routes_by_host.items()
        }
        object.__setattr__(self, '_prefix_lengths', lengths)

    def route(self, host: str, path: str) -> Route | None:
        """The route of *host* with the longest prefix of *path*, or None."""
        prefixes = self.routes_by_host.get(host)
        if prefixes is None:
            return None
        # By the lengths of prefixes, which operators choose, and not by the
        # slashes of the path, which callers do.
        for length in self._prefix_lengths[host]:
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None


def urgency(route: Route, workspace: Workspace | None) -> int | None:
    """How urgent a request is, from 0 (most urgent) to 9.

    None if the route's endpoints don't order requests by urgency.
    """
    if not route.is_model:
        return None
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return max(0, min(9, priority))
