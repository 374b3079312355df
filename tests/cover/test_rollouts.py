"""Whole nodes roll a version out, at 60 requests a second to 3 endpoints.

The allowance is larger than usual where a good version has to be completed:
the time that is left for all requests is short, so that the tests are.
"""

import unittest
import unittest.mock

from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.decide.ingress.rollouts import selection
from guavachute.entry import node as entry_node
from guavachute.entry.rollouts import driver as rollout_driver
from guavachute import ids
from guavachute.standin.platform import store as standin_store
from guavachute.standin.platform import version as standin_version
from tests.support import looping
from tests.support import platform_site
from tests.support import rollout_site

Fault = standin_version.Fault
Step = rollout_record.Step
Version = standin_version.Version
PER_S = 60.0
DURATION_S = 10.0
SERVICE = ids.ServiceName(platform_site.PLAIN_SERVICE)
ALLOWANCE = 400.0
HEARD_S = 1.0


class RolloutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = rollout_site.RolloutSite()
        self.addCleanup(self.site.close)
        self.version = Version('v2')
        self.expected = {200}

    def begin(
        self,
        nodes: int = 2,
        duration_s: float = DURATION_S,
        allowance: float = ALLOWANCE,
    ) -> None:
        """Request a roll-out at nodes that serve requests."""
        self.site.start_nodes(nodes, canary_allowance=allowance)
        self.site.load(PER_S)
        self.site.wait(lambda: self.site.replies.get(200, 0) > 30)
        self.site.roll_out(self.version, duration_s)

    def wait_for(self, step: Step) -> None:
        self.site.wait(lambda: self.site.step() is step)

    def wait_for_end(self) -> None:
        self.site.wait(lambda: self.site.operator.ended_s is not None)

    def check_completed(self) -> None:
        """Nothing was cut, refused or sent to the old version after it."""
        self.wait_for_end()
        self.assertEqual('completed', self.site.operator.states[-1])
        self.assertEqual(0, self.site.operator.cut_runs)
        self.check_order()
        before = self.version.runs
        self.site.wait(lambda: self.version.runs > before + 60)
        self.assertLessEqual(set(self.site.replies), self.expected)

    def check_order(self) -> None:
        """No step of a target was followed by an earlier one."""
        last: dict[str, int] = {}
        for target, step in self.site.steps:
            self.assertGreaterEqual(step, last.get(target, 0), self.site.steps)
            last[target] = step


class VersionsTest(RolloutTest):
    def test_a_good_one_gets_all_requests(self) -> None:
        self.begin()
        self.check_completed()
        self.assertEqual(
            ['in_progress', 'completed'], self.site.operator.states
        )

    def check_rolled_back(self, version: Version, duration_s: float) -> None:
        self.version = version
        self.begin(duration_s=duration_s, allowance=100.0)
        first = self.site.sent
        self.wait_for_end()
        self.assertEqual('rolled_back', self.site.operator.states[-1])
        looping.run_for(self.site.loop, HEARD_S)
        runs, most = version.runs, 0.1 * (self.site.sent - first) + 100.0
        self.assertLess(runs, most)
        if len(version.bad_s) >= 50:
            self.assertLess(version.last_run_s, version.bad_s[49] + 5.0)
        looping.run_for(self.site.loop, HEARD_S)
        self.assertEqual(runs, version.runs)
        self.check_order()

    def test_one_that_is_bad_at_once(self) -> None:
        self.check_rolled_back(Version('v2', Fault.AT_ONCE), 30.0)

    def test_one_that_is_slow(self) -> None:
        self.check_rolled_back(
            Version('v2', Fault.AT_ONCE, every=1, slow_s=0.3), 30.0
        )

    def test_one_that_becomes_bad_late(self) -> None:
        self.check_rolled_back(Version('v2', Fault.LATE, late_s=4.0), 30.0)

    def test_one_that_is_bad_under_load(self) -> None:
        self.check_rolled_back(
            Version('v2', Fault.UNDER_LOAD, load_per_s=8.0), 12.0
        )

    def test_one_that_is_bad_on_one_route(self) -> None:
        self.check_rolled_back(
            Version('v2', Fault.ONE_ROUTE, path='/order/', every=1), 20.0
        )


