"""What may follow when a stream has begun and its engine breaks off.

Load: kind of the second answer, by what marks the end of the first one, by
whether the first broke off inside an event or between two. The caller must get
a sound stream, or one that is cut: no head, no text of an error, no other kind
of body, and no end that looks complete.
"""

import unittest

from guavachute.entry import http1
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import server as standin_server
from tests.support import looping
from tests.support import platform_site

EVENT_1 = b'id: 1\ndata: one\n\n'
EVENT_2 = b'id: 2\ndata: two\n\n'
HALF_EVENT = b'id: 2\nda'
STREAM = (b'Content-Type', b'text/event-stream')
JSON = (b'Content-Type', b'application/json')
ERROR_TEXT = b'{"error": "overloaded"}\n\n{"more": 1}\n\n'

WRONG_SECONDS = {
    'error': (500, (JSON,), ERROR_TEXT),
    'error as events': (500, (STREAM,), ERROR_TEXT),
    'not found': (404, (JSON,), ERROR_TEXT),
    'redirect': (307, ((b'Location', b'/elsewhere'),), b''),
    'whole answer': (200, (JSON,), ERROR_TEXT),
    'no type': (200, (), ERROR_TEXT),
    'empty': (200, (JSON,), b''),
    'empty without a type': (200, (), b''),
    'no content': (204, (), b''),
    'encoded': (200, (STREAM, (b'Content-Encoding', b'gzip')), EVENT_2),
    'event that is not whole': (200, (STREAM,), HALF_EVENT),
}


class SecondAnswersTest(unittest.TestCase):
    def play(
        self,
        is_framed: bool,
        is_inside_event: bool,
        second: tuple[int, tuple[tuple[bytes, bytes], ...], bytes],
    ) -> platform_site.Reply:
        """What a caller gets of a stream whose engine breaks off."""
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        answered: list[str] = []

        def answer_as(engine: standin_engine.Engine) -> None:
            def reply(answer: standin_server.Answer) -> None:
                headers = engine._headers(answer)
                is_first = not answered
                answered.append(engine.name)
                if not is_first:
                    status, more, body = second
                    answer.reply(status, body, [*headers, *more])
                    return
                headers.append(STREAM)
                part = EVENT_1 + (HALF_EVENT if is_inside_event else b'')
                if is_framed:
                    part = http1.encode_chunk(part)
                    head = http1.encode_head(200, headers, None, False)
                else:
                    head = http1.encode_unframed_head(200, headers)
                    answer.connection.set_reset_on_close(True)
                answer.send_raw(head + part)
                site.loop.call_after(0.05, answer.abort)

            engine._answer = reply  # type: ignore[method-assign]

        for name in ('e1', 'e2'):
            answer_as(site.add_engine(name, platform_site.MODEL_SERVICE, 2))
        caller = site.send(site.ready_node(), '/resumable/a')
        looping.run_until(site.loop, lambda: caller.reply.has_ended)
        self.assertEqual(2, len(answered))
        return caller.reply

    # Guards against ORDER and MIXED: an error's text in the middle of a
    # stream, and streams that end as if they were complete.
    def test_what_is_no_continuation_cuts_the_stream(self) -> None:
        for is_framed in (True, False):
            for is_inside_event in (True, False):
                for name, second in WRONG_SECONDS.items():
                    with self.subTest(
                        second=name,
                        is_framed=is_framed,
                        is_inside_event=is_inside_event,
                    ):
                        reply = self.play(is_framed, is_inside_event, second)
                        self.assertEqual(200, reply.status)
                        self.assertEqual(EVENT_1, reply.body)
                        self.assertFalse(reply.ended_cleanly)

    def test_the_events_that_follow_continue_it(self) -> None:
        for is_framed in (True, False):
            for is_inside_event in (True, False):
                reply = self.play(
                    is_framed, is_inside_event, (200, (STREAM,), EVENT_2)
                )
                self.assertEqual(EVENT_1 + EVENT_2, reply.body)
                self.assertTrue(reply.ended_cleanly)

    # The last event came, and its engine broke off before the end.
    def test_an_empty_stream_after_the_last_event_ends_it(self) -> None:
        reply = self.play(
            True,
            False,
            (200, ((STREAM[0], b'Text/Event-Stream; charset=utf-8'),), b''),
        )
        self.assertEqual(EVENT_1, reply.body)
        self.assertTrue(reply.ended_cleanly)
