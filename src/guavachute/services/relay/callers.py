"""The callers' connections in the relay's selector."""

import functools
import selectors
import time
import typing

from guavachute.services.relay import call as relay_call
from guavachute.services.relay import downstream

STALL_TIMEOUT_S = 30.0

StreamCallback = typing.Callable[[relay_call.Stream], None]


class Callers:
    """Writes to callers and notices when they hang up.

    :param selector: the owner's
    :param gone: called when a caller has hung up
    :param full: called when a caller is too far behind
    :param taken: called when a caller has taken all there was
    """

    def __init__(
        self,
        selector: selectors.BaseSelector,
        gone: StreamCallback,
        full: StreamCallback,
        taken: StreamCallback,
    ) -> None:
        self._selector = selector
        self._on_gone = gone
        self._on_full = full
        self._on_flushed = taken
        self._stalled_since_s: dict[relay_call.Stream, float] = {}

    def add(self, stream: relay_call.Stream) -> None:
        """Watch the caller of *stream*."""
        self._watch(stream, selectors.EVENT_READ)

    def remove(self, stream: relay_call.Stream) -> None:
        """Watch the caller of *stream* no longer."""
        self._stalled_since_s.pop(stream, None)
        self._watch(stream, 0)

    def flush(self, stream: relay_call.Stream) -> None:
        """Write what is queued for the caller, as far as it takes it."""
        flushed = stream.caller.flush()
        if flushed is downstream.Flushed.GONE:
            self._on_gone(stream)
        elif flushed is downstream.Flushed.BLOCKED:
            self._stalled_since_s.setdefault(stream, time.monotonic())
            self._watch(stream, selectors.EVENT_WRITE)
            if stream.caller.is_buffer_full:
                self._on_full(stream)
        else:
            self._stalled_since_s.pop(stream, None)
            self._watch(stream, selectors.EVENT_READ)
            self._on_flushed(stream)

    def sweep(self, now_s: float) -> None:
        """Give up callers that have read nothing for too long.

        Without this a caller that neither reads nor closes would keep
        its answer's memory, and a router that drains, for ever.
        """
        for stream, since_s in list(self._stalled_since_s.items()):
            if now_s - since_s > STALL_TIMEOUT_S:
                del self._stalled_since_s[stream]
                stream.caller.gone = True
                self._on_gone(stream)

    def _handle_ready(self, stream: relay_call.Stream, events: int) -> None:
        if events & selectors.EVENT_READ:
            if stream.caller.has_hung_up():
                self._on_gone(stream)
                return
            # Its next request waits in the socket until this one is done.
            self._watch(stream, 0)
        if events & selectors.EVENT_WRITE:
            # It has read something since.
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
