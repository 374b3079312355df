"""Tests that orders run at most once under failures of log and routers."""

import dataclasses
import random
import unittest
import uuid

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from guavachute.decide.orders import order_claims
from guavachute.decide.orders import order_commit
from guavachute.decide.orders import order_keys
from guavachute.decide.orders import order_snapshot
from guavachute import ids
from guavachute import outcome
from guavachute.wire import order_records

WINDOW_S = 1000.0
UNIX_S = 1_800_000_000.0
WAIT_S = 3.0

Result = order_commit.AppendResult


@dataclasses.dataclass
class Attempt:
    """One attempt of a router and the verdict that its caller received."""

    key: str
    committer: int
    verdict: outcome.Verdict | None = None
    dispatched: bool = False


class OrdersMachine(stateful.RuleBasedStateMachine):
    """Two committers, a log that loses or repeats appends, dying routers."""

    keys = strategies.sampled_from(['key-a', 'key-b'])
    committers = strategies.sampled_from([0, 1])

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.log: list[order_records.OrderRecord] = []
        self.first_retained = 0
        self.delayed: list[order_records.OrderRecord] = []
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, int] = {}
        self.blocked: set[str] = set()
        self.current_committers = [self.new_committer() for _ in range(2)]

    def new_committer(self) -> order_commit.Committer:
        """Return a committer that starts from the retained records."""
        collector = order_snapshot.Collector()
        for record in self.log[self.first_retained :]:
            collector.collect(record)
        start = order_snapshot.start_state(
            collector, self.first_retained, UNIX_S
        )
        assert start.complete_from_unix_s == 0.0
        claims = order_claims.Claims(WINDOW_S)
        claims.restore(
            start.through_offset, start.complete_from_unix_s, start.keys
        )
        committer = order_commit.Committer(claims)
        committer.is_ready = True
        return committer

    def handle(self, replies: list[order_commit.Reply]) -> None:
        """Apply *replies* as the routers would."""
        for reply in replies:
            attempt = self.attempts[reply.attempt_id]
            if attempt.verdict is not None:
                continue
            if isinstance(reply, order_commit.Won):
                attempt.dispatched = True
            elif isinstance(reply, order_commit.AlreadyRun):
                attempt.verdict = outcome.Verdict.DONE
                assert self.runs.get(attempt.key) == 1
            else:
                attempt.verdict = reply.verdict

    @stateful.rule(key=keys, committer=committers)
    def send(self, key: str, committer: int) -> None:
        attempt_id = ids.AttemptId(f'attempt-{len(self.attempts)}')
        self.attempts[attempt_id] = Attempt(key, committer)
        claim = order_commit.Claim(
            key, 'body', attempt_id, self.now_s + WAIT_S
        )
        self.handle(self.current_committers[committer].submit(claim))

    @stateful.rule(
        committer=committers,
        fate=strategies.sampled_from(
            ['taken', 'taken', 'refused', 'lost', 'lost-late', 'doubled']
        ),
    )
    def append(self, committer: int, fate: str) -> None:
        self.now_s += 1
        current = self.current_committers[committer]
        batch = current.next_batch(self.now_s, UNIX_S)
        if not batch:
            return
        if fate == 'refused':
            current.append_done(Result.REFUSED)
            return
        if fate == 'lost-late':
            self.delayed += batch
        else:
            self.log += batch * (2 if fate == 'doubled' else 1)
        current.append_done(
            Result.LOST if fate.startswith('lost') else Result.ACCEPTED
        )

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule()
    def late_append_takes_effect(self) -> None:
        self.log += self.delayed
        self.delayed = []

    @stateful.rule(committer=committers)
    def append_and_read(self, committer: int) -> None:
        self.append(committer, 'taken')
        self.read(committer, len(self.log))

    @stateful.rule(committer=committers, count=strategies.integers(1, 9))
    def read(self, committer: int, count: int) -> None:
        current = self.current_committers[committer]
        start = current.claims.through_offset + 1
        if start < self.first_retained:
            self.committer_dies(committer)
            return
        for offset in range(start, min(start + count, len(self.log))):
            current.claims.fold(offset, self.log[offset], UNIX_S)
        self.handle(current.decide())

    @stateful.rule(
        committer=committers,
        pass_s=strategies.sampled_from([0.1, 0.5, WAIT_S]),
    )
    def time_passes(self, committer: int, pass_s: float) -> None:
        self.now_s += pass_s
        self.handle(self.current_committers[committer].expire(self.now_s))

    @stateful.precondition(lambda self: self.dispatching())
    @stateful.rule(
        ending=strategies.sampled_from(
            ['answered', 'lost', 'not-connected', 'router-dies']
        )
    )
    def dispatch(self, ending: str) -> None:
        attempt_id = self.dispatching()[0]
        attempt = self.attempts[attempt_id]
        committer = self.current_committers[attempt.committer]
        attempt.verdict = outcome.Verdict.UNKNOWN
        if ending == 'not-connected':
            attempt.verdict = outcome.Verdict.NOT_RUN
            committer.cancel(attempt.key, ids.AttemptId(attempt_id))
        elif ending == 'router-dies':
            self.blocked.add(attempt.key)
        else:
            self.runs[attempt.key] = self.runs.get(attempt.key, 0) + 1
        if ending == 'answered':
            attempt.verdict = outcome.Verdict.DONE
            committer.record_answer(
                order_records.OrderAnswer(
                    key_digest=attempt.key,
                    attempt_id=ids.AttemptId(attempt_id),
                    status=201,
                    headers={},
                    body=b'{}',
                )
            )

    def dispatching(self) -> list[str]:
        """Return the attempts that may be dispatched but were not yet."""
        return [
            attempt_id
            for attempt_id, attempt in self.attempts.items()
            if attempt.dispatched and attempt.verdict is None
        ]

    @stateful.rule(committer=committers, one_of_five=strategies.integers(1, 5))
    def may_die(self, committer: int, one_of_five: int) -> None:
        if one_of_five == 5:
            self.committer_dies(committer)

    def committer_dies(self, committer: int) -> None:
        """Replace a committer by a new process."""
        # Its routers cancel their attempts, but no process appends a
        # record of that.
        for attempt in self.attempts.values():
            if attempt.committer != committer:
                continue
            self.blocked.add(attempt.key)
            if not attempt.dispatched and attempt.verdict is None:
                attempt.verdict = outcome.Verdict.NOT_RUN
        self.current_committers[committer] = self.new_committer()

    @stateful.rule(
        committer=committers, one_of_three=strategies.integers(1, 3)
    )
    def write_snapshot(self, committer: int, one_of_three: int) -> None:
        if one_of_three < 3:
            return
        claims = self.current_committers[committer].claims
        parts = order_snapshot.snapshot_parts(
            claims, f'snapshot-{len(self.log)}'
        )
        self.log += parts
        self.first_retained = max(
            self.first_retained, claims.through_offset + 1
        )

    @stateful.invariant()
    def each_key_runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values()), self.runs

    def teardown(self) -> None:
        """Check that a key that never ran can still be run at the end.

        Keys whose router or committer died with unwritten state are
        excepted.
        """
        self.log += self.delayed
        self.delayed = []
        self.now_s += 2 * WAIT_S
        while self.dispatching():
            self.dispatch('answered')
        for number in (0, 1, 0, 1):
            self.time_passes(number, 0.0)
            self.append(number, 'taken')
            self.read(number, len(self.log))
        for key in {'key-a', 'key-b'} - self.blocked - self.runs.keys():
            self.send(key, 0)
            self.append(0, 'taken')
            self.read(0, len(self.log))
            *_, last = self.attempts.values()
            assert last.dispatched, last


