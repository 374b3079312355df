"""Nodes that are cut off from endpoints, while all else still reaches them.

Patterns: connections hang, are reset, or live on while new ones are refused;
one node of three, and most of them; the links come back.
"""

import dataclasses
import itertools
import typing
import unittest
from unittest import mock

from guavachute.decide.ingress import stop_admission
from guavachute.entry import node as entry_node
from guavachute import ids
from guavachute.standin.platform import engine as standin_engine
from tests.support import cut_links
from tests.support import looping
from tests.support import platform_site

Mode = cut_links.Mode

CONTACT_S = 4.0
"""How long after the cut began its effects may be seen by callers."""

MIN_RELATIVE_SHARE = 2 / 3
"""The minimum share of first attempts that cut off nodes serve, relative to
that of the others. This and the next ones are from the platform's rules."""

MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50

PERIOD_S = 0.05
"""Interval at which each node gets a request."""

PATHS = ('/order/a', '/lookup/a', '/resumable/a', '/stream/a')


@dataclasses.dataclass
class Attempt:
    """A first attempt of a caller at a node.

    :ivar sent_s: loop time at which it was sent
    """

    node: entry_node.Node
    caller: platform_site.CallerSocket
    sent_s: float
    path: str

    @property
    def is_served(self) -> bool:
        """Whether it has a complete answer of an endpoint."""
        reply = self.caller.reply
        return (
            reply.status == 200
            and reply.is_complete
            and 'server-stamp' in reply.headers
        )


class SiteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        for number in range(3):
            self.site.add_engine(f'p{number}', platform_site.PLAIN_SERVICE)
            self.site.add_engine(f'm{number}', platform_site.MODEL_SERVICE, 4)
        self.attempts: list[Attempt] = []
        self.stops_sending = False
        self._paths = itertools.cycle(PATHS)

    def start_nodes(self, count: int) -> list[entry_node.Node]:
        """Nodes that know each other and all endpoints, and get requests."""
        nodes: list[entry_node.Node] = []
        for _ in range(count):
            seeds = tuple(
                ids.Address(node.peers.address) for node in nodes[:1]
            )
            nodes.append(self.site.ready_node(seeds=seeds))
        looping.run_until(
            self.site.loop,
            lambda: all(node.peers.table.count == count for node in nodes),
        )
        self._send_next(nodes)
        self.run_for(1.0)
        return nodes

    def _send_next(self, nodes: list[entry_node.Node]) -> None:
        if self.stops_sending:
            return
        for node in nodes:
            path = next(self._paths)
            caller = self.site.send(
                node, path, Prefix_Hash='aa:100,%x:20' % len(self.attempts)
            )
            self.attempts.append(
                Attempt(node, caller, self.site.loop.now_s, path)
            )
        self.site.loop.call_after(PERIOD_S, lambda: self._send_next(nodes))

    def run_for(self, duration_s: float) -> None:
        looping.run_for(self.site.loop, duration_s)

    def cut(self, nodes: list[entry_node.Node], mode: Mode) -> None:
        for node in nodes:
            self.site.links.cut(node.loop, mode)

    def send(
        self, node: entry_node.Node, path: str, **headers: str
    ) -> platform_site.CallerSocket:
        return self.site.send(node, path, **headers)

    def until(self, condition: typing.Callable[[], object]) -> None:
        looping.run_until(self.site.loop, condition)


