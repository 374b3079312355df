"""Chooses the endpoint that a request is sent to.

For plain services, endpoints with a free slot come first, then those of
this region, then the least loaded ones. For model engines, the estimated
time to first token decides, with prefix affinity: requests that share a
prompt are mapped to the same engine by rendezvous hashing over the last
part of the prompt that other requests may share. That engine is chosen
as long as its cost exceeds the lowest cost by no more than a bound.
"""

import bisect
import dataclasses
import enum
import itertools
import typing

from guavachute.decide import rendezvous
from guavachute.domain import call
from guavachute import ids

DEFAULT_PREFILL_TOKENS_PER_S = 50_000.0
"""Prefill speed assumed of an engine that has not been measured."""

STEP_S = 0.006
"""Assumed duration of one batch step. In a step, every running request
gets a token, and a queued request may start."""

SLOT_WAIT_S = 0.08
"""Assumed wait until a slot becomes free on an engine without free
slots, per request in excess."""

AFFINITY_COST_SHARE = 0.35
"""Share of the route's objective by which the cost of the engine with
prefix affinity may exceed the lowest cost."""

BUSY_SHARE = 0.7
"""An engine with this share of the requests that it handles well is busy. Its
cost may exceed the lowest one by a random part of the bound only: all nodes
know about the same old figures, and would fill or leave it all at once."""

OTHER_REGION_PENALTY_S = 0.2
"""Cost added to endpoints in other regions: their traffic crosses the
slow link between regions, and the prompt is cached there a second
time."""

DOUBTFUL_PENALTY_S = 1.0
LEAVING_PENALTY_S = 0.5

RELAY_PENALTY_S = 0.05
"""Cost added to endpoints that are reached only through another node, whose
work and traffic that takes."""


MIN_WEIGHT = 0.5
"""Weight of an endpoint without free capacity in a draw: what is known of it
may be old."""

Draw = typing.Callable[[], float]
"""Gives a random number from 0 to 1."""


