"""Tests what is learned of endpoints that fail, report wrongly or are new.

Load: a node that sends a few requests per second to 9 endpoints of a service.
"""

import types
import typing
import unittest
from unittest import mock

from guavachute.decide.duty import scaling
from guavachute.decide.ingress.capacity import endpoint_capacity
from guavachute.decide.ingress.capacity import service_speed
from guavachute.decide.ingress import choice
from guavachute.entry.capacity import learned
from guavachute.entry.capacity import records
from guavachute.entry.capacity import updates
from guavachute import ids
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics
from guavachute.platform import store
from guavachute.wire import node_updates

STEP_S = 0.04
TOKENS_PER_S = 100_000.0


def chosen(tokens: float, occupied: float = 0.5) -> choice.Chosen:
    return choice.Chosen(ids.EndpointId('e1'), 0.0, tokens, occupied)


def usual_s(tokens: float) -> float:
    return STEP_S + tokens / TOKENS_PER_S


class LearnedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speed = service_speed.ServiceSpeed()
        self.one = learned.Learned(self.speed)
        self.now_s = 0.0
        for place in range(200):
            self.serve(learned.Learned(self.speed), place % 9 * 1_000.0)

    def serve(
        self,
        endpoint: learned.Learned,
        tokens: float,
        slowness: float = 1.0,
        occupied: float = 0.5,
    ) -> None:
        self.now_s += 0.1
        endpoint.record_first_token(
            chosen(tokens), occupied, slowness * usual_s(tokens), self.now_s
        )

    def slowdown(self) -> float:
        return self.one.slowdown(self.now_s)

    def test_the_usual_speed_replaces_the_initial_values(self) -> None:
        found = self.speed.prefill_tokens_per_s / TOKENS_PER_S
        self.assertAlmostEqual(1.0, found, delta=0.1)
        self.assertAlmostEqual(STEP_S, self.speed.step_s, delta=0.01)

    def test_a_slow_endpoint_is_known_at_once_and_recovers(self) -> None:
        self.serve(self.one, 2_000.0, 8.0)
        self.assertGreater(self.slowdown(), 2.5)
        for _ in range(12):
            self.serve(self.one, 2_000.0)
        self.assertLess(self.slowdown(), 1.5)

    # Guards against an endpoint that nobody ever uses again.
    def test_an_endpoint_that_is_not_used_recovers(self) -> None:
        self.serve(self.one, 2_000.0, 8.0)
        self.now_s += endpoint_capacity.KEPT_S
        self.assertEqual(1.0, self.slowdown())

    def test_long_work_is_no_slowness(self) -> None:
        for _ in range(20):
            self.serve(self.one, 60_000.0)
        self.assertAlmostEqual(1.0, self.slowdown(), delta=0.2)

    def test_the_wait_in_a_full_endpoints_queue_is_no_slowness(self) -> None:
        for _ in range(20):
            self.serve(self.one, 2_000.0, 8.0, occupied=1.0)
        self.assertEqual(1.0, self.slowdown())

    # Guards against a second in which a frozen endpoint gets more requests.
    def test_a_frozen_endpoint_is_slow_before_it_answers(self) -> None:
        attempt = learned.Attempt(
            self.one, chosen(2_000.0), lambda now_s: 0.0, self.now_s
        )
        self.now_s += 0.2
        self.speed.progress_s = self.now_s
        self.assertEqual(1.0, self.slowdown())
        self.now_s += 0.8
        # Nothing came from any endpoint: this node may have stood still.
        self.assertEqual(1.0, self.slowdown())
        self.speed.progress_s = self.now_s
        self.assertGreater(self.slowdown(), 4.0)
        self.assertIn('e1', self.told(self.one))
        attempt.handle_released()
        self.assertEqual(1.0, self.slowdown())

    def test_a_caller_that_reads_slowly_is_no_slowness(self) -> None:
        attempt = learned.Attempt(
            self.one, chosen(2_000.0), lambda now_s: 0.0, self.now_s
        )
        attempt.handle_event(self.now_s + usual_s(2_000.0))
        attempt.handle_paused()
        self.now_s += 9.0
        attempt.handle_success(38, 380, 12, self.now_s)
        self.assertLess(self.slowdown(), 1.1)

    # Guards against a load report that draws, or keeps off, all requests.
    def test_false_reports_count_within_bounds(self) -> None:
        count = endpoint_capacity.expected_requests
        self.assertEqual(4.0, count(8, 0, 0.0, 12))
        self.assertEqual(20.0, count(8, 10**9, 0.0, 12))
        self.assertEqual(8.0, count(8, 0, 9.0, 12))
        self.one.record_report(0.01, self.now_s)
        self.assertEqual(0.5, self.slowdown())
        self.one.record_report(1e9, self.now_s)
        self.assertLessEqual(
            self.slowdown(),
            endpoint_capacity.SLOWDOWN_RANGE[1],
        )
        self.now_s += endpoint_capacity.KEPT_S
        self.assertEqual(1.0, self.slowdown())

    def test_a_rejection_lowers_the_limit_for_a_while(self) -> None:
        capacity = self.one.endpoint
        self.one.record_rejection(1.0, self.now_s)
        self.assertEqual(
            endpoint_capacity.LIMIT_DECREASE, capacity.limit_share(self.now_s)
        )
        # The count known here may be old.
        self.one.record_rejection(0.1, self.now_s + 1)
        self.assertGreater(capacity.limit_share(self.now_s + 1), 0.4)
        self.assertEqual(
            1.0,
            capacity.limit_share(
                self.now_s + 1 + endpoint_capacity.LIMIT_RECOVERY_S
            ),
        )

    def told(
        self, *endpoints: learned.Learned
    ) -> dict[ids.EndpointId, node_updates.EndpointCapacity]:
        known = {
            ids.EndpointId(f'e{number}'): item
            for number, item in enumerate(endpoints, 1)
        }
        figures = learned.told_figures(known, self.now_s)
        return updates.encode(figures, self.now_s)

    def merge(
        self,
        node: learned.Learned,
        told: dict[ids.EndpointId, node_updates.EndpointCapacity],
        now_s: float,
    ) -> None:
        for item in updates.decode(told, now_s).values():
            node.merge_told('n2', item, now_s)

    def test_a_node_that_joins_starts_from_what_others_tell(self) -> None:
        for _ in range(5):
            self.serve(self.one, 2_000.0, 8.0)
        joined = learned.Learned(service_speed.ServiceSpeed())
        self.merge(joined, self.told(self.one), self.now_s)
        self.assertGreater(joined.slowdown(self.now_s), 4.0)
        # It does not compare with its initial values, which are wrong.
        other = learned.Learned(joined.service)
        for _ in range(service_speed.MIN_MEASUREMENTS - 1):
            self.serve(other, 2_000.0, 8.0)
        self.assertEqual(1.0, other.slowdown(self.now_s))

    # Guards against a node that receives nothing more, and avoids a sound
    # endpoint for ever.
    def test_told_figures_end_when_updates_stop(self) -> None:
        told = {
            ids.EndpointId('e1'): node_updates.EndpointCapacity(800, 50, 20)
        }
        self.merge(self.one, told, self.now_s)
        self.assertGreater(self.slowdown(), 3.0)
        self.assertLess(self.one.endpoint.limit_share(self.now_s), 0.7)
        self.now_s += endpoint_capacity.KEPT_S
        self.assertEqual(1.0, self.slowdown())
        self.one.endpoint.discard_told(self.now_s)
        self.assertEqual({}, self.one.endpoint.told)

    def test_what_others_send_is_bounded(self) -> None:
        name = ids.EndpointId('e1')
        for notice in (
            node_updates.EndpointCapacity(10**9, 10**9, 0),
            node_updates.EndpointCapacity(0, 0, 0),
        ):
            (item,) = updates.decode({name: notice}, 0.0).values()
            low, high = endpoint_capacity.SLOWDOWN_RANGE
            self.assertTrue(low <= item.slowdown <= high)
            self.assertTrue(0 <= item.limit_share <= 1)
        old = node_updates.EndpointCapacity(800, 50, 10**9)
        self.assertEqual({}, updates.decode({name: old}, 0.0))
        for number in range(99):
            item = endpoint_capacity.Told(8.0, 1.0, self.now_s)
            self.one.merge_told(f'n{number}', item, self.now_s)
        self.assertEqual(learned.MAX_TELLERS, len(self.one.endpoint.told))
        many = [learned.Learned(self.speed) for _ in range(99)]
        for item in many:
            item.record_report(16.0, self.now_s)
        self.assertEqual(learned.MAX_TOLD, len(self.told(*many)))
        known = {ids.EndpointId(f'e{n}'): item for n, item in enumerate(many)}
        self.assertEqual(
            learned.MAX_TOLD_BY_REGION,
            len(learned.region_figures(known, self.now_s)),
        )

    def test_a_usual_service_tells_nothing(self) -> None:
        for _ in range(20):
            self.serve(self.one, 2_000.0)
        self.assertEqual({}, self.told(self.one))

    # Guards against nodes that all start together and choose alike.
    def test_nodes_without_measurements_choose_as_before(self) -> None:
        new = service_speed.ServiceSpeed()
        self.assertEqual(choice.STEP_S, new.step_s)
        self.assertEqual(choice.SLOT_WAIT_S, new.usual().slot_wait_s(12))
        self.assertAlmostEqual(
            choice.DEFAULT_PREFILL_TOKENS_PER_S, new.prefill_tokens_per_s
        )
        self.assertEqual(1.0, learned.Learned(new).slowdown(0.0))

    # Guards against too few engines for callers: slow engines were counted as
    # usual ones, and fast ones, measured without a queue, as several.
    def test_measured_speeds_change_the_engines_that_are_ordered(self) -> None:
        demand = scaling.Demand(600_000.0, 30_000.0)
        self.assertEqual(demand, demand.at_speed(None, None))
        slow = demand.at_speed(40_000.0, 0.0004)
        self.assertAlmostEqual(27.0, slow.busy_engines)
        for fast in ((120_000.0, 0.0002), (1e9, 1e-9)):
            self.assertAlmostEqual(
                demand.busy_engines, demand.at_speed(*fast).busy_engines
            )
        absurd = demand.at_speed(1.0, 1.0)
        self.assertAlmostEqual(
            scaling.SPEED_TRUST * demand.busy_engines, absurd.busy_engines
        )


