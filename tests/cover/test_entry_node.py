"""Entry nodes with each other, the store and the cloud, also with faults."""

import dataclasses
import socket
import types
import typing
import unittest
import unittest.mock

import msgspec

from guavachute.decide import lease
from guavachute.decide.nodes import counting
from guavachute.decide.nodes import endpoint_table
from guavachute.decide.nodes import readers
from guavachute.decide.nodes import rounds
from guavachute.domain import call
from guavachute.domain import endpoints
from guavachute.domain import log_position
from guavachute.entry import known_state
from guavachute.entry import node as entry_node
from guavachute.entry import peers as entry_peers
from guavachute.entry import plain_server
from guavachute.entry import store_client
from guavachute.entry import topic_follower
from guavachute import ids
from guavachute.platform import store
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store
from guavachute.wire import node_updates
from tests.support import looping
from tests.support import platform_site

Fault = standin_store.Fault


class NodeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.plain = self.site.add_engine('e1', platform_site.PLAIN_SERVICE)

    def until(self, condition: typing.Callable[[], object]) -> None:
        looping.run_until(self.site.loop, condition)

    def two_nodes(self) -> tuple[entry_node.Node, entry_node.Node]:
        first, second = self.site.ready_node(), self.site.ready_node()
        self.until(
            lambda: (
                first.peers.table.active_peers()
                and second.peers.table.active_peers()
            )
        )
        return first, second

    def replace(self, module: types.ModuleType, **constants: float) -> None:
        """Patch constants of a module until the end of the test."""
        for name, value in constants.items():
            patch = unittest.mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def nodes_with_one_reader(self) -> list[entry_node.Node]:
        """Start four nodes, which are treated as many nodes.

        One is a reader. The holder of the duties may be another one, and
        then reads the store closely too.
        """
        self.replace(rounds, FEW_NODES=2)
        self.replace(readers, READERS_PER_REGION=1)
        nodes = [self.site.ready_node() for _ in range(4)]
        self.until(
            lambda: sum(not node.peers.is_reader for node in nodes) >= 2
        )
        return nodes


class ConfigurationTest(NodeTest):
    def test_a_new_version_comes_into_force(self) -> None:
        node = self.site.ready_node()
        self.site.configure(5, tenants=[])
        self.until(lambda: node.state.version == 5)
        self.assertEqual(401, self.site.fetch(node, '/order/a').status)

    def test_an_older_version_never_comes_back(self) -> None:
        node = self.site.ready_node()
        self.site.configure(5)
        self.until(lambda: node.state.version == 5)
        self.site.configure(3)
        looping.run_for(self.site.loop, 0.2)
        self.assertEqual(5, node.state.version)

    def test_one_that_cannot_be_read_changes_nothing(self) -> None:
        node = self.site.ready_node()
        self.site.store.put('keyed.op', 'config', b'{"version": "many"}')
        looping.run_for(self.site.loop, 0.2)
        self.assertEqual(1, node.state.version)
        self.assertEqual(200, self.site.fetch(node, '/order/a').status)

    def test_history_that_is_gone_is_read_as_the_newest(self) -> None:
        node = self.site.ready_node()
        self.site.store.fault = Fault.BUSY
        looping.run_for(self.site.loop, 0.3)
        self.site.configure(7)
        for topic in ('keyed.op', 'keyed.servers'):
            self.site.store.drop_history(topic)
        self.site.store.fault = Fault.NONE
        self.until(lambda: node.state.version == 7)

    def test_many_records_come_in_pages(self) -> None:
        self.site.store.page_items = 2
        for number in range(5):
            self.site.add_engine(f'more-{number}', 'drafts', events=1)
        node = self.site.ready_node()
        self.assertEqual(6, len(node.state.table.entries))

    def test_a_node_that_the_store_turns_away_asks_its_peers(self) -> None:
        first = self.site.ready_node()
        lost = self.site.add_node(
            store=ids.Address('127.0.0.9:9'),
            seeds=(first.peers.address,),
        )
        self.until(lambda: lost.is_ready)
        self.assertEqual(1, lost.state.version)
        self.assertEqual(200, self.site.fetch(lost, '/order/a').status)
        self.site.configure(9)
        self.until(lambda: lost.state.version == 9)


