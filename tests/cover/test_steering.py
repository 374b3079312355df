"""Tests that the routers' fractions add up to one and follow demand."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.fleet import demand_sums
from guavachute.decide.members import domain_digest
from guavachute.decide.members import membership
from guavachute.decide.requests import demand_shares
from guavachute import ids
from guavachute.wire import gossip
from guavachute.wire import requests
from guavachute.wire import tables

LARGE = ids.WorkspaceName('large')
SMALL = ids.WorkspaceName('small')


def routers(demands: list[float]) -> list[demand_shares.DemandShares]:
    """Return one state per router, each with the sums of all others."""
    states = []
    for own in range(len(demands)):
        state = demand_shares.DemandShares()
        for other, demand in enumerate(demands):
            if other != own:
                message = requests.DemandSum(
                    source=f'r-{other}', demand={LARGE: demand}
                )
                state.record_sum(message, 0)
        states.append(state)
    return states


class SteeringTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 500), min_size=1, max_size=9),
        strategies.floats(0, 10),
    )
    def test_the_parts_of_all_routers_add_up_to_one(
        self, demands: list[float], now_s: float
    ) -> None:
        parts = [
            state.fraction(LARGE, demand, len(demands), now_s)
            for state, demand in zip(routers(demands), demands)
        ]
        if now_s <= demand_shares.FRESH_S or now_s >= demand_shares.STALE_S:
            self.assertAlmostEqual(1.0, sum(parts))
        self.assertTrue(all(0 < part <= 1 for part in parts))

    def test_parts_follow_demand_and_silence_makes_them_equal(self) -> None:
        state = routers([90.0, 10.0])[0]
        self.assertAlmostEqual(0.86, state.fraction(LARGE, 90.0, 2, 1))
        self.assertEqual(
            0.5, state.fraction(LARGE, 90.0, 2, demand_shares.STALE_S)
        )

    def test_a_sum_for_many_counts_as_many(self) -> None:
        state = demand_shares.DemandShares()
        message = requests.DemandSum(
            source='perth-b', routers=9, demand={LARGE: 90.0}
        )
        state.record_sum(message, 0)
        self.assertAlmostEqual(0.1, state.fraction(LARGE, 10.0, 10, 0))

    def test_routers_with_different_callers_reach_the_shares(self) -> None:
        shares = {LARGE: 1.0, SMALL: 1.0}
        state = demand_shares.DemandShares()
        state.record_sum(
            requests.DemandSum(source='r-2', demand={SMALL: 40.0}), 0
        )
        allowed = state.slots({LARGE: 500.0}, shares, 64, 2, 0)
        self.assertAlmostEqual(0.95 * 32, allowed[LARGE])

    def test_a_node_knows_the_demand_of_all_but_the_suspected(self) -> None:
        def reported(node: str, suspect: bool) -> domain_digest.ReportedMember:
            return domain_digest.ReportedMember(
                node,
                gossip.Profile('', 'perth-a', 'perth', ('r-1', 'r-2')),
                gossip.Status(node, 1, 1, demand={LARGE: 7}),
                suspect,
            )

        members = (
            reported('me', False),
            reported('vm-2', False),
            reported('vm-3', True),
        )
        digest = gossip.DomainDigest(
            'perth-b', 'perth', 'vm-9', 1, 1, nodes=5, demand={LARGE: 40}
        )
        snapshot = membership.Snapshot(
            'me', 'perth-a', 'perth', members, (digest,)
        )
        report = tables.RouterReport(
            router='router-1',
            address='',
            offset=0,
            draining=False,
            active_requests=1,
            used_tokens={},
            demand={LARGE: 1.0},
        )
        sums = demand_sums.demand_by_source((report,), snapshot)
        self.assertEqual(
            [
                ('router-1', 1, 1),
                ('node/vm-2', 2, 7),
                ('domain/perth-b', 5, 40),
            ],
            [(one.source, one.routers, one.demand[LARGE]) for one in sums],
        )
        state = demand_shares.DemandShares()
        for one in sums[1:]:
            state.record_sum(one, 0)
        self.assertEqual(7, state.routers(0))

    def test_served_elsewhere_is_the_difference_of_sums(self) -> None:
        state = demand_shares.DemandShares()
        gains = []
        for tokens in (100.0, 350.0, 20.0):
            message = requests.DemandSum(
                source='r-2', demand={}, served_tokens={LARGE: tokens}
            )
            gains.append(state.record_sum(message, 0))
        self.assertEqual([{}, {LARGE: 250.0}, {}], gains)

    @hypothesis.given(
        strategies.floats(0, 1000),
        strategies.dictionaries(
            strategies.sampled_from([LARGE, SMALL]), strategies.floats(0, 900)
        ),
    )
    def test_water_fill_gives_all_and_no_one_is_short_beside_a_richer(
        self, amount: float, demand: dict[ids.WorkspaceName, float]
    ) -> None:
        given = demand_shares.water_fill(
            amount, demand, {LARGE: 3.0, SMALL: 1.0}
        )
        self.assertAlmostEqual(amount, sum(given.values()), places=5)
        if demand.get(SMALL, 0.0) >= amount / 4:
            self.assertGreaterEqual(given[SMALL], amount / 4 - 1e-6)

    def test_idle_slots_are_used_beyond_the_allowance(self) -> None:
        self.assertEqual(5, demand_shares.free_slots(10, 5, 40, 0.1))
        self.assertEqual(4, demand_shares.free_slots(10, 10, 40, 0.1))
        self.assertEqual(0, demand_shares.free_slots(10, 5, 0, 0.1))
