"""Tests the decisions about one request under different loads."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.ingress import choice
from guavachute.decide.ingress import endpoint_health
from guavachute.decide.ingress import event_stream
from guavachute.decide.ingress import quota
from guavachute.decide.ingress import retry_budget
from guavachute.domain import call
from guavachute.domain import configuration
from guavachute import ids

RATE_PER_S = 1_000.0
ALLOWANCE = 4_000.0
OVERSHOOT = 0.1
WINDOW_S = 8.0


def workspace(
    rate_per_s: float = RATE_PER_S, burst: float = RATE_PER_S
) -> configuration.Workspace:
    return configuration.Workspace(
        name=ids.WorkspaceName('botany'),
        priority=None,
        rate_per_s=rate_per_s,
        burst=burst,
        counts_tokens=True,
        default_cost=100.0,
    )


def own_source(run: str) -> quota.Source:
    """The source of a node that reports its own admissions."""
    return quota.Source(run, run)


class Cluster:
    """Nodes that share the quota of one workspace.

    Every *exchange_every_s*, each node reports to each other node.
    """

    def __init__(
        self,
        nodes: int,
        exchange_every_s: float,
        allowance: float = ALLOWANCE,
    ) -> None:
        self.exchange_every_s = exchange_every_s
        self.allowance = allowance
        self.start_all(nodes, 0.0)
        self.workspace = workspace()
        self.admitted: list[tuple[float, float]] = []
        self.retry_after_s: list[float] = []

    def start_all(self, nodes: int, now_s: float) -> None:
        """Start all nodes at *now_s*, without any state."""
        self.started_s = now_s
        self.quotas = [
            quota.Quotas(self.allowance, now_s) for _ in range(nodes)
        ]

    def isolate_all(self, now_s: float) -> None:
        """Let no node receive the reports of another from now on."""
        self.exchange_every_s = float('inf')
        names = {
            f'n{place}/{self.started_s}' for place in range(len(self.quotas))
        }
        for place, node in enumerate(self.quotas):
            others = names - {f'n{place}/{self.started_s}'}
            node.set_peers(
                quota.PeerRuns(dict.fromkeys(others, 1), others), now_s
            )

    def run(
        self,
        duration_s: float,
        demand_per_s: float,
        cost: float,
        start_s: float = 0.0,
    ) -> None:
        """Send requests evenly to all nodes for *duration_s*."""
        step_s = cost / demand_per_s
        next_exchange_s = start_s
        requested = 0
        while requested * step_s < duration_s:
            now_s = start_s + requested * step_s
            if now_s >= next_exchange_s:
                next_exchange_s += self.exchange_every_s
                self._exchange(now_s)
            node = self.quotas[requested % len(self.quotas)]
            wait_s = node.consume(self.workspace, cost, now_s)
            if wait_s:
                self.retry_after_s.append(wait_s)
            else:
                self.admitted.append((now_s, cost))
            requested += 1

    def most_in_window(self) -> float:
        """The largest amount that was admitted in any window."""
        return max(
            sum(
                cost
                for at_s, cost in self.admitted
                if start_s <= at_s < start_s + WINDOW_S
            )
            for start_s, _ in self.admitted
        )

    def _exchange(self, now_s: float) -> None:
        consumption = [
            node.consumption(now_s).get(self.workspace.name)
            for node in self.quotas
        ]
        for receiver, node in enumerate(self.quotas):
            for sender, spent in enumerate(consumption):
                if receiver != sender and spent is not None:
                    node.merge(
                        own_source(f'n{sender}/{self.started_s}'),
                        self.workspace,
                        spent,
                        now_s - self.started_s,
                        now_s,
                    )


BOUND = (RATE_PER_S * WINDOW_S + RATE_PER_S) * (1 + OVERSHOOT) + ALLOWANCE


class QuotaTest(unittest.TestCase):
    """A workspace sends many times its quota through all nodes."""

    def test_a_hot_workspace_stays_in_its_quota_over_all_nodes(self) -> None:
        for nodes in (1, 7, 9):
            for times in (2, 8):
                with self.subTest(nodes=nodes, times=times):
                    cluster = Cluster(nodes, exchange_every_s=0.25)
                    cluster.run(30.0, times * RATE_PER_S, cost=40.0)
                    self.assertLessEqual(cluster.most_in_window(), BOUND)

    def test_nodes_that_start_at_once_share_one_full_bucket(self) -> None:
        """All nodes restart while a workspace sends six times its quota.

        Each node then assumes a full bucket, so without counting what
        the others admitted since their start, the bound is exceeded.
        """
        allowance = 0.6 * RATE_PER_S
        bound = BOUND - ALLOWANCE + allowance
        for nodes, exchange_every_s in ((9, 0.25), (60, 0.25), (60, 0.5)):
            with self.subTest(nodes=nodes, exchange_every_s=exchange_every_s):
                cluster = Cluster(nodes, exchange_every_s, allowance)
                cluster.run(10.0, 6 * RATE_PER_S, cost=40.0)
                cluster.start_all(nodes, 11.0)
                cluster.run(10.0, 6 * RATE_PER_S, cost=40.0, start_s=11.0)
                self.assertLessEqual(cluster.most_in_window(), bound)

    def test_two_readers_of_a_region_count_once(self) -> None:
        """Two readers, started with this node, report one region's sum."""
        limited = workspace()
        quotas = quota.Quotas(0.0, 0.0)
        for place, total in enumerate((400.0, 450.0, 500.0)):
            sums = quota.Consumption(total, 0.0, RATE_PER_S)
            source = quota.Source(f'reader-{place % 2}', 'region')
            quotas.set_peers(quota.PeerRuns({source.run: 9}, frozenset()), 0.5)
            quotas.merge(source, limited, sums, 0.5, 0.5)
        level = quotas.consumption(0.5)[limited.name].level
        self.assertEqual(RATE_PER_S - 500.0, level)

    def test_a_node_that_starts_alone_does_not_count_the_past(self) -> None:
        """The total of an old run is mostly refilled and isn't deducted."""
        limited = workspace()
        old, new = quota.Quotas(0.0, 0.0), quota.Quotas(0.0, 100.0)
        for second in range(100):
            old.consume(limited, 100.0, float(second))
        spent = old.consumption(100.0)[limited.name]
        new.merge(own_source('old'), limited, spent, 100.0, 100.0)
        self.assertEqual(0.0, new.consume(limited, 900.0, 100.0))

    def test_a_quota_is_used_and_not_cut_into_parts(self) -> None:
        cluster = Cluster(9, exchange_every_s=0.25)
        cluster.run(30.0, 4 * RATE_PER_S, cost=40.0)
        admitted = sum(cost for _, cost in cluster.admitted)
        self.assertGreater(admitted, 0.9 * 30.0 * RATE_PER_S)

    def test_large_requests_within_the_quota_are_admitted(self) -> None:
        cluster = Cluster(9, exchange_every_s=0.25)
        cluster.run(30.0, 0.5 * RATE_PER_S, cost=0.9 * RATE_PER_S)
        self.assertEqual([], cluster.retry_after_s)

    def test_refused_callers_are_sent_back_one_after_the_other(self) -> None:
        quotas = quota.Quotas(0.0, 0.0)
        limited = workspace()
        self.assertEqual(0.0, quotas.consume(limited, 1_000.0, 0.0))
        waits = [quotas.consume(limited, 500.0, 0.0) for _ in range(4)]
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(len(set(waits)), len(waits))

    def test_a_starting_node_takes_over_the_level_of_the_others(self) -> None:
        limited = workspace()
        old, new = quota.Quotas(0.0, 0.0), quota.Quotas(0.0, 10.0)
        old.consume(limited, 1_000.0, 10.0)
        spent = old.consumption(10.0)[limited.name]
        new.merge(own_source('old'), limited, spent, 10.0, 10.0)
        self.assertGreater(new.consume(limited, 500.0, 10.0), 0.0)

    def test_what_did_not_run_is_given_back(self) -> None:
        quotas = quota.Quotas(0.0, 0.0)
        limited = workspace()
        quotas.consume(limited, 1_000.0, 0.0)
        quotas.refund(limited, 1_000.0)
        self.assertEqual(0.0, quotas.consume(limited, 1_000.0, 0.0))

    def test_nodes_that_hear_nobody_keep_to_even_shares(self) -> None:
        cluster = Cluster(9, exchange_every_s=0.25)
        cluster.run(10.0, 4 * RATE_PER_S, cost=40.0)
        cluster.isolate_all(10.0)
        cluster.run(30.0, 4 * RATE_PER_S, cost=40.0, start_s=10.0)
        self.assertLessEqual(cluster.most_in_window(), BOUND)

    def test_a_node_that_knows_only_names_leaves_them_their_shares(
        self,
    ) -> None:
        alone = quota.Quotas(0.0, 0.0)
        names = {f'n{place}' for place in range(8)}
        alone.set_peers(quota.PeerRuns(dict.fromkeys(names, 1), names), 0.0)
        limited = workspace()
        admitted = sum(
            10.0
            for step in range(9_000)
            if not alone.consume(limited, 10.0, step / 100)
        )
        self.assertLessEqual(admitted, RATE_PER_S + 90 * RATE_PER_S / 9 + 10)

    def test_what_was_set_aside_is_not_taken_off_twice(self) -> None:
        quotas = quota.Quotas(0.0, 0.0)
        limited = workspace()
        quotas.consume(limited, 1_000.0, 0.0)
        other = quota.Consumption(0.0, 0.0, 0.0)
        quotas.merge(own_source('other'), limited, other, 0.0, 0.0)
        quotas.set_peers(quota.PeerRuns({'other': 1}, {'other'}), 0.0)
        self.assertAlmostEqual(500.0, quotas.consumption(1.0)['botany'].level)
        spent = quota.Consumption(500.0, 0.0, 0.0)
        quotas.merge(own_source('other'), limited, spent, 1.0, 1.0)
        self.assertAlmostEqual(500.0, quotas.consumption(1.0)['botany'].level)


