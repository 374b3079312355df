"""Logs what callers sent on connections that had been closed."""

import dataclasses
import enum

from guavachute.entry import transport
from guavachute.observe import journal


class Reason(enum.Enum):
    """Why a connection was closed."""

    ANSWERED = 'answered'
    """Its last answer said that it closes."""

    IDLE = 'idle'
    """It had no request for as long as a connection may be idle."""

    STOP = 'stop'
    """The process stops."""

    @property
    def reads_on(self) -> bool:
        """Whether what arrives later is read, and discarded.

        The caller may be sending the rest of a request that was refused, and
        read the answer only behind it. A connection without a request owes no
        answer: what crosses its close stays unread, and the reset that follows
        tells the caller that it has not run.
        """
        return self is Reason.ANSWERED


@dataclasses.dataclass(slots=True)
class LateBytes:
    """What arrived on one connection after its sending direction was closed.

    :ivar closed_s: when it was closed, by the clock of the loop
    :ivar idle_s: how long it had no request before that
    :ivar read_bytes: how much of what arrived later was read
    """

    reason: Reason
    closed_s: float
    idle_s: float
    read_bytes: int = 0

    def report(self, connection: transport.Connection, now_s: float) -> None:
        """Log what arrived, if anything did.

        Called just before *connection* is closed for both directions.
        """
        unread_bytes = connection.unread_bytes
        if not self.read_bytes and not unread_bytes:
            return
        journal.event(
            'connection',
            outcome='late-bytes',
            reason=self.reason.value,
            read_bytes=self.read_bytes,
            unread_bytes=unread_bytes,
            closed_s_ago=round(now_s - self.closed_s, 3),
            idle_s=round(self.idle_s, 3),
        )
