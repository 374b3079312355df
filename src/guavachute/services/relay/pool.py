"""A pool of idle connections to endpoints."""

import collections
import socket

from guavachute.services.relay import upstream

MAX_IDLE_S = 2.0
"""A connection that was idle for longer is replaced.

A middlebox may have dropped its state, and only an answer proves that a
connection works.
"""

MAX_IDLE_PER_ADDRESS = 32


class ConnectionPool:
    """Keeps idle connections for later exchanges, by address."""

    def __init__(self) -> None:
        self._idle: dict[str, collections.deque[upstream.Connection]] = {}

    def acquire(
        self, address: str, now_s: float
    ) -> upstream.Connection | None:
        """The most recently used connection that is fresh and open.

        None if there is none; stale ones found on the way are closed.
        """
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            fresh = now_s - connection.idle_since_s <= MAX_IDLE_S
            if fresh and _is_open(connection):
                return connection
            connection.close()
        return None

    def release(self, connection: upstream.Connection, now_s: float) -> None:
        """Return *connection*, whose exchange is complete, to the pool."""
        idle = self._idle.setdefault(connection.address, collections.deque())
        connection.idle_since_s = now_s
        connection.reused = True
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().close()

    def close_expired(self, now_s: float) -> None:
        """Close connections that were idle longer than the limit."""
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and now_s - idle[0].idle_since_s > MAX_IDLE_S:
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


def _is_open(connection: upstream.Connection) -> bool:
    try:
        connection.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Unsolicited data, or the end of the connection.
    return False
