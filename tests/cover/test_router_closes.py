"""Requests that cross the close of their connection at a router."""

import socket
import threading
import unittest

from guavachute.decide.ingress.intake import process_limits
from guavachute.http import message
from guavachute.http import server
from guavachute.services.relay import downstream
from tests.support import hosting
from tests.support import waiting

LIMITS = process_limits.Limits(1_000_000, 50)
HALF = b'POST /half HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf'
GET = b'GET /%b HTTP/1.1\r\nHost: x\r\n\r\n'
TIMEOUT_S = 5.0


class StoppedServerTest(unittest.TestCase):
    """A server with an intake that stops while requests are on their way."""

    def setUp(self) -> None:
        self.begun = threading.Event()
        self.may_answer = threading.Event()
        self.addCleanup(self.may_answer.set)
        self.paths: list[str] = []
        self.detached: list[server.DetachedConnection] = []
        self.served = hosting.host(
            self,
            server.Server(
                'http',
                '127.0.0.1',
                0,
                self.handle,
                threads=1,
                limits=LIMITS,
            ),
        )

    def handle(
        self, request: message.Request, exchange: server.Exchange
    ) -> message.Response | message.Detach:
        self.paths.append(request.path)
        if request.path == '/detached':
            self.detached.append(exchange.detach())
            self.begun.set()
            return message.DETACH
        if request.path == '/waits':
            self.begun.set()
            self.may_answer.wait(TIMEOUT_S)
        return message.Response(200)

    def connect(self) -> socket.socket:
        raw = socket.create_connection(
            (self.served.host, self.served.port), TIMEOUT_S
        )
        self.addCleanup(raw.close)
        return raw

    def wait_until_read(self) -> None:
        """Wait until a request that was sent later is answered."""
        with self.connect() as other:
            other.sendall(GET % b'other')
            self.assertIn(b' 200 ', other.recv(65_536))

    def rest_of(self, raw: socket.socket) -> bytes:
        """All that arrives until the connection is closed."""
        received = b''
        try:
            while data := raw.recv(65_536):
                received += data
        except ConnectionResetError:
            pass
        return received

    # Guards against LOST at the end of a drain: a request that was read in
    # part got neither an answer nor a refusal.
    def test_a_request_that_was_read_in_part_is_refused(self) -> None:
        raw = self.connect()
        raw.sendall(HALF)
        self.wait_until_read()
        self.served.request_stop()
        answer = self.rest_of(raw)
        self.assertEqual(b'HTTP/1.1 503 ', answer[:13])
        self.assertIn(b'Connection: close', answer)

    # Guards against LOST at the end of a drain: a request that was read
    # together with the one before it was discarded, though the answer to that
    # one kept the connection.
    def test_a_request_that_was_read_with_the_one_before_is_refused(
        self,
    ) -> None:
        raw = self.connect()
        raw.sendall(GET % b'detached' + GET % b'second')
        self.assertTrue(self.begun.wait(TIMEOUT_S))
        self.served.request_stop()
        caller = downstream.Downstream(self.detached[0], keeps_alive=True)
        caller.send_response(200, {}, b'')
        caller.flush()
        caller.release()
        answer = self.rest_of(raw)
        self.assertEqual(b'HTTP/1.1 200 ', answer[:13])
        self.assertEqual(1, answer.count(b'HTTP/1.1 503 '), answer)
        self.assertEqual(['/detached'], self.paths)

    # Guards against an answer of a worker that keeps a connection which the
    # stop closes.
    def test_an_answer_in_a_stop_says_that_its_connection_is_closed(
        self,
    ) -> None:
        raw = self.connect()
        raw.sendall(GET % b'waits')
        self.assertTrue(self.begun.wait(TIMEOUT_S))
        stop = threading.Thread(target=self.served.request_stop)
        stop.start()
        self.addCleanup(stop.join)
        waiting.until(
            lambda: not self.served._server.ready, 'the listener is closed'
        )
        self.may_answer.set()
        answer = self.rest_of(raw)
        self.assertEqual(b'HTTP/1.1 200 ', answer[:13])
        self.assertIn(b'Connection: close', answer)

    # Guards against connections that stay open without being read until the
    # process ends, up to the drain limit, as they came while the intake ended.
    def test_a_connection_that_comes_while_the_intake_ends_is_closed(
        self,
    ) -> None:
        reader = self.served._server.reader
        assert reader is not None
        reader.stop()
        raw = self.connect()
        raw.sendall(GET % b'late')
        self.assertEqual(b'', self.rest_of(raw))
        self.assertEqual([], self.paths)
