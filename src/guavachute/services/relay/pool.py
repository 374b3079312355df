"""Idle connections to endpoints."""

import collections
import socket

from guavachute.services.relay import upstream

MAX_IDLE_S = 2.0
"""An older connection is replaced: something between the two ends may
have lost track of it, and nothing but an answer proves that it works."""

MAX_IDLE_PER_ADDRESS = 32


class ConnectionPool:
    """Keeps connections for the next exchange with the same address."""

    def __init__(self) -> None:
        self._idle: dict[str, collections.deque[upstream.Connection]] = {}

    def acquire(
        self, address: str, now_s: float
    ) -> upstream.Connection | None:
        """The connection used last, if one is fresh and open."""
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            fresh = now_s - connection.idle_since_s <= MAX_IDLE_S
            if fresh and _is_open(connection):
                return connection
            connection.close()
        return None

    def release(self, connection: upstream.Connection, now_s: float) -> None:
        """Keep *connection*, whose exchange is complete."""
        idle = self._idle.setdefault(connection.address, collections.deque())
        connection.idle_since_s = now_s
        connection.reused = True
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().close()

    def close_expired(self, now_s: float) -> None:
        """Close what has been idle for too long."""
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and now_s - idle[0].idle_since_s > MAX_IDLE_S:
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all of them."""
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
    # Bytes without a request, or the end: neither can be trusted.
    return False
