"""The prefix cache of a stand-in engine and its event log."""

import collections
import random
import threading
import typing

import msgspec

MAX_EVENTS = 20_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A block was stored in the cache or evicted from it."""

    seq: int
    kind: typing.Literal['stored', 'evicted']
    model: str
    block: str


class CacheEvents(msgspec.Struct, frozen=True):
    """The response to ``GET /v1/cache_events``.

    :ivar next: the sequence number to read from next
    """

    next: int
    events: list[CacheEvent]


class EventLog:
    """Cache events, which are published late or lost; thread-safe.

    :param delay_s: seconds until an event is published
    :param loss: the fraction of events that are never published, 0 to 1
    :param seed: of the random choice of lost events
    """

    def __init__(self, delay_s: float, loss: float, seed: int) -> None:
        self._delay_s = delay_s
        self._loss = loss
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )
        self._lost: set[int] = set()
        self._next = 0

    def add(
        self,
        kind: typing.Literal['stored', 'evicted'],
        model: str,
        block: str,
        now_s: float,
    ) -> None:
        """Record that *block* was stored or evicted at *now_s*."""
        with self._lock:
            event = CacheEvent(self._next, kind, model, block)
            self._next += 1
            if self._random.random() < self._loss:
                self._lost.add(event.seq)
            if len(self._events) == MAX_EVENTS:
                self._lost.discard(self._events[0][1].seq)
            self._events.append((now_s + self._delay_s, event))

    def since(self, first: int, now_s: float) -> CacheEvents:
        """Return the events published by *now_s*, from *first* on."""
        published: list[CacheEvent] = []
        next_seq = first
        with self._lock:
            skip = 0
            if self._events:
                skip = max(0, first - self._events[0][1].seq)
            for position in range(skip, len(self._events)):
                publish_at_s, event = self._events[position]
                if publish_at_s > now_s:
                    break
                next_seq = event.seq + 1
                if event.seq not in self._lost:
                    published.append(event)
        return CacheEvents(next_seq, published)


class PrefixCache:
    """The blocks of prompts, with least-recently-used eviction.

    :param max_blocks: the most blocks that it holds
    :param events: records each change
    """

    def __init__(self, max_blocks: int, events: EventLog) -> None:
        self._max_blocks = max_blocks
        self._events = events
        self._blocks: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_blocks(self, chain: list[str]) -> int:
        """Return how many blocks at the start of *chain* are cached."""
        for position, block in enumerate(chain):
            if block not in self._blocks:
                return position
            self._blocks.move_to_end(block)
        return len(chain)

    def store(self, model: str, chain: list[str], now_s: float) -> None:
        """Store the blocks of *chain*, evicting older ones as needed."""
        for block in chain:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = model
            self._events.add('stored', model, block, now_s)
        while len(self._blocks) > self._max_blocks:
            block, evicted_model = self._blocks.popitem(last=False)
            self._events.add('evicted', evicted_model, block, now_s)

    def clear(self, now_s: float) -> None:
        """Evict all blocks, as a restarted engine does."""
        while self._blocks:
            block, model = self._blocks.popitem(last=False)
            self._events.add('evicted', model, block, now_s)
