"""Tests of engine orders: fencing, limits on weight fetches, roll-outs."""

import contextlib
import unittest

from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import fleet_state
from guavachute.decide.fleet import market
from guavachute.decide.fleet import placement
from guavachute.decide.fleet import purchases
from guavachute.decide.fleet import rollout
from guavachute.document import check
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.services.fleet import engine_orders
from guavachute.services.fleet import messages
from guavachute.services.fleet import placer
from guavachute.services.fleet import rollouts
from guavachute.standin import engine
from guavachute.standin import engine_job
from guavachute.wire import records
from tests.support import waiting

NEEDLE = ids.ModelName('needle')
TRIAL = ids.EnvironmentName('trial')


def held(number: int) -> messages.HeldLease:
    return messages.HeldLease('fleet', ids.Offset(number), ids.Offset(number))


class FencingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.counters = counters.Counters()
        self.box = mailbox.Mailbox()

    def run_task(self, each):
        each.start()
        self.stack.callback(each.join, 10)
        self.stack.callback(each.request_stop)
        return each

    def orders_of(self, number: int) -> engine_orders.EngineOrders:
        return self.run_task(
            engine_orders.EngineOrders(
                f'orders-{number}', lambda: held(number), self.counters, 0.05
            )
        )

    def test_orders_of_an_old_holder_are_rejected_or_corrected(self) -> None:
        engines = [
            self.run_task(
                engine.Engine(
                    f'engine-{checks}',
                    settings=engine_job.EngineSettings(
                        models=[], load_lag_s=0, checks_fencing=checks
                    ),
                )
            )
            for checks in (True, False)
        ]

        def desired_engines(version: str) -> messages.DesiredEngines:
            desired = placement.DesiredState(NEEDLE, version)
            return messages.DesiredEngines(
                tuple(
                    messages.DesiredEngine(
                        ids.EndpointId(each.name),
                        ids.Address(each.address),
                        desired,
                    )
                    for each in engines
                ),
                self.box,
            )

        def versions() -> list[str]:
            return [
                each.orders.accepted[-1].wish.version
                if each.orders.accepted
                else ''
                for each in engines
            ]

        newer = self.orders_of(20)
        newer.mailbox.send(desired_engines('2'))
        waiting.until(lambda: versions() == ['2', '2'], 'the new order')
        older = self.orders_of(10)
        older.mailbox.send(desired_engines('1'))
        waiting.until(
            lambda: (
                self.counters.value('fleet.engine_orders_superseded')
                and engines[1].orders.stale
            ),
            'the old order at both engines',
        )
        older.request_stop()
        older.join(10)
        accepted = engines[0].orders.accepted
        self.assertNotIn('1', [each.wish.version for each in accepted])
        waiting.until(
            lambda: versions() == ['2', '2'], 'the newer order again'
        )
        reports = [
            each.report
            for each in self.box.drain()
            if each.report.models == (NEEDLE,)
        ]
        self.assertTrue(reports)


def fleet_inputs(
    engines: int,
    reports: dict[str, fleet_state.EngineReport],
    version: str = '1',
    state: records.ControlState | None = None,
) -> fleet_state.FleetInputs:
    """A fleet with one model and the owned, listed engines ``vm-0``..."""
    checked = check.check_raw(
        {
            'models': {'needle': {'pool': 'needle', 'version': version}},
            'services': {},
            'workspaces': {},
            'pools': {
                'needle': {'kind': 'model', 'machine_classes': ['a10x8']}
            },
        }
    )
    assert isinstance(checked, check.Checked), checked
    key = market.OfferKey(
        ids.FailureDomain('perth-a'), 'a10x8', market.Market.RECLAIMABLE
    )
    listed = []
    owned = {}
    for number in range(engines):
        name = f'trial/needle/{number}'
        vm = ids.VmId(f'vm-{number}')
        pool = ids.PoolName('needle')
        listed.append(
            purchases.ListedVm(vm, name, pool, key, address='127.0.0.1:1')
        )
        intent = records.PurchaseIntent(
            record_id=ids.RecordId(name),
            vm_name=name,
            lease_name='fleet',
            term_offset=ids.Offset(0),
            pool=pool,
            failure_domain=key.failure_domain,
            machine_class=key.machine_class,
            market=key.market.value,
        )
        owned[name] = records.OwnedPurchase(intent=intent, vm=vm)
    base = state or records.ControlState()
    return fleet_state.FleetInputs(
        TRIAL,
        checked.document,
        records.msgspec.structs.replace(base, owned_purchases=owned),
        tuple(listed),
        reports={ids.EndpointId(k): v for k, v in reports.items()},
        forecasts={NEEDLE: demand.Forecast(at_s=0.0, recent=((0.0, 8000.0),))},
    )


