"""Handlers unregistered by an earlier one of an iteration don't run."""

import selectors
import socket
import unittest

from guavachute.services.relay import turn


class TurnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.addCleanup(self.selector.close)
        self.ran: list[int] = []

    def readable_socket(self) -> socket.socket:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        theirs.send(b'x')
        return ours

    def test_what_is_ready_is_run(self) -> None:
        for number in range(3):
            self.selector.register(
                self.readable_socket(),
                selectors.EVENT_READ,
                lambda events, number=number: self.ran.append(number),
            )
        turn.run_ready(self.selector, 5)
        self.assertEqual([0, 1, 2], sorted(self.ran))

    def test_what_an_earlier_handler_ended_is_left_out(self) -> None:
        ends = [self.readable_socket() for _ in range(2)]

        def end_all(events: int) -> None:
            self.ran.append(events)
            for one in ends:
                self.selector.unregister(one)

        for one in ends:
            self.selector.register(one, selectors.EVENT_READ, end_all)
        turn.run_ready(self.selector, 5)
        self.assertEqual(1, len(self.ran))

    def test_what_is_registered_again_waits_for_the_next_iteration(
        self,
    ) -> None:
        ends = [self.readable_socket() for _ in range(2)]

        def replace_all(events: int) -> None:
            self.ran.append(0)
            for one in ends:
                self.selector.modify(
                    one,
                    selectors.EVENT_READ,
                    lambda events: self.ran.append(1),
                )

        for one in ends:
            self.selector.register(one, selectors.EVENT_READ, replace_all)
        turn.run_ready(self.selector, 5)
        self.assertEqual([0], self.ran)
        turn.run_ready(self.selector, 5)
        self.assertEqual([0, 1, 1], self.ran)
