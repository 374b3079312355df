"""The HTTP server keeps working after errors on its connections."""

import socket
import time
import unittest

import urllib3

from guavachute.decide.ingress.intake import process_limits
from guavachute.http import message
from guavachute.http import server
from guavachute.services import request_cost
from tests.support import hosting


class ServerTest(unittest.TestCase):
    def serve(self, handler: message.Handler) -> server.Server:
        return hosting.host(
            self, server.Server('http', '127.0.0.1', 0, handler, threads=1)
        )

    def get_status(self, served: server.Server, path: str) -> int:
        try:
            return urllib3.request(
                'GET',
                f'http://{served.address}{path}',
                retries=False,
                timeout=10,
            ).status
        except urllib3.exceptions.HTTPError:
            return 0

    def test_a_worker_outlives_a_connection_that_is_gone(self) -> None:
        def handle(
            request: message.Request, exchange: server.Exchange
        ) -> message.Response | message.Detach:
            if request.path == '/gone':
                # Like an abort, or a task that closes before the worker does.
                exchange.detach().socket.close()
                return message.DETACH
            return message.Response(200)

        served = self.serve(handle)
        for _ in range(3):
            self.assertEqual(0, self.get_status(served, '/gone'))
        self.assertEqual(200, self.get_status(served, '/'))

    def test_an_error_in_a_handler_is_a_500_and_no_more(self) -> None:
        def handle(
            request: message.Request, exchange: server.Exchange
        ) -> message.Response:
            if request.path == '/error':
                raise ValueError('an error in the handler')
            return message.Response(200)

        served = self.serve(handle)
        self.assertEqual(500, self.get_status(served, '/error'))
        self.assertEqual(200, self.get_status(served, '/'))

    def test_a_body_that_does_not_come_gets_a_4xx(self) -> None:
        served = hosting.host(
            self,
            server.Server(
                'http',
                '127.0.0.1',
                0,
                lambda request, exchange: message.Response(200),
                read_timeout_s=1,
            ),
        )
        with socket.create_connection((served.host, served.port), 20) as raw:
            raw.sendall(b'POST / HTTP/1.1\r\nHost: x\r\n')
            raw.sendall(b'Content-Length: 10\r\n\r\nslow')
            answer = raw.recv(1000)
        self.assertIn(b' 408 ', answer.split(b'\r\n')[0])
        self.assertEqual(200, self.get_status(served, '/'))


LIMITS = process_limits.Limits(1_000_000, 50)
BODY_BYTES = 200_000


def post(body: bytes, *lines: str, path: str = '/') -> bytes:
    head = [f'POST {path} HTTP/1.1', 'Host: x', *lines]
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


