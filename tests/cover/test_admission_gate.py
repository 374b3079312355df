"""Tests requests that wait for their quota, or for capacity, at one node.

No network. The loads: a workspace has used its quota of 1,000 a second, and
more requests come, of which some can have quota within their objective; the
endpoints of a service are too full to meet the objective.
"""

import dataclasses
import math
import typing
import unittest
from unittest import mock

from guavachute.decide.ingress.admission import waiting
from guavachute.decide.ingress import quota
from guavachute.entry import region_sums
from guavachute import ids
from guavachute import outcome
from tests.support import gate_site
from tests.support import quota_load


class WaitingForQuotaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = gate_site.GateSite()
        self.assertIsNotNone(self.site.request(1_000).begun_s)
        # The quota is short now; the first one to wait has a random part.
        self.site.loop.run(0.05)

    def test_a_request_begins_when_its_quota_is_there(self) -> None:
        waits = self.site.request(100)
        self.assertIsNone(waits.begun_s)
        self.site.loop.run(0.5)
        self.assertIsNotNone(waits.begun_s)
        self.assertIsNone(waits.refused_s)

    def test_what_can_not_be_served_in_time_is_refused_at_once(self) -> None:
        self.assertIsNone(self.site.request(300).refused_s)
        refused = self.site.request(100, objective_s=0.2)
        self.assertEqual(self.site.loop.now_s, refused.refused_s)
        failure = typing.cast(outcome.Failure, refused.failure)
        self.assertGreater(typing.cast(float, failure.retry_after_s), 0.1)

    def test_a_retry_comes_before_new_requests(self) -> None:
        new = [self.site.request(100) for _ in range(2)]
        retry = self.site.request(100, left_s=4.0)
        self.site.loop.run(1.0)
        order = [item for item in self.site.begun if item in (*new, retry)]
        self.assertIs(retry, order[0])

    def test_urgent_requests_come_first(self) -> None:
        self.site.request(100)
        urgent = self.site.request(100, priority=0)
        self.site.loop.run(1.0)
        self.assertIs(urgent, self.site.begun[1])

    def test_a_caller_that_leaves_while_waiting_uses_nothing(self) -> None:
        waits = self.site.request(100)
        before = self.site.level()
        self.site.gate.handle_ended(typing.cast(typing.Any, waits), 'own 503')
        self.site.gate.handle_ended(
            typing.cast(typing.Any, waits), 'caller-left'
        )
        self.assertEqual(before, self.site.level())
        self.site.loop.run(1.0)
        self.assertIsNone(waits.begun_s)
        self.assertIn(
            b'guavachute_admission_waiting 0', self.site.metrics.text()
        )

    def test_a_request_that_was_never_sent_is_refunded(self) -> None:
        self.site.loop.run(10.0)
        before = self.site.level()
        started = self.site.request(100)
        started.attempts = 0
        self.site.gate.handle_ended(
            typing.cast(typing.Any, started), 'caller-left'
        )
        self.assertEqual(before, self.site.level())

    def test_a_lower_quota_refuses_those_that_wait(self) -> None:
        waits = [self.site.request(150) for _ in range(2)]
        self.assertIsNone(waits[1].refused_s)
        self.site.configure(quota_load.workspace(10.0, 10.0))
        self.site.loop.run(0.1)
        self.assertIsNotNone(waits[1].refused_s)

    def test_a_request_that_was_not_charged_is_not_refunded(self) -> None:
        """Its workspace became unlimited while it waited."""
        waits = self.site.request(100)
        before = self.site.admitted()
        self.site.configure(quota_load.workspace(0.0, 0.0))
        self.site.loop.run(0.1)
        self.assertIsNotNone(waits.begun_s)
        self.site.gate.handle_ended(typing.cast(typing.Any, waits), 'own 503')
        self.assertEqual(before, self.site.admitted())

    def test_no_request_waits_beyond_half_its_objective(self) -> None:
        waits = [self.site.request(120) for _ in range(20)]
        for _ in range(100):
            self.site.loop.run(0.05)
        for item in waits:
            end_s = item.begun_s or item.refused_s
            self.assertIsNotNone(end_s)
            self.assertLessEqual(
                typing.cast(float, end_s) - item.arrived_s, 0.55
            )


