"""Requests that began in each window of usage, by workspace.

Each node counts its own and tells the others; the holder of the duty
adds up what it has from every node, once a window has been over for
long enough that the last news of it came.
"""

import typing

from guavachute import ids

KEPT_WINDOWS = 8
"""Windows that are counted and told at a time, the present one last."""

SETTLE_MIN_S = 0.4
"""From the end of a window until its counts may be complete: requests
are counted at the engine's first answer, which takes a moment to come."""

SETTLE_MAX_S = 4.0
"""From the end of a window until it is reported without the counts of
nodes that fell silent during it."""

KEPT_DECISIONS = 6
"""Windows whose counts stay in the record of the duty."""

GONE_BEFORE_S = 2.0
"""A node that fell silent this long before a window began is not waited
for: it has most likely ended."""

Counts = dict[ids.WorkspaceName, int]


def window_at(true_time_s: float, window_s: float) -> int:
    """The number of the window that holds *true_time_s*."""
    return int(true_time_s // window_s)


class UsageMeter:
    """The counts of one node."""

    def __init__(self) -> None:
        self._windows: dict[int, Counts] = {}

    def began(self, workspace: ids.WorkspaceName, window: int) -> None:
        """A request of *workspace* began to run in *window*."""
        counts = self._windows.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1

    def recent(self, newest: int) -> dict[int, Counts]:
        """The counts of the windows that are still told."""
        for window in [
            number
            for number in self._windows
            if number <= newest - KEPT_WINDOWS
        ]:
            del self._windows[window]
        return {number: dict(item) for number, item in self._windows.items()}


class UsageBook:
    """What each node counted, as it told it; a count only grows."""

    def __init__(self) -> None:
        self._reported: dict[int, dict[str, Counts]] = {}

    def take(
        self, source: str, windows: typing.Mapping[int, Counts], newest: int
    ) -> None:
        """Take in the counts of one run of one node."""
        for window, counts in windows.items():
            if window > newest - 2 * KEPT_WINDOWS:
                of_source = self._reported.setdefault(window, {}).setdefault(
                    source, {}
                )
                for name, count in counts.items():
                    of_source[name] = max(count, of_source.get(name, 0))
        for window in [
            number
            for number in self._reported
            if number <= newest - 2 * KEPT_WINDOWS
        ]:
            del self._reported[window]

    def total(
        self, window: int, without: typing.Container[str] = ()
    ) -> Counts:
        """The sum over all that told of *window* but those left out."""
        totals: Counts = {}
        for source, counts in self._reported.get(window, {}).items():
            if source in without:
                continue
            for name, count in counts.items():
                totals[name] = totals.get(name, 0) + count
        return totals


def decided(
    before: typing.Mapping[int, Counts], found: typing.Mapping[int, Counts]
) -> dict[int, Counts]:
    """What a holder's next record says is to be reported.

    What was decided before stays as it is, so that every holder reports
    the same of a window.

    :param before: what the newest record says
    :param found: the holder's own counts of windows that are complete
    """
    windows = {**found, **before}
    newest = sorted(windows)[-KEPT_DECISIONS:]
    return {window: windows[window] for window in newest}


def due_windows(
    true_time_s: float,
    last_report_s: typing.Sequence[float],
    window_s: float,
    delay_s: float,
    first: int,
) -> list[int]:
    """The windows that are complete and whose reports are not late.

    :param told_s: the time of day at which each other node told last
    :param first: the first window that is wanted
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
