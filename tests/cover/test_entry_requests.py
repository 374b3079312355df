"""Requests through a complete node, to healthy and faulty endpoints."""

import unittest
from unittest import mock

import msgspec

from guavachute.domain import call
from guavachute.entry import endpoint_registry
from guavachute import ids
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store
from tests.support import looping
from tests.support import platform_site

Behaviour = standin_engine.Behaviour
OBJECTIVE_S = 1.0


class RequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)

    def engine(self, name: str, events: int = 0) -> standin_engine.Engine:
        service = (
            platform_site.MODEL_SERVICE
            if events
            else platform_site.PLAIN_SERVICE
        )
        return self.site.add_engine(name, service, events)


class ForwardingTest(RequestTest):
    def test_an_answer_comes_back_as_the_endpoint_gave_it(self) -> None:
        self.engine('e1')
        reply = self.site.fetch(self.site.ready_node(), '/order/new?x=1')
        self.assertEqual(200, reply.status)
        self.assertEqual(b'answer of e1', reply.body)
        self.assertEqual('stamp-of-e1', reply.headers['server-stamp'])
        self.assertNotIn('instance-load', reply.headers)

    def test_the_endpoint_gets_the_workspace_and_not_the_key(self) -> None:
        engine = self.engine('e1')
        self.site.fetch(
            self.site.ready_node(),
            '/order/new',
            Tenant='zoology',
            Hold='h',
            Kv_From='x',
            Expect_Instance='other',
            Custom='kept',
            Connection='Custom-Hop, Model, keep-alive',
            Custom_Hop='dropped',
            Model='m',
        )
        (run,) = engine.runs
        self.assertEqual('botany', run.headers['tenant'])
        self.assertEqual('e1', run.headers['expect-instance'])
        self.assertEqual('kept', run.headers['custom'])
        self.assertEqual('m', run.headers['model'])
        self.assertLessEqual(int(run.headers['deadline-ms']), 3_000)
        for name in ('authorization', 'hold', 'kv-from', 'custom-hop'):
            self.assertNotIn(name, run.headers)
        self.assertEqual(b'question', run.body)

    def test_events_come_as_they_are_made(self) -> None:
        engine = self.engine('e1', events=3)
        engine.event_pause_s = 0.05
        caller = self.site.send(self.site.ready_node(), '/stream/a')
        looping.run_until(self.site.loop, lambda: b'e1-1' in caller.reply.body)
        self.assertFalse(caller.reply.is_complete)
        looping.run_until(self.site.loop, lambda: caller.reply.is_complete)
        self.assertEqual(3, caller.reply.body.count(b'\n\n'))
        caller.close()

    def test_a_connection_serves_request_after_request(self) -> None:
        self.engine('e1')
        node = self.site.ready_node()
        caller = platform_site.CallerSocket(
            self.site.loop, node.ingress.address
        )
        for number in range(3):
            caller.send(
                platform_site.request_bytes('/order/a', f'again-{number}')
            )
            looping.run_until(self.site.loop, lambda: caller.reply.is_complete)
            self.assertEqual(200, caller.reply.status)
        caller.close()

    def test_an_endpoint_stops_when_its_caller_leaves(self) -> None:
        engine = self.engine('e1')
        engine.behaviour = Behaviour.SILENT
        caller = self.site.send(self.site.ready_node(), '/order/a')
        looping.run_until(self.site.loop, lambda: engine.runs)
        caller.close()
        looping.run_until(
            self.site.loop, lambda: engine.runs[0].is_cancelled, timeout_s=0.5
        )


class HeldByCallersTest(RequestTest):
    """What one caller makes the process hold."""

    def test_all_requests_sent_at_once_are_answered(self) -> None:
        """Guards against requests that stay unparsed behind another."""
        engine = self.engine('e1')
        node = self.site.ready_node()
        caller = platform_site.CallerSocket(
            self.site.loop, node.ingress.address
        )
        self.addCleanup(caller.close)
        caller.send(
            b''.join(
                platform_site.request_bytes(
                    '/order/a', f'attempt-{number}', body=b'x' * 3_000
                )
                for number in range(40)
            )
        )
        looping.run_until(self.site.loop, lambda: len(engine.runs) >= 40)
        self.assertEqual(40, len(engine.runs))

    def test_remembered_prompt_parts_are_bounded_over_all_endpoints(
        self,
    ) -> None:
        """Guards against callers who send ever new parts."""
        self.engine('e1')
        node = self.site.ready_node()
        (entry,) = node.state.table.entries.values()
        record = node.registry.record_for(entry)
        parts = [call.PromptPart(f'part-{n}', 1) for n in range(9_000)]
        record.record_prompt(parts)
        self.assertEqual(
            endpoint_registry.MAX_CACHED_PARTS, len(record.cached)
        )
        record.limit_cached_parts(100)
        self.assertEqual(
            endpoint_registry.MAX_ALL_CACHED_PARTS // 100, len(record.cached)
        )
        self.assertIn('part-8999', record.cached)


