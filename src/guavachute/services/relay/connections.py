"""Registers the connections to endpoints with the relay's selector."""

import functools
import selectors
import typing

from guavachute import ids
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import pool
from guavachute.services.relay import upstream

ReadyHandler = typing.Callable[[relay_call.Stream, int], None]


class Connections:
    """Opens, pauses and releases the connection of each attempt.

    :param selector: the selector of the relay task
    :param on_ready: called with the stream and the ready events, which
        are 0 if connecting failed at once
    """

    def __init__(
        self, selector: selectors.BaseSelector, on_ready: ReadyHandler
    ) -> None:
        self._selector = selector
        self._on_ready = on_ready
        self._pool = pool.ConnectionPool()

    def open(
        self,
        stream: relay_call.Stream,
        address: str,
        attempt_id: ids.AttemptId,
        now_s: float,
    ) -> None:
        """Send the request of *stream* to the endpoint at *address*.

        Uses an idle connection if there is one. The stream's connection
        is set; *on_ready* reports a failure, also an immediate one.
        """
        connection = self._pool.acquire(address, now_s)
        if connection is None:
            connection = upstream.Connection(address)
            connection.connect()
        if connection.state is not upstream.State.BROKEN:
            connection.begin_exchange(
                stream.encode_request(attempt_id, address, now_s)
            )
        stream.connection = connection
        self._watch(stream, connection)
        if connection.state is upstream.State.BROKEN:
            self._on_ready(stream, 0)

    def update_events(self, stream: relay_call.Stream) -> None:
        """Register the events that the connection waits for now."""
        connection = stream.connection
        assert connection is not None
        self._selector.modify(
            connection.socket,
            connection.wanted_events,
            functools.partial(self._on_ready, stream),
        )

    def pause(self, stream: relay_call.Stream) -> None:
        """Stop reading from the endpoint until :meth:`unpause`."""
        if not stream.paused and stream.connection is not None:
            stream.paused = True
            self._selector.unregister(stream.connection.socket)

    def unpause(self, stream: relay_call.Stream, now_s: float) -> None:
        """Resume reading from the endpoint if it is paused.

        The pause counts neither as silence nor for the pace.
        """
        if not stream.paused or stream.connection is None:
            return
        stream.paused = False
        stream.watch.record_progress(now_s)
        if stream.work is not None:
            stream.work.start_pace_window(now_s)
        self._watch(stream, stream.connection)

    def release(self, stream: relay_call.Stream, now_s: float) -> None:
        """Return the connection to the pool, or close it.

        Closing it in the middle of an answer cancels the request at the
        engine.
        """
        connection = stream.connection
        assert connection is not None
        stream.connection = None
        if not stream.paused:
            self._selector.unregister(connection.socket)
        stream.paused = False
        if connection.can_be_reused:
            self._pool.release(connection, now_s)
        else:
            connection.close()

    def sweep(self, now_s: float) -> None:
        """Close connections that have been idle for too long."""
        self._pool.close_expired(now_s)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def _watch(
        self, stream: relay_call.Stream, connection: upstream.Connection
    ) -> None:
        self._selector.register(
            connection.socket,
            connection.wanted_events,
            functools.partial(self._on_ready, stream),
        )
