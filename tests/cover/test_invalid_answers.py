"""Answers of endpoints that are broken off during the upload, or invalid.

Load: long uploads, of which an endpoint reads nothing, a part or all before
it answers; by framing and end of the answer, and by status; by kind of route,
over new and kept connections, through another node, and as the answer that
goes on with a stream. No caller may get a success that looks whole, or a
status that is none, and none may wait for its deadline.
"""

import itertools
import socket
import struct
import threading
import time
import typing
import unittest

import msgspec

from guavachute.entry import http1
from tests.support import cut_links
from tests.support import looping
from tests.support import platform_site

PATHS = ('/lookup/a', '/order/a', '/stream/a', '/resumable/a')
MAX_BODY_BYTES = 16_777_216
LONG_BODY = b'x' * 6_291_456
"""More than the kernel takes in for an endpoint that reads nothing."""

SHORT_BYTES = 10_000
"""Requests with a shorter body get a sound answer."""

BUFFER_BYTES = 16_384
PAUSE_S = 0.03
EVENT = b'id: 1\ndata: one\n\n'
SECOND_EVENT = b'id: 2\ndata: two\n\n'
DEADLINE_S = 3.0


class Plan(typing.NamedTuple):
    """How an endpoint answers a long upload.

    :ivar status: what stands for the status in the head
    :ivar framing: lines of the head
    :ivar body: what follows the head
    :ivar reads: how many bytes of the body it reads before it answers; None
        for all, negative if it doesn't even read the head
    :ivar is_reset: whether it resets the connection then, with what it has not
        read; otherwise it closes its sending direction
    """

    status: bytes = b'200'
    framing: bytes = b''
    body: bytes = EVENT
    reads: int | None = None
    is_reset: bool = False


BEGINNING = Plan(
    framing=b'Transfer-Encoding: chunked\r\n',
    body=http1.encode_chunk(EVENT),
    is_reset=True,
)


