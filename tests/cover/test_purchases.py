"""Tests of reconciling purchases with the cloud's list, and allowances.

At most one VM is kept per name, VMs without an owner are ended, and VMs
of other environments are left alone.
"""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.fleet import market
from guavachute.decide.fleet import purchases
from guavachute.decide.requests import allowances
from guavachute import ids
from guavachute.wire import records

TRIAL = ids.EnvironmentName('trial')
OFFER = market.OfferKey(
    ids.FailureDomain('perth-a'), 'a10x8', market.Market.RECLAIMABLE
)
NEVER = float('-inf')
KINDS = ('open', 'owned', 'closed', 'allowed', 'unknown')


def listed(vm: str, name: str, **fields: float) -> purchases.ListedVm:
    return purchases.ListedVm(
        ids.VmId(vm), name, ids.PoolName('needle'), OFFER, **fields
    )


def intent(name: str) -> records.PurchaseIntent:
    return records.PurchaseIntent(
        record_id=ids.RecordId(name),
        vm_name=name,
        lease_name='fleet',
        term_offset=ids.Offset(0),
        pool=ids.PoolName('needle'),
        failure_domain=OFFER.failure_domain,
        machine_class=OFFER.machine_class,
        market=OFFER.market.value,
        why='for the load',
    )


def allowance(node: str, names: list[str]) -> records.PurchaseAllowance:
    return records.PurchaseAllowance(
        record_id=ids.RecordId(node),
        allowance=f'of-{node}',
        node=ids.NodeId(node),
        lease_name='fleet',
        term_offset=ids.Offset(0),
        pool=ids.PoolName('needle'),
        failure_domain=OFFER.failure_domain,
        machine_class=OFFER.machine_class,
        market=OFFER.market.value,
        vm_names=names,
    )


def owned(name: str, vm: str) -> records.OwnedPurchase:
    return records.OwnedPurchase(intent=intent(name), vm=ids.VmId(vm))


class ReconcileTest(unittest.TestCase):
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from([f'trial/needle/{n}' for n in range(5)]),
            strategies.tuples(
                strategies.sampled_from(KINDS), strategies.integers(0, 3)
            ),
        )
    )
    def test_it_ends_all_but_one_vm_of_each_name_that_counts(
        self, names: dict[str, tuple[str, int]]
    ) -> None:
        by_kind = collections.defaultdict(list)
        vms = [listed('vm-x', 'production/needle/1')]
        for name, (kind, count) in names.items():
            by_kind[kind].append(name)
            vms += [listed(f'vm-{name}-{n}', name) for n in range(count)]
        state = records.ControlState(
            open_purchases={name: intent(name) for name in by_kind['open']},
            owned_purchases={
                name: owned(name, f'vm-{name}-1') for name in by_kind['owned']
            },
            closed_purchases={
                name: ids.Offset(0) for name in by_kind['closed']
            },
            allowances={
                ids.NodeId('node-1'): allowance('node-1', by_kind['allowed'])
            },
        )
        seen_s = {vm.vm: 0.0 for vm in vms}
        now_s = purchases.UNKNOWN_GRACE_S
        actions = purchases.reconcile(state, TRIAL, vms, {}, seen_s, now_s)
        ends = {
            each.vm for each in actions if isinstance(each, purchases.EndVm)
        }
        ordered = {
            each.intent.vm_name
            for each in actions
            if isinstance(each, purchases.Order)
        }
        for name, (kind, count) in names.items():
            left = [vm for vm in vms if vm.name == name and vm.vm not in ends]
            counts = kind in ('open', 'owned', 'allowed')
            self.assertEqual(min(count, 1) if counts else 0, len(left))
            self.assertEqual(kind == 'open' and not count, name in ordered)
        self.assertNotIn('vm-x', ends)

    def test_an_order_under_way_is_not_repeated_before_it_settled(
        self,
    ) -> None:
        name = 'trial/needle/1'
        state = records.ControlState(open_purchases={name: intent(name)})
        sent = {name: 100.0}
        for now_s, expected in ((110.0, 0), (100 + purchases.SETTLE_S, 1)):
            actions = purchases.reconcile(state, TRIAL, [], sent, {}, now_s)
            self.assertEqual(expected, len(actions))

    def test_a_name_not_read_yet_gets_time_before_it_is_ended(self) -> None:
        vms = [listed('vm-1', 'trial/needle/1')]
        state = records.ControlState()
        seen = {ids.VmId('vm-1'): 10.0}
        self.assertEqual(
            [], purchases.reconcile(state, TRIAL, vms, {}, seen, 20.0)
        )

    def test_every_vm_and_order_is_explained(self) -> None:
        state = records.ControlState(
            open_purchases={'trial/needle/2': intent('trial/needle/2')},
            owned_purchases={'trial/needle/1': owned('trial/needle/1', 'a')},
            allowances={
                ids.NodeId('node-1'): allowance('node-1', ['trial/needle/3'])
            },
        )
        vms = [
            listed('a', 'trial/needle/1'),
            listed('b', 'trial/needle/1'),
            listed('c', 'trial/needle/3'),
            listed('d', 'trial/needle/4'),
        ]
        lines = purchases.explain(state, TRIAL, vms)
        self.assertEqual(
            [
                ('a', 'running', 'for the load'),
                (
                    'b',
                    'to be ended',
                    'another VM was started for the same order',
                ),
                (None, 'ordered', 'for the load'),
                (
                    'c',
                    'started, not yet recorded',
                    'bought by node-1 while the log was down',
                ),
                ('d', 'to be ended', 'the log holds no such purchase'),
            ],
            [(line.vm, line.state, line.why) for line in lines],
        )