class EndpointTest(NodeTest):
    def test_a_draining_endpoint_gets_nothing_new(self) -> None:
        node = self.site.ready_node()
        other = self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        self.plain.register(state='draining')
        self.until(
            lambda: (
                [
                    entry.id
                    for entry in node.state.table.ready(
                        ids.ServiceName(platform_site.PLAIN_SERVICE)
                    )
                ]
                == ['e2']
            )
        )
        for _ in range(3):
            self.site.fetch(node, '/order/a')
        self.assertEqual((0, 3), (len(self.plain.runs), len(other.runs)))

    def test_entries_of_other_writers_name_no_endpoint(self) -> None:
        for key, value in (
            ('no-json', b'\xff\x00'),
            ('bare', b'{}'),
            ('odd', b'{"service":"desk","address":7}'),
        ):
            self.site.store.put('keyed.servers', key, value)
        node = self.site.ready_node()
        self.assertEqual(['e1'], list(node.state.table.entries))

    def test_an_entry_that_lapsed_in_an_outage_may_come_back(self) -> None:
        node = self.site.ready_node()
        self.site.store.fault = Fault.BUSY
        looping.run_for(self.site.loop, 1.0)
        self.plain.unregister()
        self.site.store.fault = Fault.NONE
        looping.run_for(self.site.loop, 1.2)
        self.assertEqual(200, self.site.fetch(node, '/order/a').status)
        self.plain.register()
        looping.run_for(self.site.loop, endpoint_table.RETURN_GRACE_S + 0.8)
        self.assertEqual(200, self.site.fetch(node, '/order/a').status)

    def test_an_entry_that_is_deleted_is_gone(self) -> None:
        node = self.site.ready_node()
        self.plain.unregister()
        self.until(lambda: not node.state.table.entries)

    def test_an_id_that_starts_again_is_a_new_endpoint(self) -> None:
        node = self.site.ready_node()
        self.site.fetch(node, '/order/a')
        entry = node.state.table.entries[ids.EndpointId('e1')]
        before = node.registry.record_for(entry)
        before.health.record_failure(self.site.loop.now_s)
        self.plain.register(born=2)
        self.until(
            lambda: (
                node.state.table.entries[ids.EndpointId('e1')].start_ms == 2
            )
        )
        after = node.registry.record_for(
            node.state.table.entries[ids.EndpointId('e1')]
        )
        self.assertIsNot(before, after)
        now_s = self.site.loop.now_s
        self.assertEqual(0.0, after.health.results(now_s).failed)


class SilentPeerTest(NodeTest):
    """A peer names newer versions in its updates, but does not answer."""

    def test_another_peer_is_asked(self) -> None:
        first = self.site.ready_node()
        lost = self.site.add_node(store=ids.Address('127.0.0.9:9'))
        silent = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(silent.close)
        address = '127.0.0.1:%d' % silent.getsockname()[1]

        def send_update(sequence: int) -> None:
            update = msgspec.structs.replace(
                first.node_update(first.peers.run, sequence),
                node='edge-0',
                peers_address=address,
                configuration_version=99,
                endpoints_version=999,
            )
            lost.peers.table.merge_node_update(update)
            self.site.loop.call_after(0.1, lambda: send_update(sequence + 1))

        send_update(1)
        lost.peers.add_listed_node(
            node_updates.NodeRecord(
                node=first.site.node,
                run=first.peers.run,
                peers_address=first.peers.address,
                region='here',
            )
        )
        self.until(lambda: lost.is_ready)
        self.assertEqual(1, lost.state.version)


