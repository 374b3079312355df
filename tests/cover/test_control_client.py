"""Calls over reused connections, and their cancellation."""

import unittest

from guavachute.entry import control_client
from guavachute.entry import loop as entry_loop
from guavachute.entry import plain_server
from guavachute import ids
from tests.support import looping

ANY_PORT = ids.Address('127.0.0.1:0')


def answer(request: plain_server.PlainRequest) -> plain_server.Reply:
    return plain_server.Reply(200, request.path.encode())


class ControlClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = entry_loop.Loop()
        self.server = plain_server.PlainServer(self.loop, ANY_PORT, answer)
        self.addCleanup(self.server.close)
        self.client = control_client.Client(self.loop, self.server.address)
        self.addCleanup(self.client.close)
        self.replies: list[
            control_client.Reply | control_client.CallFailure
        ] = []

    def call(self, target: bytes) -> control_client.Cancel:
        return self.client.call(
            b'GET', target, self.replies.append, timeout_s=5.0
        )

    def test_an_answer_comes_whole(self) -> None:
        self.call(b'/one')
        looping.run_until(self.loop, lambda: self.replies)
        self.assertEqual([control_client.Reply(200, b'/one')], self.replies)

    def test_a_call_that_is_given_up_tells_nobody(self) -> None:
        self.call(b'/one')()
        looping.run_for(self.loop, 0.05)
        self.assertEqual([], self.replies)

    def test_giving_up_an_ended_call_spares_the_next_one(self) -> None:
        cancel_first = self.call(b'/one')
        looping.run_until(self.loop, lambda: self.replies)
        self.call(b'/two')
        cancel_first()
        looping.run_until(self.loop, lambda: len(self.replies) == 2)
        self.assertEqual(control_client.Reply(200, b'/two'), self.replies[1])

    def test_a_closed_port_loses_the_call_unsent(self) -> None:
        self.server.close()
        self.call(b'/one')
        looping.run_until(self.loop, lambda: self.replies)
        self.assertEqual([control_client.CallFailure.NOT_SENT], self.replies)