class RefusalTest(RequestTest):
    def test_what_no_route_serves_is_not_found(self) -> None:
        self.engine('e1')
        reply = self.site.fetch(self.site.ready_node(), '/nowhere/a')
        self.assertEqual(404, reply.status)

    def test_an_unknown_key_is_refused(self) -> None:
        engine = self.engine('e1')
        reply = self.site.fetch(
            self.site.ready_node(), '/order/a', key='wrong-key'
        )
        self.assertEqual(401, reply.status)
        self.assertEqual([], engine.runs)

    def test_without_a_configuration_nothing_is_called_unknown(self) -> None:
        self.site.store.put('keyed.op', 'config', None)
        node = self.site.add_node()
        reply = self.site.fetch(node, '/order/a')
        self.assertEqual(503, reply.status)
        self.assertGreater(float(reply.headers['retry-after']), 0)

    def test_without_an_endpoint_the_caller_may_come_back(self) -> None:
        node = self.site.ready_node()
        reply = self.site.fetch(node, '/lookup/a', method='GET')
        self.assertEqual(503, reply.status)
        self.assertGreater(float(reply.headers['retry-after']), 0)

    def test_a_used_up_quota_says_when_to_come_back(self) -> None:
        engine = self.engine('e1', events=2)
        tenant = {
            'name': 'botany', 'apiKeys': [platform_site.KEY],
            'unit': 'tokens', 'uncachedTokens': 100,
            'ratePerS': 1_000, 'burst': 1_000,
        }  # fmt: skip
        self.site.configure(2, tenants=[tenant])
        node = self.site.ready_node()
        replies = [
            self.site.fetch(node, '/stream/a', Token_Counts='900,100')
            for _ in range(3)
        ]
        refused = [reply for reply in replies if reply.status == 429]
        self.assertTrue(refused)
        self.assertEqual(len(engine.runs), 3 - len(refused))
        for reply in refused:
            self.assertGreater(float(reply.headers['retry-after']), 0)

    def test_a_quota_that_is_there_soon_is_waited_for(self) -> None:
        engine = self.engine('e1', events=2)
        tenant = {
            'name': 'botany', 'apiKeys': [platform_site.KEY],
            'unit': 'tokens', 'uncachedTokens': 100,
            'ratePerS': 1_000, 'burst': 1_000,
        }  # fmt: skip
        self.site.configure(2, tenants=[tenant])
        node = self.site.ready_node()
        for counts in ('900,100', '90,10', '90,10'):
            reply = self.site.fetch(node, '/stream/a', Token_Counts=counts)
            self.assertEqual(200, reply.status)
        self.assertEqual(3, len(engine.runs))
        self.assertIn(b'guavachute_admission_waiting 0', node.metrics.text())

    def test_a_body_beyond_the_limit_is_refused(self) -> None:
        engine = self.engine('e1')
        reply = self.site.fetch(
            self.site.ready_node(), '/order/a', body=b'x' * 70_000
        )
        self.assertEqual(413, reply.status)
        self.assertEqual([], engine.runs)

    def test_a_head_beyond_the_limit_is_refused(self) -> None:
        reply = self.site.fetch(
            self.site.ready_node(), '/order/a', Filler='x' * 5_000
        )
        self.assertEqual(431, reply.status)

    def test_a_head_that_does_not_end_times_out(self) -> None:
        node = self.site.ready_node()
        caller = platform_site.CallerSocket(
            self.site.loop, node.ingress.address
        )
        caller.send(b'POST /order/a HTTP/1.1\r\nHost: x\r\n')
        looping.run_until(self.site.loop, lambda: caller.reply.is_complete)
        self.assertEqual(408, caller.reply.status)
        caller.close()

    def test_smuggled_requests_reach_no_endpoint(self) -> None:
        engine = self.engine('e1')
        node = self.site.ready_node()
        hidden = platform_site.request_bytes('/order/hidden', 'hidden')
        good = platform_site.request_bytes('/order/a', 'outer', body=b'')
        head = good.removesuffix(b'\r\n\r\n')
        for spoilt in (
            head + b'\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            head + b'\r\nContent-Length: 5\r\n\r\n',
            head + b'\nX: y\r\n\r\n',
            head + b'\r\nX : y\r\n\r\n',
            head + b'\r\nX: a\r\n folded\r\n\r\n',
            head + b'\r\nX: a\rb\r\n\r\n',
            head + b'\r\nHost: elsewhere.example\r\n\r\n',
            head + b'\r\nAttempt-Id: second\r\n\r\n',
        ):
            caller = platform_site.CallerSocket(
                self.site.loop, node.ingress.address
            )
            caller.send(spoilt + hidden)
            looping.run_until(
                self.site.loop, lambda: caller.reply.status or
                caller.reply.is_closed,
            )  # fmt: skip
            with self.subTest(request=spoilt):
                self.assertEqual(400, caller.reply.status)
            caller.close()
        self.assertEqual([], engine.runs)


