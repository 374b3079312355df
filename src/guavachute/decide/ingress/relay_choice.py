"""Chooses the node that passes a request on to an endpoint.

A node that can't reach an endpoint itself sends the request through another
node, which can. That costs the other node work and, between regions, traffic,
so the requests are spread over the nodes by what each already passes on.
"""

import dataclasses
import typing

from guavachute.decide.ingress import choice
from guavachute.decide import rendezvous
from guavachute import ids

PROOF_S = 3.0
"""A node is asked to pass a request on if it has heard the endpoint at most
this long ago."""

DISTANCE_REQUESTS = {
    choice.Nearness.SAME_DOMAIN: 0,
    choice.Nearness.SAME_REGION: 2,
    choice.Nearness.OTHER_REGION: 8,
}
"""A more distant node is chosen if a nearer one already passes on this many
requests more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Helper:
    """Another node, as one that may pass requests on.

    :ivar address: where it accepts requests to pass on
    :ivar heard_s: when it last heard the endpoint
    :ivar open_requests: requests of this node that it passes on now
    """

    node: ids.NodeId
    address: ids.Address
    nearness: choice.Nearness
    heard_s: float
    open_requests: int


def choose(
    helpers: typing.Iterable[Helper], request: str, now_s: float
) -> Helper | None:
    """The node that passes *request* on; None if none can.

    :param request: its id, by which equal nodes are told apart
    """
    able = [item for item in helpers if now_s - item.heard_s <= PROOF_S]
    return min(
        able,
        key=lambda item: (
            item.open_requests + DISTANCE_REQUESTS[item.nearness],
            rendezvous.score(request, item.node),
        ),
        default=None,
    )
