"""Traffic and CPU time of the membership protocol, without sockets.

Runs the protocol state of one failure domain of a given size beside
seven domains of three nodes, in simulated time. Each message is encoded
and decoded as between two processes, and each node reports a new status
every second.
"""

import random
import time

from bench import capacity_fit
from bench import capacity_members
from guavachute.decide.members import member_table
from guavachute.decide.members import membership
from guavachute.decide.members import protocol_state
from guavachute.wire import codec
from guavachute.wire import gossip

SIZES = (3, 10, 30, 83)
OTHER_DOMAINS = 7
OTHER_SIZE = 3
TICK_S = 0.1
WARM_S = 60.0
MEASURED_S = 60.0


class _Network:
    """Delivers messages without delay and measures the nodes of one domain.

    :ivar sent_bytes: sent by the nodes of the measured domain ``d0``
    :ivar sync_bytes: size of the largest full synchronization
    """

    def __init__(self, size: int) -> None:
        self.now_s = 100.0
        self._size = size
        self.sent_bytes = 0
        self.messages = 0
        self.cpu_s = 0.0
        self.sync_bytes = 0
        self._second = 0
        domains = {f'd0-{number}': 'd0' for number in range(size)}
        for domain in range(1, 1 + OTHER_DOMAINS):
            for number in range(OTHER_SIZE):
                domains[f'd{domain}-{number}'] = f'd{domain}'
        self._domains = domains
        self._decoders = {
            node: codec.Decoder(gossip.Message) for node in domains
        }
        listed = [_listed_vm(node, domain) for node, domain in domains.items()]
        self._states = {
            node: _state(node, domain, listed, self.now_s)
            for node, domain in domains.items()
        }

    def run(self, duration_s: float) -> None:
        """Simulate *duration_s* seconds."""
        steps = round(duration_s / TICK_S)
        for step in range(steps):
            self.now_s += TICK_S
            if step % round(1 / TICK_S) == 0:
                self._report()
            for node, state in self._states.items():
                start_s = time.process_time()
                sends = state.tick(self.now_s)
                self._add_cpu_time(node, start_s)
                self._deliver(node, sends)

    def reset_counts(self) -> None:
        """Reset the counts and the CPU time."""
        self.sent_bytes = self.messages = self.sync_bytes = 0
        self.cpu_s = 0.0

    def members_known(self) -> int:
        """Return how many members the first node of the domain knows."""
        return len(self._states['d0-0'].snapshot(self.now_s).members)

    def _report(self) -> None:
        self._second += 1
        for node, state in self._states.items():
            state.state.set_status(capacity_members.status(node, self._second))

    def _add_cpu_time(self, node: str, start_s: float) -> None:
        if self._domains[node] == 'd0':
            self.cpu_s += time.process_time() - start_s

    def _deliver(self, sender: str, sends: list[protocol_state.Send]) -> None:
        queue = [(sender, send) for send in sends]
        while queue:
            source, send = queue.pop(0)
            target = send.to.node
            start_s = time.process_time()
            raw = codec.encode(send.message)
            self._add_cpu_time(source, start_s)
            if self._domains[source] == 'd0':
                self.messages += 1
                self.sent_bytes += len(raw)
                if isinstance(send.message, gossip.Sync):
                    self.sync_bytes = max(self.sync_bytes, len(raw))
            start_s = time.process_time()
            (message,) = self._decoders[target].feed(raw)
            answers = self._states[target].receive(
                gossip.NodeAddress(source, f'{source}:1'), message, self.now_s
            )
            self._add_cpu_time(target, start_s)
            queue += [(target, answer) for answer in answers]


def _listed_vm(node: str, domain: str) -> member_table.ListedVm:
    return member_table.ListedVm(node, f'{node}:1', domain, 'perth')


def _state(
    node: str,
    domain: str,
    listed: list[member_table.ListedVm],
    now_s: float,
) -> membership.Membership:
    state = membership.Membership(
        node,
        1,
        gossip.Profile(
            '203.0.113.200:18001', domain, 'perth', ('203.0.113.200:18000',)
        ),
        random.Random(node),
    )
    state.observe_list(listed, now_s)
    return state


def measure() -> capacity_fit.Measurements:
    """Measure traffic and CPU time of a node by the size of its domain."""
    sent, messages, cores, syncs = [], [], [], []
    for size in SIZES:
        network = _Network(size)
        network.run(WARM_S)
        network.reset_counts()
        network.run(MEASURED_S)
        assert network.members_known() == size, 'the members have not met'
        share = 1 / (size * MEASURED_S)
        sent.append((size, network.sent_bytes * share))
        messages.append((size, network.messages * share))
        cores.append((size, network.cpu_s * share * 100))
        syncs.append((size, network.sync_bytes))
    members = 'members of the failure domain'
    return capacity_fit.Measurements(
        slopes={
            'membership_bytes_per_s': capacity_fit.fit(
                members, 'bytes sent a second by one node', sent
            ),
            'membership_messages_per_s': capacity_fit.fit(
                members, 'messages sent a second by one node', messages
            ),
            'membership_core_percent': capacity_fit.fit(
                members, '% of a core for the decisions and codec', cores
            ),
            'membership_sync_bytes': capacity_fit.fit(
                members, 'bytes of one whole exchange', syncs
            ),
        }
    )
