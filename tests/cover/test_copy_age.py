"""A node that hears of no change can't tell whether there was none.

Patterns: the readers of a region stop reading, without a failure; many nodes
with the store away; a reader of an older build of ours, which tells no age.
"""

import unittest
import unittest.mock

import msgspec

from guavachute.decide.ingress import copy_age
from guavachute.decide.ingress import update_delay
from guavachute.decide.nodes import readers
from guavachute.decide.nodes import rounds
from guavachute.domain import log_position
from guavachute.entry import catch_up
from guavachute.entry import node as entry_node
from guavachute import ids
from guavachute.wire import node_updates
from tests.support import looping
from tests.support import platform_site
from tests.support import updates


class CopyAgeTest(unittest.TestCase):
    def test_the_store_is_read_when_the_proof_is_old(self) -> None:
        age = copy_age.CopyAge(3.0)
        age.record_complete(0.0, 'store')
        self.assertFalse(age.is_read_due(1.79))
        self.assertTrue(age.is_read_due(1.9))
        self.assertFalse(age.is_read_due(2.0))
        self.assertTrue(age.is_read_due(2.0 + copy_age.RETRY_S))
        age.record_complete(3.0, 'store')
        age.record_complete(2.0, 'n')
        self.assertEqual(1.0, age.age_s(4.0))
        self.assertFalse(age.is_read_due(4.5))

    # Guards against DRAIN: a process that had read nothing told that its
    # copy was complete, and others took theirs for complete then.
    def test_a_process_that_has_read_nothing_proves_nothing(self) -> None:
        age = copy_age.CopyAge(3.0)
        self.assertIsNone(age.age_ds(5.0))
        self.assertEqual(copy_age.MAX_AGE_S, age.age_s(5.0))
        self.assertFalse(age.is_read_due(5.0))

    def test_ages_of_others_prove_only_what_is_known_here(self) -> None:
        loop = unittest.mock.Mock(now_s=10.0)
        age = copy_age.CopyAge(3.0)
        age.record_complete(0.0, 'store')
        state = catch_up.VersionedState(
            is_needed=lambda: False,
            own_version=lambda: 5,
            peer_version=lambda update: update.endpoints_version,
            fetch=unittest.mock.Mock(),
            read_store=unittest.mock.Mock(),
            age=age,
        )
        table = unittest.mock.Mock()
        caught_up = catch_up.CatchUp(loop, table, [state])
        for version, told_ds, delay_s, expected_s in (
            (6, 1, 0.0, 10.0),
            (-1, 0, 0.0, 10.0),
            (5, None, 0.0, 10.0),
            (5, 4, None, 10.0),
            (5, 4, 3.0, 3.4),
            (4, 6, 0.0, 0.6),
            (5, 4, 0.0, 0.4),
        ):
            table.delay_s.return_value = delay_s
            caught_up.check_update(
                updates.node_update(
                    'n',
                    'here',
                    endpoints_version=version,
                    endpoints_age_ds=told_ds,
                )
            )
            self.assertAlmostEqual(expected_s, age.age_s(10.0))


class UpdateDelayTest(unittest.TestCase):
    # Guards against DRAIN: updates that had waited in a full link were taken
    # for what their sender knew now, and that was passed on.
    def test_an_update_that_waited_is_told_from_others(self) -> None:
        delay = update_delay.UpdateDelay()
        for second in range(3):
            delay.delay_s(100.0 + second, 5.0 + second)
        self.assertAlmostEqual(0.4, delay.delay_s(103.0, 8.4) or 0.0)
        self.assertAlmostEqual(0.0, delay.delay_s(104.0, 9.0) or 0.0)

    # Guards against DRAIN: a node that had stood still took what it found on
    # waking for news of that moment.
    def test_what_is_read_at_one_moment_proves_nothing(self) -> None:
        delay = update_delay.UpdateDelay()
        self.assertEqual(
            [None] * 9, [delay.delay_s(0.25 * n, 9.0) for n in range(9)]
        )
        awake = update_delay.UpdateDelay()
        for second in range(3):
            awake.delay_s(100.0 + second, 5.0 + second)
        found = [awake.delay_s(103.0 + n, 12.0) for n in range(5)]
        for expected_s, delay_s in zip((4.0, 3.0, 2.0, 1.0, 0.0), found):
            self.assertAlmostEqual(expected_s, delay_s or 0.0)


