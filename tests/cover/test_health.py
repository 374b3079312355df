"""Tests that failing and slow endpoints are ejected, probed and bounded."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.requests import health
from guavachute import ids

NAMES = [ids.EndpointId(f'vm-{number}') for number in range(6)]
BAD = NAMES[0]


def pool() -> health.Health:
    watched = health.Health()
    for name in NAMES:
        watched.add(name, 0)
    return watched


class HealthTest(unittest.TestCase):
    def test_failures_in_a_row_eject_and_a_probe_brings_back(self) -> None:
        watched = pool()
        watched.record_failure(BAD, 1)
        watched.record_failure(BAD, 1)
        self.assertEqual(frozenset(), watched.excluded(1))
        change = watched.record_failure(BAD, 1)
        self.assertEqual(
            health.Change(BAD, health.State.EJECTED, health.Cause.FAILURES),
            change,
        )
        self.assertEqual({BAD}, watched.excluded(1))
        back_s = 1 + health.FIRST_EJECTION_S
        self.assertEqual(frozenset(), watched.excluded(back_s))
        watched.record_sent(BAD, back_s)
        self.assertEqual({BAD}, watched.excluded(back_s))
        watched.record_success(BAD, 0.1, back_s)
        self.assertIs(health.State.LIVE, watched.state(BAD))

    def test_a_failed_probe_doubles_the_time(self) -> None:
        watched = pool()
        for _ in range(health.FAILURES_IN_A_ROW):
            watched.record_failure(BAD, 0)
        watched.record_sent(BAD, 10)
        change = watched.record_failure(BAD, 10)
        assert change is not None
        self.assertIs(health.Cause.PROBE_FAILED, change.cause)
        just_before_s = 10 + 2 * health.FIRST_EJECTION_S - 0.01
        self.assertEqual({BAD}, watched.excluded(just_before_s))

    def test_slowness_is_measured_against_the_others(self) -> None:
        watched = pool()
        for _ in range(health.SLOW_OBSERVATIONS):
            for name in NAMES:
                watched.record_success(name, 1.0, 0)
        self.assertEqual(frozenset(), watched.excluded(0))
        for _ in range(2 * health.SLOW_OBSERVATIONS):
            for name in NAMES:
                watched.record_success(name, 9.0 if name == BAD else 1.0, 0)
        self.assertEqual({BAD}, watched.excluded(0))

    def test_unreachable_endpoints_are_ejected_without_a_bound(self) -> None:
        watched = pool()
        for name in NAMES[:5]:
            watched.record_unreachable(name, 1)
        self.assertEqual(set(NAMES[:5]), watched.excluded(1))
        back_s = 1 + health.FIRST_EJECTION_S
        self.assertEqual(frozenset(), watched.excluded(back_s))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(NAMES),
                strategies.sampled_from(['fail', 'slow', 'fast', 'sent']),
            ),
            max_size=200,
        )
    )
    def test_half_of_the_pool_stays(
        self, steps: list[tuple[ids.EndpointId, str]]
    ) -> None:
        watched = pool()
        for name, what in steps:
            if what == 'fail':
                watched.record_failure(name, 1)
            elif what == 'sent':
                watched.record_sent(name, 1)
            else:
                watched.record_success(name, 9.0 if what == 'slow' else 0.1, 1)
            self.assertLessEqual(len(watched.excluded(1)), len(NAMES) / 2)
