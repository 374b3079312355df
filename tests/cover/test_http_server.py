"""The HTTP server survives what happens to its connections."""

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

    def ask(self, served: server.Server, path: str) -> int:
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
                # As an abort, or a task that closed before the worker.
                exchange.take().socket.close()
                return message.DETACH
            return message.Response(200)

        served = self.serve(handle)
        for _ in range(3):
            self.assertEqual(0, self.ask(served, '/gone'))
        self.assertEqual(200, self.ask(served, '/'))

    def test_an_error_in_a_handler_is_a_500_and_no_more(self) -> None:
        def handle(
            request: message.Request, exchange: server.Exchange
        ) -> message.Response:
            if request.path == '/error':
                raise ValueError('a fault of the handler')
            return message.Response(200)

        served = self.serve(handle)
        self.assertEqual(500, self.ask(served, '/error'))
        self.assertEqual(200, self.ask(served, '/'))
