"""How long a node's updates were on their way.

An update that waited in a full link, or at a process that stood still, tells
of a moment that is longer ago than it seems. Each update names the age of its
sender's run, by a clock that nobody sets. So of one run, the update with the
least difference between arrival and age was the quickest, and the others took
longer by as much as their difference is greater.
"""

LEARNING_S = 1.0
"""Before a run was heard for this long, its quickest update may have waited as
well: all that is known of it may have been read at one moment."""


class UpdateDelay:
    """The delay of one run's updates beyond the quickest one."""

    def __init__(self) -> None:
        self._quickest_s = float('inf')
        self._first_s: float | None = None

    def delay_s(self, age_s: float, now_s: float) -> float | None:
        """The delay of an update that has come now; None if not known.

        :param age_s: of the sender's run, as the update tells
        """
        if self._first_s is None:
            self._first_s = now_s
        started_s = now_s - age_s
        self._quickest_s = min(self._quickest_s, started_s)
        if now_s - self._first_s < LEARNING_S:
            return None
        return started_s - self._quickest_s
