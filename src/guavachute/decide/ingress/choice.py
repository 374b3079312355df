"""Chooses the endpoint that a request is sent to.

For plain services, endpoints with a free slot come first, then those of
this region, then the least loaded ones. For model engines, the estimated
time to first token decides, with prefix affinity: requests that share a
prompt are mapped to the same engine by rendezvous hashing over the last
part of the prompt that other requests may share. That engine is chosen
as long as its cost exceeds the lowest cost by no more than a bound.
"""

import dataclasses
import enum
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

OTHER_REGION_PENALTY_S = 0.2
"""Cost added to endpoints in other regions: their traffic crosses the
slow link between regions, and the prompt is cached there a second
time."""

DOUBTFUL_PENALTY_S = 1.0
LEAVING_PENALTY_S = 0.5

RELAY_PENALTY_S = 0.05
"""Cost added to endpoints that are reached only through another node, whose
work and traffic that takes."""


class Nearness(enum.IntEnum):
    """Network distance of an endpoint from this node."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclasses.dataclass(frozen=True, slots=True)
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
    """

    id: ids.EndpointId
    nearness: Nearness
    slots: int
    running: int
    waiting_tokens: int
    cached_tokens: int
    prefill_tokens_per_s: float
    is_doubtful: bool
    is_leaving: bool = False
    is_relayed: bool = False
    order: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The chosen endpoint.

    :ivar first_token_s: estimated time to first token; 0 for plain
        requests
    """

    endpoint: ids.EndpointId
    first_token_s: float


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
    uncached_tokens = max(0, prompt_tokens - candidate.cached_tokens)
    prefill_s = (
        candidate.waiting_tokens + uncached_tokens
    ) / candidate.prefill_tokens_per_s
    excess_requests = max(0, candidate.running + 1 - candidate.slots)
    return prefill_s + STEP_S + excess_requests * SLOT_WAIT_S


def choose_engine(
    candidates: typing.Sequence[Candidate],
    prompt_tokens: int,
    parts: typing.Sequence[call.PromptPart],
    objective_s: float,
) -> Chosen | None:
    """The engine for a model request; None without candidates.

    :param parts: the parts of the prompt, in order
    :param objective_s: the route's objective for the first token
    """
    if not candidates:
        return None
    costs = {
        candidate.id: time_to_first_token_s(candidate, prompt_tokens)
        + _penalty_s(candidate)
        for candidate in candidates
    }
    best = min(candidates, key=lambda item: (costs[item.id], item.id))
    chosen = best
    key = affinity_key(parts)
    if key is not None:
        bound_s = costs[best.id] + AFFINITY_COST_SHARE * objective_s
        for candidate in rendezvous.ranked(key, candidates, _endpoint_id):
            if candidate.nearness is Nearness.OTHER_REGION:
                continue
            if costs[candidate.id] <= bound_s:
                chosen = candidate
                break
    return Chosen(chosen.id, time_to_first_token_s(chosen, prompt_tokens))


def choose_plain(candidates: typing.Sequence[Candidate]) -> Chosen | None:
    """The endpoint for a plain request; None without candidates."""
    if not candidates:
        return None
    best = min(
        candidates,
        key=lambda item: (
            item.running >= item.slots,
            item.is_leaving,
            item.is_doubtful,
            item.is_relayed,
            item.nearness is Nearness.OTHER_REGION,
            item.running / max(1, item.slots),
            item.order,
            item.nearness,
            item.id,
        ),
    )
    return Chosen(best.id, 0.0)


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
