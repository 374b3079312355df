"""Retry budgets, and whether a request may be retried.

Only the router retries. Each first attempt adds a fraction of a retry to
the budget of its workspace and to a global budget; each retry consumes one
from both. When many attempts fail at once the budgets are soon used up,
which bounds the load on the endpoints that still work.

Streams that are interrupted because their endpoint left are resumed
outside the budgets: they were accepted, the platform reclaimed the VM, and
:mod:`guavachute.decide.fleet.reclaim` paces them.
"""

import enum

from guavachute import ids
from guavachute import outcome

RATIO = 0.1
"""Retries that each first attempt adds to a budget."""

RESERVE = 10.0
"""The initial and maximum level of a workspace's budget, so that a
workspace with few requests can retry as well."""

MAXIMUM_ATTEMPTS = 4
"""Maximum attempts of one request, except for resumed streams."""

BACKOFF_FIRST_S = 0.05
BACKOFF_LONGEST_S = 2.0
SHORTEST_ATTEMPT_S = 0.05
"""A retry with less time than this before its deadline is not sent, as it
could not finish."""


class Cause(enum.Enum):
    """Why an attempt ended without a complete answer."""

    REFUSED = 'refused'
    """The endpoint answered "not run"; any request may be retried."""

    FAILED = 'failed'
    """It failed and may have run; only an idempotent request is retried."""

    SILENT = 'silent'
    """The stream made no progress and its connection is dead."""

    ENDPOINT_LOST = 'endpoint-lost'
    """The VM was reclaimed or its process died."""


_OUTSIDE_BUDGET = frozenset({Cause.ENDPOINT_LOST, Cause.SILENT})


class _Budget:
    __slots__ = ('level',)

    def __init__(self) -> None:
        self.level = RESERVE

    def deposit(self) -> None:
        self.level = min(RESERVE, self.level + RATIO)


class Budgets:
    """The retry budgets of one router: one per workspace and a global one.

    The global budget holds at most the sum of the workspaces' maximum
    levels times :attr:`GLOBAL_FRACTION`, but at least :data:`RESERVE`.
    """

    GLOBAL_FRACTION = 0.5

    def __init__(self) -> None:
        self._workspaces: dict[ids.WorkspaceName, _Budget] = {}
        self._global_level = RESERVE

    def record_first_attempt(self, workspace: ids.WorkspaceName) -> None:
        """Record the first attempt of a request of *workspace*."""
        self._budget(workspace).deposit()
        most = max(
            RESERVE, self.GLOBAL_FRACTION * RESERVE * len(self._workspaces)
        )
        self._global_level = min(most, self._global_level + RATIO)

    def consume(self, workspace: ids.WorkspaceName) -> bool:
        """Consume one retry; return False if either budget is used up."""
        budget = self._budget(workspace)
        if budget.level < 1.0 or self._global_level < 1.0:
            return False
        budget.level -= 1.0
        self._global_level -= 1.0
        return True

    def level(self, workspace: ids.WorkspaceName) -> float:
        """Return how many retries *workspace* has left in this router."""
        return min(self._budget(workspace).level, self._global_level)

    def _budget(self, workspace: ids.WorkspaceName) -> _Budget:
        budget = self._workspaces.get(workspace)
        if budget is None:
            budget = _Budget()
            self._workspaces[workspace] = budget
        return budget


def decide(
    cause: Cause,
    idempotent: bool,
    attempts: int,
    workspace: ids.WorkspaceName,
    budgets: Budgets,
    deadline_s: float | None,
    now_s: float,
) -> float | outcome.Failure:
    """Return the time at which to retry, or the reason not to retry.

    A returned time means that a retry was consumed from the budgets,
    unless the cause is outside of them.

    :param attempts: how many attempts were sent so far
    :param deadline_s: the caller's deadline, which is the same for each
        attempt, or None
    """
    if cause is not Cause.REFUSED and not idempotent:
        return outcome.Failure(
            outcome.Reason.LOST_ANSWER,
            'the request may have run and must not run twice',
        )
    send_at_s = now_s
    if cause not in _OUTSIDE_BUDGET:
        send_at_s += backoff_s(attempts)
    if deadline_s is not None and deadline_s - send_at_s < SHORTEST_ATTEMPT_S:
        return outcome.Failure(
            outcome.Reason.DEADLINE, 'no time is left for another attempt'
        )
    if cause in _OUTSIDE_BUDGET:
        return send_at_s
    if attempts >= MAXIMUM_ATTEMPTS:
        return outcome.Failure(
            outcome.Reason.RETRIES_SPENT, f'{attempts} attempts failed'
        )
    if not budgets.consume(workspace):
        return outcome.Failure(
            outcome.Reason.RETRIES_SPENT,
            'the retry budget is spent',
            BACKOFF_LONGEST_S,
        )
    return send_at_s


def backoff_s(attempts: int) -> float:
    """Return the pause in seconds after *attempts* attempts, from 1 on."""
    pause_s = BACKOFF_FIRST_S * 2 ** (attempts - 1)
    return min(BACKOFF_LONGEST_S, pause_s)
