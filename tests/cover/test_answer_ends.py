"""How an endpoint's answer ends, and what its caller is told of that.

A load of streams, some of which are broken off, over all framings: none, a
length and chunks.
"""

import unittest

from guavachute.standin.platform import engine as standin_engine
from tests.support import platform_site

Behaviour = standin_engine.Behaviour

EVENTS = 4


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
