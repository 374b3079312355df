"""The load of a node among hundreds: updates from peers, all day long.

Pattern: 195 nodes, of which each node receives about a hundred updates per
second that contain nothing new. What an update costs must not grow with the
number of nodes.
"""

import socket
import unittest
import unittest.mock

from guavachute.entry import catch_up
from guavachute.entry import loop as entry_loop
from guavachute.entry import peer_table
from guavachute.entry import peers
from guavachute import ids
from guavachute.wire import node_updates
from tests.support import looping
from tests.support import platform_site
from tests.support import updates

NODES = 195


class CountingTable(peer_table.PeerTable):
    """Counts how often all peers are looked at."""

    scans = 0

    def active_peers(
        self, within_s: float = peer_table.SILENT_AFTER_S
    ) -> list[peer_table.Peer]:
        self.scans += 1
        return super().active_peers(within_s)


class ManyNodesLoadTest(unittest.TestCase):
    """No network; the time is set by the test."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.table = CountingTable(ids.Region('here'), lambda: self.now_s)
        for number in range(NODES - 1):
            region = 'here' if number % 2 else 'there'
            self.merge(f'edge-{number}', region, 1)

    def merge(
        self, node: str, region: str, sequence: int, version: int = 5
    ) -> node_updates.NodeUpdate:
        update = updates.node_update(
            node, region, sequence=sequence, endpoints_version=version
        )
        self.assertTrue(self.table.merge_node_update(update))
        return update

    def catch_up(self, own_version: int) -> tuple[catch_up.CatchUp, list[str]]:
        """What fetches newer versions, and the peers that it queries."""
        queried: list[str] = []
        state = catch_up.VersionedState(
            is_needed=lambda: True,
            own_version=lambda: own_version,
            peer_version=lambda update: update.endpoints_version,
            fetch=lambda peer, done: queried.append(
                peer.update.node if peer.update else ''
            ),
            read_store=lambda: None,
        )
        loop = entry_loop.Loop()
        return catch_up.CatchUp(loop, self.table, [state]), queried

    def test_an_update_without_news_looks_at_no_other_peer(self) -> None:
        fetcher, queried = self.catch_up(own_version=5)
        update = self.merge('edge-7', 'here', 2)
        self.table.scans = 0
        fetcher.check_update(update)
        self.assertEqual(0, self.table.scans)
        self.assertEqual([], queried)

    def test_an_update_with_news_is_followed_at_once(self) -> None:
        fetcher, queried = self.catch_up(own_version=5)
        fetcher.check_update(self.merge('edge-7', 'here', 2, version=6))
        self.assertEqual(['edge-7'], queried)

    def test_merging_an_update_visits_no_other_peer(self) -> None:
        self.assertGreater(self.table.extra_age_s, 0)
        with unittest.mock.patch.object(
            peer_table.PeerTable,
            'is_local',
            side_effect=AssertionError('another peer was visited'),
        ):
            self.merge('edge-7', 'here', 2)

    def test_repeated_calls_fall_into_the_same_turns(self) -> None:
        loop = entry_loop.Loop()
        turns: dict[str, set[float]] = {'often': set(), 'seldom': set()}
        loop.every(0.02, lambda: turns['often'].add(loop.now_s))
        looping.run_for(loop, 0.013)
        loop.every(0.04, lambda: turns['seldom'].add(loop.now_s))
        looping.run_for(loop, 0.4)
        self.assertGreater(len(turns['seldom']), 4)
        self.assertLessEqual(
            len(turns['seldom'] - turns['often']), len(turns['seldom']) // 4
        )

    def test_a_burst_of_datagrams_is_handled_in_one_turn(self) -> None:
        """Ten other nodes send an update within the same moment."""
        loop = entry_loop.Loop()
        turns: list[float] = []
        owner = unittest.mock.Mock()
        owner.handle_node_update = lambda update: turns.append(loop.now_s)
        site = platform_site.node_settings(
            'edge-own', '127.0.0.1', ids.Address('127.0.0.1:1'), None
        )
        receiver = peers.Peers(loop, site, owner)
        self.addCleanup(receiver.close)
        host, _, port = receiver.address.rpartition(':')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(10):
                update = updates.node_update(f'edge-{number}', 'here')
                sender.sendto(node_updates.encode(update), (host, int(port)))
                looping.run_for(loop, 0.001)
            looping.run_until(loop, lambda: len(turns) == 10)
        self.assertLessEqual(len(set(turns)), 2)

    def test_regions_are_right_after_nodes_come_move_and_go(self) -> None:
        before = len(self.table.local_peers())
        self.merge('edge-new', 'here', 1)
        self.merge('edge-7', 'there', 3)
        self.table.remove('edge-9')
        self.assertEqual(before - 1, len(self.table.local_peers()))
        self.assertEqual(
            NODES - 1,
            len(self.table.local_peers())
            + sum(map(len, self.table.remote_peers().values())),
        )

    def test_updates_may_be_older_the_more_nodes_there_are(self) -> None:
        many_s = self.table.extra_age_s
        for number in range(1, NODES - 1, 4):
            self.table.remove(f'edge-{number}')
        self.assertLess(self.table.extra_age_s, many_s)
