"""Roll-outs at 30 simulated nodes in two regions, without load."""

import dataclasses
import unittest
import unittest.mock

import msgspec

from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.decide.ingress.rollouts import selection
from guavachute.domain import site
from guavachute.entry.rollouts import tracker
from guavachute import ids
from guavachute.standin.platform import store as standin_store
from tests.support import platform_site
from tests.support import simulated
from tests.support import simulated_fleet

Step = rollout_record.Step
CLOUD = site.Cloud(ids.Address('10.9.9.9:9'), 50, False, False)
settings = platform_site.node_settings
DURATION_S = 30.0


def with_duties(*args, **changes) -> site.Site:  # type: ignore
    return dataclasses.replace(settings(*args, **changes), cloud=CLOUD)


class ManyNodesTest(unittest.TestCase):
    def test_all_nodes_have_a_proof_and_the_old_endpoints_are_left(
        self,
    ) -> None:
        """Guards against steps that reach the other region too late."""
        network = simulated.Network(3)
        with (
            network.replacing_sockets(),
            unittest.mock.patch.object(
                platform_site, 'node_settings', with_duties
            ),
        ):
            fleet = simulated_fleet.Fleet(network, 30, 0)
            self.register(fleet, 'old', 'v1', 1)
            network.run_for(10.0)
            fleet.store.put(
                standin_store.OPERATOR_TOPIC,
                'rollout/desk',
                msgspec.json.encode({
                    'service': 'desk', 'target': 'v2', 'durationS': DURATION_S,
                }),
            )  # fmt: skip
            self.register(fleet, 'new', 'v2', 2)
            for _ in range(int(DURATION_S)):
                network.run_for(1.0)
                for node, item in self.rollouts(fleet):
                    assert item.record is not None
                    if item.record.step.needs_proof:
                        age_s = node.proof_age_s(item)
                        self.assertLess(age_s, selection.PROOF_S)
            for _, item in self.rollouts(fleet):
                assert item.record is not None
                self.assertIs(Step.COMPLETED, item.record.step)

    def register(
        self, fleet: simulated_fleet.Fleet, name: str, build: str, number: int
    ) -> None:
        """Write the entry of an endpoint, and renew it."""
        fleet.store.put(
            standin_store.ENDPOINTS_TOPIC,
            name,
            msgspec.json.encode({
                'service': 'desk', 'address': f'10.5.0.{number}:80',
                'zone': 'here-a', 'version': build, 'slots': 8,
                'state': 'ready', 'born': 1,
                'sequence': int(10 * fleet.network.now_s) + 1,
            }),
        )  # fmt: skip
        fleet.network.schedule(
            fleet.network.now_s + simulated_fleet.BEAT_S,
            lambda: self.register(fleet, name, build, number),
        )

    def rollouts(
        self, fleet: simulated_fleet.Fleet
    ) -> list[tuple[tracker.Rollouts, tracker.Rollout]]:
        """The roll-out as each node knows it."""
        found = [
            (member.node.rollouts, item)
            for member in fleet.members
            if member.node is not None
            for item in member.node.rollouts.all()
        ]
        self.assertEqual(len(fleet.members), len(found))
        return found
