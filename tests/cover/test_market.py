"""Tests of the market planner: cover, cost and stability of its plans."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.fleet import market
from guavachute.decide.fleet import market_plan
from guavachute.decide.fleet import reclaim_rate
from guavachute import ids

ENGINE = 100.0
DOMAINS = ('perth-a', 'perth-b', 'bunbury-a')
RECLAIMABLE = market.Market.RECLAIMABLE
ON_DEMAND = market.Market.ON_DEMAND
WEIGHTS = market.Weights(0.0)


def offer(
    domain: str,
    price: float,
    how: market.Market = RECLAIMABLE,
    limit: int = market.UNLIMITED,
    reclaims: float = 0.0,
) -> market.Offer:
    key = market.OfferKey(ids.FailureDomain(domain), 'a10x8', how)
    return market.Offer(key, price, ENGINE, reclaims, limit=limit)


offers = strategies.lists(
    strategies.builds(
        offer,
        strategies.sampled_from(DOMAINS),
        strategies.integers(10, 400),
        strategies.sampled_from([RECLAIMABLE, ON_DEMAND]),
        strategies.integers(0, 4),
    ),
    min_size=1,
    max_size=5,
    unique_by=lambda each: each.key,
)


class MarketTest(unittest.TestCase):
    @hypothesis.given(offers, strategies.integers(1, 4))
    def test_it_is_as_cheap_as_trying_every_set(
        self, choice: list[market.Offer], engines: int
    ) -> None:
        by_key = {each.key: each for each in choice}
        load = engines * ENGINE
        plan = market_plan.plan_pool(market.Need(load), choice, {}, WEIGHTS)
        for cover in (market.Cover.DOMAIN_LOSS, market.Cover.RECLAIM):
            ranges = [range(each.limit + 1) for each in choice]
            costs = [
                market.cost_cents_per_hour(counts, by_key, WEIGHTS)
                for numbers in itertools.product(*ranges)
                if market.survives(
                    counts := dict(zip(by_key, numbers, strict=True)),
                    by_key,
                    load,
                    cover,
                )
            ]
            if costs:
                self.assertIs(cover, plan.cover)
                self.assertTrue(
                    market.survives(plan.counts, by_key, load, cover)
                )
                self.assertAlmostEqual(min(costs), plan.cost_cents_per_hour)
                return
        self.assertIs(market.Cover.SHORT, plan.cover)

    def test_on_demand_covers_only_what_spreading_cannot(self) -> None:
        spread = [offer(name, 100) for name in DOMAINS]
        expensive = [offer(name, 300, ON_DEMAND) for name in DOMAINS]
        plan = market_plan.plan_pool(
            market.Need(1000), spread + expensive, {}, WEIGHTS
        )
        self.assertEqual(15, sum(plan.counts.values()))
        self.assertTrue(all(key.market is RECLAIMABLE for key in plan.counts))
        alone = [spread[0], expensive[0]]
        plan = market_plan.plan_pool(market.Need(1000), alone, {}, WEIGHTS)
        self.assertIs(market.Cover.RECLAIM, plan.cover)
        self.assertEqual({expensive[0].key: 10}, plan.counts)

    def test_minimum_and_maximum_bind(self) -> None:
        choice = [offer(name, 100) for name in DOMAINS]
        few = market.Need(0.0, minimum_endpoints=2)
        plan = market_plan.plan_pool(few, choice, {}, WEIGHTS)
        self.assertEqual(2, sum(plan.counts.values()))
        capped = market.Need(1000, maximum_endpoints=7)
        plan = market_plan.plan_pool(capped, choice, {}, WEIGHTS)
        self.assertEqual(7, sum(plan.counts.values()))
        self.assertIs(market.Cover.SHORT, plan.cover)

    def test_nothing_is_given_up_while_there_is_too_little(self) -> None:
        choice = [offer(DOMAINS[0], 100, limit=9)]
        plan = market_plan.plan_pool(
            market.Need(700), choice, {choice[0].key: 9}, WEIGHTS
        )
        self.assertIs(market.Cover.SHORT, plan.cover)
        self.assertEqual({choice[0].key: 9}, plan.counts)

    def test_swinging_prices_change_nothing_but_a_lasting_gap_does(
        self,
    ) -> None:
        held = market_plan.plan_pool(
            market.Need(1000),
            [offer(name, 100) for name in DOMAINS],
            {},
            WEIGHTS,
        ).counts
        for prices in ((100, 106, 94), (95, 105, 100), (106, 94, 100)):
            choice = [
                offer(name, price)
                for name, price in zip(DOMAINS, prices, strict=True)
            ]
            plan = market_plan.plan_pool(
                market.Need(1000), choice, held, WEIGHTS
            )
            self.assertEqual(held, plan.counts)
        choice = [offer(DOMAINS[0], 300)]
        choice += [offer(name, 50) for name in DOMAINS[1:]]
        plan = market_plan.plan_pool(market.Need(1000), choice, held, WEIGHTS)
        self.assertEqual(
            {'perth-b', 'bunbury-a'},
            {key.failure_domain for key in plan.counts},
        )

    def test_recomputed_tokens_weigh_against_a_low_price(self) -> None:
        risky = [offer(name, 100, reclaims=0.5) for name in DOMAINS]
        calm = [offer(name, 130, ON_DEMAND) for name in DOMAINS]
        need = market.Need(1000)
        for cost_cents, expected in ((0.0, RECLAIMABLE), (0.01, ON_DEMAND)):
            plan = market_plan.plan_pool(
                need, risky + calm, {}, market.Weights(cost_cents)
            )
            self.assertEqual({expected}, {key.market for key in plan.counts})


class ReclaimRateTest(unittest.TestCase):
    def test_few_observations_do_not_look_like_safety(self) -> None:
        unseen = reclaim_rate.Observed()
        short = reclaim_rate.advance(unseen, 1, 3600)
        watched = reclaim_rate.advance(
            reclaim_rate.advance(unseen, 20, 86_400), 20, 2 * 86_400
        )
        rates = [
            reclaim_rate.upper_per_vm_hour(each)
            for each in (unseen, short, watched)
        ]
        self.assertEqual(sorted(rates, reverse=True), rates)
        self.assertGreater(rates[1], 3 * rates[2])

    def test_a_wave_is_one_event_and_single_losses_add_up(self) -> None:
        before = reclaim_rate.Observed(vm_hours=100.0)
        wave = reclaim_rate.record_reclaims(before, 9, 10, 0.0)
        self.assertEqual((1, 0), (wave.waves, wave.reclaims))
        single = reclaim_rate.record_reclaims(before, 3, 10, 0.0)
        self.assertEqual(3, single.reclaims)

    @hypothesis.given(strategies.floats(0, 50), strategies.floats(0, 1e4))
    def test_the_bound_lies_above_the_mean(
        self, reclaims: float, hours: float
    ) -> None:
        seen = reclaim_rate.Observed(reclaims, hours)
        self.assertGreater(
            reclaim_rate.upper_per_vm_hour(seen),
            reclaim_rate.mean_per_vm_hour(seen),
        )