class UpdateBoundsTest(unittest.TestCase):
    """Guards against updates whose figures are infinite, NaN or negative."""

    ODD = (
        *((math.inf, math.nan, -1.0), (math.nan, 0.0, 0.0)),
        *((0.0, math.inf, 0.0), (-5.0, 0.0, 0.0), (0.0, -1.0, 0.0)),
        (0.0, 0.0, -math.inf),
    )

    def test_odd_figures_leave_a_quota_as_it_is(self) -> None:
        site = gate_site.GateSite()
        site.request(400)
        name = site.workspace.name
        before = site.level()
        source = quota.Source('edge-2/1', 'edge-2/1')
        for item in self.ODD:
            with self.subTest(item=item):
                site.gate.merge_consumption(source, {name: item}, 9.0)
                self.assertEqual(before, site.level())
        with mock.patch.object(quota.Quotas, 'merge_queued') as merge:
            for per_s in (-5.0, math.inf, math.nan):
                site.gate.merge_queued('edge-2', 1, {name: per_s})
                self.assertEqual({}, merge.call_args.args[2])

    def test_odd_figures_are_not_summed(self) -> None:
        name = ids.WorkspaceName('w')
        sums = region_sums.ConsumptionSums()
        own = {name: (7.0, 1.0, 2.0)}
        sums.record('run', own, True)
        for item in self.ODD[:2]:
            sums.record('run', {name: item}, True)
        self.assertEqual(own, sums.sums(own, [{name: self.ODD[0]}]))
        self.assertEqual({}, region_sums.sum_queued([{name: -5.0}]))

    def test_an_infinite_level_can_be_logged(self) -> None:
        bucket = quota.Bucket(quota_load.workspace(1.0, 1.0), 0.0, 0.0)
        with mock.patch.object(bucket, 'level', return_value=-math.inf):
            self.assertEqual(-math.inf, bucket.view(0.0).level)


