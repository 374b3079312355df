"""Endpoints that fall silent for a moment, and go on.

Patterns: no packet is answered for a second; just one probe gets lost;
requests wait at an endpoint that no node hears.
"""

import socket
import unittest

from guavachute.decide import keepalive
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from tests.support import cut_links
from tests.support import looping
from tests.support import platform_site

SILENCE_S = 1.5
"""A sound endpoint may be silent for a second or so."""

NOTICED_S = 5.0
"""A connection to a peer that is gone has to be given up within this time."""


class KeepaliveTest(unittest.TestCase):
    def test_the_timeout_counts_and_not_the_number_of_probes(self) -> None:
        options = keepalive.Keepalive(2.0, 1.0, 3.0)
        self.assertEqual(3.0, options.noticed_after_s)
        self.assertEqual(0.0, options.survived_silence_s)

    def test_a_timeout_below_the_idle_time_waits_for_a_probe(self) -> None:
        options = keepalive.Keepalive(5.0, 2.0, 1.0)
        self.assertEqual(7.0, options.noticed_after_s)
        self.assertEqual(0.0, options.survived_silence_s)

    # Guards against connections that a single lost probe ends.
    def test_connections_survive_a_short_silence(self) -> None:
        options = transport.KEEPALIVE
        self.assertGreaterEqual(options.survived_silence_s, SILENCE_S)
        self.assertLessEqual(options.noticed_after_s, NOTICED_S)

    def test_the_options_are_set_on_each_connection(self) -> None:
        loop = entry_loop.Loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = transport.Connection(loop, sock, is_open=False)
        options = transport.KEEPALIVE
        found = [
            sock.getsockopt(socket.IPPROTO_TCP, name)
            for name in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_USER_TIMEOUT,
            )
        ]
        connection.close()
        self.assertEqual(
            [
                options.idle_s,
                options.interval_s,
                1_000 * options.user_timeout_s,
            ],
            found,
        )


class SilentEndpointTest(unittest.TestCase):
    # Guards against work that is sent elsewhere although its endpoint, which
    # no node hears for a second, goes on with it.
    def test_an_endpoint_that_is_silent_for_all_keeps_its_requests(
        self,
    ) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        engines = [
            site.add_engine(f'm{number}', platform_site.MODEL_SERVICE, 12)
            for number in range(2)
        ]
        nodes = [site.ready_node() for _ in range(2)]
        for engine in engines:
            engine.event_pause_s = 0.1
        callers = [site.send(node, '/resumable/a') for node in nodes]
        looping.run_until(
            site.loop,
            lambda: all(b'\n\n' in item.reply.body for item in callers),
        )
        for node in nodes:
            site.links.cut(node.loop, cut_links.Mode.HANG)
        looping.run_for(site.loop, SILENCE_S)
        for node in nodes:
            site.links.cut(node.loop, cut_links.Mode.OPEN)
        looping.run_until(
            site.loop, lambda: all(item.reply.has_ended for item in callers)
        )
        for caller in callers:
            self.assertTrue(caller.reply.is_complete)
        self.assertEqual(2, sum(len(engine.runs) for engine in engines))
