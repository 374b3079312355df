"""Fair sharing of a pool between workspaces, by tokens.

Each workspace has a virtual token counter: the tokens it was charged
divided by its share. A free slot goes to the waiting workspace with the
lowest counter, so that nobody waits behind another workspace's burst
and no slot stays free while anyone waits (work conserving).

A workspace that comes back from idleness is lifted to the lowest
counter among the active ones: time spent idle saves up no credit.
Tokens that other routers served count as well, but at most up to a
bounded debt, for a workspace that used what nobody else wanted must not
be kept out for long once others come.
"""

import collections
import dataclasses
import heapq
import itertools

from guavachute import ids
from guavachute import outcome

PRIORITIES = 3
"""Priority classes inside a workspace; 0 is served first."""

DEBT_LIMIT_TOKENS = 20_000.0
"""What tokens served elsewhere may hold a workspace back, per share."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What the queue needs to know of a request.

    :ivar expected_tokens: uncached prompt plus expected generated tokens,
        charged when it starts and corrected by
        :class:`account.Account`
    :ivar start_by_s: when starting it stops being of use
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceName
    expected_tokens: float
    start_by_s: float
    priority: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits.

    :ivar displaced: a request of the same workspace with a lower
        priority that had to leave for it; it was not run and its caller
        gets that answer at once
    """

    displaced: Request | None = None


class _Workspace:
    """The queues and the counter of one workspace."""

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
        """How many of its requests wait."""
        return sum(len(queue) for queue in self.queues)

    def active(self) -> bool:
        """Whether anything of it waits or runs."""
        return self.running > 0 or any(self.queues)

    def add(self, request: Request) -> None:
        """Put *request* behind those of its priority."""
        self.queues[request.priority][request.request_id] = request
        self.queued_tokens += request.expected_tokens

    def remove(self, request: Request) -> None:
        """Take *request*, which waits, out."""
        del self.queues[request.priority][request.request_id]
        self.queued_tokens -= request.expected_tokens

    def first(self) -> Request | None:
        """Who is next, by priority and then by age."""
        for queue in self.queues:
            if queue:
                return next(iter(queue.values()))
        return None

    def last_below(self, priority: int) -> Request | None:
        """The youngest of the lowest priority after *priority*."""
        for queue in reversed(self.queues[priority + 1 :]):
            if queue:
                return next(reversed(queue.values()))
        return None


