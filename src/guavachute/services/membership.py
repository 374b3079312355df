"""Runs the membership protocol of one node over sockets.

Other tasks send it the messages below. Subscribers receive a
:class:`MembershipChanged` whenever the members or domains have changed.
"""

import contextlib
import dataclasses
import random
import selectors
import time
import typing

import msgspec

from guavachute.decide.members import member_table
from guavachute.decide.members import membership
from guavachute.decide.members import protocol_state
from guavachute.decide.members import suspicion
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute.services import crash_gossip
from guavachute.services import peer_connection
from guavachute.services import peer_connections
from guavachute.wire import gossip
from guavachute.wire import requests

_log = logs.logger('membership')

NAME = 'membership'

TICKS_PER_PERIOD = 10
SNAPSHOTS_PER_PERIOD = 2
FLUSH_TIMEOUT_S = 0.5
"""Time limit for announcing at the stop that this node leaves."""


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Sends each new snapshot to *mailbox*, the current one first."""

    mailbox: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class SetRouters:
    """Sets the routers of this VM.

    :ivar leaving: whether they accept no new callers any more
    """

    addresses: tuple[str, ...]
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SetStatus:
    """Sets the status that this node reports to its peers.

    Its node, incarnation and sequence are filled in by the membership.
    """

    status: gossip.Status


@dataclasses.dataclass(frozen=True, slots=True)
class SetListedVms:
    """Passes on the platform's list of entry VMs."""

    vms: tuple[member_table.ListedVm, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipChanged:
    """To subscribers: the members and domains known now."""

    snapshot: membership.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastCrash:
    """Sends a local router's crash notice to all nodes at once."""

    notice: requests.CrashNotice


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReceived:
    """To subscribers: a crash notice of another node's router."""

    notice: requests.CrashNotice


@dataclasses.dataclass(frozen=True, slots=True)
class SendGrant:
    """Sends a message about a suspect's attempts to the node *to*."""

    to: gossip.NodeAddress
    message: requests.Grant


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReceived:
    """To subscribers: a message about a suspect's attempts."""

    sender: gossip.NodeAddress
    message: requests.Grant


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The identity of this node and how it connects to its peers.

    :ivar host: the numeric IP to listen at
    :ivar port: 0 picks a free one
    :ivar keys: shared by all nodes; the first one is used to prove this
        node's identity, any of them is accepted from a peer
    :ivar seeds: addresses of peers, used before the first VM list
    :ivar relay: ``IP:PORT`` of this node's log relay; empty for none
    """

    environment: str
    node: str
    host: str
    port: int
    failure_domain: str
    region: str
    keys: tuple[bytes, ...]
    seeds: tuple[str, ...] = ()
    limits: suspicion.Limits = suspicion.Limits()
    relay: str = ''


class Membership(task.Task):
    """Takes part in the membership protocol for one node.

    :ivar address: where peers connect, ``IP:PORT``
    """

    def __init__(
        self,
        configuration: Configuration,
        metrics: counters.Counters,
        name: str = NAME,
    ) -> None:
        super().__init__(name)
        self._metrics = metrics
        self._selector = selectors.DefaultSelector()
        self._peers = peer_connections.PeerConnections(
            configuration.host,
            configuration.port,
            peer_connection.Identity(
                configuration.environment,
                configuration.node,
                configuration.keys,
            ),
            self._selector,
            metrics,
        )
        self.address = self._peers.address
        self._state = membership.Membership(
            configuration.node,
            # The incarnation grows from one process of a VM to the next;
            # the docstring of Membership covers a clock that was set back.
            time.time_ns() // 1_000_000,
            gossip.Profile(
                self.address,
                configuration.failure_domain,
                configuration.region,
                relay=configuration.relay,
            ),
            random.Random(),
            seeds=configuration.seeds,
            limits=configuration.limits,
        )
        self._tick_s = configuration.limits.probe_period_s / TICKS_PER_PERIOD
        self._snapshot_interval_s = (
            configuration.limits.probe_period_s / SNAPSHOTS_PER_PERIOD
        )
        self._subscribers: list[mailbox.Mailbox] = []
        self._last_snapshot: membership.Snapshot | None = None
        self._next_snapshot_s = 0.0

    def run(self) -> None:
        """Take part until stopped, then announce the departure and close."""
        with self._sockets():
            while not self.stopping.is_set():
                self._run_once(self._tick_s)
            self._handle_mailbox()
            self._flush()

    def _run_once(self, timeout_s: float) -> None:
        for key, mask in self._selector.select(timeout_s):
            if isinstance(key.data, peer_connection.PeerConnection):
                self._handle_events(self._peers.handle_io(key.data, mask))
            elif key.fileobj is self._peers.listener:
                self._peers.accept()
        self._handle_mailbox()
        now_s = time.monotonic()
        self._send_all(self._state.tick(now_s))
        self._handle_events(self._peers.close_overdue(now_s))
        self._publish_snapshot(now_s)

    @contextlib.contextmanager
    def _sockets(self) -> typing.Iterator[None]:
        self._selector.register(self._peers.listener, selectors.EVENT_READ)
        self._selector.register(self.mailbox.fileno(), selectors.EVENT_READ)
        try:
            yield
        finally:
            self._peers.close()
            self._selector.close()
            self.mailbox.close()

    # Messages of other tasks.

    def _handle_mailbox(self) -> None:
        for message in self.mailbox.drain():
            self._handle(message)

    def _handle(self, message: mailbox.Message) -> None:
        match message:
            case Subscribe():
                self._subscribers.append(message.mailbox)
                if self._last_snapshot is not None:
                    message.mailbox.send(
                        MembershipChanged(self._last_snapshot)
                    )
            case SetRouters():
                self._set_routers(message)
            case SetStatus():
                self._state.state.set_status(message.status)
            case BroadcastCrash():
                self._broadcast_crash(message.notice)
            case SendGrant():
                encoded = crash_gossip.encode_grant(message.message)
                self._peers.send(protocol_state.Send(message.to, encoded))
            case SetListedVms():
                self._apply_list(message)
            case task.Stop():
                self._send_all(self._state.leave())
            case _:
                raise AssertionError(f'unexpected message {message!r}')

    def _set_routers(self, message: SetRouters) -> None:
        profile = msgspec.structs.replace(
            self._state.state.profile,
            routers=message.addresses,
            leaving=message.leaving,
        )
        self._state.state.set_profile(profile)

    def _apply_list(self, message: SetListedVms) -> None:
        if not self._state.observe_list(message.vms, time.monotonic()):
            self._metrics.add('membership.list_not_trusted')

    def _publish_snapshot(self, now_s: float) -> None:
        if now_s < self._next_snapshot_s:
            return
        self._next_snapshot_s = now_s + self._snapshot_interval_s
        self._peers.publish_byte_counts()
        snapshot = self._state.snapshot(now_s)
        if snapshot == self._last_snapshot:
            return
        self._log_changes(snapshot)
        self._last_snapshot = snapshot
        self._metrics.set('membership.members', len(snapshot.members))
        self._metrics.set('membership.domains', len(snapshot.domains))
        self._publish_to_subscribers(MembershipChanged(snapshot))

    def _log_changes(self, snapshot: membership.Snapshot) -> None:
        before = self._last_snapshot.members if self._last_snapshot else ()
        old = {member.node for member in before}
        new = {member.node for member in snapshot.members}
        if old != new:
            _log.notice(
                'members: {} present, joined {}, left {}',
                len(new),
                sorted(new - old),
                sorted(old - new),
            )

    # Messages to and from peers.

    def _send_all(self, sends: list[protocol_state.Send]) -> None:
        for send in sends:
            self._peers.send(send)

    def _handle_events(self, events: peer_connections.Events) -> None:
        for event in events:
            self._handle_event(event)

    def _handle_event(self, event: peer_connections.Event) -> None:
        match event:
            case peer_connections.Received():
                self._handle_peer_message(event.sender, event.message)
            case peer_connections.ConnectionLost():
                self._state.detector.handle_connection_lost(event.node)
            case peer_connections.DialFailed():
                self._send_all(
                    self._state.detector.handle_dial_failure(event.node)
                )

    def _handle_peer_message(
        self, sender: gossip.NodeAddress, message: gossip.Message
    ) -> None:
        if isinstance(message, gossip.Crash):
            self._handle_crash(message)
        elif isinstance(message, gossip.Grant):
            self._publish_to_subscribers(
                GrantReceived(sender, crash_gossip.decode_grant(message))
            )
        else:
            now_s = time.monotonic()
            self._send_all(self._state.receive(sender, message, now_s))

    # Crash notices are rare and urgent, so they are sent directly and not
    # piggybacked on the protocol's periodic messages.

    def _broadcast_crash(self, notice: requests.CrashNotice) -> None:
        """Send *notice* to this domain and to one node of each other domain.

        That node passes it on within its domain.
        """
        self._send_to_domain(crash_gossip.encode_crash(notice, pass_on=False))
        message = crash_gossip.encode_crash(notice, pass_on=True)
        for digest in self._state.snapshot(time.monotonic()).domains:
            for contact in digest.contacts[:1]:
                self._peers.send(protocol_state.Send(contact, message))

    def _send_to_domain(self, message: gossip.Crash) -> None:
        for member in self._state.state.table.present():
            self._peers.send(protocol_state.Send(member.address, message))

    def _handle_crash(self, message: gossip.Crash) -> None:
        if message.pass_on:
            here = msgspec.structs.replace(message, pass_on=False)
            self._send_to_domain(here)
        self._publish_to_subscribers(
            CrashReceived(crash_gossip.decode_crash(message))
        )

    def _publish_to_subscribers(self, message: mailbox.Message) -> None:
        for subscriber in self._subscribers:
            subscriber.send(message)

    def _flush(self) -> None:
        end_s = time.monotonic() + FLUSH_TIMEOUT_S
        while time.monotonic() < end_s:
            if not self._peers.has_unsent:
                return
            for key, mask in self._selector.select(FLUSH_TIMEOUT_S / 10):
                if isinstance(key.data, peer_connection.PeerConnection):
                    self._handle_events(self._peers.handle_io(key.data, mask))
