"""How an endpoint's answer ends, and what its caller is told of that.

A load of streams, some of which are broken off, over all framings: none, a
length and chunks.
"""

import os
import socket
import subprocess
import sys
import unittest

from guavachute.standin.platform import engine as standin_engine
from tests.support import looping
from tests.support import platform_site

Behaviour = standin_engine.Behaviour

EVENTS = 4
NO_EVENTS = -1
"""A stream that ends before its first event."""


class AnswerEndTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)

    def engine(
        self, name: str, behaviour: Behaviour, events: int = EVENTS
    ) -> standin_engine.Engine:
        service = (
            platform_site.MODEL_SERVICE
            if events
            else platform_site.PLAIN_SERVICE
        )
        engine = self.site.add_engine(name, service, events)
        engine.behaviour = behaviour
        return engine

    def fetch(self, path: str) -> platform_site.Reply:
        return self.site.fetch(self.site.ready_node(), path)


class BrokenStreamTest(AnswerEndTest):
    # Guards against a stream that an endpoint broke off inside an event, and
    # that its caller took for complete, as the connection closed in order.
    def test_a_close_inside_an_event_does_not_complete_a_stream(self) -> None:
        self.engine('e1', Behaviour.UNFRAMED_BREAK)
        reply = self.fetch('/stream/a')
        self.assertFalse(reply.is_complete)
        self.assertNotIn(b'e1-4', reply.body)
        self.assertTrue(reply.body.endswith(b'\n\n'))

    # Guards against the same, where the endpoint's chunks ended as well.
    def test_a_last_chunk_inside_an_event_does_not_complete_a_stream(
        self,
    ) -> None:
        self.engine('e1', Behaviour.TORN)
        reply = self.fetch('/stream/a')
        self.assertFalse(reply.is_complete)
        self.assertTrue(reply.body.endswith(b'\n\n'))

    def test_a_reset_between_events_does_not_complete_a_stream(self) -> None:
        self.engine('e1', Behaviour.UNFRAMED_RESET)
        reply = self.fetch('/stream/a')
        self.assertFalse(reply.is_complete)
        self.assertEqual(EVENTS - 1, reply.body.count(b'\n\n'))

    # Guard against a broken stream that ends although it can be resumed.
    def test_a_stream_closed_inside_an_event_is_resumed(self) -> None:
        self.check_resumes(Behaviour.UNFRAMED_BREAK)

    def test_a_stream_whose_chunks_end_inside_an_event_is_resumed(
        self,
    ) -> None:
        self.check_resumes(Behaviour.TORN)

    def test_a_stream_reset_between_events_is_resumed(self) -> None:
        self.check_resumes(Behaviour.UNFRAMED_RESET)

    def check_resumes(self, behaviour: Behaviour) -> None:
        bad = self.engine('e1', behaviour)
        self.engine('e2', Behaviour.NORMAL)
        node = self.site.ready_node()
        # Requests go to both endpoints.
        replies = [self.site.fetch(node, '/resumable/a') for _ in range(4)]
        self.assertTrue(bad.runs)
        for reply in replies:
            self.assertTrue(reply.is_closed or reply.is_complete)
            self.assertFalse(reply.was_reset)
            self.assertEqual(EVENTS, reply.body.count(b'\n\n'))
            self.assertIn(b'id: 4\n', reply.body)


