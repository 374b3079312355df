"""Tests of the verdict for a caller when attempts fail."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.requests import attempts
from guavachute import outcome

HARMLESS = {attempts.Ending.UNREACHED, attempts.Ending.REFUSED}


class AttemptsTest(unittest.TestCase):
    @hypothesis.given(
        endings=strategies.lists(
            strategies.sampled_from(attempts.Ending), min_size=1, max_size=9
        )
    )
    def test_not_run_is_only_said_when_nothing_can_have_run(
        self, endings: list[attempts.Ending]
    ) -> None:
        history = attempts.History()
        for ending in endings:
            history.begin('e1')
            history.end(ending)
        harmless = all(ending in HARMLESS for ending in endings)
        says_not_run = history.verdict() is outcome.Verdict.NOT_RUN
        self.assertEqual(harmless, says_not_run)

    def test_attempts_are_bounded(self) -> None:
        history = attempts.History()
        steps = []
        for _ in range(attempts.MAX_ATTEMPTS):
            history.begin('e1')
            history.end(attempts.Ending.LOST)
            steps.append(
                attempts.next_step(history, attempts.Ending.LOST, 10.0, 0.0)
            )
        last = steps.pop()
        self.assertTrue(all(isinstance(s, attempts.Retry) for s in steps))
        assert isinstance(last, attempts.GiveUp)
        self.assertIs(outcome.Verdict.UNKNOWN, last.verdict)

    def test_a_passed_deadline_ends_it(self) -> None:
        history = attempts.History()
        history.begin('e1')
        history.end(attempts.Ending.UNREACHED)
        step = attempts.next_step(
            history, attempts.Ending.UNREACHED, 10.0, 10.0
        )
        assert isinstance(step, attempts.GiveUp)
        self.assertIs(outcome.Verdict.NOT_RUN, step.verdict)
        self.assertIs(outcome.Reason.DEADLINE, step.failure.reason)
