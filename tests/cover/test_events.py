"""Events are split the same way, however the bytes are divided."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.services.relay import events

STREAM = (
    b'data: {"a": 1}\n\n: a comment\n\ndata:{"b": 2}\n\n'
    b'event: token\ndata: {"c": 3}\n\ndata: [DONE]\n\n'
)
DATA = [b'{"a": 1}', b'{"b": 2}', b'{"c": 3}', b'[DONE]']


class SplitterTest(unittest.TestCase):
    @hypothesis.given(
        offsets=strategies.lists(strategies.integers(0, len(STREAM) + 20)),
        line_end=strategies.sampled_from((b'\n', b'\r\n')),
    )
    def test_cuts_and_line_ends_do_not_matter(
        self, offsets: list[int], line_end: bytes
    ) -> None:
        stream = STREAM.replace(b'\n', line_end)
        bounds = [0, *sorted(offsets), len(stream)]
        splitter = events.Splitter()
        found: list[bytes] = []
        for start, end in zip(bounds, bounds[1:], strict=False):
            found += splitter.feed(stream[start:end])
        self.assertEqual(DATA, found)
