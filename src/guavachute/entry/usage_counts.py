"""Requests that began to run, here and at the other nodes."""

from guavachute.decide.duty import usage
from guavachute.domain import site as domain_site
from guavachute.entry import peers as entry_peers
from guavachute import ids
from guavachute.wire import entry_news

TOLD_WINDOWS = 4
"""A node that was not heard for so many windows is not waited for."""


class UsageCounts:
    """Counts by window of true time, and what the other nodes told."""

    def __init__(
        self, site: domain_site.Site, peers: entry_peers.Peers
    ) -> None:
        self._site = site
        self._peers = peers
        self._meter = usage.UsageMeter()
        self._book = usage.UsageBook()

    def began(self, workspace: ids.WorkspaceName) -> None:
        """A request of *workspace* began to run now."""
        self._meter.began(workspace, self._window())

    def recent(self) -> dict[int, usage.Counts]:
        """This node's counts of the last windows, for the others."""
        return self._meter.recent(self._window())

    def take(self, news: entry_news.NodeNews) -> None:
        """Another node told its counts."""
        self._book.take(entry_peers.source(news), news.usage, self._window())

    def total(self, window: int) -> usage.Counts:
        """The requests that began in *window*, over all nodes."""
        newest = self._window()
        self._book.take(
            f'{self._site.node}/{self._peers.run}',
            self._meter.recent(newest),
            newest,
        )
        return self._book.total(window)

    def told_s(self) -> list[float]:
        """The time of day at which each other node told last."""
        offset_s = self._peers.true_offset_s()
        oldest_s = TOLD_WINDOWS * self._site.bounds.usage_window_s
        return [
            peer.heard_s + offset_s for peer in self._peers.heard(oldest_s)
        ]

    def _window(self) -> int:
        """The window of usage that the present moment is in."""
        return usage.window_at(
            self._peers.true_time_s(), self._site.bounds.usage_window_s
        )
