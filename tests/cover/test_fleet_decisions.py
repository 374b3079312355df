"""Tests of demand, replacement order, weight fetches, roll-outs, placement."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.fleet import demand
from guavachute.decide.fleet import market
from guavachute.decide.fleet import placement
from guavachute.decide.fleet import replacement_wave
from guavachute.decide.fleet import rollout
from guavachute.decide.fleet import weights_schedule
from guavachute.decide.requests import congestion_window
from guavachute import ids

START = demand.StartUp(120.0, 10.0, 5)
DOMAINS = ('perth-a', 'perth-b', 'bunbury-a')


def forecast_of(loads: list[float], step_s: float = 10.0) -> demand.Forecast:
    forecast = demand.Forecast()
    for number, load in enumerate(loads):
        forecast = demand.observe(forecast, load, START, number * step_s)
    return forecast


class DemandTest(unittest.TestCase):
    def test_a_ramp_is_met_before_it_arrives(self) -> None:
        ramp = [100.0 + 10 * step for step in range(60)]
        ahead = demand.expected_tokens_per_s(forecast_of(ramp), START)
        # The load grows by one token/s each second.
        arrives = ramp[-1] + START.mean_s
        self.assertGreaterEqual(ahead, arrives * 0.95)
        self.assertLess(ahead, arrives * 1.5)

    def test_a_dip_ends_no_vm_but_a_lasting_one_does(self) -> None:
        busy = [1000.0] * 60
        dip = forecast_of(busy + [100.0] * 30)
        self.assertGreaterEqual(demand.committed_tokens_per_s(dip), 1000)
        quiet = forecast_of(busy + [100.0] * 300)
        self.assertLess(demand.committed_tokens_per_s(quiet), 200)

    def test_scaling_to_zero_needs_permission_and_a_long_idle_time(
        self,
    ) -> None:
        idle = forecast_of([100.0] * 5 + [0.0] * 10)
        end_s = 50.0 + demand.IDLE_BEFORE_ZERO_S
        self.assertFalse(demand.can_scale_to_zero(idle, True, 100.0))
        self.assertTrue(demand.can_scale_to_zero(idle, True, end_s))
        self.assertFalse(demand.can_scale_to_zero(idle, False, end_s))

    def test_slow_starts_lengthen_the_horizon(self) -> None:
        slow = demand.StartUp()
        for _ in range(20):
            slow = demand.record_start(slow, 400.0)
        self.assertAlmostEqual(400, slow.mean_s, delta=5)
        self.assertGreater(demand.horizon_s(slow), demand.horizon_s(START))


class PaceTest(unittest.TestCase):
    def test_refusals_close_the_offer_and_one_trial_opens_it(self) -> None:
        current = congestion_window.CongestionWindow()
        for _ in range(3):
            current = congestion_window.after_overload(current, None, 1.0, 0.0)
        self.assertEqual(0, congestion_window.free_slots(current, 0, 30.0))
        self.assertEqual(1, congestion_window.free_slots(current, 0, 60.0))
        self.assertEqual(0, congestion_window.free_slots(current, 1, 60.0))
        self.assertGreater(
            congestion_window.free_slots(
                congestion_window.after_success(current), 0, 60.0
            ),
            1,
        )

    def test_the_service_says_when_to_come_back(self) -> None:
        current = congestion_window.after_overload(
            congestion_window.CongestionWindow(), 500.0, 0.0, 0.0
        )
        self.assertEqual(0, congestion_window.free_slots(current, 0, 499.0))


def pool_need(name: str, share: float, load: float, coming: float):
    key = market.OfferKey(
        ids.FailureDomain('perth-a'), 'a10x8', market.Market.RECLAIMABLE
    )
    workspace = replacement_wave.WorkspaceLoad(
        ids.WorkspaceName(f'of-{name}'), share, load
    )
    return replacement_wave.PoolNeed(
        ids.PoolName(name), coming, 100.0, (workspace,), {key: 20}
    )


class WaveTest(unittest.TestCase):
    def test_the_small_pool_gets_its_start_in_a_large_wave(self) -> None:
        needs = [
            pool_need('large', 1.0, 2000.0, 0.0),
            pool_need('small', 1.0, 100.0, 0.0),
        ]
        starts = replacement_wave.next_starts(needs, {}, 3)
        self.assertIn('small', [each.pool for each in starts])
        self.assertEqual(
            1, [each.pool for each in starts].count(ids.PoolName('small'))
        )

    def test_a_higher_share_comes_first_and_refused_offers_wait(
        self,
    ) -> None:
        needs = [
            pool_need('low', 1.0, 1000.0, 0.0),
            pool_need('high', 3.0, 1000.0, 0.0),
        ]
        starts = replacement_wave.next_starts(needs, {}, 4)
        self.assertEqual({'high'}, {each.pool for each in starts})
        key = starts[0].offer
        self.assertEqual(
            1, len(replacement_wave.next_starts(needs, {key: 1}, 4))
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.1, 10), strategies.floats(1, 1000)
            ),
            min_size=1,
            max_size=6,
        ),
        strategies.floats(1, 3000),
    )
    def test_allocation_is_fair_and_wastes_nothing(
        self, entries: list[tuple[float, float]], tokens_per_s: float
    ) -> None:
        loads = tuple(
            replacement_wave.WorkspaceLoad(
                ids.WorkspaceName(str(number)), share, load
            )
            for number, (share, load) in enumerate(entries)
        )
        given = replacement_wave.allocate(loads, tokens_per_s)
        offered = sum(load.tokens_per_s for load in loads)
        self.assertAlmostEqual(
            min(offered, tokens_per_s), sum(given.values()), places=6
        )
        starved = [
            given[load.workspace] / load.share
            for load in loads
            if given[load.workspace] < load.tokens_per_s - 1e-6
        ]
        richest = max(given[each.workspace] / each.share for each in loads)
        for level in starved:
            self.assertGreaterEqual(level, richest - 1e-6)


class WeightsTest(unittest.TestCase):
    def test_a_wave_fetches_first_what_callers_wait_for(self) -> None:
        needs = [
            weights_schedule.ModelNeed(
                ids.ModelName(name), 1.0, 1000.0, loaded, 500.0, 10**9
            )
            for name, loaded in (('gone', 0.0), ('half', 500.0))
        ]
        waiting = [
            weights_schedule.Fetch(
                ids.EndpointId(f'{name}-{number}'),
                ids.ModelName(name),
                '1',
                0.0,
            )
            for name in ('half', 'gone')
            for number in range(3)
        ]
        granted = weights_schedule.grant(waiting, [], needs, 3, 1.0)
        order = [str(each.model) for each in granted]
        self.assertEqual(['gone', 'half', 'gone'], order)
        running = granted[:2]
        self.assertEqual(
            1,
            len(weights_schedule.grant(waiting, running, needs, 3, 1.0)),
        )

    def test_the_store_is_never_shared_by_more_than_fit(self) -> None:
        need = weights_schedule.ModelNeed(
            ids.ModelName('needle'), 1.0, 1.0, 0.0, 1.0, 16 * 10**9
        )
        self.assertEqual(7, weights_schedule.slots(10**9, [need], 50))
        self.assertEqual(1, weights_schedule.slots(1000, [need], 50))


class RolloutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rollout = rollout.begin(ids.ModelName('needle'), '1', '2')
        self.good = rollout.Health(1000, 2)

    def advance(
        self, new: rollout.Health, serving: int, now_s: float
    ) -> rollout.Rollout:
        self.rollout = rollout.advance(
            self.rollout, self.good, new, 20, serving, now_s
        )
        return self.rollout

    def test_it_goes_in_steps_and_only_after_the_engines_serve(self) -> None:
        allowed = []
        now_s = 0.0
        for _ in range(4):
            count = rollout.engines_allowed(self.rollout, 20)
            allowed.append(count)
            self.advance(rollout.Health(100, 0), count - 1, now_s)
            self.advance(rollout.Health(100, 0), count, now_s + 500)
            self.assertEqual(count, rollout.engines_allowed(self.rollout, 20))
            self.advance(rollout.Health(100, 0), count, now_s + 700)
            now_s += 1000
        self.assertEqual([1, 2, 10, 20], allowed)
        self.assertIs(rollout.Progress.DONE, self.rollout.progress)

    def test_it_stops_for_errors_and_goes_back(self) -> None:
        self.advance(rollout.Health(3, 1), 1, 0.0)
        self.assertIs(rollout.Progress.RUNNING, self.rollout.progress)
        self.advance(rollout.Health(20, 8), 1, 1.0)
        self.assertIs(rollout.Progress.STOPPED, self.rollout.progress)
        self.assertEqual(0, rollout.engines_allowed(self.rollout, 20))
        self.advance(rollout.Health(900, 8), 1, 9999.0)
        self.assertIs(rollout.Progress.STOPPED, self.rollout.progress)


class PlacementTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([None, 'old', 'new']),
            min_size=1,
            max_size=12,
        ),
        strategies.integers(0, 8),
        strategies.integers(0, 8),
        strategies.integers(0, 4),
    )
    def test_serving_engines_never_dip_below_the_need(
        self, loaded: list[str | None], old: int, new: int, needed: int
    ) -> None:
        engines = fleet([(each, '1') if each else None for each in loaded])
        targets = [
            placement.ModelTarget(
                ids.ModelName('old'), '1', float(old), needed, 0
            ),
            placement.ModelTarget(ids.ModelName('new'), '1', float(new), 1, 1),
        ]
        serving = loaded.count('old')
        for _ in range(20):
            engines = step(engines, targets, loads=1)
            now = sum(each.loaded == 'old' for each in engines)
            self.assertGreaterEqual(now, min(serving, needed))
            serving = now
        assignments = placement.assign(engines, targets)
        again = placement.assign(
            [
                dataclasses.replace(each, desired=assignment.desired)
                for each, assignment in zip(
                    engines,
                    sorted(assignments, key=lambda entry: entry.endpoint),
                    strict=True,
                )
            ],
            targets,
        )
        self.assertEqual(
            {each.endpoint: each.desired for each in assignments},
            {each.endpoint: each.desired for each in again},
        )

    def test_a_roll_out_swaps_no_more_than_can_be_spared(self) -> None:
        engines = fleet([('needle', '1')] * 6)
        running = rollout.Rollout(ids.ModelName('needle'), '1', '2', step=3)
        target = placement.ModelTarget(
            ids.ModelName('needle'), '2', 1.0, 4, rolling=running
        )
        assignments = placement.assign(engines, [target])
        changed = [each for each in assignments if each.desired.version == '2']
        self.assertEqual(2, len(changed))
        domains = {
            engine.failure_domain
            for engine in engines
            for each in changed
            if each.endpoint == engine.endpoint
        }
        self.assertEqual(2, len(domains))

    def test_roles_stand_in_more_than_one_domain(self) -> None:
        engines = fleet([('needle', '1')] * 6)
        target = placement.ModelTarget(
            ids.ModelName('needle'), '1', 1.0, prefill_fraction=0.34
        )
        assignments = placement.assign(engines, [target])
        prefill = [
            each.endpoint
            for each in assignments
            if each.desired.role is placement.Role.PREFILL
        ]
        domains = {
            each.failure_domain for each in engines if each.endpoint in prefill
        }
        self.assertEqual((2, 2), (len(prefill), len(domains)))

    def test_large_models_get_more_engines_and_none_gets_none(self) -> None:
        targets = [
            placement.ModelTarget(ids.ModelName(name), '1', weight)
            for name, weight in (('a', 8.0), ('b', 1.0), ('c', 0.0))
        ]
        self.assertEqual(
            {'a': 8, 'b': 1, 'c': 1}, placement.divide(targets, 10)
        )


def fleet(
    loaded: list[tuple[str, str] | None],
) -> list[placement.Engine]:
    engines = []
    for number, entry in enumerate(loaded):
        model, version = entry or (None, '')
        engines.append(
            placement.Engine(
                ids.EndpointId(f'vm-{number:02}'),
                ids.FailureDomain(DOMAINS[number % 3]),
                ids.ModelName(model) if model else None,
                version,
            )
        )
    return engines


def step(
    engines: list[placement.Engine],
    targets: list[placement.ModelTarget],
    loads: int,
) -> list[placement.Engine]:
    """The engines after they accepted the orders of one round.

    Of those that change their model, *loads* finish loading; the others
    have none.
    """
    desired_states = {
        each.endpoint: each.desired
        for each in placement.assign(engines, targets)
    }
    after = []
    for engine in engines:
        desired = desired_states.get(engine.endpoint)
        model = engine.loaded
        if desired is not None and desired.model != model:
            model = desired.model if loads > 0 else None
            loads -= 1
        after.append(
            dataclasses.replace(engine, desired=desired, loaded=model)
        )
    return after
