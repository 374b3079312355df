"""Fair queueing of requests between the workspaces of a pool, by tokens.

Each workspace has a virtual token counter: the tokens it was charged,
divided by its share. A free slot goes to the waiting workspace with the
lowest counter. No workspace waits behind another one's burst, and no slot
stays free while a request waits (the queue is work-conserving).

When an idle workspace becomes active, its counter is raised to the lowest
counter of the active workspaces, so idle time accumulates no credit.
Tokens that other routers served count as well, but only up to a bounded
debt: a workspace that used capacity which nobody else demanded must not be
blocked for long when other workspaces become active.
"""

import collections
import dataclasses
import heapq
import itertools

from guavachute import ids
from guavachute import outcome

PRIORITIES = 3
"""Number of priority classes in a workspace; 0 is served first."""

DEBT_LIMIT_TOKENS = 20_000.0
"""Bound on the debt from tokens that other routers served. A workspace's
counter is raised at most this, divided by its share, above the lowest
counter of the active workspaces."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as the queue sees it.

    :ivar expected_tokens: uncached prompt tokens plus expected generated
        tokens. They are charged when the request starts and corrected by
        :class:`account.Account`
    :ivar start_by_s: the latest useful start; after it the request expires
    :ivar priority: from 0, which is served first, to 2
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceName
    expected_tokens: float
    start_by_s: float
    priority: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request was queued.

    :ivar displaced: a request of the same workspace with a lower priority
        that was removed to free a place, or None. It was not run, and the
        queue's user must report that to its caller
    """

    displaced: Request | None = None


class _Workspace:
    """The queues, one for each priority, and the counter of a workspace."""

    __slots__ = ('counter', 'share', 'running', 'queues', 'queued_tokens')

    def __init__(self, share: float) -> None:
        self.counter = 0.0
        self.share = share
        self.running = 0
        self.queues: list[collections.OrderedDict[ids.RequestId, Request]] = [
            collections.OrderedDict() for _ in range(PRIORITIES)
        ]
        self.queued_tokens = 0.0

    def length(self) -> int:
        """The number of waiting requests."""
        return sum(len(queue) for queue in self.queues)

    def active(self) -> bool:
        """Whether any request of the workspace waits or runs."""
        return self.running > 0 or any(self.queues)

    def add(self, request: Request) -> None:
        """Append *request* to the queue of its priority."""
        self.queues[request.priority][request.request_id] = request
        self.queued_tokens += request.expected_tokens

    def remove(self, request: Request) -> None:
        """Remove *request*, which must be waiting."""
        del self.queues[request.priority][request.request_id]
        self.queued_tokens -= request.expected_tokens

    def first(self) -> Request | None:
        """Return the next request by priority, then by age, or None."""
        for queue in self.queues:
            if queue:
                return next(iter(queue.values()))
        return None

    def youngest_below(self, priority: int) -> Request | None:
        """Return the youngest request of the lowest waiting priority.

        Only priorities lower than *priority* are considered; returns None
        if no such request waits.
        """
        for queue in reversed(self.queues[priority + 1 :]):
            if queue:
                return next(reversed(queue.values()))
        return None


