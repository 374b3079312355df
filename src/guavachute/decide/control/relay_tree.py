"""From whom a node hears the control stream.

In each region a few nodes read the log; the others form a tree below
them, in an order that all nodes work out alike from the members they
know. Nobody has to agree: where two views differ, a few nodes more read
the log, and a ring of followers notices by the age of what it hears.
"""

import dataclasses
import typing

from guavachute.decide import rendezvous
from guavachute import ids

ROOTS = 2
FAN_OUT = 3
"""Bounds what a node sends: each change of a document so many times."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Where a node reads from.

    :ivar reads_log: the log itself is the first choice; otherwise the
        last
    :ivar relays: nodes to follow, best first
    """

    reads_log: bool
    relays: tuple[ids.NodeId, ...]


def sources_of(
    node: ids.NodeId,
    region: ids.Region,
    region_nodes: typing.Iterable[ids.NodeId],
) -> Sources:
    """The sources of *node*.

    :param region_nodes: the live nodes of its region, itself included
        or not
    """
    ranked = rendezvous.ranked(region, region_nodes, str)
    roots = tuple(ranked[:ROOTS])
    if node in roots:
        others = tuple(root for root in roots if root != node)
        return Sources(True, others)
    if node not in ranked:
        return Sources(not roots, roots)
    place = ranked.index(node)
    parent = (place - ROOTS) // FAN_OUT
    # A second parent, so that a whole branch does not fall back on the
    # roots when one node dies. All stand before this node in the order.
    second = parent + 1 if parent + 1 < place else parent - 1
    wanted = [ranked[parent], ranked[max(0, second)], *roots]
    return Sources(False, tuple(dict.fromkeys(wanted)))
