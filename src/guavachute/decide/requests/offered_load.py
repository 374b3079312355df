"""Estimates the offered load in tokens/s from the routers' demand sums.

Routers report, by workspace, how many requests run or wait and how many
tokens were served. Waiting requests show demand that was not served;
served tokens include the prompts. The estimate bounds each figure by the
other, because a sum jumps when a node joins or restarts.
"""

import collections
import dataclasses
import typing

from guavachute.decide.fleet import replacement_wave
from guavachute.document import schema
from guavachute import ids
from guavachute.wire import requests

MAXIMUM_TOKENS_PER_GAP = 4.0
"""Upper bound on the rate of served tokens, prompts included, as a multiple
of the rate at which the running and waiting requests would generate tokens
at the target gap."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The demand sums at one time."""

    at_s: float
    sums: tuple[requests.DemandSum, ...]


Rates = dict[ids.WorkspaceName, float]
"""Tokens/s by workspace."""


def rates(before: Sample, after: Sample, gap_s: float) -> Rates:
    """Return the offered tokens/s by workspace between two samples.

    :param gap_s: the target time between two tokens of one answer
    """
    served = {each.source: each.served_tokens for each in before.sums}
    elapsed_s = max(1e-3, after.at_s - before.at_s)
    total: dict[ids.WorkspaceName, float] = collections.defaultdict(float)
    for each in after.sums:
        earlier = served.get(each.source, each.served_tokens)
        for workspace, count in each.demand.items():
            tokens = each.served_tokens.get(workspace, 0.0)
            gained = tokens - earlier.get(workspace, 0.0)
            generating = count / gap_s
            rate = min(gained / elapsed_s, MAXIMUM_TOKENS_PER_GAP * generating)
            total[ids.WorkspaceName(workspace)] += max(rate, generating)
    return dict(total)


def by_model(
    document: schema.Document,
    offered: Rates,
    running: typing.Mapping[ids.ModelName, int],
) -> dict[ids.ModelName, float]:
    """Divide the total offered load among the models, in tokens/s.

    The routers' sums do not distinguish models, so the load is divided in
    proportion to the requests running on each model's engines, or equally
    if none run.

    :param running: requests running on the engines, by model
    """
    total = sum(offered.values())
    weights = {
        ids.ModelName(name): float(running.get(ids.ModelName(name), 0))
        for name in document.models
    }
    total_weight = sum(weights.values())
    if not total_weight:
        return {name: total / len(weights) for name in weights}
    return {
        name: total * each / total_weight for name, each in weights.items()
    }


def by_pool(
    document: schema.Document,
    offered: Rates,
    models: typing.Mapping[ids.ModelName, float],
) -> dict[ids.PoolName, tuple[replacement_wave.WorkspaceLoad, ...]]:
    """Return the load and share of each workspace, by pool.

    Each workspace's load is divided among the pools in proportion to the
    load of the pools' models.

    :param models: offered tokens/s by model, from :func:`by_model`
    """
    total = sum(models.values())
    pools: dict[ids.PoolName, float] = collections.defaultdict(float)
    for name, tokens_per_s in models.items():
        pool = ids.PoolName(document.models[name].pool)
        pools[pool] += tokens_per_s / total if total else 0.0
    return {
        pool: tuple(
            replacement_wave.WorkspaceLoad(
                workspace,
                document.workspaces[workspace].share,
                tokens_per_s * part,
            )
            for workspace, tokens_per_s in sorted(offered.items())
            if workspace in document.workspaces
        )
        for pool, part in pools.items()
    }
