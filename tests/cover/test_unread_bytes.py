"""Bytes that the operating system holds count; closed peers are noticed."""

import os
import socket
import typing
import unittest

from guavachute.decide.ingress import endpoint_links
from guavachute.decide.ingress.intake import budget
from guavachute.decide.ingress.intake import process_limits
from guavachute.domain import configuration
from guavachute.entry import http1
from guavachute.entry.intake import guard
from guavachute.entry import loop as entry_loop
from guavachute.entry import relay_server
from guavachute.entry import transport
from guavachute.entry import upstream
from guavachute import ids
from guavachute.wire import relay_requests
from tests.support import looping
from tests.support import misbehaving
from tests.support import platform_site

MEGABYTE = process_limits.MEGABYTE
UNREAD_BYTES = 16_384


class _Owner:
    """Records what a connection tells."""

    def __init__(self) -> None:
        self.received_bytes = 0
        self.ends: list[bool] = []

    def received(self, data: bytes) -> None:
        self.received_bytes += len(data)

    def ended(self, is_clean: bool) -> None:
        self.ends.append(is_clean)

    def drained(self) -> None:
        """Nothing is written."""


class ConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = entry_loop.Loop()
        self.accepted: list[transport.Connection] = []
        self.owner = _Owner()
        listener = transport.Listener(
            self.loop, ids.Address('127.0.0.1:0'), self.accept, UNREAD_BYTES
        )
        self.addCleanup(listener.close)
        host, _, port = listener.address.rpartition(':')
        self.peer = socket.create_connection((host, int(port)))
        self.addCleanup(self.peer.close)
        self.peer.setblocking(False)
        looping.run_until(self.loop, lambda: self.accepted)

    def accept(self, connection: transport.Connection) -> None:
        connection.owner = self.owner
        self.accepted.append(connection)
        self.addCleanup(connection.close)

    def fill(self) -> int:
        """Send until nothing more is accepted; how much was sent."""
        sent = 0
        try:
            while True:
                sent += self.peer.send(b'x' * 65_536)
        except BlockingIOError:
            return sent

    def test_what_is_not_read_is_limited(self) -> None:
        connection = self.accepted[0]
        connection.pause(notices_close=True)
        self.fill()
        looping.run_for(self.loop, 0.1)
        connection.resume()
        connection.receive_now()
        self.assertLessEqual(self.owner.received_bytes, UNREAD_BYTES)
        self.assertGreater(self.owner.received_bytes, 0)

    def test_a_close_is_noticed_behind_bytes_that_are_not_read(self) -> None:
        """Guards against connections that stay as nobody reads them."""
        self.accepted[0].pause(notices_close=True)
        self.peer.send(b'unread')
        looping.run_for(self.loop, 0.05)
        self.assertEqual([], self.owner.ends)
        self.peer.close()
        looping.run_until(self.loop, lambda: self.owner.ends)
        self.assertEqual([False], self.owner.ends)
        self.assertEqual(0, self.owner.received_bytes)

    def test_an_end_is_not_noticed_where_what_came_before_counts(
        self,
    ) -> None:
        """Guards against answers that are cut where a caller reads slowly."""
        self.accepted[0].pause()
        self.peer.send(b'answer')
        self.peer.close()
        looping.run_for(self.loop, 0.05)
        self.assertEqual([], self.owner.ends)
        self.accepted[0].resume()
        looping.run_until(self.loop, lambda: self.owner.ends)
        self.assertEqual([True], self.owner.ends)
        self.assertEqual(6, self.owner.received_bytes)


class _Answer:
    """An answer that is left alone."""

    def handle_upstream_event(self, event: http1.AnswerEvent) -> None:
        """Nothing is read."""

    def handle_upstream_ended(
        self, is_clean: bool, was_connected: bool
    ) -> None:
        """Nothing is expected then."""


class EndpointTest(unittest.TestCase):
    def test_an_answer_that_is_not_read_is_limited(self) -> None:
        """Guards against streams to callers that read nothing."""
        loop = entry_loop.Loop()
        endpoint = self.enterContext(socket.create_server(('127.0.0.1', 0)))
        address = ids.Address('127.0.0.1:%d' % endpoint.getsockname()[1])
        pool = upstream.Pool(loop, endpoint_links.EndpointLinks())
        connection = pool.acquire(address, ids.AttemptId('a'), False)
        self.addCleanup(connection.close)
        answer = _Answer()
        connection.send_request(b'GET / HTTP/1.1\r\n\r\n', answer)
        peer = self.enterContext(endpoint.accept()[0])
        looping.run_until(loop, lambda: connection.is_connected)
        connection.pause()
        peer.recv(1_024)
        peer.setblocking(False)
        with self.assertRaises(BlockingIOError):
            peer.send(b'HTTP/1.1 200 OK\r\n\r\n')
            while True:
                peer.send(b'x' * 65_536)
        # The peer sends nothing more, whatever is read.
        looping.run_for(loop, 0.2)
        peer.shutdown(socket.SHUT_RDWR)
        unread = misbehaving.unread_mb(os.getpid()) * 2**20
        self.assertLessEqual(unread, upstream.MAX_UNREAD_BYTES)
        self.assertGreater(unread, 0)


