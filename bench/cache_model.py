"""A model of an engine's prompt cache for the benchmarks of routing."""

import collections
import typing

from bench import prompts
from guavachute.decide.requests import load
from guavachute.decide.requests import prefix_index
from guavachute.decide.requests import routing
from guavachute import ids

SLOTS = 16


class Engine:
    """An engine with an LRU cache of prompt blocks.

    :param blocks: capacity of the cache, in blocks
    :ivar events: cache events that aren't delivered yet; the caller
        clears them
    :ivar load: the requests that run on the engine
    :ivar cached_blocks: prompt blocks that were found in the cache
    :ivar computed_blocks: prompt blocks that had to be computed
    """

    def __init__(self, number: int, blocks: int) -> None:
        self.endpoint = ids.EndpointId(f'vm-{number}')
        self.events: list[prefix_index.Event] = []
        self.load = load.Load()
        self.cached_blocks = 0
        self.computed_blocks = 0
        self._blocks = blocks
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._seq = 0

    def candidate(self) -> routing.Candidate:
        """Return the engine as a candidate for routing."""
        return routing.Candidate(
            self.endpoint, ids.FailureDomain('perth-a'), SLOTS, self.load
        )

    def run(self, prompt: prompts.Prompt) -> list[str]:
        """Compute *prompt* and return the blocks that weren't cached."""
        cached = 0
        for block in prompt.chain:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            cached += 1
        self.cached_blocks += cached
        missing = list(prompt.chain[cached:])
        self.computed_blocks += len(missing)
        for block in missing:
            self._store(block)
        return missing

    def flush(self) -> None:
        """Evict the whole cache, with an event for each block."""
        for block in list(self._cache):
            self._add_event(prefix_index.EventKind.EVICTED, block)
        self._cache.clear()

    def _store(self, block: str) -> None:
        if block in self._cache:
            self._cache.move_to_end(block)
            return
        self._cache[block] = None
        self._add_event(prefix_index.EventKind.STORED, block)
        if len(self._cache) > self._blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._add_event(prefix_index.EventKind.EVICTED, evicted)

    def _add_event(self, kind: prefix_index.EventKind, block: str) -> None:
        self.events.append(prefix_index.Event(self._seq, kind, block))
        self._seq += 1


class RecomputedTokens:
    """Counts prompt tokens that are computed more than once.

    A block counts as computed before if any engine has computed it.
    """

    def __init__(self) -> None:
        self._seen: set[str] = set()
        self.tokens = 0

    def record_computed(self, blocks: typing.Iterable[str]) -> None:
        """Record that an engine computed *blocks*."""
        for block in blocks:
            if block in self._seen:
                self.tokens += prompts.TOKENS_PER_BLOCK
            self._seen.add(block)
