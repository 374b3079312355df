"""What callers ask for, in tokens/s, from the routers' sums.

Routers report requests that run or wait, and tokens served, by
workspace. Waiting requests show what was served too little, served
tokens show the prompts; each bounds what the other may claim, for a sum
jumps when a node joins or starts again.
"""

import collections
import dataclasses
import typing

from guavachute.decide.fleet import replacement_wave
from guavachute.document import schema
from guavachute import ids
from guavachute.wire import requests

MOST_TOKENS_PER_GAP = 4.0
"""Tokens a request may cost, prompt included, for each one that the
target would let it generate meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The sums at one time."""

    at_s: float
    sums: tuple[requests.DemandSum, ...]


Rates = dict[ids.WorkspaceName, float]


def rates(before: Sample, after: Sample, gap_s: float) -> Rates:
    """Tokens/s by workspace between two samples.

    :param gap_s: the target between two tokens of one answer
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
            rate = min(gained / elapsed_s, MOST_TOKENS_PER_GAP * generating)
            total[ids.WorkspaceName(workspace)] += max(rate, generating)
    return dict(total)


def by_model(
    document: schema.Document,
    offered: Rates,
    running: typing.Mapping[ids.ModelName, int],
) -> dict[ids.ModelName, float]:
    """The whole load, divided among the models.

    The routers' sums don't tell models apart, so that the requests which
    run on the engines of each decide; without any, all count alike.

    :param running: requests on the engines, by model
    """
    total = sum(offered.values())
    weights = {
        ids.ModelName(name): float(running.get(ids.ModelName(name), 0))
        for name in document.models
    }
    whole = sum(weights.values())
    if not whole:
        return {name: total / len(weights) for name in weights}
    return {name: total * each / whole for name, each in weights.items()}


def by_pool(
    document: schema.Document,
    offered: Rates,
    models: typing.Mapping[ids.ModelName, float],
) -> dict[ids.PoolName, tuple[replacement_wave.WorkspaceLoad, ...]]:
    """Each workspace's load on each pool, with its share."""
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
