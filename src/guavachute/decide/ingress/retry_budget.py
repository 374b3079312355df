"""How many sends beyond the first a node may make to a service.

The bound holds over all nodes in each window: a ratio of the requests,
and an allowance. Each node keeps to a part of the ratio of its own
requests and of an even share of the allowance, so no node needs to hear
another; only their number has to be known.
"""

import collections

USED_PART = 0.5
"""Part of the bound that is used. Requests may move from one node to
another between two windows, and a node that starts again within a
window has its share anew; either may double what is spent in it."""


class RetryBudget:
    """The sends to one service by this node."""

    def __init__(
        self, ratio: float, allowance: float, window_s: float
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def requested(self, now_s: float) -> None:
        """A caller's request for the service came."""
        self._requests.append(now_s)
        self._expire(now_s)

    def take(self, nodes: int, now_s: float) -> bool:
        """Pay for another send; False when the budget is spent.

        :param nodes: entry nodes that share the allowance, at least
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
