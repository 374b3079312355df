"""A router's index of which endpoints have cached which prompt blocks.

The index is updated by the engines' cache events, which arrive late and
with gaps, and by the router's own choices, which are known immediately.
Its answers are hints: a wrong one only costs recomputing a prompt.

Each endpoint has a bit and each block a mask of these bits, so a prompt is
matched against all endpoints with one operation per block. When an
endpoint's entries are dropped it gets a new bit, which avoids a pass over
all blocks. Blocks are kept in two generations, and the old one is
discarded when the young one is full. This bounds the memory without the
bookkeeping of an LRU list.
"""

import dataclasses
import enum
import typing

from guavachute import ids

MAXIMUM_BLOCKS = 200_000
"""Default bound on the number of blocks; each takes about 130 bytes."""

MAXIMUM_MASK_BITS = 512
"""Bits that are assigned, beyond two for each endpoint, before the bits of
dropped endpoints are reclaimed."""


class EventKind(enum.Enum):
    """The kind of a cache event; the values are those on the wire."""

    STORED = 'stored'
    EVICTED = 'evicted'


class Event(typing.NamedTuple):
    """One cache event of one endpoint.

    It is a named tuple because there are many events, and tuples are cheap
    to create.

    :ivar seq: sequence number, which grows by one; a jump means that
        events are missing
    :ivar block: hash of the block
    """

    seq: int
    kind: EventKind
    block: str


class GapPolicy(enum.Enum):
    """What happens to an endpoint's entries when events are missing."""

    DROP = 'drop'
    """All entries of the endpoint are dropped."""
    KEEP = 'keep'
    """Stale entries stay until an event or the size bound removes them."""


@dataclasses.dataclass(slots=True)
class _Known:
    """The bit and the event sequence of one endpoint."""

    bit: int
    next_seq: int | None = None
    gaps: int = 0


class PrefixIndex:
    """A bounded map from prompt blocks to endpoints.

    :param gap_policy: what happens when events are missing
    :param maximum_blocks: bound on the number of blocks. The older
        generation is discarded when the younger one holds half of this
    """

    def __init__(
        self,
        gap_policy: GapPolicy = GapPolicy.KEEP,
        maximum_blocks: int = MAXIMUM_BLOCKS,
    ) -> None:
        self._gap_policy = gap_policy
        self._generation_blocks = max(1, maximum_blocks // 2)
        self._young: dict[str, int] = {}
        self._old: dict[str, int] = {}
        self._known: dict[ids.EndpointId, _Known] = {}
        self._by_bit: dict[int, ids.EndpointId] = {}
        self._live = 0
        self._next_bit = 0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def gaps(self, endpoint: ids.EndpointId) -> int:
        """The number of gaps in the events of *endpoint* so far."""
        known = self._known.get(endpoint)
        return 0 if known is None else known.gaps

    def routed(
        self, endpoint: ids.EndpointId, chain: typing.Iterable[str]
    ) -> None:
        """Record that a prompt was sent to *endpoint*.

        The endpoint is expected to cache the prompt's blocks.
        """
        bit = self._endpoint(endpoint).bit
        for block in chain:
            self._add(block, bit)

    def events(
        self, endpoint: ids.EndpointId, events: typing.Iterable[Event]
    ) -> bool:
        """Apply cache events and return whether some are missing.

        Sequence numbers that go backwards mean that the engine restarted
        with an empty cache; its old entries are dropped under either
        policy.
        """
        known = self._endpoint(endpoint)
        gap = False
        for event in events:
            expected = known.next_seq
            if expected is not None and event.seq < expected:
                self._drop_entries(endpoint, known)
            elif expected is not None and event.seq > expected:
                gap = True
                known.gaps += 1
                if self._gap_policy is GapPolicy.DROP:
                    self._drop_entries(endpoint, known)
            known.next_seq = event.seq + 1
            if event.kind is EventKind.STORED:
                self._add(event.block, known.bit)
            else:
                self._discard(event.block, known.bit)
        return gap

    def drop(self, endpoint: ids.EndpointId) -> None:
        """Remove *endpoint*, which left or crashed, and its entries."""
        known = self._known.pop(endpoint, None)
        if known is not None:
            self._live &= ~known.bit
            del self._by_bit[known.bit]

    def match(self, chain: typing.Sequence[str]) -> dict[ids.EndpointId, int]:
        """Return how many leading blocks of *chain* each endpoint holds.

        Endpoints that hold none are left out. The matched blocks move to
        the young generation.
        """
        held: dict[ids.EndpointId, int] = {}
        mask = self._live
        young = self._young
        old = self._old
        depth = 0
        for block in chain:
            found = young.get(block)
            if found is None:
                found = old.pop(block, 0)
                if found:
                    young[block] = found
            narrowed = mask & found
            if narrowed != mask:
                if depth:
                    self._note(held, mask & ~narrowed, depth)
                mask = narrowed
                if not mask:
                    break
            depth += 1
        if mask and depth:
            self._note(held, mask, depth)
        self._bound()
        return held

    def _note(
        self, held: dict[ids.EndpointId, int], mask: int, depth: int
    ) -> None:
        while mask:
            bit = mask & -mask
            held[self._by_bit[bit]] = depth
            mask ^= bit

    def _endpoint(self, endpoint: ids.EndpointId) -> _Known:
        known = self._known.get(endpoint)
        if known is None:
            known = _Known(self._new_bit(endpoint))
            self._known[endpoint] = known
        return known

    def _new_bit(self, endpoint: ids.EndpointId) -> int:
        if self._next_bit >= MAXIMUM_MASK_BITS + 2 * len(self._known):
            self._renumber()
        bit = 1 << self._next_bit
        self._next_bit += 1
        self._live |= bit
        self._by_bit[bit] = endpoint
        return bit

    def _drop_entries(self, endpoint: ids.EndpointId, known: _Known) -> None:
        self._live &= ~known.bit
        del self._by_bit[known.bit]
        known.bit = self._new_bit(endpoint)

    def _add(self, block: str, bit: int) -> None:
        mask = self._young.get(block)
        if mask is None:
            mask = self._old.pop(block, 0)
        self._young[block] = mask | bit
        self._bound()

    def _discard(self, block: str, bit: int) -> None:
        for generation in (self._young, self._old):
            mask = generation.get(block)
            if mask is not None and mask & bit:
                if mask == bit:
                    del generation[block]
                else:
                    generation[block] = mask & ~bit

    def _bound(self) -> None:
        if len(self._young) >= self._generation_blocks:
            self._old = self._young
            self._young = {}

    def _renumber(self) -> None:
        """Reassign the lowest bits to the live endpoints."""
        pairs = []
        for number, known in enumerate(self._known.values()):
            # An endpoint that is just being given a new bit has none.
            endpoint = self._by_bit.get(known.bit)
            if endpoint is not None:
                pairs.append((known, endpoint, 1 << number))
        self._young = _moved(self._young, pairs)
        self._old = _moved(self._old, pairs)
        self._by_bit = {new: endpoint for _, endpoint, new in pairs}
        self._live = sum(self._by_bit)
        for known, _, new in pairs:
            known.bit = new
        self._next_bit = len(self._known)


def _moved(
    blocks: dict[str, int],
    pairs: list[tuple[_Known, ids.EndpointId, int]],
) -> dict[str, int]:
    moved = {}
    for block, mask in blocks.items():
        new_mask = 0
        for known, _, new in pairs:
            if mask & known.bit:
                new_mask |= new
        if new_mask:
            moved[block] = new_mask
    return moved
