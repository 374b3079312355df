"""What happens where callers hold more than the process has room for.

The load is of many clients at once, far beyond the memory of one small VM.
"""

import random
import unittest

from guavachute.decide.ingress.intake import budget
from guavachute.decide.ingress.intake import process_limits

MEGABYTE = process_limits.MEGABYTE
LIMIT_BYTES = 40 * MEGABYTE
BODY_BYTES = 4 * MEGABYTE


def reading(
    held_bytes: int, remaining_bytes: int = 0, moved_bytes: int | None = None
) -> budget.Usage:
    return budget.Usage(
        budget.Phase.READING,
        held_bytes,
        remaining_bytes,
        held_bytes if moved_bytes is None else moved_bytes,
    )


class BudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget: budget.Budget[str] = budget.Budget(
            process_limits.Limits(LIMIT_BYTES, 1_000)
        )

    def stall(self, count: int, short_by: int = 10) -> None:
        """Add bodies that arrived at once and then stopped."""
        for number in range(count):
            self.budget.record(
                f'stalled-{number}',
                reading(BODY_BYTES - short_by, short_by),
                0.0,
            )

    def test_nothing_is_restricted_while_half_is_free(self) -> None:
        """Guards against refusals on a machine with room."""
        self.stall(4)
        self.assertFalse(self.budget.is_over())
        self.assertEqual(budget.Actions([], [], []), self.budget.decide(100.0))

    def test_stalled_bodies_give_way_to_one_that_arrives(self) -> None:
        """Guards against bodies just short of their end that stay."""
        self.stall(9)
        self.budget.record('new', reading(60_000, BODY_BYTES), 0.9)
        self.budget.decide(0.9)
        refused = self.budget.decide(1.0).refuse
        for each in refused:
            self.assertIn('stalled', each)
            self.budget.remove(each)
        self.assertTrue(refused)
        self.assertEqual(['new'], self.budget.decide(1.05).read)

    def test_no_more_is_refused_than_the_next_body_needs(self) -> None:
        self.stall(8)
        self.budget.record('new', reading(60_000, 100_000), 1.0)
        self.assertEqual(1, len(self.budget.decide(1.0).refuse))

    def test_the_body_nearest_to_its_end_is_read_first(self) -> None:
        """Guards against bodies that all wait for each other."""
        done = {'served': 22 * MEGABYTE}
        self.budget.record(
            'served', budget.Usage(budget.Phase.SERVING, done['served']), 0.0
        )
        for name, remaining in (('far', 4), ('near', 1), ('middle', 3)):
            self.budget.record(
                name, reading(MEGABYTE, remaining * MEGABYTE), 0.1
            )
        actions = self.budget.decide(0.1)
        self.assertEqual(['middle', 'far'], actions.wait)
        self.assertEqual([], actions.refuse)

    def test_where_none_has_room_the_farthest_gives_way(self) -> None:
        """Guards against all bodies waiting for ever."""
        for number in range(38):
            self.budget.record(
                f'{number}', reading(MEGABYTE, (1 + number) * 100_000), 0.0
            )
        actions = self.budget.decide(0.1)
        self.assertEqual('37', actions.refuse[0])
        self.assertNotIn('0', actions.refuse)

    def test_bodies_wait_for_requests_that_will_end(self) -> None:
        """Guards against refusals where waiting is enough."""
        self.budget.record(
            'served', budget.Usage(budget.Phase.SERVING, 30 * MEGABYTE), 0.0
        )
        for number in range(20):
            self.budget.record(f'{number}', reading(60_000, 2 * MEGABYTE), 0.1)
        actions = self.budget.decide(0.1)
        self.assertEqual([], actions.refuse)
        self.assertEqual(20, len(actions.wait))
        self.budget.remove('served')
        self.assertEqual(20, len(self.budget.decide(0.2).read))

    def test_large_requests_leave_room_for_small_ones_to_begin(self) -> None:
        """Guards against large requests that keep all others out."""
        self.budget.record(
            'served', budget.Usage(budget.Phase.SERVING, 36 * MEGABYTE), 0.0
        )
        self.budget.record('large', reading(MEGABYTE), 0.0)
        self.budget.record('small', reading(2_000), 0.0)
        self.assertFalse(self.budget.may_begin('large', MEGABYTE))
        self.assertTrue(self.budget.may_begin('small', 1_000))

    def test_small_requests_never_wait(self) -> None:
        self.stall(9)
        self.budget.decide(0.1)
        self.assertFalse(
            self.budget.record('small', reading(2_000, 30_000), 0.1)
        )
        self.assertTrue(
            self.budget.record('large', reading(2_000, BODY_BYTES), 0.1)
        )

    def test_a_request_that_has_begun_is_never_given_up(self) -> None:
        for number in range(30):
            self.budget.record(
                f'{number}',
                budget.Usage(budget.Phase.SERVING, 2 * MEGABYTE),
                0.0,
            )
        self.budget.record('new', reading(60_000, BODY_BYTES), 0.0)
        for now_s in (0.1, 10.0, 100.0):
            self.assertEqual(
                [], [key for key in self.budget.decide(now_s).refuse
                     if key != 'new'],
            )  # fmt: skip
        self.assertFalse(self.budget.may_begin('new', 10_000))

    def test_a_request_that_is_alone_may_begin(self) -> None:
        """Guards against a limit that no request could pass."""
        self.budget.record('alone', reading(30 * MEGABYTE), 0.0)
        self.assertTrue(self.budget.may_begin('alone', 30 * MEGABYTE))

    def test_a_body_that_is_alone_is_read(self) -> None:
        self.budget.record('alone', reading(25 * MEGABYTE, 50 * MEGABYTE), 0.0)
        actions = self.budget.decide(0.0)
        self.assertEqual(([], []), (actions.refuse, actions.wait))

    def test_heads_count_what_their_lines_cost(self) -> None:
        """Guards against heads whose objects cost many times their bytes."""
        for number in range(100):
            self.budget.record(f'{number}', reading(MEGABYTE), 0.0)
        self.assertTrue(self.budget.is_over())
        self.budget.decide(0.1)
        refused = self.budget.decide(1.0).refuse
        self.assertGreater(len(refused), 60)

    def test_an_answer_that_nobody_reads_gives_way_after_some_time(
        self,
    ) -> None:
        for number in range(45):
            self.budget.record(
                f'{number}', budget.Usage(budget.Phase.SENDING, MEGABYTE), 0.0
            )
        self.budget.decide(0.1)
        self.assertEqual([], self.budget.decide(4.0).refuse)
        self.assertTrue(self.budget.decide(6.0).refuse)

    def test_a_process_that_stood_still_calls_nobody_slow(self) -> None:
        self.stall(9)
        self.budget.record('new', reading(60_000, BODY_BYTES), 0.0)
        actions = self.budget.decide(10.0, may_rate=False)
        self.assertNotIn('stalled-0', actions.refuse)

    def test_the_sum_is_that_of_all_connections(self) -> None:
        """Guards against a sum that drifts and restricts an idle process."""
        rng = random.Random(7)
        for step in range(2_000):
            key = str(rng.randrange(50))
            if rng.random() < 0.3:
                self.budget.remove(key)
            else:
                phase = rng.choice(list(budget.Phase))
                size = rng.randrange(2 * MEGABYTE)
                self.budget.record(
                    key, budget.Usage(phase, size, size, size), step / 10
                )
            self.budget.decide(step / 10)
        for number in range(50):
            self.budget.remove(str(number))
        self.assertEqual(0, self.budget.total_bytes)
        self.assertEqual(0, self.budget.connections)