class RestrictionTest(RolloutTest):
    def test_without_a_request_all_versions_are_used(self) -> None:
        self.site.start_nodes(1)
        self.site.add_version(self.version)
        self.site.load(PER_S)
        self.site.wait(lambda: self.version.runs > 20)
        self.assertTrue(all(engine.runs for engine in self.site.old))

    def test_without_a_record_the_target_gets_nothing(self) -> None:
        """Guards against requests to a target that nobody has allowed."""
        with unittest.mock.patch.object(rollout_driver.RolloutDuty, 'run'):
            self.begin()
            looping.run_for(self.site.loop, 3.0)
        self.assertEqual(0, self.version.runs)
        self.assertEqual({200}, set(self.site.replies))

    def test_a_roll_out_to_the_only_version_ends_at_once(self) -> None:
        self.site.start_nodes(2)
        self.site.operator.request('v1', DURATION_S)
        self.site.load(PER_S)
        self.wait_for_end()
        self.assertEqual('completed', self.site.operator.states[-1])
        self.site.wait(lambda: self.site.replies.get(200, 0) > 30)

    def test_unreadable_requests_are_ignored(self) -> None:
        self.site.start_nodes(1)
        for value in (b'[', b'{}', b'{"service":"desk","target":"v1"}'):
            self.site.store.put(
                standin_store.OPERATOR_TOPIC, 'rollout/desk', value
            )
        self.site.load(PER_S)
        self.site.wait(lambda: self.site.replies.get(200, 0) > 30)
        self.assertEqual([], self.site.steps)


class FailureTest(RolloutTest):
    def end(self, node: entry_node.Node) -> None:
        """End a node at once, and cut the requests that it has."""
        self.expected |= {0, 502, 503}
        node.close()
        self.site.nodes.remove(node)

    def test_the_holder_dies_between_intent_and_step(self) -> None:
        """It has recorded a step, and neither told it nor written the status.

        Guards against a roll-out that stops, or starts again.
        """
        with unittest.mock.patch.object(
            rollout_driver.RolloutDuty, '_check_status'
        ):
            self.begin(3, duration_s=14.0)
            self.wait_for(Step.CANARY)
            first = self.site.holder()
            assert first is not None
            self.end(first)
            self.wait_for(Step.COMPLETED)
            second = self.site.holder()
            assert second is not None
            self.end(second)
        self.check_completed()

    def test_the_store_is_unavailable_during_a_step(self) -> None:
        """Guards against a step without a record, and a canary without proof.

        The lease lasts 2 s, and a proof 2.5 s.
        """
        self.begin(duration_s=25.0)
        self.wait_for(Step.CANARY)
        self.site.wait(lambda: self.version.runs)
        self.site.store.fault = standin_store.Fault.BUSY
        looping.run_for(self.site.loop, 2.0 + selection.PROOF_S + HEARD_S)
        runs = self.version.runs
        looping.run_for(self.site.loop, 10.0 - 4.5 - HEARD_S)
        self.assertEqual(runs, self.version.runs)
        self.assertIs(Step.CANARY, self.site.step())
        self.site.store.fault = standin_store.Fault.NONE
        self.check_completed()

    def test_all_nodes_are_killed(self) -> None:
        """Guards against a roll-out that starts again or is forgotten."""
        self.begin(duration_s=16.0)
        self.wait_for(Step.CANARY)
        self.site.wait(lambda: self.version.runs)
        self.site.kill_nodes()
        self.site.replies.clear()
        self.site.start_nodes(2, canary_allowance=ALLOWANCE)
        self.wait_for_end()
        self.assertEqual('completed', self.site.operator.states[-1])
        self.assertEqual(0, self.site.operator.cut_runs)
        self.check_order()

    def test_a_node_receives_nothing(self) -> None:
        """Guards against a node that doesn't learn of a roll-back."""
        self.begin(3, duration_s=60.0)
        self.wait_for(Step.CANARY)
        nodes = [
            node for node in self.site.nodes if node is not self.site.holder()
        ]
        self.site.wait(
            lambda: all(node.rollouts.uses_target(SERVICE) for node in nodes)
        )
        deaf, other = nodes
        with (
            unittest.mock.patch.object(deaf.peers, '_receive'),
            unittest.mock.patch.object(deaf._store, 'call'),
        ):
            looping.run_for(self.site.loop, selection.PROOF_S + 2 * HEARD_S)
            self.assertFalse(deaf.rollouts.uses_target(SERVICE))
            self.assertTrue(other.rollouts.uses_target(SERVICE))

    def test_a_request_is_replaced_by_another(self) -> None:
        """Guards against two canaries, and a version that stays in use."""
        self.begin(duration_s=40.0)
        self.wait_for(Step.CANARY)
        self.site.wait(lambda: self.version.runs)
        replaced, self.version = self.version, Version('v3')
        self.site.new = []
        self.site.roll_out(self.version, DURATION_S)
        looping.run_for(self.site.loop, HEARD_S)
        runs = replaced.runs
        self.check_completed()
        self.assertEqual(runs, replaced.runs)

    def test_a_step_is_not_taken_back_by_a_copy_of_the_store(self) -> None:
        self.begin(duration_s=14.0)
        self.wait_for(Step.HOLD)
        self.site.store.make_copy()
        self.wait_for(Step.CANARY)
        looping.run_for(self.site.loop, HEARD_S)
        self.site.store.restore_copy()
        self.site.operator.new = self.site.new
        before = len(self.site.steps)
        self.site.wait(lambda: len(self.site.steps) > before + 1)
        self.assertIs(Step.CANARY, self.site.step())
        self.wait_for_end()
        self.assertEqual(0, self.site.operator.cut_runs)
