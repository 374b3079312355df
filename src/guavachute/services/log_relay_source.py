"""A source of the control stream that reads from a relay."""

import selectors
import socket
import typing

from guavachute.clients import log_source
from guavachute.decide.members import peer_proof
from guavachute import ids
from guavachute.kernel import clock
from guavachute import outcome
from guavachute.services import peer_connection
from guavachute.wire import log_relay
from guavachute.wire import records

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 3.5
"""More than three times the relay's ``ALIVE_PERIOD_S``: after this long
without a message the relay counts as failed."""


class RelaySource:
    """Follows the relay at *address*, ``IP:PORT``.

    Implements :class:`guavachute.clients.log_source.Source`.

    :param identity: authenticates this node and the relay
    """

    silence_timeout_s = SILENCE_TIMEOUT_S

    def __init__(
        self, address: str, identity: peer_connection.Identity
    ) -> None:
        self.name = f'relay {address}'
        self._address = address
        self._identity = identity
        self._connection: peer_connection.PeerConnection | None = None

    def begin(
        self, state: records.ControlState | None
    ) -> log_source.Events | outcome.Failure:
        """Connect, authenticate and request the records after *state*.

        Blocks until the handshake is complete or has failed.
        """
        through = records.NO_OFFSET if state is None else state.through_offset
        try:
            peer_socket = _connect(self._address)
        except OSError as error:
            return outcome.Failure(outcome.Reason.UNAVAILABLE, str(error))
        self._connection = peer_connection.PeerConnection(
            peer_socket,
            self._identity,
            peer_proof.Role.DIALER,
            clock.now_s(),
            address=self._address,
            message_type=log_relay.AnyMessage,
        )
        self._connection.send(log_relay.Follow(through))
        failure = self._complete_handshake(self._connection)
        if failure is not None:
            self.close()
            return failure
        return []

    def fileno(self) -> int:
        """The connection's file descriptor; valid after :meth:`begin`."""
        assert self._connection is not None, 'begin() was not called'
        return self._connection.socket.fileno()

    def receive(self) -> log_source.Events | outcome.Failure:
        """The events that the relay has sent."""
        assert self._connection is not None, 'begin() was not called'
        messages = self._connection.read()
        if isinstance(messages, outcome.Failure):
            return messages
        return [_decode_event(message) for message in messages]

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.socket.close()
            self._connection = None

    def _complete_handshake(
        self, connection: peer_connection.PeerConnection
    ) -> outcome.Failure | None:
        with selectors.DefaultSelector() as selector:
            selector.register(connection.socket, selectors.EVENT_READ)
            failure = connection.write()
            while failure is None:
                failure = connection.write()
                if connection.stage is peer_connection.Stage.READY:
                    return failure
                if connection.is_overdue(clock.now_s()):
                    break
                if not selector.select(CONNECT_TIMEOUT_S):
                    break
                # The relay sends only its handshake before it has received
                # the request, which the last write of this loop sends.
                messages = connection.read()
                if isinstance(messages, outcome.Failure):
                    return messages
        return failure or outcome.Failure(
            outcome.Reason.UNAVAILABLE, 'the handshake took too long'
        )


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    peer_socket = socket.create_connection(
        (host, int(port)), CONNECT_TIMEOUT_S
    )
    peer_socket.setblocking(False)
    peer_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return peer_socket


def _decode_event(message: typing.Any) -> log_source.Event:
    if isinstance(message, log_relay.RelayState):
        return log_source.StateReceived(message.state, message.log_age_s)
    if isinstance(message, log_relay.RelayRecords):
        entries = [
            records.Entry(ids.Offset(offset), record)
            for offset, record in enumerate(
                message.records, message.first_offset
            )
        ]
        return log_source.RecordsReceived(entries, message.log_age_s)
    return log_source.RecordsReceived([], message.log_age_s)
