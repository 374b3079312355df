"""Timers that were cancelled don't stay until they would be due."""

import unittest

from guavachute.entry import loop as entry_loop
from tests.support import looping

REQUESTS = 100_000


class CancelledTimersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = entry_loop.Loop()
        self.called: list[int] = []

    def test_many_requests_leave_no_timers(self) -> None:
        """Guards against requests whose timers fill the memory."""
        kept = [
            self.loop.call_after(600.0, lambda: None) for _ in range(1_000)
        ]
        for _ in range(REQUESTS):
            self.loop.call_after(15.0, lambda: None).cancel()
        self.assertLess(
            self.loop.timers, len(kept) + 2 * entry_loop.MIN_CANCELLED
        )

    def test_those_that_remain_are_called_in_order(self) -> None:
        timers = [
            self.loop.call_after(
                0.001 * (number % 20),
                lambda number=number: self.called.append(number % 20),
            )
            for number in range(10_000)
        ]
        for number, timer in enumerate(timers):
            if number % 7:
                timer.cancel()
                timer.cancel()
        expected = len(timers[::7])
        looping.run_until(self.loop, lambda: len(self.called) == expected)
        self.assertEqual(sorted(self.called), self.called)
