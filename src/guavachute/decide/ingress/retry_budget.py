"""Limits the retries that a node sends to a service.

Over all nodes, the retries in each window are bounded by a ratio of the
requests plus an allowance. Each node uses a part of the ratio of its
own requests and of an even share of the allowance. The nodes therefore
exchange no counts; each needs to know only the number of nodes.
"""

import collections

USED_PART = 0.5
"""Part of the bound that is used. Requests may move from one node to
another between two windows, and a node that restarts within a window
starts with a full share; either may double the retries in the
window."""


class RetryBudget:
    """The retries of one node to one service.

    :param ratio: retries allowed for each request
    :param allowance: retries of all nodes allowed beyond the ratio
    :param window_s: length of the sliding window
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Record a caller's request for the service."""
        self._requests.append(now_s)
        self._expire(now_s)

    def consume(self, nodes: int, now_s: float) -> bool:
        """Consume one retry; False if the budget is exhausted.

        :param nodes: number of entry nodes that share the allowance;
            the bound holds as long as there are no more nodes
        """
        self._expire(now_s)
        bound = USED_PART * (
            self._ratio * len(self._requests) + self._allowance / max(1, nodes)
        )
        if len(self._retries) + 1 > bound:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
