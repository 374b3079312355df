"""Estimates the load of an endpoint from delayed reports.

A report gives the number of requests at the endpoint some time ago,
including those of other routers. The estimate adds the requests that this
router has started and finished since then, so that a burst is not sent
entirely to the endpoint whose last report happened to be low.
"""

import collections

CHANGE_HISTORY_S = 10.0
"""How long starts and ends of requests are kept. A report older than this
is corrected only by those that are still kept."""

MAXIMUM_CHANGES = 4096
"""At most this many starts and ends are kept."""


class Load:
    """The outstanding requests at one endpoint, as estimated by one router.

    :ivar own: requests of this router that run or wait there
    """

    __slots__ = ('own', '_others', '_changes')

    def __init__(self) -> None:
        self.own = 0
        self._others = 0
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=MAXIMUM_CHANGES)
        )

    @property
    def outstanding(self) -> int:
        """Requests of all routers that run or wait at the endpoint."""
        return self.own + self._others

    def record_sent(self, now_s: float) -> None:
        """Record that this router sent the endpoint a request."""
        self.own += 1
        self._changes.append((now_s, 1))

    def record_end(self, now_s: float) -> None:
        """Record that a request of this router ended."""
        assert self.own > 0, 'more requests ended than were sent'
        self.own -= 1
        self._changes.append((now_s, -1))

    def record_report(
        self, outstanding: int, age_s: float, now_s: float
    ) -> None:
        """Record a report of *outstanding* requests at the endpoint.

        :param outstanding: running and waiting requests of all routers
        :param age_s: how long before *now_s* the report was made
        """
        while self._changes and self._changes[0][0] < now_s - CHANGE_HISTORY_S:
            self._changes.popleft()
        reported_s = now_s - age_s
        since = sum(
            change for when_s, change in self._changes if when_s > reported_s
        )
        own_then = self.own - since
        self._others = max(0, outstanding - own_then)

    def discard_report(self) -> None:
        """Discard the last report, as the endpoint sends none any more.

        Only requests of this router are counted until the next report.
        """
        self._others = 0
