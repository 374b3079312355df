"""Decides what follows when an attempt at an endpoint has failed."""

import dataclasses
import enum

from guavachute import outcome

MAX_ATTEMPTS = 6


class Ending(enum.Enum):
    """How an attempt without a complete answer ended."""

    UNREACHED = 'unreached'
    """No byte of the request was sent, so it can't have run."""
    REFUSED = 'refused'
    """The endpoint reported that it did not run the request."""
    LOST = 'lost'
    """The connection failed, or the response was not a valid answer."""
    SILENT = 'silent'
    """Nothing was received for too long."""
    LEAVING = 'leaving'
    """The endpoint is about to leave; the answer is moved to another."""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry at another endpoint, starting at the next token."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Make no further attempt and report the failure to the caller.

    :ivar verdict: NOT_RUN only if no attempt can have run
    """

    verdict: outcome.Verdict
    failure: outcome.Failure


class History:
    """The attempts of one request.

    :ivar attempts: how many were started
    :ivar endpoints: the endpoint of each, in order
    :ivar may_have_run: whether the request may have run at one of them
    """

    __slots__ = ('attempts', 'endpoints', 'may_have_run')

    def __init__(self) -> None:
        self.attempts = 0
        self.endpoints: list[str] = []
        self.may_have_run = False

    def begin(self, endpoint: str) -> None:
        """Record the start of an attempt at *endpoint*."""
        self.attempts += 1
        self.endpoints.append(endpoint)

    def end(self, ending: Ending) -> None:
        """Record that the current attempt failed with *ending*."""
        if ending not in (Ending.UNREACHED, Ending.REFUSED):
            self.may_have_run = True

    def verdict(self) -> outcome.Verdict:
        """Return the verdict if no further attempt is made."""
        if self.may_have_run:
            return outcome.Verdict.UNKNOWN
        return outcome.Verdict.NOT_RUN


def next_step(
    history: History, ending: Ending, deadline_s: float, now_s: float
) -> Retry | GiveUp:
    """Decide whether to retry after *ending*.

    The caller has already recorded *ending* in *history*. Only the router
    retries, and it is safe to compute a model's answer again, so every
    ending allows another attempt until the deadline passes or
    :data:`MAX_ATTEMPTS` is reached.
    """
    if now_s >= deadline_s:
        return _give_up(
            history, outcome.Reason.DEADLINE, 'the deadline has passed'
        )
    if history.attempts >= MAX_ATTEMPTS:
        return _give_up(
            history,
            outcome.Reason.UNAVAILABLE,
            f'{history.attempts} attempts failed, the last: {ending.value}',
        )
    return Retry()


def _give_up(history: History, reason: outcome.Reason, detail: str) -> GiveUp:
    return GiveUp(
        history.verdict(), outcome.Failure(reason, detail, retry_after_s=1.0)
    )
