"""Admits requests: limits, admission, and the fair queue of each pool.

Owned by the relay task. Each stream is either rejected at once, or queued
until :meth:`Gate.start_next` or :meth:`Gate.expire` returns it.
"""

import itertools

from guavachute.decide import crash
from guavachute.decide.requests import account
from guavachute.decide.requests import admission
from guavachute.decide.requests import demand_shares
from guavachute.decide.requests import limits
from guavachute.decide.requests import prefix
from guavachute.decide.requests import shares
from guavachute.document import schema
from guavachute import ids
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import endpoints
from guavachute.services.relay import work as relay_work
from guavachute.wire import requests

QUEUE_LIMIT = 200
"""Limit of the requests that wait, per workspace, pool and router."""

TICK_S = 1.0
INITIAL_EXPECTED_GENERATED_TOKENS = 100.0
INITIAL_EXPECTED_START_S = 0.05
SMOOTHING = 0.1

_log = logs.logger('gate')


class _Pool:
    """The queue of one pool and the state that admission uses.

    :ivar start_s: smoothed time from the start of an attempt to its
        first token
    :ivar had_waiting: whether requests waited since the last tick
    :ivar has_drain_rate: whether the drain rate was initialized from the
        document
    """

    def __init__(
        self, workspace_shares: dict[ids.WorkspaceName, float], now_s: float
    ) -> None:
        self.queue = shares.FairQueue(workspace_shares, QUEUE_LIMIT)
        self.drain_rate = admission.DrainRate(1.0, now_s)
        self.brown_out = admission.BrownOutState(now_s)
        self.first_token_target_s = 1.0
        self.start_s = INITIAL_EXPECTED_START_S
        self.had_waiting = False
        self.has_drain_rate = False


