"""Schedules weight fetches from the rate-limited weight store.

An engine fetches weights as soon as it is ordered to load a model, so
fetches are limited by delaying orders. Many concurrent fetches would all
end late; therefore only few run at once. The next fetch is for the model
with the largest unmet part of its load, counting fetches under way. The
urgency of a fetch grows while it waits.
"""

import dataclasses

from guavachute import ids

AGEING_S = 600.0
"""Waiting this long adds as much urgency as an entirely unmet load."""
SLOWEST_FETCH_S = 120.0
"""Concurrent fetches are limited so that each ends within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A fetch of one model by one engine.

    :ivar since_s: when it was requested
    """

    endpoint: ids.EndpointId
    model: ids.ModelName
    version: str
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ModelNeed:
    """The load of one model and how much of it is served.

    :ivar weight: sum of the shares of the workspaces that use the model
    :ivar required_tokens_per_s: the load to serve
    :ivar loaded_tokens_per_s: served by engines that have it loaded
    """

    model: ids.ModelName
    weight: float
    required_tokens_per_s: float
    loaded_tokens_per_s: float
    tokens_per_s_per_endpoint: float
    weights_bytes: int


def slots(store_bytes_per_s: float, needs: list[ModelNeed], limit: int) -> int:
    """How many fetches may run at once: at least one, at most *limit*.

    :param store_bytes_per_s: read rate of the weight store
    """
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
    """The fetches in *waiting* that may start now, the most urgent first.

    Fetches of models that are not in *needs* are left out.
    """
    by_model = {need.model: need for need in needs}
    coming = {
        need.model: need.loaded_tokens_per_s
        + need.tokens_per_s_per_endpoint
        * sum(fetch.model == need.model for fetch in running)
        for need in needs
    }
    remaining = [fetch for fetch in waiting if fetch.model in by_model]
    granted: list[Fetch] = []
    while remaining and len(running) + len(granted) < slots_count:
        best = max(
            remaining,
            key=lambda fetch: (
                _urgency(
                    by_model[fetch.model], coming[fetch.model], fetch, now_s
                ),
                -fetch.since_s,
                fetch.endpoint,
            ),
        )
        remaining.remove(best)
        granted.append(best)
        need = by_model[best.model]
        coming[best.model] += need.tokens_per_s_per_endpoint
    return granted


def _urgency(
    need: ModelNeed, coming_tokens_per_s: float, fetch: Fetch, now_s: float
) -> float:
    required = max(1e-9, need.required_tokens_per_s)
    unmet = max(0.0, 1 - coming_tokens_per_s / required)
    waited = max(0.0, now_s - fetch.since_s) / AGEING_S
    return need.weight * (unmet + waited)
