"""Compares the router's placement with round robin and least outstanding.

A placement policy is a function from a prompt to an engine. One router
places all prompts. The engines differ only in what their caches hold and
which requests they run. Time is counted in steps, with one request
arriving in each; a request runs for a number of steps that grows with the
tokens that it computes and generates.
"""

import dataclasses
import heapq
import itertools
import math
import typing

from bench import cache_model
from bench import prompts
from guavachute.decide.requests import prefix_index
from guavachute.decide.requests import routing
from guavachute import outcome

REQUESTS = 6_000
CACHE_BLOCKS = 1500
WORKSPACES = ('club', 'mill', 'shop', 'studio', 'yard')
EVENT_EVERY = 20
PREFILL_TOKENS_PER_STEP = 100.0
GENERATED_TOKENS_PER_STEP = 1.5

Placement = typing.Callable[[prompts.Prompt], cache_model.Engine]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The figures of one policy on one trace.

    :ivar hit_share: part of the prompt blocks that was cached
    :ivar imbalance: load of the most loaded engine over the mean load,
        95th percentile over the requests
    """

    hit_share: float
    recomputed_tokens: int
    imbalance: float


class PrefixAffinity:
    """The router's policy: prefix affinity with bounded load.

    The prefix index gets the engines' cache events after each
    ``EVENT_EVERY`` requests.
    """

    def __init__(self, engines: list[cache_model.Engine]) -> None:
        self._engines = {engine.endpoint: engine for engine in engines}
        self._candidates = [engine.candidate() for engine in engines]
        self._index = prefix_index.PrefixIndex()
        self._placed = 0

    def place(self, prompt: prompts.Prompt) -> cache_model.Engine:
        """Return the engine that the router chooses."""
        self._placed += 1
        if self._placed % EVENT_EVERY == 0:
            for engine in self._engines.values():
                self._index.apply_events(engine.endpoint, engine.events)
                engine.events = []
        matches = self._index.match(prompt.chain)
        request = routing.PlacementRequest(prompt.chain[0], matches)
        choice = routing.choose(request, self._candidates)
        assert not isinstance(choice, outcome.Failure)
        self._index.record_routed(choice.endpoint, prompt.chain)
        return self._engines[choice.endpoint]


def round_robin(engines: list[cache_model.Engine]) -> Placement:
    """Return a policy that uses the engines in turn."""
    turns = itertools.cycle(engines)
    return lambda prompt: next(turns)


def least_outstanding(engines: list[cache_model.Engine]) -> Placement:
    """Return a policy that uses the engine with the fewest requests."""
    return lambda prompt: min(
        engines, key=lambda engine: engine.load.outstanding
    )


def prefix_affinity(engines: list[cache_model.Engine]) -> Placement:
    """Return the router's policy."""
    return PrefixAffinity(engines).place


POLICIES: dict[str, typing.Callable[[list[cache_model.Engine]], Placement]] = {
    'round robin': round_robin,
    'least outstanding': least_outstanding,
    'ours': prefix_affinity,
}


def run(
    policy: typing.Callable[[list[cache_model.Engine]], Placement],
    engine_count: int,
    seed: int,
) -> Result:
    """Simulate one trace under one policy."""
    engines = [
        cache_model.Engine(number, CACHE_BLOCKS)
        for number in range(engine_count)
    ]
    place = policy(engines)
    recomputed = cache_model.RecomputedTokens()
    ends: list[tuple[float, int, cache_model.Engine]] = []
    imbalances = []
    trace = prompts.prompts(REQUESTS, WORKSPACES, seed)
    for step, prompt in enumerate(trace):
        while ends and ends[0][0] <= step:
            heapq.heappop(ends)[2].load.record_end(step)
        engine = place(prompt)
        missing = engine.run(prompt)
        recomputed.record_computed(missing)
        engine.load.record_sent(step)
        end = step + _steps(prompt, missing)
        heapq.heappush(ends, (end, step, engine))
        loads = [each.load.outstanding for each in engines]
        imbalances.append(max(loads) * len(loads) / sum(loads))
    cached = sum(engine.cached_blocks for engine in engines)
    computed = sum(engine.computed_blocks for engine in engines)
    imbalances.sort()
    return Result(
        cached / (cached + computed),
        recomputed.tokens,
        imbalances[math.floor(0.95 * len(imbalances))],
    )


def _steps(prompt: prompts.Prompt, missing: list[str]) -> float:
    prefill = len(missing) * prompts.TOKENS_PER_BLOCK
    return (
        prefill / PREFILL_TOKENS_PER_STEP
        + prompt.generated_tokens / GENERATED_TOKENS_PER_STEP
    )