class SharedStateTest(NodeTest):
    """Many nodes fetch from few readers what is new in the store."""

    def state(self) -> known_state.KnownState:
        return known_state.KnownState(self.site.loop)

    def test_a_peer_gets_what_it_lacks_and_no_more(self) -> None:
        for number in range(20):
            self.site.add_engine(f'more-{number}', 'drafts', events=1)
        node = self.site.ready_node()
        first = node.state.shared_endpoints(log_position.NO_POSITION)
        self.assertTrue(first.is_whole)
        self.assertEqual(21, len(first.changed))
        peer = self.state()
        peer.merge_shared_endpoints(first)
        configuration = node.state.shared_configuration(0)
        assert configuration is not None
        peer.merge_shared_configuration(configuration)
        self.assertEqual(node.state.configuration, peer.configuration)
        self.assertIsNone(node.state.shared_configuration(peer.version))
        self.plain.register(state='draining')
        self.site.engines[3].unregister()
        self.until(lambda: len(node.state.table.entries) == 20)
        # An entry may expire without a record of its removal.
        self.site.engines[5].register()
        self.until(
            lambda: node.state.shared_endpoints(peer.endpoints_version).removed
        )
        second = node.state.shared_endpoints(peer.endpoints_version)
        self.assertEqual(['e1'], list(second.changed))
        self.assertEqual([self.site.engines[3].name], list(second.removed))
        peer.merge_shared_endpoints(second)
        self.assertEqual(node.state.table.entries, peer.table.entries)
        self.assertEqual(node.state.endpoints_version, peer.endpoints_version)

    def test_a_deletion_that_is_not_believed_here_is_passed_on(self) -> None:
        """The store was unreachable for this node alone, and is back."""
        node = self.site.ready_node()
        peer = self.state()
        peer.merge_shared_endpoints(
            node.state.shared_endpoints(log_position.NO_POSITION)
        )
        node.state.table.store_returned_s = self.site.loop.now_s
        self.plain.unregister()
        # A later change raises the version above that of the deletion.
        self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        self.until(lambda: 'e2' in node.state.table.entries)
        self.assertIn('e1', node.state.table.entries)
        peer.merge_shared_endpoints(
            node.state.shared_endpoints(peer.endpoints_version)
        )
        self.assertEqual(['e2'], list(peer.table.entries))

    def test_a_notice_that_was_known_before_is_passed_on(self) -> None:
        """This node knows from the endpoint's report that it leaves."""
        node = self.site.ready_node()
        peer = self.state()
        peer.merge_shared_endpoints(
            node.state.shared_endpoints(log_position.NO_POSITION)
        )
        entry = node.state.table.entries[ids.EndpointId('e1')]
        node.state.apply_leave_report(
            dataclasses.replace(entry, state=endpoints.EndpointState.DRAINING)
        )
        self.plain.register(state='draining')
        self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        self.until(lambda: 'e2' in node.state.table.entries)
        peer.merge_shared_endpoints(
            node.state.shared_endpoints(peer.endpoints_version)
        )
        shared = peer.table.entries[ids.EndpointId('e1')]
        self.assertIs(endpoints.EndpointState.DRAINING, shared.state)

    def test_news_from_a_peer_costs_no_call_to_the_store(self) -> None:
        client = store_client.StoreClient(
            self.site.loop, self.site.store.address
        )
        self.addCleanup(client.close)
        follower = topic_follower.TopicFollower(
            self.site.loop,
            client,
            standin_store.ENDPOINTS_TOPIC,
            lambda record, is_snapshot: None,
            lambda: None,
            wait_s=0.0,
            period_s=30.0,
        )
        self.addCleanup(follower.stop)
        follower.start()
        self.until(lambda: follower.end_offset is not None)
        looping.run_for(self.site.loop, 0.2)
        calls = len(self.site.store.calls)
        assert follower.end_position is not None
        for further in range(1, 4):
            follower.skip_to(ids.LogPosition(follower.end_position + further))
            looping.run_for(self.site.loop, 0.1)
        self.assertEqual(calls, len(self.site.store.calls))


