"""A stand-in for the rate-limited store of model weights."""

import threading
import time
import typing

import msgspec

from guavachute.http import message
from guavachute.http import server
from guavachute.standin import base

CHUNK_BYTES = 64 * 1024
PREFIX = '/v1/weights/'


class Fetch(msgspec.Struct, frozen=True):
    """A fetch that has ended.

    :ivar whole: whether all bytes were sent
    """

    model: str
    fetcher: str
    sent_bytes: int
    whole: bool


class WeightStore(base.StandIn):
    """Serves NUL bytes as the weights of any model.

    :param size_bytes: size of each model's weights
    :param bytes_per_s: rate limit of all fetches together
    :param most_fetches: the most concurrent fetches; more get 429
    :ivar refused: the number of fetches that got 429
    """

    def __init__(
        self,
        name: str = 'weights',
        host: str = base.HOST,
        port: int = 0,
        *,
        size_bytes: int = 1_000_000,
        bytes_per_s: float = 10_000_000,
        most_fetches: int = 4,
    ) -> None:
        super().__init__(name, host, port, threads=most_fetches + 8)
        self._size_bytes = size_bytes
        self._bytes_per_s = bytes_per_s
        self._most_fetches = most_fetches
        self._lock = threading.Lock()
        self._active = 0
        self._free_at_s = 0.0
        self._fetches: list[Fetch] = []
        self.refused = 0

    def fetches(self) -> list[Fetch]:
        """Return the fetches that have ended, oldest first."""
        with self._lock:
            return list(self._fetches)

    def serve(
        self, request: message.Request, exchange: server.Exchange
    ) -> base.Reply:
        """Stream the weights of a model, or list the fetches."""
        if request.path == '/ledger':
            return message.json_response({'fetches': self.fetches()})
        if not request.path.startswith(PREFIX):
            return base.not_found()
        with self._lock:
            if self._active >= self._most_fetches:
                self.refused += 1
                return base.error(429, 'too_many_fetches', retry_after_s=1)
            self._active += 1
        model = request.path.removeprefix(PREFIX)
        fetcher = request.query.get('fetcher', '')
        return message.Response(
            200,
            self._stream(model, fetcher),
            content_type='application/octet-stream',
        )

    def _stream(self, model: str, fetcher: str) -> typing.Iterator[bytes]:
        sent = 0
        try:
            while sent < self._size_bytes and not self.stopping.is_set():
                chunk_bytes = min(CHUNK_BYTES, self._size_bytes - sent)
                self.stopping.wait(self._reserve(chunk_bytes))
                yield bytes(chunk_bytes)
                sent += chunk_bytes
        finally:
            is_complete = sent == self._size_bytes
            with self._lock:
                self._active -= 1
                self._fetches.append(Fetch(model, fetcher, sent, is_complete))

    def _reserve(self, size_bytes: int) -> float:
        """Reserve bandwidth; return the wait in seconds before sending."""
        now_s = time.monotonic()
        with self._lock:
            start_s = max(now_s, self._free_at_s)
            self._free_at_s = start_s + size_bytes / self._bytes_per_s
        return start_s - now_s
