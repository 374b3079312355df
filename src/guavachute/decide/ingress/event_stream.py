"""Splits a stream of server-sent events at event boundaries.

An engine may stop in the middle of an event, and a stream that ends there was
broken off, whatever its framing says. Only complete events are passed to a
caller, so that another engine can resume the stream after the last of them.
"""

import dataclasses
import re

_EVENT_END = re.compile(rb'\n\n|\r\n\r\n|\r\r')
_MAX_END_BYTES = 4
_LINE_ENDS = b'\r\n'


@dataclasses.dataclass(slots=True)
class EventStream:
    """Buffers one answer until events are complete.

    :ivar last_id: id of the last complete event that had one
    :ivar events: number of complete events so far
    """

    last_id: bytes | None = None
    events: int = 0
    _partial: bytearray = dataclasses.field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Add *data* and return all events that are complete now.

        The bytes are unchanged; the result is empty if no event is
        complete. The time it takes is proportional to *data*, and to the
        events that it completes.
        """
        was_inside_event = bool(self._partial)
        known = max(0, len(self._partial) - _MAX_END_BYTES + 1)
        self._partial += data
        end = 0
        for found in _EVENT_END.finditer(self._partial, known):
            end = found.end()
            self.events += 1
        # An incomplete event is never looked at again as a whole: the cost of
        # a byte must not depend on how many came before it.
        if self.events and (end or not was_inside_event):
            if not self._partial[end:].strip(_LINE_ENDS):
                # Blank lines after an event begin no further one.
                end = len(self._partial)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        self._record_last_id(complete)
        return complete

    @property
    def partial_bytes(self) -> int:
        """The length of the incomplete event in the buffer."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._partial)

    def discard_partial_event(self) -> None:
        """Discard an incomplete event."""
        self._partial.clear()

    def _record_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            if line.startswith(b'id:'):
                self.last_id = line[3:].strip()
                return