class LargeConfigurationTest(NodeTest):
    """A configuration with many routes, on slow links of many nodes."""

    def routes(self, count: int) -> list[typing.Any]:
        return [
            (f'route-{n:x}', f'/{n * 7919 % 65_536:x}/', 'idempotent',
             platform_site.PLAIN_SERVICE, False)
            for n in range(count)
        ]  # fmt: skip

    def test_a_peer_sends_it_in_a_tenth_of_the_bytes(self) -> None:
        text = platform_site.configuration(2, self.routes(1_500))
        state = known_state.KnownState(self.site.loop)
        state.apply_configuration(text, 'store', ids.LogPosition(1))
        shared = state.shared_configuration(1)
        assert shared is not None
        self.assertLess(len(node_updates.encode(shared)), len(text) / 10)
        peer = known_state.KnownState(self.site.loop)
        peer.merge_shared_configuration(shared)
        self.assertEqual(state.configuration, peer.configuration)

    def test_it_does_not_hold_up_news_of_endpoints(self) -> None:
        """Fetching the configuration takes longer than a notice may."""
        first = self.site.ready_node()
        lost = self.site.add_node(store=ids.Address('127.0.0.9:9'))
        paths = []

        def answer(request: plain_server.PlainRequest) -> plain_server.Reply:
            paths.append(request.path)
            if request.path == entry_peers.CONFIGURATION_PATH:
                slow = b'.' * 50_000_000
                return plain_server.Reply(200, slow, call.BINARY)
            shared = first.state.shared_endpoints(log_position.NO_POSITION)
            return plain_server.Reply(
                200, node_updates.encode(shared), call.BINARY
            )

        server = plain_server.PlainServer(
            self.site.loop, ids.Address('127.0.0.1:0'), answer
        )
        self.addCleanup(server.close)
        self.until(lambda: first.state.endpoints_version >= 0)
        lost.peers.table.merge_node_update(
            msgspec.structs.replace(
                first.node_update(first.peers.run, 1),
                node='edge-0',
                peers_address=server.address,
            )
        )
        self.until(lambda: 'e1' in lost.state.table.entries)
        self.assertEqual(0, lost.state.version)
        self.assertIn(entry_peers.CONFIGURATION_PATH, paths)

    def test_the_store_is_asked_by_few_of_many_nodes(self) -> None:
        nodes = self.nodes_with_one_reader()
        looping.run_for(self.site.loop, 1.0)
        del self.site.store.calls[:]
        self.site.configure(2)
        self.until(lambda: all(node.state.version == 2 for node in nodes))
        reads = [
            target for target in self.site.store.calls if 'keyed.op' in target
        ]
        # One read by the reader, and one by the holder of the duties.
        self.assertLessEqual(len(reads), 2)


class EndedNodeTest(NodeTest):
    def test_the_entry_of_a_node_that_ended_is_dropped(self) -> None:
        self.replace(entry_node, ENDED_AFTER_S=0.5, DROP_PERIOD_S=0.2)
        self.replace(counting, COUNTED_S=0.4)
        nodes = [self.site.ready_node() for _ in range(5)]
        topic, key = store.OWN_TOPIC, f'node/{nodes[0].site.node}'
        self.until(lambda: self.site.store.newest(topic, key))
        self.until(lambda: all(
            len(node.peers.table.active_peers()) == 4 for node in nodes
        ))  # fmt: skip
        nodes[0].peers.close()
        self.until(lambda: self.site.store.newest(topic, key) is None)
        self.until(lambda: all(
            len(node.peers.table.all()) == 3 for node in nodes[1:]
        ))  # fmt: skip


