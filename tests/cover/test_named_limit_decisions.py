"""Who may send to endpoints that name a limit, over many nodes, simulated.

Patterns: 7, 33 and 195 nodes under full load hear of a limit within a second;
nodes end and start; two views of which nodes live; a limit that falls, rises,
is zero, and ends; answers that were made before the limit.
"""

import itertools
import math
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.ingress import announcements
from guavachute.decide.ingress import named_limits
from guavachute import ids

ENDPOINT = announcements.Incarnation(ids.EndpointId('e'), 1)
DOMAINS = tuple(ids.FailureDomain(f'd{number}') for number in range(6))
REGION = ids.Region('r')

CONTACT_S = 4.0
"""The bound holds from this long after the limit was first named."""

WINDOW_S = 4.0
STEP_S = 0.05
UPDATE_S = 0.3
"""Interval at which a node tells the others what it knows."""


class Node:
    """One simulated node: its limits, and which nodes it believes to live."""

    def __init__(self, number: int, domains: int, started_s: float) -> None:
        self.name = ids.NodeId(f'n{number}')
        self.place = named_limits.Place(
            self.name, DOMAINS[number % domains], REGION
        )
        self.limits = named_limits.NamedLimits()
        self.started_s = started_s
        self.lives = True

    def update_share(
        self, places: typing.Sequence[named_limits.Place], now_s: float
    ) -> None:
        limit_per_s = self.limits.in_force().get(ENDPOINT)
        if limit_per_s is None:
            return
        is_settled = now_s - self.started_s >= CONTACT_S
        if not is_settled:
            places = [self.place]
        self.limits.set_share(
            ENDPOINT,
            named_limits.share_per_s(
                self.name,
                ENDPOINT,
                limit_per_s,
                places,
                DOMAINS[0],
                REGION,
                is_settled,
            ),
            now_s,
        )


class Fleet:
    """Nodes that all want to send to one endpoint all the time.

    :ivar limit_per_s: gives what the endpoint names at a time
    :ivar arrivals: when requests reached the endpoint, and from which node
    """

    def __init__(
        self,
        nodes: int,
        domains: int,
        limit_per_s: typing.Callable[[float], float | None],
        seed: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.domains = domains
        self.nodes = [Node(number, domains, -60.0) for number in range(nodes)]
        self.limit_per_s = limit_per_s
        self.arrivals: list[tuple[float, ids.NodeId]] = []
        self.notices: list[tuple[float, Node, named_limits.Notice]] = []
        self.believed: list[tuple[float, frozenset[ids.NodeId]]] = []
        self.now_s = 0.0

    def run(
        self,
        until_s: float,
        each_step: typing.Callable[[float], None] = lambda now_s: None,
    ) -> None:
        while self.now_s < until_s:
            self.now_s += STEP_S
            each_step(self.now_s)
            self._deliver()
            living = [node for node in self.nodes if node.lives]
            for node in living:
                node.update_share(self._places(), self.now_s)
                self._send(node)
            if round(self.now_s / STEP_S) % round(UPDATE_S / STEP_S) == 0:
                self._tell(living)
            self.believed.append(
                (self.now_s, frozenset(node.name for node in living))
            )

    def _places(self) -> list[named_limits.Place]:
        """The nodes of up to two seconds ago: each node's view is old."""
        age_s = self.rng.uniform(0.0, 2.0)
        seen: frozenset[ids.NodeId] = frozenset(
            node.name for node in self.nodes if node.started_s < 0
        )
        for at_s, names in reversed(self.believed[-60:]):
            if at_s <= self.now_s - age_s:
                seen = names
                break
        return [node.place for node in self.nodes if node.name in seen]

    def _send(self, node: Node) -> None:
        if node.limits.wait_s(ENDPOINT, self.now_s) > 0:
            return
        if self.rng.random() > 0.5:
            return
        sent_s = self.now_s
        node.limits.record_sent(ENDPOINT, sent_s)
        self.arrivals.append((sent_s, node.name))
        named = self.limit_per_s(sent_s)
        if named is None:
            node.limits.record_unnamed(ENDPOINT, sent_s, self.now_s)
        else:
            node.limits.record_named(ENDPOINT, named, self.now_s)
            node.update_share(self._places(), self.now_s)

    def _tell(self, living: typing.Sequence[Node]) -> None:
        for node in living:
            for notice in node.limits.notices(self.now_s):
                self.notices.extend(
                    (self.now_s + self.rng.uniform(0.0, 0.1), other, notice)
                    for other in living
                    if other is not node
                )

    def _deliver(self) -> None:
        due = [item for item in self.notices if item[0] <= self.now_s]
        self.notices = [item for item in self.notices if item[0] > self.now_s]
        for _, node, notice in due:
            if node.lives:
                node.limits.merge(notice, self.now_s)
            node.limits.expire(self.now_s)

    def most_in_window(self, from_s: float, until_s: float = math.inf) -> int:
        times = [at_s for at_s, _ in self.arrivals if from_s <= at_s < until_s]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
                for start_s in times
            ),
            default=0,
        )


