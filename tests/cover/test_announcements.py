"""Endpoints that say in their answers that they leave, or want a pause.

Patterns: an endpoint leaves while the store is away or shows it as ready; all
endpoints of a service are full and name a pause; a burst of requests is on
its way to an endpoint that names one.
"""

import math
import socket
import typing
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.ingress import announcements
from guavachute.domain import endpoints
from guavachute.entry import node as entry_node
from guavachute import ids
from guavachute.platform import requests
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store
from tests.support import looping
from tests.support import platform_site

FIRST = announcements.Incarnation(ids.EndpointId('e'), 1)
AGAIN = announcements.Incarnation(ids.EndpointId('e'), 2)


class AnnouncementsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.known = announcements.Announcements()

    def test_an_end_holds_until_the_endpoint_starts_again(self) -> None:
        self.assertTrue(self.known.record_leaving(FIRST, 10.0))
        self.assertFalse(self.known.record_leaving(FIRST, 11.0))
        self.assertTrue(self.known.is_leaving(FIRST))
        self.assertFalse(self.known.is_leaving(AGAIN))

    def test_other_nodes_are_told_for_a_while(self) -> None:
        self.known.record_leaving(FIRST, 10.0)
        self.assertEqual([FIRST], self.known.notices(10.5))
        later_s = 10.1 + announcements.NOTICE_TTL_S
        self.assertEqual([], self.known.notices(later_s))
        self.assertTrue(self.known.is_leaving(FIRST))

    def test_an_end_is_in_doubt_at_the_next_start(self) -> None:
        self.known.record_leaving(FIRST, 10.0)
        self.assertTrue(self.known.is_in_doubt(AGAIN, 10.5))
        other = announcements.Incarnation(ids.EndpointId('f'), 2)
        self.assertFalse(self.known.is_in_doubt(other, 10.5))
        self.assertFalse(self.known.is_in_doubt(FIRST, 10.5))
        later_s = 10.1 + announcements.IN_DOUBT_S
        self.assertFalse(self.known.is_in_doubt(AGAIN, later_s))

    def test_a_longer_pause_is_not_shortened(self) -> None:
        self.assertTrue(self.known.record_pause(FIRST, 15.0))
        self.assertFalse(self.known.record_pause(FIRST, 12.0))
        self.assertEqual(5.0, self.known.pause_s(FIRST, 10.0))
        self.assertEqual(0.0, self.known.pause_s(AGAIN, 10.0))
        self.assertEqual([], self.known.pop_ended_pauses(14.9))
        self.assertEqual([FIRST], self.known.pop_ended_pauses(15.0))
        self.assertEqual(0.0, self.known.pause_s(FIRST, 14.0))

    @hypothesis.given(named_s=strategies.floats())
    def test_any_number_is_bounded(self, named_s: float) -> None:
        pause_s = announcements.bounded_pause_s(named_s)
        self.assertTrue(0 <= pause_s <= announcements.MAX_PAUSE_S)
        if 0 <= named_s <= announcements.MAX_PAUSE_S:
            self.assertEqual(named_s, pause_s)

    @hypothesis.given(
        pause_s=strategies.floats(0, 100), fraction=strategies.floats(0, 1)
    )
    def test_callers_return_after_the_pause_and_not_all_at_once(
        self, pause_s: float, fraction: float
    ) -> None:
        self.assertGreaterEqual(
            announcements.return_after_s(pause_s, fraction), pause_s
        )
        spread_s = announcements.return_after_s(
            pause_s, 1.0
        ) - announcements.return_after_s(pause_s, 0.0)
        self.assertGreaterEqual(spread_s, 0.19)

    def test_memory_is_bounded(self) -> None:
        for number in range(announcements.KEPT + 1):
            self.known.record_leaving(
                announcements.Incarnation(ids.EndpointId('e'), number), 1.0
            )
        self.assertFalse(
            self.known.is_leaving(
                announcements.Incarnation(ids.EndpointId('e'), 0)
            )
        )


class DecodedAnnouncementTest(unittest.TestCase):
    def read(self, status: int, **values: bytes) -> requests.Announcement:
        return requests.read_announcement(
            status,
            [
                (name.replace('_', '-').encode(), value)
                for name, value in values.items()
            ],
        )

    def test_a_pause_is_named_by_503_only(self) -> None:
        self.assertEqual(1.5, self.read(503, retry_after=b'1.5').retry_after_s)
        self.assertIsNone(self.read(200, retry_after=b'1.5').retry_after_s)
        self.assertIsNone(self.read(503).retry_after_s)

    def test_a_pause_that_is_no_number(self) -> None:
        found = self.read(503, Retry_After=b'Fri, 4 Dec 2026').retry_after_s
        assert found is not None
        self.assertTrue(math.isnan(found))

    def test_the_end_is_told_by_any_answer(self) -> None:
        self.assertTrue(self.read(404, Server_Leaving=b'1').is_leaving)
        self.assertFalse(self.read(200, Server_Leaving=b'0').is_leaving)
        self.assertFalse(self.read(200).is_leaving)


class AnnouncingSiteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.engine = self.add('e1')

    def add(self, name: str, events: int = 0) -> standin_engine.Engine:
        service = (
            platform_site.MODEL_SERVICE
            if events
            else platform_site.PLAIN_SERVICE
        )
        return self.site.add_engine(name, service, events)

    def until(self, condition: typing.Callable[[], object]) -> None:
        looping.run_until(self.site.loop, condition)

    def fetch(self, node: entry_node.Node, times: int = 1) -> list[int]:
        return [
            self.site.fetch(node, '/lookup/a', method='GET', body=b'').status
            for _ in range(times)
        ]


class LeavingEndpointTest(AnnouncingSiteTest):
    def test_it_gets_no_new_request_from_its_answer_on(self) -> None:
        second = self.add('e2')
        node = self.site.ready_node()
        self.engine.is_leaving = second.is_leaving = True
        self.assertEqual([200], self.fetch(node))
        left = self.engine if self.engine.runs else second
        other = second if left is self.engine else self.engine
        other.is_leaving = False
        self.assertEqual([200] * 5, self.fetch(node, 5))
        self.assertEqual(1, len(left.runs))

    def test_it_holds_whatever_the_store_shows(self) -> None:
        node = self.site.ready_node()
        self.engine.is_leaving = True
        self.assertEqual([200], self.fetch(node))
        self.engine.register()
        self.engine.unregister()
        self.until(lambda: not node.state.table.entries)
        node.registry.discard_gone()
        self.engine.register()
        self.until(lambda: node.state.table.entries)
        self.assertEqual([503], self.fetch(node))
        self.assertEqual(1, len(self.engine.runs))

    def test_it_is_used_when_it_has_started_again(self) -> None:
        node = self.site.ready_node()
        self.engine.is_leaving = True
        self.fetch(node)
        self.engine.is_leaving = False
        self.engine.register(born=2)
        self.until(
            lambda: all(
                item.start_ms == 2
                for item in node.state.table.entries.values()
            )
        )
        self.assertEqual([200], self.fetch(node))

    def restart_unknown(self) -> tuple[standin_engine.Engine, entry_node.Node]:
        """Restart the one endpoint, which tells its end before its entry."""
        node = self.site.ready_node()
        self.engine.incarnation = 2
        self.engine.is_leaving = True
        self.assertEqual([200], self.fetch(node))
        return self.add('e2'), node

    def until_started(self, node: entry_node.Node, start_ms: int) -> None:
        self.engine.register(born=start_ms)
        self.until(
            lambda: (
                node.state.table.entries[ids.EndpointId('e1')].start_ms
                == start_ms
                and len(node.state.table.entries) == 2
            )
        )

    def test_an_end_that_was_told_before_the_entry_of_its_start(self) -> None:
        """An answer doesn't name the start that it comes from."""
        second, node = self.restart_unknown()
        self.until_started(node, 2)
        self.assertEqual([200] * 8, self.fetch(node, 8))
        looping.run_for(self.site.loop, 0.5)
        self.assertEqual([200] * 8, self.fetch(node, 8))
        self.assertEqual((1, 16), (len(self.engine.runs), len(second.runs)))
        self.engine.is_leaving = False
        self.engine.incarnation = 3
        self.until_started(node, 3)
        self.until(lambda: self.fetch(node) and len(self.engine.runs) > 1)

    def test_other_nodes_are_told(self) -> None:
        first, second = self.site.ready_node(), self.site.ready_node()
        self.until(
            lambda: (
                first.peers.table.active_peers()
                and second.peers.table.active_peers()
            )
        )
        self.engine.is_leaving = True
        self.assertEqual([200], self.fetch(first))
        endpoint = ids.EndpointId('e1')
        self.until(
            lambda: (
                second.registry.record_for(
                    second.state.table.entries[endpoint]
                ).is_leaving
            )
        )
        self.assertEqual([503], self.fetch(second))
        self.assertEqual(1, len(self.engine.runs))

    def test_what_runs_there_goes_on(self) -> None:
        engine = self.add('m1', events=6)
        engine.event_pause_s = 0.05
        node = self.site.ready_node()
        engine.is_leaving = True
        reply = self.site.fetch(node, '/stream/a')
        self.assertTrue(reply.is_complete)
        self.assertEqual(6, reply.body.count(b'data:'))

    def test_an_end_that_was_told_before_a_restart_moves_nothing(
        self,
    ) -> None:
        """The moves of the earlier incarnation are scheduled still."""
        engine, other = self.add('m1', events=60), self.add('m2', events=60)
        node = self.site.ready_node()
        record = node.registry.record_for(
            node.state.table.entries[ids.EndpointId('m1')]
        )
        node.ingress.schedule_moves(record, 1.5)
        engine.register(born=2)
        other.register('draining')
        self.until(
            lambda: (
                node.state.table.entries[ids.EndpointId('m1')].start_ms == 2
                and node.state.table.entries[ids.EndpointId('m2')].state
                is endpoints.EndpointState.DRAINING
            )
        )
        other.register(born=2)
        engine.event_pause_s = 0.02
        caller = self.site.send(node, '/stream/a')
        self.until(lambda: engine.runs)
        self.until(lambda: caller.reply.has_ended)
        self.assertTrue(caller.reply.is_complete)
        self.assertEqual([], other.runs)

    def test_a_report_tells_it_while_the_store_is_away(self) -> None:
        engine = self.add('m1', events=200)
        engine.event_pause_s = 0.05
        node = self.site.ready_node()
        caller = self.site.send(node, '/stream/a', Prefix_Hash='ab:10')
        self.until(lambda: engine.runs)
        self.site.store.fault = standin_store.Fault.BUSY
        engine.is_leaving = True
        record = node.registry.record_for(
            node.state.table.entries[ids.EndpointId('m1')]
        )
        self.until(lambda: record.has_announced_end)
        self.assertIs(endpoints.EndpointState.READY, record.entry.state)
        caller.close()