class ServedShareTest(SiteTest):
    def check_served(
        self, nodes: list[entry_node.Node], from_s: float
    ) -> None:
        """Check the share of attempts that *nodes* serve from *from_s* on."""
        until_s = self.site.loop.now_s - 1.5
        at_cut, at_others = [], []
        for attempt in self.attempts:
            if from_s <= attempt.sent_s < until_s:
                (at_cut if attempt.node in nodes else at_others).append(
                    attempt
                )
        served = sum(item.is_served for item in at_cut)
        served_by_others = sum(item.is_served for item in at_others)
        text = (
            f'{served} of {len(at_cut)} served, by the others '
            f'{served_by_others} of {len(at_others)}; failed: '
            + ', '.join(
                f'{item.path} {item.caller.reply.status}'
                for item in at_cut
                if not item.is_served
            )
        )
        self.assertGreater(len(at_cut), 20)
        least = MIN_RELATIVE_SHARE * served_by_others / len(at_others)
        most_failed = MAX_FAILED + MAX_FAILED_SHARE * len(at_cut + at_others)
        self.assertGreaterEqual(served / len(at_cut), least, text)
        self.assertLessEqual(len(at_cut) - served, most_failed, text)

    def check_cut(self, count: int, mode: Mode) -> None:
        """Cut *count* of three nodes off, and check whom they serve."""
        nodes = self.start_nodes(3)
        cut_s = self.site.loop.now_s
        self.cut(nodes[:count], mode)
        self.run_for(CONTACT_S + 3.5)
        self.check_served(nodes[:count], cut_s + CONTACT_S)

    def test_a_cut_off_node_serves_while_connections_hang(self) -> None:
        self.check_cut(1, Mode.HANG)

    def test_a_cut_off_node_serves_while_connections_are_reset(self) -> None:
        self.check_cut(1, Mode.RESET)

    def test_a_cut_off_node_serves_while_new_ones_are_refused(self) -> None:
        self.check_cut(1, Mode.REFUSE)

    def test_most_nodes_are_cut_off_and_serve(self) -> None:
        self.check_cut(2, Mode.RESET)

    def test_a_node_whose_links_to_one_service_hang_serves_it(self) -> None:
        self.check_partial_cut(Mode.HANG, range(0, 6, 2))

    def test_a_node_that_lost_one_service_serves_it(self) -> None:
        self.check_partial_cut(Mode.RESET, range(0, 6, 2))

    def test_a_node_that_lost_some_of_the_endpoints_serves(self) -> None:
        self.check_partial_cut(Mode.HANG, range(4))

    def check_partial_cut(
        self, mode: Mode, engines: typing.Iterable[int]
    ) -> None:
        """Cut a node off from some endpoints, and check whom it serves."""
        nodes = self.start_nodes(3)
        cut_s = self.site.loop.now_s
        self.site.links.cut(
            nodes[0].loop,
            mode,
            [self.site.engines[number].address for number in engines],
        )
        self.run_for(CONTACT_S + 3.5)
        self.check_served(nodes[:1], cut_s + CONTACT_S)

    def test_a_node_serves_by_itself_when_its_links_are_back(self) -> None:
        nodes = self.start_nodes(3)
        self.cut(nodes[:1], Mode.RESET)
        self.until(lambda: nodes[0].registry.links.is_cut)
        address = nodes[0].ingress.address
        others = nodes[1].address_book.addresses_for
        place = nodes[1].site.domain, nodes[1].site.region
        self.until(lambda: address not in others(*place))
        self.assertTrue(nodes[0].is_ready)
        self.cut(nodes[:1], Mode.OPEN)
        self.until(lambda: not nodes[0].registry.links.is_cut)
        self.until(lambda: address in others(*place))
        self.run_for(0.5)
        relayed = nodes[0].metrics.text().count(b'guavachute_relays_total')
        self.assertEqual(1, relayed)
        before = relays(nodes[0])
        self.run_for(1.0)
        self.assertEqual(before, relays(nodes[0]))

    # Guards against requests that are refused, and endpoints that are
    # doubted, because a node lost its links to endpoints that serve others.
    def test_a_cut_blames_nothing_and_nobody(self) -> None:
        nodes = self.start_nodes(3)
        for mode in (Mode.RESET, Mode.HANG):
            self.cut(nodes[:1], mode)
            self.run_for(2.5)
            self.cut(nodes[:1], Mode.OPEN)
            self.run_for(1.0)
        for node in nodes:
            for peer in node.peers.table.all():
                assert peer.update is not None
                for item in peer.update.work.values():
                    self.assertEqual(0, item.failed_tenths)
            self.assertEqual([], node.ingress.crash_notices())
            self.assertIn(b'guavachute_blamed_parts 0', node.metrics.text())
            self.assertNotIn(b'engine_crashes', node.metrics.text())


