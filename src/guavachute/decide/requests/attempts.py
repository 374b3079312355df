"""What follows when an attempt at an endpoint has ended badly."""

import dataclasses
import enum

from guavachute import outcome

MAX_ATTEMPTS = 6


class Ending(enum.Enum):
    """How an attempt ended that brought no whole answer."""

    UNREACHED = 'unreached'
    """No byte of the request left: it can't have run."""
    REFUSED = 'refused'
    """The endpoint says that it did not run it."""
    LOST = 'lost'
    """The connection broke, or what came was no answer."""
    SILENT = 'silent'
    """Nothing came for too long."""
    LEAVING = 'leaving'
    """The endpoint is about to go; the answer moves on purpose."""


@dataclasses.dataclass(frozen=True, slots=True)
class Again:
    """Try at another endpoint, from the next token on."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Tell the caller now.

    :ivar verdict: NOT_RUN only where no attempt can have run
    """

    verdict: outcome.Verdict
    failure: outcome.Failure


class History:
    """The attempts of one request."""

    __slots__ = ('attempts', 'endpoints', 'may_have_run')

    def __init__(self) -> None:
        self.attempts = 0
        self.endpoints: list[str] = []
        self.may_have_run = False

    def begin(self, endpoint: str) -> None:
        """Another attempt starts at *endpoint*."""
        self.attempts += 1
        self.endpoints.append(endpoint)

    def end(self, ending: Ending) -> None:
        """The present attempt ended badly."""
        if ending not in (Ending.UNREACHED, Ending.REFUSED):
            self.may_have_run = True

    def verdict(self) -> outcome.Verdict:
        """What is true of the request if it is given up now."""
        if self.may_have_run:
            return outcome.Verdict.UNKNOWN
        return outcome.Verdict.NOT_RUN


def next_step(
    history: History, ending: Ending, deadline_s: float, now_s: float
) -> Again | GiveUp:
    """Whether to try again after *ending*, which *history* has counted.

    Only the router retries, and a model's answer may be computed again,
    so that each ending but a passed deadline allows another attempt.
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
    return Again()


def _give_up(history: History, reason: outcome.Reason, detail: str) -> GiveUp:
    return GiveUp(
        history.verdict(), outcome.Failure(reason, detail, retry_after_s=1.0)
    )
