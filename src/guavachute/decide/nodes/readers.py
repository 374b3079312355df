"""Which nodes read the store closely, and pass on what they find.

Every call to the store has its price, and its rate is bounded over all
nodes. A few nodes of each region read each change at once and tell the
others; these read seldom. A node that hears of no reader is one itself,
so nobody depends on a node that has gone.
"""

import dataclasses
import typing

from guavachute.decide import rendezvous
from guavachute import ids

READERS_PER_REGION = 2
"""One more than needed, so that the loss of one is not noticed."""

_KEY = 'readers'


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A node that was heard of late, or the node that asks.

    :ivar reaches_store: whether the store answers it
    :ivar is_staying: whether it is not about to stop
    """

    node: ids.NodeId
    region: ids.Region
    reaches_store: bool
    is_staying: bool


def is_reader(own: Candidate, others: typing.Iterable[Candidate]) -> bool:
    """Whether the node *own* is to read the store closely."""
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
