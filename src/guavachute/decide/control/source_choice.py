"""Chooses the source that a follower of the control stream reads from.

Sources are given in order of preference. After a source failed, stopped
sending or lost its own connection to the log, the follower backs off
from it and uses the next one. Later it returns to a preferred source.
"""

import dataclasses

from guavachute.decide import backoff

RETRY = backoff.Policy(initial_s=0.2, maximum_s=15.0)
STALE_AFTER_S = 12.0
"""A source whose knowledge of the log is this old counts as failed."""
RETURN_AFTER_S = 60.0
"""How long a follower uses a source before it tries a preferred one."""


@dataclasses.dataclass(slots=True)
class _Candidate:
    failures: int = 0
    retry_at_s: float = 0.0


class SourceChoice:
    """Chooses among sources that are numbered in order of preference.

    :param count: how many sources there are, at least 1
    """

    def __init__(self, count: int) -> None:
        assert count >= 1, 'a follower needs a source'
        self._candidates = [_Candidate() for _ in range(count)]
        self._chosen: int | None = None
        self._chosen_at_s = 0.0

    def choose(self, now_s: float) -> int | None:
        """The number of the source to use; None while all are backed off."""
        for index, candidate in enumerate(self._candidates):
            if candidate.retry_at_s <= now_s:
                self._chosen = index
                self._chosen_at_s = now_s
                return index
        return None

    def next_retry_s(self) -> float:
        """The earliest time at which a source may be tried."""
        return min(candidate.retry_at_s for candidate in self._candidates)

    def record_failure(
        self, index: int, now_s: float, fraction: float
    ) -> None:
        """Back off from the source after a failure.

        :param fraction: random number from 0 to 1, for jitter
        """
        candidate = self._candidates[index]
        candidate.failures += 1
        candidate.retry_at_s = now_s + backoff.delay_s(
            RETRY, candidate.failures, fraction
        )

    def record_success(self, index: int) -> None:
        """Reset the back-off of a source that gave recent data."""
        self._candidates[index].failures = 0

    def has_alternative(self, index: int, now_s: float) -> bool:
        """Whether any source except *index* may be tried now."""
        return any(
            candidate.retry_at_s <= now_s
            for other, candidate in enumerate(self._candidates)
            if other != index
        )

    def should_return(self, now_s: float) -> bool:
        """Whether to switch from the chosen source to a preferred one."""
        return (
            self._chosen is not None
            and now_s - self._chosen_at_s >= RETURN_AFTER_S
            and any(
                candidate.retry_at_s <= now_s
                for candidate in self._candidates[: self._chosen]
            )
        )