class OlderBuildsTest(unittest.TestCase):
    """Updates between this build of ours and ones before and after it."""

    # Guards against upgrades in which old and new nodes don't hear each other.
    def test_fields_that_one_side_lacks_cost_nothing(self) -> None:
        update = updates.node_update(
            'n', 'here', endpoints_age_ds=4, endpoints_position=7
        )
        fields = msgspec.msgpack.decode(node_updates.encode(update))
        # The tag comes before the fields.
        names = ['tag', *node_updates.NodeUpdate.__struct_fields__]
        age = names.index('endpoints_age_ds')
        for known in range(age, len(fields)):
            older = node_updates.decode_update(
                msgspec.msgpack.encode(fields[:known])
            )
            assert isinstance(older, node_updates.NodeUpdate)
            knows_position = known > names.index('endpoints_position')
            self.assertEqual(
                update.endpoints_position
                if knows_position
                else log_position.NO_POSITION,
                older.endpoints_position,
            )
            self.assertEqual(
                4 if known > age else None, older.endpoints_age_ds
            )
        newer = node_updates.decode_update(
            msgspec.msgpack.encode([*fields, 'of a later build'])
        )
        self.assertEqual(update, newer)


class ReadersThatStoppedTest(unittest.TestCase):
    # Guards against DRAIN: a node sent requests to an endpoint 4 s after the
    # store had the report that it leaves.
    def test_a_follower_reads_the_store_itself(self) -> None:
        for target, name, value in (
            (rounds, 'FEW_NODES', 0),
            (readers, 'READERS_PER_REGION', 1),
        ):
            patch = unittest.mock.patch.object(target, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        engine = site.add_engine('e1', platform_site.PLAIN_SERVICE)
        site.add_engine('e2', platform_site.PLAIN_SERVICE)
        nodes = [site.ready_node()]
        nodes.append(site.ready_node(seeds=(nodes[0].peers.address,)))
        looping.run_until(
            site.loop,
            lambda: sorted(node._is_reader for node in nodes) == [False, True],
        )
        # The follower's last read as a reader is over.
        looping.run_for(site.loop, 2 * entry_node.READER_PERIOD_S)
        follower, reader = sorted(nodes, key=lambda node: node._is_reader)
        if reader.duty is not None:
            reader.duty.set_contending(False)
        # What it does by itself goes on; it only reads no more.
        reader._endpoints._cancel_read()
        reader._endpoints._is_stopped = True
        if reader._endpoints._timer is not None:
            reader._endpoints._timer.cancel()
        engine.register(state='draining')
        looping.run_until(
            site.loop,
            lambda: (
                follower.state.table.entries['e1'].state.value == 'draining'
            ),
            timeout_s=follower.site.bounds.drain_s,
        )


class LateNoticeTest(unittest.TestCase):
    # Guards against DRAIN: the time in which a leaving endpoint may be used
    # was counted from when its notice was known, however old that was.
    def test_a_notice_that_may_be_old_ends_the_use_earlier(self) -> None:
        for age_s in (0.2, 1.0, 2.0):
            site = platform_site.PlatformSite()
            self.addCleanup(site.close)
            site.configure(1)
            engine = site.add_engine('e1', platform_site.PLAIN_SERVICE)
            node = site.ready_node()
            node.registry.entries_age_s = lambda age_s=age_s: age_s
            engine.register(state='draining')
            told_s = site.loop.now_s - age_s
            record = node.registry._records[ids.EndpointId('e1')]
            looping.run_until(
                site.loop, lambda record=record: record.is_leaving
            )
            drain_s = node.site.bounds.drain_s
            self.assertLess(record.accepts_until_s, told_s + drain_s)
            self.assertGreater(record.accepts_until_s, told_s + drain_s / 3)
