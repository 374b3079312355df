"""Whole events out of the bytes of a stream.

An engine may stop in the middle of an event. Only whole events go to a
caller, so that a stream can go on at another engine after the last of
them.
"""

import dataclasses

_EVENT_END = b'\n\n'
MAX_EVENT_BYTES = 1_048_576
"""A larger event is no event; the stream is taken as broken."""


@dataclasses.dataclass(slots=True)
class EventStream:
    """What of one answer has been passed on.

    :ivar last_id: of the last whole event that had one
    :ivar events: whole events so far
    """

    last_id: bytes | None = None
    events: int = 0
    _partial: bytes = b''

    def feed(self, data: bytes) -> bytes:
        """The whole events that *data* completes, as they came."""
        data = self._partial + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._partial = data
            return b''
        end += len(_EVENT_END)
        whole, self._partial = data[:end], data[end:]
        self._record_events(whole)
        return whole

    @property
    def is_too_long(self) -> bool:
        """Whether an event has grown beyond any that an engine sends."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._partial)

    def take_rest(self) -> bytes:
        """The bytes after the last whole event."""
        rest, self._partial = self._partial, b''
        return rest

    def drop_rest(self) -> None:
        """Forget an event that has begun and not ended."""
        self._partial = b''

    def _record_events(self, whole: bytes) -> None:
        self.events += whole.count(_EVENT_END)
        start = whole.rfind(b'\nid:')
        if start >= 0:
            start += 1
        elif whole.startswith(b'id:'):
            start = 0
        else:
            return
        line = whole[start : whole.find(b'\n', start)]
        self.last_id = line[3:].strip()
