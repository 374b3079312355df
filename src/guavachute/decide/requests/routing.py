"""Chooses the endpoint of a request.

Among the endpoints that may take it and whose load is bounded, the one
that holds most of the prompt wins. A prompt that nobody holds goes to
the lighter of two endpoints given by a hash of its beginning, so that
several routers begin the same prefix at the same places without
talking to each other. The other region is used when this one has no
slot left, and then only as far as its link allows.
"""

import dataclasses
import math
import typing

from guavachute.decide.requests import load
from guavachute.decide.requests import subset
from guavachute import ids
from guavachute import outcome

LOAD_BOUND = 1.25
"""An endpoint may have this many times the mean load of the others."""

LOAD_SLACK = 2
"""Requests beyond the bound that are always allowed; matters when few run."""

AFFINITY_PLACES = 2
"""Endpoints among which a prompt that nobody holds may start."""

MINIMUM_MATCHED_BLOCKS = 1
RETRY_AFTER_S = 1.0

EVENT_BYTES = 320
"""A streamed token on the wire, with its event around it."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that serves the pool, as this router sees it.

    :ivar far: whether it is in the other region
    """

    endpoint: ids.EndpointId
    failure_domain: ids.FailureDomain
    slots: int
    load: load.Load
    far: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """What is to be placed.

    :ivar affinity: equal for prompts that begin alike, such as the first
        block's name; a prompt without a whole block gives its own hash
    :ivar held: leading blocks held, by endpoint
    :ivar region_bytes: what it would send over the link between regions
    """

    affinity: str
    held: typing.Mapping[ids.EndpointId, int]
    region_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    :ivar matched_blocks: leading blocks that are thought to be held
    :ivar region_bytes: what the link between the regions will carry
    """

    endpoint: ids.EndpointId
    matched_blocks: int
    region_bytes: int = 0


def region_bytes(prompt_bytes: int, expected_generated_tokens: int) -> int:
    """What a request sends over the link if it runs in the far region."""
    return prompt_bytes + expected_generated_tokens * EVENT_BYTES


def choose(
    want: Want,
    candidates: typing.Iterable[Candidate],
    excluded: typing.Container[ids.EndpointId] = frozenset(),
    link_bytes: float = 0.0,
) -> Choice | outcome.Failure:
    """The endpoint for *want*.

    :param excluded: leaving and ejected endpoints, those already tried,
        and for a suspect those that run another suspect
    :param link_bytes: what the link between the regions has left now
    """
    near: list[Candidate] = []
    far: list[Candidate] = []
    for candidate in candidates:
        if candidate.endpoint in excluded:
            continue
        if candidate.load.outstanding >= candidate.slots:
            continue
        (far if candidate.far else near).append(candidate)
    if near:
        return _among(want, near, 0)
    if far and want.region_bytes <= link_bytes:
        return _among(want, far, want.region_bytes)
    return outcome.Failure(
        outcome.Reason.NO_CAPACITY,
        'no endpoint has a free slot',
        RETRY_AFTER_S,
    )


def _among(want: Want, candidates: list[Candidate], link_bytes: int) -> Choice:
    loads = [candidate.load.outstanding for candidate in candidates]
    bound = math.ceil(LOAD_BOUND * (sum(loads) + 1) / len(loads)) + LOAD_SLACK
    best: Candidate | None = None
    best_key = (0, 0)
    for candidate, outstanding in zip(candidates, loads):
        blocks = want.held.get(candidate.endpoint, 0)
        if blocks < MINIMUM_MATCHED_BLOCKS or outstanding >= bound:
            continue
        key = (blocks, -outstanding)
        if best is None or key > best_key:
            best = candidate
            best_key = key
    if best is not None:
        return Choice(best.endpoint, best_key[0], link_bytes)
    light = [
        candidate
        for candidate, outstanding in zip(candidates, loads)
        if outstanding < bound
    ]
    chosen = _by_affinity(want.affinity, light or candidates)
    return Choice(chosen.endpoint, 0, link_bytes)


def _by_affinity(affinity: str, candidates: list[Candidate]) -> Candidate:
    """The lighter of the endpoints that rank highest with *affinity*."""
    ranked = sorted(
        candidates,
        key=lambda candidate: subset.rank(affinity, candidate.endpoint),
        reverse=True,
    )
    return min(
        ranked[:AFFINITY_PLACES],
        key=lambda candidate: candidate.load.outstanding,
    )