class RetryBudgetTest(unittest.TestCase):
    """All endpoints of a service fail for a while."""

    RATIO = 0.2
    RETRY_ALLOWANCE = 54.0
    WINDOW_S = 10.0

    @hypothesis.given(
        rates=strategies.lists(
            strategies.integers(0, 40), min_size=1, max_size=9
        ),
        seconds=strategies.integers(5, 30),
    )
    def test_the_bound_holds_over_all_nodes_in_every_window(
        self, rates: list[int], seconds: int
    ) -> None:
        budgets = [
            retry_budget.RetryBudget(
                self.RATIO, self.RETRY_ALLOWANCE, self.WINDOW_S
            )
            for _ in rates
        ]
        requests, retries = [], []
        for second in range(seconds):
            for budget, rate in zip(budgets, rates, strict=True):
                for place in range(rate):
                    now_s = second + place / max(1, rate)
                    budget.record_request(now_s)
                    requests.append(now_s)
                    if budget.consume(len(rates), now_s):
                        retries.append(now_s)
        for start_s in range(-10, seconds):
            end_s = start_s + self.WINDOW_S
            sent = sum(1 for at_s in retries if start_s <= at_s < end_s)
            requested = sum(1 for at_s in requests if start_s <= at_s < end_s)
            before = sum(
                1
                for at_s in requests
                if start_s - self.WINDOW_S <= at_s < start_s
            )
            self.assertLessEqual(
                sent,
                self.RATIO * max(requested, before) + self.RETRY_ALLOWANCE,
            )


