"""Splits a stream of server-sent events at event boundaries.

An engine may stop in the middle of an event. Only complete events are
passed to a caller, so that another engine can resume the stream after
the last of them.
"""

import dataclasses

_EVENT_END = b'\n\n'
MAX_EVENT_BYTES = 1_048_576
"""Size limit of one event; a stream with a larger one is malformed."""


@dataclasses.dataclass(slots=True)
class EventStream:
    """Buffers one answer until events are complete.

    :ivar last_id: id of the last complete event that had one
    :ivar events: number of complete events so far
    """

    last_id: bytes | None = None
    events: int = 0
    _partial: bytes = b''

    def feed(self, data: bytes) -> bytes:
        """Add *data* and return all events that are complete now.

        The bytes are unchanged; the result is empty if no event is
        complete.
        """
        data = self._partial + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._partial = data
            return b''
        end += len(_EVENT_END)
        complete, self._partial = data[:end], data[end:]
        self._record_events(complete)
        return complete

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event exceeds :data:`MAX_EVENT_BYTES`."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def partial_bytes(self) -> int:
        """The length of the incomplete event in the buffer."""
        return len(self._partial)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._partial)

    def pop_partial_event(self) -> bytes:
        """Return and discard the bytes after the last complete event."""
        partial, self._partial = self._partial, b''
        return partial

    def discard_partial_event(self) -> None:
        """Discard an incomplete event."""
        self._partial = b''

    def _record_events(self, complete: bytes) -> None:
        self.events += complete.count(_EVENT_END)
        start = complete.rfind(b'\nid:')
        if start >= 0:
            start += 1
        elif complete.startswith(b'id:'):
            start = 0
        else:
            return
        line = complete[start : complete.find(b'\n', start)]
        self.last_id = line[3:].strip()
