"""Carries out a planned stop: from the signal to the end of the process."""

import typing

from guavachute.decide.ingress import stop_admission
from guavachute.entry import loop as entry_loop
from guavachute.observe import journal

FIRST_CHECK_S = 0.4
CHECK_PERIOD_S = 0.1

EARLIEST_S = 3.2
"""Minimum time that a stopping node waits for callers that still have its
address. After that it accepts no connections, whatever the grace period."""

MARGIN_S = 0.5
"""The process ends this long before the grace period does, when it would be
killed."""


RECENT_USE_S = 0.5
"""Once no connections are accepted, idle ones are closed, but not one that was
used or opened this recently: its caller may have sent the next request. The
process doesn't end before that time has passed either."""


class Connections(typing.Protocol):
    """The connections of the callers that a stop waits for."""

    @property
    def open_requests(self) -> int:
        """The number of requests that are not completely answered."""

    def stop_accepting(self) -> None:
        """Have the operating system refuse new connections."""

    def close_idle(self, unused_for_s: float = 0.0) -> None:
        """Close the connections that have had no request for so long."""


class StopSequence:
    """Ends the loop when no request is open, or just before the kill.

    :param grace_s: time from the signal to the kill
    """

    def __init__(
        self, loop: entry_loop.Loop, connections: Connections, grace_s: float
    ) -> None:
        self._loop = loop
        self._connections = connections
        self._grace_s = grace_s
        self._since_s: float | None = None
        self._refuses_since_s: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the node has been told to stop."""
        return self._since_s is not None

    def begin(self) -> None:
        """Start to wait for the callers."""
        self._since_s = self._loop.now_s
        journal.event(
            'stop',
            outcome='begun',
            open_requests=self._connections.open_requests,
        )
        self._loop.call_after(FIRST_CHECK_S, self._check)

    def _check(self) -> None:
        assert self._since_s is not None
        now_s = self._loop.now_s
        waited_s = now_s - self._since_s
        if waited_s >= EARLIEST_S or not stop_admission.admits(
            waited_s, self._grace_s
        ):
            if self._refuses_since_s is None:
                self._refuses_since_s = now_s
                self._connections.stop_accepting()
            self._connections.close_idle(RECENT_USE_S)
        is_done = (
            waited_s >= EARLIEST_S
            and self._refuses_since_s is not None
            and now_s - self._refuses_since_s >= RECENT_USE_S
            and not self._connections.open_requests
        )
        if is_done or waited_s >= self._grace_s - MARGIN_S:
            journal.event(
                'stop',
                outcome='done',
                open_requests=self._connections.open_requests,
                waited_s=round(waited_s, 3),
            )
            self._loop.stop()
            return
        self._loop.call_after(CHECK_PERIOD_S, self._check)
