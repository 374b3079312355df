"""Attempts that cross the close of an idle connection to an endpoint."""

import typing
import unittest
from unittest import mock

from guavachute.entry import transport
from guavachute.standin.platform import engine
from tests.support import looping
from tests.support import platform_site


class CrossedAttemptsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.plain = self.site.add_engine('e1', platform_site.PLAIN_SERVICE)
        self.node = self.site.ready_node()
        # The connection of this call is idle afterwards.
        self.assertEqual(200, self.fetch('/lookup/first'))

    def fetch(self, path: str) -> int:
        caller = self.site.send(self.node, path)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        return caller.reply.status

    def fetch_crossing(self, path: str) -> int:
        """The status of a call whose idle connection ends as it is sent."""
        write = transport.Connection.write
        start = f' {path} HTTP/1.1\r\n'.encode()
        crossed = False

        def write_and_close(
            connection: transport.Connection, data: bytes
        ) -> typing.Any:
            nonlocal crossed
            result = write(connection, data)
            if not crossed and start in data:
                crossed = True
                self.plain.abort_connections()
            return result

        with mock.patch.object(transport.Connection, 'write', write_and_close):
            status = self.fetch(path)
        self.assertTrue(crossed)
        return status

    # Guards against an idempotent request that fails as its only endpoint
    # closed an idle connection while the request was on its way.
    def test_a_request_that_crosses_an_idle_close_is_sent_again(self) -> None:
        self.assertEqual(200, self.fetch_crossing('/lookup/crossing'))
        self.assertEqual(2, len(self.plain.runs))

    # Guards against an order that is sent twice.
    def test_an_order_that_crosses_an_idle_close_is_not(self) -> None:
        self.assertEqual(502, self.fetch_crossing('/order/crossing'))
        self.assertEqual(1, len(self.plain.runs))

    # Guards against the endpoint that closed the connection if another one
    # can be used.
    def test_another_endpoint_comes_first(self) -> None:
        other = self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        looping.run_until(
            self.site.loop, lambda: len(self.node.state.table.entries) == 2
        )
        self.plain.behaviour = engine.Behaviour.LOSE
        for _ in range(10):
            self.assertEqual(200, self.fetch('/lookup/lost'))
        lost = len(self.plain.runs) - 1
        self.assertGreater(lost, 0)
        self.assertEqual(10, len(other.runs))
