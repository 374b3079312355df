"""Requests whose callers have left before an endpoint gets them.

Patterns: a process that stood still reads requests, and finds behind them
that their callers have closed; a request is still in the operating system's
buffers when its caller leaves; a turn of the loop is so long that deadlines
pass in it.
"""

import socket
import time
import unittest
import unittest.mock

from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute.entry import upstream
from guavachute import ids
from tests.support import looping
from tests.support import platform_site

STOOD_STILL_S = 0.6


class StoodStillTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.engine = self.site.add_engine('e1', platform_site.PLAIN_SERVICE)
        self.node = self.site.ready_node()

    # Guards against GONE: requests went on two seconds after their callers
    # had left, all at once.
    def test_what_was_left_while_the_process_stood_still_is_not_sent(
        self,
    ) -> None:
        kept = self.site.send(self.node, '/order/kept')
        looping.run_until(self.site.loop, lambda: kept.reply.is_complete)
        before = len(self.engine.runs)
        for _ in range(4):
            self.site.send(self.node, '/order/a').close()
        kept.send(platform_site.request_bytes('/order/kept', 'left-too'))
        kept.close()
        stays = self.site.send(self.node, '/order/b')
        time.sleep(STOOD_STILL_S)
        looping.run_until(self.site.loop, lambda: stays.reply.has_ended)
        self.assertEqual(200, stays.reply.status)
        looping.run_for(self.site.loop, 0.2)
        self.assertEqual(before + 1, len(self.engine.runs))

    def test_callbacks_of_a_long_turn_know_the_time(self) -> None:
        loop = entry_loop.Loop()
        seen_s: list[float] = []
        loop.call_after(0.0, lambda: time.sleep(0.3))
        loop.call_after(0.0, lambda: seen_s.append(loop.now_s))
        looping.run_until(loop, lambda: seen_s)
        self.assertLess(time.monotonic() - seen_s[0], 0.2)
        self.assertTrue(loop.is_catching_up)

    def test_slow_timers_do_not_keep_the_loop_from_its_files(self) -> None:
        loop = entry_loop.Loop()
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        theirs.send(b'x')
        read: list[int] = []
        loop.watch(ours, entry_loop.READ, read.append)

        def again() -> None:
            time.sleep(0.01)
            loop.call_after(0.005, again)

        again()
        looping.run_until(loop, lambda: read, timeout_s=1.0)


class UndeliveredTest(unittest.TestCase):
    """An endpoint's machine takes no more bytes."""

    # Guards against GONE: the operating system delivers a request long after
    # its caller has left, and its connection was closed.
    def test_a_request_that_is_not_delivered_is_called_back(self) -> None:
        loop = entry_loop.Loop()
        accepted: list[transport.Connection] = []

        def accept(connection: transport.Connection) -> None:
            # Before the loop's next turn, in which it would be read.
            connection.pause()
            accepted.append(connection)

        listener = transport.Listener(loop, ids.Address('127.0.0.1:0'), accept)
        self.addCleanup(listener.close)
        pool = upstream.Pool(loop, unittest.mock.Mock())
        sent = pool.acquire(listener.address, ids.AttemptId('a'), False)
        request = b'x' * 4_000_000
        sent.send_request(request, unittest.mock.Mock())
        looping.run_until(loop, lambda: accepted)
        (connection,) = accepted
        looping.run_for(loop, 0.3)
        sent.release(keeps_alive=False)
        sock = connection._socket
        sock.settimeout(1.0)
        received = 0
        with self.assertRaises(ConnectionResetError):
            while data := sock.recv(1_000_000):
                received += len(data)
        self.assertLess(received, len(request))
