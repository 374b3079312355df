"""Detects members that no longer answer.

One member is probed in each period. If it doesn't answer in time, it is
probed again on a new connection and other members are requested to probe
it too. It becomes a suspect only if all of these probes fail.
"""

import dataclasses
import random
import typing

from guavachute.decide.members import member_table
from guavachute.decide.members import protocol_state
from guavachute.decide.members import suspicion
from guavachute.wire import gossip

PAUSE_PERIODS = 3
"""Probe periods between two ticks from which on this process was paused."""

SEQUENCES = 2**31
"""The first sequence number is chosen at random below this."""

Sends = list[protocol_state.Send]


@dataclasses.dataclass(slots=True)
class _Probe:
    """A probe that hasn't been answered yet."""

    node: str
    sequence: int
    sent_s: float
    indirect_requested: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Relayed:
    """A probe sent on request of another member."""

    requester: gossip.NodeAddress
    sequence: int
    sent_s: float


class _ProbeOrder:
    """Iterates over all members in random order, reshuffled each time.

    So each member is probed within a bounded time, and different nodes
    don't probe the same member at once.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._remaining: list[str] = []

    def next(self, nodes: typing.Collection[str]) -> str | None:
        """The next of *nodes* to probe; None if there are none."""
        while nodes:
            if not self._remaining:
                self._remaining = sorted(nodes)
                self._rng.shuffle(self._remaining)
            node = self._remaining.pop()
            if node in nodes:
                return node
        return None

    def prioritize(self, node: str) -> None:
        """Probe *node* next, because there is a sign that it is gone."""
        self._remaining.append(node)


class FailureDetector:
    """Probes members and evaluates their answers.

    Its methods return the messages to send.
    """

    def __init__(
        self, state: protocol_state.ProtocolState, rng: random.Random
    ) -> None:
        self._state = state
        self._rng = rng
        self._probe_order = _ProbeOrder(rng)
        self._probe: _Probe | None = None
        self._relayed: dict[int, _Relayed] = {}
        # A random start keeps a restarted process from mistaking answers
        # to its predecessor's probes for answers to its own.
        self._sequence = rng.randrange(SEQUENCES)
        self._periods = 0
        self._last_tick_s: float | None = None

    def tick(self, now_s: float) -> Sends:
        """Evaluate the present probe and declare overdue suspects dead."""
        self._detect_pause(now_s)
        self._last_tick_s = now_s
        sends = self._evaluate_probe(now_s)
        for member in self._state.table.overdue_suspects(now_s):
            self._state.declare(member, gossip.MemberState.DEAD, now_s)
        return sends

    def start_period(self, now_s: float) -> Sends:
        """Probe the next member and, in some periods, a dead one."""
        self._periods += 1
        self._expire_relayed(now_s)
        return self._probe_next(now_s) + self._ping_dead_member()

    def handle_connection_lost(self, node: str) -> None:
        """Probe *node* next, because a connection to it ended."""
        member = self._state.table.get(node)
        if member is not None and suspicion.is_present(member.state):
            self._probe_order.prioritize(node)

    def handle_dial_failure(self, node: str) -> Sends:
        """Request indirect probes if *node*, being probed, refused to connect.

        Does nothing if the present probe is of another node.
        """
        if self._probe is None or self._probe.node != node:
            return []
        member = self._state.table.get(node)
        if member is None or self._probe.indirect_requested:
            return []
        return self._request_indirect_probes(member, self._probe)

    def handle_ping(
        self, sender: gossip.NodeAddress, ping: gossip.Ping, now_s: float
    ) -> Sends:
        """Answer a ping and refute a wrong belief about this node."""
        if ping.believed is not None:
            self._state.refute(ping.believed)
        self._state.merge_items(ping.items, now_s)
        sends = self._request_correction(sender)
        ack = gossip.Ack(ping.sequence, self._state.queue.next_items())
        return [*sends, protocol_state.Send(sender, ack)]

    def handle_ack(self, ack: gossip.Ack, now_s: float) -> Sends:
        """End the probe that *ack* answers, or pass it to the requester."""
        self._state.merge_items(ack.items, now_s)
        if self._probe is not None and self._probe.sequence == ack.sequence:
            self._probe = None
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is None:
            return []
        answer = gossip.Ack(relayed.sequence, ack.items)
        return [protocol_state.Send(relayed.requester, answer)]

    def handle_ping_request(
        self,
        sender: gossip.NodeAddress,
        request: gossip.PingRequest,
        now_s: float,
    ) -> Sends:
        """Ping the target on behalf of the sender."""
        self._state.merge_items(request.items, now_s)
        sequence = self._next_sequence()
        self._relayed[sequence] = _Relayed(sender, request.sequence, now_s)
        ping = gossip.Ping(
            sequence, request.believed, self._state.queue.next_items()
        )
        return [protocol_state.Send(request.target, ping)]

    def ping(
        self,
        member: member_table.Member,
        sequence: int,
        items: gossip.Items,
        *,
        fresh: bool = False,
    ) -> protocol_state.Send:
        """A ping that informs *member* of what this node believes of it.

        :param fresh: send it on a new connection
        """
        ping = gossip.Ping(sequence, member.as_update(), items)
        return protocol_state.Send(member.address, ping, fresh)

    def unawaited_ping(
        self, member: member_table.Member, items: gossip.Items
    ) -> protocol_state.Send:
        """A ping that carries *items*; no answer is awaited."""
        return self.ping(member, self._next_sequence(), items)

    def _probe_next(self, now_s: float) -> Sends:
        if self._probe is not None:
            return []
        present = {m.node: m for m in self._state.table.present()}
        node = self._probe_order.next(present)
        if node is None:
            return []
        self._probe = _Probe(node, self._next_sequence(), now_s)
        items = self._state.queue.next_items()
        return [self.ping(present[node], self._probe.sequence, items)]

    def _evaluate_probe(self, now_s: float) -> Sends:
        probe = self._probe
        if probe is None:
            return []
        member = self._state.table.get(probe.node)
        if member is None or not suspicion.is_present(member.state):
            self._probe = None
            return []
        limits = self._state.limits
        waited_s = now_s - probe.sent_s
        if waited_s >= limits.probe_period_s:
            self._probe = None
            self._state.declare(member, gossip.MemberState.SUSPECT, now_s)
            return []
        if (
            waited_s >= limits.direct_timeout_s
            and not probe.indirect_requested
        ):
            # A connection can stop delivering while the peer is healthy,
            # so the direct probe is repeated on a new connection.
            again = self.ping(
                member, probe.sequence, gossip.Items(), fresh=True
            )
            return [again, *self._request_indirect_probes(member, probe)]
        return []

    def _request_indirect_probes(
        self, member: member_table.Member, probe: _Probe
    ) -> Sends:
        probe.indirect_requested = True
        helpers = [
            other
            for other in self._state.table.present()
            if other.node != member.node
            and other.state is gossip.MemberState.ALIVE
        ]
        count = min(self._state.limits.indirect_peers, len(helpers))
        request = gossip.PingRequest(
            probe.sequence, member.address, member.as_update(), gossip.Items()
        )
        return [
            protocol_state.Send(helper.address, request)
            for helper in self._rng.sample(helpers, count)
        ]

    def _ping_dead_member(self) -> Sends:
        """Ping a member that is believed dead, in case it has returned.

        After a network partition, the members on each side believe those
        on the other side dead and would never contact them otherwise.
        """
        if self._periods % self._state.limits.dead_probe_periods:
            return []
        dead = [
            member
            for member in self._state.table.all_members()
            if member.state is gossip.MemberState.DEAD
            and member.profile is not None
        ]
        if not dead:
            return []
        member = self._rng.choice(dead)
        return [self.unawaited_ping(member, self._state.queue.next_items())]

    def _request_correction(self, sender: gossip.NodeAddress) -> Sends:
        """Let *sender* correct what this node believes of it.

        An unknown sender is requested to send its state. What is believed
        of one that isn't alive is passed on again, so that it can refute.
        """
        if self._state.table.is_dropped(sender.node):
            return []
        member = self._state.table.get(sender.node)
        if member is None:
            return [
                protocol_state.Send(sender, gossip.Sync(gossip.Items(), True))
            ]
        if member.state is not gossip.MemberState.ALIVE:
            self._state.requeue(member)
        return []

    def _detect_pause(self, now_s: float) -> None:
        if self._last_tick_s is None:
            return
        paused_s = now_s - self._last_tick_s
        if paused_s > PAUSE_PERIODS * self._state.limits.probe_period_s:
            # This process was paused, so answers may be waiting unread.
            self._probe = None
            self._state.table.restart_suspicions(now_s)

    def _expire_relayed(self, now_s: float) -> None:
        self._relayed = {
            sequence: relayed
            for sequence, relayed in self._relayed.items()
            if now_s - relayed.sent_s < self._state.limits.probe_period_s
        }

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
