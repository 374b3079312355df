"""The membership protocol of one node, without sockets or a clock.

The protocol follows SWIM. See ``failure_detector`` for the detection of
dead members, ``dissemination`` for the spreading of updates and
``domain_digest`` for the information sent to other failure domains. Each
method returns the messages to send. The present time, ``now_s``, comes
from the caller's monotonic clock.
"""

import dataclasses
import functools
import random
import typing

from guavachute.decide.members import domain_digest
from guavachute.decide.members import failure_detector
from guavachute.decide.members import member_table
from guavachute.decide.members import protocol_state
from guavachute.decide.members import suspicion
from guavachute.wire import gossip

LEAVE_PEERS = 5
"""Members to which a stopping node reports this directly."""

CONTACT_PROBABILITY = 0.75
"""How often a known contact is preferred to a listed VM of its domain.

Listed VMs are used as well because all known contacts may be gone.
"""

Sends = list[protocol_state.Send]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The members and domains that a node knows at one moment.

    :ivar node: this node
    :ivar members: present members of this failure domain, this node first
    :ivar domains: digests of the other domains that aren't stale
    """

    node: str
    failure_domain: str
    region: str
    members: tuple[domain_digest.ReportedMember, ...]
    domains: tuple[gossip.DomainDigest, ...]


class Membership:
    """The membership state of one node.

    :param incarnation: should be higher than in any earlier process of
        this node, such as the time of day in milliseconds; if it isn't,
        it is raised when other members report the earlier one
    :param seeds: addresses to contact while no members are known
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        profile: gossip.Profile,
        rng: random.Random,
        *,
        seeds: typing.Sequence[str] = (),
        limits: suspicion.Limits | None = None,
    ) -> None:
        self.limits = limits or suspicion.Limits()
        self.state = protocol_state.ProtocolState(
            node, incarnation, profile, self.limits
        )
        self.detector = failure_detector.FailureDetector(self.state, rng)
        self._rng = rng
        self._seeds = [gossip.NodeAddress('', seed) for seed in seeds]
        self._digest_sequence = 0
        self._last_routers: tuple[gossip.NodeAddress, ...] = ()
        self._next_domain = 0
        self._next_period_s = 0.0
        self._next_sync_s = 0.0

    def tick(self, now_s: float) -> Sends:
        """Perform due work; called several times per probe period."""
        sends = self.detector.tick(now_s)
        if now_s >= self._next_period_s:
            self._next_period_s = now_s + self.limits.probe_period_s
            sends += self._start_period(now_s)
        return sends

    def receive(
        self, sender: gossip.NodeAddress, message: gossip.Message, now_s: float
    ) -> Sends:
        """Handle *message* from an authenticated peer."""
        return _handle(message, self, sender, now_s)

    def observe_list(
        self, listed: typing.Iterable[member_table.ListedVm], now_s: float
    ) -> bool:
        """Apply the platform's list; returns False if it isn't trusted."""
        return self.state.table.observe_list(listed, now_s)

    def leave(self) -> Sends:
        """The messages that announce that this node stops.

        The caller sends them and then closes its connections.
        """
        present = self.state.table.present()
        recipients = self._rng.sample(present, min(LEAVE_PEERS, len(present)))
        departure = self.state.departure()
        return [
            self.detector.unawaited_ping(member, departure)
            for member in recipients
        ]

    def snapshot(self, now_s: float) -> Snapshot:
        """The present members and the domains with a fresh digest."""
        return Snapshot(
            self.state.node,
            self.state.failure_domain,
            self.state.profile.region,
            tuple(self.state.reported_members()),
            tuple(self.state.remote_domains.fresh(now_s)),
        )

    def handle_sync(
        self, sender: gossip.NodeAddress, sync: gossip.Sync, now_s: float
    ) -> Sends:
        """Merge the sender's full state; answer with ours if requested."""
        self.state.merge_items(sync.items, now_s)
        if not sync.wants_answer:
            return []
        answer = gossip.Sync(self.state.full_state(now_s), False)
        return [protocol_state.Send(sender, answer)]

    def handle_digest(
        self,
        sender: gossip.NodeAddress,
        exchange: gossip.DigestExchange,
        now_s: float,
    ) -> Sends:
        """Merge another domain's digest; answer with ours if requested."""
        self.state.merge_digest(exchange.digest, now_s)
        if not exchange.wants_answer:
            return []
        answer = gossip.DigestExchange(self._digest(), False)
        return [protocol_state.Send(sender, answer)]

    def _start_period(self, now_s: float) -> Sends:
        self.state.table.expire_tombstones(now_s)
        self.state.remote_domains.discard_stale(now_s)
        self.state.refresh_status(now_s)
        return [
            *self.detector.start_period(now_s),
            *self._contact_unknown_vm(now_s),
            *self._sync_random_member(now_s),
            *self._exchange_digests(),
        ]

    def _contact_unknown_vm(self, now_s: float) -> Sends:
        """Send this node's state to a VM that it knows only by address."""
        unknown = [
            gossip.NodeAddress(vm.node, vm.address)
            for vm in self.state.table.unknown_vms()
        ]
        if not unknown and not self.state.table.present():
            unknown = self._seeds
        if not unknown:
            return []
        sync = gossip.Sync(self.state.full_state(now_s), True)
        return [protocol_state.Send(self._rng.choice(unknown), sync)]

    def _sync_random_member(self, now_s: float) -> Sends:
        """Exchange states with a random member, to repair lost updates."""
        present = self.state.table.present()
        if now_s < self._next_sync_s or not present:
            return []
        # The jitter keeps nodes that started together from syncing at once.
        spread = 0.5 + self._rng.random()
        self._next_sync_s = now_s + self.limits.sync_period_s * spread
        sync = gossip.Sync(self.state.full_state(now_s), True)
        return [protocol_state.Send(self._rng.choice(present).address, sync)]

    def _exchange_digests(self) -> Sends:
        if not self._is_contact():
            return []
        peers = self._peers_in_other_domains()
        if not peers:
            return []
        digest = self._digest()
        exchange = gossip.DigestExchange(digest, True)
        if digest.routers != self._last_routers:
            # The routers changed, so all domains are informed at once.
            self._last_routers = digest.routers
            return [protocol_state.Send(peer, exchange) for peer in peers]
        self._next_domain += 1
        peer = peers[self._next_domain % len(peers)]
        return [protocol_state.Send(peer, exchange)]

    def _is_contact(self) -> bool:
        trusted = [
            m.node for m in self.state.reported_members() if not m.suspect
        ]
        contacts = domain_digest.contacts(self.state.failure_domain, trusted)
        return self.state.node in contacts

    def _peers_in_other_domains(self) -> list[gossip.NodeAddress]:
        """One random peer in each other failure domain."""
        listed = self.state.table.listed_in_other_domains()
        contacts = self.state.remote_domains.contacts()
        peers = []
        for name in sorted({*listed, *contacts}):
            candidates = contacts.get(name, [])
            prefers_contact = self._rng.random() < CONTACT_PROBABILITY
            if name in listed and not (candidates and prefers_contact):
                candidates = listed[name]
            if candidates:
                peers.append(self._rng.choice(candidates))
        return peers

    def _digest(self) -> gossip.DomainDigest:
        self._digest_sequence += 1
        return domain_digest.summarize(
            self.state.node,
            self.state.incarnation,
            self._digest_sequence,
            self.state.reported_members(),
        )


