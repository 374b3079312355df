"""Builds the answer to an operator's status request."""

import dataclasses

from guavachute.clients import vm_list
from guavachute.decide.members import domain_digest
from guavachute.decide.members import membership
from guavachute import ids
from guavachute.wire import gossip
from guavachute.wire import records
from guavachute.wire import status
from guavachute.wire import tables


@dataclasses.dataclass(frozen=True, slots=True)
class StatusInputs:
    """The node's state at the time of the request.

    :ivar head: the newest configuration; None before the first
    :ivar through_offset: the last offset of the control stream that was
        folded; -1 for none
    :ivar log_age_s: since the last contact with the log; None before it
    """

    environment: ids.EnvironmentName
    node: ids.NodeId
    head: records.ConfigurationHead | None
    through_offset: int
    log_age_s: float | None
    membership: membership.Snapshot | None
    vms: tuple[vm_list.Vm, ...]
    reports: tuple[tables.RouterReport, ...]
    counters: dict[str, float]


def build_reply(inputs: StatusInputs) -> status.StatusReply:
    """The answer to a :class:`guavachute.wire.status.StatusRequest`."""
    head, snapshot = inputs.head, inputs.membership
    return status.StatusReply(
        environment=inputs.environment,
        node=inputs.node,
        offset=-1 if head is None else head.offset,
        digest='' if head is None else head.digest,
        log_through_offset=inputs.through_offset,
        log_age_s=inputs.log_age_s,
        nodes=[_node(one) for one in snapshot.members] if snapshot else [],
        domains=[_domain(one) for one in snapshot.domains] if snapshot else [],
        endpoints=_endpoints(inputs.vms),
        routers=list(inputs.reports),
        counters=inputs.counters,
    )


def _node(member: domain_digest.ReportedMember) -> status.NodeStatus:
    reported = member.status
    return status.NodeStatus(
        node=member.node,
        failure_domain=member.profile.failure_domain,
        region=member.profile.region,
        state=_member_state(member),
        offset=-1 if reported is None else reported.offset,
        digest='' if reported is None else reported.digest,
        active_requests=0 if reported is None else reported.active_requests,
        routers=list(member.profile.routers),
    )


def _member_state(member: domain_digest.ReportedMember) -> str:
    if member.suspect:
        return 'suspect'
    return 'leaving' if member.leaving else 'live'


def _domain(digest: gossip.DomainDigest) -> status.DomainStatus:
    return status.DomainStatus(
        failure_domain=digest.failure_domain,
        region=digest.region,
        nodes=digest.nodes,
        active_requests=digest.active_requests,
        in_force=[
            status.InForce(one.offset, one.nodes) for one in digest.offsets
        ],
    )


def _endpoints(
    vms: tuple[vm_list.Vm, ...],
) -> dict[str, dict[str, int]]:
    counts: dict[str, dict[str, int]] = {}
    for vm in vms:
        if vm.kind is vm_list.VmKind.ENDPOINT:
            states = counts.setdefault(vm.pool, {})
            states[vm.state.value] = states.get(vm.state.value, 0) + 1
    return counts
