"""A model of continuous batching, as a pure state object.

It models a number of slots, a priority queue, a prefill stage that handles
one prompt at a time, and a gap between tokens that grows with the batch.
"""

import dataclasses
import heapq
import itertools

from guavachute.decide.requests import prefix
from guavachute.standin import engine_cache
from guavachute.standin import engine_job
from guavachute.standin import engine_text


@dataclasses.dataclass(slots=True)
class Batch:
    """The running and the queued jobs of an engine.

    :ivar running: the running jobs by attempt id
    :ivar recomputed_tokens: tokens prefilled again for resumed answers
    :ivar prefilled_tokens: tokens prefilled for all jobs; tokens found in
        the cache don't count
    """

    settings: engine_job.EngineSettings
    cache: engine_cache.PrefixCache
    running: dict[str, engine_job.Job] = dataclasses.field(
        default_factory=dict
    )
    recomputed_tokens: int = 0
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    _queue: list[tuple[int, int, engine_job.Job]] = dataclasses.field(
        default_factory=list
    )
    _sequence: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )
    _prefill_free_s: float = 0

    @property
    def queued(self) -> int:
        """The number of queued jobs."""
        return len(self._queue)

    def has_capacity(self) -> bool:
        """Return whether a new job could start at once."""
        return len(self.running) < self.settings.slots and not self._queue

    def enqueue(self, job: engine_job.Job) -> bool:
        """Add *job* to the queue; return False if the queue is full."""
        if len(self._queue) >= self.settings.queue_limit:
            return False
        entry = (job.priority, next(self._sequence), job)
        heapq.heappush(self._queue, entry)
        return True

    def remove_queued(self, attempt_id: str) -> engine_job.Job | None:
        """Remove a job from the queue; return None if it isn't queued."""
        for position, (_, _, job) in enumerate(self._queue):
            if job.attempt_id == attempt_id:
                del self._queue[position]
                heapq.heapify(self._queue)
                return job
        return None

    def pop_queued(self) -> engine_job.Job | None:
        """Remove and return the next job to start if a slot is free."""
        if self._queue and len(self.running) < self.settings.slots:
            return heapq.heappop(self._queue)[2]
        return None

    def start(self, job: engine_job.Job, now_s: float) -> float:
        """Start *job*; return the time at which its first token is due."""
        self.running[job.attempt_id] = job
        cached = self.cache.cached_blocks(job.chain)
        head = job.prompt[: cached * prefix.BLOCK_CHARACTERS]
        job.cached_tokens = engine_text.count_tokens(head)
        needed = job.prompt_tokens + job.resume_from
        uncached = max(0, needed - max(job.cached_tokens, job.imported_tokens))
        self.cache.store(job.model, job.chain, now_s)
        self.prefilled_tokens += uncached
        if job.resume_from:
            self.recomputed_tokens += uncached
        start_s = max(now_s, self._prefill_free_s, job.kv_ready_at_s)
        self._prefill_free_s = (
            start_s + uncached / self.settings.prompt_tokens_per_s
        )
        return self._prefill_free_s + self.settings.first_token_s

    def gap_s(self) -> float:
        """Return the current time between two tokens of each stream."""
        beyond = max(0, len(self.running) - self.settings.knee_streams)
        growth = 1 + beyond * self.settings.gap_growth
        return self.settings.token_gap_s * growth

    def finish(self, job: engine_job.Job, now_s: float) -> None:
        """Free the slot of *job* and store its text in the cache."""
        if self.running.pop(job.attempt_id, None) is None:
            return
        text = job.prompt + job.resume_text + ''.join(job.text)
        self.cache.store(job.model, prefix.block_chain(job.model, text), now_s)

    def kv_free_tokens(self) -> int:
        """Return how many more tokens fit into the engine's memory."""
        held = sum(job.held_tokens for job in self.running.values())
        return max(0, self.settings.kv_tokens - held)
