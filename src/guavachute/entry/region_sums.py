"""What the nodes of one region spend and are asked for, added up."""

import typing

from guavachute import ids
from guavachute.wire import entry_news

Spent = typing.Mapping[ids.WorkspaceName, tuple[float, float, float]]


class SpendingSums:
    """Totals that only grow, over runs of nodes that come and go."""

    def __init__(self) -> None:
        self._last: dict[tuple[str, ids.WorkspaceName], float] = {}
        self._totals: dict[ids.WorkspaceName, float] = {}

    def take(self, source: str, spent: Spent, began_with_this: bool) -> None:
        """A run of a node told what it has admitted since its start.

        What an older run admitted before it was first heard is not
        counted.

        :param began_with_this: whether that run is no older than this one
        """
        for name, (total, _, _) in spent.items():
            first = 0.0 if began_with_this else total
            before = self._last.get((source, name), first)
            self._last[(source, name)] = total
            self._totals[name] = self._totals.get(name, 0.0) + max(
                0.0, total - before
            )

    def sums(
        self, own: Spent, others: typing.Iterable[Spent]
    ) -> dict[ids.WorkspaceName, tuple[float, float, float]]:
        """By workspace: the total, the present rate and the level.

        :param own: this node's spending; the level is as it sees it
        :param others: the latest news of each other node
        """
        per_s = {name: item[1] for name, item in own.items()}
        for spent in others:
            for name, (_, rate, _) in spent.items():
                per_s[name] = per_s.get(name, 0.0) + rate
        return {
            name: (
                round(self._totals.get(name, 0.0), 1),
                round(per_s.get(name, 0.0), 1),
                level,
            )
            for name, (_, _, level) in own.items()
        }


def added_load(
    loads: typing.Iterable[
        typing.Mapping[ids.ServiceName, entry_news.LoadNews]
    ],
) -> dict[ids.ServiceName, entry_news.LoadNews]:
    """What callers ask of each service, over several nodes."""
    totals: dict[ids.ServiceName, entry_news.LoadNews] = {}
    for load in loads:
        for service, item in load.items():
            before = totals.get(service, entry_news.LoadNews(0.0, 0.0))
            totals[service] = entry_news.LoadNews(
                before.prompt_tokens_per_s + item.prompt_tokens_per_s,
                before.output_tokens_per_s + item.output_tokens_per_s,
            )
    return totals