def allowed(limit_per_s: float) -> float:
    return 1.5 * limit_per_s * WINDOW_S + 5


class SumOverNodesTest(unittest.TestCase):
    def test_all_nodes_together_keep_the_limit(self) -> None:
        for nodes, domains in ((1, 1), (7, 3), (195, 6)):
            for limit_per_s in (0.0, 1.0, 2.3, 60.0):
                with self.subTest(nodes=nodes, limit_per_s=limit_per_s):
                    named_per_s = limit_per_s
                    fleet = Fleet(nodes, domains, lambda now_s: named_per_s)
                    fleet.run(CONTACT_S + 5)
                    self.assertLessEqual(
                        fleet.most_in_window(CONTACT_S), allowed(limit_per_s)
                    )

    def test_the_limit_is_used(self) -> None:
        """Refusing all would keep the limit too."""
        for nodes, domains in ((1, 1), (7, 3), (33, 6)):
            for limit_per_s in (1.0, 2.3, 8.0):
                with self.subTest(nodes=nodes, limit_per_s=limit_per_s):
                    named_per_s = limit_per_s
                    fleet = Fleet(nodes, domains, lambda now_s: named_per_s)
                    fleet.run(CONTACT_S + 10)
                    sent = sum(at_s >= CONTACT_S for at_s, _ in fleet.arrivals)
                    self.assertGreaterEqual(sent, 0.5 * 10 * limit_per_s)

    def test_a_limit_that_falls_and_rises(self) -> None:
        fleet = Fleet(33, 6, lambda now_s: 6.0 if 10 < now_s < 20 else 1.5)
        fleet.run(30.0)
        self.assertLessEqual(fleet.most_in_window(4, 10), allowed(1.5))
        self.assertLessEqual(fleet.most_in_window(10, 20), allowed(6))
        self.assertLessEqual(fleet.most_in_window(22), allowed(1.5))

    def test_the_end_of_a_limit_reaches_all_nodes(self) -> None:
        for limit_per_s in (0.0, 1.0, 5.0):
            with self.subTest(limit_per_s=limit_per_s):
                named_per_s = limit_per_s
                fleet = Fleet(
                    33, 6, lambda now_s: named_per_s if now_s < 8 else None
                )
                fleet.run(26.0)
                senders = {name for at_s, name in fleet.arrivals if at_s > 24}
                self.assertEqual(33, len(senders))

    def test_a_limit_that_comes_and_goes_with_each_answer(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                answers = itertools.cycle([2.0, None])
                fleet = Fleet(33, 6, lambda now_s: next(answers), seed)
                fleet.run(24.0)
                self.assertLessEqual(
                    fleet.most_in_window(CONTACT_S), allowed(2)
                )

    @hypothesis.settings(max_examples=15, deadline=None)
    @hypothesis.given(
        seed=strategies.integers(0, 10_000),
        limit_per_s=strategies.sampled_from([0.7, 1.0, 3.0, 12.0]),
    )
    def test_nodes_end_and_start_meanwhile(
        self, seed: int, limit_per_s: float
    ) -> None:
        fleet = Fleet(24, 2, lambda now_s: limit_per_s, seed)
        rng = random.Random(seed)
        restarted: dict[ids.NodeId, float] = {}

        def disturb(now_s: float) -> None:
            if rng.random() > STEP_S:
                return
            number = rng.randrange(len(fleet.nodes))
            node = fleet.nodes[number]
            restarted[node.name] = now_s
            if node.lives and rng.random() < 0.5:
                node.lives = False
            else:
                fleet.nodes[number] = Node(number, 2, now_s)

        fleet.run(24.0, disturb)
        # The platform excuses a node that has restarted, for the contact
        # time.
        fleet.arrivals = [
            (at_s, name)
            for at_s, name in fleet.arrivals
            if not 0 <= at_s - restarted.get(name, -math.inf) < CONTACT_S
        ]
        self.assertLessEqual(
            fleet.most_in_window(CONTACT_S), allowed(limit_per_s)
        )


class OneNodeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = named_limits.NamedLimits()

    def test_an_answer_to_an_earlier_request_does_not_end_a_limit(
        self,
    ) -> None:
        self.limits.record_named(ENDPOINT, 1.0, 10.0)
        for _ in range(5):
            self.assertFalse(self.limits.record_unnamed(ENDPOINT, 9.9, 12.0))
        self.assertTrue(self.limits.holds(ENDPOINT))

    def test_two_answers_end_it(self) -> None:
        self.limits.record_named(ENDPOINT, 1.0, 10.0)
        self.assertFalse(self.limits.record_unnamed(ENDPOINT, 13.0, 13.1))
        self.assertTrue(self.limits.record_unnamed(ENDPOINT, 14.0, 14.1))
        self.assertEqual(0.0, self.limits.wait_s(ENDPOINT, 14.1))

    def test_an_older_notice_does_not_bring_an_ended_limit_back(self) -> None:
        self.limits.record_named(ENDPOINT, 1.0, 10.0)
        self.limits.record_unnamed(ENDPOINT, 13.0, 13.1)
        self.limits.record_unnamed(ENDPOINT, 14.0, 14.1)
        late = named_limits.Notice(ENDPOINT, 1.0, 10.0, None)
        self.assertFalse(self.limits.merge(late, 14.5))
        self.assertFalse(self.limits.holds(ENDPOINT))

    def test_an_end_does_not_outlive_a_later_name(self) -> None:
        self.limits.record_named(ENDPOINT, 1.0, 10.0)
        ended = named_limits.Notice(ENDPOINT, 1.0, 5.0, 9.0)
        self.assertFalse(self.limits.merge(ended, 10.1))
        self.assertTrue(self.limits.holds(ENDPOINT))

    def test_the_next_start_has_named_nothing(self) -> None:
        self.limits.record_named(ENDPOINT, 0.0, 10.0)
        again = announcements.Incarnation(ENDPOINT.endpoint, 2)
        self.assertEqual(0.0, self.limits.wait_s(again, 10.0))

    def test_a_new_sender_starts_without_tokens(self) -> None:
        self.limits.record_named(ENDPOINT, 1.0, 10.0)
        self.assertTrue(math.isinf(self.limits.wait_s(ENDPOINT, 30.0)))
        self.limits.set_share(ENDPOINT, 0.5, 30.0)
        self.assertAlmostEqual(2.0, self.limits.wait_s(ENDPOINT, 30.0))

    def test_a_freeze_does_not_save_up_requests(self) -> None:
        self.limits.record_named(ENDPOINT, 5.0, 10.0)
        self.limits.set_share(ENDPOINT, 2.0, 10.0)
        self.assertEqual(0.0, self.limits.wait_s(ENDPOINT, 500.0))
        self.limits.record_sent(ENDPOINT, 500.0)
        self.assertGreater(self.limits.wait_s(ENDPOINT, 500.0), 0.0)

    def test_a_limit_that_nobody_repeats_is_forgotten(self) -> None:
        self.limits.merge(named_limits.Notice(ENDPOINT, 1.0, 10.0, None), 10.0)
        self.limits.expire(10.1 + named_limits.FORGOTTEN_AFTER_S)
        self.assertFalse(self.limits.holds(ENDPOINT))

    def test_memory_is_bounded(self) -> None:
        for number in range(named_limits.KEPT + 5):
            self.limits.record_named(
                announcements.Incarnation(ids.EndpointId('e'), number),
                1.0,
                1.0,
            )
        self.assertEqual(named_limits.KEPT, len(self.limits.in_force()))

    @hypothesis.given(named_per_s=strategies.floats())
    def test_any_number_is_bounded(self, named_per_s: float) -> None:
        limit_per_s = named_limits.bounded_limit_per_s(named_per_s)
        if limit_per_s is not None:
            self.assertTrue(0 <= limit_per_s <= named_limits.MAX_LIMIT_PER_S)
