"""Which other nodes count as serving callers, heard or not.

Quotas and retry budgets are shared by all nodes that serve callers. A
node that was not heard for a while has most likely ended, and its share
goes to the others. A node that hears too few of the others may itself
be the one that is cut off, while they go on: then all that it knows
count.
"""

import typing

COUNTED_S = 10.0
"""A single node that was not heard for this long counts no more."""

CUT_OFF_SHARE = 0.25
"""With more than this part of the known nodes unheard, they are taken
to be out of reach rather than gone."""

Name = typing.TypeVar('Name', bound=str)


def counted(
    last_heard_s: typing.Mapping[Name, float], now_s: float
) -> set[Name]:
    """The nodes, of those known, that count beside this one.

    :param last_heard_s: by node, when it was heard, or learnt of if it
        was never heard
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
