"""Counts requests that started to run, here and at the other nodes."""

from guavachute.decide.duty import usage
from guavachute.domain import site as domain_site
from guavachute.entry import peer_table
from guavachute.entry import peers as entry_peers
from guavachute import ids
from guavachute.wire import node_updates

REPORTED_WINDOWS = 4
"""The newest windows that are sent. A node from which no update came for this
many windows is not waited for."""


class UsageCounts:
    """Counts by workspace and window of the agreed time.

    A window is a period of the agreed time of day, by its number.
    """

    def __init__(
        self, site: domain_site.Site, peers: entry_peers.Peers
    ) -> None:
        self._site = site
        self._peers = peers
        self._meter = usage.UsageMeter()
        self._totals = usage.UsageTotals()

    def record_run(self, workspace: ids.WorkspaceName) -> None:
        """Count a request of *workspace* that starts to run now."""
        self._meter.record_start(workspace, self._window())

    def recent(self) -> dict[int, usage.Counts]:
        """This node's counts of the latest windows, for the other nodes."""
        return self._meter.recent(self._window())

    def merge_node_update(self, update: node_updates.NodeUpdate) -> None:
        """Merge the counts of another node's update."""
        if update.usage:
            self._totals.merge(
                update.region,
                peer_table.source(update),
                update.usage,
                self._window(),
            )

    def merge_region_update(self, update: node_updates.RegionUpdate) -> None:
        """Merge the counts of another region, summed up by a reader of it.

        All of its readers count the same requests, so they are one source.
        """
        self._totals.merge_region(update.region, update.usage, self._window())

    def total(self, window: int) -> usage.Counts:
        """The requests of all nodes that started in *window*, by workspace."""
        self._merge_own()
        return self._totals.total(window)

    def region_totals(self) -> dict[int, usage.Counts]:
        """The latest windows' counts, over the nodes of this node's region."""
        self._merge_own()
        newest = self._window()
        region = self._site.region
        totals = {
            window: self._totals.region_total(window, region)
            for window in range(newest - REPORTED_WINDOWS + 1, newest + 1)
        }
        return {window: total for window, total in totals.items() if total}

    def last_update_times_s(self) -> list[float]:
        """The Unix time of the latest update of each other node."""
        offset_s = self._peers.table.true_offset_s()
        times_s = [at_s + offset_s for at_s in self.local_update_times_s()]
        for update, received_s in self._peers.table.region_updates():
            times_s += [
                received_s + offset_s - ago / 10
                for ago in update.update_ages_ds
            ]
        return times_s

    def local_update_times_s(self) -> list[float]:
        """The loop time of the latest update of each active node."""
        oldest_s = REPORTED_WINDOWS * self._site.bounds.usage_window_s
        return [
            peer.last_update_s
            for peer in self._peers.table.active_peers(oldest_s)
        ]

    def _merge_own(self) -> None:
        newest = self._window()
        self._totals.merge(
            self._site.region,
            f'{self._site.node}/{self._peers.run}',
            self._meter.recent(newest),
            newest,
        )

    def _window(self) -> int:
        """The number of the current window."""
        return usage.window_at(
            self._peers.table.true_time_s(), self._site.bounds.usage_window_s
        )
