"""A caller that does not read blocks no others, and is closed in the end."""

import selectors
import socket
import types
import typing
import unittest

from guavachute.services.relay import callers
from guavachute.services.relay import downstream

SMALL_BYTES = 4096
MUCH = b'x' * 1_000_000


class CallersTest(unittest.TestCase):
    def setUp(self) -> None:
        ours, self.theirs = socket.socketpair()
        ours.setblocking(False)
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BYTES)
        self.addCleanup(ours.close)
        self.addCleanup(self.theirs.close)
        self.selector = selectors.DefaultSelector()
        self.addCleanup(self.selector.close)
        self.notices: list[str] = []
        self.callers = callers.Callers(
            self.selector,
            on_gone=lambda stream: self.notices.append('gone'),
            on_full=lambda stream: self.notices.append('full'),
            on_flushed=lambda stream: self.notices.append('flushed'),
        )
        connection: typing.Any = types.SimpleNamespace(socket=ours)
        caller = downstream.Downstream(connection, keeps_alive=True)
        # Only the caller's side of a stream is used here.
        self.stream: typing.Any = _Stream(caller)
        self.callers.add(self.stream)

    def turn(self) -> None:
        for key, events in self.selector.select(5):
            key.data(events)

    def test_writing_all_queued_data_is_reported(self) -> None:
        self.stream.caller.add(b'token')
        self.callers.flush(self.stream)
        self.assertEqual(['flushed'], self.notices)

    def test_a_caller_that_is_behind_gets_the_rest_when_it_reads(
        self,
    ) -> None:
        self.stream.caller.add(MUCH)
        self.callers.flush(self.stream)
        self.assertEqual(['full'], self.notices)
        got = b''
        self.theirs.settimeout(0.05)
        while 'flushed' not in self.notices:
            got += self.theirs.recv(100_000)
            self.turn()
        with self.assertRaises(TimeoutError):
            while True:
                got += self.theirs.recv(100_000)
        self.assertEqual(b'f4240\r\n' + MUCH + b'\r\n', got)

    def test_a_caller_that_stops_reading_is_given_up(self) -> None:
        self.stream.caller.add(MUCH)
        self.callers.flush(self.stream)
        self.callers.sweep(0.0)
        self.assertNotIn('gone', self.notices)
        self.callers.sweep(float('inf'))
        self.assertIn('gone', self.notices)
        self.assertTrue(self.stream.caller.gone)

    def test_a_caller_that_hangs_up_is_noticed(self) -> None:
        self.theirs.close()
        self.turn()
        self.assertEqual(['gone'], self.notices)


class _Stream:
    def __init__(self, caller: downstream.Downstream) -> None:
        self.caller = caller