@functools.singledispatch
def _handle(
    message: gossip.Message,
    state: Membership,
    sender: gossip.NodeAddress,
    now_s: float,
) -> Sends:
    raise AssertionError(f'no handler for {message!r}')


@_handle.register
def _(
    message: gossip.Ping,
    state: Membership,
    sender: gossip.NodeAddress,
    now_s: float,
) -> Sends:
    return state.detector.handle_ping(sender, message, now_s)


@_handle.register
def _(
    message: gossip.Ack,
    state: Membership,
    sender: gossip.NodeAddress,
    now_s: float,
) -> Sends:
    return state.detector.handle_ack(message, now_s)


@_handle.register
def _(
    message: gossip.PingRequest,
    state: Membership,
    sender: gossip.NodeAddress,
    now_s: float,
) -> Sends:
    return state.detector.handle_ping_request(sender, message, now_s)


@_handle.register
def _(
    message: gossip.Sync,
    state: Membership,
    sender: gossip.NodeAddress,
    now_s: float,
) -> Sends:
    return state.handle_sync(sender, message, now_s)


@_handle.register
def _(
    message: gossip.DigestExchange,
    state: Membership,
    sender: gossip.NodeAddress,
    now_s: float,
) -> Sends:
    return state.handle_digest(sender, message, now_s)