def candidate(name: str, **changes: object) -> choice.Candidate:
    fields: dict[str, object] = {
        'id': ids.EndpointId(name),
        'nearness': choice.Nearness.SAME_DOMAIN,
        'slots': 8,
        'running': 0,
        'waiting_tokens': 0,
        'cached_tokens': 0,
        'prefill_tokens_per_s': 50_000.0,
        'is_doubtful': False,
    }
    return choice.Candidate(**{**fields, **changes})  # type: ignore[arg-type]


def parts(subject: str) -> tuple[call.PromptPart, ...]:
    return (
        call.PromptPart('system', 500),
        call.PromptPart(subject, 5_000),
        call.PromptPart('own', 1_000),
    )


class ChoiceTest(unittest.TestCase):
    """Long prompts with shared parts, on engines with unequal load."""

    def choose(
        self, candidates: list[choice.Candidate], subject: str = 's1'
    ) -> str:
        chosen = choice.choose_engine(candidates, 6_500, parts(subject), 1.0)
        assert chosen is not None
        return chosen.endpoint

    def test_requests_of_one_subject_meet_at_one_engine(self) -> None:
        engines = [candidate(f'e{number}') for number in range(9)]
        chosen = {self.choose(engines, 'hot') for _ in range(20)}
        self.assertEqual(1, len(chosen))
        subjects = {self.choose(engines, f's{n}') for n in range(60)}
        self.assertGreater(len(subjects), 5)

    def test_a_hot_subject_spills_before_its_engine_is_late(self) -> None:
        engines = [candidate(f'e{number}') for number in range(3)]
        home = self.choose(engines, 'hot')
        busy = [
            candidate(item.id, waiting_tokens=40_000 if item.id == home else 0)
            for item in engines
        ]
        self.assertNotEqual(home, self.choose(busy, 'hot'))

    def test_the_far_region_is_used_when_the_near_one_is_late(self) -> None:
        far = candidate('far', nearness=choice.Nearness.OTHER_REGION)
        self.assertEqual('near', self.choose([candidate('near'), far]))
        busy = candidate('near', waiting_tokens=60_000)
        self.assertEqual('far', self.choose([busy, far]))

    def test_engines_that_fail_or_leave_come_last(self) -> None:
        sound = candidate('sound', waiting_tokens=10_000)
        for other in (
            candidate('doubtful', is_doubtful=True),
            candidate('leaving', is_leaving=True),
        ):
            self.assertEqual('sound', self.choose([sound, other]))
            self.assertEqual(other.id, self.choose([other]))

    # Guards against refusals because all engines report to be slow.
    def test_what_slows_all_engines_is_not_expected_twice(self) -> None:
        def expected_s(*slowdowns: float) -> float:
            engines = [
                candidate(f'e{number}', slowdown=slowdown)
                for number, slowdown in enumerate(slowdowns)
            ]
            chosen = choice.choose_engine(engines, 6_500, (), 1.0)
            assert chosen is not None
            return chosen.first_token_s

        self.assertEqual(expected_s(1.0, 1.0), expected_s(4.0, 4.0))
        self.assertEqual(expected_s(1.0), expected_s(4.0))

    def test_slow_engines_and_full_endpoints_are_drawn_rarely(self) -> None:
        draws = random.Random(1)
        slow = candidate('slow', slowdown=6.0)
        low = candidate('low', limit=2.0, running=2)
        others = [candidate(f'e{number}') for number in range(4)]
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(400):
            for chosen in (
                choice.choose_plain([slow, low, *others], draws.random),
                choice.choose_engine(
                    [slow, low, *others], 6_500, (), 1.0, draws.random
                ),
            ):
                assert chosen is not None
                counts[chosen.endpoint] += 1
        self.assertLess(counts['slow'] + counts['low'], 40)
        for item in others:
            self.assertGreater(counts[item.id], 130)

    def test_plain_requests_go_where_slots_are_free(self) -> None:
        full = candidate('full', slots=6, running=6)
        busy = candidate('busy', slots=6, running=3)
        far = candidate('far', slots=6, nearness=choice.Nearness.OTHER_REGION)
        for given, expected in (
            ([full, busy, far], 'busy'),
            ([full, far], 'far'),
            ([full], 'full'),
        ):
            chosen = choice.choose_plain(given)
            assert chosen is not None
            self.assertEqual(expected, chosen.endpoint)
        self.assertIsNone(choice.choose_plain([]))


