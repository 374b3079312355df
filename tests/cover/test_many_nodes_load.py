"""The load of a node among hundreds: updates from peers, all day long.

Pattern: 195 nodes, of which each node receives about a hundred updates per
second that contain nothing new. What an update costs must not grow with the
number of nodes.
"""

import socket
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from guavachute.decide.ingress.admission import pace
from guavachute.decide.ingress import quota
from guavachute.decide.nodes import rounds
from guavachute.domain import configuration
from guavachute.entry import catch_up
from guavachute.entry import loop as entry_loop
from guavachute.entry import peer_table
from guavachute.entry import peers
from guavachute import ids
from guavachute.wire import node_updates
from tests.support import looping
from tests.support import platform_site
from tests.support import ports
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
        """Ten of many other nodes send an update within the same moment."""
        patch = unittest.mock.patch.object(rounds, 'FEW_NODES', 0)
        patch.start()
        self.addCleanup(patch.stop)
        loop = entry_loop.Loop()
        turns: list[float] = []
        owner = unittest.mock.Mock()
        owner.handle_node_update = lambda update: turns.append(loop.now_s)
        site = platform_site.node_settings(
            'edge-own',
            '127.0.0.1',
            ids.Address('127.0.0.1:1'),
            None,
            self.enterContext(ports.reserved('127.0.0.1')),
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


class QuotaOfManyNodesTest(unittest.TestCase):
    """No network: reports of a hundred nodes on each of many workspaces."""

    def setUp(self) -> None:
        self.workspace = configuration.Workspace(
            name=ids.WorkspaceName('botany'),
            priority=None,
            rate_per_s=1_000.0,
            burst=100_000.0,
            counts_tokens=True,
            default_cost=100.0,
        )

    def bucket(self, now_s: float) -> quota.Bucket:
        bucket = quota.Bucket(self.workspace, 0.0, now_s)
        # The level is below the burst, so that it is not cut off there.
        bucket.consume(pace.Ask(90_000.0), now_s)
        return bucket

    def report(
        self, bucket: quota.Bucket, run: str, per_s: float, now_s: float
    ) -> None:
        bucket.merge(
            quota.Source(run, run),
            quota.Consumption(0.0, per_s, 0.0),
            True,
            now_s,
        )

    def test_a_request_visits_no_report(self) -> None:
        bucket = self.bucket(100.0)
        for number in range(100):
            self.report(bucket, f'edge-{number}', 3.0, 100.0)
        reports = unittest.mock.MagicMock()
        reports.__iter__.side_effect = AssertionError('a report was visited')
        reports.values.side_effect = AssertionError('a report was visited')
        with unittest.mock.patch.object(bucket, '_peers', reports):
            bucket.level(100.5)
            bucket.consume(pace.Ask(1.0), 100.5)

    def test_a_report_of_an_idle_workspace_changes_nothing(self) -> None:
        bucket = self.bucket(100.0)
        self.report(bucket, 'edge-1', 0.0, 100.0)
        with unittest.mock.patch.object(
            bucket, '_refill', side_effect=AssertionError('refilled')
        ):
            self.report(bucket, 'edge-1', 0.0, 100.5)
        self.report(bucket, 'edge-1', 8.0, 101.0)
        expected = 10_000.0 + 2.0 * self.workspace.rate_per_s - 8.0
        self.assertAlmostEqual(expected, bucket.level(102.0), places=3)

    @hypothesis.given(
        reports=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5),
                strategies.floats(0, 500),
                strategies.floats(0, 1.0),
            ),
            min_size=1,
            max_size=30,
        ),
        start_s=strategies.floats(0, 1e6),
    )
    def test_the_estimate_is_what_each_run_may_have_admitted(
        self, reports: list[tuple[int, float, float]], start_s: float
    ) -> None:
        bucket = self.bucket(start_s)
        latest: dict[str, tuple[float, float]] = {}
        now_s = start_s
        for number, per_s, pause_s in reports:
            now_s += pause_s
            run = f'edge-{number}'
            self.report(bucket, run, per_s, now_s)
            latest[run] = (per_s, now_s)
            bucket.set_peers(
                quota.PeerRuns(dict.fromkeys(latest, 1), frozenset()), now_s
            )
        filled = self.workspace.rate_per_s * (now_s - start_s)
        expected = (
            10_000.0
            + filled
            - sum(
                per_s * min(quota.SILENT_AFTER_S, now_s - at_s)
                for per_s, at_s in latest.values()
            )
        )
        self.assertAlmostEqual(
            min(expected, self.workspace.burst), bucket.level(now_s), delta=0.1
        )