class Gate:
    """The queues and limits of one router.

    :param router_endpoints: the router's endpoints, with their free slots
    """

    def __init__(
        self, router_endpoints: endpoints.Endpoints, count: counters.Counters
    ) -> None:
        self._endpoints = router_endpoints
        self._count = count
        self._pools: dict[str, _Pool] = {}
        self._limits: dict[ids.WorkspaceName, limits.WorkspaceLimits] = {}
        self._demand_shares = demand_shares.DemandShares()
        self._document: schema.Document | None = None
        self._live_routers = 1
        self._streams: dict[ids.RequestId, relay_call.Stream] = {}
        self._expected_tokens: dict[ids.WorkspaceName, float] = {}
        self._numbers = itertools.count()
        self._next_tick_s = 0.0

    def update(
        self, document: schema.Document, live_routers: int, now_s: float
    ) -> None:
        """Apply a document and the number of live routers in the tables."""
        self._document = document
        self._live_routers = max(1, live_routers)
        weights = {
            ids.WorkspaceName(name): workspace.share
            for name, workspace in document.workspaces.items()
        }
        for model in document.models.values():
            pool = self._pools.get(model.pool)
            if pool is None:
                pool = self._pools[model.pool] = _Pool(weights, now_s)
            pool.queue.set_shares(weights)
            self._initialize_drain_rate(model.pool, pool, now_s)
            pool.first_token_target_s = model.first_token_target_s
        self._set_limits(now_s)

    def enqueue(
        self, stream: relay_call.Stream, now_s: float
    ) -> outcome.Failure | None:
        """Queue *stream*, or return why it is rejected.

        For an answer that another router began, only the limits and the
        queue limit of the workspace are checked, not admission.
        """
        call = stream.call
        pool = self._pools.get(call.pool)
        if pool is None:
            return outcome.Failure(
                outcome.Reason.NO_CAPACITY, f'pool {call.pool} is not known'
            )
        work = self._create_work(stream, pool, now_s)
        if call.resume_from == 0:
            admitted = self._decide_admission(stream, work, pool, now_s)
            if isinstance(admitted, outcome.Failure):
                return admitted
            work.request = _with_start_by(work.request, admitted.start_by_s)
        limit = self._limits.get(call.workspace)
        refused = None if limit is None else limit.admit(now_s)
        if refused is not None:
            return refused
        queued = pool.queue.offer(work.request, now_s)
        if isinstance(queued, outcome.Failure):
            if limit is not None:
                limit.release()
            return queued
        stream.work = work
        self._streams[work.request.request_id] = stream
        return None

    @property
    def has_waiting(self) -> bool:
        """Whether any stream waits in a queue."""
        return any(pool.queue.waiting() for pool in self._pools.values())

    def expire(
        self, now_s: float
    ) -> list[tuple[relay_call.Stream, outcome.Failure]]:
        """Remove the streams that can't start in time from the queues.

        :returns: each with the failure to report to its caller; call
            :meth:`remove` for it afterwards
        """
        expired = []
        for pool in self._pools.values():
            wait_s = pool.queue.queued_tokens() / pool.drain_rate.tokens_per_s
            for request in pool.queue.expire(now_s):
                failure = outcome.Failure(
                    outcome.Reason.OVERLOADED,
                    'the request could not start in time',
                    admission.retry_after_s(wait_s),
                )
                expired.append((self._streams[request.request_id], failure))
        return expired

    def start_next(self, now_s: float) -> list[relay_call.Stream]:
        """The streams that start now, which count as running from here on."""
        started = []
        for name, pool in self._pools.items():
            if not pool.queue.waiting():
                continue
            for request in pool.queue.start_next(
                self._free_slots(name, pool, now_s)
            ):
                stream = self._streams[request.request_id]
                assert stream.work is not None
                stream.work.running = True
                pool.drain_rate.record_start(request.expected_tokens)
                self._charge_limit(stream, request.expected_tokens, now_s)
                started.append(stream)
            pool.had_waiting = pool.had_waiting or pool.queue.waiting() > 0
        return started

    def charge_generated(
        self, stream: relay_call.Stream, now_s: float
    ) -> None:
        """Charge the tokens generated for *stream* since the last call."""
        work = stream.work
        if work is None:
            return
        total = stream.answer.next_index
        new_charge = work.account.charge_generated(total - work.charged_index)
        work.charged_index = total
        if new_charge:
            call = stream.call
            self._pools[call.pool].queue.charge(call.workspace, new_charge)
            self._charge_limit(stream, new_charge, now_s)

    def record_first_token(
        self, stream: relay_call.Stream, start_s: float
    ) -> None:
        """Record that an attempt had its first token after *start_s*."""
        pool = self._pools[stream.call.pool]
        pool.start_s += SMOOTHING * (start_s - pool.start_s)

    def remove(self, stream: relay_call.Stream, now_s: float) -> None:
        """Remove *stream*, which has ended, and charge its actual cost.

        Has no effect if the stream was already removed.
        """
        work = stream.work
        if work is None:
            return
        self.charge_generated(stream, now_s)
        stream.work = None
        call = stream.call
        queue = self._pools[call.pool].queue
        del self._streams[work.request.request_id]
        limit = self._limits.get(call.workspace)
        if limit is not None:
            limit.release()
        if not work.running:
            queue.cancel(work.request.request_id)
            return
        queue.finish(call.workspace)
        usage = stream.usage
        if usage.prompt_tokens:
            uncached = usage.prompt_tokens - usage.cached_tokens
            self._update_expected_tokens(
                call.workspace, usage.completion_tokens
            )
            correction = work.account.settle(uncached - work.prompt_tokens)
        else:
            correction = work.account.settle()
        queue.charge(call.workspace, correction)
        self._charge_limit(stream, correction, now_s)

    def record_demand_sum(
        self, message: requests.DemandSum, now_s: float
    ) -> None:
        """Record the demand of other routers and what they were served."""
        served = self._demand_shares.record_sum(message, now_s)
        for workspace, tokens in served.items():
            for pool in self._pools.values():
                pool.queue.charge_elsewhere(workspace, tokens)

    def demand(self) -> dict[str, float]:
        """Requests that run or wait in this router, by workspace."""
        total: dict[str, float] = {}
        for stream in self._streams.values():
            name = stream.call.workspace
            total[name] = total.get(name, 0.0) + 1
        return total

    def tick(self, now_s: float) -> bool:
        """Update drain rates, brown-out levels, limits and gauges.

        Acts once per :data:`TICK_S` and returns whether it did.
        """
        if now_s < self._next_tick_s:
            return False
        self._next_tick_s = now_s + TICK_S
        for name, pool in self._pools.items():
            self._tick_pool(name, pool, now_s)
        self._set_limits(now_s)
        return True

    def _create_work(
        self, stream: relay_call.Stream, pool: _Pool, now_s: float
    ) -> relay_work.Work:
        call = stream.call
        chain = prefix.block_chain(call.model, call.prompt)
        held = self._endpoints.held_blocks(chain)
        uncached = relay_work.estimate_tokens(call.prompt)
        uncached -= relay_work.tokens_in_blocks(held)
        generated = self._expected_generated(stream)
        number = next(self._numbers)
        resumed = call.resume_from > 0
        request = shares.Request(
            ids.RequestId(f'{call.request_id}/{number}'),
            call.workspace,
            max(1.0, uncached) + generated,
            call.deadline_s if resumed else now_s,
            0 if resumed else call.priority,
        )
        return relay_work.Work(
            request,
            chain,
            crash.fingerprint(call.workspace, call.model, call.prompt),
            max(1.0, uncached),
            len(call.prompt),
            account.Account(generated),
            charged_index=stream.answer.next_index,
        )

    def _decide_admission(
        self,
        stream: relay_call.Stream,
        work: relay_work.Work,
        pool: _Pool,
        now_s: float,
    ) -> admission.Admit | outcome.Failure:
        call = stream.call
        arrival = admission.Arrival(
            call.priority,
            pool.start_s,
            pool.queue.over_share(call.workspace),
            pool.queue.queued_tokens(),
            pool.queue.queued_tokens(call.workspace),
            pool.queue.fraction(call.workspace),
            call.deadline_s,
        )
        level = pool.brown_out.level
        if not self._endpoints.names(call.pool):
            level = admission.BrownOut.CLOSED
        elif level is admission.BrownOut.CLOSED:
            level = admission.BrownOut.NONE
        return admission.decide(
            arrival, level, pool.drain_rate, pool.first_token_target_s, now_s
        )

    def _free_slots(self, name: str, pool: _Pool, now_s: float) -> int:
        free = self._endpoints.free_slots(name)
        live = self._live_router_count(now_s)
        if live == 1:
            return free
        document = self._document
        assert document is not None
        weights = {
            ids.WorkspaceName(each): workspace.share
            for each, workspace in document.workspaces.items()
        }
        demand = {
            each: float(pool.queue.waiting(each) + pool.queue.running(each))
            for each in weights
        }
        allowed = self._demand_shares.slots(
            demand,
            weights,
            self._endpoints.slots(name),
            live,
            now_s,
        )
        running = sum(pool.queue.running(each) for each in weights)
        return demand_shares.free_slots(
            sum(allowed.values()), running, free, 1 / live
        )

    def _live_router_count(self, now_s: float) -> int:
        """The number of routers, some of which aren't in the tables."""
        reporting = 1 + self._demand_shares.routers(now_s)
        return max(self._live_routers, reporting)

    def _charge_limit(
        self, stream: relay_call.Stream, tokens: float, now_s: float
    ) -> None:
        limit = self._limits.get(stream.call.workspace)
        if limit is not None:
            limit.charge(tokens, now_s)

    def _expected_generated(self, stream: relay_call.Stream) -> float:
        expected = self._expected_tokens.get(
            stream.call.workspace, INITIAL_EXPECTED_GENERATED_TOKENS
        )
        max_tokens = stream.call.body.get('max_tokens')
        return (
            min(expected, max_tokens)
            if isinstance(max_tokens, int)
            else expected
        )

    def _update_expected_tokens(
        self, workspace: ids.WorkspaceName, generated: int
    ) -> None:
        expected = self._expected_tokens.get(
            workspace, INITIAL_EXPECTED_GENERATED_TOKENS
        )
        expected += SMOOTHING * (generated - expected)
        self._expected_tokens[workspace] = expected

    def _set_limits(self, now_s: float) -> None:
        document = self._document
        if document is None:
            return
        demand = self.demand()
        live = self._live_router_count(now_s)
        for text, workspace in document.workspaces.items():
            name = ids.WorkspaceName(text)
            part = self._demand_shares.fraction(
                name, demand.get(name, 0.0), live, now_s
            )
            limit = self._limits.get(name)
            if limit is None:
                self._limits[name] = limits.WorkspaceLimits(
                    workspace.limits, part, now_s
                )
            else:
                limit.set_limits(workspace.limits, part, now_s)

    def _initialize_drain_rate(
        self, name: str, pool: _Pool, now_s: float
    ) -> None:
        """Start from the drain rate that the document states."""
        live = len(self._endpoints.names(name))
        if pool.has_drain_rate or not live or self._document is None:
            return
        rate = self._document.pools[name].tokens_per_s_per_endpoint
        pool.drain_rate = admission.DrainRate(rate * live, now_s)
        pool.has_drain_rate = True

    def _tick_pool(self, name: str, pool: _Pool, now_s: float) -> None:
        live = len(self._endpoints.names(name))
        pool.drain_rate.update(pool.had_waiting, now_s)
        pool.had_waiting = pool.queue.waiting() > 0
        level = pool.brown_out.update(
            pool.queue.queued_tokens(),
            pool.drain_rate,
            pool.first_token_target_s,
            live,
            now_s,
        )
        if level is not None:
            _log.notice('pool {}: brown-out level {}', name, level.name)
        self._count.set(f'pools.{name}.brown_out', pool.brown_out.level)
        self._count.set(f'pools.{name}.waiting', pool.queue.waiting())
        self._count.set(f'pools.{name}.drain', pool.drain_rate.tokens_per_s)


def _with_start_by(
    request: shares.Request, start_by_s: float
) -> shares.Request:
    return shares.Request(
        request.request_id,
        request.workspace,
        request.expected_tokens,
        start_by_s,
        request.priority,
    )
