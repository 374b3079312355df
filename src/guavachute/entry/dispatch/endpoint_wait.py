"""How long a request waits for an endpoint that can be used."""

import typing

from guavachute.entry import loop as entry_loop

RECHECK_S = 0.05
"""Interval at which a request without a usable endpoint looks for one."""

WAIT_FRACTION = 0.5
"""Fraction of the route's latency objective that a request waits for a usable
endpoint."""

BEGUN_WAIT_S = 2.0
"""The same for an answer that has begun, from the loss of its endpoint on. Its
caller would lose what it has, and endpoints that restart are usable again in a
second or two."""


class EndpointWait:
    """The wait of one request, from its arrival on.

    :param objective_s: the latency objective of its route
    :param dispatch: looks for a usable endpoint again
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        objective_s: float,
        dispatch: typing.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._longest_s = WAIT_FRACTION * objective_s
        self._dispatch = dispatch
        self._since_s = loop.now_s
        self._timer: entry_loop.Timer | None = None

    def restart(self) -> None:
        """Wait from now on: an answer that has begun lost its endpoint."""
        self._since_s = self._loop.now_s
        self._longest_s = BEGUN_WAIT_S

    def recheck(self, least_wait_s: float = 0.0) -> bool:
        """Look for an endpoint again soon.

        :param least_wait_s: how long the request waits at least
        :return: False if the request has waited for too long
        """
        waited_s = self._loop.now_s - self._since_s
        if waited_s >= max(least_wait_s, self._longest_s):
            return False
        self._timer = self._loop.call_after(RECHECK_S, self._dispatch)
        return True

    def cancel(self) -> None:
        """Look for no endpoint any more."""
        if self._timer is not None:
            self._timer.cancel()