class PaceTest(NodeTest):
    def test_a_calm_site_is_read_by_few_long_calls(self) -> None:
        node = self.site.ready_node()
        looping.run_for(self.site.loop, 1.0)
        self.assertTrue(node.is_ready)
        del self.site.store.calls[:]
        looping.run_for(self.site.loop, 3.0)
        operator = [
            call for call in self.site.store.calls if 'keyed.op' in call
        ]
        # Each renewal of the lease is read back, and ends a waiting read.
        nodes = [
            call
            for call in self.site.store.calls
            if 'keyed.guavachute' in call and 'log-read' in call
        ]
        self.assertLessEqual(len(operator), 3)
        renewals = 3.0 * lease.RENEWALS_PER_DURATION / 2.0
        self.assertLessEqual(len(nodes), 2 * renewals + 2)

    def test_callers_may_name_any_location(self) -> None:
        node = self.site.ready_node()
        for number in range(50):
            found = node.address_book.addresses_for(
                ids.FailureDomain(f'domain-{number}'),
                ids.Region(f'region-{number}'),
            )
            self.assertEqual([node.ingress.address], found)
        self.assertLessEqual(len(node.address_book._computed), 2)

    def test_the_second_reader_waits_longer_for_a_configuration(self) -> None:
        nodes = [self.site.ready_node() for _ in range(3)]
        self.until(lambda: sum(node.peers.is_reader for node in nodes) == 2)
        looping.run_for(self.site.loop, 1.5)
        del self.site.store.calls[:]
        looping.run_for(self.site.loop, 4.0)
        reads = [
            call
            for call in self.site.store.calls
            if 'keyed.op' in call and 'log-read' in call
        ]
        both = (
            4.0 / entry_node.READER_WAIT_S
            + 4.0 / entry_node.SECOND_READER_WAIT_S
        )
        self.assertLessEqual(len(reads), both + 2)

    def test_a_node_that_ends_is_no_reason_to_read(self) -> None:
        """The number of nodes sets the interval of the followers' reads."""
        self.replace(entry_node, NODES_AT_BASE_PERIOD=1)
        nodes = self.nodes_with_one_reader()
        follower = next(node for node in nodes if not node.peers.is_reader)
        looping.run_for(self.site.loop, 1.0)
        with unittest.mock.patch.object(
            topic_follower.TopicFollower, 'read_now', autospec=True
        ) as read_now:
            gone = next(node for node in nodes if node is not follower)
            follower.peers.table.remove(gone.site.node)
            self.assertLess(follower.peers.table.count, 4)
            follower._update_role()
        self.assertEqual([], read_now.mock_calls)


class SharedResultsTest(NodeTest):
    """An endpoint fails, and each node sees few of its results."""

    def test_failures_that_another_node_saw_count(self) -> None:
        first, second = self.two_nodes()
        self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        entry = first.state.table.entries[ids.EndpointId('e1')]
        self.until(lambda: all(
            len(node.state.table.entries) == 2 for node in (first, second)
        ))  # fmt: skip
        now_s = self.site.loop.now_s
        for _ in range(3):
            first.registry.record_for(entry).health.record_failure(now_s)

        def is_doubtful() -> bool:
            now_s = self.site.loop.now_s
            records = second.registry.usable(entry.service, (), now_s)
            return any(
                item.is_doubtful
                for item in second.registry.candidates(records, (), now_s)
                if item.id == entry.id
            )

        self.until(is_doubtful)
        for _ in range(3):
            self.assertEqual(200, self.site.fetch(second, '/order/a').status)
        self.assertEqual([], self.plain.runs)


class UnbelievedDeletionTest(NodeTest):
    """A node that has just started does not know why an entry is gone."""

    def test_other_endpoints_are_used_first(self) -> None:
        node = self.site.ready_node()
        for name in ('e2', 'e3'):
            self.site.add_engine(name, platform_site.PLAIN_SERVICE)
        self.until(lambda: len(node.state.table.entries) == 3)
        node.state.table.store_returned_s = self.site.loop.now_s
        self.plain.unregister()
        self.until(
            lambda: node.state.table.is_deletion_pending(ids.EndpointId('e1'))
        )
        for _ in range(6):
            self.assertEqual(200, self.site.fetch(node, '/order/a').status)
        self.assertEqual([], self.plain.runs)