def report(
    number: int, version: str, models: tuple[ids.ModelName, ...] = (NEEDLE,)
) -> fleet_state.EngineReport:
    return fleet_state.EngineReport(
        ids.EndpointId(f'vm-{number}'),
        models,
        placement.DesiredState(NEEDLE, version),
    )


def plan_of(inputs: fleet_state.FleetInputs) -> fleet_plan.FleetPlan:
    return fleet_plan.plan(
        fleet_state.pool_states(inputs),
        fleet_plan.MarketState({}, {}, {}),
        inputs.document.policy,
        0,
        1.0,
    )


class PlacerTest(unittest.TestCase):
    def test_few_engines_fetch_weights_at_once(self) -> None:
        # 16 GB of weights at 300 MB/s: two fetches end within 120 s.
        current = placer.Placer(300e6)
        reports: dict[str, fleet_state.EngineReport] = {}
        fetched = []
        for turn in range(3):
            inputs = fleet_inputs(6, reports)
            sent = current.desired_engines(
                inputs, plan_of(inputs), mailbox.Mailbox(), float(turn)
            )
            ordered = [
                each.endpoint
                for each in sent.engines
                if each.desired and each.endpoint not in reports
            ]
            self.assertEqual(2, len(ordered))
            fetched += ordered
            for endpoint in ordered:
                number = int(endpoint.removeprefix('vm-'))
                reports[endpoint] = report(number, '1')
        self.assertEqual(6, len(set(fetched)))

    def test_new_versions_are_fetched_by_few_engines_at_once(self) -> None:
        current = placer.Placer(300e6)
        reports = {f'vm-{n}': report(n, '1') for n in range(6)}
        counts = []
        for now_s in (0.0, 10.0, 110.0, 120.0, 230.0):
            inputs = fleet_inputs(6, reports, '2')
            sent = current.desired_engines(
                inputs, plan_of(inputs), mailbox.Mailbox(), now_s
            )
            ordered = [
                each.endpoint
                for each in sent.engines
                if each.desired
                and reports[each.endpoint].accepted.version == '1'
            ]
            counts.append(len(ordered))
            for endpoint in ordered:
                number = int(endpoint.removeprefix('vm-'))
                reports[endpoint] = report(number, '2')
        self.assertEqual([2, 0, 2, 0, 2], counts)


class RolloutsTest(unittest.TestCase):
    def records_of(
        self,
        current: rollouts.Rollouts,
        inputs: fleet_state.FleetInputs,
        now_s: float,
    ) -> list[records.RolloutChange]:
        return list(current.changes(inputs, held(1), now_s))

    def state_with(
        self, change: records.RolloutChange
    ) -> records.ControlState:
        return records.ControlState(rollouts={'trial/needle': change})

    def test_errors_stop_it_and_another_holder_goes_back(self) -> None:
        current = rollouts.Rollouts(TRIAL)
        reports = {f'vm-{n}': report(n, '1') for n in range(6)}
        (first,) = self.records_of(current, fleet_inputs(6, reports), 0.0)
        self.assertEqual('done', first.progress)
        inputs = fleet_inputs(6, reports, '2', self.state_with(first))
        (begun,) = self.records_of(current, inputs, 1.0)
        self.assertEqual(
            ('1', '2', 'running'),
            (begun.old_version, begun.new_version, begun.progress),
        )
        inputs = fleet_inputs(6, reports, '2', self.state_with(begun))
        self.assertEqual([], self.records_of(current, inputs, 2.0))
        current.record_health(
            messages.VersionHealth(
                NEEDLE, rollout.Health(500, 1), rollout.Health(20, 9)
            )
        )
        (stopped,) = self.records_of(current, inputs, 3.0)
        self.assertEqual('stopped', stopped.progress)
        self.assertIn('9 of 20', stopped.reason)
        inputs = fleet_inputs(6, reports, '2', self.state_with(stopped))
        new_holder = rollouts.Rollouts(TRIAL)
        self.assertEqual([], self.records_of(new_holder, inputs, 4.0))
        versions = {
            each.desired.version
            for decision in plan_of(inputs).decisions
            for each in decision.assignments
            if each.desired
        }
        self.assertEqual({'1'}, versions)
