"""Tests of admission control and of the limits of workspaces."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.requests import admission
from guavachute.decide.requests import limits
from guavachute.document import schema
from guavachute import outcome

TARGET_S = 0.41
LEVELS = admission.BrownOut


def arrival(
    priority: int = 1,
    over_share: bool = False,
    ahead: float = 0.0,
    own_ahead: float = 0.0,
    deadline_s: float | None = None,
) -> admission.Arrival:
    return admission.Arrival(
        priority, 0.1, over_share, ahead, own_ahead, 0.5, deadline_s
    )


def decide(
    what: admission.Arrival, level: LEVELS = LEVELS.NONE
) -> admission.Admit | outcome.Failure:
    drain = admission.DrainRate(1000.0, 0)
    return admission.decide(what, level, drain, TARGET_S, 100.0)


class AdmissionTest(unittest.TestCase):
    def refused(
        self, result: admission.Admit | outcome.Failure
    ) -> outcome.Failure:
        assert isinstance(result, outcome.Failure), result
        return result

    def test_the_wait_of_a_small_workspace_is_its_own(self) -> None:
        small = decide(arrival(ahead=5000, own_ahead=0))
        self.assertIsInstance(small, admission.Admit)
        large = self.refused(decide(arrival(ahead=5000, own_ahead=5000)))
        self.assertIs(outcome.Reason.OVERLOADED, large.reason)
        self.assertEqual(5.0, large.retry_after_s)

    def test_a_deadline_that_can_not_be_met_is_refused(self) -> None:
        late = self.refused(decide(arrival(deadline_s=100.05)))
        self.assertIs(outcome.Reason.DEADLINE, late.reason)
        tight = decide(arrival(ahead=100, own_ahead=100, deadline_s=100.25))
        assert isinstance(tight, admission.Admit)
        self.assertAlmostEqual(100.15, tight.start_by_s)

    def test_each_level_rejects_more_requests(self) -> None:
        arrivals = [
            arrival(0),
            arrival(1),
            arrival(2),
            arrival(0, over_share=True),
        ]
        admitted = [
            sum(
                isinstance(decide(what, level), admission.Admit)
                for what in arrivals
            )
            for level in LEVELS
        ]
        self.assertEqual([4, 3, 2, 1, 0], admitted)
        closed = self.refused(decide(arrival(), LEVELS.CLOSED))
        self.assertIs(outcome.Reason.NO_CAPACITY, closed.reason)

    def test_a_level_is_left_only_well_below_its_threshold(self) -> None:
        drain = admission.DrainRate(1000.0, 0)
        state = admission.BrownOutState(0)

        def update(pressure: float, now_s: float) -> LEVELS:
            state.update(pressure * 410, drain, TARGET_S, 5, now_s)
            return state.level

        self.assertIs(LEVELS.LOW_PRIORITY, update(2.1, 1))
        self.assertIs(LEVELS.LOW_PRIORITY, update(1.5, 9))
        self.assertIs(LEVELS.OVER_SHARE, update(0.9, 10))
        self.assertIs(LEVELS.NONE, update(0.4, 20))
        state.update(0, drain, TARGET_S, 0, 21)
        self.assertIs(LEVELS.CLOSED, state.level)

    def test_the_drain_rate_falls_only_while_busy(self) -> None:
        drain = admission.DrainRate(1000.0, 0)
        drain.record_start(100)
        drain.update(False, 1)
        self.assertEqual(1000.0, drain.tokens_per_s)
        drain.record_start(100)
        drain.update(True, 2)
        self.assertAlmostEqual(820.0, drain.tokens_per_s)


class LimitsTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 0.5), max_size=80),
        strategies.floats(0.1, 1.0),
    )
    def test_no_more_than_rate_and_burst(
        self, pauses_s: list[float], part: float
    ) -> None:
        limit = schema.Limits(requests_per_s=10.0)
        state = limits.WorkspaceLimits(limit, part, 0)
        now_s = 0.0
        admitted = 0
        for pause_s in pauses_s:
            now_s += pause_s
            admitted += state.admit(now_s) is None
        most = 10.0 * part * (now_s + limits.BURST_S) + 1
        self.assertLessEqual(admitted, most)

    def test_retry_after_is_when_it_will_be_admitted(self) -> None:
        limit = schema.Limits(requests_per_s=2.0)
        state = limits.WorkspaceLimits(limit, 1.0, 0)
        now_s = 0.0
        for _ in range(4):
            self.assertIsNone(state.admit(now_s))
        failure = state.admit(now_s)
        assert failure is not None and failure.retry_after_s is not None
        self.assertIs(outcome.Reason.LIMIT, failure.reason)
        self.assertIsNone(state.admit(now_s + failure.retry_after_s))

    def test_concurrency_is_given_back(self) -> None:
        limit = schema.Limits(concurrent_requests=4)
        state = limits.WorkspaceLimits(limit, 0.5, 0)
        self.assertIsNone(state.admit(0))
        self.assertIsNone(state.admit(0))
        self.assertIsNotNone(state.admit(0))
        state.release()
        self.assertIsNone(state.admit(0))

    def test_tokens_are_paid_afterwards(self) -> None:
        limit = schema.Limits(tokens_per_s=100.0)
        state = limits.WorkspaceLimits(limit, 1.0, 0)
        self.assertIsNone(state.admit(0))
        state.charge(500, 0)
        failure = state.admit(0)
        assert failure is not None
        self.assertAlmostEqual(3.0, failure.retry_after_s or 0)
        self.assertIsNone(state.admit(3.01))