NO_RESULTS = endpoint_health.Results()


class EndpointHealthTest(unittest.TestCase):
    """Endpoints whose requests fail although their checks pass."""

    def test_pauses_grow_and_end_with_a_success(self) -> None:
        health = endpoint_health.EndpointHealth()
        pauses = []
        now_s = 0.0
        for _ in range(4):
            health.record_unreachable(now_s, 1.0)
            pauses.append(health.paused_until_s - now_s)
            now_s = health.paused_until_s
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(pauses[0], pauses[-1])
        health.record_unreachable(now_s, 1.0)
        self.assertTrue(health.is_paused(now_s + 0.1))
        health.record_success(now_s + 0.1, is_direct=False)
        self.assertTrue(health.is_paused(now_s + 0.1))
        health.record_success(now_s + 0.1)
        self.assertFalse(health.is_paused(now_s + 0.1))

    def test_connections_that_fail_together_are_one_failure(self) -> None:
        health = endpoint_health.EndpointHealth()
        health.record_unreachable(0.0, 1.0)
        paused_until_s = health.paused_until_s
        for _ in range(5):
            health.record_unreachable(0.01, 1.0)
        self.assertEqual(paused_until_s, health.paused_until_s)
        self.assertEqual(1, health.consecutive_unreachable)

    def test_one_that_fails_every_other_request_is_doubtful(self) -> None:
        health = endpoint_health.EndpointHealth()
        for second in range(10):
            health.record_success(float(second))
            health.record_failure(second + 0.5)
        self.assertTrue(health.is_doubtful(NO_RESULTS, 10.0))
        for second in range(10, 20):
            health.record_success(float(second))
        self.assertFalse(health.is_doubtful(NO_RESULTS, 20.0))

    def test_one_that_is_not_used_any_more_is_tried_again(self) -> None:
        health = endpoint_health.EndpointHealth()
        for _ in range(4):
            health.record_failure(0.0)
        self.assertTrue(health.is_doubtful(NO_RESULTS, 1.0))
        self.assertFalse(health.is_doubtful(NO_RESULTS, 10.0))

    def test_few_failures_at_each_of_many_nodes_count_together(self) -> None:
        health = endpoint_health.EndpointHealth()
        health.record_success(0.0)
        self.assertFalse(health.is_doubtful(NO_RESULTS, 0.0))
        others = endpoint_health.Results(failed=3.0, answered=7.0)
        self.assertTrue(health.is_doubtful(others, 0.0))

    def test_a_failure_among_many_answers_says_nothing(self) -> None:
        health = endpoint_health.EndpointHealth()
        health.record_failure(0.0)
        others = endpoint_health.Results(failed=3.0, answered=80.0)
        self.assertFalse(health.is_doubtful(others, 0.0))


