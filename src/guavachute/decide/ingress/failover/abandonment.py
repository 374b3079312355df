"""When an attempt is given up although its connection has not ended.

An endpoint that is silent may go on at any moment, so an attempt is given up
only if the link to it is broken, and if that isn't this node's own link to
everything: through a full link, nothing would go on elsewhere either.
"""

import dataclasses

from guavachute.decide.ingress import endpoint_links

BEGUN_SILENT_S = 2.0
"""A connection whose answer has begun is silent for at least this long before
the answer goes on elsewhere. Sound endpoints and full links are silent for a
second or so."""


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """What is known of the link between this node and one endpoint.

    :ivar is_node_cut: whether this node is cut off from all endpoints, so that
        other nodes pass its requests on
    :ivar is_reached_by_others: whether another node has heard the endpoint
        since contacts with it failed from here
    :ivar is_only_link: whether contacts with other endpoints work from here
    """

    is_node_cut: bool
    is_reached_by_others: bool
    is_only_link: bool


def is_abandoned(link: Link, silent_s: float, has_begun: bool) -> bool:
    """Whether an attempt should be given up, if it can go on elsewhere.

    :param silent_s: for how long its connection has received nothing
    :param has_begun: whether its caller has a part of the answer
    """
    least_s = BEGUN_SILENT_S if has_begun else endpoint_links.SILENT_S
    is_broken = link.is_node_cut or (
        link.is_reached_by_others and link.is_only_link
    )
    return is_broken and silent_s >= least_s