class Endpoint:
    """Listens in place of an engine, in threads of its own.

    :ivar answered: how many long uploads it has answered
    :ivar begins: whether it begins a stream and resets it after one event,
        unless it is asked to go on with one
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.listen()
        self.plan = Plan()
        self.attempt = b''
        self.answered = 0
        self.begins = False
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.settimeout(10.0)
            try:
                self._answer_all(connection)
            except OSError:
                # The node has closed the connection.
                return

    def _answer_all(self, connection: socket.socket) -> None:
        while True:
            if self.plan.reads is not None and self.plan.reads < 0:
                self._break_off(connection, self.attempt, self.plan)
                return
            received = b''
            while b'\r\n\r\n' not in received:
                data = connection.recv(4_096)
                if not data:
                    return
                received += data
            head, _, body = received.partition(b'\r\n\r\n')
            fields = dict(
                line.split(b': ', 1) for line in head.split(b'\r\n')[1:]
            )
            attempt = fields.get(b'Attempt-Id', b'')
            length = int(fields.get(b'Content-Length', b'0'))
            is_long = length > SHORT_BYTES
            wanted = length
            is_begun = self.begins and b'Last-Event-Id' not in fields
            if is_long and not is_begun and self.plan.reads is not None:
                wanted = self.plan.reads
            left = wanted - len(body)
            while left > 0:
                left -= len(connection.recv(min(left, 65_536)))
            if is_long:
                self._break_off(
                    connection, attempt, BEGINNING if is_begun else self.plan
                )
                return
            connection.sendall(
                self._head(b'200', attempt, b'Content-Length: 17\r\n') + EVENT
            )

    def _break_off(
        self, connection: socket.socket, attempt: bytes, plan: Plan
    ) -> None:
        self.answered += plan is not BEGINNING
        head = self._head(plan.status, attempt, plan.framing)
        connection.sendall(head + plan.body)
        time.sleep(PAUSE_S)
        if plan.is_reset:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        else:
            connection.shutdown(socket.SHUT_WR)
            time.sleep(PAUSE_S)

    def _head(self, status: bytes, attempt: bytes, framing: bytes) -> bytes:
        return (
            b'HTTP/1.1 %s Status\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n'
            b'Content-Type: text/event-stream\r\n%s\r\n'
            % (status, attempt, framing)
        )


class InvalidAnswersTest(unittest.TestCase):
    """Requests to one endpoint of each service.

    :cvar objective_ms: a request waits for half of this for another endpoint
    """

    objective_ms = 200

    def setUp(self) -> None:
        self.numbers = itertools.count(1)
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        usual = msgspec.json.decode(platform_site.configuration(1))
        self.site.configure(
            1,
            routes=[
                {**route, 'sloMs': self.objective_ms}
                for route in usual['routes']
            ],
            limits={
                'maxHeaderBytes': 4_096,
                'maxBodyBytes': MAX_BODY_BYTES,
                'headerTimeoutMs': 300,
                'idleTimeoutMs': 5_000,
            },
        )
        self.endpoints = [
            self.replace('p1', platform_site.PLAIN_SERVICE, 0),
            self.replace('m1', platform_site.MODEL_SERVICE, 2),
        ]

    def replace(self, name: str, service: str, events: int) -> Endpoint:
        engine = self.site.add_engine(name, service, events)
        engine._server.close()
        endpoint = Endpoint(engine.address)
        self.addCleanup(endpoint.close)
        return endpoint

    def fetch(
        self,
        node: typing.Any,
        path: str,
        plan: Plan,
        warm: bool = False,
    ) -> platform_site.Reply:
        """Fetch with a long upload that the endpoints answer by *plan*.

        :param warm: whether a short request comes first, so that the
            connection to the endpoint is a kept one
        """
        for record in node.registry._records.values():
            record.health.end_pause()
        attempt = f'long-{next(self.numbers)}'
        caller = platform_site.CallerSocket(
            self.site.loop, node.ingress.address
        )
        self.addCleanup(caller.close)
        if warm:
            caller.send(platform_site.request_bytes(path, f'{attempt}-first'))
            looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
            self.assertEqual(200, caller.reply.status, path)
        for endpoint in self.endpoints:
            endpoint.plan, endpoint.attempt = plan, attempt.encode()
        body = LONG_BODY if plan.status == b'200' else LONG_BODY[:400_000]
        request = platform_site.request_bytes(path, attempt, body=body)
        caller.reply = platform_site.Reply()
        sender = threading.Thread(
            target=_send_all, args=(caller._socket, request), daemon=True
        )
        sender.start()
        began_s = time.monotonic()
        looping.run_until(
            self.site.loop, lambda: caller.reply.has_ended, timeout_s=9.0
        )
        self.assertLess(time.monotonic() - began_s, DEADLINE_S, (plan, path))
        sender.join()
        caller.close()
        for endpoint in self.endpoints:
            endpoint.plan = Plan()
        return caller.reply

    def check_failed(self, reply: platform_site.Reply, what: object) -> None:
        """No success that looks whole, and no status that is none."""
        self.assertFalse(reply.is_malformed, what)
        self.assertFalse(reply.status < 300 and reply.ended_cleanly, what)
        self.assertIn(reply.status, (200, 502), what)

    def check(
        self, node: typing.Any, plans: typing.Iterable[Plan], **options: bool
    ) -> None:
        for plan in plans:
            for path in PATHS:
                with self.subTest(plan=plan, path=path):
                    reply = self.fetch(node, path, plan, **options)
                    self.check_failed(reply, (plan, path))
        self.assertTrue(all(item.answered for item in self.endpoints))


def _send_all(sending: socket.socket, data: bytes) -> None:
    """Send over a socket that doesn't block, until it is closed."""
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[sending.send(rest) :]
        except BlockingIOError:
            time.sleep(0.001)
        except OSError:
            return


BROKEN_UPLOADS = [
    Plan(framing=framing, body=body, reads=reads, is_reset=True)
    for framing, body in (
        (b'', EVENT),
        (b'', EVENT[:5]),
        (b'Content-Length: 40\r\n', EVENT),
        (b'Transfer-Encoding: chunked\r\n', http1.encode_chunk(EVENT)),
    )
    for reads in (-1, 0, 100_000, None)
]
UNREAD_UPLOADS = [Plan(reads=reads) for reads in (-1, 0, 100_000)]
"""Answers that seem to end in order, to requests that were not all read."""

INVALID_STATUSES = (
    b'000', b'099', b'99', b'0', b'1000', b'2x0', b'', b'101', b'600', b'999',
    b'-200', b'00200',
)  # fmt: skip
INVALID = [
    *(
        Plan(status, framing, reads=reads)
        for status in INVALID_STATUSES
        for framing, reads in (
            (b'', None),
            (b'Content-Length: 17\r\n', 100_000),
        )
    ),
    # A body that an interim answer can't have.
    *(
        Plan(status, b'Content-Length: 17\r\n')
        for status in (b'100', b'102', b'150')
    ),
]


