"""Demand of all routers, as known to one entry node."""

from guavachute.decide.members import membership
from guavachute.wire import requests
from guavachute.wire import tables


def demand_by_source(
    reports: tuple[tables.RouterReport, ...],
    snapshot: membership.Snapshot | None,
) -> list[requests.DemandSum]:
    """Demand by source: own routers, local nodes and other domains.

    There is one sum for each router in *reports*, one for each other node
    of this failure domain, and one for each other failure domain. Nodes
    that are suspected, absent or without a status are left out, so
    routers receive no further sums of them.

    :param reports: from the routers that this node serves
    :param snapshot: None while membership is unknown; only *reports* count
    """
    sums = [
        requests.DemandSum(
            source=report.router,
            demand=report.demand,
            served_tokens=report.used_tokens,
        )
        for report in reports
    ]
    if snapshot is None:
        return sums
    for member in snapshot.members:
        status = member.status
        if member.node == snapshot.node or member.suspect or status is None:
            continue
        sums.append(
            requests.DemandSum(
                source=f'node/{member.node}',
                routers=len(member.profile.routers),
                demand=_floats(status.demand),
                served_tokens=_floats(status.used_tokens),
            )
        )
    for digest in snapshot.domains:
        if digest.failure_domain != snapshot.failure_domain:
            sums.append(
                requests.DemandSum(
                    source=f'domain/{digest.failure_domain}',
                    routers=digest.nodes,
                    demand=_floats(digest.demand),
                    served_tokens=_floats(digest.used_tokens),
                )
            )
    return sums


def _floats(amounts: dict[str, int]) -> dict[str, float]:
    return {name: float(amount) for name, amount in amounts.items()}
