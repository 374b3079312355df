"""How long the connection of a caller has been idle, and may be."""

import typing

from guavachute.decide.ingress.closing import idle_limits
from guavachute.entry import loop as entry_loop


class IdleClock:
    """The idle time of one connection, from its opening on.

    :param newest_limit_s: gives the limit that is in force
    :param limits: the limits that callers may know, if the limit changes; None
        if it is constant
    :ivar since_s: when the connection became idle
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        newest_limit_s: typing.Callable[[], float],
        limits: idle_limits.IdleLimits | None,
    ) -> None:
        self._loop = loop
        self._newest_limit_s = newest_limit_s
        self._limits = limits
        self._told_limit_s = 0.0
        self.since_s = loop.now_s

    def restart(self) -> None:
        """Record that the connection is idle from now on."""
        self.since_s = self._loop.now_s

    @property
    def idle_s(self) -> float:
        """How long there has been no request."""
        return self._loop.now_s - self.since_s

    @property
    def timeout_s(self) -> float:
        """How long the connection is kept while it is idle.

        Also how long a body may take, and how long a caller may read nothing
        of its answer.
        """
        if self._limits is None:
            return self._newest_limit_s()
        return idle_limits.kept_s(
            max(self._limits.longest_s(self.since_s), self._told_limit_s)
        )

    def tell_keep_alive_s(self) -> int:
        """What an answer says of how long the connection is kept.

        In whole seconds; 0 if it says nothing.
        """
        if self._limits is None:
            return 0
        self._told_limit_s = self._newest_limit_s()
        return idle_limits.keep_alive_s(self._told_limit_s)
