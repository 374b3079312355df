"""Requests that come to a node which has been told to stop.

Patterns: the last callers that have not heard of the stop; a kind of request
that takes longer than what is left of the grace period.
"""

import unittest

from guavachute.decide.ingress import stop_admission

GRACE_S = 8.0


class StopAdmissionTest(unittest.TestCase):
    def test_late_callers_are_served_for_a_while(self) -> None:
        self.assertTrue(stop_admission.may_begin(0.1, GRACE_S, None))
        self.assertTrue(stop_admission.may_begin(2.7, GRACE_S, 0.2))
        self.assertFalse(stop_admission.may_begin(2.9, GRACE_S, 0.2))

    # Guards against LOST: requests that can't end within the grace period.
    def test_what_usually_takes_longer_than_is_left_is_refused(self) -> None:
        self.assertTrue(stop_admission.may_begin(1.0, GRACE_S, 6.0))
        self.assertFalse(stop_admission.may_begin(1.0, GRACE_S, 7.0))
        self.assertFalse(stop_admission.may_begin(0.0, GRACE_S, 9.0))

    def test_the_usual_time_is_that_of_the_latest_requests(self) -> None:
        durations = stop_admission.Durations()
        self.assertIsNone(durations.usual_s('a'))
        for _ in range(100):
            durations.record('a', 9.0)
        for number in range(stop_admission.SAMPLES):
            durations.record('a', 10.0 if number == 5 else 0.5)
        durations.record('b', 3.0)
        self.assertEqual(0.5, durations.usual_s('a'))
        self.assertEqual(3.0, durations.usual_s('b'))