class ConnectionsTest(unittest.TestCase):
    def test_idle_and_unfinished_connections_are_closed_first(self) -> None:
        """Guards against connections that take all descriptors."""
        counted: budget.Budget[str] = budget.Budget(
            process_limits.Limits(LIMIT_BYTES, 3)
        )
        phases = budget.Phase
        for now_s, (name, phase) in enumerate(
            (
                ('serving', phases.SERVING),
                ('reading', phases.READING),
                ('idle', phases.IDLE),
                ('lingering', phases.LINGERING),
                ('new', phases.IDLE),
            )
        ):
            counted.record(name, budget.Usage(phase, 0), now_s)
        self.assertEqual(2, counted.excess_connections)
        self.assertEqual(
            ['lingering', 'reading', 'idle'], counted.to_close(10, 'new')
        )

    def test_limits_follow_the_vm(self) -> None:
        small = process_limits.for_callers(160 * MEGABYTE, 1_638)
        large = process_limits.for_callers(552 * MEGABYTE, 10_250)
        self.assertEqual(48 * MEGABYTE, small.held_bytes)
        self.assertEqual(244 * MEGABYTE, large.held_bytes)
        self.assertEqual(
            (1_228, 7_688), (small.connections, large.connections)
        )
        # The default limits of a request fit in on every VM.
        tiny = process_limits.for_callers(32 * MEGABYTE, 64)
        self.assertGreaterEqual(tiny.held_bytes, 3 * BODY_BYTES)
        self.assertEqual(32, tiny.connections)
