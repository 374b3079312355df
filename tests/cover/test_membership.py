"""Tests of the membership protocol over a simulated, lossy network."""

import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from guavachute.decide.members import member_table
from guavachute.decide.members import membership
from guavachute.decide.members import protocol_state
from guavachute.decide.members import suspicion
from guavachute.wire import codec
from guavachute.wire import gossip

LIMITS = suspicion.Limits(sync_period_s=10.0)
TICK_S = 0.1
SETTLE_S = 90.0


def profile_of(node: str, domain: str = 'perth-a') -> gossip.Profile:
    """A member with one router."""
    return gossip.Profile(f'{node}:1', domain, 'perth', (f'{node}:2',))


def listed(node: str, domain: str = 'perth-a') -> member_table.ListedVm:
    """The entry of *node* on the platform's list."""
    return member_table.ListedVm(node, f'{node}:1', domain, 'perth')


class Network:
    """Simulated network between nodes, which can drop messages.

    :ivar domains: the failure domain of each node
    :ivar loss: probability that a message is lost
    :ivar blocked: pairs of nodes whose messages are all lost
    :ivar states: the running nodes
    :ivar largest_bytes: size of the largest message except syncs
    """

    def __init__(self, domains: dict[str, str], seed: int) -> None:
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.domains = domains
        self.loss = 0.0
        self.blocked: set[frozenset[str]] = set()
        self.states: dict[str, membership.Membership] = {}
        self.largest_bytes = 0
        for node in domains:
            self.start(node, incarnation=1)

    def start(self, node: str, incarnation: int) -> None:
        """Start a process of *node* that knows only the platform's list."""
        state = membership.Membership(
            node,
            incarnation,
            profile_of(node, self.domains[node]),
            random.Random(self.rng.random()),
            limits=LIMITS,
        )
        vms = [listed(name, domain) for name, domain in self.domains.items()]
        state.observe_list(vms, self.now_s)
        self.states[node] = state

    def run(self, duration_s: float) -> None:
        """Advance the time and let all nodes tick."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            for node, state in list(self.states.items()):
                self.deliver(node, state.tick(self.now_s))

    def deliver(self, sender: str, sends: list[protocol_state.Send]) -> None:
        """Deliver *sends* and all messages sent in answer to them."""
        queue = [(sender, send) for send in sends]
        while queue:
            source, send = queue.pop(0)
            target = send.to.node
            if not isinstance(send.message, gossip.Sync):
                size_bytes = len(codec.encode(send.message))
                self.largest_bytes = max(self.largest_bytes, size_bytes)
            if self.is_dropped(source, target):
                continue
            answers = self.states[target].receive(
                gossip.NodeAddress(source, ''), send.message, self.now_s
            )
            queue += [(target, answer) for answer in answers]

    def is_dropped(self, source: str, target: str) -> bool:
        """Whether a message from *source* to *target* is lost."""
        if target not in self.states or source not in self.states:
            return True
        if frozenset((source, target)) in self.blocked:
            return True
        return self.rng.random() < self.loss

    def seen_by(self, node: str) -> set[str]:
        """The nodes that *node* believes present in its domain."""
        snapshot = self.states[node].snapshot(self.now_s)
        return {member.node for member in snapshot.members}

    def running_in(self, domain: str) -> set[str]:
        """The nodes that run in *domain*."""
        return {n for n in self.states if self.domains[n] == domain}


def one_domain(count: int) -> dict[str, str]:
    """The failure domain by node, for *count* nodes of one domain."""
    return {f'vm-{number}': 'perth-a' for number in range(count)}


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Checks that all nodes know exactly the running ones after faults.

    Faults are lost messages, blocked pairs, kills, departures, restarts
    and pauses; the check follows :data:`SETTLE_S` without any.
    """

    nodes = strategies.sampled_from(sorted(one_domain(5)))

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.network = Network(one_domain(5), seed)
        self.incarnation = 1

    @stateful.rule(
        duration_s=strategies.floats(0.1, 8),
        loss=strategies.sampled_from([0.0, 0.1, 0.4]),
    )
    def run_with_losses(self, duration_s: float, loss: float) -> None:
        self.network.loss = loss
        self.network.run(duration_s)

    @stateful.rule(node=nodes)
    def kill(self, node: str) -> None:
        self.network.states.pop(node, None)

    @stateful.rule(node=nodes)
    def leave(self, node: str) -> None:
        if node in self.network.states:
            sends = self.network.states[node].leave()
            self.network.deliver(node, sends)
            del self.network.states[node]

    @stateful.rule(node=nodes, clock_was_set_back=strategies.booleans())
    def restart(self, node: str, clock_was_set_back: bool) -> None:
        self.incarnation += 1
        incarnation = 0 if clock_was_set_back else self.incarnation
        self.network.start(node, incarnation)

    @stateful.rule(node=nodes)
    def pause(self, node: str) -> None:
        state = self.network.states.pop(node, None)
        if state is not None:
            self.network.run(12)
            self.network.states[node] = state

    @stateful.rule(one=nodes, other=nodes)
    def block(self, one: str, other: str) -> None:
        if one != other:
            self.network.blocked.add(frozenset((one, other)))

    def teardown(self) -> None:
        if not hasattr(self, 'network'):
            return
        self.network.loss = 0.0
        self.network.blocked.clear()
        self.network.run(SETTLE_S)
        running = self.network.running_in('perth-a')
        for node in running:
            assert self.network.seen_by(node) == running, node


