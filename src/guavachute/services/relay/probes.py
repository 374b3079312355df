"""Probes endpoints on new connections."""

import functools
import time
import typing

from guavachute.observe import counters
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import exchange
from guavachute.wire import tables

TIMEOUT_S = 0.5

ResultHandler = typing.Callable[
    [tables.EndpointEntry, list[relay_call.Stream], bool, float], None
]


class Probes:
    """Sends probes and reports their results.

    :param on_result: called after :meth:`probe_after_disconnect` with the
        endpoint, the streams that lost their connection to it, whether it
        answered, and the time
    """

    def __init__(
        self,
        exchanges: exchange.Exchanges,
        count: counters.Counters,
        on_result: ResultHandler,
    ) -> None:
        self._exchanges = exchanges
        self._count = count
        self._on_result = on_result
        self._disconnected: dict[str, list[relay_call.Stream]] = {}

    def probe_after_disconnect(
        self,
        stream: relay_call.Stream,
        entry: tables.EndpointEntry,
        now_s: float,
    ) -> None:
        """Probe the endpoint to which *stream* lost its connection.

        Streams that lose theirs while a probe runs share its result.
        """
        streams = self._disconnected.setdefault(entry.endpoint, [])
        streams.append(stream)
        if len(streams) == 1:
            self.send_probe(
                entry, functools.partial(self._handle_answer, entry), now_s
            )

    def send_probe(
        self,
        entry: tables.EndpointEntry,
        on_answer: exchange.AnswerHandler,
        now_s: float,
    ) -> None:
        """Send one probe; *on_answer* is called exactly once, later."""
        self._count.add('probes.sent')
        self._exchanges.send_request(
            'GET', entry.address, '/healthz', b'', TIMEOUT_S, on_answer, now_s
        )

    def _handle_answer(
        self, entry: tables.EndpointEntry, response: exchange.Answer
    ) -> None:
        streams = self._disconnected.pop(entry.endpoint, [])
        self._on_result(entry, streams, response.status != 0, time.monotonic())
