"""How far the answers on a connection have reached its caller."""

from guavachute.entry import transport


class Delivery:
    """What the caller of one connection has received."""

    def __init__(self, connection: transport.Connection) -> None:
        self._connection = connection
        self._known_bytes = -1

    @property
    def is_complete(self) -> bool:
        """Whether the caller has received all that was written."""
        return not self._connection.undelivered_bytes

    def has_progressed(self) -> bool:
        """Whether the caller received anything since the last call."""
        delivered_bytes = (
            self._connection.written_bytes - self._connection.undelivered_bytes
        )
        has_more = delivered_bytes != self._known_bytes
        self._known_bytes = delivered_bytes
        return has_more

    @property
    def would_be_cut(self) -> bool:
        """Whether a close resets the connection before all is delivered.

        It does so if bytes of the caller are left unread.
        """
        return not self.is_complete and self._connection.unread_bytes > 0