class FairQueue:
    """The requests that wait for one pool in one router.

    :param shares: weight of each workspace; unknown ones are refused
    :param limit: most requests of one workspace that may wait
    """

    def __init__(
        self, shares: dict[ids.WorkspaceName, float], limit: int
    ) -> None:
        self._limit = limit
        self._workspaces: dict[ids.WorkspaceName, _Workspace] = {}
        self._waiting: dict[ids.RequestId, Request] = {}
        self._start_by: list[tuple[float, int, Request]] = []
        self._numbers = itertools.count()
        self._floor = 0.0
        self.set_shares(shares)

    def set_shares(self, shares: dict[ids.WorkspaceName, float]) -> None:
        """Take over the shares of a new document.

        A workspace that is no longer named keeps what it has waiting.
        """
        for name, share in shares.items():
            if name in self._workspaces:
                self._workspaces[name].share = share
            else:
                self._workspaces[name] = _Workspace(share)
                self._workspaces[name].counter = self._floor
        for name in set(self._workspaces) - set(shares):
            if not self._workspaces[name].active():
                del self._workspaces[name]

    def offer(
        self, request: Request, now_s: float
    ) -> Queued | outcome.Failure:
        """Let *request* wait, if its workspace has room for it."""
        workspace = self._workspaces.get(request.workspace)
        if workspace is None:
            return outcome.Failure(
                outcome.Reason.UNAUTHENTICATED,
                f'workspace {request.workspace!r} has no share',
            )
        if request.start_by_s <= now_s:
            return outcome.Failure(
                outcome.Reason.DEADLINE, 'too late to start'
            )
        displaced = None
        if workspace.length() >= self._limit:
            displaced = workspace.last_below(request.priority)
            if displaced is None:
                return outcome.Failure(
                    outcome.Reason.OVERLOADED,
                    f'{self._limit} requests of workspace '
                    f'{request.workspace!r} wait already',
                )
            self._remove(displaced)
        if not workspace.active():
            self._lift(workspace)
        workspace.add(request)
        self._waiting[request.request_id] = request
        entry = (request.start_by_s, next(self._numbers), request)
        heapq.heappush(self._start_by, entry)
        return Queued(displaced)

    def next(self, free_slots: int) -> list[Request]:
        """Who starts now; at most *free_slots*, each charged.

        Call :meth:`expire` first, so that nobody starts too late.
        """
        started: list[Request] = []
        while len(started) < free_slots:
            request = self._pick()
            if request is None:
                break
            started.append(request)
        return started

    def charge(self, workspace: ids.WorkspaceName, tokens: float) -> None:
        """Count *tokens* served here; negative to give some back."""
        state = self._workspaces.get(workspace)
        if state is not None:
            state.counter += tokens / state.share

    def charge_elsewhere(
        self, workspace: ids.WorkspaceName, tokens: float
    ) -> None:
        """Count *tokens* that other routers served, within the debt."""
        state = self._workspaces.get(workspace)
        if state is None:
            return
        bound = self._lowest_active() + DEBT_LIMIT_TOKENS / state.share
        raised = min(state.counter + tokens / state.share, bound)
        state.counter = max(state.counter, raised)

    def finish(self, workspace: ids.WorkspaceName) -> None:
        """A started request has ended, however it did."""
        state = self._workspaces.get(workspace)
        if state is not None:
            assert state.running > 0, f'{workspace}: more ends than starts'
            state.running -= 1

    def cancel(self, request_id: ids.RequestId) -> bool:
        """Take a request out whose caller went away; False if gone."""
        request = self._waiting.get(request_id)
        if request is None:
            return False
        self._remove(request)
        return True

    def expire(self, now_s: float) -> list[Request]:
        """Take out what can no longer start in time; it was not run."""
        expired = []
        while self._start_by and self._start_by[0][0] <= now_s:
            request = heapq.heappop(self._start_by)[2]
            if self._waiting.get(request.request_id) is request:
                self._remove(request)
                expired.append(request)
        return expired

    def waiting(self, workspace: ids.WorkspaceName | None = None) -> int:
        """How many wait, of one workspace or in all."""
        if workspace is None:
            return len(self._waiting)
        state = self._workspaces.get(workspace)
        return 0 if state is None else state.length()

    def running(self, workspace: ids.WorkspaceName) -> int:
        """How many of *workspace* were started and have not ended."""
        state = self._workspaces.get(workspace)
        return 0 if state is None else state.running

    def queued_tokens(
        self, workspace: ids.WorkspaceName | None = None
    ) -> float:
        """Expected tokens of what waits, of one workspace or in all."""
        if workspace is None:
            return sum(
                state.queued_tokens for state in self._workspaces.values()
            )
        state = self._workspaces.get(workspace)
        return 0.0 if state is None else state.queued_tokens

    def fraction(self, workspace: ids.WorkspaceName) -> float:
        """What *workspace* is due of the pool beside the active ones."""
        own = self._workspaces[workspace]
        total = own.share + sum(
            state.share
            for state in self._workspaces.values()
            if state is not own and state.active()
        )
        return own.share / total

    def over_share(self, workspace: ids.WorkspaceName) -> bool:
        """Whether it runs more than it is due while others wait."""
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
        self._floor = max(self._floor, best.counter)
        self._remove(request)
        best.running += 1
        best.counter += request.expected_tokens / best.share
        return request

    def _remove(self, request: Request) -> None:
        del self._waiting[request.request_id]
        self._workspaces[request.workspace].remove(request)
        if len(self._start_by) > 2 * len(self._waiting) + 64:
            # Requests that started early leave entries behind.
            self._start_by = [
                entry
                for entry in self._start_by
                if self._waiting.get(entry[2].request_id) is entry[2]
            ]
            heapq.heapify(self._start_by)

    def _lift(self, workspace: _Workspace) -> None:
        lowest = self._lowest_active()
        workspace.counter = max(workspace.counter, lowest)

    def _lowest_active(self) -> float:
        counters = [
            state.counter
            for state in self._workspaces.values()
            if state.active()
        ]
        return min(counters, default=self._floor)
