"""Decides which nodes of a region are readers of the store.

Calls to the store cost money, and their rate is limited over all nodes.
A few nodes of each region, the readers, read each change at once and
send it to the others, which read the store seldom. A node that knows of
no other reader becomes one itself, so no node depends on one that has
ended.
"""

import dataclasses
import typing

from guavachute.decide import rendezvous
from guavachute import ids

READERS_PER_REGION = 2
"""One more than needed, so that the loss of one has no effect."""

_KEY = 'readers'


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """This node, or a node that sent an update recently.

    :ivar reaches_store: whether the store answers its calls
    :ivar is_staying: whether it isn't about to stop
    """

    node: ids.NodeId
    region: ids.Region
    reaches_store: bool
    is_staying: bool


def is_reader(own: Candidate, others: typing.Iterable[Candidate]) -> bool:
    """Whether the node *own* is a reader.

    :param others: nodes of any region that sent an update recently
    """
    able = [
        candidate
        for candidate in others
        if candidate.region == own.region
        and candidate.reaches_store
        and candidate.is_staying
    ]
    ranked = rendezvous.ranked(_KEY, [own, *able], _name)
    return own in ranked[:READERS_PER_REGION]


def _name(candidate: Candidate) -> str:
    return candidate.node
