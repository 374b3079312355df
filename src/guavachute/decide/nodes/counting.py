"""Decides which other nodes are counted as serving callers.

Quotas and retry budgets are shared by all nodes that serve callers. A
node without updates for a while has most likely ended, and its share
goes to the others. A node that hears too few of the others may itself
be partitioned from them while they continue to serve; it then counts
all nodes that it knows.
"""

import typing

COUNTED_S = 10.0
"""A node without an update for longer than this isn't counted."""

CUT_OFF_SHARE = 0.25
"""If more than this share of the known nodes is not heard, a partition
is assumed, and all known nodes are counted."""

Name = typing.TypeVar('Name', bound=str)


def counted_nodes(
    last_heard_s: typing.Mapping[Name, float], now_s: float
) -> set[Name]:
    """The known nodes that share the quotas and budgets with this one.

    :param last_heard_s: by node, when its last update arrived, or when
        this node learnt of it if none has arrived
    """
    heard = {
        name
        for name, at_s in last_heard_s.items()
        if now_s - at_s <= COUNTED_S
    }
    unheard = len(last_heard_s) - len(heard)
    if unheard > CUT_OFF_SHARE * len(last_heard_s):
        return set(last_heard_s)
    return heard
