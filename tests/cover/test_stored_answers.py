"""Answers of orders that wait to be sent when their router stops."""

import socket
import unittest

from guavachute import ids
from guavachute.observe import counters
from guavachute.services import claim_client
from guavachute.services import order_claims
from guavachute.wire import claims
from guavachute.wire import order_records
from guavachute.wire import peer
from tests.support import hosting

ANSWERS = 20
BODY = b'x' * 500_000
TIMEOUT_S = 5.0


class StoredAnswersTest(unittest.TestCase):
    # Guards against the answer of an order that is lost with its router, so
    # that the next caller with its key gets `unknown`.
    def test_answers_are_sent_before_the_end(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            client = hosting.host(
                self, claim_client.ClaimClient(counters.Counters())
            )
            address = peer.address_of(listener)
            client.mailbox.send(claim_client.UseCommitter(address))
            connection, _ = listener.accept()
        committer = peer.Peer(connection, claims.FromRouter)
        self.addCleanup(committer.close)
        for number in range(ANSWERS):
            answer = order_records.OrderAnswer(
                key_digest=f'key-{number}',
                attempt_id=ids.AttemptId(f'attempt-{number}'),
                status=200,
                headers={},
                body=BODY,
            )
            client.mailbox.send(order_claims.StoreAnswer(answer))
        client.request_stop()
        connection.settimeout(TIMEOUT_S)
        received = 0
        while committer.failure is None:
            received += len(committer.receive())
        self.assertEqual(ANSWERS, received)
