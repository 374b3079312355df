"""Compares the prefix index's policies for gaps in cache events.

After a gap an index either drops the endpoint's entries or keeps them,
possibly stale. Several routers with an index each share the prompts of
one trace; each gets the engines' events late and loses some batches. The
figure is the number of prompt tokens that engines computed again.
"""

import collections
import dataclasses
import random

from bench import cache_model
from bench import prompts
from guavachute.decide.requests import prefix_index
from guavachute.decide.requests import routing
from guavachute import outcome

REQUESTS = 4_000
ENGINES = 10
ROUTERS = 3
CACHE_BLOCKS = 1500
RUNNING = 70
"""Requests in progress at a time; the engines have 160 slots."""

EVENT_EVERY = 20
"""Requests between two deliveries of events."""

WORKSPACES = ('club', 'mill', 'shop', 'studio', 'yard')
SEEDS = (1, 2, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """The losses and delays of events in one run.

    :ivar lost_share: part of the batches that a router never gets
    :ivar delay_batches: delay of the events, in batches
    :ivar flushes: engine caches emptied in the run; the events of an
        emptied cache are lost to all routers
    """

    name: str
    lost_share: float
    delay_batches: int = 2
    flushes: int = 0


CASES = (
    Case('no gaps', 0.0),
    Case('1% of batches lost', 0.01),
    Case('10% lost', 0.10),
    Case('40% lost', 0.40),
    Case('10% lost, very late', 0.10, delay_batches=20),
    Case('10% lost, 10 caches emptied', 0.10, flushes=10),
    Case('10% lost, 60 caches emptied', 0.10, flushes=60),
)


class Fleet:
    """Simulated engines and routers, and the events between them."""

    def __init__(
        self, policy: prefix_index.GapPolicy, case: Case, seed: int
    ) -> None:
        self._case = case
        self._random = random.Random(seed)
        self.engines = [
            cache_model.Engine(number, CACHE_BLOCKS)
            for number in range(ENGINES)
        ]
        self._indices = [
            prefix_index.PrefixIndex(policy) for _ in range(ROUTERS)
        ]
        self._by_endpoint = {
            engine.endpoint: engine for engine in self.engines
        }
        self._candidates = [engine.candidate() for engine in self.engines]
        self._running: collections.deque[cache_model.Engine] = (
            collections.deque()
        )
        self._in_flight: collections.deque[list[list[prefix_index.Event]]] = (
            collections.deque()
        )
        self.recomputed = cache_model.RecomputedTokens()

    def route(self, prompt: prompts.Prompt) -> None:
        """Let a random router choose an engine and run *prompt* there."""
        index = self._random.choice(self._indices)
        request = routing.PlacementRequest(
            prompt.chain[0], index.match(prompt.chain)
        )
        choice = routing.choose(request, self._candidates)
        assert not isinstance(choice, outcome.Failure)
        engine = self._by_endpoint[choice.endpoint]
        index.record_routed(choice.endpoint, prompt.chain)
        self.recomputed.record_computed(engine.run(prompt))
        engine.load.record_sent(0)
        self._running.append(engine)
        if len(self._running) > RUNNING:
            self._running.popleft().load.record_end(0)

    def deliver(self) -> None:
        """Send the engines' new events; deliver those whose delay is over.

        Each router loses batches at random.
        """
        batches = []
        for engine in self.engines:
            batches.append(engine.events)
            engine.events = []
        self._in_flight.append(batches)
        if len(self._in_flight) <= self._case.delay_batches:
            return
        for engine, batch in zip(self.engines, self._in_flight.popleft()):
            for index in self._indices:
                if self._random.random() >= self._case.lost_share:
                    index.apply_events(engine.endpoint, batch)

    def flush_one(self) -> None:
        """Empty a random engine's cache and lose the events.

        Routers can notice it only by the gap in the event numbers.
        """
        engine = self._random.choice(self.engines)
        engine.flush()
        engine.events = []


def recomputed_tokens(
    policy: prefix_index.GapPolicy, case: Case, seed: int
) -> int:
    """Simulate one run; return the prompt tokens computed again."""
    fleet = Fleet(policy, case, seed)
    flush_every = REQUESTS // case.flushes if case.flushes else REQUESTS + 1
    trace = prompts.prompts(REQUESTS, WORKSPACES, seed)
    for number, prompt in enumerate(trace, 1):
        fleet.route(prompt)
        if number % EVENT_EVERY == 0:
            fleet.deliver()
        if number % flush_every == 0:
            fleet.flush_one()
    return fleet.recomputed.tokens


def main() -> None:
    """Print a table with the sums over the seeds."""
    print(f'recomputed tokens, {len(SEEDS)} x {REQUESTS} requests')
    print(f'{"case":32}{"drop":>12}{"keep":>12}{"keep/drop":>11}')
    for case in CASES:
        tokens = [
            sum(recomputed_tokens(policy, case, seed) for seed in SEEDS)
            for policy in (
                prefix_index.GapPolicy.DROP,
                prefix_index.GapPolicy.KEEP,
            )
        ]
        ratio = tokens[1] / tokens[0]
        print(f'{case.name:32}{tokens[0]:12}{tokens[1]:12}{ratio:11.3f}')


if __name__ == '__main__':
    main()
