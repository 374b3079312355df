"""The log client, the log follower and the relay with a faulty log."""

import random
import time
import unittest

from guavachute.clients import log_client
from guavachute.clients import log_source
from guavachute.decide.control import control_log
from guavachute.decide.control import source_choice
from guavachute import ids
from guavachute.observe import counters
from guavachute import outcome
from guavachute.standin import faults
from tests.support import control
from tests.support import waiting


class LogClientTest(control.LogTest):
    def append_one(
        self, client: log_client.LogClient, timeout_s: float
    ) -> log_client.Appended | outcome.Failure:
        return client.append(
            'control', [control.change(1, -1)], time.monotonic() + timeout_s
        )

    def test_a_lost_answer_is_repeated_with_the_same_record_id(self) -> None:
        self.fault(faults.Kind.LOSE_ANSWER, faults.Kind.REFUSE)
        self.assertEqual(
            log_client.Appended(first_offset=1, next_offset=2),
            self.append_one(self.client(), control.LONG_S),
        )
        kept = self.log.records('control')
        self.assertEqual(['change-1'] * 2, [r['record_id'] for r in kept])

    def test_the_failure_tells_whether_records_may_stand_in_the_log(
        self,
    ) -> None:
        for kind, reason in [
            (faults.Kind.REFUSE, outcome.Reason.UNAVAILABLE),
            (faults.Kind.LOSE_ANSWER, outcome.Reason.LOST_ANSWER),
        ]:
            with self.subTest(kind):
                self.fault(kind)
                self.fault(faults.Kind.REFUSE, count=-1)
                result = self.append_one(self.client(), 0.5)
                assert isinstance(result, outcome.Failure)
                self.assertEqual(reason, result.reason)
                self.log.faults.clear()

    def test_an_append_to_a_closed_port_is_certainly_not_in_the_log(
        self,
    ) -> None:
        client = log_client.LogClient(
            '127.0.0.1:1', counters.Counters(), random.Random(1)
        )
        result = self.append_one(client, 0.3)
        assert isinstance(result, outcome.Failure)
        self.assertEqual(outcome.Reason.UNAVAILABLE, result.reason)

    def test_a_read_below_the_retention_returns_retention_passed(self) -> None:
        self.append(*[control.change(n, n - 1) for n in range(5)])
        self.log.drop_before('control', 3)
        self.assertEqual(
            log_client.RetentionPassed(first_retained_offset=3, next_offset=5),
            self.client().read('control', ids.Offset(2)),
        )


class LogFollowerTest(control.LogTest):
    def test_subscribers_see_changes_and_doubles_change_nothing(self) -> None:
        collector = control.UpdateCollector(self.follow())
        self.run_all()
        self.append(control.change(1, -1), control.change(1, -1))
        collector.wait_for(1)
        self.append(control.change(2, 0), control.change(1, -1))
        collector.wait_for(2)
        self.append(control.change(3, 2))
        update = collector.wait_for(3)
        self.assertEqual(
            control_log.Verdict.ACCEPTED, update.folded[-1].verdict
        )

    def test_it_starts_from_a_snapshot_that_lags(self) -> None:
        changes = [control.change(n, n - 1) for n in range(1300)]
        self.append(*changes, control.snapshot_of(*changes[:700]))
        self.log.drop_before('control', 690)
        collector = control.UpdateCollector(self.follow())
        self.run_all()
        collector.wait_for(1299)

    def test_it_is_not_ready_when_the_retention_passed_every_snapshot(
        self,
    ) -> None:
        changes = [control.change(n, n - 1) for n in range(20)]
        self.append(*changes, control.snapshot_of(*changes[:5]))
        self.log.drop_before('control', 10)
        collector = control.UpdateCollector(self.follow())
        self.run_all()
        self.wait_for_failures(2)
        collector.read()
        self.assertEqual([], collector.updates)
        self.append(control.snapshot_of(*changes))
        collector.wait_for(19)

    def test_it_goes_on_after_the_log_was_down(self) -> None:
        collector = control.UpdateCollector(self.follow())
        self.run_all()
        self.append(control.change(1, -1))
        collector.wait_for(1)
        self.log.set_down(True)
        self.append(control.change(2, 0))
        self.wait_for_failures(2)
        self.log.set_down(False)
        self.append(control.change(3, 1))
        collector.wait_for(3)

    def wait_for_failures(self, count: int) -> None:
        waiting.until(
            lambda: self.counters.value('log.source_failures') >= count,
            f'{count} failures of the source',
        )


