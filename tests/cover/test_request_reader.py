"""What the parser believes of a request is what the caller has sent.

Patterns: offers of another protocol, as a widely used client library sends
them with each first request; requests in pieces, and several in one piece.
"""

import unittest

from guavachute.entry import http1
from tests.support import looping
from tests.support import platform_site

MAX_HEAD_BYTES = 4_096
BODY = b'{"truck": 7}'
OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\n'
    b'HTTP2-Settings: AAEAAEAA\r\n'
)


def read(pieces: list[bytes]) -> http1.RequestReader:
    reader = http1.RequestReader(MAX_HEAD_BYTES, 65_536)
    for piece in pieces:
        reader.feed(piece)
    return reader


def encode(attempt: str, more: bytes = b'', is_chunked: bool = False) -> bytes:
    framing = b'Content-Length: %d\r\n' % len(BODY)
    body = BODY
    if is_chunked:
        framing = b'Transfer-Encoding: chunked\r\n'
        body = http1.encode_chunk(BODY) + http1.LAST_CHUNK
    return (
        b'POST /order/a HTTP/1.1\r\nHost: a\r\nAttempt-Id: %s\r\n'
        % attempt.encode()
        + framing
        + more
        + b'\r\n'
        + body
    )


class OfferTest(unittest.TestCase):
    # Guards against UNASKED: a request that offered HTTP/2 ran with an empty
    # body, and its body was read as another request.
    def test_a_request_with_an_offer_keeps_its_body(self) -> None:
        for is_chunked in (False, True):
            data = encode('1', OFFER, is_chunked) * 3 + encode('2')
            for size in (1, 7, 100, len(data)):
                pieces = [
                    data[at : at + size] for at in range(0, len(data), size)
                ]
                reader = read(pieces)
                self.assertIsNone(reader.problem)
                self.assertEqual(
                    [BODY] * 4, [item.body for item in reader.requests]
                )
                self.assertTrue(
                    all(item.keeps_alive for item in reader.requests)
                )
                self.assertFalse(reader.is_reading_request)

    def test_many_offers_in_one_piece_are_read(self) -> None:
        reader = read([encode('1', OFFER) * 3_000])
        self.assertEqual(3_000, len(reader.requests))

    def test_a_tunnel_is_rejected(self) -> None:
        reader = read([b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n' + BODY])
        self.assertIs(http1.Problem.MALFORMED, reader.problem)
        self.assertEqual([], reader.requests)

    # Guards against an exception that ended the process.
    def test_an_offer_in_another_protocol_is_rejected(self) -> None:
        for method in (b'PLAY', b'DESCRIBE'):
            reader = read([method + b' /x RTSP/1.0\r\n' + OFFER + b'\r\n'])
            self.assertIs(http1.Problem.MALFORMED, reader.problem)
            self.assertEqual([], reader.requests)

    def test_two_lengths_are_rejected_with_an_offer_too(self) -> None:
        for more in (
            b'Content-Length: 3\r\n',
            b'Transfer-Encoding: chunked\r\n',
        ):
            reader = read([encode('1', OFFER + more)])
            self.assertIsNotNone(reader.problem)
            self.assertEqual([], reader.requests)

    # Guards against UNASKED at the endpoint, with a real connection.
    def test_the_endpoint_gets_the_body(self) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        engine = site.add_engine('e1', platform_site.PLAIN_SERVICE)
        bodies: list[bytes] = []
        answer_plain = engine._answer

        def answer(item) -> None:  # type: ignore[no-untyped-def]
            bodies.append(item.request.body)
            answer_plain(item)

        engine._answer = answer  # type: ignore[method-assign]
        caller = site.send(
            site.ready_node(),
            '/order/a',
            body=BODY,
            Connection='Upgrade, HTTP2-Settings',
            Upgrade='h2c',
            HTTP2_Settings='AAEAAEAA',
        )
        looping.run_until(site.loop, lambda: caller.reply.has_ended)
        self.assertEqual(200, caller.reply.status)
        self.assertEqual([BODY], bodies)
        looping.run_for(site.loop, 0.1)
        self.assertFalse(caller.reply.is_closed)


class HeadSizeTest(unittest.TestCase):
    """Heads up to the limit, however they come."""

    # Guards against DENIED: a head of over half of the limit got 431 if it
    # came in two pieces, as its bytes were counted twice.
    def test_a_head_within_the_limit_may_come_in_pieces(self) -> None:
        filler = b'X-Filler: %s\r\n' % (b'f' * 1_500)
        data = encode('1', filler * 2)
        for at in range(1, len(data), 97):
            reader = read([data[:at], data[at:]])
            self.assertIsNone(reader.problem, at)
            self.assertEqual(1, len(reader.requests), at)
        reader = read([data[at : at + 1] for at in range(len(data))])
        self.assertEqual(1, len(reader.requests))

    # Guards against the same for a head that begins in the piece in which a
    # long body ends.
    def test_what_came_before_a_head_does_not_count(self) -> None:
        data = (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n'
            + b'b' * 30_000
            + encode('2')
        )
        for cut in (20, 60, len(encode('2')) - 20):
            reader = read([data[:-cut], data[-cut:]])
            self.assertIsNone(reader.problem, cut)
            self.assertEqual(2, len(reader.requests), cut)

    def test_a_head_beyond_the_limit_is_rejected(self) -> None:
        long_header = b'X-Filler: %s\r\n' % (b'f' * MAX_HEAD_BYTES)
        many_headers = b'X-Filler: f\r\n' * 400
        for more in (long_header, many_headers):
            data = encode('1', more)
            for size in (1, 50, len(data)):
                pieces = [
                    data[at : at + size] for at in range(0, len(data), size)
                ]
                reader = read(pieces)
                self.assertIs(http1.Problem.HEAD_TOO_LARGE, reader.problem)
                self.assertEqual([], reader.requests)

    def test_a_head_without_end_is_rejected(self) -> None:
        for start in (
            b'GET /',
            b'GET / HTTP/1.1\r\nX: ',
            b'GET / HTTP/1.1\r\n',
        ):
            reader = read([start, *[b'x' * 100] * 42])
            self.assertIsNotNone(reader.problem, start)
