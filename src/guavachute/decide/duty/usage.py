"""Counts the requests that started in each usage window, by workspace.

Each node counts its own requests and sends the counts to the others. The
duty holder adds up the counts of all nodes after a window has ended,
with a delay in which the last updates about it arrive.
"""

import typing

from guavachute import ids

KEPT_WINDOWS = 8
"""Number of recent windows whose counts are sent, with the current one."""

SETTLE_MIN_S = 0.4
"""Shortest time from the end of a window until its counts can be
complete: requests are counted when the engine first answers, which takes
a moment."""

SETTLE_MAX_S = 4.0
"""Time from the end of a window until it is reported without the counts
of nodes that stopped sending updates during it."""

KEPT_DECISIONS = 6
"""Number of windows whose counts are kept in the duty's record."""

REMEMBERED_DECISIONS = 4 * KEPT_DECISIONS
"""Number of windows whose counts a process remembers."""

GONE_BEFORE_S = 2.0
"""A node whose last update came more than this before the start of a
window isn't waited for: it has most likely ended."""

Counts = dict[ids.WorkspaceName, int]


def window_at(true_time_s: float, window_s: float) -> int:
    """The number of the window that contains *true_time_s*."""
    return int(true_time_s // window_s)


class UsageMeter:
    """Counts the requests that start at this node."""

    def __init__(self) -> None:
        self._windows: dict[int, Counts] = {}

    def record_start(self, workspace: ids.WorkspaceName, window: int) -> None:
        """Record a request of *workspace* that started in *window*."""
        counts = self._windows.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1

    def recent(self, newest: int) -> dict[int, Counts]:
        """The counts of the recent windows; older ones are discarded.

        :param newest: the number of the current window
        """
        for window in [
            number
            for number in self._windows
            if number <= newest - KEPT_WINDOWS
        ]:
            del self._windows[window]
        return {number: dict(item) for number, item in self._windows.items()}


class UsageTotals:
    """Sums the counts of all nodes.

    For each source, the largest count reported for a window is kept, so
    updates may arrive repeatedly and in any order. Where there are many nodes,
    other regions report their sums, and some of their nodes may report to
    this one besides. A region's count is the larger one of both.
    """

    def __init__(self) -> None:
        self._regions: dict[int, dict[str, _RegionCounts]] = {}

    def merge(
        self,
        region: str,
        source: str,
        windows: typing.Mapping[int, Counts],
        newest: int,
    ) -> None:
        """Merge the counts that a node reports.

        :param region: the region of the node
        :param source: the run of the node
        :param newest: the number of the current window
        """
        for window, counts in self._kept(windows, newest):
            runs = self._region(window, region).runs
            _keep_largest(runs.setdefault(source, {}), counts)

    def merge_region(
        self, region: str, windows: typing.Mapping[int, Counts], newest: int
    ) -> None:
        """Merge the sums of a region, as one of its readers reports them."""
        for window, counts in self._kept(windows, newest):
            _keep_largest(self._region(window, region).sums, counts)

    def total(self, window: int) -> Counts:
        """The counts of *window*, summed over all regions."""
        return _add(
            item.total() for item in self._regions.get(window, {}).values()
        )

    def region_total(self, window: int, region: str) -> Counts:
        """The counts of *window* that the nodes of one region report."""
        found = self._regions.get(window, {}).get(region)
        return {} if found is None else found.total()

    def _kept(
        self, windows: typing.Mapping[int, Counts], newest: int
    ) -> list[tuple[int, Counts]]:
        """Those of *windows* that are kept; old ones are discarded."""
        oldest = newest - 2 * KEPT_WINDOWS
        for window in [item for item in self._regions if item <= oldest]:
            del self._regions[window]
        return [item for item in windows.items() if item[0] > oldest]

    def _region(self, window: int, region: str) -> '_RegionCounts':
        regions = self._regions.setdefault(window, {})
        return regions.setdefault(region, _RegionCounts())


class _RegionCounts:
    """The counts of one region in one window.

    :ivar runs: by run of a node
    :ivar sums: as the region's readers told them
    """

    def __init__(self) -> None:
        self.runs: dict[str, Counts] = {}
        self.sums: Counts = {}

    def total(self) -> Counts:
        totals = _add(self.runs.values())
        _keep_largest(totals, self.sums)
        return totals


def _keep_largest(known: Counts, counts: Counts) -> None:
    for name, count in counts.items():
        known[name] = max(count, known.get(name, 0))


def _add(items: typing.Iterable[Counts]) -> Counts:
    totals: Counts = {}
    for counts in items:
        for name, count in counts.items():
            totals[name] = totals.get(name, 0) + count
    return totals


def final_counts(
    recorded: typing.Mapping[int, Counts],
    complete: typing.Mapping[int, Counts],
) -> dict[int, Counts]:
    """The counts that the duty holder's next record contains.

    Counts that are in a record are final, so all holders report the same
    counts for a window.

    :param recorded: the counts in the latest record
    :param complete: the holder's own counts of complete windows
    """
    windows = {**complete, **recorded}
    newest = sorted(windows)[-KEPT_DECISIONS:]
    return {window: windows[window] for window in newest}


def merge_decisions(
    known: typing.Mapping[int, Counts], recorded: typing.Mapping[int, Counts]
) -> dict[int, Counts]:
    """The decided counts that a process remembers, also of lost records.

    :param known: the counts that it remembered before
    :param recorded: the counts in a record that it read
    """
    windows = {**known, **recorded}
    newest = sorted(windows)[-REMEMBERED_DECISIONS:]
    return {window: windows[window] for window in newest}


def due_windows(
    true_time_s: float,
    last_report_s: typing.Sequence[float],
    window_s: float,
    delay_s: float,
    first: int,
) -> list[int]:
    """The complete windows whose reports are not overdue yet.

    :param last_report_s: the time of day of each other node's latest
        update
    :param window_s: length of a window
    :param delay_s: the report is due this long after the window's end
    :param first: the first window to include
    """
    oldest = window_at(true_time_s - delay_s, window_s) - 1
    present = window_at(true_time_s, window_s)
    due = []
    for window in range(max(first, oldest), present):
        if not _is_complete(window, true_time_s, last_report_s, window_s):
            break
        due.append(window)
    return due


def _is_complete(
    window: int,
    true_time_s: float,
    last_report_s: typing.Sequence[float],
    window_s: float,
) -> bool:
    start_s, end_s = window * window_s, (window + 1) * window_s
    if true_time_s >= end_s + SETTLE_MAX_S:
        return True
    awaited_s = [
        at_s for at_s in last_report_s if at_s > start_s - GONE_BEFORE_S
    ]
    return min([true_time_s, *awaited_s]) >= end_s + SETTLE_MIN_S
