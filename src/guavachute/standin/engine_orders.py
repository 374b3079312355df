"""The desired state that a stand-in engine is ordered to have."""

import threading
import typing

import msgspec
import urllib3

from guavachute.kernel import task
from guavachute.standin import engine_job

FETCH_CHUNK_BYTES = 64 * 1024
FETCH_PAUSE_S = 0.2


class DesiredState(msgspec.Struct, frozen=True):
    """The state that an order requires of an engine."""

    models: list[str]
    adapters: list[str] = []
    version: str = ''
    role: typing.Literal['both', 'prefill', 'decode'] = 'both'


class Order(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/orders``; *wish* is the desired state."""

    fencing_number: int
    wish: DesiredState


class Orders(task.Task):
    """Holds the newest order and fetches the weights that it needs.

    :ivar accepted: the accepted orders, oldest first
    :ivar stale: how many orders had an old fencing number
    """

    def __init__(
        self,
        name: str,
        engine: str,
        settings: engine_job.EngineSettings,
    ) -> None:
        super().__init__(name)
        self._engine = engine
        self._settings = settings
        self._lock = threading.Lock()
        self._models = list(settings.models)
        self._fencing_number = -1
        self._pool = urllib3.PoolManager(retries=False)
        self.accepted: list[Order] = []
        self.stale = 0

    def models(self) -> list[str]:
        """Return the models whose weights are loaded."""
        with self._lock:
            return list(self._models)

    def accept(self, order: Order) -> bool:
        """Accept *order* unless a higher fencing number was seen.

        Returns whether it was accepted. An engine that doesn't check
        fencing accepts every order.
        """
        with self._lock:
            if order.fencing_number < self._fencing_number:
                self.stale += 1
                if self._settings.checks_fencing:
                    return False
            else:
                self._fencing_number = order.fencing_number
            self.accepted.append(order)
            self._models = [
                each
                for each in order.wish.models
                if each in self._models or self._settings.weight_store is None
            ]
        self.mailbox.send(order)
        return True

    def run(self) -> None:
        """Fetch the models that the newest order needs, until stopped."""
        while not self.stopping.is_set():
            self.mailbox.receive()
            while not self.stopping.is_set() and self._fetch_missing():
                pass

    def _fetch_missing(self) -> bool:
        """Fetch one missing model; return False if none is missing."""
        with self._lock:
            desired = self.accepted[-1].wish.models if self.accepted else []
            missing = [each for each in desired if each not in self._models]
        if not missing:
            return False
        if self._fetch(missing[0]):
            self._record_loaded(missing[0])
        else:
            self.stopping.wait(FETCH_PAUSE_S)
        return True

    def _record_loaded(self, model: str) -> None:
        with self._lock:
            desired = self.accepted[-1].wish.models
            if model in desired and model not in self._models:
                self._models.append(model)

    def _fetch(self, model: str) -> bool:
        url = (
            f'http://{self._settings.weight_store}/v1/weights/{model}'
            f'?fetcher={self._engine}'
        )
        try:
            answer: typing.Any = self._pool.request(
                'GET', url, preload_content=False, timeout=10
            )
            if answer.status != 200:
                answer.drain_conn()
                self.stopping.wait(_retry_after_s(answer))
                return False
            for _ in answer.stream(FETCH_CHUNK_BYTES):
                if self.stopping.is_set():
                    answer.close()
                    return False
        except urllib3.exceptions.HTTPError:
            return False
        return True


def _retry_after_s(answer: typing.Any) -> float:
    try:
        return float(answer.headers.get('Retry-After', '0'))
    except ValueError:
        return 0
