"""Compares the router's fair queue with a FIFO queue under overload.

Simulates one pool of slots in steps of one token. Four workspaces
together send 95% of what they are due; the fifth, called greedy, sends
twice the capacity of the pool. The router's queue is the fair queue with
admission; the baseline is one bounded queue for all.
"""

import collections
import dataclasses
import random
import typing

from guavachute.decide.requests import admission
from guavachute.decide.requests import shares
from guavachute import ids
from guavachute import outcome

SLOTS = 160
STEP_S = 0.051
STEPS = 6_000
WARM_UP_STEPS = 600
QUEUE_LIMIT = 400
TARGET_S = 0.41
PROMPT_TOKENS = 100
MEAN_GENERATED_TOKENS = 100
SHARES = {'club': 2.0, 'mill': 1.0, 'shop': 1.0, 'yard': 1.0, 'studio': 2.0}
GREEDY = 'studio'
OTHERS_LOAD = 0.95
"""Load of the other workspaces, as a part of what they are due."""

GREEDY_LOAD = 2.0
"""Load of the greedy workspace, as a multiple of the pool's capacity."""


@dataclasses.dataclass(slots=True)
class Job:
    """A request of the trace with its arrival and its actual length."""

    request: shares.Request
    generated_tokens: int
    arrived_s: float


class Queue(typing.Protocol):
    """The interface of the queues that are compared."""

    def offer(self, job: Job, now_s: float) -> bool:
        """Add *job* to the queue; return False if it is rejected."""

    def start(self, free_slots: int, now_s: float) -> list[Job]:
        """Remove and return the jobs that start now, up to *free_slots*."""

    def record_generated(self, job: Job, tokens: int) -> None:
        """Record that *job* generated *tokens*."""

    def finish(self, job: Job) -> None:
        """Record the end of *job*."""


class FifoQueue:
    """One bounded queue for all."""

    def __init__(self) -> None:
        self._queue: collections.deque[Job] = collections.deque()

    def offer(self, job: Job, now_s: float) -> bool:
        """Add *job*; reject it only if the queue is full."""
        if len(self._queue) >= QUEUE_LIMIT:
            return False
        self._queue.append(job)
        return True

    def start(self, free_slots: int, now_s: float) -> list[Job]:
        """Start the oldest jobs."""
        count = min(free_slots, len(self._queue))
        return [self._queue.popleft() for _ in range(count)]

    def record_generated(self, job: Job, tokens: int) -> None:
        """Do nothing: this queue counts no tokens."""

    def finish(self, job: Job) -> None:
        """Do nothing: this queue counts no tokens."""


