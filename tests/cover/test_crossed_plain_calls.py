"""Calls of plain services beside the end of a connection or of the router."""

import collections
import socket
import struct
import threading
import time
import typing
import unittest
import unittest.mock

from guavachute.http import message
from guavachute import ids
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute.services import plain_calls
from guavachute.services.relay import downstream
from guavachute import settings
from guavachute.wire import tables
from tests.support import hosting

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'
TIMEOUT_S = 5.0
BODY = b'body'
RESET = struct.pack('ii', 1, 0)


def _read_request(sock: socket.socket) -> None:
    received = b''
    while not received.endswith(BODY):
        data = sock.recv(65_536)
        assert data, 'the caller has closed its connection'
        received += data


class Endpoint:
    """Closes its first connection as the second request arrives on it.

    :param reads: whether that request is read before
    :param closes_after_s: when it closes the connection
    :param listens_on: whether it accepts another connection
    :ivar requests: which were read, by connection
    """

    def __init__(
        self,
        case: unittest.TestCase,
        reads: bool = False,
        closes_after_s: float = 0.0,
        listens_on: bool = True,
    ) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.entry = tables.EndpointEntry(
            endpoint='e1',
            address='%s:%d' % self._listener.getsockname(),
            failure_domain='here-a',
            region='here',
            pool='orders',
        )
        self._reads = reads
        self._closes_after_s = closes_after_s
        self._listens_on = listens_on
        self.requests: collections.Counter[int] = collections.Counter()
        case.addCleanup(self._listener.close)
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        first, _ = self._listener.accept()
        with first:
            _read_request(first)
            self.requests[0] += 1
            first.sendall(ANSWER)
            first.recv(1, socket.MSG_PEEK)
            time.sleep(self._closes_after_s)
            if self._reads:
                _read_request(first)
                self.requests[0] += 1
            if not self._listens_on:
                self._listener.close()
                first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        while self._listens_on:
            try:
                later, _ = self._listener.accept()
            except OSError:
                return
            with later:
                _read_request(later)
                self.requests[1] += 1
                later.sendall(ANSWER)


class CrossedPlainCallTest(unittest.TestCase):
    def setUp(self) -> None:
        self.claimer = unittest.mock.Mock()
        self.claimer.claim.return_value = None
        tracer = traces.exporting('test', settings.Traces())
        self.calls = plain_calls.PlainCalls(
            'here',
            counters.Counters(),
            self.enterContext(tracer),
            self.claimer,
        )

    def send(self, key: str | None = None) -> typing.Callable[[], bytes]:
        """Send a call; the result reads the whole answer."""
        near, far = socket.socketpair()
        far.setblocking(False)
        near.settimeout(TIMEOUT_S)
        self.addCleanup(near.close)
        connection = unittest.mock.Mock(socket=far, close=far.close)
        self.calls.mailbox.send(
            plain_calls.PlainCall(
                request_id=ids.RequestId('req-1'),
                workspace=ids.WorkspaceName('club'),
                pool=ids.PoolName('orders'),
                request=message.Request('POST', '/jobs', {}, {}, BODY),
                idempotency_key=key,
                deadline_s=time.monotonic() + TIMEOUT_S,
                caller=downstream.Downstream(connection, False),
                span=unittest.mock.Mock(),
                context=traces.Context(),
            )
        )

        def read() -> bytes:
            received = b''
            while data := near.recv(65_536):
                received += data
            return received

        return read

    def use(self, endpoint: Endpoint) -> None:
        """Keep an idle connection to *endpoint*."""
        hosting.host(self, self.calls)
        self.calls.set_tables(unittest.mock.Mock(endpoints=[endpoint.entry]))
        self.assertIn(b' 200 ', self.send()())

    def assert_sent_again(self, reads: bool) -> None:
        endpoint = Endpoint(self, reads)
        self.use(endpoint)
        self.assertIn(b' 200 ', self.send()())
        self.assertEqual({0: 1 + reads, 1: 1}, endpoint.requests)

    # Guards against an idempotent call that ends with `unknown` as its only
    # endpoint closed an idle connection while the call was on its way.
    def test_a_call_that_crosses_an_idle_close_is_sent_again(self) -> None:
        self.assert_sent_again(reads=False)

    # Guards against the same with an endpoint that discards what it reads.
    def test_a_call_that_was_read_behind_a_close_is_sent_again(self) -> None:
        self.assert_sent_again(reads=True)

    # Guards against an order that is sent again, or on an idle connection.
    def test_an_order_is_sent_on_a_new_connection_only(self) -> None:
        endpoint = Endpoint(self)
        hosting.host(self, self.calls)
        self.calls.set_tables(unittest.mock.Mock(endpoints=[endpoint.entry]))
        self.assertIn(b' 200 ', self.send('key-1')())
        self.assertIn(b' 200 ', self.send('key-2')())
        self.assertEqual({0: 1, 1: 1}, endpoint.requests)

    # Guards against `not-run` for a call that may have run before its
    # endpoint ended.
    def test_a_call_whose_endpoint_ends_is_unknown(self) -> None:
        self.use(Endpoint(self, reads=True, listens_on=False))
        self.assertIn(b'Guavachute-Outcome: unknown', self.send()())

    # Guards against a call that stops its endpoint a second time.
    def test_a_call_that_ran_for_long_is_not_sent_again(self) -> None:
        endpoint = Endpoint(
            self, closes_after_s=plain_calls.CROSSED_WITHIN_S + 0.5
        )
        self.use(endpoint)
        self.assertIn(b'Guavachute-Outcome: unknown', self.send()())
        self.assertEqual({0: 1}, endpoint.requests)

    # Guards against LOST at the end of a drain: a call that was read and
    # handed over, but not begun when the task stopped, got no answer.
    def test_a_call_that_is_not_begun_at_the_stop_is_refused(self) -> None:
        for key in (None, 'key'):
            with self.subTest(key=key):
                read = self.send(key)
                self.calls.request_stop()
                self.calls.run()
                answer = read()
                self.assertIn(b'Guavachute-Outcome: not-run', answer)
                self.assertIn(b' 503 ', answer)
        self.claimer.claim.assert_not_called()
