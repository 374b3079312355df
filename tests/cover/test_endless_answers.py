"""Bytes without end, in a head or a body, until the reader closes.

A load of such answers from endpoints, the store and peers, at full speed.
"""

import typing
import unittest

from guavachute.decide.ingress import kept_bytes
from guavachute.entry import control_client
from guavachute.entry import http1
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import server as standin_server
from tests.support import looping
from tests.support import platform_site

Behaviour = standin_engine.Behaviour

PIECE = b'x' * 65_536
MAX_READ_BYTES = 8_388_608
"""Far more than a node needs to see that an answer has no end; it must not
read on until its deadline."""

SOON_S = 1.0
"""Well before the callers' deadline of three seconds."""


class EndlessAnswerTest(unittest.TestCase):
    def check(self, behaviour: Behaviour, path: str, status: int) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        is_model = path.startswith('/stream')
        engine = site.add_engine(
            'e1',
            platform_site.MODEL_SERVICE
            if is_model
            else platform_site.PLAIN_SERVICE,
            4 if is_model else 0,
        )
        engine.behaviour = behaviour
        node = site.ready_node()
        started_s = site.loop.now_s
        reply = site.fetch(node, path)
        self.assertEqual(status, reply.status)
        self.assertLess(site.loop.now_s - started_s, SOON_S)
        # The connection is closed: nothing more is sent on it.
        sent_bytes = engine.flooded_bytes
        looping.run_for(site.loop, 0.1)
        self.assertLess(engine.flooded_bytes - sent_bytes, 10 * len(PIECE))
        self.assertLess(engine.flooded_bytes, MAX_READ_BYTES)

    # Guards against memory and links filled by a head that never ends.
    def test_a_head_without_end(self) -> None:
        self.check(Behaviour.ENDLESS_HEAD, '/order/a', 502)
        self.check(Behaviour.ENDLESS_HEAD, '/stream/a', 502)

    def test_interim_answers_without_end(self) -> None:
        self.check(Behaviour.ENDLESS_INTERIM, '/order/a', 502)

    def test_a_body_without_end(self) -> None:
        self.check(Behaviour.ENDLESS_BODY, '/order/a', 502)
        self.check(Behaviour.ENDLESS_BODY, '/stream/a', 502)

    def test_a_trailer_without_end(self) -> None:
        self.check(Behaviour.ENDLESS_TRAILER, '/order/a', 502)

    # The refusal itself is complete with its head.
    def test_a_refusal_without_end(self) -> None:
        self.check(Behaviour.ENDLESS_REFUSAL, '/order/a', 503)

    def test_an_answer_to_another_request_without_end(self) -> None:
        self.check(Behaviour.ENDLESS_FOREIGN, '/order/a', 502)

    # Guards against heads that are counted one by one, and never together.
    def test_answers_to_other_requests_without_end(self) -> None:
        self.check(Behaviour.ENDLESS_ANSWERS, '/order/a', 502)
        self.check(Behaviour.ENDLESS_ANSWERS, '/stream/a', 502)


class ManyEndlessAnswersTest(unittest.TestCase):
    """Answers without end to many requests at once, as of nine engines."""

    # Guards against memory that is filled by many answers, each within its
    # limit.
    def test_all_together_are_bounded_and_the_largest_go_first(self) -> None:
        kept = kept_bytes.KeptBytes()
        kept.record('small', 1_000)
        given_up = 0
        sizes = dict.fromkeys(range(100), 0)
        while sizes:
            for holder in list(sizes):
                sizes[holder] += 8_192
                kept.record(holder, sizes[holder])
                self.assertFalse(kept.is_too_much('small'))
                if kept.is_too_much(holder):
                    kept.record(holder, 0)
                    given_up += 1
                    del sizes[holder]
                self.assertLessEqual(
                    kept.total_bytes, kept_bytes.MAX_TOTAL_BYTES + 8_192
                )
            if given_up > 80:
                break
        self.assertEqual(1_000 + sum(sizes.values()), kept.total_bytes)

    # Guards against processes that end for want of memory.
    def test_forty_answers_without_end_at_one_node(self) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        for number in range(3):
            engine = site.add_engine(f'e{number}', platform_site.PLAIN_SERVICE)
            engine.behaviour = Behaviour.ENDLESS_BODY
        node = site.ready_node()
        callers = [site.send(node, '/order/a') for _ in range(40)]
        most_bytes = 0
        while not all(caller.reply.has_ended for caller in callers):
            looping.run_for(site.loop, 0.01)
            most_bytes = max(most_bytes, node.ingress._kept.total_bytes)
        self.assertLess(
            most_bytes, kept_bytes.MAX_TOTAL_BYTES + 40 * len(PIECE)
        )
        self.assertEqual(0, node.ingress._kept.total_bytes)
        self.assertEqual({502}, {caller.reply.status for caller in callers})


class EndlessReplyTest(unittest.TestCase):
    # Guards against a store or peer whose reply fills the memory.
    def test_replies_without_end_fail(self) -> None:
        for start in (
            b'HTTP/1.1 200 OK\r\nServer: ',
            b'HTTP/1.1 200 OK\r\n\r\n',
        ):
            site = platform_site.PlatformSite()
            self.addCleanup(site.close)
            sent: list[int] = []

            def flood(answer: standin_server.Answer) -> None:
                if answer.is_disconnected:
                    return
                if not answer.connection.unsent_bytes:
                    answer.send_raw(PIECE)
                    sent.append(len(PIECE))
                site.loop.call_after(0.001, lambda: flood(answer))

            def serve(
                answer: standin_server.Answer, start: bytes = start
            ) -> None:
                answer.send_raw(start)
                flood(answer)

            server = standin_server.Server(site.loop, serve)
            client = control_client.Client(site.loop, server.address)
            replies: list[typing.Any] = []
            client.call(b'GET', b'/', replies.append, 2.0)
            looping.run_until(site.loop, lambda: replies)
            self.assertEqual([control_client.CallFailure.NO_ANSWER], replies)
            self.assertLess(sum(sent), 4 * MAX_READ_BYTES)
            server.close()


class EndlessRequestTest(unittest.TestCase):
    def test_a_trailer_of_a_request_without_end(self) -> None:
        reader = http1.RequestReader(4_096, 65_536)
        reader.feed(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'1\r\nx\r\n0\r\nServer: '
        )
        for _ in range(3):
            reader.feed(PIECE)
        self.assertIs(http1.Problem.HEAD_TOO_LARGE, reader.problem)

    def test_a_connection_with_bytes_outside_of_answers_is_closed(
        self,
    ) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        engine = site.add_engine('e1', platform_site.PLAIN_SERVICE)
        node = site.ready_node()
        answers: list[standin_server.Answer] = []
        real = engine._answer_plain

        def answer_plain(answer: standin_server.Answer) -> None:
            real(answer)
            answers.append(answer)

        engine._answer_plain = answer_plain  # type: ignore[method-assign]
        site.fetch(node, '/order/a')
        # An incomplete head, which is no event of any answer.
        answers[0].connection.write(b'HTTP/1.1 200 OK\r\nServer: x')
        looping.run_until(
            site.loop, lambda: answers[0].connection.is_closed, 2.0
        )
