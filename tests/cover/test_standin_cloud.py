"""Tests of the stand-ins for the cloud's API and the weight store."""

import concurrent.futures
import unittest

from guavachute import outcome
from guavachute.standin import cloud
from guavachute.standin import cloud_ledger
from guavachute.standin import engine
from guavachute.standin import engine_job
from guavachute.standin import faults
from guavachute.standin import vm_list
from guavachute.standin import weight_store
from tests.support import hosting
from tests.support import http_calls
from tests.support import waiting

OFFER = cloud_ledger.Offer(
    failure_domain='perth-a',
    region='perth',
    machine_class='a10x8',
    market='reclaimable',
    price_cents_per_hour=100,
    capacity=2,
)
ORDER = {
    'name': 'needle-1',
    'pool': 'needle',
    'failure_domain': 'perth-a',
    'machine_class': 'a10x8',
    'market': 'reclaimable',
}


class LedgerTest(unittest.TestCase):
    def test_a_change_of_price_counts_from_its_moment(self) -> None:
        ledger = cloud_ledger.Ledger(start_s=0, hour_s=10)
        ledger.set_offers([OFFER], now_s=0)
        order = cloud_ledger.Order(**ORDER)
        bought = ledger.buy(order, now_s=0)
        assert not isinstance(bought, outcome.Failure)
        raised_offer = cloud_ledger.Offer(
            failure_domain='perth-a',
            region='perth',
            machine_class='a10x8',
            market='reclaimable',
            price_cents_per_hour=300,
        )
        ledger.set_offers([raised_offer], now_s=10)
        ledger.end(bought.vm, now_s=15)
        charge = ledger.charges(now_s=99)[0]
        self.assertEqual((250, 15), (charge.cost_cents, charge.ran_s))


class CloudTest(unittest.TestCase):
    def setUp(self) -> None:
        self.vms = hosting.host(self, vm_list.VmList())
        self.cloud = hosting.host(self, cloud.Cloud(start_s=0, feed=self.vms))
        self.cloud.set_offers([OFFER])

    def call(self, method: str, path: str, body: object = None):
        return http_calls.call(self.cloud.address, method, path, body)

    def listed(self) -> list[str]:
        return [vm.state for vm in self.vms.listing().vms]

    def test_one_name_ordered_twice_gives_two_vms(self) -> None:
        self.cloud.faults.add(
            faults.Fault(faults.Kind.LOSE_ANSWER, '/v1/vms', 'POST')
        )
        lost = self.call('POST', '/v1/vms', ORDER)
        self.assertEqual(http_calls.NO_ANSWER, lost)
        self.assertEqual(201, self.call('POST', '/v1/vms', ORDER).status)
        found = self.call('GET', '/v1/vms?name=needle-1').json()['vms']
        self.assertEqual(2, len({vm['vm'] for vm in found}))
        refused = self.call('POST', '/v1/vms', ORDER)
        self.assertEqual(409, refused.status)
        self.assertEqual('no_capacity', refused.json()['error'])

    def test_a_reclaimed_vm_gets_notice_and_ends(self) -> None:
        vm = self.call('POST', '/v1/vms', ORDER).json()['vm']
        waiting.until(
            lambda: self.listed() == ['live'], 'the VM to be listed as live'
        )
        self.call('POST', '/reclaims', {'vm': vm, 'notice_s': 0.2})
        notices = self.call('GET', '/v1/notices?from=0').json()
        self.assertEqual(1, notices['next'])
        self.assertEqual(vm, notices['notices'][0]['vm'])
        waiting.until(lambda: not self.listed(), 'the VM to end')
        self.assertEqual(404, self.call('DELETE', f'/v1/vms/{vm}').status)
        charge = self.call('GET', '/ledger').json()['charges'][0]
        self.assertTrue(charge['ended'])

    def test_a_failure_domain_goes_without_notice(self) -> None:
        for _ in range(2):
            self.call('POST', '/v1/vms', ORDER)
        waiting.until(lambda: len(self.listed()) == 2, 'two VMs to be listed')
        reclaim = {'failure_domain': 'perth-a', 'notice_s': 0}
        self.call('POST', '/reclaims', reclaim)
        self.assertEqual([], self.listed())
        self.assertEqual(
            [], self.call('GET', '/v1/notices?from=0').json()['notices']
        )


class WeightStoreTest(unittest.TestCase):
    def test_too_many_fetches_are_refused(self) -> None:
        store = hosting.host(
            self,
            weight_store.WeightStore(
                size_bytes=200_000, bytes_per_s=400_000, most_fetches=1
            ),
        )

        def fetch(number: int) -> http_calls.Answer:
            path = f'/v1/weights/demo?fetcher={number}'
            return http_calls.call(store.address, 'GET', path)

        with concurrent.futures.ThreadPoolExecutor() as pool:
            answers = list(pool.map(fetch, range(3)))
        sizes = {answer.status: len(answer.body) for answer in answers}
        self.assertEqual(200_000, sizes[200])
        self.assertEqual({200, 429}, set(sizes))
        self.assertEqual(2, store.refused)
        waiting.until(store.fetches, 'the fetch to be recorded')
        self.assertTrue(store.fetches()[0].whole)

    def test_an_engine_fetches_the_model_that_it_is_ordered(self) -> None:
        store = hosting.host(self, weight_store.WeightStore())
        settings = engine_job.EngineSettings(weight_store=store.address)
        served = hosting.host(self, engine.Engine(settings=settings))
        order = {'fencing_number': 1, 'wish': {'models': ['demo', 'new']}}
        http_calls.call(served.address, 'POST', '/v1/orders', order)
        waiting.until(
            lambda: served.orders.models() == ['demo', 'new'],
            'the model to be loaded',
        )
        waiting.until(store.fetches, 'the fetch to be recorded')
        self.assertEqual(['new'], [each.model for each in store.fetches()])
