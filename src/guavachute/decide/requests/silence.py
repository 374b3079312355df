"""What to do about a connection on which nothing happens.

A connection can go silent for good while new ones work. So silence
beyond a bound is probed on a new connection: if that answers, the old
one is dead and the stream is resumed; if not, the endpoint is down. A
call that must not run twice can't be resumed: it ends as unknown.
Connections that were idle in the pool are proven or replaced before
use.
"""

import dataclasses
import enum

FIRST_TOKEN_SILENCE_S = 5.0
"""A long prompt takes seconds before its first token."""

SHORTEST_GAP_SILENCE_S = 1.0
GAP_SILENCE_RATIO = 20.0
"""Silence after this many expected gaps is probed."""

PROBE_LIMIT_S = 1.0
"""A probe without an answer counts as no answer after this."""

ALIVE_EXTENSION_S = 1.0
"""An endpoint that answers and still owns the stream gets this longer."""

PROVEN_S = 2.0
"""A pooled connection is used without proof so long after its last use."""

REPLACE_S = 30.0
"""A pooled connection that was idle longer isn't worth a proof."""


class Act(enum.Enum):
    """What the owner of a stream is to do now."""

    WAIT = 'wait'
    PROBE = 'probe'
    RESUME = 'resume'
    """Close this connection; go on over a new one, or elsewhere."""

    END_UNKNOWN = 'end-unknown'
    """Close it and tell the caller that the outcome is unknown."""


class Probe(enum.Enum):
    """What a probe on a new connection found."""

    ANSWERED = 'answered'
    """The endpoint works, so the old connection is to blame."""

    BUSY = 'busy'
    """It works and says that the attempt still waits or computes."""

    NO_ANSWER = 'no-answer'


class Pooled(enum.Enum):
    """What to do with an idle connection before it is used."""

    USE = 'use'
    PROVE = 'prove'
    REPLACE = 'replace'


@dataclasses.dataclass(slots=True)
class Watch:
    """Watches the progress of one attempt.

    :ivar repeatable: whether it may be sent again
    :ivar gap_s: the expected time between two tokens
    :ivar deadline_s: when to give up in any case, such as a timeout
    """

    repeatable: bool
    gap_s: float
    progress_s: float
    started: bool = False
    probing_since_s: float | None = None
    deadline_s: float | None = None

    def progress(self, now_s: float) -> None:
        """Bytes of the answer have come."""
        self.progress_s = now_s
        self.started = True
        self.probing_since_s = None

    def due_s(self) -> float:
        """When :meth:`check` has something to say, if nothing comes."""
        if self.probing_since_s is not None:
            due_s = self.probing_since_s + PROBE_LIMIT_S
        else:
            due_s = self.progress_s + self._bound_s()
        if self.deadline_s is not None:
            due_s = min(due_s, self.deadline_s)
        return due_s

    def check(self, now_s: float) -> Act:
        """What to do now; PROBE is said once for each silence."""
        if self.deadline_s is not None and now_s >= self.deadline_s:
            return Act.END_UNKNOWN
        if now_s < self.due_s():
            return Act.WAIT
        if self.probing_since_s is not None:
            return self._give_up()
        self.probing_since_s = now_s
        return Act.PROBE

    def probed(self, found: Probe, now_s: float) -> Act:
        """What to do after a probe; WAIT if bytes came meanwhile."""
        if self.probing_since_s is None:
            return Act.WAIT
        if found is Probe.BUSY:
            # Believed again and again, but each time asked anew.
            bound_s = self._bound_s()
            self.progress_s = now_s - bound_s + ALIVE_EXTENSION_S
            self.probing_since_s = None
            return Act.WAIT
        return self._give_up()

    def _bound_s(self) -> float:
        if not self.started:
            return FIRST_TOKEN_SILENCE_S
        return max(SHORTEST_GAP_SILENCE_S, GAP_SILENCE_RATIO * self.gap_s)

    def _give_up(self) -> Act:
        return Act.RESUME if self.repeatable else Act.END_UNKNOWN


def pooled(last_heard_s: float, repeatable: bool, now_s: float) -> Pooled:
    """Whether an idle connection may carry a request.

    :param last_heard_s: when bytes last came over it
    :param repeatable: False for a call that must not run twice; it goes
        only on a connection proven within :data:`PROVEN_S`
    """
    idle_s = now_s - last_heard_s
    if idle_s <= PROVEN_S:
        return Pooled.USE
    if idle_s > REPLACE_S:
        return Pooled.REPLACE
    return Pooled.PROVE if repeatable else Pooled.REPLACE
