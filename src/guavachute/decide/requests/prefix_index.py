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
class _EndpointState:
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
        self._states: dict[ids.EndpointId, _EndpointState] = {}
        self._by_bit: dict[int, ids.EndpointId] = {}
        self._live_mask = 0
        self._next_bit = 0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def gaps(self, endpoint: ids.EndpointId) -> int:
        """The number of gaps in the events of *endpoint* so far."""
        state = self._states.get(endpoint)
        return 0 if state is None else state.gaps

    def record_routed(
        self, endpoint: ids.EndpointId, chain: typing.Iterable[str]
    ) -> None:
        """Record that a prompt was sent to *endpoint*.

        The endpoint is expected to cache the prompt's blocks.
        """
        bit = self._state_of(endpoint).bit
        for block in chain:
            self._add_block(block, bit)

    def apply_events(
        self, endpoint: ids.EndpointId, events: typing.Iterable[Event]
    ) -> bool:
        """Apply cache events and return whether some are missing.

        Sequence numbers that go backwards mean that the engine restarted
        with an empty cache; its old entries are dropped under either
        policy.
        """
        state = self._state_of(endpoint)
        gap = False
        for event in events:
            expected = state.next_seq
            if expected is not None and event.seq < expected:
                self._drop_entries(endpoint, state)
            elif expected is not None and event.seq > expected:
                gap = True
                state.gaps += 1
                if self._gap_policy is GapPolicy.DROP:
                    self._drop_entries(endpoint, state)
            state.next_seq = event.seq + 1
            if event.kind is EventKind.STORED:
                self._add_block(event.block, state.bit)
            else:
                self._discard_block(event.block, state.bit)
        return gap

    def remove_endpoint(self, endpoint: ids.EndpointId) -> None:
        """Remove *endpoint*, which left or crashed, and its entries."""
        state = self._states.pop(endpoint, None)
        if state is not None:
            self._live_mask &= ~state.bit
            del self._by_bit[state.bit]

    def match(self, chain: typing.Sequence[str]) -> dict[ids.EndpointId, int]:
        """Return how many leading blocks of *chain* each endpoint holds.

        Endpoints that hold none are left out. The matched blocks move to
        the young generation.
        """
        held: dict[ids.EndpointId, int] = {}
        mask = self._live_mask
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
                    self._record_depth(held, mask & ~narrowed, depth)
                mask = narrowed
                if not mask:
                    break
            depth += 1
        if mask and depth:
            self._record_depth(held, mask, depth)
        self._rotate_generations()
        return held

    def _record_depth(
        self, held: dict[ids.EndpointId, int], mask: int, depth: int
    ) -> None:
        while mask:
            bit = mask & -mask
            held[self._by_bit[bit]] = depth
            mask ^= bit

    def _state_of(self, endpoint: ids.EndpointId) -> _EndpointState:
        state = self._states.get(endpoint)
        if state is None:
            state = _EndpointState(self._new_bit(endpoint))
            self._states[endpoint] = state
        return state

    def _new_bit(self, endpoint: ids.EndpointId) -> int:
        if self._next_bit >= MAXIMUM_MASK_BITS + 2 * len(self._states):
            self._renumber()
        bit = 1 << self._next_bit
        self._next_bit += 1
        self._live_mask |= bit
        self._by_bit[bit] = endpoint
        return bit

    def _drop_entries(
        self, endpoint: ids.EndpointId, state: _EndpointState
    ) -> None:
        self._live_mask &= ~state.bit
        del self._by_bit[state.bit]
        state.bit = self._new_bit(endpoint)

    def _add_block(self, block: str, bit: int) -> None:
        mask = self._young.get(block)
        if mask is None:
            mask = self._old.pop(block, 0)
        self._young[block] = mask | bit
        self._rotate_generations()

    def _discard_block(self, block: str, bit: int) -> None:
        for generation in (self._young, self._old):
            mask = generation.get(block)
            if mask is not None and mask & bit:
                if mask == bit:
                    del generation[block]
                else:
                    generation[block] = mask & ~bit

    def _rotate_generations(self) -> None:
        if len(self._young) >= self._generation_blocks:
            self._old = self._young
            self._young = {}

    def _renumber(self) -> None:
        """Reassign the lowest bits to the live endpoints."""
        pairs = []
        for number, state in enumerate(self._states.values()):
            # An endpoint that is just being given a new bit has none.
            endpoint = self._by_bit.get(state.bit)
            if endpoint is not None:
                pairs.append((state, endpoint, 1 << number))
        self._young = _renumbered(self._young, pairs)
        self._old = _renumbered(self._old, pairs)
        self._by_bit = {new: endpoint for _, endpoint, new in pairs}
        self._live_mask = sum(self._by_bit)
        for state, _, new in pairs:
            state.bit = new
        self._next_bit = len(self._states)


def _renumbered(
    blocks: dict[str, int],
    pairs: list[tuple[_EndpointState, ids.EndpointId, int]],
) -> dict[str, int]:
    moved = {}
    for block, mask in blocks.items():
        new_mask = 0
        for state, _, new in pairs:
            if mask & state.bit:
                new_mask |= new
        if new_mask:
            moved[block] = new_mask
    return moved