class RelayTest(SiteTest):
    """Requests at a node that is cut off, and what may befall the hop."""

    def setUp(self) -> None:
        super().setUp()
        self.nodes = self.start_nodes(3)
        self.cut_off = self.nodes[0]
        self.cut([self.cut_off], Mode.RESET)
        self.until(lambda: self.cut_off.registry.links.is_cut)
        self.stops_sending = True
        self.run_for(0.6)

    def runs(self, attempt: str) -> list[standin_engine.Run]:
        return [
            run
            for engine in self.site.engines
            for run in engine.runs
            if run.attempt_id == attempt
        ]

    def set_behaviour(self, behaviour: standin_engine.Behaviour) -> None:
        for engine in self.site.engines:
            engine.behaviour = behaviour

    def reply(self, path: str, attempt: str) -> platform_site.Reply:
        caller = self.send(self.cut_off, path, Attempt_Id=attempt)
        self.until(lambda: caller.reply.has_ended)
        return caller.reply

    def test_an_answer_is_the_same_as_without_the_hop(self) -> None:
        reply = self.reply('/order/a?x=1', 'order-1')
        (run,) = self.runs('order-1')
        self.assertEqual(200, reply.status)
        self.assertEqual(b'answer of ' + run.engine[0].encode(), reply.body)
        self.assertEqual('order-1', reply.headers['attempt-id'])
        self.assertEqual('/order/a?x=1', run.target)
        self.assertEqual('botany', run.workspace)
        self.assertFalse(run.has_caller_key)
        self.assertNotIn('instance-load', reply.headers)
        for name in (*run.headers, *reply.headers):
            self.assertNotIn('relay', name)

    def test_the_quota_is_spent_and_the_run_counted_once(self) -> None:
        spent = [spent_by(node) for node in self.nodes]
        usage = [counted_by(node) for node in self.nodes]
        for number in range(5):
            self.assertEqual(200, self.reply('/order/a', f'o{number}').status)
        self.assertEqual(usage[0] + 5, counted_by(self.nodes[0]))
        self.assertLess(spent[0], spent_by(self.nodes[0]))
        for index in (1, 2):
            self.assertEqual(usage[index], counted_by(self.nodes[index]))
            self.assertEqual(spent[index], spent_by(self.nodes[index]))

    def test_a_stream_passes_event_by_event(self) -> None:
        for engine in self.site.engines:
            engine.event_pause_s = 0.1
        caller = self.send(self.cut_off, '/stream/a')
        self.until(lambda: caller.reply.body.count(b'\n\n') == 1)
        self.assertFalse(caller.reply.is_complete)
        self.until(lambda: caller.reply.is_complete)
        self.assertEqual(4, caller.reply.body.count(b'\n\n'))

    def test_an_endpoint_stops_when_the_caller_leaves(self) -> None:
        self.set_behaviour(standin_engine.Behaviour.SILENT)
        caller = self.send(self.cut_off, '/order/a', Attempt_Id='left')
        self.until(lambda: self.runs('left'))
        caller.close()
        looping.run_until(
            self.site.loop, lambda: self.runs('left')[0].is_cancelled, 0.5
        )

    def test_a_hop_that_breaks_leaves_the_outcome_unknown(self) -> None:
        self.set_behaviour(standin_engine.Behaviour.SILENT)
        caller = self.send(self.cut_off, '/order/a', Attempt_Id='broken')
        self.until(lambda: self.runs('broken'))
        for node in self.nodes[1:]:
            node.ingress.paths.close()
        self.until(lambda: caller.reply.has_ended)
        self.assertEqual(502, caller.reply.status)
        self.assertEqual(1, len(self.runs('broken')))

    def test_a_lost_answer_is_not_repeated_behind_a_hop(self) -> None:
        self.set_behaviour(standin_engine.Behaviour.LOSE)
        self.assertEqual(502, self.reply('/order/a', 'lost').status)
        self.assertEqual(1, len(self.runs('lost')))

    def test_a_broken_stream_never_looks_complete(self) -> None:
        for behaviour in (
            standin_engine.Behaviour.BREAK,
            standin_engine.Behaviour.UNFRAMED_BREAK,
            standin_engine.Behaviour.UNFRAMED_RESET,
            standin_engine.Behaviour.TORN,
        ):
            with self.subTest(behaviour=behaviour):
                self.set_behaviour(behaviour)
                reply = self.reply('/stream/a', f'b-{behaviour.value}')
                self.assertFalse(reply.ended_cleanly)

    def test_another_answer_is_kept_from_the_caller(self) -> None:
        for behaviour in (
            standin_engine.Behaviour.FOREIGN_FIRST,
            standin_engine.Behaviour.EXTRA,
            standin_engine.Behaviour.UNFRAMED,
        ):
            self.set_behaviour(behaviour)
            for number in range(4):
                name = f'{behaviour.value}-{number}'
                reply = self.reply('/order/a', name)
                self.assertEqual(200, reply.status, name)
                self.assertEqual(name, reply.headers['attempt-id'])

    def test_a_helper_that_is_cut_off_too_sends_nothing_on(self) -> None:
        self.cut(self.nodes[1:], Mode.REFUSE)
        reply = self.reply('/order/a', 'nobody')
        self.assertIn(reply.status, (200, 502, 503))
        self.assertEqual(reply.status == 200, bool(self.runs('nobody')))

    # Guards against one bad helper that keeps requests from a good one (seed
    # 35204 of the soak).
    def test_another_node_is_asked_when_one_can_not_send(self) -> None:
        self.cut([self.nodes[1]], Mode.REFUSE)
        self.nodes[1].ingress.paths.sweep()
        callers = [
            self.send(self.cut_off, path, Attempt_Id=f'{path}-{number}')
            for number in range(8)
            for path in PATHS
        ]
        self.until(lambda: all(item.reply.has_ended for item in callers))
        for caller in callers:
            self.assertEqual(200, caller.reply.status)

    def test_all_nodes_are_cut_off_and_refuse(self) -> None:
        self.cut(self.nodes[1:], Mode.RESET)
        self.run_for(1.5)
        reply = self.reply('/order/a', 'gone')
        self.assertEqual(503, reply.status)
        self.assertGreater(float(reply.headers['retry-after']), 0)
        self.assertEqual([], self.runs('gone'))

    def test_nodes_of_a_build_without_hops_are_not_asked(self) -> None:
        for node in self.nodes[1:]:
            node.ingress.paths = mock.Mock(wraps=node.ingress.paths)
            node.ingress.paths.relay_address = ids.Address('')
            node.ingress.paths.open_relays = 0
        self.run_for(1.0)
        reply = self.reply('/order/a', 'old')
        self.assertEqual(503, reply.status)
        self.assertEqual([], self.runs('old'))

    def test_a_stopping_helper_finishes_what_it_passes_on(self) -> None:
        for engine in self.site.engines:
            engine.event_pause_s = 0.3
        caller = self.send(self.cut_off, '/stream/a')
        self.until(lambda: b'\n\n' in caller.reply.body)
        for node in self.nodes[1:]:
            node.ingress.stop()
        self.until(lambda: caller.reply.has_ended)
        self.assertTrue(caller.reply.is_complete)

    # Guards against requests that are cut as the helper ends that took them:
    # other regions name a helper for seconds after it was told to stop.
    def test_a_helper_near_its_end_takes_on_no_requests(self) -> None:
        for node in self.nodes[1:]:
            node.ingress.stop()
        with mock.patch.object(stop_admission, 'SERVE_FRACTION', 0.0):
            self.run_for(0.01)
            reply = self.reply('/order/a', 'late')
        self.assertEqual(503, reply.status)
        self.assertEqual([], self.runs('late'))


def spent_by(node: entry_node.Node) -> float:
    """What a node has admitted of all quotas since its start."""
    return sum(
        item[0] for item in node.ingress.admission.consumption().values()
    )


def counted_by(node: entry_node.Node) -> int:
    """How many started requests a node has counted."""
    return sum(sum(counts.values()) for counts in node.usage.recent().values())


def relays(node: entry_node.Node) -> str:
    """The line of the metrics that counts requests passed to other nodes."""
    return next(
        line
        for line in node.metrics.text().decode().splitlines()
        if line.startswith('guavachute_relays_total')
    )
