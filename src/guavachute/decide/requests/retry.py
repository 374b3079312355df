"""Whether a request may be sent to an endpoint once more.

Only the router retries. Each first attempt pays a fraction of a retry
into a budget of its workspace and one of all; a retry takes a whole one
from both. When many attempts fail at once the budgets are soon empty
and the load on what still works stays bounded. Streams cut because
their endpoint left are resumed outside the budgets: they were accepted,
the platform took the VM, and :mod:`guavachute.decide.fleet.reclaim`
paces them.
"""

import enum

from guavachute import ids
from guavachute import outcome

RATIO = 0.1
"""Retries for each first attempt, in the long run."""

RESERVE = 10.0
"""What a budget holds at the start and at most, so that a workspace with
few requests can retry as well."""

MAXIMUM_ATTEMPTS = 4
"""Attempts of one request within the budgets."""

BACKOFF_FIRST_S = 0.05
BACKOFF_LONGEST_S = 2.0
SHORTEST_ATTEMPT_S = 0.05
"""With less time left than this a retry would only be wasted work."""


class Cause(enum.Enum):
    """Why an attempt ended without a whole answer."""

    REFUSED = 'refused'
    """The endpoint said "not run"; anything may be sent elsewhere."""

    FAILED = 'failed'
    """It failed after it may have run; only idempotent ones may go on."""

    SILENT = 'silent'
    """No progress and the connection is dead."""

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
    """The retry budgets of one router.

    The one of all is as large as that of a workspace for each workspace
    that was seen, times :attr:`ALL_FRACTION`.
    """

    ALL_FRACTION = 0.5

    def __init__(self) -> None:
        self._workspaces: dict[ids.WorkspaceName, _Budget] = {}
        self._all = RESERVE

    def first_attempt(self, workspace: ids.WorkspaceName) -> None:
        """A request was sent to an endpoint for the first time."""
        self._budget(workspace).deposit()
        most = max(
            RESERVE, self.ALL_FRACTION * RESERVE * len(self._workspaces)
        )
        self._all = min(most, self._all + RATIO)

    def take(self, workspace: ids.WorkspaceName) -> bool:
        """Pay for a retry; False when a budget is spent."""
        budget = self._budget(workspace)
        if budget.level < 1.0 or self._all < 1.0:
            return False
        budget.level -= 1.0
        self._all -= 1.0
        return True

    def level(self, workspace: ids.WorkspaceName) -> float:
        """Retries that *workspace* has left here."""
        return min(self._budget(workspace).level, self._all)

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
    """When to send the request again, as a time; or why not to.

    :param attempts: sent so far
    :param deadline_s: the caller's; it travels with each attempt
    """
    if cause is not Cause.REFUSED and not idempotent:
        return outcome.Failure(
            outcome.Reason.LOST_ANSWER,
            'it may have run and must not run twice',
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
    if not budgets.take(workspace):
        return outcome.Failure(
            outcome.Reason.RETRIES_SPENT,
            'the retry budget is spent',
            BACKOFF_LONGEST_S,
        )
    return send_at_s


def backoff_s(attempts: int) -> float:
    """The pause before the next attempt after *attempts*."""
    pause_s = BACKOFF_FIRST_S * 2 ** (attempts - 1)
    return min(BACKOFF_LONGEST_S, pause_s)
