"""KV caches that one stand-in engine exports to another."""

import dataclasses
import threading
import time
import typing

import msgspec
import urllib3

from guavachute import ids
from guavachute import outcome
from guavachute.standin import engine_job
from guavachute.standin import engine_streams

PUSH_TIMEOUT_S = 5.0


class ExportOrder(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/kv/export``."""

    attempt_id: str
    to: str


class Exported(msgspec.Struct, frozen=True):
    """The response to an export.

    :ivar ready_in_s: seconds until the cache has arrived at the target
    """

    kv_handle: str
    size_bytes: int
    ready_in_s: float


class Import(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/kv/import``, sent in place of the cache.

    :ivar tokens: how many tokens of the answer the cache covers
    :ivar ready_in_s: seconds until the simulated transfer is complete
    """

    kv_handle: str
    model: str
    prompt: str
    tokens: int
    ready_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldImport:
    content: Import
    ready_at_s: float
    expires_at_s: float


class KvStore:
    """Exports caches over a link of limited speed, and holds imported ones.

    Thread-safe.

    :ivar exported_bytes: the total size of all exported caches
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: dict[str, _HeldImport] = {}
        self._link_free_s = 0.0
        self._pool = urllib3.PoolManager(retries=False)
        self.exported_bytes = 0

    def export(
        self,
        state: engine_streams.AttemptState,
        to: str,
        prompt_tokens: int,
        settings: engine_job.EngineSettings,
    ) -> Exported | outcome.Failure:
        """Send the cache of an attempt to the engine at *to*.

        Returns a failure if that engine doesn't accept it.
        """
        size_bytes = (
            prompt_tokens + state.tokens
        ) * settings.kv_bytes_per_token
        ready_in_s = self._reserve_link(size_bytes, settings.kv_bytes_per_s)
        content = Import(
            kv_handle=ids.new_random_id('kv'),
            model=state.model,
            prompt=state.prompt,
            tokens=state.tokens,
            ready_in_s=ready_in_s,
        )
        failure = self._send(to, content)
        if failure is not None:
            return failure
        return Exported(content.kv_handle, size_bytes, ready_in_s)

    def store_import(self, content: Import, for_s: float) -> None:
        """Hold an imported cache until *for_s* seconds after it is ready."""
        now_s = time.monotonic()
        ready_at_s = now_s + content.ready_in_s
        held = _HeldImport(content, ready_at_s, ready_at_s + for_s)
        with self._lock:
            self._held[content.kv_handle] = held

    def pop_import(
        self, handle: str, model: str, prompt: str
    ) -> tuple[int, float] | None:
        """Remove an imported cache and return its tokens and ready time.

        The tokens are the number of the answer's tokens that it covers;
        the time is that of a monotonic clock. Returns None if the handle
        is unknown or expired, or belongs to another model or prompt.
        """
        now_s = time.monotonic()
        with self._lock:
            held = self._held.pop(handle, None)
        if held is None or held.expires_at_s < now_s:
            return None
        if (held.content.model, held.content.prompt) != (model, prompt):
            return None
        return held.content.tokens, held.ready_at_s

    def _reserve_link(self, size_bytes: int, bytes_per_s: float) -> float:
        now_s = time.monotonic()
        with self._lock:
            start_s = max(now_s, self._link_free_s)
            self._link_free_s = start_s + size_bytes / bytes_per_s
            self.exported_bytes += size_bytes
            return self._link_free_s - now_s

    def _send(self, to: str, content: Import) -> outcome.Failure | None:
        try:
            answer: typing.Any = self._pool.request(
                'POST',
                f'http://{to}/v1/kv/import',
                body=msgspec.json.encode(content),
                timeout=PUSH_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            return outcome.Failure(outcome.Reason.UNAVAILABLE, str(error))
        if answer.status != 200:
            return outcome.Failure(
                outcome.Reason.UNAVAILABLE, f'{to} said {answer.status}'
            )
        return None
