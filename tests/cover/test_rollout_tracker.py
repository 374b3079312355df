"""What one node knows of roll-outs, without a network."""

import dataclasses
import types
import typing
import unittest
import unittest.mock

import msgspec

from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.domain import rollouts
from guavachute.entry import peer_table
from guavachute.entry.rollouts import counts
from guavachute.entry.rollouts import driver
from guavachute.entry.rollouts import tracker
from guavachute import ids
from tests.support import platform_site

Step = rollout_record.Step
SERVICE = ids.ServiceName('drafts')


def request(target: str, position: int = 1) -> rollouts.Request:
    return rollouts.Request(
        f'{position}-{target}',
        ids.LogPosition(position),
        SERVICE,
        ids.BuildName(target),
        60.0,
    )


def record(
    target: str, step: Step, **fields: typing.Any
) -> rollout_record.Record:
    first = rollout_record.first(request(target), None, 0.0, 0.0)
    return dataclasses.replace(first, step=step, **fields)


class TrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = types.SimpleNamespace(now_s=1_000.0)
        self.parts: typing.Any = unittest.mock.MagicMock()
        self.parts.peers.table.true_time_s.return_value = 1_000.0
        follower: typing.Any = types.SimpleNamespace(confirmed_s=1_000.0)
        self.tracker = tracker.Rollouts(
            typing.cast(typing.Any, self.loop),
            platform_site.node_settings(
                'edge', '127.0.0.1', ids.Address('127.0.0.1:1'), None, 1
            ),
            self.parts.state,
            self.parts.registry,
            self.parts.peers,
            self.parts.metrics,
            lambda: (follower, follower),
            self.parts.holds_duty,
        )
        self.rollout = tracker.Rollout(SERVICE)
        self.tracker._rollouts[SERVICE] = self.rollout

    def select(self, *builds: str) -> set[str]:
        items: typing.Any = [
            types.SimpleNamespace(
                entry=types.SimpleNamespace(id=b, build=b, service=SERVICE)
            )
            for b in builds
        ]
        self.parts.state.table.entries = {i.entry.id: i.entry for i in items}
        started: typing.Any = types.SimpleNamespace(
            service=SERVICE,
            attempts=0,
            build=None,
            call=types.SimpleNamespace(attempt_id='a'),
        )
        found = self.tracker.select(started, items)
        return {item.entry.build for item in found}


class SelectionTest(TrackerTest):
    def test_the_only_version_is_served_before_a_record(self) -> None:
        """Guards against an outage by a request for the only version."""
        self.rollout.request = request('v2', 2)
        completed = record('v2', Step.COMPLETED)
        for self.rollout.record in (None, completed):
            self.assertEqual({'v2'}, self.select('v2'))
            self.assertEqual({'v1'}, self.select('v1', 'v2'))
        canary = record('v3', Step.CANARY)
        self.rollout.record = canary
        self.assertEqual({'v2'}, self.select('v2', 'v3'))

    def test_a_version_may_serve_alone_after_its_roll_back(self) -> None:
        """Guards against a service that is never served again."""
        self.rollout.request = request('v2')
        self.rollout.record = record('v2', Step.ROLLED_BACK, changed_s=900.0)
        self.assertEqual({'v2'}, self.select('v2'))
        self.assertEqual({'v1'}, self.select('v1', 'v2'))
        self.rollout.record = record('v2', Step.ROLLED_BACK, changed_s=990.0)
        self.assertEqual(set(), self.select('v2'))


class ClosingTest(TrackerTest):
    def test_a_silent_node_is_waited_for_as_long_as_requests_run(self) -> None:
        """Guards against old endpoints that stop while requests run there."""
        self.tracker._merge_record(
            self.rollout, record('v2', Step.CLOSING), 'store'
        )
        peer = peer_table.Peer(ids.Address('127.0.0.1:2'), 'here')
        peer.last_update_s = 980.0
        table = self.parts.peers.table
        table.are_few, table.all.return_value = True, [peer]
        target = types.SimpleNamespace(service=SERVICE)
        route = types.SimpleNamespace(timeout_s=30.0, targets=(target,))
        self.parts.state.configuration.routes_by_host = {'a': {'/': route}}
        for later_s, behind in ((0.0, 1), (29.0, 1), (31.0, 0)):
            self.loop.now_s = 1_000.0 + later_s
            found = self.tracker.fleet_state(self.rollout)
            self.assertEqual((behind, 0), found)

    def test_a_node_that_refuses_the_service_needs_no_record(self) -> None:
        """Guards against a node without input that blocks COMPLETED."""
        rollout = self.rollout
        rollout.record = record('v2', Step.FULL, begun_s=990.0)
        self.parts.holds_duty.return_value = False
        table = self.parts.peers.table
        table.local_peers.return_value = [unittest.mock.MagicMock()] * 3
        self.loop.now_s += 2 * tracker.ISOLATED_S
        notice = self.tracker.notices()[0]
        self.assertTrue(notice.is_refusing)
        closing = record(
            'v2', Step.CLOSING, position=ids.LogPosition(9), begun_s=990.0
        )
        self.tracker._merge_record(rollout, closing, 'store')
        peer = peer_table.Peer(ids.Address('127.0.0.1:2'), 'here')
        peer.last_update_s = self.loop.now_s
        table.are_few, table.all.return_value = True, [peer]
        for is_refusing, expected in ((False, (1, 0)), (True, (0, 2))):
            told = msgspec.structs.replace(
                notice, is_refusing=is_refusing, old_running=2
            )
            peer.update = unittest.mock.MagicMock(rollouts=[told])
            self.assertEqual(expected, self.tracker.fleet_state(rollout))


class DriverTest(TrackerTest):
    def test_requests_of_nodes_that_were_killed_stay_counted(self) -> None:
        """Guards against a bound that begins again after a restart."""
        duty = driver.RolloutDuty(
            typing.cast(typing.Any, self.loop),
            self.tracker._site,
            self.parts.client,
            self.parts.state,
            self.parts.registry,
            self.parts.known,
            lambda: 1_000.0,
        )
        self.rollout.record = record('v2', Step.CANARY, sent=100)
        self.rollout.stored = (self.rollout.request_id, Step.CANARY)
        course = duty._course(self.rollout)
        with (
            unittest.mock.patch.object(duty, '_situation') as situation,
            unittest.mock.patch.object(
                driver.plan, 'next_record', return_value=None
            ),
        ):
            for total, expected in ((20, 120), (150, 250)):
                self.parts.known.total.return_value = counts.Sums(5, total)
                duty._measure(self.rollout, course)
                duty._due_record(self.rollout, course)
                self.assertEqual(expected, situation.call_args.args[4])
