"""Plans how the streams on leaving endpoints continue.

Streams that will end in time finish where they are. Of the others, those
that save the most recomputed tokens per byte have their KV cache
transferred within the region, as far as time and bandwidth allow. The
remaining streams resume on other endpoints by recomputing their tokens.

Resumes are paced by the prefill rate of the remaining endpoints. If all
streams of a failure domain resumed at once, they would delay the first
token of every request, including their own.
"""

import dataclasses
import enum
import typing

from guavachute import ids

FINISH_MARGIN_S = 2.0
"""A stream finishes in place only if it ends this long before the VM."""

MOVE_MARGIN_S = 1.0
"""The last transfer must end this long before the VM does."""

TRANSFER_FIXED_S = 0.1
"""Time to export, import and switch a stream, regardless of its size."""

PREFILL_FRACTION = 0.5
"""Fraction of the prefill rate that resumes may use."""


class Continuation(enum.Enum):
    """How a stream continues."""

    FINISH = 'finish'
    TRANSFER = 'transfer'
    RECOMPUTE = 'recompute'


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream on a leaving endpoint.

    :ivar computed_tokens: prompt and generated tokens, all of which a
        recompute processes again
    :ivar remaining_tokens: expected number of tokens still to generate
    :ivar gap_s: time between two of its tokens
    :ivar kv_bytes: size of its KV cache
    :ivar priority: streams with lower values resume first
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
    """A remaining endpoint that streams could be transferred to."""

    endpoint: ids.EndpointId
    region: ids.Region
    free_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The rates available for moving streams.

    Both are this router's share, since other routers plan as well.

    :ivar transfer_bytes_per_s: for KV cache transfers within a region
    :ivar prefill_tokens_per_s: of the remaining endpoints
    """

    transfer_bytes_per_s: float
    prefill_tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """How and when one stream continues.

    :ivar start_at_s: earliest start; a stream whose endpoint is gone by
        then waits while its caller stays connected
    :ivar target: where to transfer to; None for a recompute, which is
        routed like a new request
    """

    request_id: ids.RequestId
    continuation: Continuation
    start_at_s: float
    target: ids.EndpointId | None = None


def plan(
    streams: typing.Iterable[Stream],
    targets: typing.Iterable[Target],
    capacity: Capacity,
    leave_at_s: float,
    now_s: float,
) -> list[Step]:
    """One step for each stream, sorted by start time.

    The caller plans again about once a second for the streams that still
    remain.

    :param leave_at_s: when the endpoints end; a time up to *now_s* means
        that they are gone already
    """
    steps = []
    moving = []
    for stream in streams:
        if _finishes(stream, leave_at_s, now_s):
            steps.append(Step(stream.request_id, Continuation.FINISH, now_s))
        else:
            moving.append(stream)
    transfers, remaining = _transfers(
        moving, list(targets), capacity, leave_at_s, now_s
    )
    steps += transfers
    steps += _recomputes(remaining, capacity, now_s)
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
    """Consecutive transfers while time remains, and the other streams."""
    free = {target.endpoint: target.free_slots for target in targets}
    steps = []
    remaining = []
    start_s = now_s
    latest_s = leave_at_s - MOVE_MARGIN_S
    for stream in sorted(streams, key=_tokens_saved_per_byte, reverse=True):
        end_s = start_s + _transfer_s(stream, capacity)
        target = _target_with_most_slots(stream.region, targets, free)
        if target is None or end_s > latest_s:
            remaining.append(stream)
            continue
        free[target] -= 1
        step = Step(stream.request_id, Continuation.TRANSFER, start_s, target)
        steps.append(step)
        start_s = end_s
    return steps, remaining


def _tokens_saved_per_byte(stream: Stream) -> float:
    """Tokens that needn't be recomputed per byte transferred."""
    return stream.computed_tokens / max(1, stream.kv_bytes)


def _transfer_s(stream: Stream, capacity: Capacity) -> float:
    if capacity.transfer_bytes_per_s <= 0:
        return float('inf')
    moving_s = stream.kv_bytes / capacity.transfer_bytes_per_s
    return TRANSFER_FIXED_S + moving_s


def _target_with_most_slots(
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
    """Recomputes with paced starts, by priority, then shortest first."""
    rate = max(1.0, capacity.prefill_tokens_per_s * PREFILL_FRACTION)
    steps = []
    start_s = now_s
    for stream in sorted(
        streams, key=lambda each: (each.priority, each.computed_tokens)
    ):
        steps.append(Step(stream.request_id, Continuation.RECOMPUTE, start_s))
        start_s += stream.computed_tokens / rate
    return steps


class ResumePace:
    """Paces the resumes of streams whose endpoints are gone.

    A single stream starts at once. If many resume together, each waits
    for the estimated prefill time of those before it.
    """

    def __init__(self) -> None:
        self._free_s = 0.0

    def start_at_s(
        self, computed_tokens: float, capacity: Capacity, now_s: float
    ) -> float:
        """When a stream with *computed_tokens* to recompute may start.

        Each call reserves the prefill time of that stream.
        """
        rate = max(1.0, capacity.prefill_tokens_per_s * PREFILL_FRACTION)
        start_s = max(now_s, self._free_s)
        self._free_s = start_s + computed_tokens / rate
        return start_s
