"""Whether a server stops, and which requests it still begins."""

import typing

from guavachute.decide.ingress import stop_admission
from guavachute.entry import loop as entry_loop
from guavachute import outcome

RETRY_AFTER_S = 0.05
"""Retry-After of requests that a stopping process does not begin: other nodes
serve them at once."""


class StopState:
    """The stop of one server; not begun at first.

    :param grace_s: time from the signal to the kill
    :ivar durations: how long requests take, by kind
    """

    def __init__(self, loop: entry_loop.Loop, grace_s: float) -> None:
        self._loop = loop
        self._grace_s = grace_s
        self._since_s: float | None = None
        self.durations = stop_admission.Durations()

    def begin(self) -> None:
        """Begin requests for a while, then refuse them."""
        self._since_s = self._loop.now_s

    @property
    def has_begun(self) -> bool:
        """Whether connections are closed after their current answer."""
        return self._since_s is not None

    @property
    def admits(self) -> bool:
        """Whether any new requests are begun."""
        return self._since_s is None or stop_admission.admits(
            self._loop.now_s - self._since_s, self._grace_s
        )

    def refusal(self, kind: typing.Hashable) -> outcome.Failure | None:
        """Why no request of *kind* is begun; None if it is."""
        if self._since_s is None or stop_admission.may_begin(
            self._loop.now_s - self._since_s,
            self._grace_s,
            self.durations.usual_s(kind),
        ):
            return None
        return outcome.Failure(
            outcome.Reason.DRAINING, 'this node is stopping', RETRY_AFTER_S
        )
