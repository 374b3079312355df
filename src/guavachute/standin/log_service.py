"""A stand-in for the log: append-only streams with limited retention."""

import threading
import time
import typing

import msgspec

from guavachute.http import message
from guavachute.http import server
from guavachute import outcome
from guavachute.standin import base

MAX_WAIT_S = 60.0
MAX_RECORDS = 10_000
THREADS = 64
"""Each long poll occupies a worker thread while it waits."""


class Record(msgspec.Struct, frozen=True):
    """A record and its offset in the stream."""

    offset: int
    record: msgspec.Raw


class Append(msgspec.Struct, frozen=True):
    """The body of an append request."""

    records: list[msgspec.Raw]


class Appended(msgspec.Struct, frozen=True):
    """The response to an append."""

    first_offset: int
    next_offset: int


class Page(msgspec.Struct, frozen=True):
    """The response to a read."""

    first_retained_offset: int
    next_offset: int
    records: list[Record]


class _Stream:
    def __init__(self, retained_records: int) -> None:
        self._max_retained = retained_records
        self._records: list[Record] = []
        self.first_retained = 0
        self.next_offset = 0

    @property
    def retained(self) -> list[Record]:
        return self._records[self._index_of(self.first_retained) :]

    def append(self, records: list[msgspec.Raw]) -> Appended:
        first = self.next_offset
        for record in records:
            self._records.append(Record(self.next_offset, record))
            self.next_offset += 1
        self.drop_before(self.next_offset - self._max_retained)
        return Appended(first, self.next_offset)

    def page(self, first: int, limit: int) -> Page:
        start = self._index_of(max(first, self.first_retained))
        chosen = self._records[start : start + limit]
        return Page(self.first_retained, self.next_offset, chosen)

    def drop_before(self, offset: int) -> None:
        self.first_retained = max(self.first_retained, offset)
        # Only once twice the retained number has built up, because it
        # copies all retained records.
        if self._index_of(self.first_retained) > self._max_retained:
            self._records = self.retained

    def _index_of(self, offset: int) -> int:
        held = len(self._records)
        return min(held, max(0, offset - (self.next_offset - held)))


class _RateLimit:
    """A token bucket that limits appends; its burst is one second's."""

    def __init__(self, appends_per_s: float | None) -> None:
        self._per_s = appends_per_s
        self._tokens = appends_per_s or 0
        self._refilled_at_s = time.monotonic()

    def consume(self, now_s: float) -> bool:
        if self._per_s is None:
            return True
        gained = (now_s - self._refilled_at_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + gained)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LogService(base.StandIn):
    """The log service, with its streams in memory.

    :param retained_records: how many of the newest records of each stream
        are retained
    :param appends_per_s: limit over all streams; appends beyond it get 429
    :ivar appends: the number of appends that took effect
    :ivar polls: the number of reads that were received
    """

    def __init__(
        self,
        name: str = 'log',
        host: str = base.HOST,
        port: int = 0,
        retained_records: int = 100_000,
        appends_per_s: float | None = None,
    ) -> None:
        super().__init__(name, host, port, threads=THREADS)
        self._retained_records = retained_records
        self._rate = _RateLimit(appends_per_s)
        self._streams: dict[str, _Stream] = {}
        self._changed = threading.Condition()
        self._down = False
        self.appends = 0
        self.polls = 0

    def records(self, stream: str) -> list[typing.Any]:
        """Return the retained records of *stream* as plain values."""
        with self._changed:
            retained = self._stream(stream).retained
        return [msgspec.json.decode(each.record) for each in retained]

    def append(self, stream: str, records: list[typing.Any]) -> Appended:
        """Append directly, without faults or the rate limit."""
        encoded = [msgspec.Raw(msgspec.json.encode(each)) for each in records]
        return self._append(stream, encoded)

    def drop_before(self, stream: str, offset: int) -> None:
        """Drop the records of *stream* before *offset*."""
        with self._changed:
            self._stream(stream).drop_before(offset)

    def set_down(self, down: bool) -> None:
        """Start or stop answering every request with 503."""
        with self._changed:
            self._down = down
            self._changed.notify_all()

    def request_stop(self) -> None:
        """End the waiting long polls and stop."""
        self.stopping.set()
        with self._changed:
            self._changed.notify_all()
        super().request_stop()

    def serve(
        self, request: message.Request, exchange: server.Exchange
    ) -> base.Reply:
        """Append to a stream or read from it."""
        parts = request.path.split('/')
        if parts[1:3] != ['v1', 'streams'] or parts[4:] != ['records']:
            return base.not_found()
        if self._down:
            return base.error(503, 'log_down', retry_after_s=1)
        if request.method == 'POST':
            return self._serve_append(parts[3], request.body)
        return self._serve_read(parts[3], request.query)

    def _serve_append(self, stream: str, body: bytes) -> message.Response:
        request = message.decode_json(body, Append)
        if isinstance(request, outcome.Failure):
            return base.bad_request(request)
        with self._changed:
            allowed = self._rate.consume(time.monotonic())
        if not allowed:
            return base.error(429, 'too_many_appends', retry_after_s=1)
        return message.json_response(self._append(stream, request.records))

    def _serve_read(
        self, stream: str, query: dict[str, str]
    ) -> message.Response:
        try:
            first = int(query.get('from', '0'))
            limit = int(query.get('limit', '1000'))
            wait_s = float(query.get('wait_s', '0'))
        except ValueError as error:
            return base.error(400, str(error))
        page = self._read(stream, first, limit, wait_s)
        if page is None:
            return base.error(503, 'log_down', retry_after_s=1)
        expired = first < page.first_retained_offset
        return message.json_response(page, 410 if expired else 200)

    def _append(self, stream: str, records: list[msgspec.Raw]) -> Appended:
        with self._changed:
            self.appends += 1
            appended = self._stream(stream).append(records)
            self._changed.notify_all()
            return appended

    def _read(
        self, name: str, first: int, limit: int, wait_s: float
    ) -> Page | None:
        with self._changed:
            self.polls += 1
            stream = self._stream(name)
            self._changed.wait_for(
                lambda: (
                    stream.next_offset > first
                    or self._down
                    or self.stopping.is_set()
                ),
                min(wait_s, MAX_WAIT_S),
            )
            if self._down:
                return None
            if first < stream.first_retained:
                return Page(stream.first_retained, stream.next_offset, [])
            return stream.page(first, min(limit, MAX_RECORDS))

    def _stream(self, name: str) -> _Stream:
        if name not in self._streams:
            self._streams[name] = _Stream(self._retained_records)
        return self._streams[name]
