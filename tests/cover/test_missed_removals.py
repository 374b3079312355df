"""Deletions of endpoints' entries reach all nodes.

Patterns: a rolling restart while endpoints delete their entries, so that a
node has a peer's table before its own first snapshot; restarts, frozen and cut
readers, loss and full links among bursts of leaves.
"""

import unittest
import unittest.mock

from guavachute.decide.nodes import rounds
from guavachute.domain import log_position
from guavachute.entry import known_state
from guavachute import ids
from guavachute.standin.platform import store as standin_store
from tests.support import looping
from tests.support import platform_site
from tests.support import simulated_days

ENDPOINT = ids.EndpointId('e1')


class FirstSnapshotTest(unittest.TestCase):
    """A process reads its first snapshot after it has a peer's table."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.engine = self.site.add_engine('e1', platform_site.PLAIN_SERVICE)
        self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        first = self.site.ready_node()
        self.shared = first.state.shared_endpoints(log_position.NO_POSITION)
        self.site.store.fault = standin_store.Fault.BUSY
        # It can hear of the deletion from the store only.
        first.close()
        self.node = self.site.add_node()
        self.node.state.merge_shared_endpoints(self.shared)
        self.engine.unregister()
        # Entries that the snapshot has are newer than the deletion.
        self.site.add_engine('e3', platform_site.PLAIN_SERVICE)
        self.site.store.fault = standin_store.Fault.NONE

    # Guards against DRAIN: the process kept endpoints that were deleted
    # before its first snapshot, if it had them from a peer.
    def test_it_drops_what_the_snapshot_does_not_have(self) -> None:
        looping.run_until(
            self.site.loop,
            lambda: (
                'e3' in self.node.state.table.entries
                and ENDPOINT not in self.node.state.table.entries
            ),
            timeout_s=self.node.site.bounds.drain_s,
        )

    # Guards against DRAIN: its peers took its version, and never learned
    # of these deletions from anyone.
    def test_its_peers_learn_of_the_deletion(self) -> None:
        peer = known_state.KnownState(self.site.loop)
        peer.merge_shared_endpoints(self.shared)
        looping.run_until(
            self.site.loop, lambda: 'e3' in self.node.state.table.entries
        )
        peer.merge_shared_endpoints(
            self.node.state.shared_endpoints(peer.endpoints_version)
        )
        self.assertIn('e3', peer.table.entries)
        self.assertNotIn(ENDPOINT, peer.table.entries)


class LeavesAmongDisruptionsTest(unittest.TestCase):
    """Twelve nodes, with the ways of many, on a simulated network."""

    def setUp(self) -> None:
        patch = unittest.mock.patch.object(rounds, 'FEW_NODES', 4)
        patch.start()
        self.addCleanup(patch.stop)

    # Guards against DRAIN: nodes that had heard of none of the deletions
    # used these endpoints until they ended.
    def test_no_node_uses_an_endpoint_that_has_left(self) -> None:
        late = {
            seed: simulated_days.leaves_among_disruptions(seed, 12).late[:3]
            for seed in (1, 10)
        }
        self.assertEqual({1: [], 10: []}, late)
