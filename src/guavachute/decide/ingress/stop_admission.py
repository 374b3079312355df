"""Which requests a node begins although it has been told to stop.

Callers learn of the stop some seconds late, and a request that is refused
costs them a new connection. But what is begun has to end within the grace
period: at its end it could only be broken off, with an answer that promises
nothing.
"""

import collections
import typing

SERVE_FRACTION = 0.35
"""Fraction of the grace period in which new requests are begun."""

MARGIN_S = 0.5
"""An answer has to be ready this long before the grace period ends."""

SAMPLES = 32
"""Durations that are remembered of each kind of request."""

USUAL_SHARE = 0.9
"""This share of the requests ends within the usual time."""


class Durations:
    """How long requests take, by kind."""

    def __init__(self) -> None:
        self._latest_s: dict[typing.Hashable, collections.deque[float]] = {}

    def record(self, kind: typing.Hashable, duration_s: float) -> None:
        """Record the duration of a request that was answered."""
        self._latest_s.setdefault(
            kind, collections.deque(maxlen=SAMPLES)
        ).append(duration_s)

    def usual_s(self, kind: typing.Hashable) -> float | None:
        """The time in which most requests end; None if none has yet."""
        latest_s = self._latest_s.get(kind)
        if not latest_s:
            return None
        return sorted(latest_s)[int(USUAL_SHARE * (len(latest_s) - 1))]


def admits(stopping_for_s: float, grace_s: float) -> bool:
    """Whether any new requests are begun.

    :param stopping_for_s: time since the node was told to stop
    """
    return stopping_for_s <= SERVE_FRACTION * grace_s


def may_begin(
    stopping_for_s: float, grace_s: float, usual_s: float | None
) -> bool:
    """Whether a new request is begun.

    :param stopping_for_s: time since the node was told to stop
    :param usual_s: how long such requests take; None if not known
    """
    if not admits(stopping_for_s, grace_s):
        return False
    left_s = grace_s - stopping_for_s - MARGIN_S
    return usual_s is None or usual_s <= left_s
