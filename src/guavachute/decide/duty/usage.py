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

SETTLE_MAX_S = 6.0
"""From the end of a window until it is reported without the counts of
nodes that have fallen silent."""

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
        self._told: dict[int, dict[str, Counts]] = {}

    def take(
        self, source: str, windows: typing.Mapping[int, Counts], newest: int
    ) -> None:
        """Take in the counts of one run of one node."""
        for window, counts in windows.items():
            if window > newest - 2 * KEPT_WINDOWS:
                of_source = self._told.setdefault(window, {}).setdefault(
                    source, {}
                )
                for name, count in counts.items():
                    of_source[name] = max(count, of_source.get(name, 0))
        for window in [
            number
            for number in self._told
            if number <= newest - 2 * KEPT_WINDOWS
        ]:
            del self._told[window]

    def total(self, window: int) -> Counts:
        """The sum over all nodes that told of *window*."""
        totals: Counts = {}
        for counts in self._told.get(window, {}).values():
            for name, count in counts.items():
                totals[name] = totals.get(name, 0) + count
        return totals


def due_windows(
    true_time_s: float,
    all_told_s: float,
    window_s: float,
    delay_s: float,
    first: int,
) -> range:
    """The windows that are complete and whose reports are not late.

    :param all_told_s: every other node has told of its counts after this
        time of day
    :param first: the first window that is wanted
    """
    complete_s = max(
        true_time_s - SETTLE_MAX_S,
        min(true_time_s, all_told_s) - SETTLE_MIN_S,
    )
    settled = window_at(complete_s, window_s)
    oldest = window_at(true_time_s - delay_s, window_s) - 1
    return range(max(first, oldest), settled)
