"""Requests that are on their way when their connection is to be closed."""

import contextlib
import errno
import socket
import typing
import unittest
from unittest import mock

from guavachute.decide.ingress.closing import idle_limits
from guavachute.domain import configuration
from guavachute.entry import callers
from guavachute.entry import http1
from guavachute.entry import loop as entry_loop
from guavachute.entry import node as entry_node
from guavachute.entry import transport
from tests.support import looping
from tests.support import platform_site

LIMITS = {
    'maxHeaderBytes': 4_096,
    'maxBodyBytes': 65_536,
    'headerTimeoutMs': 300,
}

LINGER_S = 1.0
"""A short limit for callers that read nothing of their last answer."""

REQUEST = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'


class CrossedClosesTest(unittest.TestCase):
    """Callers that do not know yet what their node has decided."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.configure(1, idle_s=2.0)
        self.plain = self.site.add_engine('e1', platform_site.PLAIN_SERVICE)

    def configure(self, version: int, idle_s: float) -> None:
        limits = {**LIMITS, 'idleTimeoutMs': round(1_000 * idle_s)}
        self.site.configure(version, limits=limits)

    def until(self, condition: typing.Callable[[], object]) -> None:
        looping.run_until(self.site.loop, condition)

    def run_for(self, duration_s: float) -> None:
        looping.run_for(self.site.loop, duration_s)

    def kept_connection(
        self, node: entry_node.Node
    ) -> platform_site.CallerSocket:
        """The connection of a caller that has got an answer."""
        caller = self.site.send(node, '/order/a')
        self.until(lambda: caller.reply.is_complete)
        return caller

    def status_of_next(self, caller: platform_site.CallerSocket) -> int:
        """The status of the answer to one more request; 0 without any."""
        self.assertFalse(caller.reply.is_closed)
        caller.send(platform_site.request_bytes('/order/b', 'next'))
        self.until(lambda: caller.reply.has_ended)
        return caller.reply.status

    # Guards against LOST at the end of a planned stop: a request on a new
    # connection that the process accepted just before it ended.
    def test_a_stop_accepts_no_connection_before_its_end(self) -> None:
        node = self.site.ready_node()
        node.stop()
        self.run_for(2.7)
        pending = self.site.send(node, '/order/a')
        self.until(lambda: pending.reply.has_ended)
        self.assertIn(pending.reply.status, (200, 503))
        self.run_for(0.3)
        with self.assertRaises(ConnectionRefusedError):
            self.site.send(node, '/order/a')

    # Guards against the same for a connection that was accepted last and whose
    # request comes later.
    def test_a_connection_that_a_stop_accepts_last_is_answered(self) -> None:
        node = self.site.ready_node()
        node.stop()
        self.run_for(2.7)
        last = platform_site.CallerSocket(self.site.loop, node.ingress.address)
        self.addCleanup(last.close)
        self.run_for(0.4)
        with self.assertRaises(ConnectionRefusedError):
            self.site.send(node, '/order/a')
        self.assertEqual(503, self.status_of_next(last))
        # To stop listening again, as the end of the process does, is harmless.
        node.ingress.stop_accepting()

    # Guards against LOST in a planned stop: a request that was on its way when
    # the stop closed its kept connection was read and never answered.
    def test_a_request_on_a_kept_connection_crosses_a_stop(self) -> None:
        node = self.site.ready_node()
        caller = self.kept_connection(node)
        node.stop()
        self.run_for(0.6)
        self.assertEqual(200, self.status_of_next(caller))
        self.assertEqual('close', caller.reply.headers['connection'])

    # Guards against the same for the first request of a connection that was
    # accepted a moment before.
    def test_the_first_request_of_a_connection_crosses_a_stop(self) -> None:
        node = self.site.ready_node()
        caller = platform_site.CallerSocket(
            self.site.loop, node.ingress.address
        )
        self.addCleanup(caller.close)
        node.stop()
        self.run_for(0.6)
        self.assertEqual(200, self.status_of_next(caller))

    # Guards against LOST beside a change of the configuration: a lower idle
    # limit closed connections that callers used by the limit before.
    def test_a_caller_keeps_to_the_idle_limit_before(self) -> None:
        node = self.site.ready_node()
        caller = self.kept_connection(node)
        self.configure(2, idle_s=0.3)
        self.until(lambda: node.state.version == 2)
        self.run_for(0.8)
        self.assertEqual(200, self.status_of_next(caller))
        # The callers may still not know of version 2.
        self.run_for(0.8)
        self.assertEqual(200, self.status_of_next(caller))

    # Guards against LOST with a short idle limit on slow links: the caller's
    # idle time begins when the answer arrives, and its request takes time too.
    def test_a_request_crosses_the_end_of_a_short_idle_limit(self) -> None:
        self.configure(2, idle_s=1.0)
        node = self.site.ready_node()
        self.until(lambda: node.ingress.limits.idle_timeout_s == 1.0)
        caller = self.kept_connection(node)
        self.run_for(0.8 + 2 * 0.3)
        self.assertEqual(200, self.status_of_next(caller))

    # Guards against a node and a caller that know different idle limits.
    def test_an_answer_says_how_long_its_connection_is_kept(self) -> None:
        node = self.site.ready_node()
        caller = self.kept_connection(node)
        self.assertEqual('timeout=1', caller.reply.headers.get('keep-alive'))

    # Guards against a stop that closes a connection behind the first of two
    # requests that were read together.
    def test_two_requests_that_were_read_together_in_a_stop(self) -> None:
        node = self.site.ready_node()
        node.stop()
        caller = platform_site.CallerSocket(
            self.site.loop, node.ingress.address
        )
        self.addCleanup(caller.close)
        caller.send(
            platform_site.request_bytes('/order/a', 'first')
            + platform_site.request_bytes('/order/b', 'second')
        )
        self.until(lambda: caller.reply.is_closed)
        self.assertEqual(2, len(self.plain.runs))

    # Guards against a request without an answer at the end of a stop: the
    # process ended while the request arrived in pieces.
    def test_a_request_in_pieces_is_open_until_it_is_refused(self) -> None:
        node = self.site.ready_node()
        caller = platform_site.CallerSocket(
            self.site.loop, node.ingress.address
        )
        self.addCleanup(caller.close)
        request = platform_site.request_bytes(
            '/order/a', 'pieces', body=b'a' * 20_000
        )
        for part in (request[:400], request[400:8_000]):
            caller.send(part)
            self.run_for(0.05)
        node.stop()
        self.assertEqual(1, node.ingress.open_requests)
        # The grace period is over.
        caller.send(request[8_000:12_000])
        node.close()
        self.until(lambda: caller.reply.has_ended)
        self.assertEqual(503, caller.reply.status)

    # Guards against LOST at the end of a stop: the process ended while answers
    # still waited to be sent, and requests that were read for their turn.
    def test_a_request_is_open_until_its_answer_is_sent(self) -> None:
        self.plain.padding_bytes = 1_000_000
        requests = 12
        node = self.site.ready_node()
        host, _, port = node.ingress.address.rpartition(':')
        with socket.create_connection((host, int(port))) as slow:
            for number in range(requests):
                slow.sendall(
                    platform_site.request_bytes('/order/a', f'slow-{number}')
                )
            self.until(lambda: self.plain.runs)
            self.run_for(0.5)
            # The operating system takes some of the answers, but not all.
            self.assertLess(len(self.plain.runs), requests)
            self.assertEqual(1, node.ingress.open_requests)
            slow.settimeout(0)
            self.until(lambda: _read(slow) or not node.ingress.open_requests)
            self.assertEqual(requests, len(self.plain.runs))


def _read(sock: socket.socket) -> bool:
    """Read what has arrived; whether the connection has ended."""
    try:
        return not sock.recv(65_536)
    except BlockingIOError:
        return False


class _Handler:
    limits = configuration.CallerLimits(idle_timeout_s=0.2, head_timeout_s=0.1)
    is_stopping = False

    def __init__(self) -> None:
        self.begun = 0
        self.body = b''
        self.is_streaming = False

    def begin(
        self, caller: callers.CallerConnection, request: http1.Request
    ) -> None:
        self.begun += 1
        if self.is_streaming:
            caller.begin_answer(200, [])
        else:
            caller.answer(200, [], self.body)


class BytesBehindACloseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = loop = entry_loop.Loop()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            theirs = socket.socket()
            theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            theirs.connect(listener.getsockname())
            ours, _ = listener.accept()
        ours.setblocking(False)
        theirs.settimeout(0)
        self.addCleanup(theirs.close)
        self.theirs = theirs
        self.connection = transport.Connection(loop, ours, is_open=True)
        self.addCleanup(self.connection.close)
        self.handler = _Handler()
        self.limits = idle_limits.IdleLimits(
            self.handler.limits.idle_timeout_s, known_for_s=3.0
        )
        self.caller = callers.CallerConnection(
            loop,
            self.connection,
            self.handler,
            lambda _: None,
            idle_limits=self.limits,
        )

    # Guards against LOST: what arrived behind the close of an idle connection
    # was read, so that its caller could not know that it may send it again.
    def test_a_request_behind_the_close_stays_unread(self) -> None:
        looping.run_until(self.loop, lambda: _read(self.theirs))
        self.theirs.sendall(REQUEST)
        looping.run_until(self.loop, lambda: self.connection.is_closed)
        self.assertEqual(0, self.handler.begun)
        # A reset tells that something was left unread.
        self.assertEqual(
            errno.EPIPE,
            self.theirs.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
        )

    # Guards against the same for what arrives behind an answer that says that
    # its connection closes.
    def test_a_request_behind_the_last_answer_stays_unread(self) -> None:
        self.handler.is_stopping = True
        self.check_behind_the_last_answer()

    # Guards against the same where the answer is a stream.
    def test_a_request_behind_the_last_stream_stays_unread(self) -> None:
        self.handler.is_stopping = self.handler.is_streaming = True
        self.check_behind_the_last_answer()

    def check_behind_the_last_answer(self) -> None:
        self.theirs.sendall(REQUEST)
        looping.run_until(self.loop, lambda: self.handler.begun)
        self.theirs.sendall(REQUEST)
        looping.run_for(self.loop, 0.05)
        if self.handler.is_streaming:
            self.caller.answer_chunk(b'event')
            self.caller.end_answer()
        looping.run_until(self.loop, lambda: self.connection.is_closed)
        self.assertEqual(1, self.handler.begun)
        self.assertEqual(
            errno.EPIPE,
            self.theirs.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
        )
        self.assertIn(b'Connection: close', self.theirs.recv(65_536))

    # Guards against an answer that breaks off: its caller, still reading it,
    # sent the next request behind the close, whose reset destroyed the rest.
    def test_the_idle_limit_passes_while_an_answer_is_read(self) -> None:
        self.check_slow_reader(lambda: None)

    # Guards against the same where a stop closes the idle connections.
    def test_a_stop_closes_while_an_answer_is_read(self) -> None:
        self.check_slow_reader(self.caller.close_if_idle)

    def check_slow_reader(self, close: typing.Callable[[], None]) -> None:
        body_bytes = callers.MAX_UNSENT_BYTES
        self.handler.body = bytes(body_bytes)
        self.theirs.sendall(REQUEST)
        looping.run_until(self.loop, lambda: self.handler.begun)
        received = bytearray()
        for step in range(8):
            looping.run_for(self.loop, self.handler.limits.idle_timeout_s / 2)
            close()
            if step == 4:
                self.theirs.sendall(REQUEST)
            received += self.theirs.recv(16_384)

        def read_to_the_end() -> bool:
            with contextlib.suppress(BlockingIOError):
                received.extend(self.theirs.recv(65_536))
            return len(received) > 2 * body_bytes

        looping.run_until(self.loop, read_to_the_end)
        self.assertEqual(2, self.handler.begun)

    # Guards against an answer that breaks off as the process ends, though the
    # operating system had all of it, because of a request left unread.
    def test_an_answer_is_open_while_a_close_would_cut_it(self) -> None:
        self.handler.is_stopping = True
        self.handler.body = bytes(callers.MAX_UNSENT_BYTES)
        self.theirs.sendall(REQUEST)
        looping.run_until(self.loop, lambda: self.handler.begun)
        self.assertEqual(0, self.connection.unsent_bytes)
        self.assertFalse(self.caller.has_open_request)
        self.theirs.sendall(REQUEST)
        looping.run_for(self.loop, 0.05)
        self.assertTrue(self.caller.has_open_request)
        read = bytearray()

        def read_all() -> bool:
            with contextlib.suppress(BlockingIOError):
                read.extend(self.theirs.recv(65_536))
            return not self.caller.has_open_request

        looping.run_until(self.loop, read_all)
        self.assertGreater(len(read), len(self.handler.body) // 2)

    def lower_idle_limit(self) -> None:
        for limit_s in (2.0, self.handler.limits.idle_timeout_s):
            self.limits.record(limit_s, self.loop.now_s)

    # Guards against LOST beside a change of the configuration: a lower idle
    # limit cut answers whose callers read nothing for that long.
    def test_the_idle_limit_falls_while_an_answer_is_read(self) -> None:
        self.handler.body = bytes(40 * callers.MAX_UNSENT_BYTES)
        self.theirs.sendall(REQUEST)
        looping.run_until(self.loop, lambda: self.handler.begun)
        self.lower_idle_limit()
        looping.run_for(self.loop, 1.0)
        self.assertFalse(self.connection.is_closed)

    # Guards against a 408 for a body that keeps to the limit before.
    def test_the_idle_limit_falls_while_a_body_is_sent(self) -> None:
        self.lower_idle_limit()
        request = REQUEST.replace(b'Length: 0', b'Length: 4')
        self.theirs.sendall(request + b'bo')
        looping.run_for(self.loop, 1.0)
        self.theirs.sendall(b'dy')
        looping.run_until(self.loop, lambda: self.handler.begun)

    # Guards against a connection that is kept for a caller that reads nothing.
    def test_a_caller_that_never_reads_its_answer(self) -> None:
        self.handler.body = bytes(callers.MAX_UNSENT_BYTES)
        self.theirs.sendall(REQUEST)
        looping.run_until(self.loop, lambda: self.connection.is_closed)

    # Guards against an answer that breaks off although its caller reads on:
    # the last answer of a connection had five seconds to be read.
    def test_the_last_answer_is_read_slowly(self) -> None:
        self.begin_last_answer()
        received = bytearray()
        for _ in range(20):
            looping.run_for(self.loop, LINGER_S / 4)
            received += self.theirs.recv(65_536)
        self.assertFalse(self.connection.is_closed)
        self.assertTrue(self.connection.unsent_bytes)

        def read_to_the_end() -> bool:
            with contextlib.suppress(BlockingIOError):
                received.extend(self.theirs.recv(65_536))
            return len(received) > len(self.handler.body)

        looping.run_until(self.loop, read_to_the_end)
        looping.run_until(self.loop, lambda: self.connection.is_closed)

    # Guards against a connection that is kept for a caller that reads nothing
    # of its last answer.
    def test_a_caller_that_never_reads_its_last_answer(self) -> None:
        self.begin_last_answer()
        looping.run_for(self.loop, 1.5 * LINGER_S)
        self.assertTrue(self.connection.is_closed)

    # Guards against the same where it stops after a part.
    def test_a_caller_that_reads_a_part_of_its_last_answer(self) -> None:
        self.begin_last_answer()
        looping.run_for(self.loop, 0.5 * LINGER_S)
        self.theirs.recv(65_536)
        looping.run_for(self.loop, 2 * LINGER_S)
        self.assertTrue(self.connection.is_closed)

    def begin_last_answer(self) -> None:
        """Have an answer begun that is larger than what the system takes."""
        patch = mock.patch.object(callers, 'UNSENT_LINGER_S', LINGER_S)
        patch.start()
        self.addCleanup(patch.stop)
        self.handler.is_stopping = True
        self.handler.body = bytes(40 * callers.MAX_UNSENT_BYTES)
        self.theirs.sendall(REQUEST)
        looping.run_until(self.loop, lambda: self.handler.begun)
        self.assertTrue(self.connection.unsent_bytes)
