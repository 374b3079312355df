"""The types of the operators' document.

One document states what an environment is to be: models, services,
workspaces with shares and limits, and pools of endpoints. It names no
environment, so that the same bytes can be promoted from one to another.
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
    """A part of the document; fields that it doesn't know are refused."""


class PoolKind(enum.Enum):
    """What runs on the endpoints of a pool."""

    MODEL = 'model'
    SERVICE = 'service'


class Fencing(enum.Enum):
    """Whether the endpoints of a pool refuse an old fencing number."""

    CHECKED = 'checked'
    IGNORED = 'ignored'


class Pool(_Strict, frozen=True):
    """Endpoints that are bought, counted and replaced together.

    :ivar tokens_per_s_per_endpoint: what one carries within the target
    :ivar class_tokens_per_s: the same where a machine class differs
    :ivar prefill_fraction: part of the engines that only prefill, where
        the engines offer roles; 0 leaves both roles to each engine
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
    """A model and the latency that its callers are promised.

    :ivar adapters: loaded beside the model on each of its engines
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
    """A group of calls of a plain service."""

    method: Method
    path_prefix: str
    idempotent: bool


class Service(_Strict, frozen=True):
    """A plain service. Calls not listed are idempotent if they only read.

    :ivar calls: the first entry that matches a call describes it
    """

    pool: Name
    calls: list[Call] = []
    timeout_s: Positive = 30.0


class Limits(_Strict, frozen=True):
    """What one workspace may use at most, over all routers."""

    requests_per_s: Positive | None = None
    concurrent_requests: PositiveCount | None = None
    tokens_per_s: Positive | None = None


class Workspace(_Strict, frozen=True):
    """A group of callers, known by its API keys.

    :ivar share: weight against the other workspaces when VMs are scarce
    :ivar api_key_digests: SHA-256 of each key; the keys stay outside
    """

    share: Positive
    api_key_digests: list[DigestText]
    limits: Limits = Limits()
    priority_classes: PositiveCount = 3


class Policy(_Strict, frozen=True):
    """What the system weighs against what.

    :ivar recomputed_token_cost_cents: price of one token computed twice;
        high where a restarted answer keeps people waiting
    :ivar region_byte_cost_cents: price of a byte between regions
    :ivar recomputed_tokens_per_reclaim: to expect when one VM goes
    :ivar keep_margin: VMs are exchanged only for a set that is cheaper
        by more than this part
    """

    recomputed_token_cost_cents: NotNegative = 0.0001
    region_byte_cost_cents: NotNegative = 0.00000001
    recomputed_tokens_per_reclaim: NotNegative = 20_000.0
    keep_margin: Fraction = 0.08
    order_window_s: Positive = 86400.0
    address_ttl_s: Positive = 5.0


class Document(_Strict, frozen=True):
    """The whole of an environment, as its operators wish it."""

    models: dict[Name, Model]
    services: dict[Name, Service]
    workspaces: dict[Name, Workspace]
    pools: dict[Name, Pool]
    policy: Policy = Policy()
