"""Chooses the recipients of a node's updates.

With few nodes, each node sends its updates to all others, less often to
those in other regions. With many, a node sends each update to the
readers of its region and to a part of the other nodes there, in turn;
between regions, readers send each other the sums of their regions. The
cost of updates per node therefore stays the same as nodes are added.
"""

import math
import typing

PERIOD_S = 0.25
"""Time between two updates of a node."""

FEW_NODES = 24
"""Up to this many nodes, each sends its updates to all others: at 24 a
node sends fewer than a hundred messages per second."""

MAX_RECIPIENTS = 24
"""With many nodes, how many of the own region get each update."""

REMOTE_EVERY = 4
"""With few nodes, one of this many updates is sent to nodes of other
regions and to nodes that sent no update for a while."""

REMOTE_READERS_EVERY = 2
"""Readers send one of this many updates to the other regions' readers."""

STARTUP_TURNS = 12
"""For this many turns after its start, a node sends each update to the
other regions too: all nodes may have started together, and the others
don't know yet what this one admits."""

READERS_PER_REMOTE_REGION = 2
"""Number of readers of each other region that get an update."""

Name = typing.TypeVar('Name')


def are_few(nodes: int) -> bool:
    """Whether each node sends its updates to all others.

    :param nodes: number of nodes, this one included
    """
    return nodes <= FEW_NODES


def round_s(nodes: int, local_nodes: int) -> float:
    """The time in which each node of the region gets an update.

    :param nodes: number of nodes in all regions, this one included
    :param local_nodes: number of other nodes in the own region
    """
    if are_few(nodes):
        return PERIOD_S
    return PERIOD_S * max(1, math.ceil(local_nodes / MAX_RECIPIENTS))


def is_remote_due(turn: int, every: int) -> bool:
    """Whether the update of this turn is sent to other regions.

    :param turn: number of updates since the start of the node
    :param every: after the startup turns, one of this many turns is due
    """
    return turn <= STARTUP_TURNS or turn % every == 0


def recipients(names: typing.Sequence[Name], turn: int) -> list[Name]:
    """Those of *names* that get the update of this turn."""
    if len(names) <= MAX_RECIPIENTS:
        return list(names)
    start = turn * MAX_RECIPIENTS % len(names)
    doubled = [*names, *names]
    return doubled[start : start + MAX_RECIPIENTS]
