"""What becomes of the streams on endpoints that leave.

Each stream that ends in time is left to finish. Of the rest, those with
the most to recompute have their KV cache moved while the time and the
bandwidth last, within one region; the others are resumed elsewhere by
recompute. Resumes are paced by what the remaining endpoints can
prefill: the streams of a whole failure domain that all start at once
would hold up everybody's first token, their own included.
"""

import dataclasses
import enum
import typing

from guavachute import ids

FINISH_MARGIN_S = 2.0
"""A stream is left to finish only with this much to spare."""

MOVE_MARGIN_S = 1.0
"""The last transfer ends so long before the VM goes."""

TRANSFER_FIXED_S = 0.1
"""Export, import and the switch of the stream, whatever the size."""

PREFILL_FRACTION = 0.5
"""The part of the prefill rate that resumes may take from new work."""


class Way(enum.Enum):
    """How a stream goes on."""

    FINISH = 'finish'
    TRANSFER = 'transfer'
    RECOMPUTE = 'recompute'


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream on a leaving endpoint.

    :ivar computed_tokens: prompt and generated so far, which a recompute
        does once more
    :ivar remaining_tokens: expected still to come
    :ivar gap_s: time between two of its tokens
    """

    request_id: ids.RequestId
    region: ids.Region
    computed_tokens: int
    remaining_tokens: int
    gap_s: float
    kv_bytes: int
    priority: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An endpoint that stays and could take streams."""

    endpoint: ids.EndpointId
    region: ids.Region
    free_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What there is for moving.

    Both are this router's part, for the others plan as well.

    :ivar transfer_bytes_per_s: for KV transfers within a region
    :ivar prefill_tokens_per_s: of the endpoints that stay
    """

    transfer_bytes_per_s: float
    prefill_tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What to do with one stream.

    :ivar start_at_s: not before this; a stream whose endpoint is gone by
        then waits with its caller connected
    :ivar target: of a transfer; a recompute is routed like a new request
    """

    request_id: ids.RequestId
    way: Way
    start_at_s: float
    target: ids.EndpointId | None = None


def plan(
    streams: typing.Iterable[Stream],
    targets: typing.Iterable[Target],
    capacity: Capacity,
    leave_at_s: float,
    now_s: float,
) -> list[Step]:
    """One step for each stream, in the order in which they start.

    Plan again each second or so with what is left; *leave_at_s* not
    after *now_s* means that the endpoints are gone already.
    """
    steps = []
    moving = []
    for stream in streams:
        if _finishes(stream, leave_at_s, now_s):
            steps.append(Step(stream.request_id, Way.FINISH, now_s))
        else:
            moving.append(stream)
    transfers, left = _transfers(
        moving, list(targets), capacity, leave_at_s, now_s
    )
    steps += transfers
    steps += _recomputes(left, capacity, now_s)
    steps.sort(key=lambda step: step.start_at_s)
    return steps


def _finishes(stream: Stream, leave_at_s: float, now_s: float) -> bool:
    end_s = now_s + stream.remaining_tokens * stream.gap_s
    return end_s + FINISH_MARGIN_S <= leave_at_s


def _transfers(
    streams: list[Stream],
    targets: list[Target],
    capacity: Capacity,
    leave_at_s: float,
    now_s: float,
) -> tuple[list[Step], list[Stream]]:
    """Transfers one after another while there is time; and the rest."""
    free = {target.endpoint: target.free_slots for target in targets}
    steps = []
    left = []
    start_s = now_s
    latest_s = leave_at_s - MOVE_MARGIN_S
    for stream in sorted(streams, key=_value, reverse=True):
        end_s = start_s + _transfer_s(stream, capacity)
        target = _roomiest(stream.region, targets, free)
        if target is None or end_s > latest_s:
            left.append(stream)
            continue
        free[target] -= 1
        step = Step(stream.request_id, Way.TRANSFER, start_s, target)
        steps.append(step)
        start_s = end_s
    return steps, left


def _value(stream: Stream) -> float:
    """Tokens saved for each byte moved."""
    return stream.computed_tokens / max(1, stream.kv_bytes)


def _transfer_s(stream: Stream, capacity: Capacity) -> float:
    if capacity.transfer_bytes_per_s <= 0:
        return float('inf')
    moving_s = stream.kv_bytes / capacity.transfer_bytes_per_s
    return TRANSFER_FIXED_S + moving_s


def _roomiest(
    region: ids.Region,
    targets: list[Target],
    free: dict[ids.EndpointId, int],
) -> ids.EndpointId | None:
    usable = [
        target.endpoint
        for target in targets
        if target.region == region and free[target.endpoint] > 0
    ]
    return max(usable, key=lambda name: free[name], default=None)


def _recomputes(
    streams: list[Stream], capacity: Capacity, now_s: float
) -> list[Step]:
    """Paced starts, by priority and then the shortest first."""
    rate = max(1.0, capacity.prefill_tokens_per_s * PREFILL_FRACTION)
    steps = []
    start_s = now_s
    for stream in sorted(
        streams, key=lambda each: (each.priority, each.computed_tokens)
    ):
        steps.append(Step(stream.request_id, Way.RECOMPUTE, start_s))
        start_s += stream.computed_tokens / rate
    return steps


class ResumePace:
    """Paces the resumes of streams whose endpoints are gone.

    A lone stream starts at once; of a whole failure domain's streams
    each waits until those before it can have been prefilled.
    """

    def __init__(self) -> None:
        self._free_s = 0.0

    def start_at_s(
        self, computed_tokens: float, capacity: Capacity, now_s: float
    ) -> float:
        """When a stream with so much to recompute starts."""
        rate = max(1.0, capacity.prefill_tokens_per_s * PREFILL_FRACTION)
        start_s = max(now_s, self._free_s)
        self._free_s = start_s + computed_tokens / rate
        return start_s