def event_ids(body: bytes) -> list[bytes]:
    return [line for line in body.split(b'\n') if line.startswith(b'id:')]


class MoveTest(RequestTest):
    """Streams whose engine is reclaimed while it runs them."""

    IDS = [b'id: %d' % number for number in range(1, 13)]

    def setUp(self) -> None:
        super().setUp()
        self.first = self.engine('e1', events=12)
        self.node = self.site.ready_node()
        # Streams outlast two reads of the store's table of endpoints.
        self.first.event_pause_s = 0.2

    def reclaim_amid(self, path: str) -> platform_site.CallerSocket:
        caller = self.site.send(self.node, path)
        looping.run_until(self.site.loop, lambda: caller.reply.body)
        self.second = self.engine('e2', events=12)
        self.first.register(state='draining', spot=True, leaves_ms=100)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        return caller

    def test_a_run_goes_on_with_its_memory_elsewhere(self) -> None:
        caller = self.reclaim_amid('/stream/a')
        self.assertTrue(caller.reply.is_complete)
        self.assertEqual(self.IDS, event_ids(caller.reply.body))
        (run,) = self.second.runs
        self.assertEqual(f'{self.first.address}/h1', run.headers['kv-from'])
        self.assertEqual(run.attempt_id, self.first.runs[0].attempt_id)

    def test_a_reclaim_is_noticed_while_the_store_is_away(self) -> None:
        self.second = self.engine('e2', events=12)
        looping.run_until(
            self.site.loop, lambda: len(self.node.state.table.entries) == 2
        )
        self.second.event_pause_s = 0.2
        self.site.store.fault = standin_store.Fault.BUSY
        caller = self.site.send(
            self.node, '/stream/a', Token_Counts='10,12', Prefix_Hash='a:10'
        )
        looping.run_until(self.site.loop, lambda: caller.reply.body)
        ran, other = sorted(
            (self.first, self.second), key=lambda item: -len(item.runs)
        )
        ran.report.update(state='draining', leaves_ms=500)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertTrue(caller.reply.is_complete)
        self.assertEqual(self.IDS, event_ids(caller.reply.body))
        self.assertIn('kv-from', other.runs[0].headers)

    def test_a_lost_move_leaves_no_half_event_in_a_stream(self) -> None:
        self.first.behaviour = Behaviour.LOSE_MOVES
        caller = self.reclaim_amid('/resumable/a')
        self.assertTrue(caller.reply.is_complete)
        self.assertEqual(self.IDS, event_ids(caller.reply.body))
        self.assertNotIn(b'half', caller.reply.body)

    def test_a_lost_move_cuts_what_may_not_run_again(self) -> None:
        self.first.behaviour = Behaviour.LOSE_MOVES
        caller = self.reclaim_amid('/stream/a')
        self.assertFalse(caller.reply.is_complete)
        self.assertEqual([], self.second.runs)

    def test_the_report_tells_when_a_reclaimed_engine_ends(self) -> None:
        """The notice in the store names no time; the drain time is longer."""
        caller = self.site.send(self.node, '/stream/a')
        looping.run_until(self.site.loop, lambda: caller.reply.body)
        self.second = self.engine('e2', events=12)
        self.first.report.update(state='draining', leaves_ms=1_200)
        self.first.register(state='draining', spot=True)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertEqual(self.IDS, event_ids(caller.reply.body))
        self.assertIn('kv-from', self.second.runs[0].headers)

    def test_a_run_leaves_an_engine_whose_entry_is_gone(self) -> None:
        """Some engines never announce that they drain, and serve a while."""
        caller = self.site.send(self.node, '/stream/a')
        looping.run_until(self.site.loop, lambda: caller.reply.body)
        self.second = self.engine('e2', events=12)
        looping.run_until(
            self.site.loop, lambda: len(self.node.state.table.entries) == 2
        )
        self.node.state.table.store_returned_s = float('-inf')
        self.first.unregister()
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertEqual(self.IDS, event_ids(caller.reply.body))
        self.assertIn('kv-from', self.second.runs[0].headers)

    def lose_copy(self, path: str) -> platform_site.CallerSocket:
        """Close the engine with the copy of the run before it is used."""
        caller = self.site.send(self.node, path)
        looping.run_until(self.site.loop, lambda: caller.reply.body)
        self.second = self.engine('e2', events=12)
        self.third = self.engine('e3', events=12)
        # Of equal engines, the first known is drawn: the run moves to "e2".
        self.node.registry.draw = lambda: 0.0
        self.first.on_moved = self.second.close
        self.first.register(state='draining', spot=True, leaves_ms=100)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertEqual([], self.second.runs)
        return caller

    def test_a_run_whose_copy_is_out_of_reach_is_not_run_again(self) -> None:
        caller = self.lose_copy('/stream/a')
        self.assertFalse(caller.reply.is_complete)
        self.assertEqual([], self.third.runs)

    def test_a_resumable_run_goes_on_without_its_copy(self) -> None:
        caller = self.lose_copy('/resumable/a')
        self.assertTrue(caller.reply.is_complete)
        self.assertEqual(self.IDS, event_ids(caller.reply.body))
        (run,) = self.third.runs
        self.assertNotIn('kv-from', run.headers)

    # Guards against ORDER: a run that is being moved and also goes on at a
    # second endpoint, as its link is silent.
    def test_a_run_that_is_being_moved_is_not_abandoned(self) -> None:
        caller = self.site.send(self.node, '/resumable/a')
        looping.run_until(
            self.site.loop, lambda: len(event_ids(caller.reply.body)) >= 3
        )
        second = self.engine('e2', events=12)
        (started,) = self.node.ingress._exchanges
        looping.run_until(
            self.site.loop,
            lambda: len(self.node.ingress.usable(started, ())) == 2,
        )
        with (
            mock.patch.object(self.node.ingress, 'move_run'),
            mock.patch.object(
                self.node.registry, 'is_abandoned', lambda *arguments: True
            ),
        ):
            started.move_away()
            started.abandon_silent()
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertEqual(self.IDS, event_ids(caller.reply.body))
        self.assertEqual([], second.runs)

    # Guards against begun answers that end as no endpoint can be used in the
    # moment in which a move fails.
    def test_a_run_without_its_copy_waits_for_an_endpoint(self) -> None:
        caller = self.site.send(self.node, '/resumable/a')
        looping.run_until(
            self.site.loop,
            lambda: len(event_ids(caller.reply.body)) >= 6,
        )
        self.second = self.engine('e2', events=12)

        def lose() -> None:
            self.second.close()
            self.site.loop.call_after(
                0.3, lambda: self.engine('e3', events=12)
            )

        self.first.on_moved = lose
        self.first.register(state='draining', spot=True, leaves_ms=100)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertTrue(caller.reply.is_complete)
        self.assertEqual(self.IDS, event_ids(caller.reply.body))

    def test_a_run_whose_copy_is_refused_is_not_run_again(self) -> None:
        caller = self.site.send(self.node, '/stream/a')
        looping.run_until(self.site.loop, lambda: caller.reply.body)
        self.second = self.engine('e2', events=12)
        self.third = self.engine('e3', events=12)
        # Of equal engines, the first known is drawn: the run moves to "e2".
        self.node.registry.draw = lambda: 0.0
        self.second.behaviour = Behaviour.SHED
        self.first.register(state='draining', spot=True, leaves_ms=100)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertEqual(1, self.second.refused)
        self.assertFalse(caller.reply.is_complete)
        self.assertEqual([], self.third.runs)

    # Guards against BUDGET: a send of a copy is not counted as an attempt, so
    # its refusal must not be taken off.
    def test_a_refused_copy_leaves_no_further_attempt(self) -> None:
        routes = msgspec.json.decode(platform_site.configuration(1))['routes']
        for route in routes:
            route['maxAttempts'] = 1
        self.site.configure(2, routes=routes)
        looping.run_until(self.site.loop, lambda: self.node.state.version == 2)
        caller = self.site.send(self.node, '/resumable/a')
        looping.run_until(self.site.loop, lambda: caller.reply.body)
        self.second = self.engine('e2', events=12)
        self.third = self.engine('e3', events=12)
        self.node.registry.draw = lambda: 0.0
        self.second.behaviour = Behaviour.SHED
        self.first.register(state='draining', spot=True, leaves_ms=100)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertEqual(1, self.second.refused)
        self.assertEqual([], self.third.runs)