OrdersMachineTest = OrdersMachine.TestCase
OrdersMachineTest.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=60, deadline=None
)


class Log:
    """A log with one committer."""

    def __init__(self) -> None:
        self.records: list[order_records.OrderRecord] = []
        self.committer = order_commit.Committer(order_claims.Claims(WINDOW_S))
        self.committer.is_ready = True
        self.now_s = 0.0

    def claim(self, attempt: str, body: str = 'body') -> list:
        """Submit a claim of the key and return the replies."""
        claim = order_commit.Claim(
            'key', body, ids.AttemptId(attempt), self.now_s + WAIT_S
        )
        return self.committer.submit(claim)

    def append(self, result: Result, takes_effect: bool = True) -> list:
        """Append the next batch and return its records."""
        self.now_s += 1
        batch = self.committer.next_batch(self.now_s, UNIX_S)
        if takes_effect:
            self.records += batch
        self.committer.append_done(result)
        return batch

    def read(self) -> list:
        """Fold all records and return the replies."""
        for offset, record in enumerate(self.records):
            self.committer.claims.fold(offset, record, UNIX_S)
        return self.committer.decide()

    def expire(self) -> list:
        """Advance the time past the claims' deadline; return the replies."""
        self.now_s += WAIT_S
        return self.committer.expire(self.now_s)


class OrderCommitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = Log()

    def test_a_lost_answer_is_no_obstacle(self) -> None:
        self.assertEqual([], self.log.claim('one'))
        self.log.append(Result.LOST)
        self.assertEqual([order_commit.Won('one')], self.log.read())

    def test_a_truthful_not_run_can_be_sent_again_and_runs(self) -> None:
        self.log.claim('one')
        self.log.append(Result.LOST)
        (reply,) = self.log.expire()
        self.assertIs(outcome.Verdict.NOT_RUN, reply.verdict)
        self.log.claim('two')
        batch = self.log.append(Result.ACCEPTED)
        self.assertIsInstance(batch[0], order_records.OrderGiveUp)
        self.assertEqual([order_commit.Won('two')], self.log.read())

    def test_a_claim_that_comes_after_it_was_given_up_is_void(self) -> None:
        self.log.claim('one')
        late = self.log.append(Result.LOST, takes_effect=False)
        self.log.expire()
        self.log.append(Result.ACCEPTED)
        self.log.records += late
        self.log.read()
        self.log.claim('two')
        self.log.append(Result.ACCEPTED)
        self.assertEqual([order_commit.Won('two')], self.log.read())

    def test_a_claim_never_sent_needs_no_record(self) -> None:
        self.log.claim('one')
        self.log.append(Result.REFUSED, takes_effect=False)
        (reply,) = self.log.expire()
        self.assertIs(outcome.Verdict.NOT_RUN, reply.verdict)
        self.assertEqual([], self.log.append(Result.ACCEPTED))

    def test_an_append_refused_after_a_lost_one_is_given_up_too(self) -> None:
        self.log.claim('one')
        self.log.append(Result.LOST, takes_effect=False)
        self.log.append(Result.REFUSED, takes_effect=False)
        self.log.expire()
        (record,) = self.log.append(Result.ACCEPTED)
        self.assertIsInstance(record, order_records.OrderGiveUp)

    def test_the_stored_answer_comes_back(self) -> None:
        self.log.claim('one')
        self.log.append(Result.ACCEPTED)
        self.log.read()
        answer = order_records.OrderAnswer(
            key_digest='key',
            attempt_id=ids.AttemptId('one'),
            status=201,
            headers={},
            body=b'job',
        )
        self.log.committer.record_answer(answer)
        (reply,) = self.log.claim('two')
        self.assertIs(outcome.Verdict.UNKNOWN, reply.verdict)
        self.log.append(Result.ACCEPTED)
        self.log.read()
        self.assertEqual(
            [order_commit.AlreadyRun('three', answer)], self.log.claim('three')
        )

    def test_another_body_is_refused(self) -> None:
        self.log.claim('one')
        self.log.append(Result.ACCEPTED)
        self.log.read()
        (reply,) = self.log.claim('two', body='other')
        self.assertIs(outcome.Reason.KEY_REUSED, reply.failure.reason)

    def test_nothing_is_claimed_while_the_log_is_unreadable(self) -> None:
        self.log.committer.is_ready = False
        (reply,) = self.log.claim('one')
        self.assertIs(outcome.Verdict.NOT_RUN, reply.verdict)
        self.assertEqual([], self.log.append(Result.ACCEPTED))


