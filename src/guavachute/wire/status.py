"""Status messages between an operator's command and a node process."""

import msgspec

from guavachute.wire import tables


class StatusRequest(msgspec.Struct, frozen=True, tag='status-request'):
    """Requests a :class:`StatusReply`."""


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one node, as known to the node that answers.

    :ivar state: its state in the membership
    :ivar offset: offset of the configuration in force; -1 if there is none
        or it is unknown
    :ivar digest: first digits of that configuration's digest
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
    """The state of another failure domain, of which only sums are known."""

    failure_domain: str
    region: str
    nodes: int
    active_requests: int
    in_force: list[InForce]


class StatusReply(msgspec.Struct, frozen=True, kw_only=True, tag='status'):
    """The state of the fleet, as known to one node.

    :ivar log_age_s: time since the log was last read; None if it never was
    :ivar nodes: the nodes of the answering node's failure domain
    :ivar counters: counters of the node process that answers
    :ivar routers: the latest report of each router of its VM
    :ivar endpoints: numbers of live and of leaving endpoints, by pool
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