class AllowanceTest(unittest.TestCase):
    @hypothesis.given(
        strategies.integers(1, 5),
        strategies.integers(0, 8),
        strategies.integers(1, 3),
        strategies.floats(0, 200),
    )
    def test_nodes_together_replace_no_more_than_was_lost(
        self, nodes: int, lost: int, names: int, waited_s: float
    ) -> None:
        grants = {
            ids.NodeId(f'node-{n}'): allowance(
                f'node-{n}', [f'trial/needle/{n}-{k}' for k in range(names)]
            )
            for n in range(nodes)
        }
        gone = [f'trial/needle/gone-{n}' for n in range(lost)]
        state = records.ControlState(
            owned_purchases={name: owned(name, name) for name in gone},
            allowances=grants,
        )
        vms: list[purchases.ListedVm] = []
        now_s = 1000.0
        since = {name: now_s - waited_s for name in gone}
        # The nodes order in turn; each sees what the earlier ones bought.
        for node in grants:
            bought = allowances.names_to_order(
                state, TRIAL, node, vms, since, now_s
            )
            self.assertLessEqual(set(bought), set(grants[node].vm_names))
            vms += [listed(name, name) for name in bought]
        self.assertLessEqual(len(vms), lost)
        if waited_s >= nodes * allowances.TURN_S:
            self.assertEqual(min(lost, nodes * names), len(vms))

    def test_nodes_cover_all_pools_and_used_names_are_replaced(self) -> None:
        other = market.OfferKey(
            ids.FailureDomain('perth-b'), 'a10x8', market.Market.ON_DEMAND
        )
        offers = {
            ids.PoolName('needle'): [OFFER, other],
            ids.PoolName('orders'): [other],
        }
        nodes = [ids.NodeId(f'node-{n}') for n in range(3)]
        state = records.ControlState(
            allowances={nodes[0]: allowance('node-0', ['trial/needle/0'])}
        )
        granted = allowances.grants(state, TRIAL, nodes, offers)
        self.assertEqual({nodes[1], nodes[2]}, set(granted))
        used = records.ControlState(
            allowances=state.allowances,
            closed_purchases={'trial/needle/0': ids.Offset(1)},
        )
        granted = allowances.grants(used, TRIAL, nodes, offers)
        self.assertEqual(
            {('needle', OFFER), ('needle', other), ('orders', other)},
            set(granted.values()),
        )
