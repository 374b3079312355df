"""Polls the model engines for their load and their cache events.

Several threads do so, so that an engine that doesn't answer doesn't delay
the others. The results are sent to the relay as messages. Both are hints:
an engine that can't be polled is evaluated by its requests alone.
"""

import concurrent.futures
import time
import typing

import msgspec
import urllib3

from guavachute.decide.requests import prefix_index
from guavachute.http import bounded_answers
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.services.relay import messages
from guavachute.wire import tables

INTERVAL_S = 1.0
TIMEOUT_S = 0.5
THREADS = 4


class Load(msgspec.Struct):
    """The answer to ``GET /v1/load``; other fields are ignored.

    :ivar running: requests that the engine runs
    :ivar queued: requests that wait for a slot
    :ivar slots: how many requests it can run at once
    :ivar age_s: how long ago these were measured
    """

    running: int
    queued: int
    slots: int
    age_s: float = 0.0


class CacheEvent(msgspec.Struct):
    """An event of an engine's prompt cache.

    :ivar seq: sequence number of the event
    :ivar block: the block of the prompt that it is about
    """

    seq: int
    kind: prefix_index.EventKind
    block: str


class CacheEvents(msgspec.Struct):
    """The answer to ``GET /v1/cache_events``.

    :ivar next: sequence number to continue from
    """

    next: int
    events: list[CacheEvent] = []


Answer = typing.TypeVar('Answer')


class EngineWatch(task.Task):
    """Polls the engines listed in the tables.

    :param relay: receives the results
    """

    def __init__(
        self, relay: mailbox.Mailbox, count: counters.Counters
    ) -> None:
        super().__init__('engine-watch')
        self._relay = relay
        self._count = count
        self._engines: list[tables.EndpointEntry] = []
        self._next_event: dict[str, int] = {}
        self._http = bounded_answers.pool_manager(
            num_pools=64, timeout=TIMEOUT_S
        )

    def set_tables(self, new: tables.Tables, pools: set[str]) -> None:
        """Poll the endpoints of *new* that are in *pools* from now on."""
        self._engines = [
            entry for entry in new.endpoints if entry.pool in pools
        ]

    def run(self) -> None:
        """Poll all engines every ``INTERVAL_S`` until stopped."""
        with concurrent.futures.ThreadPoolExecutor(THREADS) as executor:
            while not self.stopping.wait(INTERVAL_S):
                engines = self._engines
                current = {entry.endpoint for entry in engines}
                for gone in set(self._next_event) - current:
                    del self._next_event[gone]
                list(executor.map(self._poll, engines))

    def _poll(self, entry: tables.EndpointEntry) -> None:
        load = self._fetch(entry, '/v1/load', Load)
        if load is None:
            return
        self._relay.send(
            messages.EndpointReport(
                entry.endpoint,
                load.running + load.queued,
                load.slots,
                load.age_s,
                time.monotonic(),
            )
        )
        start = self._next_event.get(entry.endpoint, 0)
        path = f'/v1/cache_events?from={start}'
        page = self._fetch(entry, path, CacheEvents)
        if page is None:
            return
        self._next_event[entry.endpoint] = page.next
        if page.events:
            events = [
                prefix_index.Event(each.seq, each.kind, each.block)
                for each in page.events
            ]
            message = messages.CacheChanged(entry.endpoint, events)
            self._relay.send(message)

    def _fetch(
        self, entry: tables.EndpointEntry, path: str, expected: type[Answer]
    ) -> Answer | None:
        url = f'http://{entry.address}{path}'
        try:
            response = self._http.request('GET', url)
            return msgspec.json.decode(response.data, type=expected)
        except (
            urllib3.exceptions.HTTPError,
            msgspec.ValidationError,
            msgspec.DecodeError,
        ):
            self._count.add('engine_watch.unanswered')
            return None