class RelayTest(unittest.TestCase):
    def test_what_has_no_room_is_told_to_be_not_sent(self) -> None:
        """Guards against a 503 of another node taken for an endpoint's."""
        loop = entry_loop.Loop()
        unused: typing.Any = None
        server = relay_server.RelayServer(
            loop,
            ids.Address('127.0.0.1:0'),
            unused,
            unused,
            configuration.CallerLimits,
            unused,
            8.0,
            guard.Guard(loop, process_limits.Limits(1_000, 10)),
        )
        self.addCleanup(server.close)
        connection = platform_site.CallerSocket(loop, server.address)
        self.addCleanup(connection.close)
        connection.send(
            relay_requests.encode(
                relay_requests.RelayRequest(
                    ids.EndpointId('e1'),
                    1,
                    ids.AttemptId('a'),
                    False,
                    b'x' * 10_000,
                )
            )
        )
        looping.run_until(loop, lambda: connection.reply.is_complete)
        headers = [
            (name.encode(), value.encode())
            for name, value in connection.reply.headers.items()
        ]
        self.assertEqual(503, connection.reply.status)
        self.assertIsNotNone(relay_requests.refusal(headers))


class BudgetTest(unittest.TestCase):
    """Crowds whose bytes wait in the operating system."""

    def setUp(self) -> None:
        self.limits = process_limits.for_callers(160 * MEGABYTE, 4_096)
        self.budget: budget.Budget[int] = budget.Budget(self.limits)

    def test_all_that_is_not_read_fits_into_the_memory(self) -> None:
        for memory_mb in (32, 80, 120, 160, 300, 552):
            for descriptors in (64, 1_024, 4_096, 16_384):
                limits = process_limits.for_callers(
                    memory_mb * MEGABYTE, descriptors
                )
                unread_bytes = limits.connections * limits.unread_bytes
                spare_bytes = max(
                    process_limits.MIN_HELD_BYTES,
                    memory_mb * MEGABYTE - process_limits.BASE_BYTES,
                )
                self.assertLessEqual(
                    unread_bytes, process_limits.UNREAD_FRACTION * spare_bytes
                )

    def test_idle_connections_do_not_fill_a_budget(self) -> None:
        """Guards against addresses that refuse all, as many are connected."""
        for memory_mb in (32, 120, 160, 300, 552):
            for descriptors in (64, 1_024, 4_096, 16_384):
                settings = memory_mb * MEGABYTE, descriptors
                found = [process_limits.for_callers(*settings)]
                found += [
                    process_limits.for_queries(*settings, queries)
                    for queries in process_limits.Queries
                ]
                self.assertEqual(4, len(found))
                for limits in found:
                    self.assertLessEqual(
                        limits.connections * budget.CONNECTION_BYTES,
                        budget.SHORT_FRACTION * limits.held_bytes,
                    )

    def test_a_body_that_waits_counts_what_may_be_unread(self) -> None:
        usage = budget.Usage(budget.Phase.READING, 100_000, 4 * MEGABYTE)
        self.budget.record(1, usage, 0.0)
        before = self.budget.total_bytes
        self.budget.mark_waiting(1)
        self.assertEqual(
            before + self.limits.unread_bytes, self.budget.total_bytes
        )
        self.budget.remove(1)
        self.assertEqual(0, self.budget.total_bytes)

    def test_a_body_does_not_wait_for_ever(self) -> None:
        """Guards against a crowd that keeps its buffers, one at a time."""
        self.budget.record(
            0, budget.Usage(budget.Phase.SERVING, 40 * MEGABYTE), 0.0
        )
        for number in range(1, 20):
            self.budget.record(
                number,
                budget.Usage(budget.Phase.READING, 60_000, 2 * MEGABYTE),
                0.0,
            )
        self.assertEqual(19, len(self.budget.decide(0.1).wait))
        self.assertEqual([], self.budget.decide(1.0).refuse)
        refused = self.budget.decide(0.1 + budget.MAX_WAIT_S).refuse
        self.assertEqual(19, len(refused))

    def test_beyond_the_budget_small_requests_wait_too(self) -> None:
        """Guards against a crowd of requests that are small each."""
        for number in range(1_500):
            self.budget.record(
                number, budget.Usage(budget.Phase.READING, 60_000, 10), 0.0
            )
        self.budget.decide(0.1)
        usage = budget.Usage(budget.Phase.READING, 20_000, 10)
        self.assertTrue(self.budget.record(-1, usage, 0.1))
        tiny = budget.Usage(budget.Phase.READING, 1_000, 10)
        self.assertFalse(self.budget.record(-2, tiny, 0.1))

    def test_a_stream_that_nobody_reads_gives_way_last(self) -> None:
        for number in range(30):
            self.budget.record(
                number,
                budget.Usage(
                    budget.Phase.SERVING,
                    2 * MEGABYTE,
                    unsent_bytes=2 * MEGABYTE,
                ),
                0.0,
            )
        self.budget.record(
            99, budget.Usage(budget.Phase.SERVING, 2 * MEGABYTE), 0.0
        )
        self.budget.decide(0.1)
        self.assertEqual([], self.budget.decide(4.0).refuse)
        refused = self.budget.decide(6.0).refuse
        self.assertTrue(refused)
        self.assertNotIn(99, refused)