class IntakeTest(unittest.TestCase):
    """Requests are read in one thread, and served by one worker."""

    def setUp(self) -> None:
        self.bodies: list[bytes] = []

        def handle(
            request: message.Request, exchange: server.Exchange
        ) -> message.Response:
            self.bodies.append(request.body)
            return message.Response(200, b'%d' % len(request.body))

        self.served = hosting.host(
            self,
            server.Server(
                'http',
                '127.0.0.1',
                0,
                handle,
                threads=1,
                max_body_bytes=BODY_BYTES,
                read_timeout_s=2,
                limits=LIMITS,
            ),
        )

    def connect(self) -> socket.socket:
        raw = socket.create_connection(
            (self.served.host, self.served.port), 20
        )
        self.addCleanup(raw.close)
        return raw

    def answers(self, raw: socket.socket, count: int = 1) -> list[bytes]:
        """The status lines of the next answers."""
        received = b''
        while (
            received.count(b'HTTP/1.1 ') < count
            or b'\r\n' not in (received.rpartition(b'HTTP/1.1 ')[2])
        ):
            data = raw.recv(65_536)
            if not data:
                break
            received += data
        return [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]

    def test_requests_follow_each_other_on_a_connection(self) -> None:
        """Guards against bytes that are lost between two requests."""
        raw = self.connect()
        raw.sendall(post(b'abc', 'Content-Length: 3') * 3)
        self.assertEqual([b'200'] * 3, self.answers(raw, 3))
        raw.sendall(post(b'2\r\nde\r\n1\r\nf\r\n0\r\n\r\n',
                         'Transfer-Encoding: chunked'))  # fmt: skip
        self.assertEqual([b'200'], self.answers(raw))
        self.assertEqual([b'abc', b'abc', b'abc', b'def'], self.bodies)

    def test_slow_requests_occupy_no_worker(self) -> None:
        """Guards against callers that stall all workers."""
        for _ in range(5):
            self.connect().sendall(post(b'abc', 'Content-Length: 10'))
            self.connect().sendall(b'POST / HTT')
        raw = self.connect()
        raw.sendall(post(b'abc', 'Content-Length: 3'))
        self.assertEqual([b'200'], self.answers(raw))

    def test_a_body_that_does_not_come_gets_408(self) -> None:
        raw = self.connect()
        raw.sendall(post(b'abc', 'Content-Length: 10'))
        self.assertEqual([b'408'], self.answers(raw))

    def test_bodies_beyond_the_limit_get_413(self) -> None:
        raw = self.connect()
        raw.sendall(post(b'', f'Content-Length: {BODY_BYTES + 1}'))
        self.assertEqual([b'413'], self.answers(raw))
        raw = self.connect()
        chunk = b'%x\r\n%s\r\n' % (BODY_BYTES, b'x' * BODY_BYTES)
        raw.sendall(post(2 * chunk, 'Transfer-Encoding: chunked'))
        self.assertEqual([b'413'], self.answers(raw))

    def test_a_body_of_small_chunks_counts_as_its_content(self) -> None:
        """Guards against 413 for chunk sizes rather than for the body."""
        raw = self.connect()
        body = b'1\r\nx\r\n' * 50_000 + b'0\r\n\r\n'
        raw.sendall(post(body, 'Transfer-Encoding: chunked'))
        self.assertEqual([b'200'], self.answers(raw))

    def test_a_request_that_offers_another_protocol_keeps_its_body(
        self,
    ) -> None:
        """Guards against a chunked body that is not read after an offer."""
        raw = self.connect()
        offer = ('Connection: Upgrade', 'Upgrade: h2c')
        for head, body in (
            ('Transfer-Encoding: chunked', b'3\r\nabc\r\n0\r\n\r\n'),
            ('Content-Length: 3', b'abc'),
        ):
            data = post(body, *offer, head)
            for part in (data[: -len(body)], body[:-1], body[-1:] + data):
                raw.sendall(part)
                time.sleep(0.05)
            self.assertEqual([b'200'] * 2, self.answers(raw, 2))
        self.assertEqual([b'abc'] * 4, self.bodies)

    def test_a_caller_that_waits_for_100_gets_it(self) -> None:
        raw = self.connect()
        raw.sendall(post(b'', 'Content-Length: 3', 'Expect: 100-continue'))
        self.assertEqual(b'100', self.answers(raw)[0])
        raw.sendall(b'abc')
        self.assertIn(b'200', self.answers(raw, 2))

    def test_malformed_requests_get_400(self) -> None:
        for request in (
            post(b'', 'no colon'),
            b'POST\r\n\r\n',
            post(b'', 'Content-Length: x'),
        ):
            raw = self.connect()
            raw.sendall(request)
            with self.subTest(request=request):
                self.assertEqual([b'400'], self.answers(raw))

    def test_all_large_bodies_are_served_one_after_another(self) -> None:
        """Guards against bodies that wait for room for ever."""
        callers = [self.connect() for _ in range(10)]
        for raw in callers:
            raw.sendall(post(b'', f'Content-Length: {BODY_BYTES}'))
        for part in range(4):
            for raw in callers:
                raw.sendall(b'x' * (BODY_BYTES // 4))
        statuses = [self.answers(raw)[0] for raw in callers]
        self.assertLessEqual(set(statuses), {b'200', b'503'})
        self.assertIn(b'200', statuses)


class LoneRequestTest(unittest.TestCase):
    def test_a_request_beyond_the_budget_is_served_alone(self) -> None:
        """Guards against a 503 on each retry although memory is free."""
        for share, status in ((1.3, 200), (1.6, 503)):
            served = hosting.host(
                self,
                server.Server(
                    'http',
                    '127.0.0.1',
                    0,
                    lambda request, exchange: message.Response(200),
                    limits=LIMITS,
                    request_cost=lambda data, limit, share=share: round(
                        share * LIMITS.held_bytes
                    ),
                ),
            )
            answer = urllib3.request(
                'POST', f'http://{served.address}/', body=b'a', retries=False
            )
            self.assertEqual(status, answer.status)


class RequestCostTest(unittest.TestCase):
    """Guards against JSON whose objects take many times its bytes."""

    def cost(self, body: bytes, limit_bytes: int = 10_000_000) -> int:
        return request_cost.request_cost(
            bytearray(b'POST /v1/completions HTTP/1.1\r\n\r\n' + body),
            limit_bytes,
        )

    def test_many_small_values_cost_more_than_their_bytes(self) -> None:
        self.assertGreater(self.cost(b'[' + b'[],' * 30_000), 6_000_000)

    def test_marks_in_a_text_cost_nothing(self) -> None:
        body = b'{"prompt": "' + b'[,\\",' * 200_000 + b'"}'
        self.assertLess(self.cost(body), 5 * len(body))

    def test_counting_ends_beyond_the_limit(self) -> None:
        cost = self.cost(b'[],' * 100_000, 1_500_000)
        self.assertGreater(cost, 1_500_000)
        self.assertLess(cost, 1_600_000)

    def test_wide_characters_count_with_their_width(self) -> None:
        body = b'{"prompt": "' + b'x' * 100_000 + b'\\ud83d\\ude00"}'
        self.assertGreater(self.cost(body), 6 * len(body))
