"""Decides which other nodes are counted as serving callers.

Quotas and retry budgets are shared by all nodes that serve callers. A
node without updates for a while has most likely ended, and its share
goes to the others. A node that gets updates from too few of the others
may itself be partitioned from them while they continue to serve; it then
counts all nodes that it knows.
"""

import typing

COUNTED_S = 10.0
"""A node without an update for longer than this isn't counted."""

PARTITION_SHARE = 0.25
"""If more than this share of the known nodes sent no recent update, a
partition is assumed, and all known nodes are counted."""

Name = typing.TypeVar('Name', bound=str)


def counted_nodes(
    last_update_s: typing.Mapping[Name, float], now_s: float
) -> set[Name]:
    """The known nodes that share the quotas and budgets with this one.

    :param last_update_s: by node, when its last update arrived, or when
        this node learnt of it if none has arrived
    """
    active = {
        name
        for name, at_s in last_update_s.items()
        if now_s - at_s <= COUNTED_S
    }
    silent = len(last_update_s) - len(active)
    if silent > PARTITION_SHARE * len(last_update_s):
        return set(last_update_s)
    return active
