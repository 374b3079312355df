"""How an endpoint's answer to a plain call ends, at a router.

Answers of all framings, some of them broken off, to calls with and without an
idempotency key.
"""

import socket
import struct
import threading
import time
import unittest
import unittest.mock

from guavachute.http import message
from guavachute import ids
from guavachute.observe import counters
from guavachute.observe import traces
from guavachute.services import plain_calls
from guavachute.services.relay import downstream
from guavachute.services.relay import upstream
from guavachute import settings
from guavachute.wire import tables
from tests.support import hosting

BODY = b'question'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
UNFRAMED = HEAD + b'\r\nten ca'
FRAMED = HEAD + b'Content-Length: 8\r\n\r\nten caps'
LONG_BODY = BODY * 2_000_000
"""More than the operating system takes in."""


class Endpoint:
    """Sends *answer* to the first connection, and closes it."""

    def __init__(self, case: unittest.TestCase, answer: bytes) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._answer = answer
        case.addCleanup(self._listener.close)
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def entry(self) -> tables.EndpointEntry:
        """The endpoint as a router knows it."""
        return tables.EndpointEntry(
            endpoint='e1',
            address='%s:%d' % self._listener.getsockname(),
            failure_domain='here-a',
            region='here',
            pool='orders',
        )

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            received = b''
            while not received.endswith(BODY):
                received += connection.recv(65_536)
            self._answer_on(connection)

    def _answer_on(self, connection: socket.socket) -> None:
        connection.sendall(self._answer)


class EarlyEndpoint(Endpoint):
    """Answers before it has read the body, and resets the connection."""

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(65_536)
            self._answer_on(connection)
            time.sleep(0.1)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )


