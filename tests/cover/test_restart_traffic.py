"""Traffic between nodes while processes start again and nothing else changes.

Pattern: a rolling restart. Each process that starts reads a snapshot, and
can't tell which of its records are news to others; they must not all fetch the
table from it, one process after the other.
"""

import typing
import unittest
import unittest.mock

from guavachute.decide.nodes import rounds
from guavachute.entry import known_state
from guavachute.wire import node_updates
from tests.support import simulated
from tests.support import simulated_fleet


class RollingRestartTest(unittest.TestCase):
    """Twelve nodes, with the ways of many, on a simulated network."""

    def test_nodes_that_run_fetch_nothing_when_others_start(self) -> None:
        patch = unittest.mock.patch.object(rounds, 'FEW_NODES', 4)
        patch.start()
        self.addCleanup(patch.stop)
        network = simulated.Network(3)
        fetched: list[known_state.KnownState] = []
        merge = known_state.KnownState.merge_shared_endpoints

        def count(
            state: known_state.KnownState,
            shared: node_updates.SharedEndpoints,
            *more: typing.Any,
        ) -> None:
            fetched.append(state)
            merge(state, shared, *more)

        self.enterContext(
            unittest.mock.patch.object(
                known_state.KnownState, 'merge_shared_endpoints', count
            )
        )
        with network.replacing_sockets():
            fleet = simulated_fleet.Fleet(network, 12, 30)
            fleet.play(8.0)
            followers = [
                member
                for member, node in fleet.running()
                if not node._is_reader
            ]
            staying = [
                node.state
                for member, node in fleet.running()
                if member not in followers[:3]
            ]
            fetched.clear()
            for member in followers[:3]:
                fleet.kill(member)
                fleet.play(3.0)
        self.assertEqual([], [state for state in fetched if state in staying])
