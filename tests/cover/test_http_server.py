"""The HTTP server keeps working after errors on its connections."""

import socket
import unittest

import urllib3

from guavachute.http import message
from guavachute.http import server
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
