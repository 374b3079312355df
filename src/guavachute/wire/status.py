"""What operators ask a node process, and what it answers."""

import msgspec

from guavachute.wire import tables


class StatusRequest(msgspec.Struct, frozen=True, tag='status-request'):
    """Asks for a :class:`StatusReply`."""


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One node of the fleet, as the node that was asked knows it.

    :ivar offset: configuration in force; -1 for none or unknown
    :ivar digest: of that configuration, its first digits
    """

    node: str
    failure_domain: str
    region: str
    state: str
    offset: int
    digest: str
    active_requests: int
    routers: list[str]


class InForce(msgspec.Struct, frozen=True):
    """How many nodes have the configuration at *offset* in force."""

    offset: int
    nodes: int


class DomainStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Another failure domain, of which only sums are known."""

    failure_domain: str
    region: str
    nodes: int
    active_requests: int
    in_force: list[InForce]


class StatusReply(msgspec.Struct, frozen=True, kw_only=True, tag='status'):
    """The fleet from one node's point of view.

    :ivar log_age_s: since the log was last heard; None for never
    :ivar counters: of the node process that answers
    :ivar routers: the newest report of each router of its VM
    :ivar endpoints: how many of each pool are live and leaving
    """

    environment: str
    node: str
    offset: int
    digest: str
    log_through_offset: int
    log_age_s: float | None
    nodes: list[NodeStatus]
    domains: list[DomainStatus]
    endpoints: dict[str, dict[str, int]]
    routers: list[tables.RouterReport]
    counters: dict[str, float]


FromOperator = StatusRequest
ToOperator = StatusReply
