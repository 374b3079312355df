"""All connections of one node to its peers, in the owner's selector.

Methods return what happened on the connections as events, and the owner
reacts to them. A connection whose peer doesn't prove that it holds the key
never yields a message.
"""

import contextlib
import dataclasses
import selectors
import socket
import time

from guavachute.decide.members import peer_proof
from guavachute.decide.members import protocol_state
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services import peer_connection
from guavachute.wire import gossip
from guavachute.wire import peer

IDLE_CLOSE_S = 300.0
"""Longer than one round of probes through the largest failure domain,
so that probes reuse connections."""

MAX_UNAUTHENTICATED = 64
"""Connections whose handshake is under way; more are not accepted."""

_log = logs.logger('membership')


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message of an authenticated peer."""

    sender: gossip.NodeAddress
    message: gossip.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """An authenticated connection to *node* ended."""

    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class DialFailed:
    """*node* could not be reached, or did not authenticate as *node*."""

    node: str


Event = Received | ConnectionLost | DialFailed
Events = list[Event]


class PeerConnections:
    """Owns the listening socket and the sockets of all peers.

    :param host: the numeric IP to listen at
    :param port: 0 picks a free one
    :param selector: the owner's; the owner passes its events for a
        :class:`peer_connection.PeerConnection` to :meth:`handle_io`
    :ivar address: where it listens, ``IP:PORT``
    """

    def __init__(
        self,
        host: str,
        port: int,
        identity: peer_connection.Identity,
        selector: selectors.BaseSelector,
        metrics: counters.Counters,
    ) -> None:
        self.listener = peer.listen(host, port)
        self.address = peer.address_of(self.listener)
        self._identity = identity
        self._selector = selector
        self._metrics = metrics
        self._connections: set[peer_connection.PeerConnection] = set()
        self._by_node: dict[str, peer_connection.PeerConnection] = {}
        self._closed_sent_bytes = 0
        self._closed_received_bytes = 0

    @property
    def has_unsent(self) -> bool:
        """Whether a connection still has bytes to send."""
        return any(one.wants_to_write for one in self._connections)

    def accept(self) -> None:
        """Accept a connection, unless too many are in their handshake."""
        try:
            peer_socket, _ = self.listener.accept()
        except OSError:
            return
        unauthenticated = sum(
            connection.stage is not peer_connection.Stage.READY
            for connection in self._connections
        )
        if unauthenticated >= MAX_UNAUTHENTICATED:
            self._metrics.add('membership.refused')
            peer_socket.close()
            return
        peer_socket.setblocking(False)
        self._register(peer_socket, peer_proof.Role.ACCEPTOR)

    def send(self, send: protocol_state.Send) -> None:
        """Send on the open connection to the node, or on a new one."""
        connection = self._by_node.get(send.to.node)
        if connection is not None and send.fresh:
            self._metrics.add('membership.redials')
            self._close(connection)
            connection = None
        if connection is None:
            connection = self._connect(send.to)
        if connection is not None:
            self._metrics.add('membership.sent_messages')
            connection.send(send.message)
            self._update_events(connection)

    def handle_io(
        self, connection: peer_connection.PeerConnection, mask: int
    ) -> Events:
        """Read and write what the selector reported for *connection*."""
        if connection not in self._connections:
            # Closed while an earlier event of the same select was handled.
            return []
        events: Events = []
        if mask & selectors.EVENT_WRITE:
            failure = connection.write()
            if failure is not None:
                return self._handle_failure(connection, failure)
        if mask & selectors.EVENT_READ:
            events = self._read(connection)
        self._update_events(connection)
        return events

    def close_overdue(self, now_s: float) -> Events:
        """Close connections with overdue handshakes and idle ones."""
        events: Events = []
        for connection in list(self._connections):
            if connection.is_overdue(now_s):
                failure = outcome.Failure(
                    outcome.Reason.UNAVAILABLE, 'the handshake took too long'
                )
                events += self._handle_failure(connection, failure)
            elif now_s - connection.last_used_s > IDLE_CLOSE_S:
                self._close(connection)
        return events

    def publish_byte_counts(self) -> None:
        """Set the metrics of sent and received bytes."""
        sent_bytes = self._closed_sent_bytes + sum(
            connection.sent_bytes for connection in self._connections
        )
        received_bytes = self._closed_received_bytes + sum(
            connection.received_bytes for connection in self._connections
        )
        self._metrics.set('membership.sent_bytes', sent_bytes)
        self._metrics.set('membership.received_bytes', received_bytes)

    def close(self) -> None:
        """Close all connections and the listening socket."""
        for connection in list(self._connections):
            self._close(connection)
        self.listener.close()

    def _connect(
        self, to: gossip.NodeAddress
    ) -> peer_connection.PeerConnection | None:
        if not to.address:
            # A reply to a peer that dialed and whose connection ended.
            return None
        host, _, port = to.address.rpartition(':')
        peer_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        peer_socket.setblocking(False)
        peer_socket.connect_ex((host, int(port)))
        connection = self._register(peer_socket, peer_proof.Role.DIALER, to)
        if to.node:
            self._by_node[to.node] = connection
        return connection

    def _register(
        self,
        peer_socket: socket.socket,
        role: peer_proof.Role,
        to: gossip.NodeAddress | None = None,
    ) -> peer_connection.PeerConnection:
        peer_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = peer_connection.PeerConnection(
            peer_socket,
            self._identity,
            role,
            time.monotonic(),
            to.node if to is not None else '',
            to.address if to is not None else '',
        )
        self._connections.add(connection)
        self._selector.register(
            peer_socket,
            selectors.EVENT_READ | selectors.EVENT_WRITE,
            connection,
        )
        return connection

    def _read(self, connection: peer_connection.PeerConnection) -> Events:
        was_ready = connection.stage is peer_connection.Stage.READY
        messages = connection.read()
        if isinstance(messages, outcome.Failure):
            return self._handle_failure(connection, messages)
        if connection.stage is not peer_connection.Stage.READY:
            return []
        if not was_ready:
            self._by_node[connection.peer] = connection
        connection.last_used_s = time.monotonic()
        sender = gossip.NodeAddress(connection.peer, connection.address)
        return [Received(sender, message) for message in messages]

    def _update_events(
        self, connection: peer_connection.PeerConnection
    ) -> None:
        if connection not in self._connections:
            return
        events = selectors.EVENT_READ
        if connection.wants_to_write:
            events |= selectors.EVENT_WRITE
        self._selector.modify(connection.socket, events, connection)

    def _handle_failure(
        self,
        connection: peer_connection.PeerConnection,
        failure: outcome.Failure,
    ) -> Events:
        self._close(connection)
        if failure.reason is outcome.Reason.UNAUTHENTICATED:
            self._metrics.add('membership.refused')
            _log.debug('rejected a peer: {}', failure)
        if connection.peer:
            return [ConnectionLost(connection.peer)]
        if connection.expected:
            self._metrics.add('membership.dials_failed')
            return [DialFailed(connection.expected)]
        return []

    def _close(self, connection: peer_connection.PeerConnection) -> None:
        self._connections.discard(connection)
        for node in (connection.peer, connection.expected):
            if self._by_node.get(node) is connection:
                del self._by_node[node]
        self._closed_sent_bytes += connection.sent_bytes
        self._closed_received_bytes += connection.received_bytes
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.socket)
        connection.socket.close()