class EventStreamTest(unittest.TestCase):
    """Events that arrive in chunks of any size."""

    @hypothesis.given(
        count=strategies.integers(1, 12),
        cuts=strategies.lists(strategies.integers(1, 40), min_size=1),
        line_end=strategies.sampled_from((b'\n', b'\r\n', b'\r')),
    )
    def test_only_whole_events_pass_and_none_is_lost(
        self, count: int, cuts: list[int], line_end: bytes
    ) -> None:
        data = b''.join(
            b'id: %d\ndata: x%d\n\n' % (number, number)
            for number in range(1, count + 1)
        ).replace(b'\n', line_end)
        stream = event_stream.EventStream()
        passed, position, turn = b'', 0, 0
        while position < len(data):
            size = cuts[turn % len(cuts)]
            turn += 1
            complete = stream.feed(data[position : position + size])
            position += size
            self.assertTrue(not complete or complete.endswith(2 * line_end))
            passed += complete
        self.assertFalse(stream.is_inside_event)
        self.assertEqual(data, passed)
        self.assertEqual((b'%d' % count, count), (
            stream.last_id, stream.events,
        ))  # fmt: skip

    def test_blank_lines_after_an_event_begin_none(self) -> None:
        stream = event_stream.EventStream()
        passed = stream.feed(b'id: 1\ndata: a\n\n') + stream.feed(b'\n')
        self.assertEqual(b'id: 1\ndata: a\n\n\n', passed)
        self.assertFalse(stream.is_inside_event)
        stream.feed(b'id')
        self.assertTrue(stream.is_inside_event)

    def test_a_half_event_is_dropped(self) -> None:
        stream = event_stream.EventStream()
        stream.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        stream.discard_partial_event()
        self.assertEqual(b'1', stream.last_id)
        self.assertEqual(
            b'id: 2\ndata: b\n\n', stream.feed(b'id: 2\ndata: b\n\n')
        )