class StopTest(NodeTest):
    def test_a_stopping_node_is_named_no_more(self) -> None:
        first, second = self.two_nodes()
        self.until(lambda: len(_named(second)) == 2)
        first.stop()
        self.assertFalse(first.is_ready)
        self.until(lambda: _named(second) == [second.ingress.address])

    def test_a_stop_cuts_no_request(self) -> None:
        engine = self.site.add_engine(
            'e2', platform_site.MODEL_SERVICE, events=5
        )
        engine.event_pause_s = 0.1
        node = self.site.ready_node()
        caller = self.site.send(node, '/stream/a')
        self.until(lambda: caller.reply.body)
        node.stop()
        self.until(lambda: caller.reply.has_ended)
        self.assertTrue(caller.reply.is_complete)
        self.until(lambda: caller.reply.is_closed)

    # Guards against LOST: requests that came late in the grace period were
    # taken, and cut at its end without an answer.
    def test_at_the_end_of_the_grace_all_get_a_true_answer(self) -> None:
        self.plain.behaviour = standin_engine.Behaviour.SILENT
        node = self.site.ready_node()
        sent = [
            self.site.send(node, '/order/a'),
            self.site.send(node, '/lookup/a', method='GET'),
        ]
        self.until(lambda: len(self.plain.runs) == 2)
        node.stop()
        waiting = self.site.send(node, '/resumable/a')
        self.until(lambda: node.ingress.open_requests == 3)
        node.close()
        self.until(lambda: all(c.reply.has_ended for c in [*sent, waiting]))
        for caller in sent:
            self.assertEqual(502, caller.reply.status)
            self.assertTrue(caller.reply.is_complete)
        self.assertEqual(503, waiting.reply.status)

    # Guards against a stop, or an idle timeout, that closes a connection whose
    # next request has arrived in the same turn of the loop.
    def test_a_request_that_has_arrived_is_served_by_a_busy_node(self) -> None:
        node = self.site.ready_node()
        caller = self.site.send(node, '/order/a')
        self.until(lambda: caller.reply.is_complete)
        caller.send(platform_site.request_bytes('/order/b', 'second'))
        node.ingress.close_idle()
        self.until(lambda: caller.reply.has_ended)
        self.assertEqual(200, caller.reply.status)
        node.ingress.close_idle()
        self.until(lambda: caller.reply.is_closed)
        self.assertEqual(2, len(self.plain.runs))

    def test_late_callers_of_a_stopping_node_are_sent_elsewhere(self) -> None:
        node = self.site.ready_node(bounds={'stop_grace_s': 0.5})
        node.stop()
        self.assertEqual(200, self.site.fetch(node, '/order/a').status)
        looping.run_for(self.site.loop, 0.2)
        reply = self.site.fetch(node, '/order/a')
        self.assertEqual(503, reply.status)
        self.assertEqual('close', reply.headers['connection'])
        self.assertEqual(1, len(self.plain.runs))


class DutyTest(NodeTest):
    def setUp(self) -> None:
        super().setUp()
        self.cloud = self.site.cloud

    def reports(self) -> dict[int, list[dict[str, int]]]:
        found: dict[int, list[dict[str, int]]] = {}
        for window, counts in self.cloud.usage():
            found.setdefault(window, []).append(counts)
        return found

    def test_requests_of_all_nodes_are_reported_once(self) -> None:
        nodes = self.two_nodes()
        for node in nodes:
            self.site.fetch(node, '/order/a')
        self.site.fetch(nodes[0], '/order/a', key=platform_site.OTHER_KEY)
        self.until(lambda: sum(
            sum(counts[0].values()) for counts in self.reports().values()
        ) == 3)  # fmt: skip
        totals: dict[str, int] = {}
        for counts in self.reports().values():
            self.assertEqual([counts[0]] * len(counts), counts)
            for name, count in counts[0].items():
                totals[name] = totals.get(name, 0) + count
        self.assertEqual({'botany': 2, 'zoology': 1}, totals)

    def test_a_report_without_an_answer_is_repeated_unchanged(self) -> None:
        node = self.site.ready_node()
        self.cloud.drops_answers = True
        self.site.fetch(node, '/order/a')
        self.until(
            lambda: any(len(item) >= 2 for item in self.reports().values())
        )
        for counts in self.reports().values():
            self.assertEqual([counts[0]] * len(counts), counts)

    def test_the_duties_go_on_when_their_holder_is_gone(self) -> None:
        first, second = self.two_nodes()
        self.until(lambda: _holds(first) or _holds(second))
        holder, other = (first, second) if _holds(first) else (second, first)
        assert holder.duty is not None
        holder.duty.stop()
        self.site.fetch(other, '/order/a')
        self.until(lambda: _holds(other))
        self.until(
            lambda: any(
                call.holder == other.site.node for call in self.cloud.calls
            )
        )
        fences = [call.fence for call in self.cloud.calls]
        self.assertEqual(sorted(fences), fences)

    def test_a_write_whose_answer_is_lost_still_counts(self) -> None:
        self.site.store.fault = Fault.LOST_ANSWERS
        node = self.site.add_node()
        self.until(lambda: _holds(node))


