"""Client that requests a node process's status, for operators."""

import socket

from guavachute import outcome
from guavachute.wire import codec
from guavachute.wire import status
from guavachute.wire import tables

TIMEOUT_S = 5.0
RECEIVE_BYTES = 256 * 1024


def fetch_status(address: str) -> status.StatusReply | outcome.Failure:
    """Request the status of the fleet from the node process at *address*.

    The reply contains what that node knows of all nodes.

    :param address: ``IP:PORT`` of the node process's table server
    """
    host, _, port = address.rpartition(':')
    decoder = codec.Decoder(tables.Tables | status.StatusReply)
    try:
        with socket.create_connection((host, int(port)), TIMEOUT_S) as node:
            node.settimeout(TIMEOUT_S)
            node.sendall(codec.encode(status.StatusRequest()))
            while data := node.recv(RECEIVE_BYTES):
                messages = decoder.feed(data)
                if isinstance(messages, outcome.Failure):
                    return messages
                for message in messages:
                    if isinstance(message, status.StatusReply):
                        return message
    except OSError as error:
        return outcome.Failure(
            outcome.Reason.UNAVAILABLE, f'{address}: {error}'
        )
    return outcome.Failure(
        outcome.Reason.UNAVAILABLE, f'{address}: closed without an answer'
    )
