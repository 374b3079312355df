"""A connection between two requests ends without an answer."""

import socket
import unittest

from guavachute.domain import configuration
from guavachute.entry import callers
from guavachute.entry import http1
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from tests.support import looping

BODY = b'a' * 40 * callers.MAX_UNSENT_BYTES


class _Handler:
    limits = configuration.CallerLimits(idle_timeout_s=0.5)
    is_stopping = False

    def begin(
        self, caller: callers.CallerConnection, request: http1.Request
    ) -> None:
        caller.answer(200, [], BODY)


class IdleCallersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = loop = entry_loop.Loop()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            theirs = socket.create_connection(listener.getsockname())
            ours, _ = listener.accept()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        ours.setblocking(False)
        theirs.settimeout(0)
        self.addCleanup(theirs.close)
        self.theirs = theirs
        connection = transport.Connection(loop, ours, is_open=True)
        self.addCleanup(connection.close)
        callers.CallerConnection(loop, connection, _Handler(), lambda _: None)
        theirs.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        looping.run_until(
            loop, lambda: connection.unsent_bytes > callers.MAX_UNSENT_BYTES
        )
        # The connection waits for the caller to read.
        looping.run_for(loop, 0.02)
        self.received = bytearray()

    def read(self, most_bytes: int) -> bool:
        try:
            data = self.theirs.recv(most_bytes)
        except BlockingIOError:
            return False
        self.received.extend(data)
        return not data

    # Guards against a 408 that no request has asked for: after an answer that
    # the caller read slowly, the connection was taken for one with a request.
    def test_a_caller_that_read_its_answer_slowly_is_idle(self) -> None:
        looping.run_until(self.loop, lambda: self.read(len(BODY)))
        self.assertTrue(self.received.endswith(b'\r\n\r\n' + BODY))

    # Guards against an answer that is cut, with a 408 behind it, as its caller
    # reads for longer than an idle connection may last.
    def test_a_slow_but_steady_reader_gets_its_whole_answer(self) -> None:
        for _ in range(4):
            looping.run_for(self.loop, 0.6 * _Handler.limits.idle_timeout_s)
            for _ in range(8):
                self.read(65_536)
        looping.run_until(self.loop, lambda: self.read(len(BODY)))
        self.assertTrue(self.received.endswith(b'\r\n\r\n' + BODY))
