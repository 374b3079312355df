"""Sums of the quota consumption and the load of one region's nodes."""

import typing

from guavachute import ids
from guavachute.wire import node_updates
from guavachute.wire import untrusted

ConsumptionByWorkspace = typing.Mapping[
    ids.WorkspaceName, tuple[float, float, float]
]
"""By workspace: the total, the rate per second and the level, as in
:class:`guavachute.decide.ingress.quota.Consumption`."""


class ConsumptionSums:
    """Totals of consumed quota by workspace.

    They decrease only by what was refunded, also when nodes start or end.
    """

    def __init__(self) -> None:
        self._last: dict[tuple[str, ids.WorkspaceName], float] = {}
        self._totals: dict[ids.WorkspaceName, float] = {}

    def record(
        self, source: str, spent: ConsumptionByWorkspace, is_no_older: bool
    ) -> None:
        """Record what a run of a node has admitted since its start.

        Of an older run, only what it admits after its first update is counted.

        :param source: the name of the run
        :param is_no_older: whether that run is no older than this one
        """
        for name, (total, _, _) in spent.items():
            if not untrusted.is_amount(total):
                continue
            first = 0.0 if is_no_older else total
            before = self._last.get((source, name), first)
            self._last[(source, name)] = total
            self._totals[name] = self._totals.get(name, 0.0) + total - before

    def sums(
        self,
        own: ConsumptionByWorkspace,
        others: typing.Iterable[ConsumptionByWorkspace],
    ) -> dict[ids.WorkspaceName, tuple[float, float, float]]:
        """By workspace: the total, the current rate and the level.

        :param own: this node's consumption, whose level is returned
        :param others: the consumption of each other node, from its update
        """
        per_s = {name: item[1] for name, item in own.items()}
        for spent in others:
            for name, (_, rate, _) in spent.items():
                if untrusted.is_amount(rate):
                    per_s[name] = per_s.get(name, 0.0) + rate
        return {
            name: (
                round(self._totals.get(name, 0.0), 1),
                round(per_s.get(name, 0.0), 1),
                level,
            )
            for name, (_, _, level) in own.items()
        }


def sum_load(
    loads: typing.Iterable[
        typing.Mapping[ids.ServiceName, node_updates.ServiceLoad]
    ],
) -> dict[ids.ServiceName, node_updates.ServiceLoad]:
    """The load by service, summed over several nodes."""
    totals: dict[ids.ServiceName, node_updates.ServiceLoad] = {}
    for load in loads:
        for service, item in load.items():
            before = totals.get(service, node_updates.ServiceLoad(0.0, 0.0))
            totals[service] = node_updates.ServiceLoad(
                before.prompt_tokens_per_s + item.prompt_tokens_per_s,
                before.output_tokens_per_s + item.output_tokens_per_s,
            )
    return totals


def sum_queued(
    demands: typing.Iterable[typing.Mapping[ids.WorkspaceName, float]],
) -> dict[ids.WorkspaceName, float]:
    """The demand for quotas that are short, summed over several nodes."""
    totals: dict[ids.WorkspaceName, float] = {}
    for demand in demands:
        for workspace, per_s in demand.items():
            if untrusted.is_amount(per_s):
                totals[workspace] = totals.get(workspace, 0.0) + per_s
    return totals
