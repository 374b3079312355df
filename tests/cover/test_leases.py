"""Leases and snapshots against a faulty log, and the lease's rules."""

import unittest
import unittest.mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from guavachute.decide.control import control_log
from guavachute.decide.control import snapshot_duty
from guavachute.decide import lease
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import kernel
from guavachute import outcome
from guavachute.services import leases
from guavachute.services import snapshots
from guavachute.standin import faults
from guavachute.wire import records
from tests.support import control
from tests.support import waiting

SHORT_S = 2.0


def holds(service: leases.Leases) -> bool:
    return isinstance(service.held_lease('duty'), lease.Held)


class LeasesTest(control.LogTest):
    def test_one_of_two_wins_and_the_other_follows_a_release(self) -> None:
        first, _ = self.contend('a', control.LONG_S)
        second, _ = self.contend('b', control.LONG_S)
        self.run_all()
        waiting.until(lambda: holds(first) or holds(second), 'a holder')
        winner, loser = (first, second) if holds(first) else (second, first)
        self.assertIsInstance(loser.held_lease('duty'), outcome.Failure)
        before = winner.held_lease('duty')
        assert isinstance(before, lease.Held)
        winner.resign('duty')
        waiting.until(lambda: holds(loser), 'the other holds')
        after = loser.held_lease('duty')
        assert isinstance(after, lease.Held)
        self.assertGreater(after.fencing_number, before.fencing_number)
        self.assertIsInstance(winner.held_lease('duty'), outcome.Failure)

    def test_a_holder_cut_off_from_the_log_loses_to_a_challenger(self) -> None:
        first, writer = self.contend('a', SHORT_S)
        self.run_all()
        waiting.until(lambda: holds(first), 'a holds')
        writer.request_stop()
        self.kernel = kernel.Kernel()
        second, _ = self.contend('b', SHORT_S)
        self.run_all()
        waiting.until(lambda: holds(second), 'b takes over')
        self.assertIsInstance(first.held_lease('duty'), outcome.Failure)

    def test_a_paused_holder_notices_before_its_next_order(self) -> None:
        service, _ = self.contend('a', control.LONG_S)
        self.run_all()
        waiting.until(lambda: holds(service), 'a holds')
        late_s = clock.now_s() + control.LONG_S
        # As after a pause: the task has not run, only the clock has.
        with unittest.mock.patch.object(clock, 'now_s', lambda: late_s):
            self.assertIsInstance(service.held_lease('duty'), outcome.Failure)

    def test_a_slow_log_does_not_cost_the_lease(self) -> None:
        service, _ = self.contend('a', control.LONG_S / 2)
        self.run_all()
        waiting.until(lambda: holds(service), 'a holds')
        slow = faults.Fault(
            kind=faults.Kind.STALL, method='POST', count=-1, delay_s=0.5
        )
        self.log.faults.add(slow)
        waiting.until(
            lambda: len(self.log.records('control')) >= 2, 'a renewal'
        )
        self.assertEqual(0, self.counters.value('leases.lost'))

    def test_lost_answers_and_doubles_keep_one_holder(self) -> None:
        service, _ = self.contend('a', control.LONG_S)
        self.fault(faults.Kind.LOSE_ANSWER, faults.Kind.DOUBLE, count=3)
        self.run_all()
        waiting.until(
            lambda: len(self.log.records('control')) >= 4, 'four copies'
        )
        waiting.until(lambda: holds(service), 'a holds')
        held = service.held_lease('duty')
        assert isinstance(held, lease.Held)
        self.assertEqual(0, held.term_offset)

    def test_snapshots_are_written_before_the_retention_drops_them(
        self,
    ) -> None:
        follower = self.follow()
        service, writer = self.contend('a', control.LONG_S)
        duty = snapshots.SnapshotWriter(
            'snapshots', follower, service, writer, self.counters
        )
        self.kernel.add(duty)
        self.run_all()
        changes = [
            control.change(n, n - 1) for n in range(snapshot_duty.RECORDS)
        ]
        self.append(*changes)

        def kinds() -> set[str]:
            return {r['kind'] for r in self.log.records('control')}

        waiting.until(lambda: 'snapshot' in kinds(), 'a snapshot')


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Two contenders whose clocks differ in offset and rate.

    Records reach the log late, twice or never; each process reads when
    it likes and may be paused for any span, which here is no rule of its
    own: it just doesn't act.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.rates = {'a': 1.0, 'b': 1.0 + lease.CLOCK_RATE_ERROR * 0.9}
        self.state = records.ControlState()
        self.on_the_way: list[records.LeaseRecord] = []
        self.contenders = {
            name: lease.Contender('duty', name, duration_s=10.0)
            for name in self.rates
        }

    def clock_s(self, name: str) -> float:
        return 1000.0 + self.now_s * self.rates[name]

    who = strategies.sampled_from(['a', 'b'])

    @stateful.rule(span_s=strategies.floats(0.01, 12))
    def time_passes(self, span_s: float) -> None:
        self.now_s += span_s

    @stateful.rule(name=who)
    def time_passes_until_an_action(self, name: str) -> None:
        at_s = lease.next_action_s(self.contenders[name])
        now_s = (at_s - 1000.0) / self.rates[name]
        self.now_s = max(self.now_s, min(now_s, self.now_s + 12))

    @stateful.rule(
        name=who, readers=strategies.sampled_from(['', *'ab', 'ab'])
    )
    def act(self, name: str, readers: str) -> None:
        """Send; with *readers* the record lands and these read it."""
        now_s = self.clock_s(name)
        contender = self.contenders[name]
        if lease.next_action_s(contender) > now_s:
            return
        record_id = ids.RecordId(f'{name}-{len(contender.sent)}-{now_s}')
        contender, record = lease.build_record(contender, record_id, now_s)
        self.contenders[name] = contender
        self.on_the_way.append(record)
        if readers:
            self.fold(record)
        for reader in readers:
            self.read(reader)

    @stateful.rule(name=who)
    def release(self, name: str) -> None:
        record_id = ids.RecordId(f'release-{name}-{self.now_s}')
        contender, record = lease.release(self.contenders[name], record_id)
        self.contenders[name] = contender
        if record is not None:
            self.on_the_way.append(record)

    @stateful.precondition(lambda self: self.on_the_way)
    @stateful.rule(data=strategies.data(), keeps=strategies.booleans())
    def land(self, data: strategies.DataObject, keeps: bool) -> None:
        places = strategies.integers(0, len(self.on_the_way) - 1)
        place = data.draw(places)
        record = self.on_the_way[place]
        if not keeps:
            del self.on_the_way[place]
        self.fold(record)

    def fold(self, record: records.LeaseRecord) -> None:
        offset = ids.Offset(self.state.through_offset + 1)
        self.state, _ = control_log.fold(self.state, offset, record)

    @stateful.rule(name=who)
    def read(self, name: str) -> None:
        self.contenders[name] = lease.observe(
            self.contenders[name],
            self.state.leases.get('duty'),
            self.clock_s(name),
        )

    @stateful.invariant()
    def at_most_one_holds(self) -> None:
        holding = [
            name
            for name, contender in self.contenders.items()
            if lease.held(contender, self.clock_s(name))
        ]
        assert len(holding) <= 1, holding


LeaseMachineTest = LeaseMachine.TestCase
LeaseMachineTest.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None
)


class SnapshotDutyTest(unittest.TestCase):
    def test_it_is_due_by_records_time_or_retention(self) -> None:
        def due(lag: int, age_s: float, retained: int) -> bool:
            progress = snapshot_duty.Progress(
                ids.Offset(1000),
                0.0,
                ids.Offset(1000 + lag),
                ids.Offset(1001 + lag - retained if retained else 0),
            )
            return snapshot_duty.is_due(progress, age_s)

        self.assertFalse(due(0, snapshot_duty.PERIOD_S, 0))
        self.assertFalse(due(30, 1.0, 200))
        self.assertTrue(due(30, snapshot_duty.PERIOD_S, 0))
        self.assertTrue(due(snapshot_duty.RECORDS, 1.0, 0))
        self.assertTrue(due(30, 1.0, 100))