class FaultTest(RequestTest):
    def test_a_lost_order_is_unknown_and_never_called_unrun(self) -> None:
        engines = [self.engine('e1'), self.engine('e2')]
        for engine in engines:
            engine.behaviour = Behaviour.LOSE
        reply = self.site.fetch(self.site.ready_node(), '/order/a')
        self.assertEqual(502, reply.status)
        self.assertEqual(1, sum(len(engine.runs) for engine in engines))

    # Guards against endpoints that look stalled for ever after a request that
    # ended in an unusual way.
    def test_no_ended_request_counts_as_unanswered(self) -> None:
        engine = self.engine('e1', events=4)
        node = self.site.ready_node()
        records = node.registry.records_at(ids.Address(engine.address))
        for behaviour in (
            Behaviour.NORMAL,
            Behaviour.FAIL,
            Behaviour.LOSE,
            Behaviour.BREAK,
            Behaviour.SHED,
            Behaviour.NORMAL,
        ):
            engine.behaviour = behaviour
            self.site.fetch(
                node, '/stream/a', Token_Counts='10,40', Prefix_Hash='a:10'
            )
        engine.behaviour = Behaviour.SILENT
        caller = self.site.send(node, '/stream/a')
        learned = records[0].learned
        looping.run_until(self.site.loop, lambda: learned.unanswered == 1)
        caller.close()
        looping.run_until(self.site.loop, lambda: learned.unanswered == 0)
        # The broken answer had a first token too.
        self.assertEqual(3, learned.service.first_token.measurements)
        self.assertGreaterEqual(learned.service.events_measured, 2)

    def test_a_shed_order_goes_to_another_endpoint(self) -> None:
        full, free = self.engine('e1'), self.engine('e2')
        full.behaviour = Behaviour.SHED
        node = self.site.ready_node()
        statuses = {self.site.fetch(node, '/order/a').status for _ in range(4)}
        self.assertEqual({200}, statuses)
        self.assertEqual(4, len(free.runs))

    def test_an_order_that_all_shed_has_not_run(self) -> None:
        for name in ('e1', 'e2', 'e3'):
            self.engine(name).behaviour = Behaviour.SHED
        reply = self.site.fetch(self.site.ready_node(), '/order/a')
        self.assertEqual(503, reply.status)
        self.assertIn('retry-after', reply.headers)
        self.assertEqual(2, sum(item.refused for item in self.site.engines))

    def test_a_lookup_is_asked_for_again_elsewhere(self) -> None:
        for behaviour in (Behaviour.FAIL, Behaviour.LOSE, Behaviour.BREAK):
            with self.subTest(behaviour=behaviour):
                site = platform_site.PlatformSite()
                self.addCleanup(site.close)
                site.configure(1)
                bad = site.add_engine('e1', platform_site.PLAIN_SERVICE)
                site.add_engine('e2', platform_site.PLAIN_SERVICE)
                bad.behaviour = behaviour
                node = site.ready_node()
                # Of equal endpoints, the first known is drawn: the bad one.
                node.registry.draw = lambda: 0.0
                replies = [
                    site.fetch(node, '/lookup/a', method='GET', body=b'')
                    for _ in range(3)
                ]
                self.assertEqual([200] * 3, [item.status for item in replies])
                self.assertTrue(bad.runs)

    # Guards against a refused request that nobody sends again, and that gets
    # its answer only at its deadline.
    def test_a_refused_request_is_answered_when_no_endpoint_is_left(
        self,
    ) -> None:
        self.engine('e1').behaviour = Behaviour.SHED
        node = self.site.ready_node()
        started_s = self.site.loop.now_s
        reply = self.site.fetch(node, '/lookup/a', method='GET', body=b'')
        self.assertEqual(503, reply.status)
        self.assertLess(self.site.loop.now_s - started_s, OBJECTIVE_S)

    def test_an_endpoints_failure_reaches_the_caller(self) -> None:
        self.engine('e1').behaviour = Behaviour.FAIL
        reply = self.site.fetch(self.site.ready_node(), '/order/a')
        self.assertEqual(500, reply.status)
        self.assertEqual('stamp-of-e1', reply.headers['server-stamp'])

    def test_an_unsigned_success_is_no_success(self) -> None:
        self.engine('e1').behaviour = Behaviour.UNSIGNED
        reply = self.site.fetch(self.site.ready_node(), '/order/a')
        self.assertEqual(502, reply.status)

    def test_an_answer_without_length_is_whole_when_it_closes(self) -> None:
        self.engine('e1').behaviour = Behaviour.UNFRAMED
        reply = self.site.fetch(self.site.ready_node(), '/order/a')
        self.assertEqual((200, b'answer of e1'), (reply.status, reply.body))

    def test_answers_to_other_requests_are_left_out(self) -> None:
        engine = self.engine('e1')
        node = self.site.ready_node()
        for behaviour in (Behaviour.FOREIGN_FIRST, Behaviour.EXTRA):
            engine.behaviour = behaviour
            for _ in range(3):
                reply = self.site.fetch(node, '/order/a')
                self.assertEqual(
                    (200, b'answer of e1'), (reply.status, reply.body)
                )

    def test_a_cut_stream_does_not_look_complete(self) -> None:
        self.engine('e1', events=4).behaviour = Behaviour.BREAK
        caller = self.site.send(self.site.ready_node(), '/stream/a')
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertFalse(caller.reply.is_complete)
        self.assertEqual(3, caller.reply.body.count(b'\n\n'))

    def test_a_resumable_stream_goes_on_without_gap_or_repeat(self) -> None:
        bad = self.engine('e1', events=4)
        good = self.engine('e2', events=4)
        bad.behaviour = Behaviour.BREAK
        node = self.site.ready_node()
        # Requests go to both endpoints; all streams have to be complete.
        for _ in range(4):
            reply = self.site.fetch(node, '/resumable/a')
            self.assertTrue(reply.is_complete)
            self.assertEqual(
                [b'id: 1', b'id: 2', b'id: 3', b'id: 4'],
                event_ids(reply.body),
            )
        resumed = [
            run.headers['last-event-id']
            for run in good.runs
            if 'last-event-id' in run.headers
        ]
        self.assertEqual(['3'] * len(bad.runs), resumed)

    def test_a_silent_endpoint_is_answered_for_at_the_timeout(self) -> None:
        self.engine('e1').behaviour = Behaviour.SILENT
        reply = self.site.fetch(
            self.site.ready_node(), '/order/a', Deadline_Ms='300'
        )
        self.assertEqual(504, reply.status)

    def test_an_address_that_another_endpoint_has_runs_nothing(self) -> None:
        engine = self.engine('e1')
        node = self.site.ready_node()
        engine.name = 'e9'
        reply = self.site.fetch(node, '/order/a')
        self.assertEqual(503, reply.status)
        self.assertEqual([], engine.runs)


