"""How much work an endpoint has, from lagged reports.

A report says what ran on the endpoint some time ago, the work of other
routers included. What this router has sent and seen end since then is
added, so that a burst is not all sent to the endpoint whose report
happened to be low.
"""

import collections

REMEMBERED_S = 10.0
"""Changes are kept this long; an older report counts them all."""

REMEMBERED_CHANGES = 4096


class Load:
    """The outstanding requests on one endpoint, as one router sees it.

    :ivar own: requests of this router that run or wait there
    """

    __slots__ = ('own', '_others', '_changes')

    def __init__(self) -> None:
        self.own = 0
        self._others = 0
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=REMEMBERED_CHANGES)
        )

    @property
    def outstanding(self) -> int:
        """Requests of all routers that run or wait on the endpoint."""
        return self.own + self._others

    def sent(self, now_s: float) -> None:
        """This router sent it a request."""
        self.own += 1
        self._changes.append((now_s, 1))

    def ended(self, now_s: float) -> None:
        """A request of this router ended there."""
        assert self.own > 0, 'more requests ended than were sent'
        self.own -= 1
        self._changes.append((now_s, -1))

    def reported(self, outstanding: int, age_s: float, now_s: float) -> None:
        """The endpoint said that *outstanding* ran or waited.

        :param age_s: how long before *now_s* that was
        """
        while self._changes and self._changes[0][0] < now_s - REMEMBERED_S:
            self._changes.popleft()
        taken_s = now_s - age_s
        since = sum(
            change for when_s, change in self._changes if when_s > taken_s
        )
        own_then = self.own - since
        self._others = max(0, outstanding - own_then)

    def forget_report(self) -> None:
        """The endpoint has fallen silent; only own work counts."""
        self._others = 0
