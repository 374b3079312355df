"""Whom a node tells its news, so that the cost per node stays the same.

Few nodes tell each other everything, in other regions less often. Where
there are many, a node tells its readers each time and the others of its
region in turns; between the regions, readers tell readers what they have
added up.
"""

import math
import typing

PERIOD_S = 0.25
"""Pause between news."""

FEW_NODES = 24
"""Up to this many, all nodes tell each other everything: at 24 a node
sends fewer than a hundred messages per second."""

MAX_RECIPIENTS = 24
"""Nodes of the own region that get each news where there are many."""

FAR_EVERY = 4
"""Nodes of other regions, and nodes that fell silent, get every so
manieth news where there are few."""

REGIONS_EVERY = 2
"""Readers tell the other regions' readers every so manieth time."""

STARTUP_TURNS = 12
"""So many times after its start, a node tells the other regions each time:
it may have started together with all others, which know nothing of what
it admits."""

READERS_TOLD = 2
"""Readers of each other region that are told."""

Name = typing.TypeVar('Name')


def are_few(nodes: int) -> bool:
    """Whether all nodes tell each other everything."""
    return nodes <= FEW_NODES


def round_s(nodes: int, near: int) -> float:
    """The time in which each node of the region is told once.

    :param near: how many others there are in the region
    """
    if are_few(nodes):
        return PERIOD_S
    return PERIOD_S * max(1, math.ceil(near / MAX_RECIPIENTS))


def is_far_due(turn: int, every: int) -> bool:
    """Whether other regions are told at this turn of a node."""
    return turn <= STARTUP_TURNS or turn % every == 0


def in_turn(names: typing.Sequence[Name], turn: int) -> list[Name]:
    """Those of *names* that are told at this turn."""
    if len(names) <= MAX_RECIPIENTS:
        return list(names)
    start = turn * MAX_RECIPIENTS % len(names)
    doubled = [*names, *names]
    return doubled[start : start + MAX_RECIPIENTS]