class GaugesTest(unittest.TestCase):
    # Guards against a log that grows with each measurement.
    def test_a_fall_and_a_recovery_are_logged_once(self) -> None:
        item = learned.Learned(service_speed.ServiceSpeed())
        with mock.patch.object(journal, 'event') as event:
            for tenth in range(400):
                now_s = tenth / 10
                if tenth < 100:
                    item.record_report(6.0 + tenth % 3, now_s)
                item.expire(ids.EndpointId('e1'), 'chat', now_s)
        self.assertEqual(
            ['capacity-fell', 'capacity-recovered'],
            [call.kwargs['outcome'] for call in event.call_args_list],
        )

    # Guards against a metrics page that grows with the number of endpoints.
    def test_only_slow_endpoints_have_gauges_and_few(self) -> None:
        known = {}
        for number in range(99):
            item = learned.Learned(service_speed.ServiceSpeed())
            known[ids.EndpointId(f'e"{number}')] = item
        metrics = observe_metrics.Metrics()
        metrics.labelled_gauges(
            'slow', 'endpoint', lambda: learned.slowdowns(known, 1.0)
        )
        self.assertNotIn(b'guavachute_slow{', metrics.text())
        for item in known.values():
            item.record_report(16.0, 1.0)
            item.record_rejection(1.0, 1.0)
        self.assertIn(b'guavachute_slow{endpoint="e\\"7"} ', metrics.text())
        for found in (
            learned.slowdowns(known, 1.0),
            learned.limit_shares(known, 1.0),
        ):
            self.assertEqual(learned.MAX_GAUGES, len(found))


