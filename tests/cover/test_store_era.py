"""The store comes back from a copy, which lacks its latest records.

Patterns: the store's offsets go back and are assigned again; nodes learn of
it at different times; a holder of the duties and a challenger meet in the new
era; endpoints left, and keys were withdrawn, after the copy was made.
"""

import typing
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from guavachute.decide.duty import usage
from guavachute.decide import lease
from guavachute.decide.nodes import entry_writes
from guavachute.domain import endpoints
from guavachute.domain import log_position
from guavachute.entry import control_client
from guavachute.entry import duty as entry_duty
from guavachute.entry import node as entry_node
from guavachute.entry import store_client
from guavachute import ids
from guavachute.platform import store
from guavachute.standin.platform import server
from guavachute.standin.platform import store as standin_store
from guavachute.wire import records
from tests.support import looping
from tests.support import platform_site

ERAS = strategies.integers(0, 2**20).map(ids.StoreEra)
OFFSETS = strategies.integers(0, 2**32 - 1).map(ids.Offset)


class LogPositionTest(unittest.TestCase):
    @hypothesis.given(first=ERAS, second=ERAS, offset=OFFSETS, other=OFFSETS)
    def test_a_later_era_is_always_greater(
        self,
        first: ids.StoreEra,
        second: ids.StoreEra,
        offset: ids.Offset,
        other: ids.Offset,
    ) -> None:
        position = log_position.pack(first, offset)
        self.assertEqual((first, offset), log_position.unpack(position))
        self.assertGreater(position, log_position.NO_POSITION)
        self.assertEqual(
            (first, offset) < (second, other),
            position < log_position.pack(second, other),
        )

    def test_every_reader_of_the_header_holds_it_exactly(self) -> None:
        largest = log_position.pack(
            ids.StoreEra(2**21 - 1), ids.Offset(2**32 - 1)
        )
        self.assertEqual(largest, int(float(largest)))
        self.assertEqual(largest - 1, int(float(largest - 1)))


class VoidLeaseTest(unittest.TestCase):
    """Nobody acts by a lost record, nor while another one may."""

    def contender(self, name: str) -> lease.Contender:
        return lease.Contender('duty', name, duration_s=3.0)

    def head(self, holder: str, record_id: str) -> records.LeaseHead:
        return records.LeaseHead(
            offset=ids.Offset(7),
            term_offset=ids.Offset(7),
            record_id=ids.RecordId(record_id),
            holder=holder,
            duration_s=3.0,
        )

    def test_a_holder_holds_it_no_more(self) -> None:
        holder, _ = lease.build_record(
            self.contender('a'), ids.RecordId('r'), 10.0
        )
        holder = lease.observe(holder, self.head('a', 'r'), 10.1)
        self.assertIsNotNone(lease.held(holder, 10.2))
        void = lease.void(holder, 10.2)
        self.assertIsNone(lease.held(void, 10.2))
        # Its record may still be read, from before the loss.
        late = lease.observe(void, self.head('a', 'r'), 10.3)
        self.assertIsNone(lease.held(late, 10.3))

    @hypothesis.given(
        renewed_s=strategies.floats(0, 3), heard_s=strategies.floats(0, 9)
    )
    def test_a_challenger_waits_until_any_holder_has_stopped(
        self, renewed_s: float, heard_s: float
    ) -> None:
        """The last renewal was sent before the loss, which was heard later."""
        challenger = lease.void(self.contender('b'), 10.0 + heard_s)
        last_sent_s = 10.0 - renewed_s
        self.assertGreater(
            lease.next_action_s(challenger), last_sent_s + lease.usable_s(3.0)
        )

    def test_the_holder_itself_contends_at_once(self) -> None:
        holder, _ = lease.build_record(
            self.contender('a'), ids.RecordId('r'), 10.0
        )
        holder = lease.observe(holder, self.head('a', 'r'), 10.1)
        void = lease.void(holder, 10.2)
        self.assertLessEqual(lease.next_action_s(void), 10.2)


class EntryWritesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.writes = entry_writes.EntryWrites()
        self.endpoint = ids.EndpointId('e')

    def is_outdated(
        self, number: int, start_ms: int = 1, is_snapshot: bool = False
    ) -> bool:
        return self.writes.is_outdated(
            self.endpoint, entry_writes.Write(start_ms, number), is_snapshot
        )

    def test_an_older_write_changes_nothing(self) -> None:
        self.writes.record(self.endpoint, entry_writes.Write(1, 50))
        self.assertTrue(self.is_outdated(49))
        self.assertFalse(self.is_outdated(51))
        self.assertFalse(self.is_outdated(1, start_ms=2))
        self.assertTrue(self.is_outdated(90, start_ms=0))

    def test_one_that_left_is_back_only_when_it_writes(self) -> None:
        self.writes.record(self.endpoint, entry_writes.Write(1, 50))
        self.writes.record_removal(self.endpoint)
        self.assertTrue(self.is_outdated(50))
        self.writes.handle_new_era()
        # The copy holds a write that was not read before the removal.
        self.assertTrue(self.is_outdated(52, is_snapshot=True))
        self.assertTrue(self.is_outdated(52))
        self.assertFalse(self.is_outdated(53))

    def test_a_snapshot_of_the_same_era_needs_no_proof(self) -> None:
        self.writes.record(self.endpoint, entry_writes.Write(1, 50))
        self.writes.record_removal(self.endpoint)
        self.assertFalse(self.is_outdated(51, is_snapshot=True))

    def test_removals_are_bounded(self) -> None:
        for number in range(entry_writes.KEPT_REMOVALS + 5):
            endpoint = ids.EndpointId(f'e{number}')
            self.writes.record(endpoint, entry_writes.Write(1, 1))
            self.writes.record_removal(endpoint)
        first = entry_writes.Write(1, 1)
        self.assertFalse(
            self.writes.is_outdated(ids.EndpointId('e0'), first, False)
        )
        self.assertTrue(
            self.writes.is_outdated(ids.EndpointId('e9'), first, False)
        )


class RememberedCountsTest(unittest.TestCase):
    def test_counts_of_a_lost_record_are_kept_and_bounded(self) -> None:
        name = ids.WorkspaceName('a')
        known: dict[int, usage.Counts] = {}
        for window in range(100):
            known = usage.merge_decisions(known, {window: {name: window}})
        self.assertEqual({name: 99}, known[99])
        self.assertEqual(usage.REMEMBERED_DECISIONS, len(known))


class StoreClientTest(unittest.TestCase):
    """Answers of an earlier era come late."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.open: list[server.Answer] = []
        self.server = server.Server(self.site.loop, self.open.append)
        self.addCleanup(self.server.close)
        self.client = store_client.StoreClient(
            self.site.loop, self.server.address
        )
        self.addCleanup(self.client.close)
        self.replies: list[typing.Any] = []
        self.changes: list[bool] = []
        self.client.on_new_era.append(self.changes.append)

    def call(self) -> server.Answer:
        before = len(self.open)
        self.client.call(
            store.read('t', ids.Offset(0), 0.0), self.replies.append, 5.0
        )
        looping.run_until(self.site.loop, lambda: len(self.open) > before)
        return self.open[-1]

    def reply(self, answer: server.Answer, era: int | None) -> None:
        headers = [] if era is None else [(b'Store-Era', b'%d' % era)]
        before = len(self.replies)
        answer.reply(200, b'', headers)
        looping.run_until(self.site.loop, lambda: len(self.replies) > before)

    def test_answers_of_one_era_are_passed_on(self) -> None:
        for _ in range(2):
            self.reply(self.call(), 4)
            self.assertEqual(control_client.Reply(200, b''), self.replies[-1])
        self.assertEqual([False], self.changes)

    def test_a_late_answer_of_an_earlier_era_is_dropped(self) -> None:
        self.reply(self.call(), 4)
        late = self.call()
        self.client.observe_era(ids.StoreEra(5), 'peer')
        self.reply(late, 4)
        self.assertEqual(
            control_client.CallFailure.OTHER_ERA, self.replies[-1]
        )
        self.assertEqual(5, self.client.era)

    def test_a_call_from_before_a_change_means_nothing_after_it(self) -> None:
        """The offset that it names is another record's by now."""
        self.reply(self.call(), 4)
        self.reply(self.call(), 5)
        self.assertEqual(
            control_client.CallFailure.OTHER_ERA, self.replies[-1]
        )
        self.assertEqual([False, True], self.changes)

    def test_a_store_that_tells_no_era_is_served(self) -> None:
        self.reply(self.call(), None)
        self.assertEqual(control_client.Reply(200, b''), self.replies[-1])
        self.assertEqual([], self.changes)


class RestoredSiteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.engine = self.site.add_engine('e1', platform_site.PLAIN_SERVICE)

    def until(self, condition: typing.Callable[[], object]) -> None:
        looping.run_until(self.site.loop, condition)

    def restore(self, *nodes: entry_node.Node) -> None:
        """Let the store come back, and wait until *nodes* have read it."""
        self.site.store.restore_copy()
        self.until(
            lambda: all(
                node.state.endpoints_position
                >= log_position.pack(
                    ids.StoreEra(self.site.store.era), ids.Offset(0)
                )
                for node in nodes
            )
        )

    def entry(
        self, node: entry_node.Node, name: str = 'e1'
    ) -> endpoints.Endpoint | None:
        return node.state.table.entries.get(ids.EndpointId(name))


class RestoredStoreTest(RestoredSiteTest):
    def test_a_withdrawn_key_stays_withdrawn(self) -> None:
        node = self.site.ready_node()
        self.site.store.make_copy()
        self.site.configure(2, tenants=[])
        self.until(lambda: node.state.version == 2)
        self.restore(node)
        looping.run_for(self.site.loop, 0.3)
        self.assertEqual(2, node.state.version)
        self.site.configure(3)
        self.until(lambda: node.state.version == 3)

    def test_a_node_that_starts_then_learns_it_from_its_peers(self) -> None:
        node = self.site.ready_node()
        self.site.store.make_copy()
        self.site.configure(2)
        self.until(lambda: node.state.version == 2)
        self.restore(node)
        started = self.site.ready_node()
        self.until(lambda: started.state.version == 2)

    def test_an_endpoint_that_left_is_not_used_again(self) -> None:
        node = self.site.ready_node()
        self.site.store.make_copy()
        self.engine.register('draining')
        self.until(
            lambda: (
                (found := self.entry(node)) is not None
                and found.state is endpoints.EndpointState.DRAINING
            )
        )
        self.restore(node)
        looping.run_for(self.site.loop, 0.3)
        found = self.entry(node)
        self.assertTrue(
            found is None or found.state is endpoints.EndpointState.DRAINING
        )

    def test_an_endpoint_that_is_gone_is_back_only_if_it_writes(self) -> None:
        node = self.site.ready_node()
        self.site.store.make_copy()
        self.engine.unregister()
        self.until(lambda: self.entry(node) is None)
        self.restore(node)
        looping.run_for(self.site.loop, 0.5)
        self.assertIsNone(self.entry(node))
        self.engine.register()
        self.until(lambda: self.entry(node) is not None)

    def test_an_endpoint_that_the_copy_lacks_is_not_dropped(self) -> None:
        node = self.site.ready_node()
        self.site.store.make_copy()
        second = self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        self.until(lambda: self.entry(node, 'e2') is not None)
        self.restore(node)
        for _ in range(4):
            looping.run_for(self.site.loop, 0.2)
            self.assertIsNotNone(self.entry(node, 'e2'))
        second.register()
        looping.run_for(self.site.loop, 2.5)
        self.assertIsNotNone(self.entry(node, 'e2'))

    def test_a_missing_endpoint_that_does_not_write_is_gone(self) -> None:
        node = self.site.ready_node()
        self.site.store.make_copy()
        self.site.add_engine('e2', platform_site.PLAIN_SERVICE)
        self.until(lambda: self.entry(node, 'e2') is not None)
        self.restore(node)
        self.until(lambda: self.entry(node, 'e2') is None)

    def test_nodes_write_their_entries_again(self) -> None:
        nodes = [self.site.ready_node(), self.site.ready_node()]
        # Without a copy, all is lost but what is written now.
        self.site.store.restore_copy()
        self.site.configure(1)
        self.engine.register()
        for node in nodes:
            key = entry_node.NODE_KEY_PREFIX + node.site.node
            self.until(
                lambda: (
                    self.site.store.newest(store.OWN_TOPIC, key) is not None
                )  # noqa: B023
            )
        self.until(lambda: all(n.peers.table.active_peers() for n in nodes))

    def test_a_node_without_the_store_hears_of_it_from_a_peer(self) -> None:
        first, second = self.site.ready_node(), self.site.ready_node()
        self.until(lambda: first.peers.table.active_peers())
        update = msgspec.structs.replace(
            first.node_update(1, 1), store_era=ids.StoreEra(9)
        )
        second.handle_node_update(update)
        assert second.duty is not None
        self.assertFalse(second.duty.is_held)


