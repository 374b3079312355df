"""Asks endpoints on new connections whether they still answer."""

import functools
import time
import typing

from guavachute.observe import counters
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import exchange
from guavachute.wire import tables

TIMEOUT_S = 0.5

Judged = typing.Callable[
    [tables.EndpointEntry, list[relay_call.Stream], bool, float], None
]


class Probes:
    """The probes under way.

    :param judged: called with an endpoint, the streams that were cut
        there, whether it lives, and the time
    """

    def __init__(
        self,
        exchanges: exchange.Exchanges,
        count: counters.Counters,
        judged: Judged,
    ) -> None:
        self._exchanges = exchanges
        self._count = count
        self._judged = judged
        self._cut: dict[str, list[relay_call.Stream]] = {}

    def after_cut(
        self,
        stream: relay_call.Stream,
        entry: tables.EndpointEntry,
        now_s: float,
    ) -> None:
        """Probe the endpoint that cut *stream*, once for all it cut."""
        cut = self._cut.setdefault(entry.endpoint, [])
        cut.append(stream)
        if len(cut) == 1:
            self.ask(entry, functools.partial(self._answered, entry), now_s)

    def ask(
        self,
        entry: tables.EndpointEntry,
        done: exchange.Done,
        now_s: float,
    ) -> None:
        """Send one probe; *done* is called once, later."""
        self._count.add('probes.sent')
        self._exchanges.ask(
            'GET', entry.address, '/healthz', b'', TIMEOUT_S, done, now_s
        )

    def _answered(
        self, entry: tables.EndpointEntry, found: exchange.Answer
    ) -> None:
        cut = self._cut.pop(entry.endpoint, [])
        self._judged(entry, cut, found.status != 0, time.monotonic())