class RepeatedRefusalTest(RequestTest):
    """An endpoint that sends an earlier refusal once more."""

    def setUp(self) -> None:
        super().setUp()
        self.shedding = self.engine('e1')
        self.shedding.behaviour = Behaviour.SHED
        self.node = self.site.ready_node()
        reply = self.site.fetch(self.node, '/order/a', Attempt_Id='first')
        self.assertEqual(503, reply.status)
        self.shedding.behaviour = Behaviour.REPEAT_REFUSAL

    def test_the_next_request_gets_its_own_answer(self) -> None:
        reply = self.site.fetch(self.node, '/order/a', Attempt_Id='next')
        self.assertEqual(200, reply.status)
        self.assertEqual('next', reply.headers['attempt-id'])

    # Guards against "not run" for a request that runs: its caller sends it
    # again with the same id, and the old refusal has that id too.
    def test_the_same_id_again_is_not_refused_while_it_runs(self) -> None:
        reply = self.site.fetch(self.node, '/order/a', Attempt_Id='first')
        self.assertEqual(1, len(self.shedding.runs))
        self.assertEqual(200, reply.status)

    # Guards against a second run at another endpoint.
    def test_the_same_id_again_runs_once(self) -> None:
        other = self.engine('e2')
        looping.run_until(
            self.site.loop,
            lambda: len(self.node.state.table.entries) == 2,
        )
        for _ in range(4):
            reply = self.site.fetch(self.node, '/order/a', Attempt_Id='first')
            self.assertEqual(200, reply.status)
        self.assertEqual(4, len(self.shedding.runs) + len(other.runs))
