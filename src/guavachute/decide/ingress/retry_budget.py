"""How many sends beyond the first a node may make to a service.

The bound holds over all nodes in each window: a ratio of the requests,
and an allowance. Each node keeps to the ratio of its own requests and
to an even part of the allowance, so no node needs to hear another.
"""

import collections

SAFETY = 0.8
"""Part of the bound that is used: windows slide, and the nodes' number
is known only after a while."""


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
        self._forget(now_s)

    def take(self, nodes: int, now_s: float) -> bool:
        """Pay for another send; False when the budget is spent.

        :param nodes: entry nodes that share the allowance
        """
        self._forget(now_s)
        bound = SAFETY * (
            self._ratio * len(self._requests) + self._allowance / max(1, nodes)
        )
        if len(self._retries) + 1 > bound:
            return False
        self._retries.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
