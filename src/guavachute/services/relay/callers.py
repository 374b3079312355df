"""Registers the callers' connections with the relay's selector."""

import functools
import selectors
import time
import typing

from guavachute.services.relay import call as relay_call
from guavachute.services.relay import downstream

STALL_TIMEOUT_S = 30.0
"""A caller that reads nothing for this long counts as gone."""

StreamCallback = typing.Callable[[relay_call.Stream], None]


class Callers:
    """Writes to callers and detects when they disconnect.

    :param selector: the selector of the relay task
    :param on_gone: called when a caller has disconnected or has stalled for
        too long
    :param on_full: called when the buffer of a caller exceeds its limit
    :param on_flushed: called when all queued data is written
    """

    def __init__(
        self,
        selector: selectors.BaseSelector,
        on_gone: StreamCallback,
        on_full: StreamCallback,
        on_flushed: StreamCallback,
    ) -> None:
        self._selector = selector
        self._on_gone = on_gone
        self._on_full = on_full
        self._on_flushed = on_flushed
        self._stalled_since_s: dict[relay_call.Stream, float] = {}

    def add(self, stream: relay_call.Stream) -> None:
        """Start watching the caller of *stream* for a disconnect."""
        self._watch(stream, selectors.EVENT_READ)

    def remove(self, stream: relay_call.Stream) -> None:
        """Stop watching the caller of *stream*."""
        self._stalled_since_s.pop(stream, None)
        self._watch(stream, 0)

    def flush(self, stream: relay_call.Stream) -> None:
        """Write as much of the queued data as the socket accepts.

        Whatever is left is written when the socket is writable again.
        """
        flushed = stream.caller.flush()
        if flushed is downstream.FlushResult.GONE:
            self._on_gone(stream)
        elif flushed is downstream.FlushResult.BLOCKED:
            self._stalled_since_s.setdefault(stream, time.monotonic())
            self._watch(stream, selectors.EVENT_WRITE)
            if stream.caller.is_buffer_full:
                self._on_full(stream)
        else:
            self._stalled_since_s.pop(stream, None)
            self._watch(stream, selectors.EVENT_READ)
            self._on_flushed(stream)

    def sweep(self, now_s: float) -> None:
        """Report callers that have read nothing for too long as gone.

        Otherwise a caller that neither reads nor closes its connection
        would hold the memory of its answer forever, and a draining
        router would never become idle.
        """
        for stream, since_s in list(self._stalled_since_s.items()):
            if now_s - since_s > STALL_TIMEOUT_S:
                del self._stalled_since_s[stream]
                stream.caller.gone = True
                self._on_gone(stream)

    def _handle_ready(self, stream: relay_call.Stream, events: int) -> None:
        if events & selectors.EVENT_READ:
            if stream.caller.has_disconnected():
                self._on_gone(stream)
                return
            # The caller sent its next request early. It stays in the socket
            # until this response is finished.
            self._watch(stream, 0)
        if events & selectors.EVENT_WRITE:
            # A writable socket means that the caller has read data.
            self._stalled_since_s.pop(stream, None)
            self.flush(stream)

    def _watch(self, stream: relay_call.Stream, events: int) -> None:
        descriptor = stream.caller.fileno()
        watched = self._selector.get_map().get(descriptor)
        if watched is not None and watched.events == events:
            return
        if watched is not None and not events:
            self._selector.unregister(descriptor)
        elif events:
            change = (
                self._selector.register
                if watched is None
                else self._selector.modify
            )
            change(
                descriptor,
                events,
                functools.partial(self._handle_ready, stream),
            )