class FairQueue:
    """The queue of one pool in one router.

    :param shares: the weight of each workspace; requests of other
        workspaces are rejected
    :param limit: maximum number of waiting requests of each workspace
    """

    def __init__(
        self, shares: dict[ids.WorkspaceName, float], limit: int
    ) -> None:
        self._limit = limit
        self._workspaces: dict[ids.WorkspaceName, _Workspace] = {}
        self._waiting: dict[ids.RequestId, Request] = {}
        self._start_by: list[tuple[float, int, Request]] = []
        self._numbers = itertools.count()
        self._virtual_time = 0.0
        self.set_shares(shares)

    def set_shares(self, shares: dict[ids.WorkspaceName, float]) -> None:
        """Apply the shares of a new document.

        A workspace that is no longer in the document keeps its waiting
        requests.
        """
        for name, share in shares.items():
            if name in self._workspaces:
                self._workspaces[name].share = share
            else:
                self._workspaces[name] = _Workspace(share)
                self._workspaces[name].counter = self._virtual_time
        for name in set(self._workspaces) - set(shares):
            if not self._workspaces[name].active():
                del self._workspaces[name]

    def offer(
        self, request: Request, now_s: float
    ) -> Queued | outcome.Failure:
        """Queue *request* if its workspace has capacity for it.

        If the workspace's queue is full, a request of a lower priority is
        displaced. Returns a failure if there is none, if the workspace
        has no share, or if it is too late to start the request.
        """
        workspace = self._workspaces.get(request.workspace)
        if workspace is None:
            return outcome.Failure(
                outcome.Reason.UNAUTHENTICATED,
                f'workspace {request.workspace!r} has no share',
            )
        if request.start_by_s <= now_s:
            return outcome.Failure(
                outcome.Reason.DEADLINE, 'it is too late to start the request'
            )
        displaced = None
        if workspace.length() >= self._limit:
            displaced = workspace.youngest_below(request.priority)
            if displaced is None:
                return outcome.Failure(
                    outcome.Reason.OVERLOADED,
                    f'{self._limit} requests of workspace '
                    f'{request.workspace!r} are already waiting',
                )
            self._remove(displaced)
        if not workspace.active():
            self._raise_counter(workspace)
        workspace.add(request)
        self._waiting[request.request_id] = request
        entry = (request.start_by_s, next(self._numbers), request)
        heapq.heappush(self._start_by, entry)
        return Queued(displaced)

    def start_next(self, free_slots: int) -> list[Request]:
        """Remove and return the requests that start now.

        At most *free_slots* requests are started, and each is charged its
        expected tokens. Call :meth:`expire` first, so that no request
        starts too late.
        """
        started: list[Request] = []
        while len(started) < free_slots:
            request = self._pick()
            if request is None:
                break
            started.append(request)
        return started

    def charge(self, workspace: ids.WorkspaceName, tokens: float) -> None:
        """Charge *tokens* served by this router; negative to refund."""
        state = self._workspaces.get(workspace)
        if state is not None:
            state.counter += tokens / state.share

    def charge_elsewhere(
        self, workspace: ids.WorkspaceName, tokens: float
    ) -> None:
        """Charge *tokens* that other routers served.

        The debt is bounded by :data:`DEBT_LIMIT_TOKENS`.
        """
        state = self._workspaces.get(workspace)
        if state is None:
            return
        bound = self._lowest_active() + DEBT_LIMIT_TOKENS / state.share
        raised = min(state.counter + tokens / state.share, bound)
        state.counter = max(state.counter, raised)

    def finish(self, workspace: ids.WorkspaceName) -> None:
        """Record that a started request of *workspace* has ended."""
        state = self._workspaces.get(workspace)
        if state is not None:
            assert state.running > 0, f'{workspace}: more ends than starts'
            state.running -= 1

    def cancel(self, request_id: ids.RequestId) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        request = self._waiting.get(request_id)
        if request is None:
            return False
        self._remove(request)
        return True

    def expire(self, now_s: float) -> list[Request]:
        """Remove and return the requests that can't start in time any more.

        They were not run.
        """
        expired = []
        while self._start_by and self._start_by[0][0] <= now_s:
            request = heapq.heappop(self._start_by)[2]
            if self._waiting.get(request.request_id) is request:
                self._remove(request)
                expired.append(request)
        return expired

    def waiting(self, workspace: ids.WorkspaceName | None = None) -> int:
        """The number of waiting requests of *workspace*, or of all."""
        if workspace is None:
            return len(self._waiting)
        state = self._workspaces.get(workspace)
        return 0 if state is None else state.length()

    def running(self, workspace: ids.WorkspaceName) -> int:
        """The number of requests of *workspace* that run."""
        state = self._workspaces.get(workspace)
        return 0 if state is None else state.running

    def queued_tokens(
        self, workspace: ids.WorkspaceName | None = None
    ) -> float:
        """Expected tokens of the requests that wait.

        :param workspace: whose requests to count; None for all
        """
        if workspace is None:
            return sum(
                state.queued_tokens for state in self._workspaces.values()
            )
        state = self._workspaces.get(workspace)
        return 0.0 if state is None else state.queued_tokens

    def fraction(self, workspace: ids.WorkspaceName) -> float:
        """Return the fraction of the pool that *workspace* is due.

        It is its share divided by the sum of its own share and those of
        the other active workspaces.
        """
        own = self._workspaces[workspace]
        total = own.share + sum(
            state.share
            for state in self._workspaces.values()
            if state is not own and state.active()
        )
        return own.share / total

    def over_share(self, workspace: ids.WorkspaceName) -> bool:
        """Whether *workspace* runs more than its share while others wait."""
        own = self._workspaces[workspace]
        others_wait = any(
            state is not own and any(state.queues)
            for state in self._workspaces.values()
        )
        running = sum(state.running for state in self._workspaces.values())
        return others_wait and own.running > running * self.fraction(workspace)

    def _pick(self) -> Request | None:
        best: _Workspace | None = None
        for state in self._workspaces.values():
            if any(state.queues) and (
                best is None or state.counter < best.counter
            ):
                best = state
        request = None if best is None else best.first()
        if best is None or request is None:
            return None
        self._virtual_time = max(self._virtual_time, best.counter)
        self._remove(request)
        best.running += 1
        best.counter += request.expected_tokens / best.share
        return request

    def _remove(self, request: Request) -> None:
        del self._waiting[request.request_id]
        self._workspaces[request.workspace].remove(request)
        if len(self._start_by) > 2 * len(self._waiting) + 64:
            # Entries of requests that were removed before they expired
            # stay in the heap, so it is rebuilt from time to time.
            self._start_by = [
                entry
                for entry in self._start_by
                if self._waiting.get(entry[2].request_id) is entry[2]
            ]
            heapq.heapify(self._start_by)

    def _raise_counter(self, workspace: _Workspace) -> None:
        lowest = self._lowest_active()
        workspace.counter = max(workspace.counter, lowest)

    def _lowest_active(self) -> float:
        counters = [
            state.counter
            for state in self._workspaces.values()
            if state.active()
        ]
        return min(counters, default=self._virtual_time)