class ShortCapacityTest(unittest.TestCase):
    """A service whose first tokens take longer than the objective of 1 s.

    Routes of priorities 0 and 2 ask for it; the quota is not short.
    """

    def setUp(self) -> None:
        self.site = gate_site.GateSite(1_000_000.0)
        self.other = dataclasses.replace(
            self.site.workspace, name=ids.WorkspaceName('zoology')
        )
        self.site.state.configuration.workspaces['zoology'] = self.other

    def test_nothing_waits_while_the_objective_is_met(self) -> None:
        self.site.first_token_s = 0.9
        for priority in (0, 2, 1):
            self.assertIsNotNone(
                self.site.request(9, priority=priority).begun_s
            )

    def test_one_kind_alone_begins_as_before(self) -> None:
        self.site.first_token_s = 1.5
        for _ in range(20):
            self.assertIsNotNone(self.site.request(9, priority=2).begun_s)

    def test_urgent_requests_begin_and_others_are_held(self) -> None:
        self.site.first_token_s = 1.5
        self.assertIsNotNone(self.site.request(9, priority=0).begun_s)
        held = self.site.request(9, priority=2)
        self.assertIsNone(held.begun_s)
        self.site.first_token_s = 0.5
        self.site.loop.run(0.1)
        self.assertIsNotNone(held.begun_s)

    def test_all_held_requests_begin_soon_after_a_shortage(self) -> None:
        """Guards against a release of one request at a time."""
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0)
        held = [self.site.request(9, priority=2) for _ in range(20)]
        self.site.first_token_s = 0.1
        self.site.loop.run(0.03)
        self.assertNotIn(None, [item.begun_s for item in held])

    def test_a_release_regards_the_one_before(self) -> None:
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0)
        for _ in range(20):
            self.site.request(9, priority=2)
        most = len(self.site.begun) + 3
        with mock.patch.object(
            gate_site.FakeExchange,
            'expected_first_token_s',
            lambda _: 0.1 if len(self.site.begun) < most else 1.5,
        ):
            self.site.loop.run(0.03)
        self.assertEqual(most, len(self.site.begun))

    def test_a_part_begins_although_others_are_held(self) -> None:
        """Guards against a service that stays held while it is idle."""
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0)
        self.assertIsNone(self.site.request(9, priority=2).begun_s)
        self.site.first_token_s = 0.1
        items = [self.site.request(9, priority=2) for _ in range(10)]
        self.assertEqual(3, sum(item.begun_s is not None for item in items))

    def test_newer_requests_do_not_overtake_held_ones(self) -> None:
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0, objective_s=6.0)
        self.site.loop.run(1.8)
        held = self.site.request(9, priority=2)
        retry = self.site.request(9, priority=2, left_s=4.0)
        self.site.draw.return_value = 0.9
        self.site.loop.run(0.3)
        new = self.site.request(9, priority=2)
        self.assertIsNone(new.begun_s)
        self.assertIsNotNone(retry.begun_s)
        self.site.request(9, priority=2)
        self.assertIsNotNone(held.begun_s)

    def test_held_requests_begin_when_no_urgent_ones_come(self) -> None:
        """Also while the service is short."""
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0)
        self.site.loop.run(1.8)
        held = self.site.request(9, priority=2)
        self.site.loop.run(0.3)
        self.assertIsNotNone(held.begun_s)

    def test_a_held_request_is_refused_by_its_own_estimate(self) -> None:
        """Guards against the estimate of a larger request."""
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0)
        self.site.request(9, priority=1, size=900)
        small, large = (
            self.site.request(9, priority=2, size=size) for size in (9, 900)
        )
        with mock.patch.object(
            gate_site.FakeExchange,
            'expected_first_token_s',
            lambda item: 7.0 if len(item.call.body) > 100 else 1.5,
        ):
            self.site.loop.run(0.03)
        self.assertIsNone(small.refused_s)
        self.assertIsNotNone(large.refused_s)

    def test_a_stop_refuses_what_waits(self) -> None:
        """Guards against requests that begin on a node that stops."""
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0)
        held = self.site.request(9, priority=2)
        quota_site = gate_site.GateSite()
        quota_site.request(1_000)
        waits = quota_site.request(100)
        failure = outcome.Failure(outcome.Reason.DRAINING, 'stop', 0.05)
        for site, item in ((self.site, held), (quota_site, waits)):
            site.first_token_s = 0.1
            site.stop_failure = failure
            site.loop.run(0.6)
            self.assertIs(failure, item.failure)

    def test_what_is_held_for_too_long_is_refused(self) -> None:
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0)
        held = self.site.request(9, priority=2)
        self.site.loop.run(0.6)
        self.assertIsNotNone(held.refused_s)

    def test_what_can_not_meet_its_deadline_is_refused_at_once(self) -> None:
        """Guards against work whose caller has left when it ends."""
        self.site.first_token_s = 7.0
        self.site.draw.side_effect = [0.0, 0.2, 0.4, 0.6, 0.8]
        refused = [self.site.request(9, priority=0) for _ in range(5)]
        times = set()
        for item in refused:
            self.assertEqual(self.site.loop.now_s, item.refused_s)
            failure = typing.cast(outcome.Failure, item.failure)
            times.add(failure.retry_after_s)
            self.assertGreaterEqual(
                typing.cast(float, failure.retry_after_s), 6.0
            )
        self.assertEqual(5, len(times))

    def test_no_kind_is_starved(self) -> None:
        self.site.first_token_s = 1.5
        begun = 0
        for _ in range(100):
            self.site.request(9, priority=0)
            begun += self.site.request(9, priority=2).begun_s is not None
            self.site.loop.run(0.01)
        self.assertGreaterEqual(begun, 25)

    def test_the_workspace_that_was_served_less_begins_first(self) -> None:
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0, workspace=self.other)
        held = [
            self.site.request(90, priority=2, workspace=workspace)
            for workspace in [*[self.site.workspace] * 2, self.other]
        ]
        self.assertEqual([None] * 3, [item.begun_s for item in held])
        self.site.first_token_s = 0.5
        self.site.loop.run(0.1)
        order = [item for item in self.site.begun if item in held]
        self.assertIn(self.other, [item.workspace for item in order[:2]])

    def test_a_workspace_over_its_share_is_held(self) -> None:
        """Also where other nodes served it."""
        self.site.first_token_s = 1.5
        for total in (0.0, 10_000.0):
            self.site.request(9, workspace=self.other)
            self.site.gate.merge_consumption(
                quota.Source('edge-2/1', 'edge-2/1'),
                {self.site.workspace.name: (total, 0.0, 0.0)},
                9.0,
            )
        self.site.request(9, workspace=self.other)
        self.assertIsNone(self.site.request(9).begun_s)
        self.assertIsNotNone(
            self.site.request(9, workspace=self.other).begun_s
        )

    def merge_other(self, total: float) -> None:
        self.site.gate.merge_consumption(
            quota.Source('edge-2/1', 'edge-2/1'),
            {self.other.name: (total, 0.0, 1e6)},
            9.0,
        )

    def test_use_in_requests_is_not_compared_with_tokens(self) -> None:
        self.other = dataclasses.replace(self.other, counts_tokens=False)
        self.site.state.configuration.workspaces['zoology'] = self.other
        self.site.first_token_s = 1.5
        self.site.request(900)
        for total in (0.0, 10_000.0):
            self.merge_other(total)
        self.assertIsNotNone(
            self.site.request(9, workspace=self.other).begun_s
        )

    def test_use_elsewhere_counts_from_before_a_shortage(self) -> None:
        """Guards against a first report in the shortage that is ignored."""
        self.merge_other(0.0)
        self.site.first_token_s = 1.5
        self.site.request(900)
        self.merge_other(10_000.0)
        self.assertIsNone(self.site.request(9, workspace=self.other).begun_s)

    def test_a_caller_that_leaves_while_held_leaves_nothing(self) -> None:
        self.site.first_token_s = 1.5
        self.site.request(9, priority=0)
        before = self.site.admitted()
        held = self.site.request(9, priority=2, size=500)
        held.attempts = 0
        self.site.gate.handle_ended(
            typing.cast(typing.Any, held), 'caller-left'
        )
        self.site.first_token_s = 0.5
        self.site.loop.run(0.1)
        self.assertIsNone(held.begun_s)
        self.assertEqual(before, self.site.admitted())
        for line in (b'admission_held 0', b'admission_held_bytes 0'):
            self.assertIn(line, self.site.metrics.text())


