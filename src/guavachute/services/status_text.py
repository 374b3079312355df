"""The answer to an operator's question, from what a node knows."""

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
class Known:
    """What the node knows at the moment of the question."""

    environment: ids.EnvironmentName
    node: ids.NodeId
    head: records.ConfigurationHead | None
    through_offset: int
    log_age_s: float | None
    view: membership.View | None
    vms: tuple[vm_list.Vm, ...]
    reports: tuple[tables.RouterReport, ...]
    counters: dict[str, float]


def reply(known: Known) -> status.StatusReply:
    """The answer to a :class:`guavachute.wire.status.StatusRequest`."""
    head, view = known.head, known.view
    return status.StatusReply(
        environment=known.environment,
        node=known.node,
        offset=-1 if head is None else head.offset,
        digest='' if head is None else head.digest,
        log_through_offset=known.through_offset,
        log_age_s=known.log_age_s,
        nodes=[_node(one) for one in view.members] if view else [],
        domains=[_domain(one) for one in view.domains] if view else [],
        endpoints=_endpoints(known.vms),
        routers=list(known.reports),
        counters=known.counters,
    )


def _node(member: domain_digest.Reported) -> status.NodeStatus:
    reported = member.status
    return status.NodeStatus(
        node=member.node,
        failure_domain=member.profile.failure_domain,
        region=member.profile.region,
        state=_state(member),
        offset=-1 if reported is None else reported.offset,
        digest='' if reported is None else reported.digest,
        active_requests=0 if reported is None else reported.active_requests,
        routers=list(member.profile.routers),
    )


def _state(member: domain_digest.Reported) -> str:
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
    found: dict[str, dict[str, int]] = {}
    for vm in vms:
        if vm.kind is vm_list.VmKind.ENDPOINT:
            states = found.setdefault(vm.pool, {})
            states[vm.state.value] = states.get(vm.state.value, 0) + 1
    return found
