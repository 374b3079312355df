"""Tests of a planning round: replacement before removal, refused offers."""

import collections
import unittest

from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import fleet_text
from guavachute.decide.fleet import market
from guavachute.decide.fleet import placement
from guavachute.decide.requests import congestion_window
from guavachute.document import schema
from guavachute import ids

DOMAINS = ('perth-a', 'perth-b', 'bunbury-a')
NEEDLE = ids.ModelName('needle-llm')
SERVING = fleet_plan.Phase.SERVING


def key(
    domain: str, how: market.Market = market.Market.RECLAIMABLE
) -> market.OfferKey:
    return market.OfferKey(ids.FailureDomain(domain), 'a10x8', how)


def vm(
    number: int,
    domain: str,
    phase: fleet_plan.Phase = SERVING,
    model: ids.ModelName | None = NEEDLE,
) -> fleet_plan.FleetVm:
    loaded = model if phase is SERVING else None
    engine = placement.Engine(
        ids.EndpointId(f'vm-{number:02}'),
        ids.FailureDomain(domain),
        loaded,
        '1',
        leaving=phase is fleet_plan.Phase.LEAVING,
    )
    return fleet_plan.FleetVm(f'vm-{number:02}', key(domain), phase, engine)


def pool_state(
    vms: list[fleet_plan.FleetVm], load: float, **fields: object
) -> fleet_plan.PoolState:
    forecast = demand.Forecast(recent=((0.0, load),), at_s=0.0)
    config = schema.Pool(
        kind=schema.PoolKind.MODEL,
        machine_classes=['a10x8'],
        tokens_per_s_per_endpoint=1000.0,
    )
    return fleet_plan.PoolState(
        ids.PoolName('needle'),
        config,
        {NEEDLE: schema.Model(pool='needle')},
        {NEEDLE: forecast},
        (),
        tuple(vms),
        **fields,
    )


def offers(
    prices: dict[market.OfferKey, float],
    windows: dict[market.OfferKey, congestion_window.CongestionWindow]
    | None = None,
) -> fleet_plan.MarketState:
    return fleet_plan.MarketState(prices, {}, windows or {})


PRICES = {key(domain): 100.0 for domain in DOMAINS} | {
    key(domain, market.Market.ON_DEMAND): 400.0 for domain in DOMAINS
}


def round_of(
    pool: fleet_plan.PoolState,
    prices: dict[market.OfferKey, float] = PRICES,
    windows: dict[market.OfferKey, congestion_window.CongestionWindow]
    | None = None,
    order_capacity: int = 20,
) -> fleet_plan.FleetPlan:
    return fleet_plan.plan(
        [pool], offers(prices, windows), schema.Policy(), order_capacity, 1.0
    )


class FleetPlanTest(unittest.TestCase):
    def test_a_cold_pool_starts_spread_and_within_the_order_limit(
        self,
    ) -> None:
        plan = round_of(pool_state([], 4000.0), order_capacity=3)
        self.assertEqual(3, len(plan.starts))
        self.assertEqual(
            3, len({start.offer.failure_domain for start in plan.starts})
        )

    def test_what_leaves_is_replaced_before_it_is_gone(self) -> None:
        vms = [vm(number, DOMAINS[number % 3]) for number in range(6)]
        vms[0] = vm(0, DOMAINS[0], fleet_plan.Phase.LEAVING)
        plan = round_of(pool_state(vms, 4000.0))
        self.assertEqual(
            [key(DOMAINS[0])], [start.offer for start in plan.starts]
        )

    def test_a_refusing_offer_is_left_alone_and_others_fill_in(self) -> None:
        refused = congestion_window.after_overload(
            congestion_window.CongestionWindow(), None, 1.0, 0.0
        )
        vms = [vm(1, DOMAINS[1]), vm(2, DOMAINS[2])]
        plan = round_of(
            pool_state(vms, 2000.0), windows={key(DOMAINS[0]): refused}
        )
        self.assertNotIn(
            key(DOMAINS[0]), [start.offer for start in plan.starts]
        )
        self.assertTrue(plan.starts)

    def test_nothing_ends_before_its_successor_serves(self) -> None:
        expensive = PRICES | {key(DOMAINS[0]): 900.0}
        vms = [vm(number, DOMAINS[number % 3]) for number in range(6)]
        ended: list[str] = []
        lowest = 6
        for turn in range(12):
            plan = round_of(pool_state(vms, 4000.0), expensive)
            decision = plan.decisions[0]
            gone = {end.name for end in decision.ends}
            ended.extend(gone)
            vms = [each for each in vms if each.name not in gone]
            by_domain = collections.Counter(
                each.offer.failure_domain
                for each in vms
                if each.phase is SERVING
            )
            serving = sum(by_domain.values())
            lowest = min(lowest, serving - max(by_domain.values()))
            if turn % 2:  # VMs of the last two rounds serve now.
                vms = [
                    vm(int(each.name[3:]), each.offer.failure_domain)
                    for each in vms
                ]
            for start in plan.starts:
                vms.append(
                    vm(
                        len(vms) + len(ended) + 10,
                        start.offer.failure_domain,
                        fleet_plan.Phase.STARTING,
                    )
                )
        self.assertEqual(4, lowest)
        self.assertEqual({'vm-00', 'vm-03'}, set(ended))

    def test_a_holder_that_knows_no_load_yet_keeps_the_size(self) -> None:
        vms = [vm(number, DOMAINS[number % 3]) for number in range(9)]
        fresh = round_of(pool_state(vms, 0.0, has_full_history=False))
        self.assertEqual((), fresh.decisions[0].ends)
        self.assertEqual((), fresh.starts)
        known = round_of(pool_state(vms, 0.0))
        self.assertEqual(1, len(known.decisions[0].ends))

    def test_an_empty_price_list_ends_nothing(self) -> None:
        vms = [vm(number, DOMAINS[number % 3]) for number in range(6)]
        plan = round_of(pool_state(vms, 4000.0), {})
        self.assertEqual((), plan.decisions[0].ends)
        self.assertEqual((), plan.starts)

    def test_the_report_states_cost_reason_and_change(self) -> None:
        text = '\n'.join(
            fleet_text.lines(
                fleet_text.report(round_of(pool_state([], 4000.0)))
            )
        )
        self.assertIn('expected cost: ', text)
        self.assertIn('0 -> 2 (+2)', text)
        self.assertIn('survives loss of any failure domain', text)
