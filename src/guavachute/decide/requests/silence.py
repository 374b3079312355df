"""Detects streams that make no progress, and checks idle connections.

A connection can stop delivering data permanently while new connections to
the same endpoint work. If nothing arrives for too long, the endpoint is
probed on a new connection. If the probe is answered, the old connection is
dead and the stream is resumed; if not, the endpoint is down. A call that
must not run twice can't be resumed and ends with an unknown outcome.
Pooled connections that were idle are probed or replaced before use.
"""

import dataclasses
import enum

FIRST_TOKEN_SILENCE_S = 5.0
"""The endpoint is probed if no data arrives for this long before the first
token. A long prompt takes seconds until its first token."""

SHORTEST_GAP_SILENCE_S = 1.0
GAP_SILENCE_RATIO = 20.0
"""After the first token the endpoint is probed if no data arrives for this
many expected gaps, but at least :data:`SHORTEST_GAP_SILENCE_S`."""

PROBE_LIMIT_S = 1.0
"""Timeout of a probe."""

ALIVE_EXTENSION_S = 1.0
"""If a probe finds that the attempt still waits or computes, the next one
is sent after this time."""

UNPROBED_USE_S = 2.0
"""A pooled connection is used without a probe for this long after data was
last received on it."""

REPLACE_AFTER_S = 30.0
"""A pooled connection that was idle for longer is replaced, not probed."""


class Action(enum.Enum):
    """What the owner of a stream does next."""

    WAIT = 'wait'
    PROBE = 'probe'
    RESUME = 'resume'
    """Close the connection; resume on a new one or at another endpoint."""

    END_UNKNOWN = 'end-unknown'
    """Close the connection and report an unknown outcome to the caller."""


class Probe(enum.Enum):
    """The result of a probe on a new connection."""

    ANSWERED = 'answered'
    """The endpoint works, so the old connection is dead."""

    BUSY = 'busy'
    """The endpoint works and the attempt still waits or computes there."""

    NO_ANSWER = 'no-answer'


class PooledAction(enum.Enum):
    """What to do with an idle pooled connection before it is used."""

    USE = 'use'
    PROBE = 'prove'
    """Probe it first."""

    REPLACE = 'replace'
    """Close it and open a new one."""


@dataclasses.dataclass(slots=True)
class Watch:
    """Watches the progress of one attempt.

    :ivar repeatable: whether the request may be sent again
    :ivar gap_s: the expected time between two tokens
    :ivar progress_s: when data last arrived or, before that, the start
    :ivar started: whether any data has arrived
    :ivar probing_since_s: when the current probe started, or None
    :ivar deadline_s: when the attempt ends in any case, or None
    """

    repeatable: bool
    gap_s: float
    progress_s: float
    started: bool = False
    probing_since_s: float | None = None
    deadline_s: float | None = None

    def record_progress(self, now_s: float) -> None:
        """Record that data of the answer arrived."""
        self.progress_s = now_s
        self.started = True
        self.probing_since_s = None

    def due_s(self) -> float:
        """Return the time of the next check if no data arrives before it."""
        if self.probing_since_s is not None:
            due_s = self.probing_since_s + PROBE_LIMIT_S
        else:
            due_s = self.progress_s + self._silence_limit_s()
        if self.deadline_s is not None:
            due_s = min(due_s, self.deadline_s)
        return due_s

    def check(self, now_s: float) -> Action:
        """Return what to do now; PROBE is returned once for each probe."""
        if self.deadline_s is not None and now_s >= self.deadline_s:
            return Action.END_UNKNOWN
        if now_s < self.due_s():
            return Action.WAIT
        if self.probing_since_s is not None:
            return self._end_action()
        self.probing_since_s = now_s
        return Action.PROBE

    def handle_probe(self, found: Probe, now_s: float) -> Action:
        """Return what to do after a probe; WAIT if data arrived meanwhile."""
        if self.probing_since_s is None:
            return Action.WAIT
        if found is Probe.BUSY:
            # There is no limit on how often an endpoint may answer BUSY,
            # but each extension needs another probe.
            limit_s = self._silence_limit_s()
            self.progress_s = now_s - limit_s + ALIVE_EXTENSION_S
            self.probing_since_s = None
            return Action.WAIT
        return self._end_action()

    def _silence_limit_s(self) -> float:
        if not self.started:
            return FIRST_TOKEN_SILENCE_S
        return max(SHORTEST_GAP_SILENCE_S, GAP_SILENCE_RATIO * self.gap_s)

    def _end_action(self) -> Action:
        return Action.RESUME if self.repeatable else Action.END_UNKNOWN


def choose_pooled_action(
    last_received_s: float, repeatable: bool, now_s: float
) -> PooledAction:
    """Decide whether a request may use an idle connection.

    :param last_received_s: when data was last received on it
    :param repeatable: False for a call that must not run twice, which may
        only use a connection that was idle for at most
        :data:`UNPROBED_USE_S`
    """
    idle_s = now_s - last_received_s
    if idle_s <= UNPROBED_USE_S:
        return PooledAction.USE
    if idle_s > REPLACE_AFTER_S:
        return PooledAction.REPLACE
    return PooledAction.PROBE if repeatable else PooledAction.REPLACE
