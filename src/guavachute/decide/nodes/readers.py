"""Decides which nodes of a region are readers of the store.

Calls to the store cost money, and their rate is limited over all nodes.
A few nodes of each region, the readers, read each change at once and
send it to the others, which read the store seldom. A node that knows of
no other reader becomes one itself, so no node depends on one that has
ended.
"""

import dataclasses
import enum
import typing

from guavachute.decide import rendezvous
from guavachute import ids

READERS_PER_REGION = 2
"""One more than needed, so that the loss of one has no effect."""

_KEY = 'readers'


class Role(enum.Enum):
    """How closely a node reads the store."""

    FIRST = 'first'
    """It reads each change at once."""
    SECOND = 'second'
    """It waits longer for a configuration, and takes over when the first one
    is gone."""
    FOLLOWER = 'follower'
    """It gets changes from the readers."""


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


def role(own: Candidate, others: typing.Iterable[Candidate]) -> Role:
    """The role of the node *own*.

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
    if ranked[0] is own:
        return Role.FIRST
    if own in ranked[:READERS_PER_REGION]:
        return Role.SECOND
    return Role.FOLLOWER


def _name(candidate: Candidate) -> str:
    return candidate.node
