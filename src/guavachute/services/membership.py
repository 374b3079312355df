"""The membership task: owns the listening socket and all peers' streams.

Other tasks send it the messages below and get a :class:`Changed` into
their mailboxes whenever the view changed.
"""

import contextlib
import dataclasses
import random
import selectors
import socket
import time
import typing

import msgspec

from guavachute.decide import member_news
from guavachute.decide import member_table
from guavachute.decide import membership
from guavachute.decide import peer_proof
from guavachute.decide import suspicion
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services import peer_connection
from guavachute.wire import gossip
from guavachute.wire import requests

_log = logs.logger('membership')

NAME = 'membership'

TICKS_PER_PERIOD = 10
VIEWS_PER_PERIOD = 2
IDLE_CLOSE_S = 300.0
"""Longer than a round of probes through the largest failure domain."""

UNPROVED_PEERS = 64
LISTEN_BACKLOG = 128
FLUSH_S = 0.5
"""For the news that this node leaves to go out before it closes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Send each new view to *mailbox*, the present one first."""

    mailbox: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class SetRouters:
    """The routers of this VM, and whether they still take new callers."""

    addresses: tuple[str, ...]
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SetStatus:
    """What this node reports; its node and sequence are filled in."""

    status: gossip.Status


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """The platform's list of entry VMs."""

    vms: tuple[member_table.ListedVm, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """To subscribers: who is there now."""

    view: membership.View


@dataclasses.dataclass(frozen=True, slots=True)
class TellCrash:
    """Tell all nodes at once of what a router here has found."""

    notice: requests.CrashNotice


@dataclasses.dataclass(frozen=True, slots=True)
class CrashHeard:
    """To subscribers: what a router elsewhere has found."""

    notice: requests.CrashNotice


@dataclasses.dataclass(frozen=True, slots=True)
class TellGrant:
    """Send a message on a suspect's attempts to the node *to*."""

    to: gossip.NodeAddress
    message: requests.Grant


@dataclasses.dataclass(frozen=True, slots=True)
class GrantHeard:
    """To subscribers: such a message came from the node *sender*."""

    sender: gossip.NodeAddress
    message: requests.Grant


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Who this node is and how it talks to its peers.

    :ivar host: the numeric IP to listen at; *port* 0 picks any
    :ivar keys: shared by all nodes; the first proves, any is accepted
    :ivar seeds: peers' addresses, for the time before the first list
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


class Membership(task.Task):
    """Takes part in the membership protocol for one node."""

    def __init__(
        self,
        configuration: Configuration,
        metrics: counters.Counters,
        name: str = NAME,
    ) -> None:
        super().__init__(name)
        self._identity = peer_connection.Identity(
            configuration.environment, configuration.node, configuration.keys
        )
        self._metrics = metrics
        self._listener = _listen(configuration.host, configuration.port)
        self.address = _address_of(self._listener)
        self._state = membership.Membership(
            configuration.node,
            # Grows from one process of a VM to the next; see the state's
            # docstring for the case that the clock was set back.
            time.time_ns() // 1_000_000,
            gossip.Profile(
                self.address,
                configuration.failure_domain,
                configuration.region,
            ),
            random.Random(),
            seeds=configuration.seeds,
            limits=configuration.limits,
        )
        self._tick_s = configuration.limits.probe_period_s / TICKS_PER_PERIOD
        self._view_s = configuration.limits.probe_period_s / VIEWS_PER_PERIOD
        self._selector = selectors.DefaultSelector()
        self._connections: set[peer_connection.PeerConnection] = set()
        self._by_node: dict[str, peer_connection.PeerConnection] = {}
        self._subscribers: list[mailbox.Mailbox] = []
        self._last_view: membership.View | None = None
        self._next_view_s = 0.0
        self._closed_sent_bytes = 0
        self._closed_received_bytes = 0

    def run(self) -> None:
        """Take part until told to stop, then say so and close."""
        with self._sockets():
            while not self.stopping.is_set():
                self._turn(self._tick_s)
            self._handle_mailbox()
            self._flush()

    def _turn(self, timeout_s: float) -> None:
        for key, mask in self._selector.select(timeout_s):
            if isinstance(key.data, peer_connection.PeerConnection):
                self._serve(key.data, mask)
            elif key.fileobj is self._listener:
                self._accept()
        self._handle_mailbox()
        now_s = time.monotonic()
        self._send_all(self._state.tick(now_s))
        self._close_overdue(now_s)
        self._publish(now_s)

    @contextlib.contextmanager
    def _sockets(self) -> typing.Iterator[None]:
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self.mailbox.fileno(), selectors.EVENT_READ)
        try:
            yield
        finally:
            for connection in list(self._connections):
                self._forget(connection)
            self._listener.close()
            self._selector.close()
            self.mailbox.close()

    # The mailbox.

    def _handle_mailbox(self) -> None:
        for message in self.mailbox.drain():
            self._handle(message)

    def _handle(self, message: mailbox.Message) -> None:
        match message:
            case Subscribe():
                self._subscribers.append(message.mailbox)
                if self._last_view is not None:
                    message.mailbox.send(Changed(self._last_view))
            case SetRouters():
                self._set_routers(message)
            case SetStatus():
                self._state.news.set_status(message.status)
            case TellCrash():
                self._tell_crash(message.notice)
            case TellGrant():
                wired = _wired_grant(message.message)
                self._send(member_news.Send(message.to, wired))
            case Listed():
                self._observe_list(message)
            case task.Stop():
                self._send_all(self._state.leave())
            case _:
                raise AssertionError(f'unexpected message {message!r}')

    def _set_routers(self, message: SetRouters) -> None:
        profile = gossip.Profile(
            self.address,
            self._state.news.failure_domain,
            self._state.news.profile.region,
            message.addresses,
            message.leaving,
        )
        self._state.news.set_profile(profile)

    def _observe_list(self, message: Listed) -> None:
        if not self._state.observe_list(message.vms, time.monotonic()):
            self._metrics.add('membership.list_not_trusted')

    def _publish(self, now_s: float) -> None:
        if now_s < self._next_view_s:
            return
        self._next_view_s = now_s + self._view_s
        self._count_bytes()
        view = self._state.view(now_s)
        if view == self._last_view:
            return
        self._log_changes(view)
        self._last_view = view
        self._metrics.set('membership.members', len(view.members))
        self._metrics.set('membership.domains', len(view.domains))
        for subscriber in self._subscribers:
            subscriber.send(Changed(view))

    def _count_bytes(self) -> None:
        sent_bytes = self._closed_sent_bytes + sum(
            connection.sent_bytes for connection in self._connections
        )
        received_bytes = self._closed_received_bytes + sum(
            connection.received_bytes for connection in self._connections
        )
        self._metrics.set('membership.sent_bytes', sent_bytes)
        self._metrics.set('membership.received_bytes', received_bytes)

    def _log_changes(self, view: membership.View) -> None:
        before = self._last_view.members if self._last_view else ()
        old = {member.node for member in before}
        new = {member.node for member in view.members}
        if old != new:
            _log.notice(
                'members: {} present, came {}, went {}',
                len(new),
                sorted(new - old),
                sorted(old - new),
            )

    # Sending.

    def _send_all(self, sends: list[member_news.Send]) -> None:
        for send in sends:
            self._send(send)

    def _send(self, send: member_news.Send) -> None:
        connection = self._by_node.get(send.to.node)
        if connection is not None and send.fresh:
            self._metrics.add('membership.redials')
            self._forget(connection)
            connection = None
        if connection is None:
            connection = self._dial(send.to)
        if connection is not None:
            self._metrics.add('membership.sent_messages')
            connection.send(send.message)
            self._watch(connection)

    def _dial(
        self, to: gossip.NodeAddress
    ) -> peer_connection.PeerConnection | None:
        if not to.address:
            # An answer to one whose connection is gone.
            return None
        host, _, port = to.address.rpartition(':')
        endpoint = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        endpoint.setblocking(False)
        endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        endpoint.connect_ex((host, int(port)))
        connection = self._add(
            endpoint, peer_proof.Role.DIALER, to.node, to.address
        )
        if to.node:
            self._by_node[to.node] = connection
        return connection

    # Connections.

    def _accept(self) -> None:
        try:
            endpoint, _ = self._listener.accept()
        except OSError:
            return
        unproved = sum(
            connection.stage is not peer_connection.Stage.READY
            for connection in self._connections
        )
        if unproved >= UNPROVED_PEERS:
            self._metrics.add('membership.refused')
            endpoint.close()
            return
        endpoint.setblocking(False)
        endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._add(endpoint, peer_proof.Role.ACCEPTOR)

    def _add(
        self,
        endpoint: socket.socket,
        role: peer_proof.Role,
        expected: str = '',
        address: str = '',
    ) -> peer_connection.PeerConnection:
        connection = peer_connection.PeerConnection(
            endpoint,
            self._identity,
            role,
            time.monotonic(),
            expected,
            address,
        )
        self._connections.add(connection)
        self._selector.register(
            endpoint, selectors.EVENT_READ | selectors.EVENT_WRITE, connection
        )
        return connection

    def _serve(
        self, connection: peer_connection.PeerConnection, mask: int
    ) -> None:
        if connection not in self._connections:
            # Forgotten while an earlier event of this turn was served.
            return
        if mask & selectors.EVENT_WRITE:
            failure = connection.write()
            if failure is not None:
                self._lose(connection, failure)
                return
        if mask & selectors.EVENT_READ:
            self._read(connection)
        self._watch(connection)

    def _read(self, connection: peer_connection.PeerConnection) -> None:
        was_ready = connection.stage is peer_connection.Stage.READY
        messages = connection.read()
        if isinstance(messages, outcome.Failure):
            self._lose(connection, messages)
            return
        if connection.stage is not peer_connection.Stage.READY:
            return
        if not was_ready:
            self._by_node[connection.peer] = connection
        now_s = time.monotonic()
        connection.used_s = now_s
        sender = gossip.NodeAddress(connection.peer, connection.address)
        for message in messages:
            if isinstance(message, gossip.Crash):
                self._hear_crash(message)
                continue
            if isinstance(message, gossip.Grant):
                heard = GrantHeard(sender, _grant_of(message))
                for subscriber in self._subscribers:
                    subscriber.send(heard)
                continue
            self._send_all(self._state.receive(sender, message, now_s))

    # Crashing requests: rare, urgent, and so told directly.

    def _tell_crash(self, notice: requests.CrashNotice) -> None:
        """Send *notice* to this domain and to one node of each other."""
        self._tell_domain(_crash_of(notice, pass_on=False))
        message = _crash_of(notice, pass_on=True)
        for digest in self._state.view(time.monotonic()).domains:
            for contact in digest.contacts[:1]:
                self._send(member_news.Send(contact, message))

    def _tell_domain(self, message: gossip.Crash) -> None:
        for member in self._state.news.table.present():
            self._send(member_news.Send(member.address, message))

    def _hear_crash(self, message: gossip.Crash) -> None:
        if message.pass_on:
            here = msgspec.structs.replace(message, pass_on=False)
            self._tell_domain(here)
        notice = requests.CrashNotice(
            fingerprint=message.fingerprint,
            crashes=message.crashes,
            cleared=message.cleared,
            refused=message.refused,
        )
        for subscriber in self._subscribers:
            subscriber.send(CrashHeard(notice))

    def _watch(self, connection: peer_connection.PeerConnection) -> None:
        if connection not in self._connections:
            return
        events = selectors.EVENT_READ
        if connection.wants_to_write:
            events |= selectors.EVENT_WRITE
        self._selector.modify(connection.socket, events, connection)

    def _lose(
        self,
        connection: peer_connection.PeerConnection,
        failure: outcome.Failure,
    ) -> None:
        self._forget(connection)
        if failure.reason is outcome.Reason.UNAUTHENTICATED:
            self._metrics.add('membership.refused')
            _log.debug('peer refused: {}', failure)
        if connection.peer:
            self._state.detector.connection_lost(connection.peer)
        elif connection.expected:
            self._metrics.add('membership.dials_failed')
            self._send_all(
                self._state.detector.dial_failed(connection.expected)
            )

    def _forget(self, connection: peer_connection.PeerConnection) -> None:
        self._connections.discard(connection)
        for node in (connection.peer, connection.expected):
            if self._by_node.get(node) is connection:
                del self._by_node[node]
        self._closed_sent_bytes += connection.sent_bytes
        self._closed_received_bytes += connection.received_bytes
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.socket)
        connection.socket.close()

    def _close_overdue(self, now_s: float) -> None:
        for connection in list(self._connections):
            if connection.is_overdue(now_s):
                failure = outcome.Failure(
                    outcome.Reason.UNAVAILABLE, 'handshake took too long'
                )
                self._lose(connection, failure)
            elif now_s - connection.used_s > IDLE_CLOSE_S:
                self._forget(connection)

    def _flush(self) -> None:
        end_s = time.monotonic() + FLUSH_S
        while time.monotonic() < end_s:
            unsent = [c for c in self._connections if c.wants_to_write]
            if not unsent:
                return
            for key, mask in self._selector.select(FLUSH_S / 10):
                if isinstance(key.data, peer_connection.PeerConnection):
                    self._serve(key.data, mask)


def _crash_of(notice: requests.CrashNotice, pass_on: bool) -> gossip.Crash:
    return gossip.Crash(
        notice.fingerprint,
        notice.crashes,
        notice.cleared,
        notice.refused,
        pass_on,
    )


def _wired_grant(message: requests.Grant) -> gossip.Grant:
    fingerprint, router = message.fingerprint, message.router
    match message:
        case requests.GrantAsk():
            return gossip.Grant('ask', fingerprint, router)
        case requests.GrantAnswer():
            return gossip.Grant('answer', fingerprint, router, message.granted)
        case requests.GrantRelease():
            return gossip.Grant('release', fingerprint, router)


def _grant_of(message: gossip.Grant) -> requests.Grant:
    fingerprint, router = message.fingerprint, message.router
    match message.kind:
        case 'ask':
            return requests.GrantAsk(fingerprint=fingerprint, router=router)
        case 'answer':
            return requests.GrantAnswer(
                fingerprint=fingerprint,
                router=router,
                granted=message.granted,
            )
        case 'release':
            return requests.GrantRelease(
                fingerprint=fingerprint, router=router
            )


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def _address_of(endpoint: socket.socket) -> str:
    host, port = endpoint.getsockname()
    return f'{host}:{port}'
