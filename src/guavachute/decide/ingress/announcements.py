"""What endpoints say of themselves in their answers.

An endpoint that announces its end gets no new request, whatever its entry in
the store says, until it starts again. One that rejects a request and names a
pause gets none until the pause is over. Both bind this process from the
answer on, and outlive what else it remembers of the endpoint.
"""

import collections
import math
import typing

from guavachute import ids

MAX_PAUSE_S = 3600.0
"""Upper bound of the pause that one answer can impose."""

RETURN_SPREAD = 0.5
"""Callers that hear of the same pause return over this share of it, so that
not all return at once."""

MIN_RETURN_SPREAD_S = 0.2

NOTICE_TTL_S = 10.0
"""Other nodes are told for this long that an endpoint leaves."""

IN_DOUBT_S = 10.0
"""An announcement this old belongs to the start that was known then."""

KEPT = 1_000
"""Number of endpoints whose announcements are remembered."""


class Incarnation(typing.NamedTuple):
    """One start of an endpoint.

    :ivar start_ms: as Unix time
    """

    endpoint: ids.EndpointId
    start_ms: int


def bounded_pause_s(retry_after_s: float) -> float:
    """The pause that an answer imposes.

    :param retry_after_s: as the answer names it; may be negative, not a number
        or infinite
    """
    if math.isnan(retry_after_s):
        return 0.0
    return min(MAX_PAUSE_S, max(0.0, retry_after_s))


def return_after_s(pause_s: float, fraction: float) -> float:
    """When a caller should return while all endpoints pause.

    :param pause_s: remaining time until the first of them ends its pause
    :param fraction: random, 0 to 1; spreads the callers
    """
    spread_s = max(MIN_RETURN_SPREAD_S, RETURN_SPREAD * pause_s)
    return pause_s + fraction * spread_s


class Announcements:
    """The announcements of all endpoints; the oldest are forgotten."""

    def __init__(self) -> None:
        self._leaving: collections.OrderedDict[Incarnation, float] = (
            collections.OrderedDict()
        )
        self._paused_until_s: dict[Incarnation, float] = {}

    def record_leaving(self, incarnation: Incarnation, now_s: float) -> bool:
        """Record that an endpoint will end; False if that was known."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = now_s
        if len(self._leaving) > KEPT:
            self._leaving.popitem(last=False)
        return True

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Whether an endpoint has announced its end."""
        return incarnation in self._leaving

    def is_in_doubt(self, incarnation: Incarnation, now_s: float) -> bool:
        """Whether an announcement may be this start's, not an earlier one's.

        An answer does not name the start that it comes from, and an endpoint
        may answer before its entry tells of its new start.
        """
        return any(
            item.endpoint == incarnation.endpoint and item != incarnation
            for item in self._announced_within(IN_DOUBT_S, now_s)
        )

    def notices(self, now_s: float) -> list[Incarnation]:
        """The endpoints whose end was announced recently."""
        return list(self._announced_within(NOTICE_TTL_S, now_s))

    def _announced_within(
        self, age_s: float, now_s: float
    ) -> typing.Iterator[Incarnation]:
        for incarnation, at_s in reversed(self._leaving.items()):
            if now_s - at_s > age_s:
                break
            yield incarnation

    def record_pause(self, incarnation: Incarnation, until_s: float) -> bool:
        """Record a pause; False if a longer one is in force."""
        if until_s <= self._paused_until_s.get(incarnation, 0.0):
            return False
        self._paused_until_s[incarnation] = until_s
        return True

    def pause_s(self, incarnation: Incarnation, now_s: float) -> float:
        """The remaining pause of an endpoint; 0 without one."""
        until_s = self._paused_until_s.get(incarnation)
        return 0.0 if until_s is None else max(0.0, until_s - now_s)

    def pop_ended_pauses(self, now_s: float) -> list[Incarnation]:
        """Forget the pauses that are over; returns their endpoints."""
        ended = [
            incarnation
            for incarnation, until_s in self._paused_until_s.items()
            if until_s <= now_s
        ]
        for incarnation in ended:
            del self._paused_until_s[incarnation]
        return ended
