"""Which source a follower of the control stream reads from.

The sources stand in the order of preference. One that failed, went
quiet or is itself cut off from the log is left alone for a while, and
the next one is taken; after a while the follower returns to a better
one.
"""

import dataclasses

from guavachute.decide import backoff

RETRY = backoff.Policy(initial_s=0.2, maximum_s=15.0)
STALE_AFTER_S = 12.0
"""A source that has not heard the log for so long counts as failed."""
RETURN_AFTER_S = 60.0
"""How long a follower stays with a source before it tries a better."""


@dataclasses.dataclass(slots=True)
class _Candidate:
    failures: int = 0
    retry_at_s: float = 0.0


class SourceChoice:
    """The state of each source, by its place in the order.

    :param count: how many sources there are, at least 1
    """

    def __init__(self, count: int) -> None:
        assert count >= 1, 'a follower needs a source'
        self._candidates = [_Candidate() for _ in range(count)]
        self._chosen: int | None = None
        self._chosen_at_s = 0.0

    def choose(self, now_s: float) -> int | None:
        """The source to use, or None while all are left alone."""
        for index, candidate in enumerate(self._candidates):
            if candidate.retry_at_s <= now_s:
                self._chosen = index
                self._chosen_at_s = now_s
                return index
        return None

    def next_retry_s(self) -> float:
        """When the first source may be tried again."""
        return min(candidate.retry_at_s for candidate in self._candidates)

    def failed(self, index: int, now_s: float, fraction: float) -> None:
        """Leave a source alone; *fraction* is random, from 0 to 1."""
        candidate = self._candidates[index]
        candidate.failures += 1
        candidate.retry_at_s = now_s + backoff.delay_s(
            RETRY, candidate.failures, fraction
        )

    def worked(self, index: int) -> None:
        """A source gave something fresh."""
        self._candidates[index].failures = 0

    def has_other(self, index: int, now_s: float) -> bool:
        """Whether a source beside *index* may be tried now."""
        return any(
            candidate.retry_at_s <= now_s
            for place, candidate in enumerate(self._candidates)
            if place != index
        )

    def should_return(self, now_s: float) -> bool:
        """Whether to leave the chosen source for a better one."""
        return (
            self._chosen is not None
            and now_s - self._chosen_at_s >= RETURN_AFTER_S
            and any(
                candidate.retry_at_s <= now_s
                for candidate in self._candidates[: self._chosen]
            )
        )
