"""Chooses the endpoint of a request, with prefix affinity.

Among the eligible endpoints whose load is within a bound, the one that
has cached most of the prompt is chosen. A prompt that no endpoint has
cached goes to the less loaded of two endpoints that a hash of the
prompt's beginning selects. Different routers thus start the same prefix
at the same endpoints without exchanging messages. Endpoints of the other
region are used only if no local endpoint has a free slot, and only within
the bytes that the link between the regions has left.
"""

import dataclasses
import math
import typing

from guavachute.decide.requests import load
from guavachute.decide.requests import subset
from guavachute import ids
from guavachute import outcome

LOAD_BOUND = 1.25
"""An endpoint may have this many times the mean load of the candidates."""

LOAD_SLACK = 2
"""Requests that are allowed beyond the bound, which matters at low load."""

AFFINITY_CANDIDATES = 2
"""How many endpoints a prompt that no endpoint has cached may start at."""

MINIMUM_MATCHED_BLOCKS = 1
RETRY_AFTER_S = 1.0

EVENT_BYTES = 320
"""Assumed size of a streamed token with the event that carries it."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint of the pool and its load as this router estimates it.

    :ivar slots: how many requests it may have at once
    :ivar remote: whether it is in the other region
    """

    endpoint: ids.EndpointId
    failure_domain: ids.FailureDomain
    slots: int
    load: load.Load
    remote: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request for which an endpoint is chosen.

    :ivar affinity: a key that is equal for prompts with the same
        beginning, such as the hash of the first block. For a prompt
        without a full block it is the prompt's own hash
    :ivar held: leading blocks of the prompt cached, by endpoint
    :ivar region_bytes: bytes that the link between the regions would
        carry if the request ran in the other region
    """

    affinity: str
    held: typing.Mapping[ids.EndpointId, int]
    region_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint chosen for a request.

    :ivar matched_blocks: leading blocks that it is expected to have cached
    :ivar region_bytes: bytes that the link between the regions will
        carry; 0 for a local endpoint
    """

    endpoint: ids.EndpointId
    matched_blocks: int
    region_bytes: int = 0


def region_bytes(prompt_bytes: int, expected_generated_tokens: int) -> int:
    """Return the bytes that a request in the remote region transfers."""
    return prompt_bytes + expected_generated_tokens * EVENT_BYTES


def choose(
    request: PlacementRequest,
    candidates: typing.Iterable[Candidate],
    excluded: typing.Container[ids.EndpointId] = frozenset(),
    link_bytes: float = 0.0,
) -> Choice | outcome.Failure:
    """Choose the endpoint for *request*.

    Returns a ``NO_CAPACITY`` failure if no eligible endpoint has a free
    slot, or only remote ones have and the link has too few bytes left.

    :param excluded: endpoints that are leaving or ejected or were already
        tried; for a suspect also those that run another suspect
    :param link_bytes: bytes that the link between the regions has left
    """
    local_candidates: list[Candidate] = []
    remote_candidates: list[Candidate] = []
    for candidate in candidates:
        if candidate.endpoint in excluded:
            continue
        if candidate.load.outstanding >= candidate.slots:
            continue
        (remote_candidates if candidate.remote else local_candidates).append(
            candidate
        )
    if local_candidates:
        return _choose_among(request, local_candidates, 0)
    if remote_candidates and request.region_bytes <= link_bytes:
        return _choose_among(request, remote_candidates, request.region_bytes)
    return outcome.Failure(
        outcome.Reason.NO_CAPACITY,
        'no endpoint has a free slot',
        RETRY_AFTER_S,
    )


def _choose_among(
    request: PlacementRequest, candidates: list[Candidate], link_bytes: int
) -> Choice:
    loads = [candidate.load.outstanding for candidate in candidates]
    bound = math.ceil(LOAD_BOUND * (sum(loads) + 1) / len(loads)) + LOAD_SLACK
    best: Candidate | None = None
    best_key = (0, 0)
    for candidate, outstanding in zip(candidates, loads):
        blocks = request.held.get(candidate.endpoint, 0)
        if blocks < MINIMUM_MATCHED_BLOCKS or outstanding >= bound:
            continue
        key = (blocks, -outstanding)
        if best is None or key > best_key:
            best = candidate
            best_key = key
    if best is not None:
        return Choice(best.endpoint, best_key[0], link_bytes)
    lightly_loaded = [
        candidate
        for candidate, outstanding in zip(candidates, loads)
        if outstanding < bound
    ]
    chosen = _by_affinity(request.affinity, lightly_loaded or candidates)
    return Choice(chosen.endpoint, 0, link_bytes)


def _by_affinity(affinity: str, candidates: list[Candidate]) -> Candidate:
    """Return the less loaded of the endpoints ranked highest by *affinity*."""
    ranked = sorted(
        candidates,
        key=lambda candidate: subset.rank(affinity, candidate.endpoint),
        reverse=True,
    )
    return min(
        ranked[:AFFINITY_CANDIDATES],
        key=lambda candidate: candidate.load.outstanding,
    )
