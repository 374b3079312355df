"""A configuration of many routes, where a narrow link joins the regions.

Pattern: all nodes of the region beyond the link need the same hundreds of
kilobytes at once. Reads that are given up halfway and begun again, by all
nodes, keep the link full for longer than a configuration may take.
"""

import typing
import unittest

from guavachute.entry import catch_up
from guavachute.entry import control_client
from guavachute.entry import loop as entry_loop
from guavachute.entry import peer_table
from guavachute import ids
from guavachute.standin.platform import server
from tests.support import looping
from tests.support import updates


class WhoIsAskedTest(unittest.TestCase):
    """No network; the loop's time is set by the test."""

    def setUp(self) -> None:
        self.loop = entry_loop.Loop()
        self.loop.now_s = 100.0
        self.table = peer_table.PeerTable(
            ids.Region('here'), lambda: self.loop.now_s
        )
        self.asked: list[str] = []
        self.done: list[catch_up.Done] = []
        self.store_reads = 0
        self.is_needed = True
        state = catch_up.VersionedState(
            is_needed=lambda: self.is_needed,
            own_version=lambda: 5,
            peer_version=lambda update: update.configuration_version,
            fetch=self.fetch,
            read_store=self.read_store,
        )
        self.catch_up = catch_up.CatchUp(self.loop, self.table, [state])

    def fetch(self, peer: peer_table.Peer, done: catch_up.Done) -> None:
        assert peer.update is not None
        self.asked.append(peer.update.node)
        self.done.append(done)

    def read_store(self) -> None:
        self.store_reads += 1

    def update(self, node: str, region: str, version: int) -> None:
        """A node's update comes; all others stay as recent."""
        update = updates.node_update(
            node, region, configuration_version=version,
            sequence=int(1000 * self.loop.now_s),
        )  # fmt: skip
        self.table.merge_node_update(update)
        self.catch_up.check_update(update)

    def test_a_node_of_this_region_is_preferred(self) -> None:
        self.update('far', 'there', 6)
        self.assertEqual([], self.asked)
        self.loop.now_s += 0.3
        self.update('near', 'here', 6)
        self.assertEqual(['near'], self.asked)

    def test_a_far_one_is_asked_if_no_near_one_has_it(self) -> None:
        self.update('far', 'there', 6)
        self.loop.now_s += catch_up.FAR_PEERS_AFTER_S + 0.1
        self.update('far', 'there', 6)
        self.assertEqual(['far'], self.asked)

    def test_the_store_is_not_read_while_a_peer_sends(self) -> None:
        self.update('near', 'here', 6)
        for _ in range(8):
            self.loop.now_s += 0.5
            self.update('near', 'here', 6)
        self.assertEqual(0, self.store_reads)
        self.done[0](False)
        self.update('near', 'here', 6)
        self.assertEqual(1, self.store_reads)

    def test_a_reader_that_is_slow_asks_a_peer_too(self) -> None:
        self.is_needed = False
        self.update('near', 'here', 6)
        self.assertEqual([], self.asked)
        self.catch_up.check()
        self.loop.now_s += catch_up.FETCH_ANYWAY_AFTER_S + 0.1
        self.update('near', 'here', 6)
        self.catch_up.check()
        self.assertEqual(['near'], self.asked)
        self.assertEqual(0, self.store_reads)


class SlowReplyTest(unittest.TestCase):
    PARTS = 12

    def setUp(self) -> None:
        self.loop = entry_loop.Loop()
        self.pause_s = 0.05
        self.server = server.Server(self.loop, self.serve)
        self.addCleanup(self.server.close)
        self.client = control_client.Client(self.loop, self.server.address)
        self.addCleanup(self.client.close)
        self.replies: list[typing.Any] = []

    def serve(self, answer: server.Answer) -> None:
        answer.send_raw(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % self.PARTS
        )
        self.send_parts(answer, self.PARTS)

    def send_parts(self, answer: server.Answer, left: int) -> None:
        if left and not answer.is_disconnected:
            answer.send_raw(b'x')
            self.loop.call_after(
                self.pause_s, lambda: self.send_parts(answer, left - 1)
            )

    def call(self) -> typing.Any:
        self.client.call(b'GET', b'/', self.replies.append, timeout_s=0.2)
        looping.run_until(self.loop, lambda: self.replies)
        return self.replies[0]

    def test_one_that_goes_on_is_not_begun_again(self) -> None:
        reply = self.call()
        self.assertEqual(control_client.Reply(200, b'x' * self.PARTS), reply)

    def test_one_that_stalls_is_given_up(self) -> None:
        self.pause_s = 3.0
        self.assertIs(control_client.CallFailure.NO_ANSWER, self.call())

    def test_one_that_sends_a_byte_now_and_then_ends(self) -> None:
        self.pause_s = 0.9
        started_s = self.loop.now_s
        self.assertIs(control_client.CallFailure.NO_ANSWER, self.call())
        self.assertLess(
            self.loop.now_s - started_s, control_client.MAX_TRANSFER_S + 1.0
        )
