"""The log client and the follower against a log service with faults."""

import contextlib
import random
import time
import typing
import unittest

from guavachute.decide import control_log
from guavachute import ids
from guavachute.kernel import kernel
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute import outcome
from guavachute.platform import log_client
from guavachute.platform import log_source
from guavachute.services import log_follower
from guavachute.wire import records
from tests.support import fake_log
from tests.support import waiting

LONG_S = 20.0


def change(number: int, supersedes: int) -> records.ConfigurationChange:
    return records.ConfigurationChange(
        record_id=ids.RecordId(f'change-{number}'),
        environment=ids.EnvironmentName('trial'),
        supersedes_offset=ids.Offset(supersedes),
        document={'number': number},
        digest=ids.Digest(f'digest-{number}'),
        author='tester',
    )


def snapshot_of(*folded: records.ControlRecord) -> records.Snapshot:
    state = records.ControlState()
    for offset, record in enumerate(folded):
        state, _ = control_log.fold(state, ids.Offset(offset), record)
    return records.Snapshot(record_id=ids.RecordId('snapshot'), state=state)


class _LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = fake_log.FakeLog()
        self.kernel = kernel.Kernel()
        self.counters = counters.Counters()
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.stack.enter_context(self.log.running())

    def client(self) -> log_client.LogClient:
        return self.stack.enter_context(
            log_client.connected(
                self.log.address, self.counters, random.Random(1)
            )
        )

    def follow(self) -> log_follower.LogFollower:
        follower = log_follower.LogFollower(
            'follower',
            [log_source.LogSource(self.client())],
            self.counters,
            random.Random(1),
        )
        self.kernel.add(follower)
        return follower

    def run_all(self) -> None:
        self.stack.enter_context(self.kernel.running())

    def wait_for_number(self, box: mailbox.Mailbox, number: int) -> typing.Any:
        def found() -> log_follower.ControlUpdate | None:
            update = box.receive(0.1)
            heads = update.state.configurations if update else {}
            if 'trial' in heads and heads['trial'].document == {
                'number': number
            }:
                return update
            return None

        return waiting.until(found, f'document {number}')


class LogClientTest(_LogTest):
    def append(self) -> log_client.Appended | outcome.Failure:
        return self.client().append(
            'control', [change(1, -1)], time.monotonic() + LONG_S
        )

    def test_a_lost_answer_is_repeated_with_the_same_record_id(self) -> None:
        self.log.faults = [fake_log.LOST, fake_log.DOWN]
        self.assertEqual(
            log_client.Appended(first_offset=1, next_offset=2), self.append()
        )
        kept = self.log.streams['control']
        self.assertEqual(['change-1'] * 2, [r['record_id'] for r in kept])

    def test_the_failure_tells_whether_records_may_stand_in_the_log(
        self,
    ) -> None:
        for fault, reason in [
            (fake_log.LOST, outcome.Reason.LOST_ANSWER),
            (fake_log.DOWN, outcome.Reason.UNAVAILABLE),
        ]:
            with self.subTest(fault):
                self.log.faults = [fault, *[fake_log.DOWN] * 100]
                result = self.client().append(
                    'control', [change(1, -1)], time.monotonic() + 0.5
                )
                assert isinstance(result, outcome.Failure)
                self.assertEqual(reason, result.reason)

    def test_nobody_listening_is_surely_not_appended(self) -> None:
        client = log_client.LogClient(
            '127.0.0.1:1', self.counters, random.Random(1)
        )
        result = client.append(
            'control', [change(1, -1)], time.monotonic() + 0.3
        )
        assert isinstance(result, outcome.Failure)
        self.assertEqual(outcome.Reason.UNAVAILABLE, result.reason)

    def test_a_read_below_the_retention_is_typed(self) -> None:
        self.log.append('control', *[change(n, n - 1) for n in range(5)])
        self.log.first_retained = 3
        self.assertEqual(
            log_client.RetentionPassed(first_retained_offset=3, next_offset=5),
            self.client().read('control', ids.Offset(2)),
        )


class LogFollowerTest(_LogTest):
    def test_subscribers_see_changes_and_doubles_change_nothing(self) -> None:
        follower = self.follow()
        self.run_all()
        box = mailbox.Mailbox()
        follower.subscribe(box)
        self.log.append('control', change(1, -1), change(1, -1))
        self.wait_for_number(box, 1)
        self.log.append('control', change(2, 0), change(1, -1))
        self.wait_for_number(box, 2)
        self.log.append('control', change(3, 2))
        update = self.wait_for_number(box, 3)
        self.assertEqual(
            control_log.Verdict.ACCEPTED, update.folded[-1].verdict
        )

    def test_it_starts_from_a_snapshot_that_lags(self) -> None:
        first = [change(n, n - 1) for n in range(700)]
        later = [change(n, n - 1) for n in range(700, 1300)]
        snapshot = snapshot_of(*first)
        self.log.append('control', *first, *later, snapshot)
        self.log.first_retained = 690
        follower = self.follow()
        self.run_all()
        box = mailbox.Mailbox()
        follower.subscribe(box)
        self.wait_for_number(box, 1299)

    def test_it_is_not_ready_when_the_retention_passed_every_snapshot(
        self,
    ) -> None:
        changes = [change(n, n - 1) for n in range(20)]
        self.log.append('control', *changes, snapshot_of(*changes[:5]))
        self.log.first_retained = 10
        follower = self.follow()
        self.run_all()
        box = mailbox.Mailbox()
        follower.subscribe(box)
        waiting.until(
            lambda: self.counters.value('log.source_failures') > 1,
            'two attempts',
        )
        self.assertIsNone(box.receive(0))
        self.log.append('control', snapshot_of(*changes))
        self.wait_for_number(box, 19)

    def test_it_goes_on_after_the_log_was_down(self) -> None:
        follower = self.follow()
        self.run_all()
        box = mailbox.Mailbox()
        follower.subscribe(box)
        self.log.append('control', change(1, -1))
        self.wait_for_number(box, 1)
        self.log.down = True
        self.log.append('control', change(2, 0))
        waiting.until(
            lambda: self.counters.value('log.source_failures') > 1,
            'the outage seen',
        )
        self.log.down = False
        self.log.append('control', change(3, 1))
        self.wait_for_number(box, 3)
