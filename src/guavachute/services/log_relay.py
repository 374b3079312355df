"""Serves the control stream to other nodes.

Only a few nodes of a region read the log over the billed link; the others
follow a relay, which may itself follow another relay. A relay sends what
its own follower has folded: recent records one by one, or the complete
state to a follower that is new or too far behind.
"""

import collections
import contextlib
import selectors
import socket
import typing

import msgspec

from guavachute.decide.control import control_reader
from guavachute.decide.members import peer_proof
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import task
from guavachute.observe import counters as counters_module
from guavachute import outcome
from guavachute.services import log_follower
from guavachute.services import peer_connection
from guavachute.wire import log_relay
from guavachute.wire import peer
from guavachute.wire import records

RECENT_RECORDS = 256
ALIVE_PERIOD_S = 1.0
MAX_FOLLOWERS = 256


class _Follower:
    """A connection of a follower and what was sent on it.

    :ivar through_offset: the last offset that the follower has or was
        sent; None until it has sent its ``Follow``
    """

    def __init__(self, connection: peer_connection.PeerConnection) -> None:
        self.connection = connection
        self.through_offset: ids.Offset | None = None


class LogRelay(task.Task):
    """Listens for followers of the control stream.

    :param identity: authenticates this node and its followers
    :param follower: its updates are relayed
    :ivar address: where it listens, ``IP:PORT``
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        identity: peer_connection.Identity,
        follower: log_follower.LogFollower,
        counters: counters_module.Counters,
    ) -> None:
        super().__init__(name)
        self._identity = identity
        self._follower = follower
        self._counters = counters
        self._listener = peer.listen(host, port)
        self.address = peer.address_of(self._listener)
        self._selector = selectors.DefaultSelector()
        self._followers: dict[socket.socket, _Follower] = {}
        self._state: records.ControlState | None = None
        self._log_contact_s = float('-inf')
        self._recent: collections.deque[control_reader.Folded] = (
            collections.deque(maxlen=RECENT_RECORDS)
        )
        self._next_alive_s = 0.0

    def run(self) -> None:
        """Serve until stopped."""
        self._follower.subscribe(self.mailbox)
        self._selector.register(self.mailbox.fileno(), selectors.EVENT_READ)
        self._selector.register(self._listener, selectors.EVENT_READ)
        while not self.stopping.is_set():
            for key, events in self._selector.select(ALIVE_PERIOD_S):
                self._handle_ready(key.fileobj, events)
            self._send_alive(clock.now_s())
        for follower in list(self._followers.values()):
            self._close(follower)
        self._listener.close()
        self._selector.close()

    def _handle_ready(self, ready: typing.Any, events: int) -> None:
        if ready is self._listener:
            self._accept()
        elif ready in self._followers:
            self._handle_io(self._followers[ready], events)
        else:
            for message in self.mailbox.drain():
                self._handle_message(message)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            peer_socket, _ = self._listener.accept()
            if len(self._followers) >= MAX_FOLLOWERS:
                self._counters.add('log_relay.full')
                peer_socket.close()
                return
            peer_socket.setblocking(False)
            peer_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = peer_connection.PeerConnection(
                peer_socket,
                self._identity,
                peer_proof.Role.ACCEPTOR,
                clock.now_s(),
                message_type=log_relay.AnyMessage,
            )
            self._followers[peer_socket] = _Follower(connection)
            self._selector.register(peer_socket, selectors.EVENT_READ)

    def _handle_io(self, follower: _Follower, events: int) -> None:
        if events & selectors.EVENT_READ:
            messages = follower.connection.read()
            if isinstance(messages, outcome.Failure):
                self._handle_read_failure(follower, messages)
                return
            for message in messages:
                if isinstance(message, log_relay.Follow):
                    follower.through_offset = message.through_offset
                    self._queue_missing(follower)
        self._flush(follower)

    def _handle_message(self, message: typing.Any) -> None:
        if isinstance(message, log_follower.ControlUpdate):
            self._log_contact_s = message.log_contact_s
            if not message.folded:
                self._recent.clear()
            self._recent.extend(message.folded)
            self._state = message.state
            for follower in list(self._followers.values()):
                self._queue_missing(follower)
                self._flush(follower)
        elif isinstance(message, log_follower.LogContact):
            self._log_contact_s = message.log_contact_s

    def _queue_missing(self, follower: _Follower) -> None:
        """Queue the records, or the state, that the follower lacks."""
        state = self._state
        through = follower.through_offset
        if state is None or through is None:
            return
        if through >= state.through_offset:
            return
        age_s = clock.now_s() - self._log_contact_s
        is_new = through == records.NO_OFFSET
        if not is_new and self._has_records_after(through):
            newer = [
                _relayed_record(f) for f in self._recent if f.offset > through
            ]
            follower.connection.send(
                log_relay.RelayRecords(ids.Offset(through + 1), newer, age_s)
            )
        else:
            self._counters.add('log_relay.whole_states')
            follower.connection.send(log_relay.RelayState(state, age_s))
        follower.through_offset = state.through_offset

    def _has_records_after(self, through_offset: ids.Offset) -> bool:
        return (
            bool(self._recent) and self._recent[0].offset <= through_offset + 1
        )

    def _send_alive(self, now_s: float) -> None:
        if now_s < self._next_alive_s:
            return
        self._next_alive_s = now_s + ALIVE_PERIOD_S
        self._counters.set('log_relay.followers', len(self._followers))
        for follower in list(self._followers.values()):
            if follower.connection.is_overdue(now_s):
                self._close(follower)
            elif (
                follower.through_offset is not None and self._state is not None
            ):
                alive = log_relay.RelayAlive(
                    self._state.through_offset, now_s - self._log_contact_s
                )
                follower.connection.send(alive)
                self._flush(follower)

    def _flush(self, follower: _Follower) -> None:
        before_bytes = follower.connection.sent_bytes
        failure = follower.connection.write()
        if failure is not None:
            self._close(follower)
            return
        sent_bytes = follower.connection.sent_bytes - before_bytes
        self._counters.add('log_relay.sent_bytes', sent_bytes)
        events = selectors.EVENT_READ
        if follower.connection.wants_to_write:
            events |= selectors.EVENT_WRITE
        self._selector.modify(follower.connection.socket, events)

    def _handle_read_failure(
        self, follower: _Follower, failure: outcome.Failure
    ) -> None:
        if failure.reason is outcome.Reason.UNAUTHENTICATED:
            self._counters.add('log_relay.refused_peers')
        self._close(follower)

    def _close(self, follower: _Follower) -> None:
        self._selector.unregister(follower.connection.socket)
        del self._followers[follower.connection.socket]
        follower.connection.socket.close()


def _relayed_record(folded: control_reader.Folded) -> typing.Any:
    """The record as it is relayed: snapshots without their state.

    A follower has already folded what a snapshot holds, and a new one is
    sent the state itself. In a large fleet snapshots would otherwise be
    most of the bytes that a relay sends.
    """
    if not isinstance(folded.record, records.Snapshot):
        return folded.raw
    through = folded.record.state.through_offset
    return msgspec.to_builtins(
        records.Snapshot(
            record_id=folded.record.record_id,
            state=records.ControlState(through_offset=through),
        )
    )