class LogRelayTest(control.LogTest):
    def test_a_change_goes_through_two_relays(self) -> None:
        first = self.relay(self.follow())
        second = self.relay(self.follow(control.source_of(first)))
        collector = control.UpdateCollector(
            self.follow(control.source_of(second))
        )
        self.run_all()
        self.append(control.change(1, -1))
        collector.wait_for(1)
        self.append(control.change(2, 0))
        self.assertEqual(1, len(collector.wait_for(2).folded))

    def test_a_relay_leaves_out_what_a_snapshot_holds(self) -> None:
        relay = self.relay(self.follow())
        collector = control.UpdateCollector(
            self.follow(control.source_of(relay))
        )
        self.run_all()
        self.append(control.change(1, -1))
        collector.wait_for(1)
        self.append(
            control.snapshot_of(control.change(1, -1)), control.change(2, 0)
        )
        collector.wait_for(2)
        raws = [f.raw for u in collector.updates for f in u.folded]
        (snapshot,) = [raw for raw in raws if raw['kind'] == 'snapshot']
        self.assertEqual(0, snapshot['state']['through_offset'])
        self.assertEqual({}, snapshot['state']['configurations'])

    def test_a_follower_leaves_a_relay_that_is_gone(self) -> None:
        relay = self.relay(self.follow())
        direct = log_source.LogSource(self.client())
        collector = control.UpdateCollector(
            self.follow(control.source_of(relay), direct)
        )
        self.run_all()
        self.append(control.change(1, -1))
        collector.wait_for(1)
        relay.request_stop()
        self.append(control.change(2, 0))
        collector.wait_for(2)

    def test_a_new_process_takes_the_newest_state_of_its_peers(self) -> None:
        ahead = self.follow()
        behind = self.follow()
        relays = [self.relay(behind), self.relay(ahead)]
        collectors = [
            control.UpdateCollector(behind),
            control.UpdateCollector(ahead),
        ]
        self.run_all()
        self.append(control.change(1, -1))
        for each in collectors:
            each.wait_for(1)
        behind.request_stop()
        behind.join(control.LONG_S)
        self.append(control.change(2, 0))
        collectors[1].wait_for(2)
        self.log.set_down(True)
        newcomer = self.follow(
            log_source.LogSource(self.client()),
            peers=tuple(control.source_of(relay) for relay in relays),
        )
        newcomer_updates = control.UpdateCollector(newcomer)
        newcomer.start()
        self.addCleanup(newcomer.request_stop)
        newcomer_updates.wait_for(2)
        self.assertEqual(1, len(newcomer_updates.updates))

    def test_a_peer_without_the_key_is_refused(self) -> None:
        relay = self.relay(self.follow())
        stranger = control.source_of(relay, b'another key')
        control.UpdateCollector(self.follow(stranger))
        self.run_all()
        waiting.until(
            lambda: self.counters.value('log_relay.refused_peers'),
            'the refusal',
        )


class SourceChoiceTest(unittest.TestCase):
    def test_it_takes_the_next_and_returns_to_the_better_one(self) -> None:
        choice = source_choice.SourceChoice(2)
        self.assertEqual(0, choice.choose(0.0))
        choice.record_failure(0, 0.0, 1.0)
        self.assertEqual(1, choice.choose(0.0))
        self.assertFalse(choice.should_return(1.0))
        self.assertTrue(choice.has_alternative(1, 1.0))
        self.assertTrue(choice.should_return(source_choice.RETURN_AFTER_S))
        choice.record_failure(1, 0.0, 1.0)
        self.assertIsNone(choice.choose(0.0))
        self.assertEqual(0, choice.choose(choice.next_retry_s()))

    def test_a_source_that_fails_again_is_left_alone_longer(self) -> None:
        choice = source_choice.SourceChoice(1)
        waits_s = []
        for _ in range(20):
            choice.record_failure(0, 0.0, 1.0)
            waits_s.append(choice.next_retry_s())
        self.assertEqual(sorted(waits_s), waits_s)
        self.assertEqual(source_choice.RETRY.maximum_s, waits_s[-1])
        choice.record_success(0)
        choice.record_failure(0, 0.0, 1.0)
        self.assertEqual(source_choice.RETRY.initial_s, choice.next_retry_s())