class RestoredDutyTest(RestoredSiteTest):
    """Fencing tokens only grow, and nobody acts beside another."""

    def holder(self, *nodes: entry_node.Node) -> entry_node.Node | None:
        held = [node for node in nodes if node.duty and node.duty.is_held]
        self.assertLessEqual(len(held), 1)
        return held[0] if held else None

    def nodes(self) -> tuple[entry_node.Node, entry_node.Node]:
        first, second = self.site.ready_node(), self.site.ready_node()
        self.until(lambda: self.holder(first, second))
        return first, second

    def assert_fences_grow(self) -> None:
        calls = self.site.cloud.calls
        fences = [item.fence for item in calls]
        self.assertEqual(sorted(fences), fences)
        holder_by_fence: dict[int, str] = {}
        for item in calls:
            self.assertEqual(
                item.holder,
                holder_by_fence.setdefault(item.fence, item.holder),
            )
        counts: dict[int, dict[str, int]] = {}
        for window, reported in self.site.cloud.usage():
            self.assertEqual(counts.setdefault(window, reported), reported)

    def wait_for_report(self, node: entry_node.Node) -> None:
        before = len(self.site.cloud.calls)
        reply = self.site.fetch(node, '/order/a')
        self.assertEqual(200, reply.status)
        self.until(lambda: len(self.site.cloud.calls) > before)

    def test_the_holder_goes_on_with_a_higher_token(self) -> None:
        first, second = self.nodes()
        self.site.store.make_copy()
        self.wait_for_report(first)
        holder = self.holder(first, second)
        highest = self.site.cloud.calls[-1].fence
        for _ in range(2):
            self.restore(first, second)
            self.site.configure(1)
            self.until(lambda: self.holder(first, second) is not None)
            self.assertIs(holder, self.holder(first, second))
            self.wait_for_report(first)
            self.assertGreater(self.site.cloud.calls[-1].fence, highest)
            highest = self.site.cloud.calls[-1].fence
        self.assertEqual(0, self.site.cloud.refused)
        self.assert_fences_grow()

    def test_another_one_takes_over_when_the_holder_is_gone(self) -> None:
        first, second = self.nodes()
        self.site.store.make_copy()
        self.wait_for_report(first)
        holder = self.holder(first, second)
        assert holder is not None and holder.duty is not None
        other = second if holder is first else first
        holder.duty.stop()
        self.restore(first, second)
        self.until(lambda: other.duty and other.duty.is_held)
        self.wait_for_report(other)
        self.assert_fences_grow()

    def test_a_lost_window_is_not_reported_with_other_counts(self) -> None:
        first, second = self.nodes()
        self.site.store.make_copy()
        for _ in range(3):
            self.wait_for_report(first)
            self.wait_for_report(second)
        self.restore(first, second)
        self.until(lambda: self.holder(first, second) is not None)
        self.wait_for_report(first)
        self.assert_fences_grow()

    def test_a_record_that_is_appended_in_another_era_is_no_lease(
        self,
    ) -> None:
        """An append may take effect seconds after it was sent."""
        first, second = self.nodes()
        holder = self.holder(first, second)
        assert holder is not None
        record = self.site.store.newest(store.OWN_TOPIC, entry_duty.KEY)
        assert record is not None
        self.restore(first, second)
        other = second if holder is first else first
        assert other.duty is not None
        # Nodes drop a lost endpoint that doesn't write again.
        self.engine.register()
        self.site.store.put(store.OWN_TOPIC, entry_duty.KEY, record)
        looping.run_for(self.site.loop, 0.3)
        self.holder(first, second)
        self.until(lambda: self.holder(first, second) is not None)
        self.wait_for_report(first)
        self.assert_fences_grow()

    def test_topics_are_read_from_their_copy(self) -> None:
        """The stand-in gives out offsets again, and answers 410."""
        site = self.site
        offset = site.store.put(standin_store.ENDPOINTS_TOPIC, 'x', b'1')
        site.store.restore_copy()
        again = site.store.put(standin_store.ENDPOINTS_TOPIC, 'x', b'1')
        self.assertLess(again, offset)
