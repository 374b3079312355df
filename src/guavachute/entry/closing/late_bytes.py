"""Logs what callers sent on connections that had been closed."""

import dataclasses
import enum

from guavachute.entry import transport
from guavachute.observe import journal


class Reason(enum.Enum):
    """Why a connection was closed."""

    ANSWERED = 'answered'
    """Its last answer said that it closes."""

    REFUSED = 'refused'
    """The same, of an answer that may come before the end of its request."""

    IDLE = 'idle'
    """It had no request for as long as a connection may be idle."""

    STOP = 'stop'
    """The process stops."""

    @property
    def reads_on(self) -> bool:
        """Whether what arrives later is read, and discarded.

        The caller may be sending the rest of a request that was refused, and
        read the answer only behind it. Otherwise what crosses the close is a
        request that gets no answer: it stays unread, and the reset that
        follows tells the caller that it has not run.
        """
        return self is Reason.REFUSED


@dataclasses.dataclass(slots=True)
class LateBytes:
    """What arrived on one connection after its sending direction was closed.

    :ivar closed_s: when it was closed, by the clock of the loop
    :ivar idle_s: how long it had no request before that
    :ivar read_bytes: how much was read, then or before, and is not answered
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
