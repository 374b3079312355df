"""The fleet duty against the ledger of the cloud's stand-in, with faults.

The tests guard against VMs that are bought twice, run without a record
in the log, or are missing: after lost answers, delayed or doubled
starts, a dead, paused or replaced lease holder, and a log that is down.
"""

import collections
import contextlib
import unittest

from guavachute.clients import cloud_client
from guavachute.decide.fleet import market
from guavachute import ids
from guavachute import outcome
from guavachute.services.fleet import drains
from guavachute.services.fleet import messages
from guavachute.standin import cloud_ledger
from guavachute.standin import faults
from guavachute.wire import records
from tests.support import fleet
from tests.support import waiting


def intent_of(
    held: messages.HeldLease, name: str = 'trial/needle/one'
) -> records.PurchaseIntent:
    return records.PurchaseIntent(
        record_id=ids.RecordId(f'intent-{name}'),
        vm_name=name,
        lease_name=held.name,
        term_offset=held.term_offset,
        pool=ids.PoolName('needle'),
        failure_domain=ids.FailureDomain('perth-a'),
        machine_class='a10x8',
        market='reclaimable',
        why='by a holder that died',
    )


class FleetServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.stack = stack
        self.cloud = stack.enter_context(fleet.cloud_running())
        self.log = fleet.MemoryLog()

    def run_node(self, name: str = 'node-1', holds: bool = True) -> fleet.Node:
        node = fleet.Node(self.log, self.cloud.address, name)
        if holds:
            node.held = self.log.take_lease(name)
        return self.stack.enter_context(node.running())

    def fault(self, kind: faults.Kind, count: int = 1, **more: object) -> None:
        self.cloud.faults.add(
            faults.Fault(
                kind,
                path_prefix='/v1/vms',
                method='POST',
                count=count,
                **more,
            )
        )

    def wait_settled(
        self, minimum: int = fleet.VM_COUNT, maximum: int | None = None
    ) -> None:
        counts = range(minimum, (maximum or minimum) + 1)
        waiting.until(
            lambda: fleet.is_settled(self.log, self.cloud, counts),
            'log and cloud agree',
        )

    def wait_rounds(self, node: fleet.Node, count: int = 20) -> None:
        rounds = node.counters.value('fleet.rounds') + count
        waiting.until(
            lambda: node.counters.value('fleet.rounds') > rounds,
            f'{count} more rounds',
        )

    def ended(self) -> list[cloud_ledger.Charge]:
        return [charge for charge in self.cloud.charges() if charge.ended]

    def test_vms_are_bought_once_and_explained(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        self.run_node()
        self.wait_settled()
        self.assertEqual([], self.ended())
        spread = collections.Counter(
            vm.failure_domain for vm in self.cloud.running()
        )
        self.assertEqual({2}, set(spread.values()))
        for owned in self.log.state.owned_purchases.values():
            self.assertIn('held there', owned.intent.why)

    def test_lost_answers_are_found_by_name(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        self.fault(faults.Kind.LOSE_ANSWER, 4)
        self.run_node()
        self.wait_settled()
        self.assertEqual(
            4, self.cloud.faults.injected_count(faults.Kind.LOSE_ANSWER)
        )
        self.assertEqual(fleet.VM_COUNT, len(self.cloud.charges()))

    def test_doubles_are_ended_at_once(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        self.fault(faults.Kind.DOUBLE, 2)
        self.run_node()
        self.wait_settled()
        self.assertEqual(2, len(self.ended()))
        kept = set(fleet.names(self.cloud))
        self.assertTrue(all(entry.name in kept for entry in self.ended()))

    def test_refused_starts_go_elsewhere(self) -> None:
        self.cloud.set_offers(fleet.offers(full=(('perth-a', 'reclaimable'),)))
        self.log.publish(fleet.DOCUMENT)
        node = self.run_node()
        self.wait_settled()
        self.assertNotIn(
            ('perth-a', 'reclaimable'),
            {(vm.failure_domain, vm.market) for vm in self.cloud.running()},
        )
        self.assertGreater(node.counters.value('fleet.starts_refused'), 0)

    def test_a_down_and_a_stalling_api_are_waited_for(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        self.fault(faults.Kind.REFUSE, 3)
        self.fault(faults.Kind.STALL, 2, delay_s=1.5)
        self.run_node()
        self.wait_settled()
        self.assertEqual(fleet.VM_COUNT, len(self.cloud.charges()))

    def test_an_intent_of_a_dead_holder_is_ordered_once(self) -> None:
        dead = self.log.take_lease('dead')
        self.log.append([intent_of(dead)])
        self.run_node()
        self.wait_settled(1)
        self.assertEqual(1, len(self.cloud.charges()))

    def test_a_vm_of_a_dead_holder_is_adopted(self) -> None:
        dead = self.log.take_lease('dead')
        self.log.append([intent_of(dead)])
        self.order('trial/needle/one')
        self.run_node()
        self.wait_settled(1)
        self.assertEqual(1, len(self.cloud.charges()))

    def test_a_paused_holder_buys_nothing_beside_the_new_one(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        paused = self.run_node('node-1')
        self.run_node('node-2')
        self.assertIsNotNone(paused.held)
        self.wait_settled()
        self.wait_rounds(paused)
        self.wait_settled()
        # VMs that the first holder ordered in its own term are kept.
        self.assertEqual(
            fleet.VM_COUNT, len(self.cloud.charges()) - len(self.ended())
        )
        twice = collections.Counter(
            entry.name for entry in self.cloud.charges()
        )
        for entry in self.ended():
            self.assertEqual(2, twice[entry.name])

    def test_a_lapsed_lease_stops_orders_already_handed_out(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        node = self.run_node()
        self.wait_settled()
        node.held = None
        for vm in self.cloud.running():
            self.cloud.end(vm.vm)
        self.wait_rounds(node)
        self.assertEqual(fleet.VM_COUNT, len(self.cloud.charges()))

    def test_late_and_unowned_vms_are_ended_and_strangers_left(self) -> None:
        held = self.log.take_lease('dead')
        late = 'trial/needle/late'
        self.log.append(
            [
                intent_of(held, late),
                records.PurchaseResult(
                    record_id=ids.RecordId('closed'),
                    vm_name=late,
                    result='refused',
                ),
            ]
        )
        for name in (late, 'trial/needle/never-written', 'production/a/b'):
            self.order(name)
        self.run_node()
        waiting.until(
            lambda: fleet.names(self.cloud) == ['production/a/b'],
            'only the VM of the other environment runs',
        )

    def test_a_vm_that_never_serves_is_replaced(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        node = self.run_node()
        self.wait_settled()
        self.wait_rounds(node)
        first = {vm.vm for vm in self.cloud.running()}
        fleet.CLOCK.skip(drains.START_LIMIT_S)
        waiting.until(
            lambda: all(
                owned.draining or owned.vm not in first
                for owned in self.log.state.owned_purchases.values()
            ),
            'drains',
        )
        self.wait_rounds(node)
        fleet.CLOCK.skip(drains.DRAIN_LIMIT_S)
        waiting.until(
            lambda: not first & {vm.vm for vm in self.cloud.running()},
            'the first VMs are ended',
        )
        self.wait_settled()

    def test_lost_answers_of_the_log_buy_nothing_twice(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        self.log.lose_answers = 3
        self.run_node()
        self.wait_settled()
        self.assertEqual(fleet.VM_COUNT, len(self.cloud.charges()))

    def test_while_the_log_is_down_only_allowances_are_spent(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        nodes = [self.run_node('node-1'), self.run_node('node-2', False)]
        self.wait_settled()
        waiting.until(lambda: len(self.log.state.allowances) == 2, 'granted')
        allowed = {
            name
            for each in self.log.state.allowances.values()
            for name in each.vm_names
        }
        before = set(fleet.names(self.cloud))
        self.log.down = True
        held, nodes[0].held = nodes[0].held, None
        for vm in self.cloud.running():
            self.cloud.end(vm.vm)
        waiting.until(
            lambda: len(self.cloud.running()) == len(allowed),
            'the allowances are spent',
        )
        self.wait_rounds(nodes[1])
        self.assertEqual(sorted(allowed), fleet.names(self.cloud))
        self.assertFalse(before & set(fleet.names(self.cloud)))
        self.log.down = False
        nodes[0].held = held
        self.wait_settled()
        self.assertLessEqual(allowed, set(self.log.state.owned_purchases))
        self.assertEqual(
            fleet.VM_COUNT * 2,
            len(self.cloud.charges()),
            'each VM was replaced once',
        )

    def test_a_wave_of_most_vms_is_replaced_without_a_stampede(self) -> None:
        self.log.publish(fleet.DOCUMENT)
        node = self.run_node()
        load = {ids.ModelName('needle'): 14 * 1400.0}
        node.fleet.mailbox.send(messages.OfferedLoad(load, {}))
        self.wait_settled(21)
        full = [(domain, 'on-demand') for domain in fleet.DOMAINS]
        full += [(domain, 'reclaimable') for domain in fleet.DOMAINS[:2]]
        self.cloud.set_offers(fleet.offers(full=tuple(full)))
        lost = [
            vm
            for vm in self.cloud.running()
            if vm.failure_domain.startswith('perth')
        ]
        self.assertGreater(len(lost) / 21, 0.62)
        self.fault(faults.Kind.LOSE_ANSWER, 2)
        for vm in lost:
            self.cloud.end(vm.vm)
        waiting.until(
            lambda: node.counters.value('fleet.starts_refused') >= 2,
            'starts are refused',
        )
        self.cloud.set_offers(fleet.offers())
        # VMs that were bought from other offers meanwhile may be kept for
        # some time.
        self.wait_settled(21, maximum=35)
        refused = node.counters.value('fleet.starts_refused')
        self.assertLess(refused, 21)
        self.assert_no_double()

    def assert_no_double(self) -> None:
        running = collections.Counter(vm.name for vm in self.cloud.running())
        self.assertEqual({1}, set(running.values()))

    def order(self, name: str) -> None:
        offer = market.OfferKey(
            ids.FailureDomain('perth-a'),
            'a10x8',
            market.Market.RECLAIMABLE,
        )
        client = cloud_client.CloudClient(self.cloud.address)
        started = client.start(name, ids.PoolName('needle'), offer)
        self.assertNotIsInstance(started, outcome.Failure)
        client.close()