class ManyNodesTest(NodeTest):
    """So many nodes that regions send each other only sums."""

    REGION_OF = {
        ids.FailureDomain('here-a'): ids.Region('here'),
        ids.FailureDomain('there-a'): ids.Region('there'),
    }

    def setUp(self) -> None:
        super().setUp()
        patch = unittest.mock.patch.object(rounds, 'FEW_NODES', 2)
        patch.start()
        self.addCleanup(patch.stop)
        self.local_nodes = [self.node_in('here') for _ in range(3)]
        self.remote_nodes = [self.node_in('there') for _ in range(2)]
        self.until(lambda: all(
            node.is_ready and len(node.peers.table.region_updates()) == 1
            for node in [*self.local_nodes, *self.remote_nodes]
        ))  # fmt: skip

    def node_in(self, region: str) -> entry_node.Node:
        return self.site.add_node(
            region=ids.Region(region),
            domain=ids.FailureDomain(f'{region}-a'),
            region_of=self.REGION_OF,
        )

    def test_a_node_hears_its_own_region_and_sums_of_the_other(self) -> None:
        for node in self.local_nodes:
            regions = {
                peer.update.region
                for peer in node.peers.table.active_peers()
                if peer.update is not None
            }
            self.assertEqual({'here'}, regions)
        self.until(lambda: all(
            node.peers.table.count == 5
            for node in [*self.local_nodes, *self.remote_nodes]
        ))  # fmt: skip

    def test_requests_of_all_regions_are_reported_once(self) -> None:
        for node in [*self.local_nodes, *self.remote_nodes]:
            self.assertEqual(200, self.site.fetch(node, '/order/a').status)

        def reported() -> int:
            counts = dict(self.site.cloud.usage())
            return sum(sum(item.values()) for item in counts.values())

        self.until(lambda: reported() >= 5)
        looping.run_for(self.site.loop, 1.5)
        self.assertEqual(5, reported())

    def test_the_other_region_spends_from_the_same_quota(self) -> None:
        tight = {
            'name': 'botany',
            'apiKeys': [platform_site.KEY],
            'unit': 'tokens',
            'uncachedTokens': 100,
            'ratePerS': 1,
            'burst': 250,
        }
        self.site.configure(2, tenants=[tight])
        nodes = [*self.local_nodes, *self.remote_nodes]
        self.until(lambda: all(node.state.version == 2 for node in nodes))
        # Sums count a node's admissions only after its first update.
        for node in nodes:
            node.ingress.admission.consumption()
        statuses = []
        for node in (
            self.remote_nodes[0],
            self.local_nodes[0],
            self.remote_nodes[1],
            self.local_nodes[1],
        ):
            statuses.append(self.site.fetch(node, '/order/a').status)
            looping.run_for(self.site.loop, 1.2)
        self.assertEqual([200, 200, 429, 429], statuses)

    def test_callers_are_sent_beyond_when_the_region_has_no_node(self) -> None:
        for node in self.local_nodes[1:]:
            node.stop()
        remote = {node.ingress.address for node in self.remote_nodes}
        self.until(lambda: remote & set(_named(self.local_nodes[0])))


def _holds(node: entry_node.Node) -> bool:
    return node.duty is not None and node.duty.is_held


def _named(node: entry_node.Node) -> list[ids.Address]:
    return node.address_book.addresses_for(node.site.domain, node.site.region)
