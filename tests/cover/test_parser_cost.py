"""What a byte or an entry costs must not depend on what came before it.

Patterns: an engine in trouble sends bytes that never end an event, a head, a
chunk line or a body, in small pieces; engines crash under prompts of hundreds
of parts.
"""

import time
import tracemalloc
import typing
import unittest

from guavachute.decide.ingress import crashing_parts
from guavachute.decide.ingress import event_stream
from guavachute.entry import http1
from guavachute import ids
from guavachute.services.relay import events

PIECE = b'word by '
SIZES = (8_000, 80_000, 800_000)
MAX_GROWTH = 5.0
"""The cost of a byte at the largest size, compared with the smallest. It grew
a hundredfold where each piece copied all that had come before."""

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
REQUEST = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'

Feed = typing.Callable[[bytes], object]


def seconds_per_byte(begin: typing.Callable[[], Feed], size: int) -> float:
    """Processor time of one byte when *size* bytes come in small pieces."""
    best_s = float('inf')
    for _ in range(3):
        feed = begin()
        began_s = time.process_time()
        for _ in range(size // len(PIECE)):
            feed(PIECE)
        best_s = min(best_s, time.process_time() - began_s)
    return best_s / size


class ParserCostTest(unittest.TestCase):
    def check(self, begin: typing.Callable[[], Feed]) -> None:
        costs = [seconds_per_byte(begin, size) for size in SIZES]
        self.assertLess(costs[-1], MAX_GROWTH * costs[0], costs)

    # Guards against processes that stand still for seconds while a stream
    # goes on without the end of an event.
    def test_an_event_without_end(self) -> None:
        def begin() -> Feed:
            stream = event_stream.EventStream()
            stream.feed(b'id: 1\ndata: one\n\n')
            return stream.feed

        self.check(begin)

    def test_a_first_event_without_end(self) -> None:
        self.check(lambda: event_stream.EventStream().feed)

    def test_an_event_without_end_at_a_router(self) -> None:
        self.check(lambda: events.Splitter().feed)

    def test_the_chunks_of_an_answer_without_end(self) -> None:
        def begin() -> Feed:
            reader = http1.AnswerReader()
            reader.feed(HEAD)
            return lambda data: reader.feed(http1.encode_chunk(data))

        self.check(begin)

    def test_the_chunks_of_a_request_without_end(self) -> None:
        def begin() -> Feed:
            reader = http1.RequestReader(4_096, 10_000_000)
            reader.feed(REQUEST)
            return lambda data: reader.feed(http1.encode_chunk(data))

        self.check(begin)


class SmallChunksTest(unittest.TestCase):
    """A body in chunks of one or two bytes."""

    BYTES = 400_000
    PIECE_CHUNKS = 10_000

    def chunks(self) -> typing.Iterator[bytes]:
        piece = http1.encode_chunk(b'ab') * self.PIECE_CHUNKS
        for _ in range(self.BYTES // (2 * self.PIECE_CHUNKS)):
            yield piece

    # Guards against turns of the loop that are as long as a piece has chunks.
    def test_the_chunks_of_one_piece_are_handled_together(self) -> None:
        reader = http1.AnswerReader()
        reader.feed(HEAD)
        for piece in self.chunks():
            (part,) = reader.feed(piece)
            assert isinstance(part, http1.AnswerBody)
            self.assertEqual(b'ab' * self.PIECE_CHUNKS, part.data)
        last = http1.encode_chunk(b'c') + http1.LAST_CHUNK + HEAD
        self.assertEqual(
            [http1.AnswerBody, http1.AnswerEnded, http1.AnswerStarted],
            [type(event) for event in reader.feed(last)],
        )

    # Guards against memory that is filled by the bookkeeping of small chunks.
    def test_a_request_takes_as_much_memory_as_its_body(self) -> None:
        reader = http1.RequestReader(4_096, 10_000_000)
        reader.feed(REQUEST)
        pieces = list(self.chunks())
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for piece in pieces:
            reader.feed(piece)
        kept_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(kept_bytes, 2 * self.BYTES)
        reader.feed(http1.LAST_CHUNK)
        (request,) = reader.requests
        self.assertEqual(b'ab' * (self.BYTES // 2), request.body)
        kept_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(kept_bytes, 1.2 * self.BYTES)


class TableCostTest(unittest.TestCase):
    # Guards against processes that stand still after crashes: beyond 1,000
    # suspected parts, each further one was paid with a look at all of them.
    def test_parts_beyond_the_bound_cost_as_much_as_those_below(self) -> None:
        def seconds_for(parts: crashing_parts.CrashingParts, at: int) -> float:
            names = [f'part-{at}-{number}' for number in range(500)]
            began_s = time.process_time()
            parts.record_crash(ids.CrashId(at), names, 1.0, 1.0)
            return time.process_time() - began_s

        first_s = later_s = float('inf')
        for _ in range(3):
            parts = crashing_parts.CrashingParts()
            first_s = min(first_s, seconds_for(parts, 0))
            seconds_for(parts, 1)
            later_s = min(later_s, seconds_for(parts, 2))
        self.assertLess(later_s, 10 * first_s)
