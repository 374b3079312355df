"""An engine stops in the middle of its answer's head and closes.

Load: where the head ends, by how (closed, reset), by kind of route, on new and
kept connections, in one piece and in several, behind an interim answer; as the
second answer of a stream that has begun; through another node; for callers of
HTTP/1.0. No caller may get a success that looks whole.
"""

import itertools
import typing
import unittest

from guavachute.entry import http1
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import server as standin_server
from tests.support import cut_links
from tests.support import looping
from tests.support import platform_site

PATHS = ('/lookup/a', '/order/a', '/stream/a', '/resumable/a')
INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
EVENT = b'id: 1\ndata: one\n\n'
STREAM = (b'Content-Type', b'text/event-stream')
PIECES_S = 0.01


class HalfHead(typing.NamedTuple):
    """How an engine's answer breaks off.

    :ivar cut: how much of the head is sent, in tenths; 9 is all but the empty
        line's last byte, 10 is the whole head without its body
    :ivar is_reset: whether the connection is reset, not closed
    :ivar pieces: in how many pieces it is sent, with pauses
    :ivar has_interim: whether an interim answer comes first
    """

    cut: int
    is_reset: bool = False
    pieces: int = 1
    has_interim: bool = False


SHAPES = [
    *(
        HalfHead(cut, is_reset)
        for cut, is_reset in itertools.product((1, 5, 9, 10), (False, True))
    ),
    HalfHead(5, pieces=3),
    HalfHead(9, is_reset=True, pieces=3),
    HalfHead(5, has_interim=True),
    HalfHead(10, pieces=3, has_interim=True),
]


class HalfHeadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.engines = [
            self.site.add_engine('p1', platform_site.PLAIN_SERVICE),
            self.site.add_engine('m1', platform_site.MODEL_SERVICE, 2),
        ]
        self.sent = 0

    def break_off(
        self, engine: standin_engine.Engine, shape: HalfHead
    ) -> None:
        """Let all further answers of *engine* break off."""

        def reply(answer: standin_server.Answer) -> None:
            self.sent += 1
            headers = engine._headers(answer)
            if engine.events:
                headers.append(STREAM)
            head = http1.encode_head(200, headers, 20, True)
            end = len(head) - (10 - shape.cut) * len(head) // 10
            part = head[: len(head) - 1 if shape.cut == 9 else end]
            self.send_part(answer, shape, part)

        engine._answer = reply  # type: ignore[method-assign]

    def send_part(
        self, answer: standin_server.Answer, shape: HalfHead, part: bytes
    ) -> None:
        loop = self.site.loop
        answer.connection.set_reset_on_close(shape.is_reset)
        if shape.has_interim:
            answer.send_raw(INTERIM)
        size = -(-len(part) // shape.pieces)
        pieces = [part[at : at + size] for at in range(0, len(part), size)]
        for number, piece in enumerate(pieces):
            loop.call_after(
                number * PIECES_S, lambda piece=piece: answer.send_raw(piece)
            )
        # A reset may overtake the bytes before it.
        loop.call_after(
            len(pieces) * PIECES_S if shape.is_reset else
            (len(pieces) - 1) * PIECES_S,
            answer.connection.close,
        )  # fmt: skip

    def check_failed(self, reply: platform_site.Reply, what: object) -> None:
        """No success that looks whole, and nothing of a head in the body."""
        self.assertFalse(reply.is_malformed, what)
        self.assertFalse(reply.status < 300 and reply.ended_cleanly, what)
        self.assertNotIn(b'HTTP/1.', reply.body, what)

    # Guards against MIXED: a 200 with an empty or short body, framed as whole.
    def test_the_first_answer_breaks_off(self) -> None:
        node = self.site.ready_node()
        for shape in SHAPES:
            for engine in self.engines:
                self.break_off(engine, shape)
            for path in PATHS:
                reply = self.site.fetch(node, path)
                self.check_failed(reply, (shape, path))
                self.assertEqual(502, reply.status, (shape, path))
            for record in node.registry._records.values():
                record.health.end_pause()

    # Guards against the same on a connection that has served before.
    def test_an_answer_on_a_kept_connection_breaks_off(self) -> None:
        node = self.site.ready_node()
        whole = [engine._answer for engine in self.engines]
        for shape in SHAPES:
            for path in PATHS[1:3]:
                for engine, answer in zip(self.engines, whole):
                    engine._answer = answer  # type: ignore[method-assign]
                for record in node.registry._records.values():
                    record.health.end_pause()
                caller = self.site.send(node, path)
                looping.run_until(
                    self.site.loop, lambda: caller.reply.has_ended
                )
                self.assertEqual(200, caller.reply.status)
                for engine in self.engines:
                    self.break_off(engine, shape)
                caller.send(
                    platform_site.request_bytes(path, f'kept-{self.sent}')
                )
                looping.run_until(
                    self.site.loop, lambda: caller.reply.has_ended
                )
                self.check_failed(caller.reply, (shape, path))
                caller.close()

    # Guards against ORDER: the text of a head inside a stream, or its end.
    def test_the_second_answer_of_a_stream_breaks_off(self) -> None:
        for shape in SHAPES:
            site = self.site = platform_site.PlatformSite()
            self.addCleanup(site.close)
            site.configure(1)
            engines = [
                site.add_engine(name, platform_site.MODEL_SERVICE, 2)
                for name in ('m1', 'm2')
            ]
            node = site.ready_node()
            began: list[standin_engine.Engine] = []

            def begin(
                answer: standin_server.Answer,
                engine: standin_engine.Engine,
                shape: HalfHead = shape,
                engines: list[standin_engine.Engine] = engines,
                began: list[standin_engine.Engine] = began,
            ) -> None:
                began.append(engine)
                head = http1.encode_head(
                    200, [*engine._headers(answer), STREAM], None, False
                )
                answer.send_raw(head + http1.encode_chunk(EVENT))
                for other in engines:
                    self.break_off(other, shape)
                self.site.loop.call_after(0.02, answer.abort)

            for engine in engines:
                engine._answer = (  # type: ignore[method-assign]
                    lambda answer, engine=engine: begin(answer, engine)
                )
            self.sent = 0
            reply = site.fetch(node, '/resumable/a')
            self.assertEqual((1, 1), (len(began), self.sent), shape)
            self.check_failed(reply, shape)
            self.assertEqual(EVENT, reply.body, shape)

    # Guards against MIXED for callers whose answers end with the connection.
    def test_a_caller_of_http_1_0_gets_no_success(self) -> None:
        node = self.site.ready_node()
        for shape in SHAPES:
            for engine in self.engines:
                self.break_off(engine, shape)
            for path in PATHS[::2]:
                for record in node.registry._records.values():
                    record.health.end_pause()
                caller = platform_site.CallerSocket(
                    self.site.loop, node.ingress.address
                )
                self.addCleanup(caller.close)
                self.sent += 1
                caller.send(
                    platform_site.request_bytes(
                        path, f'old-{self.sent}'
                    ).replace(b'HTTP/1.1', b'HTTP/1.0')
                )
                looping.run_until(
                    self.site.loop, lambda: caller.reply.has_ended
                )
                self.check_failed(caller.reply, (shape, path))
                self.assertFalse(caller.reply.status < 300, (shape, path))

    # Guards against MIXED behind a hop: the node that passes the request on
    # and the one that took it both frame the answer by themselves.
    def test_an_answer_breaks_off_behind_another_node(self) -> None:
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
        for shape in SHAPES:
            for engine in self.engines:
                self.break_off(engine, shape)
            for path in PATHS:
                for record in helper.registry._records.values():
                    record.health.end_pause()
                self.check_failed(self.site.fetch(node, path), (shape, path))
        self.assertGreater(self.sent, len(SHAPES))