class PausingEndpointTest(AnnouncingSiteTest):
    def shed(self, engine: standin_engine.Engine, retry_after: str) -> None:
        engine.behaviour = standin_engine.Behaviour.SHED
        engine.retry_after = retry_after

    def test_it_gets_no_request_until_the_pause_is_over(self) -> None:
        second = self.add('e2')
        node = self.site.ready_node()
        self.shed(self.engine, '0.8')
        self.shed(second, '0.8')
        self.fetch(node)
        refused = self.engine.refused + second.refused
        self.assertEqual([503] * 6, self.fetch(node, 6))
        self.assertLessEqual(self.engine.refused, 1)
        self.assertLessEqual(second.refused, 1)
        self.assertGreaterEqual(refused, 1)
        self.engine.behaviour = standin_engine.Behaviour.NORMAL
        second.behaviour = standin_engine.Behaviour.NORMAL
        looping.run_for(self.site.loop, 0.9)
        self.assertEqual([200], self.fetch(node))

    def test_others_serve_in_the_meantime(self) -> None:
        second = self.add('e2')
        node = self.site.ready_node()
        self.shed(self.engine, '30')
        self.assertEqual([200] * 8, self.fetch(node, 8))
        self.assertLessEqual(self.engine.refused, 1)
        self.assertEqual(8, len(second.runs))

    def test_callers_hear_at_once_when_to_return(self) -> None:
        node = self.site.ready_node()
        self.shed(self.engine, '5')
        self.fetch(node)
        now_s = self.site.loop.now_s
        reply = self.site.fetch(node, '/lookup/a', method='GET', body=b'')
        self.assertLess(self.site.loop.now_s - now_s, 0.2)
        self.assertEqual(503, reply.status)
        self.assertGreaterEqual(float(reply.headers['retry-after']), 4.5)

    def test_a_success_does_not_end_the_pause(self) -> None:
        """An answer to an earlier request may come after the rejection."""
        node = self.site.ready_node()
        record = node.registry.record_for(
            node.state.table.entries[ids.EndpointId('e1')]
        )
        node.ingress.handle_announcement(
            record, requests.Announcement(False, 5.0)
        )
        record.health.record_success(self.site.loop.now_s)
        self.assertEqual([503], self.fetch(node))

    def test_values_that_make_no_sense_are_bounded(self) -> None:
        node = self.site.ready_node()
        for value in ('soon', '-3', 'nan'):
            self.shed(self.engine, value)
            self.fetch(node)
            self.engine.behaviour = standin_engine.Behaviour.NORMAL
            self.assertEqual([200], self.fetch(node))

    def test_requests_that_are_not_on_their_way_go_elsewhere(self) -> None:
        """Connections to it are being established when it names a pause."""
        with socket.socket() as full:
            # A listener whose queue is full answers no new connection.
            full.bind(('127.0.0.1', 0))
            full.listen(0)
            address = ids.Address('127.0.0.1:%d' % full.getsockname()[1])
            fillers = [socket.socket() for _ in range(3)]
            for filler in fillers:
                self.addCleanup(filler.close)
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            self.engine.register(address=address)
            node = self.site.ready_node()
            record = node.registry.record_for(
                node.state.table.entries[ids.EndpointId('e1')]
            )
            caller = self.site.send(node, '/lookup/a', method='GET', body=b'')
            self.until(lambda: record.own.requests)
            node.ingress.handle_announcement(
                record, requests.Announcement(False, 5.0)
            )
            self.assertEqual(0, record.own.requests)
            self.until(lambda: caller.reply.has_ended)
            self.assertEqual(503, caller.reply.status)
