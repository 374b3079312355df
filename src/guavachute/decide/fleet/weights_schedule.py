"""Who may fetch weights now: the rate-limited store shared by need.

An engine fetches as soon as it is ordered to load, so the system decides
by holding orders back. A fetch that shares the store with many others
ends late for all of them, so that few run at once and end soon. The next
one goes to the model that lacks most of its load, counting what is being
fetched already; a fetch that waited long gains on the others.
"""

import dataclasses

from guavachute import ids

AGEING_S = 600.0
"""A fetch that waited so long counts as if its whole load were unmet."""
SLOWEST_FETCH_S = 120.0
"""So many fetches run at once that each ends within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """One engine that has to fetch one model."""

    endpoint: ids.EndpointId
    model: ids.ModelName
    version: str
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ModelNeed:
    """What one model lacks.

    :ivar weight: the share-weighted importance of its callers
    :ivar loaded_tokens_per_s: of engines that serve it now
    """

    model: ids.ModelName
    weight: float
    wanted_tokens_per_s: float
    loaded_tokens_per_s: float
    tokens_per_s_per_endpoint: float
    weights_bytes: int


def slots(store_bytes_per_s: float, needs: list[ModelNeed], limit: int) -> int:
    """How many fetches may run at once, at least one."""
    largest = max((need.weights_bytes for need in needs), default=1)
    together = store_bytes_per_s * SLOWEST_FETCH_S / max(1, largest)
    return max(1, min(limit, int(together)))


def grant(
    waiting: list[Fetch],
    running: list[Fetch],
    needs: list[ModelNeed],
    slots_count: int,
    now_s: float,
) -> list[Fetch]:
    """The fetches that may start now, the most needed first."""
    by_model = {need.model: need for need in needs}
    coming = {
        need.model: need.loaded_tokens_per_s
        + need.tokens_per_s_per_endpoint
        * sum(fetch.model == need.model for fetch in running)
        for need in needs
    }
    left = [fetch for fetch in waiting if fetch.model in by_model]
    granted: list[Fetch] = []
    while left and len(running) + len(granted) < slots_count:
        best = max(
            left,
            key=lambda fetch: (
                _urgency(
                    by_model[fetch.model], coming[fetch.model], fetch, now_s
                ),
                -fetch.since_s,
                fetch.endpoint,
            ),
        )
        left.remove(best)
        granted.append(best)
        need = by_model[best.model]
        coming[best.model] += need.tokens_per_s_per_endpoint
    return granted


def _urgency(
    need: ModelNeed, coming_tokens_per_s: float, fetch: Fetch, now_s: float
) -> float:
    wanted = max(1e-9, need.wanted_tokens_per_s)
    lacking = max(0.0, 1 - coming_tokens_per_s / wanted)
    waited = max(0.0, now_s - fetch.since_s) / AGEING_S
    return need.weight * (lacking + waited)