class WaitingQueueTest(unittest.TestCase):
    """A queue for three requests or 1,000 bytes."""

    def setUp(self) -> None:
        self.queue: waiting.WaitingQueue[str] = waiting.WaitingQueue(3, 1_000)

    def add(
        self, name: str, priority: int = 1, first_s: float = 0.0, size: int = 1
    ) -> list[str] | None:
        given_up = self.queue.add(
            waiting.Place(
                name, 'g', priority, first_s, 1.0, size, 9.0, len(name)
            )
        )
        return given_up and [place.item for place in given_up]

    def test_a_full_queue_gives_up_its_last(self) -> None:
        for name in ('a', 'bb', 'ccc'):
            self.assertEqual([], self.add(name))
        self.assertIsNone(self.add('dddd'))
        self.assertEqual(['ccc'], self.add('e', priority=0))
        self.assertEqual(
            ['e', 'a', 'bb'], [item.item for item in self.queue.places('g')]
        )

    def test_bytes_are_bounded(self) -> None:
        self.add('a', size=900)
        self.assertIsNone(self.add('bb', size=200))
        self.assertEqual(['a'], self.add('bb', first_s=-1.0, size=200))
        self.assertEqual(200, self.queue.bytes)
        self.queue.remove('bb')
        self.assertEqual((0, 0), (self.queue.bytes, len(self.queue)))

    def test_a_request_without_room_gives_up_nobody(self) -> None:
        self.add('a')
        self.assertIsNone(self.add('bb', priority=0, size=1_001))
        self.assertEqual(1, len(self.queue))
