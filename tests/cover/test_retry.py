"""Tests of retry budgets and of streams that make no progress."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.requests import retry
from guavachute.decide.requests import silence
from guavachute import ids
from guavachute import outcome

NAMES = [ids.WorkspaceName(name) for name in ('large', 'small', 'third')]
LARGE = NAMES[0]


def decide(
    cause: retry.Cause,
    budgets: retry.Budgets | None = None,
    idempotent: bool = True,
    deadline_s: float | None = None,
    attempts: int = 1,
) -> float | outcome.Reason:
    result = retry.decide(
        cause,
        idempotent,
        attempts,
        LARGE,
        budgets or retry.Budgets(),
        deadline_s,
        100.0,
    )
    if isinstance(result, outcome.Failure):
        return result.reason
    return result


class RetryTest(unittest.TestCase):
    def test_what_may_have_run_is_repeated_only_if_idempotent(self) -> None:
        for cause in retry.Cause:
            result = decide(cause, idempotent=False)
            if cause is retry.Cause.REFUSED:
                self.assertIsInstance(result, float)
            else:
                self.assertIs(outcome.Reason.LOST_ANSWER, result)

    def test_deadline_and_attempts(self) -> None:
        self.assertIs(
            outcome.Reason.DEADLINE,
            decide(retry.Cause.FAILED, deadline_s=100.09),
        )
        self.assertIs(
            outcome.Reason.RETRIES_SPENT,
            decide(retry.Cause.FAILED, attempts=retry.MAXIMUM_ATTEMPTS),
        )
        self.assertEqual(100.0, decide(retry.Cause.ENDPOINT_LOST))

    def test_a_lost_endpoint_is_outside_the_budget(self) -> None:
        budgets = retry.Budgets()
        while budgets.consume(LARGE):
            pass
        self.assertIs(
            outcome.Reason.RETRIES_SPENT, decide(retry.Cause.FAILED, budgets)
        )
        self.assertEqual(
            100.0,
            decide(retry.Cause.ENDPOINT_LOST, budgets, attempts=50),
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(NAMES), strategies.booleans()
            ),
            max_size=300,
        )
    )
    def test_retries_are_a_fraction_of_first_attempts(
        self, steps: list[tuple[ids.WorkspaceName, bool]]
    ) -> None:
        budgets = retry.Budgets()
        firsts = dict.fromkeys(NAMES, 0)
        consumed = dict.fromkeys(NAMES, 0)
        for name, first in steps:
            if first:
                budgets.record_first_attempt(name)
                firsts[name] += 1
            else:
                consumed[name] += budgets.consume(name)
        for name in NAMES:
            most = retry.RESERVE + retry.RATIO * firsts[name]
            self.assertLessEqual(consumed[name], most + 1e-6)
        most = 1.5 * retry.RESERVE + retry.RATIO * sum(firsts.values())
        self.assertLessEqual(sum(consumed.values()), most + 1e-6)


class SilenceTest(unittest.TestCase):
    def watch(self, repeatable: bool = True) -> silence.Watch:
        watch = silence.Watch(repeatable, gap_s=0.05, progress_s=0.0)
        watch.record_progress(10.0)
        return watch

    def silent(self, repeatable: bool) -> silence.Watch:
        watch = self.watch(repeatable)
        self.assertIs(silence.Action.PROBE, watch.check(watch.due_s()))
        return watch

    def test_any_probe_result_but_busy_ends_the_connection(self) -> None:
        for found in (silence.Probe.ANSWERED, silence.Probe.NO_ANSWER):
            self.assertIs(
                silence.Action.RESUME,
                self.silent(True).handle_probe(found, 11.2),
            )
            self.assertIs(
                silence.Action.END_UNKNOWN,
                self.silent(False).handle_probe(found, 11.2),
            )

    def test_a_probe_is_requested_once_and_times_out(self) -> None:
        watch = self.silent(True)
        self.assertIs(silence.Action.WAIT, watch.check(11.5))
        self.assertIs(silence.Action.RESUME, watch.check(watch.due_s()))

    def test_progress_during_the_probe_wins(self) -> None:
        watch = self.silent(False)
        watch.record_progress(11.1)
        found = silence.Probe.ANSWERED
        self.assertIs(silence.Action.WAIT, watch.handle_probe(found, 11.2))

    def test_a_busy_endpoint_is_asked_again(self) -> None:
        watch = self.silent(True)
        watch.handle_probe(silence.Probe.BUSY, 11.2)
        self.assertIs(silence.Action.WAIT, watch.check(11.9))
        self.assertIs(silence.Action.PROBE, watch.check(12.3))

    def test_orders_go_only_on_proven_connections(self) -> None:
        acts = [
            [
                silence.choose_pooled_action(0, order, idle_s)
                for idle_s in (1, 10, 60)
            ]
            for order in (True, False)
        ]
        use, probe, replace = silence.PooledAction
        self.assertEqual(
            [[use, probe, replace], [use, replace, replace]], acts
        )
