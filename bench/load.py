"""A load generator with one selector loop for all streams.

As a program it reads a :class:`Plan` as JSON from standard input and
prints a :class:`Report` as JSON, so that a benchmark can run several at
the same time. The requests depend on the plan's seed only.
"""

import collections
import dataclasses
import random
import selectors
import socket
import sys
import time
import typing

from hdrh import histogram
import msgspec

from bench import load_stream
from guavachute.standin import engine_text

SHORTEST_US = 1
LONGEST_US = 600_000_000
DIGITS = 3
MICROSECONDS = 1_000_000
SELECT_TIMEOUT_S = 0.05


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of durations in microseconds."""
    return histogram.HdrHistogram(SHORTEST_US, LONGEST_US, DIGITS)


@dataclasses.dataclass(slots=True)
class Figures:
    """Figures of the requests with one label.

    :ivar first_byte: times from the start of a request to its first byte
    :ivar gap: times between reads that brought tokens
    :ivar results: number of requests by ``load_stream.Result`` value
    :ivar outcomes: number by the header ``Guavachute-Outcome``
    :ivar tokens: received while measuring
    :ivar reconnects: idle connections that turned out closed on reuse
    """

    first_byte: histogram.HdrHistogram = dataclasses.field(
        default_factory=new_histogram
    )
    gap: histogram.HdrHistogram = dataclasses.field(
        default_factory=new_histogram
    )
    results: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    tokens: int = 0
    reconnects: int = 0

    def add(self, other: 'Figures') -> None:
        """Add the figures of *other* to these."""
        self.first_byte.add(other.first_byte)
        self.gap.add(other.gap)
        self.results += other.results
        self.outcomes += other.outcomes
        self.tokens += other.tokens
        self.reconnects += other.reconnects

    def first_byte_ms(self, percentile: float) -> float:
        """Return a percentile of the time to the first byte, in ms."""
        return self.first_byte.get_value_at_percentile(percentile) / 1000

    def gap_ms(self, percentile: float) -> float:
        """Return a percentile of the time between tokens, in ms."""
        return self.gap.get_value_at_percentile(percentile) / 1000


class Generator:
    """Sends requests and measures their answers.

    All times are seconds since the start of ``run``.

    :param requests: in the order of their ``at_s``
    :param most_streams: limit of requests in progress; further requests
        that are due wait
    :param measure_from_s: requests that start earlier are counted, but
        their times aren't recorded
    :param until_s: no request starts later; those in progress are
        finished
    :ivar figures: by the requests' labels
    """

    def __init__(
        self,
        requests: typing.Iterator[load_stream.Request],
        most_streams: int,
        measure_from_s: float = 0,
        until_s: float = float('inf'),
    ) -> None:
        self._requests = requests
        self._most_streams = most_streams
        self._measure_from_s = measure_from_s
        self._until_s = until_s
        self._selector = selectors.DefaultSelector()
        self._active = 0
        self._idle: dict[str, list[socket.socket]] = collections.defaultdict(
            list
        )
        self._next: load_stream.Request | None = None
        self._start_s = 0.0
        self.figures: dict[str, Figures] = collections.defaultdict(Figures)

    def run(self) -> None:
        """Send all requests that are due and wait for the last answer."""
        self._start_s = time.monotonic()
        self._next = next(self._requests, None)
        while self._active or self._next is not None:
            self._start_due()
            for key, mask in self._selector.select(self._select_timeout_s()):
                self._handle_ready(key.data, mask)
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._selector.close()

    def _now_s(self) -> float:
        return time.monotonic() - self._start_s

    def _select_timeout_s(self) -> float:
        if self._next is None or self._active >= self._most_streams:
            return SELECT_TIMEOUT_S
        return min(SELECT_TIMEOUT_S, max(0.0, self._next.at_s - self._now_s()))

    def _start_due(self) -> None:
        while self._next is not None and self._active < self._most_streams:
            now_s = self._now_s()
            if now_s >= self._until_s:
                self._next = None
                return
            if self._next.at_s > now_s:
                return
            self._start(self._next)
            self._next = next(self._requests, None)

    def _start(self, request: load_stream.Request) -> None:
        idle_connections = self._idle[request.address]
        reused = bool(idle_connections)
        if idle_connections:
            connection = idle_connections.pop()
        else:
            connection = load_stream.connect(request.address)
        exchange = load_stream.Exchange(
            request, connection, reused, self._now_s()
        )
        self._active += 1
        if reused and not exchange.send():
            exchange.unsent = b''
        events = selectors.EVENT_READ
        if exchange.unsent:
            events |= selectors.EVENT_WRITE
        self._selector.register(connection, events, exchange)

    def _handle_ready(self, exchange: load_stream.Exchange, mask: int) -> None:
        alive = True
        if mask & selectors.EVENT_WRITE:
            alive = exchange.send()
            if alive and not exchange.unsent:
                self._selector.modify(
                    exchange.connection, selectors.EVENT_READ, exchange
                )
        if alive and mask & selectors.EVENT_READ:
            alive = self._receive(exchange)
        if exchange.complete or not alive:
            self._finish(exchange)

    def _receive(self, exchange: load_stream.Exchange) -> bool:
        now_s = self._now_s()
        before = exchange.tokens
        alive = exchange.receive(now_s)
        if self._measure_from_s <= now_s < self._until_s:
            figures = self.figures[exchange.request.label]
            figures.tokens += exchange.tokens - before
        return alive

    def _finish(self, exchange: load_stream.Exchange) -> None:
        self._selector.unregister(exchange.connection)
        self._active -= 1
        request = exchange.request
        figures = self.figures[request.label]
        if exchange.can_be_reused():
            self._idle[request.address].append(exchange.connection)
        else:
            exchange.connection.close()
            if exchange.reused and exchange.first_byte_s is None:
                # The server had closed the idle connection, so no answer
                # was lost and the request is sent again.
                figures.reconnects += 1
                self._idle[request.address].clear()
                self._start(request)
                return
        self._record(exchange, figures)

    def _record(
        self, exchange: load_stream.Exchange, figures: Figures
    ) -> None:
        figures.results[exchange.result().value] += 1
        figures.outcomes[exchange.outcome] += 1
        if exchange.start_s < self._measure_from_s:
            return
        if exchange.first_byte_s is not None and exchange.status == 200:
            waited_s = exchange.first_byte_s - exchange.start_s
            figures.first_byte.record_value(int(waited_s * MICROSECONDS))
        for gap_s in exchange.gaps:
            figures.gap.record_value(int(gap_s * MICROSECONDS))


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A closed loop of streamed completions, with limits and times.

    :ivar addresses: used by round robin
    :ivar streams: requests in progress at a time
    :ivar least_tokens: lower limit of an answer's random length
    :ivar most_tokens: upper limit of an answer's random length
    :ivar spread_s: the first requests start spread over this time
    :ivar check_text: compare each answer with the expected text
    """

    addresses: list[str]
    model: str
    streams: int
    seed: int = 1
    least_tokens: int = 50
    most_tokens: int = 150
    prompt_words: int = 100
    spread_s: float = 2
    measure_from_s: float = 5
    until_s: float = 15
    api_key: str | None = None
    check_text: bool = True


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one process, as passed between processes as JSON.

    :ivar first_byte: an encoded histogram
    :ivar gap: an encoded histogram
    """

    first_byte: str
    gap: str
    results: dict[str, int]
    outcomes: dict[str, int]
    tokens: int
    reconnects: int

    def figures(self) -> Figures:
        """Return the decoded figures."""
        decode = histogram.HdrHistogram.decode
        return Figures(
            decode(self.first_byte),
            decode(self.gap),
            collections.Counter(self.results),
            collections.Counter(self.outcomes),
            self.tokens,
            self.reconnects,
        )


def generate_requests(plan: Plan) -> typing.Iterator[load_stream.Request]:
    """Yield requests of *plan* without end; equal seeds give equal ones."""
    chance = random.Random(plan.seed)
    headers = {}
    if plan.api_key is not None:
        headers['Authorization'] = f'Bearer {plan.api_key}'
    number = 0
    while True:
        words = [f'w{chance.randrange(10**6)}' for _ in range(10)]
        prompt = ' '.join(words * (plan.prompt_words // len(words)))
        tokens = chance.randint(plan.least_tokens, plan.most_tokens)
        body = {
            'model': plan.model,
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': True,
        }
        expected = None
        if plan.check_text:
            expected = engine_text.expected_text(plan.model, prompt, tokens)
        yield load_stream.Request(
            address=plan.addresses[number % len(plan.addresses)],
            body=msgspec.json.encode(body),
            at_s=min(1, number / plan.streams) * plan.spread_s,
            headers=headers,
            expected=expected,
        )
        number += 1


def run(plan: Plan) -> Report:
    """Run *plan* in this process and return its figures."""
    generator = Generator(
        generate_requests(plan),
        plan.streams,
        plan.measure_from_s,
        plan.until_s,
    )
    generator.run()
    return encode_report(generator.figures[''])


def encode_report(figures: Figures) -> Report:
    """Encode *figures* for another process."""
    return Report(
        first_byte=figures.first_byte.encode().decode(),
        gap=figures.gap.encode().decode(),
        results=dict(figures.results),
        outcomes=dict(figures.outcomes),
        tokens=figures.tokens,
        reconnects=figures.reconnects,
    )


def main() -> None:
    """Run the plan read from standard input and print its report."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    print(msgspec.json.encode(run(plan)).decode())


if __name__ == '__main__':
    main()
