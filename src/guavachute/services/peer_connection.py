"""One connection to a peer: handshake, then a stream of messages.

The owner calls :meth:`PeerConnection.read` and
:meth:`PeerConnection.write` when its selector reports the socket; the
connection holds the buffers and the handshake's state. Until the peer has
proved that it holds the key, at most ``HANDSHAKE_LIMIT_BYTES`` are read
from it and none of its messages reach the owner.
"""

import collections
import dataclasses
import enum
import secrets
import socket
import typing

from guavachute.decide.members import peer_proof
from guavachute import outcome
from guavachute.wire import codec
from guavachute.wire import gossip

CHALLENGE_BYTES = 16
HANDSHAKE_LIMIT_BYTES = 1024
HANDSHAKE_TIMEOUT_S = 3.0
OUTGOING_LIMIT_BYTES = 1024 * 1024
"""Limit of the unsent bytes; beyond it messages are dropped."""

READ_BYTES = 64 * 1024


class Stage(enum.Enum):
    """The stage of the handshake."""

    CONNECTING = 'connecting'
    GREETING = 'greeting'
    PROVING = 'proving'
    READY = 'ready'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The names and keys with which a node authenticates to its peers.

    :ivar keys: the first one is used to prove this node's identity, any
        of them is accepted from a peer
    """

    environment: str
    node: str
    keys: tuple[bytes, ...]


class PeerConnection:
    """The buffers and the handshake of one connection.

    :param peer_socket: the connected or connecting non-blocking socket
    :param role: whether this side dialed
    :param started_s: now, by the owner's monotonic clock
    :param expected: the node that was dialed; empty if it isn't known
    :param address: the address that was dialed, ``IP:PORT``
    :param message_type: the union of messages that the peer may send,
        those of the handshake included
    :ivar peer: the peer's node; empty until the handshake is complete
    :ivar last_used_s: for the owner, who keeps it up to date
    """

    def __init__(
        self,
        peer_socket: socket.socket,
        identity: Identity,
        role: peer_proof.Role,
        started_s: float,
        expected: str = '',
        address: str = '',
        message_type: typing.Any = gossip.AnyMessage,
    ) -> None:
        self.socket = peer_socket
        self.role = role
        self.started_s = started_s
        self.last_used_s = started_s
        self.expected = expected
        self.address = address
        self.peer = ''
        self.sent_bytes = 0
        self.received_bytes = 0
        self._pending: collections.deque[typing.Any] = collections.deque()
        self._identity = identity
        self._hello = gossip.Hello(
            identity.environment,
            identity.node,
            secrets.token_hex(CHALLENGE_BYTES),
        )
        self._peer_hello: gossip.Hello | None = None
        self._decoder = codec.Decoder(message_type)
        self._outgoing = bytearray()
        dials = role is peer_proof.Role.DIALER
        self.stage = Stage.CONNECTING if dials else Stage.GREETING

    @property
    def wants_to_write(self) -> bool:
        """Whether the owner should wait for the socket to be writable."""
        return self.stage is Stage.CONNECTING or bool(self._outgoing)

    def is_overdue(self, now_s: float) -> bool:
        """Whether the handshake exceeds ``HANDSHAKE_TIMEOUT_S``."""
        waited_s = now_s - self.started_s
        return self.stage is not Stage.READY and (
            waited_s > HANDSHAKE_TIMEOUT_S
        )

    def send(self, message: typing.Any) -> None:
        """Queue *message*; it is sent once the handshake is complete.

        Dropped when ``OUTGOING_LIMIT_BYTES`` are unsent because the peer
        doesn't read; the protocol repeats its messages.
        """
        if self.stage is not Stage.READY:
            self._pending.append(message)
        elif len(self._outgoing) < OUTGOING_LIMIT_BYTES:
            self._write(message)

    def write(self) -> outcome.Failure | None:
        """Send queued bytes as far as the socket accepts them now."""
        if self.stage is Stage.CONNECTING:
            failure = self._finish_connect()
            if failure is not None:
                return failure
        if not self._outgoing:
            return None
        try:
            sent = self.socket.send(self._outgoing)
        except BlockingIOError:
            return None
        except OSError as error:
            return _unavailable(str(error))
        del self._outgoing[:sent]
        self.sent_bytes += sent
        return None

    def read(self) -> list[typing.Any] | outcome.Failure:
        """The messages that have arrived; none before the handshake's end.

        A failure means that the owner has to close the connection.
        """
        try:
            data = self.socket.recv(self._readable_bytes())
        except BlockingIOError:
            return []
        except OSError as error:
            return _unavailable(str(error))
        if not data:
            return _unavailable('closed by the peer')
        self.received_bytes += len(data)
        decoded = self._decoder.feed(data)
        if isinstance(decoded, outcome.Failure):
            return decoded
        messages = self._handle_messages(decoded)
        if not self._readable_bytes():
            return _rejected('the messages of the handshake are too long')
        return messages

    def _handle_messages(
        self, decoded: list[typing.Any]
    ) -> list[typing.Any] | outcome.Failure:
        messages = []
        for message in decoded:
            if isinstance(message, gossip.Hello | gossip.Proof):
                failure = self._handle_handshake(message)
                if failure is not None:
                    return failure
            elif self.stage is Stage.READY:
                messages.append(message)
            else:
                return _rejected('message before the end of the handshake')
        return messages

    def _readable_bytes(self) -> int:
        if self.stage is Stage.READY:
            return READ_BYTES
        return max(0, HANDSHAKE_LIMIT_BYTES - self.received_bytes)

    def _finish_connect(self) -> outcome.Failure | None:
        error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            return _unavailable(f'connection failed, errno {error}')
        self.stage = Stage.GREETING
        self._write(self._hello)
        return None

    def _handle_handshake(
        self, message: gossip.Hello | gossip.Proof
    ) -> outcome.Failure | None:
        if isinstance(message, gossip.Hello):
            return self._handle_hello(message)
        return self._handle_proof(message)

    def _handle_hello(self, hello: gossip.Hello) -> outcome.Failure | None:
        if self.stage is not Stage.GREETING:
            return _rejected('unexpected hello message')
        if hello.environment != self._identity.environment:
            return _rejected(
                f'peer belongs to environment {hello.environment!r}'
            )
        if self.expected not in ('', hello.node):
            # The platform gives the address of a VM that ended to another.
            return _rejected(f'address belongs to {hello.node!r} now')
        self._peer_hello = hello
        self.stage = Stage.PROVING
        if self.role is peer_proof.Role.DIALER:
            self._send_proof()
        else:
            self._write(self._hello)
        return None

    def _handle_proof(self, proof: gossip.Proof) -> outcome.Failure | None:
        if self.stage is not Stage.PROVING or self._peer_hello is None:
            return _rejected('proof message before the hello message')
        is_dialer = self.role is peer_proof.Role.DIALER
        peer_role = (
            peer_proof.Role.ACCEPTOR if is_dialer else peer_proof.Role.DIALER
        )
        if not peer_proof.is_valid(
            proof,
            self._identity.keys,
            peer_role,
            self._peer_hello,
            self._hello,
        ):
            return _rejected('peer does not hold a valid key')
        if not is_dialer:
            self._send_proof()
        self.peer = self._peer_hello.node
        self.stage = Stage.READY
        while self._pending:
            self._write(self._pending.popleft())
        return None

    def _send_proof(self) -> None:
        assert self._peer_hello is not None
        proof = peer_proof.prove(
            self._identity.keys[0], self.role, self._hello, self._peer_hello
        )
        self._write(proof)

    def _write(self, message: typing.Any) -> None:
        self._outgoing += codec.encode(message)


def _unavailable(detail: str) -> outcome.Failure:
    return outcome.Failure(outcome.Reason.UNAVAILABLE, detail)


def _rejected(detail: str) -> outcome.Failure:
    return outcome.Failure(outcome.Reason.UNAUTHENTICATED, detail)