MembershipMachineTest = MembershipMachine.TestCase
MembershipMachineTest.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=12, deadline=None
)


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network(one_domain(9), seed=7)
        self.network.run(20)

    def test_all_find_each_other_from_the_list(self) -> None:
        for node in self.network.states:
            self.assertEqual(9, len(self.network.seen_by(node)))

    def test_a_dead_member_goes_and_a_suspect_is_marked_first(self) -> None:
        del self.network.states['vm-3']
        marked = False
        for _ in range(120):
            self.network.run(TICK_S)
            snapshot = self.network.states['vm-0'].snapshot(self.network.now_s)
            marked |= any(member.suspect for member in snapshot.members)
        self.assertTrue(marked)
        for node in self.network.states:
            self.assertNotIn('vm-3', self.network.seen_by(node))

    def test_one_blocked_path_makes_no_node_suspect(self) -> None:
        self.network.blocked.add(frozenset(('vm-0', 'vm-1')))
        for _ in range(300):
            self.network.run(TICK_S)
            snapshot = self.network.states['vm-0'].snapshot(self.network.now_s)
            self.assertEqual([], [m for m in snapshot.members if m.suspect])

    def test_who_leaves_is_gone_without_a_suspicion(self) -> None:
        sends = self.network.states['vm-3'].leave()
        self.network.deliver('vm-3', sends)
        del self.network.states['vm-3']
        self.network.run(2)
        for node in self.network.states:
            self.assertNotIn('vm-3', self.network.seen_by(node))

    def test_old_news_does_not_bring_back_the_dead(self) -> None:
        state = self.network.states['vm-0']
        old = state.state.full_state(self.network.now_s)
        del self.network.states['vm-3']
        self.network.run(15)
        state.state.merge_items(old, self.network.now_s)
        self.assertNotIn('vm-3', self.network.seen_by('vm-0'))

    def test_two_halves_find_each_other_again(self) -> None:
        half = {'vm-0', 'vm-1', 'vm-2', 'vm-3'}
        other_half = set(self.network.states) - half
        pairs = {frozenset((a, b)) for a in half for b in other_half}
        self.network.blocked |= pairs
        self.network.run(30)
        self.assertEqual(half, self.network.seen_by('vm-0'))
        self.network.blocked.clear()
        self.network.run(60)
        for node in self.network.states:
            self.assertEqual(9, len(self.network.seen_by(node)))

    def test_the_list_drops_whom_it_lacks_for_long_but_only_if_sane(
        self,
    ) -> None:
        state = self.network.states['vm-0']
        without = [listed('vm-0'), listed('vm-1')]
        self.assertFalse(state.observe_list([], 0.0))
        self.assertFalse(state.observe_list(without[1:], 500.0))
        self.assertTrue(state.observe_list(without, 1000.0))
        self.assertEqual(9, len(self.network.seen_by('vm-0')))
        state.observe_list(without, 1000.0 + LIMITS.absent_s)
        self.assertEqual({'vm-0', 'vm-1'}, self.network.seen_by('vm-0'))

    def test_a_vm_listed_as_leaving_is_leaving(self) -> None:
        state = self.network.states['vm-0']
        vms = [listed(f'vm-{number}') for number in range(9)]
        vms[4] = member_table.ListedVm(
            'vm-4', 'vm-4:1', 'perth-a', 'perth', leaving=True
        )
        state.observe_list(vms, self.network.now_s)
        snapshot = state.snapshot(self.network.now_s)
        leaving = [
            member.node for member in snapshot.members if member.leaving
        ]
        self.assertEqual(['vm-4'], leaving)

    def test_a_paused_node_suspects_no_one(self) -> None:
        state = self.network.states.pop('vm-0')
        self.network.run(10)
        state.tick(self.network.now_s)
        snapshot = state.snapshot(self.network.now_s)
        self.assertEqual([], [m for m in snapshot.members if m.suspect])


class DomainsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.domains = {
            f'{domain}-{number}': domain
            for domain in ('perth-a', 'perth-b', 'bunbury-a')
            for number in range(3)
        }
        self.network = Network(self.domains, seed=3)
        for node, state in self.network.states.items():
            status = gossip.Status(
                node, 1, 0, 17, 'ab', 2, {'club': 10, 'mill': 5}
            )
            state.state.set_status(status)
        self.network.run(30)

    def test_every_node_hears_sums_of_the_other_domains(self) -> None:
        for node, state in self.network.states.items():
            digests = state.snapshot(self.network.now_s).domains
            names = {digest.failure_domain for digest in digests}
            self.assertEqual(
                set(self.domains.values()) - {self.domains[node]}, names
            )
            for digest in digests:
                self.assertEqual(3, digest.nodes)
                self.assertEqual(6, digest.active_requests)
                self.assertEqual({'club': 30, 'mill': 15}, digest.used_tokens)
                self.assertEqual(
                    (gossip.OffsetCount(17, 'ab', 3),), digest.offsets
                )

    def test_a_domain_out_of_reach_is_dropped_and_comes_back(self) -> None:
        remote = self.network.running_in('bunbury-a')
        local = set(self.network.states) - remote
        self.network.blocked |= {
            frozenset((a, b)) for a in remote for b in local
        }
        self.network.run(LIMITS.digest_stale_s + 20)
        state = self.network.states['perth-a-0']
        names = [
            d.failure_domain
            for d in state.snapshot(self.network.now_s).domains
        ]
        self.assertEqual(['perth-b'], names)
        self.network.blocked.clear()
        self.network.run(20)
        snapshot = state.snapshot(self.network.now_s)
        self.assertEqual(2, len(snapshot.domains))


class SizeTest(unittest.TestCase):
    def test_messages_stay_bounded_in_a_large_domain(self) -> None:
        network = Network(one_domain(83), seed=5)
        network.run(30)
        for node in network.states:
            self.assertEqual(83, len(network.seen_by(node)))
        network.largest_bytes = 0
        network.run(10)
        self.assertLess(network.largest_bytes, LIMITS.budget_bytes * 1.3)
