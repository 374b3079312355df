"""Decides which requests of a service begin while its endpoints are short.

A service is short for a request if its first token is expected after the
route's objective. Then a request begins at once only if no more urgent one of
the service was seen lately and its workspace doesn't use more than its share.
Otherwise it is held, for a part of its objective: the most urgent ones begin
first, and of these the one whose workspace was served least. A request that
can't be served before its deadline is refused.

A part of each kind of requests always begins, so that none is starved.
"""

import dataclasses
import enum
import typing

from guavachute.decide import decay
from guavachute.decide.requests import shares
from guavachute import ids
from guavachute import outcome

RECENT_S = 2.0
"""A more urgent request counts for so long after it was seen."""

HELD_SHARE = 0.5
"""Share of the objective for which a request is held."""

BEGUN_SHARE = 0.3
"""Share of the requests of a kind that begins in any case. No kind may be
served less than a quarter as often as all."""

OVER_SHARE = 1.5
"""A workspace uses more than its share if it was served this much more than
the mean of the workspaces that were served lately."""

USE_HALF_LIFE_S = 5.0
LEAST_USE = 0.05
"""A workspace counts as served lately while at least this part of the largest
use is left of its own."""

MAX_HELD = 64
"""Bound of the requests of one workspace, service and priority that are held;
each may hold a body of some megabytes, which the gate bounds in total."""

MAX_KINDS = 64
LEAST_RETRY_S = 0.25
SPREAD = 0.5
"""A refused caller returns up to this much later than capacity is expected,
so that those refused together don't return together."""


class Verdict(enum.Enum):
    """What becomes of a request now."""

    BEGIN = 'begin'
    HOLD = 'hold'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request, as far as its begin depends on it.

    :ivar request_id: unique at this node
    :ivar priority: 0 is the most urgent
    :ivar kind: the route
    :ivar expires_s: when its caller stops waiting
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceName
    priority: int
    kind: str
    tokens: float
    objective_s: float
    expires_s: float


def retry_after_s(
    first_token_s: float, objective_s: float, draw: float
) -> float:
    """When the objective can be met again, if no more requests begin.

    :param draw: at random from 0 to 1
    """
    wait_s = max(LEAST_RETRY_S, first_token_s - objective_s)
    return wait_s * (1 + SPREAD * draw)


class ServiceShortage:
    """The requests of one service that are held at one node."""

    def __init__(self) -> None:
        self._queues: dict[int, shares.FairQueue] = {}
        self._held: dict[ids.RequestId, Ask] = {}
        self._seen_s: dict[int, float] = {}
        self._credit: dict[str, float] = {}
        self._use: dict[ids.WorkspaceName, decay.DecayingSum] = {}

    def __len__(self) -> int:
        return len(self._held)

    def see(self, ask: Ask, now_s: float) -> None:
        """Record that a request has come, whatever becomes of it."""
        self._seen_s[ask.priority] = now_s

    def decide(self, ask: Ask, first_token_s: float, now_s: float) -> Verdict:
        """Decide on a request that is not held.

        :param first_token_s: expected time to first token if it begins now
        """
        if now_s + first_token_s > ask.expires_s:
            return Verdict.REFUSE
        if first_token_s <= ask.objective_s and not self._held:
            return Verdict.BEGIN
        if first_token_s > ask.objective_s:
            if not self.comes_after_others(ask, now_s):
                return Verdict.BEGIN
            if self._takes_credit(ask.kind):
                return Verdict.BEGIN
        elif not any(
            other.priority <= ask.priority for other in self._held.values()
        ) or self._takes_credit(ask.kind):
            return Verdict.BEGIN
        return Verdict.HOLD

    def comes_after_others(self, ask: Ask, now_s: float) -> bool:
        """Whether requests that are seen now begin before *ask*."""
        return self._is_urgent_recent(
            ask.priority, now_s
        ) or self._is_over_share(ask.workspace, now_s)

    def hold(self, ask: Ask, now_s: float) -> bool:
        """Hold a request; False if there is no room for it."""
        queue = self._queues.get(ask.priority)
        if queue is None:
            queue = self._queues[ask.priority] = shares.FairQueue({}, MAX_HELD)
        queue.set_shares(
            {name: 1.0 for name in {ask.workspace, *self._use.keys()}}
        )
        queued = queue.offer(
            shares.Request(
                ask.request_id,
                ask.workspace,
                max(1.0, ask.tokens),
                now_s + HELD_SHARE * ask.objective_s,
            ),
            now_s,
        )
        if isinstance(queued, outcome.Failure):
            return False
        self._held[ask.request_id] = ask
        return True

    def next(self, now_s: float) -> Ask | None:
        """Release the held request that begins next, if any."""
        for priority in sorted(self._queues):
            for request in self._queues[priority].start_next(1):
                self._queues[priority].finish(request.workspace)
                return self._held.pop(request.request_id)
        return None

    def first(self) -> Ask | None:
        """One of the most urgent requests that are held."""
        return min(
            self._held.values(), key=lambda ask: ask.priority, default=None
        )

    def expire(self, now_s: float) -> list[Ask]:
        """Release the requests that were held for too long."""
        return [
            self._held.pop(request.request_id)
            for queue in self._queues.values()
            for request in queue.expire(now_s)
        ]

    def cancel(self, request_id: ids.RequestId) -> None:
        """Release a request whose caller has left; harmless if not held."""
        ask = self._held.pop(request_id, None)
        if ask is not None:
            self._queues[ask.priority].cancel(request_id)

    def record_begun(
        self, workspace: ids.WorkspaceName, tokens: float, now_s: float
    ) -> None:
        """Record what a workspace was served, here or elsewhere."""
        use = self._use.get(workspace)
        if use is None:
            self._use = {
                name: other
                for name, other in self._use.items()
                if other.value(now_s) >= 1.0
            }
            use = decay.DecayingSum(USE_HALF_LIFE_S, now_s)
            self._use[workspace] = use
        use.add(tokens, now_s)

    def charge_elsewhere(
        self, served: typing.Mapping[ids.WorkspaceName, float], now_s: float
    ) -> None:
        """Record what other nodes have served since their last reports."""
        for workspace, tokens in served.items():
            self.record_begun(workspace, tokens, now_s)
            for queue in self._queues.values():
                queue.charge_elsewhere(workspace, tokens)

    def _is_urgent_recent(self, priority: int, now_s: float) -> bool:
        return any(
            other < priority and now_s - seen_s <= RECENT_S
            for other, seen_s in self._seen_s.items()
        )

    def _is_over_share(
        self, workspace: ids.WorkspaceName, now_s: float
    ) -> bool:
        values = {name: use.value(now_s) for name, use in self._use.items()}
        least = LEAST_USE * max(values.values(), default=0.0)
        active = [value for value in values.values() if value >= least]
        if len(active) < 2:
            return False
        mean = sum(active) / len(active)
        return values.get(workspace, 0.0) > OVER_SHARE * mean

    def _takes_credit(self, kind: str) -> bool:
        """Whether a request of *kind* begins although it would be held."""
        credit = self._credit.get(kind, 0.0) + BEGUN_SHARE
        begins = credit >= 1.0
        if kind not in self._credit and len(self._credit) >= MAX_KINDS:
            self._credit.clear()
        self._credit[kind] = credit - 1.0 if begins else credit
        return begins
