"""Which endpoint gets a request.

Plain services: the least occupied endpoint, near ones first. Model
engines: the estimate of when the first token comes decides. Requests
that share a prompt are drawn to the same engine by rendezvous hashing
over the last part that others may share; the drawn-to engine is taken
as long as it costs little against the best one.
"""

import dataclasses
import enum
import typing

from guavachute.decide import rendezvous
from guavachute.domain import call
from guavachute import ids

DEFAULT_PREFILL_TOKENS_PER_S = 50_000.0
"""Assumed of an engine that has not been measured."""

STEP_S = 0.006
"""Assumed time of one step of a batch, in which every running request
gets a token, and a queued one may begin."""

SLOT_WAIT_S = 0.08
"""Assumed time until one of an engine's full slots is free."""

AFFINITY_COST_SHARE = 0.35
"""Part of the objective that may be spent to reach the engine that
holds the prompt."""

ELSEWHERE_PENALTY_S = 0.2
"""What an endpoint in another region must be better by: its bytes cross
the narrow link, and its prompts are held there once more."""

DOUBTFUL_PENALTY_S = 1.0
LEAVING_PENALTY_S = 0.5


class Nearness(enum.IntEnum):
    """How far an endpoint is from this node."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    ELSEWHERE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may be used, with what is known of its load.

    :ivar running: requests there, this node's and the others'
    :ivar waiting_tokens: prompt tokens that are still to be read
    :ivar is_leaving: whether it will end soon; what runs there then has
        to be moved
    :ivar cached_tokens: of this request's prompt, believed to be held
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


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The endpoint to send to, and when its first token is expected."""

    endpoint: ids.EndpointId
    first_token_s: float


def affinity_key(parts: typing.Sequence[call.PromptPart]) -> str | None:
    """What draws requests with a common prompt to one engine."""
    if len(parts) >= 2:
        return parts[-2].id
    return parts[0].id if parts else None


def time_to_first_token_s(candidate: Candidate, prompt_tokens: int) -> float:
    """When the first token of a request would come from *candidate*."""
    to_read = max(0, prompt_tokens - candidate.cached_tokens)
    reading_s = (
        candidate.waiting_tokens + to_read
    ) / candidate.prefill_tokens_per_s
    full = max(0, candidate.running + 1 - candidate.slots)
    return reading_s + STEP_S + full * SLOT_WAIT_S


def choose_engine(
    candidates: typing.Sequence[Candidate],
    prompt_tokens: int,
    parts: typing.Sequence[call.PromptPart],
    objective_s: float,
) -> Chosen | None:
    """The engine for a request with a prompt; None if there is none."""
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
            if candidate.nearness is Nearness.ELSEWHERE:
                continue
            if costs[candidate.id] <= bound_s:
                chosen = candidate
                break
    return Chosen(chosen.id, time_to_first_token_s(chosen, prompt_tokens))


def choose_plain(candidates: typing.Sequence[Candidate]) -> Chosen | None:
    """The endpoint for a plain request; None if there is none."""
    if not candidates:
        return None
    best = min(
        candidates,
        key=lambda item: (
            item.running >= item.slots,
            item.is_leaving,
            item.is_doubtful,
            item.nearness is Nearness.ELSEWHERE,
            item.running / max(1, item.slots),
            item.nearness,
            item.id,
        ),
    )
    return Chosen(best.id, 0.0)


def _penalty_s(candidate: Candidate) -> float:
    penalty_s = 0.0
    if candidate.nearness is Nearness.ELSEWHERE:
        penalty_s += ELSEWHERE_PENALTY_S
    if candidate.is_doubtful:
        penalty_s += DOUBTFUL_PENALTY_S
    if candidate.is_leaving:
        penalty_s += LEAVING_PENALTY_S
    return penalty_s


def _endpoint_id(candidate: Candidate) -> str:
    return candidate.id