class UnframedAnswerTest(AnswerEndTest):
    # Guards against a body that a close cut off, handed on with a length.
    def test_a_body_that_a_close_cut_off_gets_no_length(self) -> None:
        self.engine('e1', Behaviour.UNFRAMED_BREAK, events=0)
        reply = self.fetch('/order/a')
        self.assertEqual(b'answe', reply.body)
        self.assertFalse(reply.is_framed)
        self.assertEqual('close', reply.headers['connection'])

    def test_a_whole_body_is_handed_on_without_a_length(self) -> None:
        self.engine('e1', Behaviour.UNFRAMED, events=0)
        reply = self.fetch('/order/a')
        self.assertEqual((200, b'answer of e1'), (reply.status, reply.body))
        self.assertFalse(reply.is_framed)
        self.assertFalse(reply.was_reset)

    # Guards against a stream that a crash ended between two events, whose
    # caller is told by a last chunk that it is complete.
    def test_a_stream_without_a_length_is_handed_on_without_one(self) -> None:
        self.engine('e1', Behaviour.UNFRAMED)
        reply = self.fetch('/stream/a')
        self.assertEqual(EVENTS, reply.body.count(b'\n\n'))
        self.assertFalse(reply.is_framed)
        self.assertFalse(reply.was_reset)
        self.assertEqual('close', reply.headers['connection'])

    # Guards against a break that looks like the end, as nothing else marks
    # the end of such an answer.
    def test_a_break_of_a_stream_without_a_length_is_a_reset(self) -> None:
        self.engine('e1', Behaviour.UNFRAMED_BREAK)
        self.assertTrue(self.fetch('/stream/a').was_reset)

    def test_a_node_that_ends_amid_such_a_stream_resets_it(self) -> None:
        self.engine('e1', Behaviour.UNFRAMED).event_pause_s = 5.0
        node = self.site.ready_node()
        caller = self.site.send(node, '/stream/a')
        looping.run_until(self.site.loop, lambda: caller.reply.body)
        node.ingress.close()
        looping.run_until(self.site.loop, lambda: caller.reply.is_closed)
        self.assertTrue(caller.reply.was_reset)

    def test_a_stream_that_a_close_ends_before_its_first_event_failed(
        self,
    ) -> None:
        self.engine('e1', Behaviour.UNFRAMED, events=NO_EVENTS)
        self.assertEqual(502, self.fetch('/stream/a').status)

    def test_a_caller_that_has_all_events_gets_the_empty_rest(self) -> None:
        self.engine('e1', Behaviour.UNFRAMED)
        node = self.site.ready_node()
        first = self.site.fetch(node, '/resumable/a')
        reply = self.site.fetch(
            node,
            '/resumable/a',
            Last_Event_Id='4',
            Resumes=first.headers['attempt-id'],
        )
        self.assertEqual((200, b''), (reply.status, reply.body))
        self.assertFalse(reply.was_reset)

    # Guards against a last chunk after an attempt whose end is uncertain.
    def test_a_chunked_answer_that_ends_unframed_is_cut(self) -> None:
        reply = self.resume(Behaviour.BREAK, Behaviour.UNFRAMED)
        self.assertEqual(EVENTS, reply.body.count(b'\n\n'))
        self.assertTrue(reply.is_framed)
        self.assertFalse(reply.is_complete)

    def test_an_unframed_answer_that_ends_in_chunks_is_closed(self) -> None:
        reply = self.resume(Behaviour.UNFRAMED_BREAK, Behaviour.NORMAL)
        self.assertEqual(EVENTS, reply.body.count(b'\n\n'))
        self.assertFalse(reply.is_framed)
        self.assertFalse(reply.was_reset)

    def resume(
        self, first: Behaviour, second: Behaviour
    ) -> platform_site.Reply:
        """The first answer that goes from one endpoint on to the other."""
        bad = self.engine('e1', first)
        good = self.engine('e2', second)
        node = self.site.ready_node()
        for _ in range(9):
            reply = self.site.fetch(node, '/resumable/a')
            if bad.runs and 'last-event-id' in good.runs[-1].headers:
                return reply
        raise AssertionError('no stream was resumed')


class ProcessEndTest(unittest.TestCase):
    # Guards against a process whose end looks like the end of its answers.
    def test_connections_are_reset_when_their_process_is_killed(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            process = subprocess.Popen(
                [sys.executable, '-c', UNFRAMED_SENDER],
                env={
                    **os.environ,
                    'ADDRESS': '%s:%d' % listener.getsockname(),
                },
            )
            connection, _ = listener.accept()
            with connection:
                self.assertEqual(b'part', connection.recv(4))
                process.kill()
                process.wait()
                with self.assertRaises(ConnectionResetError):
                    connection.recv(1)


UNFRAMED_SENDER = """
import os
from guavachute.entry import loop, transport
running = loop.Loop()
connection = transport.connect(running, os.environ['ADDRESS'])
connection.set_reset_on_close(True)
connection.write(b'part')
running.run()
"""
