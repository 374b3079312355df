"""How long an idle connection is kept.

The operator's configuration limits how long a connection may be idle, and
callers use theirs again up to a part of the limit that they know. When the
limit changes, callers and nodes know different ones for a while. So a
connection is kept by the longest limit that its caller may go by, and answers
name the time for which callers may count on it.
"""

import dataclasses

USED_FRACTION = 0.8
"""Callers use connections that were idle up to this fraction of the limit. The
rest of the limit is the time that their requests have to arrive."""

MIN_WAY_S = 1.0
"""The same time at least, however short the limit: a request and the answer
before it may wait for half a second each in the queue of a full link."""


@dataclasses.dataclass(slots=True)
class _Limit:
    limit_s: float
    replaced_s: float | None = None
    """When another limit came into force; None for the one in force."""


class IdleLimits:
    """The limits that callers may know.

    :param default_s: the limit while there is no configuration
    :param known_for_s: callers may go by a limit for so long after it has been
        replaced
    """

    def __init__(self, default_s: float, known_for_s: float) -> None:
        self._default_s = default_s
        self._known_for_s = known_for_s
        self._limits: list[_Limit] = []

    def __len__(self) -> int:
        """The number of limits that are remembered."""
        return len(self._limits)

    def record(self, limit_s: float, now_s: float) -> None:
        """Record the limit of a configuration that comes into force."""
        if self._limits:
            if self._limits[-1].limit_s == limit_s:
                return
            self._limits[-1].replaced_s = now_s
        self._limits.append(_Limit(limit_s))
        self._discard_unknown(now_s)

    def _discard_unknown(self, now_s: float) -> None:
        """Discard limits by which no connection is kept any more."""
        self._limits = [
            item
            for item in self._limits
            if item.replaced_s is None
            or now_s < item.replaced_s + self._known_for_s + item.limit_s
        ]

    def longest_s(self, since_s: float) -> float:
        """How long a connection is kept that is idle since *since_s*."""
        return max(
            (
                item.limit_s
                for item in self._limits
                if item.replaced_s is None
                or since_s < item.replaced_s + self._known_for_s
            ),
            default=self._default_s,
        )


def kept_s(limit_s: float) -> float:
    """How long a connection is kept whose caller goes by a limit."""
    return max(limit_s, USED_FRACTION * limit_s + MIN_WAY_S)


def keep_alive_s(limit_s: float) -> int:
    """How long callers are told to count on an idle connection.

    In whole seconds, as the header has it; 0 if that would say nothing.
    """
    return int(USED_FRACTION * limit_s)
