"""The types of the operators' document.

A document describes the desired state of an environment: models, services,
workspaces with shares and limits, and pools of endpoints. It doesn't name
the environment, so the same bytes can be promoted from one to another.
"""

import enum
import typing

import msgspec

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9]([a-z0-9._-]{0,62})$')
]
DigestText = typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]
PositiveCount = typing.Annotated[int, msgspec.Meta(ge=1)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Method = typing.Literal['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the document; unknown fields are rejected."""


class PoolKind(enum.Enum):
    """The kind of service that runs on the endpoints of a pool."""

    MODEL = 'model'
    SERVICE = 'service'


class Fencing(enum.Enum):
    """Whether the endpoints of a pool reject old fencing numbers."""

    CHECKED = 'checked'
    IGNORED = 'ignored'


class Pool(_Strict, frozen=True):
    """A group of endpoints that are bought, counted and replaced together.

    :ivar machine_classes: the machine classes that its VMs may have
    :ivar tokens_per_s_per_endpoint: the throughput of one endpoint within
        the latency targets
    :ivar class_tokens_per_s: that throughput for machine classes where it
        differs
    :ivar prefill_fraction: the fraction of engines that only prefill, if
        the engines support roles; with 0 each engine has both roles
    """

    kind: PoolKind
    machine_classes: list[Name]
    minimum_endpoints: Count = 1
    maximum_endpoints: PositiveCount = 100
    fencing: Fencing = Fencing.IGNORED
    on_demand_allowed: bool = True
    slots_per_endpoint: PositiveCount = 32
    tokens_per_s_per_endpoint: Positive = 1400.0
    class_tokens_per_s: dict[Name, Positive] = {}
    prefill_fraction: Fraction = 0.0


class Model(_Strict, frozen=True):
    """A model and its latency targets.

    :ivar adapters: the adapters loaded with the model on each engine
    """

    pool: Name
    context_tokens: PositiveCount = 8192
    first_token_target_s: Positive = 0.41
    token_gap_target_s: Positive = 0.051
    version: str = '1'
    adapters: list[Name] = []
    weights_bytes: Count = 16_000_000_000
    minimum_endpoints: Count = 1
    scale_to_zero: bool = False


class Call(_Strict, frozen=True):
    """A group of calls of a plain service, by method and path prefix."""

    method: Method
    path_prefix: str
    idempotent: bool


class Service(_Strict, frozen=True):
    """A plain service.

    Calls that match no entry of *calls* are idempotent if their method only
    reads.

    :ivar calls: groups of calls; the first one that matches a call applies
    """

    pool: Name
    calls: list[Call] = []
    timeout_s: Positive = 30.0


class Limits(_Strict, frozen=True):
    """The limits of one workspace over all routers; None for no limit."""

    requests_per_s: Positive | None = None
    concurrent_requests: PositiveCount | None = None
    tokens_per_s: Positive | None = None


class Workspace(_Strict, frozen=True):
    """A group of callers, identified by its API keys.

    :ivar share: its weight relative to the other workspaces when capacity
        is scarce
    :ivar api_key_digests: SHA-256 of each key; the document doesn't
        contain the keys themselves
    """

    share: Positive
    api_key_digests: list[DigestText]
    limits: Limits = Limits()
    priority_classes: PositiveCount = 3


class Policy(_Strict, frozen=True):
    """The costs and thresholds by which the system decides.

    :ivar recomputed_token_cost_cents: the cost of computing a token again;
        high where people wait for a restarted answer
    :ivar region_byte_cost_cents: the cost of a byte sent between regions
    :ivar recomputed_tokens_per_reclaim: the expected number of recomputed
        tokens when a VM is reclaimed
    :ivar keep_margin: VMs are replaced only by a set that is cheaper by
        more than this fraction
    """

    recomputed_token_cost_cents: NotNegative = 0.0001
    region_byte_cost_cents: NotNegative = 0.00000001
    recomputed_tokens_per_reclaim: NotNegative = 20_000.0
    keep_margin: Fraction = 0.08
    order_window_s: Positive = 86400.0
    address_ttl_s: Positive = 5.0


class Document(_Strict, frozen=True):
    """The desired state of an environment."""

    models: dict[Name, Model]
    services: dict[Name, Service]
    workspaces: dict[Name, Workspace]
    pools: dict[Name, Pool]
    policy: Policy = Policy()
