"""How long an idle connection is kept while its limit changes."""

import unittest

from guavachute.decide.ingress.closing import idle_limits

KNOWN_FOR_S = 3.0


class IdleLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = idle_limits.IdleLimits(15.0, KNOWN_FOR_S)

    def test_the_default_holds_only_until_a_limit_is_known(self) -> None:
        self.assertEqual(15.0, self.limits.longest_s(0.0))
        self.limits.record(2.0, 0.0)
        self.assertEqual(2.0, self.limits.longest_s(0.0))

    # Guards against LOST: the newest limit closed connections whose callers
    # went by the one before.
    def test_a_replaced_limit_holds_while_callers_may_know_it(self) -> None:
        self.limits.record(5.0, 0.0)
        self.limits.record(1.0, 10.0)
        self.assertEqual(5.0, self.limits.longest_s(9.0))
        self.assertEqual(5.0, self.limits.longest_s(12.9))
        self.assertEqual(1.0, self.limits.longest_s(13.0))

    def test_a_higher_limit_holds_at_once(self) -> None:
        self.limits.record(1.0, 0.0)
        self.limits.record(5.0, 10.0)
        self.assertEqual(5.0, self.limits.longest_s(9.0))

    def test_the_longest_of_several_holds(self) -> None:
        for time_s, limit_s in enumerate([2.0, 6.0, 1.0, 3.0]):
            self.limits.record(limit_s, float(time_s))
        self.assertEqual(6.0, self.limits.longest_s(3.0))
        self.assertEqual(3.0, self.limits.longest_s(7.0))

    def test_limits_that_change_all_the_time_are_discarded(self) -> None:
        for number in range(1_000):
            self.limits.record(1.0 + number % 2, float(number))
        self.assertLess(len(self.limits), 10)

    # Guards against connections that are closed while a request is on its way,
    # as a share of a short limit leaves it no time.
    def test_a_short_limit_leaves_requests_time_to_arrive(self) -> None:
        for limit_s in (0.2, 1.0, 4.0):
            used_s = idle_limits.USED_FRACTION * limit_s
            self.assertGreaterEqual(
                idle_limits.kept_s(limit_s), used_s + idle_limits.MIN_WAY_S
            )
        self.assertEqual(20.0, idle_limits.kept_s(20.0))

    def test_what_is_told_leaves_requests_time_to_arrive(self) -> None:
        self.assertEqual(12, idle_limits.keep_alive_s(15.0))
        self.assertEqual(1, idle_limits.keep_alive_s(2.4))
        self.assertEqual(0, idle_limits.keep_alive_s(1.0))
