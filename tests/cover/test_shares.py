"""Tests of fair queueing by share and of the token charge of a request."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.requests import account
from guavachute.decide.requests import shares
from guavachute import ids
from guavachute import outcome

LARGE = ids.WorkspaceName('large')
SMALL = ids.WorkspaceName('small')
THIRD = ids.WorkspaceName('third')
NAMES = [LARGE, SMALL, THIRD]


def request(
    number: int,
    workspace: ids.WorkspaceName = LARGE,
    priority: int = 1,
    tokens: float = 100.0,
    start_by_s: float = 1e9,
) -> shares.Request:
    return shares.Request(
        ids.RequestId(f'r-{number}'), workspace, tokens, start_by_s, priority
    )


def served(
    queue: shares.FairQueue, starts: int
) -> dict[ids.WorkspaceName, float]:
    tokens: dict[ids.WorkspaceName, float] = {}
    for _ in range(starts):
        for started in queue.start_next(1):
            name = started.workspace
            tokens[name] = tokens.get(name, 0) + started.expected_tokens
            queue.finish(name)
    return tokens


class FairQueueTest(unittest.TestCase):
    def test_tokens_follow_the_shares_whatever_the_sizes(self) -> None:
        queue = shares.FairQueue({LARGE: 3.0, SMALL: 1.0}, 1000)
        for number in range(900):
            queue.offer(request(number, LARGE, tokens=50), 0)
            queue.offer(request(1000 + number, SMALL, tokens=200), 0)
        tokens = served(queue, 500)
        self.assertAlmostEqual(3.0, tokens[LARGE] / tokens[SMALL], delta=0.1)

    def test_idleness_saves_up_no_credit(self) -> None:
        queue = shares.FairQueue({LARGE: 1.0, SMALL: 1.0}, 1000)
        for number in range(500):
            queue.offer(request(number, LARGE), 0)
        served(queue, 200)
        for number in range(200):
            queue.offer(request(1000 + number, SMALL), 0)
        tokens = served(queue, 100)
        self.assertAlmostEqual(tokens[LARGE], tokens[SMALL], delta=200)

    def test_debt_from_other_routers_is_bounded(self) -> None:
        queue = shares.FairQueue({LARGE: 1.0, SMALL: 1.0}, 1000)
        for number in range(500):
            queue.offer(request(number, LARGE), 0)
            queue.offer(request(1000 + number, SMALL), 0)
        queue.charge_elsewhere(LARGE, 1e9)
        held_back = int(shares.DEBT_LIMIT_TOKENS / 100)
        self.assertEqual({SMALL}, set(served(queue, held_back)))
        self.assertIn(LARGE, served(queue, 10))

    def test_corrections_change_the_counter(self) -> None:
        queue = shares.FairQueue({LARGE: 1.0, SMALL: 1.0}, 1000)
        for number in range(20):
            queue.offer(request(number, LARGE), 0)
            queue.offer(request(100 + number, SMALL), 0)
        queue.charge(LARGE, 1050)
        self.assertEqual({SMALL: 1000}, served(queue, 10))

    def test_a_higher_priority_goes_first_and_displaces_when_full(
        self,
    ) -> None:
        queue = shares.FairQueue({LARGE: 1.0}, 2)
        queue.offer(request(1, priority=2), 0)
        youngest = request(2, priority=2)
        queue.offer(youngest, 0)
        refused = queue.offer(request(3, priority=2), 0)
        assert isinstance(refused, outcome.Failure)
        self.assertIs(outcome.Reason.OVERLOADED, refused.reason)
        urgent = request(4, priority=0)
        self.assertEqual(shares.Queued(youngest), queue.offer(urgent, 0))
        self.assertEqual(urgent, queue.start_next(1)[0])

    def test_what_is_late_or_cancelled_never_starts(self) -> None:
        queue = shares.FairQueue({LARGE: 1.0}, 10)
        late = request(1, start_by_s=5)
        queue.offer(late, 0)
        queue.offer(request(2), 0)
        self.assertTrue(queue.cancel(ids.RequestId('r-2')))
        self.assertEqual([], queue.expire(4.9))
        self.assertEqual([late], queue.expire(5))
        self.assertEqual([], queue.start_next(5))
        self.assertEqual(0, queue.queued_tokens())

    def test_over_share_needs_others_that_wait(self) -> None:
        queue = shares.FairQueue({LARGE: 1.0, SMALL: 1.0}, 10)
        for number in range(4):
            queue.offer(request(number, LARGE), 0)
        queue.start_next(4)
        self.assertFalse(queue.over_share(LARGE))
        queue.offer(request(9, SMALL), 0)
        self.assertTrue(queue.over_share(LARGE))
        self.assertFalse(queue.over_share(SMALL))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(NAMES),
                strategies.integers(0, 2),
                strategies.floats(1, 1000),
            ),
            max_size=60,
        ),
        strategies.integers(0, 60),
    )
    def test_no_slot_stays_free_while_anyone_waits(
        self,
        offers: list[tuple[ids.WorkspaceName, int, float]],
        slots: int,
    ) -> None:
        queue = shares.FairQueue({name: 1.0 for name in NAMES}, 60)
        for number, (name, priority, tokens) in enumerate(offers):
            queue.offer(request(number, name, priority, tokens), 0)
        started = queue.start_next(slots)
        self.assertEqual(min(slots, len(offers)), len(started))
        self.assertEqual(len(offers) - len(started), queue.waiting())


class AccountTest(unittest.TestCase):
    @hypothesis.given(
        strategies.floats(0, 500), strategies.lists(strategies.integers(1, 9))
    )
    def test_the_sum_is_what_was_generated(
        self, expected: float, steps: list[int]
    ) -> None:
        state = account.Account(expected)
        charged = expected + sum(map(state.charge_generated, steps))
        charged += state.settle(7)
        self.assertAlmostEqual(sum(steps) + 7, charged)