class FakeClient:
    """A store that keeps the appended records."""

    def __init__(self) -> None:
        self.sent = 0

    def call(self, request: object, done: object, timeout_s: float) -> None:
        self.sent += 1


class RecordsTest(unittest.TestCase):
    """All nodes have been killed, and start from the store."""

    def node(self) -> tuple[records.SpeedRecords, service_speed.ServiceSpeed]:
        speeds = {self.SERVICE: service_speed.ServiceSpeed()}
        self.client = FakeClient()
        self.loop = types.SimpleNamespace(now_s=100.0)
        found = records.SpeedRecords(
            typing.cast(typing.Any, self.loop),
            typing.cast(typing.Any, self.client),
            speeds,
            lambda service: speeds[self.SERVICE],
            lambda: True,
        )
        return found, speeds[self.SERVICE]

    SERVICE = ids.ServiceName('chat')

    def measured(self) -> service_speed.ServiceSpeed:
        speed = service_speed.ServiceSpeed()
        for place in range(300):
            tokens = place % 9 * 1_000.0
            speed.first_token_slowdown(tokens, usual_s(tokens))
        speed.record_slot(0.5)
        return speed

    def fold(self, kept: records.SpeedRecords, value: bytes | None) -> None:
        kept.fold(store.KeyedRecord(f'capacity/{self.SERVICE}', value))

    def test_a_node_starts_from_the_record(self) -> None:
        kept, speed = self.node()
        self.fold(kept, records.encode(self.measured()))
        found = speed.prefill_tokens_per_s / TOKENS_PER_S
        self.assertAlmostEqual(1.0, found, delta=0.1)
        self.assertAlmostEqual(STEP_S, speed.step_s, delta=0.01)
        self.assertAlmostEqual(0.5 / 12, speed.usual().slot_wait_s(12))
        # What it measures itself replaces that.
        for place in range(300):
            tokens = place % 9 * 1_000.0
            speed.first_token_slowdown(tokens, 2 * usual_s(tokens))
        self.assertAlmostEqual(2 * STEP_S, speed.step_s, delta=0.02)

    def test_odd_records_change_nothing_or_are_bounded(self) -> None:
        kept, speed = self.node()
        for value in (None, b'', b'x', b'\x81\xa4slot\xff'):
            self.fold(kept, value)
        self.assertEqual(choice.STEP_S, speed.step_s)
        huge = node_updates.CapacityRecord(
            first_token=(10**9, 10**9), slot=10**9, token=10**9
        )
        self.fold(kept, node_updates.encode(huge))
        self.assertLessEqual(speed.step_s, service_speed.MAX_STEP_S)
        self.assertLessEqual(
            speed.usual().slot_wait_s(1), service_speed.SLOT_WAIT_RANGE_S[1]
        )

    # Guards against records that nodes write again and again.
    def test_records_are_written_rarely_and_only_if_they_differ(self) -> None:
        kept, speed = self.node()
        kept.write()
        self.assertEqual(0, self.client.sent)
        for _ in range(300):
            speed.first_token_slowdown(2_000.0, 0.1)
        for _ in range(5):
            kept.write()
        self.assertEqual(1, self.client.sent)
        self.fold(kept, records.encode(speed))
        self.loop.now_s += records.WRITE_INTERVAL_S
        kept.write()
        self.assertEqual(1, self.client.sent)
        for _ in range(300):
            speed.first_token_slowdown(2_000.0, 0.2)
        kept.write()
        self.assertEqual(2, self.client.sent)