class Nearness(enum.IntEnum):
    """Network distance of an endpoint from this node."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


# Not frozen: that makes it slower, and a node makes thousands per second.
@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that can be chosen, with its load as known here.

    :ivar running: requests at the endpoint, from this node and others
    :ivar waiting_tokens: prompt tokens that are not prefilled yet
    :ivar cached_tokens: tokens of this request's prompt that the
        endpoint is assumed to hold in its cache
    :ivar is_doubtful: whether many of its requests fail, or its entry
        in the store may have been deleted
    :ivar is_leaving: whether it stops soon; requests that still run
        there then have to be moved
    :ivar is_relayed: whether it is reached only through another node
    :ivar order: the lowest is chosen among equally loaded plain endpoints
    :ivar slowdown: how long work takes there, in proportion to the usual time
    :ivar limit: how many requests it handles well; None for all its slots
    :ivar step_s: usual time to the first token of a prompt without tokens
    :ivar slot_wait_s: usual wait for a slot, per request in excess
    """

    id: ids.EndpointId
    nearness: Nearness
    slots: int
    running: float
    waiting_tokens: int
    cached_tokens: int
    prefill_tokens_per_s: float
    is_doubtful: bool
    is_leaving: bool = False
    is_relayed: bool = False
    order: float = 0.0
    slowdown: float = 1.0
    limit: float | None = None
    step_s: float = STEP_S
    slot_wait_s: float = SLOT_WAIT_S

    @property
    def handled(self) -> float:
        """How many requests it handles well."""
        return self.slots if self.limit is None else self.limit


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The chosen endpoint.

    :ivar first_token_s: estimated time to first token; 0 for plain
        requests
    :ivar work: tokens to prefill before that; None for plain requests
    :ivar occupied: the share of slots that are occupied with this request, as
        far as is known; above 1 if it has to wait
    """

    endpoint: ids.EndpointId
    first_token_s: float
    work: float | None = None
    occupied: float = 0.0


def affinity_key(parts: typing.Sequence[call.PromptPart]) -> str | None:
    """The hash key for prefix affinity; None without prompt parts.

    It is the last part that other requests may share: the one before
    the last, or the only one.
    """
    if len(parts) >= 2:
        return parts[-2].id
    return parts[0].id if parts else None


def time_to_first_token_s(candidate: Candidate, prompt_tokens: int) -> float:
    """Estimated time until *candidate* returns the first token.

    :param prompt_tokens: length of the request's prompt
    """
    tokens = candidate.waiting_tokens
    if prompt_tokens > candidate.cached_tokens:
        tokens += prompt_tokens - candidate.cached_tokens
    usual_s = tokens / candidate.prefill_tokens_per_s + candidate.step_s
    excess = candidate.running + 1 - candidate.handled
    if excess > 0:
        usual_s += excess * candidate.slot_wait_s
    return candidate.slowdown * usual_s


def _tokens_to_prefill(candidate: Candidate, prompt_tokens: int) -> int:
    uncached_tokens = max(0, prompt_tokens - candidate.cached_tokens)
    return candidate.waiting_tokens + uncached_tokens


def _occupied(candidate: Candidate) -> float:
    return (candidate.running + 1) / max(1, candidate.slots)


def choose_engine(
    candidates: typing.Sequence[Candidate],
    prompt_tokens: int,
    parts: typing.Sequence[call.PromptPart],
    objective_s: float,
    draw: Draw | None = None,
) -> Chosen | None:
    """The engine for a model request; None without candidates.

    :param parts: the parts of the prompt, in order
    :param objective_s: the route's objective for the first token
    :param draw: gives random numbers from 0 to 1; without it, the engine with
        the lowest cost is chosen, and by its id among equal ones
    """
    if not candidates:
        return None
    costs_s = [
        time_to_first_token_s(item, prompt_tokens) + _penalty_s(item)
        for item in candidates
    ]
    lowest_s = min(costs_s)
    allowed_s = AFFINITY_COST_SHARE * objective_s
    busy_bound_s = bound_s = lowest_s + allowed_s
    if draw is not None:
        busy_bound_s = lowest_s + allowed_s * draw()
    within = [
        (cost_s, item)
        for cost_s, item in zip(costs_s, candidates, strict=True)
        if cost_s <= busy_bound_s
        or (cost_s <= bound_s and item.running < BUSY_SHARE * item.handled)
    ]
    key = affinity_key(parts)
    chosen = None
    if key is not None:
        chosen = max(
            (
                item
                for _, item in within
                if item.nearness is not Nearness.OTHER_REGION
            ),
            key=lambda item: rendezvous.score(key, item.id),
            default=None,
        )
    if chosen is None and draw is not None:
        chosen = _better_of_two(within, draw)
    if chosen is None:
        chosen = min(within, key=lambda item: (item[0], item[1].id))[1]
    first_token_s = time_to_first_token_s(chosen, prompt_tokens)
    if chosen.slowdown > 1:
        # What slows all of them down shows in the usual times already.
        first_token_s /= max(1.0, min(item.slowdown for item in candidates))
    return Chosen(
        chosen.id,
        first_token_s,
        _tokens_to_prefill(chosen, prompt_tokens),
        _occupied(chosen),
    )


def choose_plain(
    candidates: typing.Sequence[Candidate], draw: Draw | None = None
) -> Chosen | None:
    """The endpoint for a plain request; None without candidates.

    :param draw: as for :func:`choose_engine`
    """
    if not candidates:
        return None
    if draw is None:
        best = min(
            candidates,
            key=lambda item: (
                *_plain_class(item),
                item.running / max(1, item.slots),
                item.order,
                item.nearness,
                item.id,
            ),
        )
        return Chosen(best.id, 0.0, None, _occupied(best))
    classes = [_plain_class(item) for item in candidates]
    lowest = min(classes)
    best = _better_of_two(
        [
            (item.slowdown * (1 + item.running / max(1, item.slots)), item)
            for item_class, item in zip(classes, candidates, strict=True)
            if item_class == lowest
        ],
        draw,
    )
    return Chosen(best.id, 0.0, None, _occupied(best))


def _plain_class(item: Candidate) -> tuple[bool, ...]:
    """Candidates of the lowest class are chosen, whatever their load."""
    return (
        item.running >= item.handled,
        item.is_leaving,
        item.is_doubtful,
        item.is_relayed,
        item.nearness is Nearness.OTHER_REGION,
    )


def _better_of_two(
    items: typing.Sequence[tuple[float, Candidate]], draw: Draw
) -> Candidate:
    """The cheaper of two that are drawn with weights by free capacity."""
    sums = list(
        itertools.accumulate(
            max(MIN_WEIGHT, item.handled - item.running) / item.slowdown
            for _, item in items
        )
    )
    first, second = (
        items[bisect.bisect(sums, draw() * sums[-1], hi=len(items) - 1)]
        for _ in range(2)
    )
    return min(first, second, key=lambda item: item[0])[1]


def _penalty_s(candidate: Candidate) -> float:
    penalty_s = 0.0
    if candidate.nearness is Nearness.OTHER_REGION:
        penalty_s += OTHER_REGION_PENALTY_S
    if candidate.is_doubtful:
        penalty_s += DOUBTFUL_PENALTY_S
    if candidate.is_leaving:
        penalty_s += LEAVING_PENALTY_S
    if candidate.is_relayed:
        penalty_s += RELAY_PENALTY_S
    return penalty_s


def _endpoint_id(candidate: Candidate) -> str:
    return candidate.id