class BrokenUploadTest(InvalidAnswersTest):
    # Guards against MIXED: the part of a 200 without a length that had come
    # when its endpoint reset the connection, as a complete answer.
    def test_a_reset_during_the_upload_completes_no_answer(self) -> None:
        self.check(self.site.ready_node(), BROKEN_UPLOADS)

    def test_nor_over_a_kept_connection(self) -> None:
        self.check(
            self.site.ready_node(),
            [plan for plan in BROKEN_UPLOADS if plan.reads != -1],
            warm=True,
        )

    # Guards against the same where the reset comes behind the end.
    def test_an_end_before_the_upload_is_sent_completes_no_answer(
        self,
    ) -> None:
        self.check(self.site.ready_node(), UNREAD_UPLOADS)


class InvalidStatusTest(InvalidAnswersTest):
    # Guards against MIXED and LOST: a status that is none, taken for that of
    # an interim answer, and its body for the answer's.
    def test_an_invalid_status_fails_the_attempt(self) -> None:
        self.check(self.site.ready_node(), INVALID)

    def test_nor_over_a_kept_connection(self) -> None:
        self.check(self.site.ready_node(), INVALID, warm=True)

    # Guards against LOST: an answer that is refused as its endpoint sent an
    # interim one that nobody had asked for.
    def test_interim_answers_that_nobody_asked_for_are_skipped(self) -> None:
        node = self.site.ready_node()
        for status, path in itertools.product((b'100', b'102', b'103'), PATHS):
            whole = self.endpoints[0]._head(
                b'200', b'%s', b'Content-Length: 17\r\nConnection: close\r\n'
            )
            attempt = f'long-{next(self.numbers) + 1}'.encode()
            reply = self.fetch(
                node,
                path,
                Plan(status, body=whole.replace(b'%s', attempt) + EVENT),
            )
            self.assertEqual(200, reply.status, (status, path))
            self.assertEqual(EVENT, reply.body, (status, path))
            self.assertTrue(reply.ended_cleanly, (status, path))


class RelayedTest(InvalidAnswersTest):
    # A node that has just lost its link takes longer to find the way around.
    objective_ms = 1_000

    # Guards against the same behind a hop: both nodes frame the answer by
    # themselves, and one of them has no other answer to give.
    def test_an_answer_behind_another_node_fails(self) -> None:
        helper = self.site.ready_node()
        node = self.site.ready_node(seeds=(helper.peers.address,))
        looping.run_until(
            self.site.loop,
            lambda: helper.peers.table.count == node.peers.table.count == 2,
        )
        # A helper has to have heard the endpoints itself.
        for path in PATHS:
            self.assertEqual(200, self.site.fetch(helper, path).status)
        self.site.links.cut(node.loop, cut_links.Mode.RESET)
        for path in PATHS * 3:
            self.site.fetch(helper, path)
            self.site.fetch(node, path)
        looping.run_until(
            self.site.loop,
            lambda: self.site.fetch(node, '/lookup/a').status == 200,
        )
        plans = [
            plan
            for plan in [*BROKEN_UPLOADS, *UNREAD_UPLOADS, *INVALID]
            if plan.reads != -1
        ]
        for plan, path in itertools.product(plans, PATHS):
            with self.subTest(plan=plan, path=path):
                # The endpoint has to have been heard of late.
                for record in helper.registry._records.values():
                    record.health.end_pause()
                self.assertEqual(200, self.site.fetch(helper, path).status)
                self.check_failed(self.fetch(node, path, plan), (plan, path))
        self.assertTrue(all(item.answered for item in self.endpoints))


class ResumedTest(InvalidAnswersTest):
    # Guards against ORDER and MIXED: a stream that ends as if it were
    # complete, with a part of another answer, or with the text of a head.
    def test_what_goes_on_with_a_stream_fails(self) -> None:
        self.endpoints.append(
            self.replace('m2', platform_site.MODEL_SERVICE, 2)
        )
        node = self.site.ready_node()
        for endpoint in self.endpoints[1:]:
            endpoint.begins = True
        for plan in [*BROKEN_UPLOADS, *UNREAD_UPLOADS, *INVALID]:
            if plan.reads == -1:
                continue
            with self.subTest(plan=plan):
                reply = self.fetch(
                    node,
                    '/resumable/a',
                    plan._replace(body=plan.body.replace(EVENT, SECOND_EVENT)),
                )
                self.assertEqual(200, reply.status)
                self.assertIn(reply.body, (EVENT, EVENT + SECOND_EVENT))
                self.assertFalse(reply.ended_cleanly)
        self.assertTrue(any(item.answered for item in self.endpoints[1:]))
