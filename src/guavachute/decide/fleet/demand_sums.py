"""The demand of all routers, as one node knows it."""

from guavachute.decide.members import membership
from guavachute.wire import requests
from guavachute.wire import tables


def known(
    reports: tuple[tables.RouterReport, ...], view: membership.View | None
) -> list[requests.DemandSum]:
    """A sum for each router here, each other node, each other domain.

    Only nodes that are present and not suspected are in it: of the
    others the routers hear no more and stop to count on them.
    """
    sums = [
        requests.DemandSum(
            source=report.router,
            demand=report.demand,
            served_tokens=report.used_tokens,
        )
        for report in reports
    ]
    if view is None:
        return sums
    for member in view.members:
        status = member.status
        if member.node == view.me or member.suspect or status is None:
            continue
        sums.append(
            requests.DemandSum(
                source=f'node/{member.node}',
                routers=len(member.profile.routers),
                demand=_floats(status.demand),
                served_tokens=_floats(status.used_tokens),
            )
        )
    for digest in view.domains:
        if digest.failure_domain != view.failure_domain:
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