class OrderMemoryTest(unittest.TestCase):
    def test_keys_are_kept_for_the_window_and_then_forgotten(self) -> None:
        claims = order_claims.Claims(WINDOW_S)
        claim = order_records.OrderClaim(
            key_digest='key',
            attempt_id=ids.AttemptId('one'),
            body_digest='body',
            claimed_unix_s=UNIX_S,
        )
        claims.fold(0, claim, UNIX_S)
        claims.expire(UNIX_S + WINDOW_S)
        self.assertEqual(1, len(claims))
        claims.expire(UNIX_S + WINDOW_S + 2 * order_claims.CLOCK_ERROR_S)
        self.assertEqual(0, len(claims))

    def test_a_snapshot_lacking_a_part_is_not_used(self) -> None:
        claims = order_claims.Claims(WINDOW_S)
        for number in range(order_snapshot.KEYS_PER_PART + 1):
            claim = order_records.OrderClaim(
                key_digest=f'key-{number}',
                attempt_id=ids.AttemptId('one'),
                body_digest='body',
                claimed_unix_s=UNIX_S,
            )
            claims.fold(number, claim, UNIX_S)
        give_up = order_records.OrderGiveUp(
            key_digest='key-7', attempt_id=ids.AttemptId('one')
        )
        claims.fold(claims.through_offset + 1, give_up, UNIX_S)
        parts = order_snapshot.snapshot_parts(claims, 'snapshot-1')
        self.assertEqual(2, len(parts))
        collector = order_snapshot.Collector()
        collector.collect(parts[1])
        lost = order_snapshot.start_state(collector, 600, UNIX_S)
        self.assertEqual(UNIX_S, lost.complete_from_unix_s)
        collector.collect(parts[0])
        found = order_snapshot.start_state(collector, 501, UNIX_S)
        self.assertEqual(0.0, found.complete_from_unix_s)
        again = order_claims.Claims(WINDOW_S)
        again.restore(found.through_offset, 0.0, found.keys)
        self.assertEqual(claims.entries(), again.entries())

    def test_snapshots_are_written_before_the_last_one_is_dropped(
        self,
    ) -> None:
        schedule = order_snapshot.Schedule(1.0)
        schedule.record_snapshot(100, 0.0)
        self.assertFalse(schedule.is_due(0, 300, 0.0))
        self.assertFalse(schedule.is_due(50, 100, 9999.0))
        self.assertTrue(schedule.is_due(50, 300, 0.0))
        self.assertTrue(
            schedule.is_due(0, 101, order_snapshot.SNAPSHOT_INTERVAL_S)
        )


class OrderKeysTest(unittest.TestCase):
    @staticmethod
    def uuid7(unix_s: float) -> str:
        number = int(unix_s * 1000) << 80 | 0x7000_8000 << 48
        number |= random.Random(1).getrandbits(48)
        number = number & ~(0xF << 76) | 0x7 << 76
        return str(uuid.UUID(int=number))

    def check(self, key: str, complete_from_unix_s: float = 0.0) -> object:
        failure = order_keys.check(key, UNIX_S, WINDOW_S, complete_from_unix_s)
        return failure and failure.reason

    def test_keys_that_state_their_time_are_held_to_the_window(self) -> None:
        self.assertIsNone(self.check(self.uuid7(UNIX_S - 10)))
        self.assertIs(
            outcome.Reason.KEY_TOO_OLD,
            self.check(self.uuid7(UNIX_S - WINDOW_S - 1)),
        )
        self.assertIs(
            outcome.Reason.BAD_REQUEST, self.check(self.uuid7(UNIX_S + 9999))
        )
        self.assertIsNone(self.check(str(uuid.UUID(int=4, version=4))))

    def test_after_lost_records_only_newer_keys_run(self) -> None:
        gap_s = UNIX_S - 600
        self.assertIs(outcome.Reason.RETENTION, self.check('plain', gap_s))
        self.assertIs(
            outcome.Reason.RETENTION,
            self.check(self.uuid7(UNIX_S - 500), gap_s),
        )
        self.assertIsNone(self.check(self.uuid7(UNIX_S - 10), gap_s))
        self.assertIsNone(self.check('plain', UNIX_S - 9999))

    def test_parts_of_a_digest_are_not_confused(self) -> None:
        self.assertNotEqual(
            order_keys.key_digest('a', 'bc', 'd'),
            order_keys.key_digest('ab', 'c', 'd'),
        )
