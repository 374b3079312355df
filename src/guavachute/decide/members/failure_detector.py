"""Detects members that no longer answer.

One member is probed in each period. If it doesn't answer in time, it is
probed again on a new connection and other members are requested to probe
it too. It becomes a suspect only if all of these probes fail.
"""

import dataclasses
import random
import typing

from guavachute.decide.members import member_news
from guavachute.decide.members import member_table
from guavachute.decide.members import suspicion
from guavachute.wire import gossip

PAUSE_PERIODS = 3
"""Probe periods between two ticks from which on this process was paused."""

SEQUENCES = 2**31
"""The first sequence number is chosen at random below this."""

Sends = list[member_news.Send]


@dataclasses.dataclass(slots=True)
class _Probe:
    """A probe that hasn't been answered yet."""

    node: str
    sequence: int
    sent_s: float
    asked_others: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Relayed:
    """A probe sent on request of another member."""

    requester: gossip.NodeAddress
    sequence: int
    sent_s: float


class _Rounds:
    """Iterates over all members in random order, reshuffled each time.

    So each member is probed within a bounded time, and different nodes
    don't probe the same member at once.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._left: list[str] = []

    def next(self, nodes: typing.Collection[str]) -> str | None:
        """The next of *nodes* to probe; None if there are none."""
        while nodes:
            if not self._left:
                self._left = sorted(nodes)
                self._rng.shuffle(self._left)
            node = self._left.pop()
            if node in nodes:
                return node
        return None

    def hasten(self, node: str) -> None:
        """Probe *node* next, because there is a sign that it is gone."""
        self._left.append(node)


class FailureDetector:
    """Probes members and evaluates their answers.

    Its methods return the messages to send.
    """

    def __init__(self, news: member_news.News, rng: random.Random) -> None:
        self._news = news
        self._rng = rng
        self._rounds = _Rounds(rng)
        self._probe: _Probe | None = None
        self._relayed: dict[int, _Relayed] = {}
        # A random start keeps a restarted process from mistaking answers
        # to its predecessor's probes for answers to its own.
        self._sequence = rng.randrange(SEQUENCES)
        self._periods = 0
        self._last_tick_s: float | None = None

    def tick(self, now_s: float) -> Sends:
        """Evaluate the present probe and declare overdue suspects dead."""
        self._notice_pause(now_s)
        self._last_tick_s = now_s
        sends = self._judge(now_s)
        for member in self._news.table.overdue_suspects(now_s):
            self._news.declare(member, gossip.MemberState.DEAD, now_s)
        return sends

    def start_period(self, now_s: float) -> Sends:
        """Probe the next member and, in some periods, a dead one."""
        self._periods += 1
        self._forget_relayed(now_s)
        return self._probe_next(now_s) + self._probe_a_dead_one()

    def connection_lost(self, node: str) -> None:
        """Probe *node* next, because a connection to it ended."""
        member = self._news.table.get(node)
        if member is not None and suspicion.is_present(member.state):
            self._rounds.hasten(node)

    def dial_failed(self, node: str) -> Sends:
        """Request indirect probes if *node*, being probed, refused to connect.

        Does nothing if the present probe is of another node.
        """
        if self._probe is None or self._probe.node != node:
            return []
        member = self._news.table.get(node)
        if member is None or self._probe.asked_others:
            return []
        return self._ask_others(member, self._probe)

    def on_ping(
        self, sender: gossip.NodeAddress, ping: gossip.Ping, now_s: float
    ) -> Sends:
        """Answer a ping and refute a wrong belief about this node."""
        if ping.believed is not None:
            self._news.hear_of_me(ping.believed)
        self._news.take_in(ping.items, now_s)
        sends = self._correct(sender)
        ack = gossip.Ack(ping.sequence, self._news.queue.take())
        return [*sends, member_news.Send(sender, ack)]

    def on_ack(self, ack: gossip.Ack, now_s: float) -> Sends:
        """End the probe that *ack* answers, or pass it to the requester."""
        self._news.take_in(ack.items, now_s)
        if self._probe is not None and self._probe.sequence == ack.sequence:
            self._probe = None
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is None:
            return []
        answer = gossip.Ack(relayed.sequence, ack.items)
        return [member_news.Send(relayed.requester, answer)]

    def on_ping_request(
        self,
        sender: gossip.NodeAddress,
        request: gossip.PingRequest,
        now_s: float,
    ) -> Sends:
        """Ping the target on behalf of the sender."""
        self._news.take_in(request.items, now_s)
        sequence = self._next_sequence()
        self._relayed[sequence] = _Relayed(sender, request.sequence, now_s)
        ping = gossip.Ping(sequence, request.believed, self._news.queue.take())
        return [member_news.Send(request.target, ping)]

    def ping(
        self,
        member: member_table.Member,
        sequence: int,
        items: gossip.Items,
        *,
        fresh: bool = False,
    ) -> member_news.Send:
        """A ping that tells *member* what this node believes of it.

        :param fresh: send it on a new connection
        """
        ping = gossip.Ping(sequence, member.as_update(), items)
        return member_news.Send(member.address, ping, fresh)

    def unawaited_ping(
        self, member: member_table.Member, items: gossip.Items
    ) -> member_news.Send:
        """A ping that carries *items*; no answer is awaited."""
        return self.ping(member, self._next_sequence(), items)

    def _probe_next(self, now_s: float) -> Sends:
        if self._probe is not None:
            return []
        present = {m.node: m for m in self._news.table.present()}
        node = self._rounds.next(present)
        if node is None:
            return []
        self._probe = _Probe(node, self._next_sequence(), now_s)
        items = self._news.queue.take()
        return [self.ping(present[node], self._probe.sequence, items)]

    def _judge(self, now_s: float) -> Sends:
        probe = self._probe
        if probe is None:
            return []
        member = self._news.table.get(probe.node)
        if member is None or not suspicion.is_present(member.state):
            self._probe = None
            return []
        limits = self._news.limits
        waited_s = now_s - probe.sent_s
        if waited_s >= limits.probe_period_s:
            self._probe = None
            self._news.declare(member, gossip.MemberState.SUSPECT, now_s)
            return []
        if waited_s >= limits.direct_timeout_s and not probe.asked_others:
            # A connection can stop delivering while the peer is healthy,
            # so the direct probe is repeated on a new connection.
            again = self.ping(
                member, probe.sequence, gossip.Items(), fresh=True
            )
            return [again, *self._ask_others(member, probe)]
        return []

    def _ask_others(self, member: member_table.Member, probe: _Probe) -> Sends:
        probe.asked_others = True
        helpers = [
            other
            for other in self._news.table.present()
            if other.node != member.node
            and other.state is gossip.MemberState.ALIVE
        ]
        count = min(self._news.limits.indirect_peers, len(helpers))
        request = gossip.PingRequest(
            probe.sequence, member.address, member.as_update(), gossip.Items()
        )
        return [
            member_news.Send(helper.address, request)
            for helper in self._rng.sample(helpers, count)
        ]

    def _probe_a_dead_one(self) -> Sends:
        """Ping a member that is believed dead, in case it has returned.

        After a network partition, the members on each side believe those
        on the other side dead and would never contact them otherwise.
        """
        if self._periods % self._news.limits.dead_probe_periods:
            return []
        dead = [
            member
            for member in self._news.table.everyone()
            if member.state is gossip.MemberState.DEAD
            and member.profile is not None
        ]
        if not dead:
            return []
        member = self._rng.choice(dead)
        return [self.unawaited_ping(member, self._news.queue.take())]

    def _correct(self, sender: gossip.NodeAddress) -> Sends:
        """Let *sender* correct what this node believes of it.

        An unknown sender is requested to send its state. What is believed
        of one that isn't alive is passed on again, so that it can refute.
        """
        if self._news.table.is_dropped(sender.node):
            return []
        member = self._news.table.get(sender.node)
        if member is None:
            return [
                member_news.Send(sender, gossip.Sync(gossip.Items(), True))
            ]
        if member.state is not gossip.MemberState.ALIVE:
            self._news.repeat(member)
        return []

    def _notice_pause(self, now_s: float) -> None:
        if self._last_tick_s is None:
            return
        paused_s = now_s - self._last_tick_s
        if paused_s > PAUSE_PERIODS * self._news.limits.probe_period_s:
            # This process was paused, so answers may be waiting unread.
            self._probe = None
            self._news.table.restart_suspicions(now_s)

    def _forget_relayed(self, now_s: float) -> None:
        self._relayed = {
            sequence: relayed
            for sequence, relayed in self._relayed.items()
            if now_s - relayed.sent_s < self._news.limits.probe_period_s
        }

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
