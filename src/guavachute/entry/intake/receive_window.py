"""What a connection of a caller may receive before it is read."""

from guavachute.decide.ingress.intake import process_limits
from guavachute.entry.intake import guard
from guavachute.entry import transport

MAX_UNPARSED_BYTES = 65_536
"""With more bytes than this behind the request that is being served, a
connection is not read. They are parsed later, as the objects of a parsed
request cost many times its bytes."""


class ReceiveWindow:
    """The receive buffer of a connection, and what is read into it ahead.

    :param intake: bounds what all connections hold; None without a bound
    :ivar unread_bytes: what the operating system receives before it is read,
        unless the window is widened
    :ivar widened_bytes: how much more it receives; the peer may fill the
        buffer at any time, so that it counts until the connection is closed
    """

    def __init__(
        self, connection: transport.Connection, intake: guard.Guard | None
    ) -> None:
        self._connection = connection
        self._intake = intake
        self.unread_bytes = 0 if intake is None else intake.unread_bytes
        self.widened_bytes = 0

    @property
    def max_unparsed_bytes(self) -> int:
        """What is read behind the request that is being served."""
        if self._intake is None:
            return MAX_UNPARSED_BYTES
        return self.unread_bytes if self._intake.reads_ahead else 0

    def widen(self, remaining_bytes: int) -> None:
        """Receive the rest of a large body faster, if there is room."""
        extra_bytes = process_limits.MAX_UNREAD_BYTES - self.unread_bytes
        if (
            self._intake is not None
            and not self.widened_bytes
            and extra_bytes > 0
            and remaining_bytes > self.unread_bytes
            and self._intake.has_spare(extra_bytes)
        ):
            self.widened_bytes = extra_bytes
            self._connection.limit_receiving(process_limits.MAX_UNREAD_BYTES)
