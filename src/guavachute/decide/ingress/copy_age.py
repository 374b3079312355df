"""How old a node's copy of the endpoints may be.

Nodes that don't read the store closely hear of changes from those that do. If
nothing is heard, nothing may have changed, or the readers may have stopped
reading. So each node tells how long ago its copy was certainly complete, and a
node that can't prove its own copy younger than a bound reads the store itself.
"""

import math

MAX_AGE_SHARE = 0.6
"""Share of the time in which a leaving endpoint has to be known; the rest is
for reading the store."""

RETRY_S = 1.0
"""Pause between two reads for want of a proof."""

MAX_AGE_S = 99.0
"""Greater ages, and those without any proof, count as this."""


class CopyAge:
    """The proof of one node's copy; none at its start.

    :param drain_s: a leaving endpoint has to be known within this
    :ivar source: what the latest proof is by, for the log
    """

    def __init__(self, drain_s: float) -> None:
        self._max_age_s = MAX_AGE_SHARE * drain_s
        self._complete_s = float('-inf')
        self._asked_s = float('-inf')
        self.source = ''

    def record_complete(self, at_s: float, source: str) -> None:
        """Record that the copy had all changes until *at_s*.

        :param source: a node, or ``store``
        """
        if at_s > self._complete_s:
            self._complete_s = at_s
            self.source = source

    def age_s(self, now_s: float) -> float:
        """For how long changes may be missing."""
        return min(MAX_AGE_S, max(0.0, now_s - self._complete_s))

    def age_ds(self, now_s: float) -> int | None:
        """The same in tenths of a second, rounded up; None without proof."""
        if math.isinf(self._complete_s):
            return None
        return math.ceil(10 * self.age_s(now_s))

    def is_read_due(self, now_s: float) -> bool:
        """Whether the store has to be read now; the caller does so.

        Without any proof it is being read anyway.
        """
        if (
            math.isinf(self._complete_s)
            or self.age_s(now_s) <= self._max_age_s
            or now_s - self._asked_s < RETRY_S
        ):
            return False
        self._asked_s = now_s
        return True
