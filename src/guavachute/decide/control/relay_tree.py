"""Chooses the sources from which a node reads the control stream.

In each region a few nodes read the log itself. The others form a tree
below them, in an order that every node computes from the members that it
knows. No agreement is needed: where nodes know different members, a few
more of them read the log, and nodes that follow each other in a cycle
detect it by the age of what they receive.
"""

import dataclasses
import typing

from guavachute.decide import rendezvous
from guavachute import ids

ROOTS = 2
"""Nodes of a region that read the log itself."""
FAN_OUT = 3
"""Bounds how many times a node sends each change of a document."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The sources of one node.

    :ivar reads_log: whether the log itself is the first choice; if not,
        it is the last
    :ivar relays: nodes to follow, in order of preference
    """

    reads_log: bool
    relays: tuple[ids.NodeId, ...]


def sources_of(
    node: ids.NodeId,
    region: ids.Region,
    region_nodes: typing.Iterable[ids.NodeId],
) -> Sources:
    """The sources of *node*.

    :param region_nodes: the live nodes of its region, with or without
        *node* itself
    """
    ranked = rendezvous.ranked(region, region_nodes, str)
    roots = tuple(ranked[:ROOTS])
    if node in roots:
        others = tuple(root for root in roots if root != node)
        return Sources(True, others)
    if node not in ranked:
        return Sources(not roots, roots)
    rank = ranked.index(node)
    parent = (rank - ROOTS) // FAN_OUT
    # With a second parent, the subtree of a node that dies doesn't fall
    # back on the roots. All parents rank before this node, so there is
    # no cycle.
    second = parent + 1 if parent + 1 < rank else parent - 1
    relays = [ranked[parent], ranked[max(0, second)], *roots]
    return Sources(False, tuple(dict.fromkeys(relays)))