class RouterQueue:
    """The router's queue and admission."""

    def __init__(self) -> None:
        weights = {
            ids.WorkspaceName(name): share for name, share in SHARES.items()
        }
        self._queue = shares.FairQueue(weights, QUEUE_LIMIT)
        rate = SLOTS / STEP_S * 2
        self._drain = admission.DrainRate(rate, 0)
        self._brown_out = admission.BrownOutState(0)
        self._jobs: dict[ids.RequestId, Job] = {}
        self._updated_s = 0.0

    def offer(self, job: Job, now_s: float) -> bool:
        """Add *job*; reject it if it can't start in time."""
        request = job.request
        name = request.workspace
        arrival = admission.Arrival(
            request.priority,
            0.05,
            self._queue.over_share(name),
            self._queue.queued_tokens(),
            self._queue.queued_tokens(name),
            self._queue.fraction(name),
        )
        admit = admission.decide(
            arrival, self._brown_out.level, self._drain, TARGET_S, now_s
        )
        if isinstance(admit, outcome.Failure):
            return False
        request = dataclasses.replace(request, start_by_s=admit.start_by_s)
        queued = self._queue.offer(request, now_s)
        if isinstance(queued, outcome.Failure):
            return False
        self._jobs[request.request_id] = job
        return True

    def start(self, free_slots: int, now_s: float) -> list[Job]:
        """Start jobs of the workspace with the lowest counter first."""
        for request in self._queue.expire(now_s):
            del self._jobs[request.request_id]
        started = self._queue.start_next(free_slots)
        for request in started:
            self._drain.record_start(request.expected_tokens)
        if now_s - self._updated_s >= 1.0:
            self._drain.update(self._queue.waiting() > 0, now_s)
            self._brown_out.update(
                self._queue.queued_tokens(),
                self._drain,
                TARGET_S,
                1,
                now_s,
            )
            self._updated_s = now_s
        return [self._jobs.pop(request.request_id) for request in started]

    def record_generated(self, job: Job, tokens: int) -> None:
        """Do nothing: ``finish`` charges all tokens in one correction."""

    def finish(self, job: Job) -> None:
        """Release the slot; correct the charge to the actual length."""
        name = job.request.workspace
        extra = job.generated_tokens - MEAN_GENERATED_TOKENS
        self._queue.charge(name, extra)
        self._queue.finish(name)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The figures of one queue on one trace.

    :ivar reached: served tokens over tokens due, by workspace. All but
        the greedy one are due what they sent; it is due the rest of the
        capacity
    :ivar others_refused: part of the other workspaces' requests that
        wasn't served
    :ivar others_wait_p95_s: time in the queue of those that were served
    :ivar used: part of the slots that was in use
    """

    reached: dict[str, float]
    others_refused: float
    others_wait_p95_s: float
    used: float


def run(queue: Queue, seed: int) -> Result:
    """Simulate the complete trace with *queue*."""
    generator = random.Random(seed)
    pool = SLOTS / MEAN_GENERATED_TOKENS
    total = sum(SHARES.values())
    rates = {
        name: pool * share / total * OTHERS_LOAD
        for name, share in SHARES.items()
    }
    rates[GREEDY] = pool * GREEDY_LOAD
    running: list[tuple[Job, int]] = []
    sent: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    offered_by_others = 0
    waits = []
    busy = 0
    for step in range(STEPS):
        now_s = step * STEP_S
        measured = step >= WARM_UP_STEPS
        for job in _arrivals(generator, rates, step):
            name = job.request.workspace
            queue.offer(job, now_s)
            if measured:
                sent[name] += job.generated_tokens
                offered_by_others += name != GREEDY
        still_running = []
        for job, remaining in running:
            if remaining > 1:
                still_running.append((job, remaining - 1))
            else:
                queue.finish(job)
        running = still_running
        for job in queue.start(SLOTS - len(running), now_s):
            running.append((job, job.generated_tokens))
            if measured:
                name = job.request.workspace
                served[name] += job.generated_tokens
                if name != GREEDY:
                    waits.append(now_s - job.arrived_s)
        busy += len(running) if measured else 0
    waits.sort()
    used_slots = SLOTS * (STEPS - WARM_UP_STEPS)
    due = {name: float(sent[name]) for name in SHARES if name != GREEDY}
    due[GREEDY] = used_slots - sum(due.values())
    return Result(
        {name: served[name] / due[name] for name in SHARES},
        1 - len(waits) / offered_by_others,
        waits[int(0.95 * len(waits))],
        busy / used_slots,
    )


def _arrivals(
    generator: random.Random, rates: dict[str, float], step: int
) -> typing.Iterator[Job]:
    names = list(rates)
    generator.shuffle(names)
    for name in names:
        rate = rates[name]
        count = int(rate) + (generator.random() < rate % 1)
        for number in range(count):
            generated = generator.randint(20, 180)
            request = shares.Request(
                ids.RequestId(f'{name}-{step}-{number}'),
                ids.WorkspaceName(name),
                PROMPT_TOKENS + MEAN_GENERATED_TOKENS,
                float('inf'),
            )
            yield Job(request, generated, step * STEP_S)