class EndlessEndpoint(Endpoint):
    """Sends an answer without end until its connection is closed.

    :param start: what it sends first
    :param piece: what it sends then, again and again
    :param pause_s: between two pieces; many are sent at once without a pause
    """

    def __init__(
        self,
        case: unittest.TestCase,
        pause_s: float,
        start: bytes = HEAD + b'\r\n',
        piece: bytes = b'x',
    ) -> None:
        self.closed = threading.Event()
        self._pause_s = pause_s
        self._piece = piece if pause_s else piece * (65_536 // len(piece))
        super().__init__(case, start)

    def _answer_on(self, connection: socket.socket) -> None:
        super()._answer_on(connection)
        try:
            while True:
                connection.sendall(self._piece)
                time.sleep(self._pause_s)
        except OSError:
            self.closed.set()


class PlainCallEndTest(unittest.TestCase):
    def setUp(self) -> None:
        self.claimer = unittest.mock.Mock()
        self.claimer.claim.return_value = None

    def fetch(
        self,
        answer: bytes | Endpoint,
        key: str | None = None,
        body: bytes = BODY,
    ) -> bytes:
        """All that a caller reads until its connection is closed."""
        endpoint = answer
        if isinstance(endpoint, bytes):
            endpoint = Endpoint(self, endpoint)
        near, far = socket.socketpair()
        far.setblocking(False)
        self.addCleanup(near.close)
        connection = unittest.mock.Mock(socket=far, close=far.close)
        options = settings.Traces()
        with traces.exporting('test', options) as tracer:
            calls = plain_calls.PlainCalls(
                'here', counters.Counters(), tracer, self.claimer
            )
            hosting.host(self, calls)
            calls.set_tables(unittest.mock.Mock(endpoints=[endpoint.entry]))
            calls.mailbox.send(
                plain_calls.PlainCall(
                    request_id=ids.RequestId('req-1'),
                    workspace=ids.WorkspaceName('club'),
                    pool=ids.PoolName('orders'),
                    request=message.Request('POST', '/jobs', {}, {}, body),
                    idempotency_key=key,
                    deadline_s=time.monotonic() + 2.0,
                    caller=downstream.Downstream(connection, False),
                    span=unittest.mock.Mock(),
                    context=traces.Context(),
                )
            )
            near.settimeout(5.0)
            received = b''
            while data := near.recv(65_536):
                received += data
        return received

    # Guards against a body that a close cut off, handed on with a length.
    def test_a_body_that_ends_with_its_connection_gets_no_length(self) -> None:
        head, _, body = self.fetch(UNFRAMED).partition(b'\r\n\r\n')
        self.assertEqual(b'ten ca', body)
        self.assertNotIn(b'content-length', head.lower())
        self.assertIn(b'connection: close', head.lower())

    # Guards against a close before the body that looks like an empty one.
    def test_an_empty_body_gets_no_length_either(self) -> None:
        received = self.fetch(HEAD + b'\r\n')
        self.assertTrue(received.endswith(b'\r\n\r\n'))
        self.assertNotIn(b'content-length', received.lower())

    def test_a_framed_body_keeps_its_length(self) -> None:
        self.assertIn(b'Content-Length: 8\r\n', self.fetch(FRAMED))

    def test_a_framed_body_that_is_cut_is_no_answer(self) -> None:
        chunked = HEAD + b'Transfer-Encoding: chunked\r\n\r\n6\r\nten ca\r\n'
        for answer in (FRAMED[:-2], chunked, chunked[:-5]):
            self.assertIn(b'answer_lost', self.fetch(answer))
        whole = self.fetch(chunked + b'0\r\n\r\n')
        self.assertTrue(whole.endswith(b'\r\n\r\nten ca'))

    # Guards against a cut body that a later caller gets as the whole one.
    def test_only_a_framed_answer_is_stored_as_complete(self) -> None:
        for answer, is_framed in ((UNFRAMED, False), (FRAMED, True)):
            self.fetch(answer, key='key')
            stored = self.claimer.store_answer.call_args.args[1]
            self.assertEqual(is_framed, stored.is_framed)

    # Guards against a body that fills the memory, or that goes on byte by
    # byte beyond the caller's deadline.
    def test_a_body_without_end_is_no_answer(self) -> None:
        for pause_s in (0.0, 0.1):
            self.assert_given_up(EndlessEndpoint(self, pause_s))

    def assert_given_up(self, endpoint: EndlessEndpoint) -> None:
        self.assertIn(b'answer_lost', self.fetch(endpoint))
        endpoint.closed.wait(5.0)
        self.assertTrue(endpoint.closed.is_set())

    # Guards against what an HTTP library reads without a bound of its own.
    def test_what_is_around_a_body_has_an_end(self) -> None:
        chunked = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        for start, piece in (
            (b'', interim),
            (HEAD + b'X: ', b'x'),
            (chunked + b'6;', b'x'),
            (chunked + b'0\r\n', b'X: y\r\n'),
        ):
            for pause_s in (0.0, 0.1):
                with self.subTest(start=start, piece=piece, pause_s=pause_s):
                    self.assert_given_up(
                        EndlessEndpoint(self, pause_s, start, piece)
                    )

    # Guards against the part of an answer that had come when its endpoint
    # reset the connection, amid the upload, as the whole answer.
    def test_an_answer_that_was_reset_during_the_upload_is_none(self) -> None:
        for answer in (UNFRAMED, FRAMED[:-2]):
            for key in (None, 'key'):
                with self.subTest(answer=answer, key=key):
                    received = self.fetch(
                        EarlyEndpoint(self, answer), key, LONG_BODY
                    )
                    self.assertIn(b'answer_lost', received)

    # Guards against a status that is none, and that of an interim answer,
    # as the status of the answer.
    def test_an_invalid_status_is_no_answer(self) -> None:
        for status in (b'000', b'99', b'1000', b'2x0', b'', b'101', b'600'):
            with self.subTest(status=status):
                received = self.fetch(FRAMED.replace(b'200', status))
                self.assertIn(b'answer_lost', received)

    def test_interim_answers_that_nobody_asked_for_are_skipped(self) -> None:
        for status in (b'100', b'102', b'103'):
            with self.subTest(status=status):
                received = self.fetch(
                    b'HTTP/1.1 %s Wait\r\nX: y\r\n\r\n' % status + FRAMED
                )
                self.assertTrue(received.startswith(b'HTTP/1.1 200 '))
                self.assertTrue(received.endswith(b'\r\n\r\nten caps'))


class StreamAnswerTest(unittest.TestCase):
    """The connection of a stream, which has an engine's answer parsed."""

    def receive(self, answer: bytes) -> upstream.Connection:
        connection = upstream.Connection('127.0.0.1:1')
        connection.socket.close()
        connection.socket, engine = socket.socketpair()
        self.addCleanup(connection.close)
        self.addCleanup(engine.close)
        connection.reused = True
        connection.begin_exchange(b'request')
        engine.sendall(answer)
        connection.receive()
        return connection

    # Guards against an interim answer, or one with a status that is none,
    # that is taken for the whole answer.
    def test_interim_answers_are_skipped(self) -> None:
        for status in (b'100', b'102', b'103'):
            connection = self.receive(
                b'HTTP/1.1 %s Wait\r\nX: y\r\n\r\n' % status + FRAMED
            )
            self.assertIs(upstream.State.COMPLETE, connection.state)
            self.assertEqual(200, connection.status)
            self.assertEqual(b'ten caps', connection.pop_body())

    def test_an_interim_answer_alone_completes_nothing(self) -> None:
        connection = self.receive(b'HTTP/1.1 102 Wait\r\n\r\n')
        self.assertIs(upstream.State.READING, connection.state)
        self.assertEqual(0, connection.status)

    def test_an_invalid_status_breaks_the_exchange(self) -> None:
        for status in (b'000', b'99', b'1000', b'2x0', b'', b'101', b'600'):
            connection = self.receive(FRAMED.replace(b'200', status))
            self.assertIs(upstream.State.BROKEN, connection.state, status)
            self.assertEqual(0, connection.status, status)
            self.assertEqual(b'', connection.pop_body(), status)
