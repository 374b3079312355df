"""Asks a node process for its status, as operators do."""

import socket

from guavachute import outcome
from guavachute.wire import codec
from guavachute.wire import status
from guavachute.wire import tables

TIMEOUT_S = 5.0
RECEIVE_BYTES = 256 * 1024


def read_status(address: str) -> status.StatusReply | outcome.Failure:
    """The fleet as the node process at *address* sees it."""
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
