"""Requests with one part in their prompts that crashes engines.

Such requests come at every node, no two alike; sound requests share their key
and their other parts, and come at the same time.
"""

import gc
import itertools
import unittest
import unittest.mock

from guavachute.decide.nodes import rounds
from guavachute.entry import exchange
from guavachute.entry import node as entry_node
from guavachute.entry import part_suspects
from guavachute import ids
from guavachute.platform import store
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store
from tests.support import looping
from tests.support import platform_site

BAD = 'bad'
ENGINES = 4
CRASHES = 5
"""After so many crashes a part has to be recognised."""

CONTACT_S = 4.0
"""Within this time after them, all nodes have to know it."""

MAX_SENT_LATER = 3
EVENTS = 20


class CrashingPartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.engines = [
            self.site.add_engine(f'e{number}', platform_site.MODEL_SERVICE, 4)
            for number in range(ENGINES)
        ]
        for engine in self.engines:
            engine.crashing_part = BAD
        self.numbers = itertools.count(1)

    @property
    def crashes(self) -> int:
        return sum(engine.crashes for engine in self.engines)

    def runs_with(self, part: str) -> list[standin_engine.Run]:
        return [
            run
            for engine in self.engines
            for run in engine.runs
            if part in run.shared_parts
        ]

    def send(
        self, node: entry_node.Node, part: str, path: str = '/stream/a'
    ) -> platform_site.Reply:
        number = next(self.numbers)
        return self.site.fetch(
            node,
            path,
            body=b'question %d' % number,
            Prefix_Hash=f'system:50,{part}:20,own-{number}:5',
            Token_Counts='75,20',
        )

    def crash_engines(self, nodes: list[entry_node.Node]) -> None:
        """Send requests with the bad part until enough engines crashed."""
        for node in itertools.islice(itertools.cycle(nodes), 12):
            if self.crashes >= CRASHES:
                break
            self.send(node, BAD)
            for number in range(3):
                self.send(node, f'sound-{number}')
            looping.run_for(self.site.loop, 0.4)

    # Guards against engines that crash one after the other under requests
    # that have one part of their prompts in common.
    def test_a_part_that_crashed_engines_is_known_to_all_nodes(self) -> None:
        nodes = [self.site.ready_node() for _ in range(3)]
        self.crash_engines(nodes[:2])
        looping.run_for(self.site.loop, CONTACT_S / 2)
        before = len(self.runs_with(BAD))
        replies = [self.send(node, BAD) for node in nodes * 3]
        self.assertLessEqual(len(self.runs_with(BAD)) - before, MAX_SENT_LATER)
        self.assertEqual({503}, {reply.status for reply in replies[-3:]})
        self.assertIn('retry-after', replies[-1].headers)
        # The other parts of these requests are served at every node.
        for node in nodes:
            self.assertEqual(200, self.send(node, 'sound-1').status)

    # Guards against a part that only one region knows, where there are many
    # nodes and the store can't tell them.
    def test_other_regions_hear_of_the_part_without_the_store(self) -> None:
        patch = unittest.mock.patch.object(rounds, 'FEW_NODES', 2)
        patch.start()
        self.addCleanup(patch.stop)
        regions = {
            ids.FailureDomain('here-a'): ids.Region('here'),
            ids.FailureDomain('there-a'): ids.Region('there'),
        }
        nodes = [
            self.site.ready_node(
                domain=domain, region=regions[domain], region_of=regions
            )
            for domain in regions
            for _ in range(2)
        ]
        looping.run_for(self.site.loop, 2.0)
        self.site.store.fault = standin_store.Fault.SILENT
        self.crash_engines(nodes[:1])
        looping.run_for(self.site.loop, CONTACT_S / 2)
        before = len(self.runs_with(BAD))
        replies = [self.send(node, BAD) for node in nodes]
        self.assertEqual(before, len(self.runs_with(BAD)))
        self.assertEqual({503}, {reply.status for reply in replies})

    # Guards against a part that is in use again after all nodes have started
    # anew.
    def test_nodes_that_start_later_know_the_part(self) -> None:
        nodes = [self.site.ready_node() for _ in range(2)]
        self.crash_engines(nodes)
        self.until_stored()
        for node in nodes:
            node.close()
        later = self.site.ready_node()
        looping.run_for(self.site.loop, 0.5)
        before = len(self.runs_with(BAD))
        self.assertEqual(503, self.send(later, BAD).status)
        self.assertEqual(before, len(self.runs_with(BAD)))
        self.assertEqual(200, self.send(later, 'sound-1').status)

    # Guards against a part that a store's copy from before has lost.
    def test_the_store_has_the_part_again_after_a_copy(self) -> None:
        node = self.site.ready_node()
        self.site.store.make_copy()
        self.crash_engines([node])
        self.until_stored()
        self.site.store.restore_copy()
        self.assertIsNone(self.stored())
        self.until_stored()
        self.assertEqual(503, self.send(node, BAD).status)

    # Guards against a retry that crashes one more engine.
    def test_a_suspected_request_is_not_sent_to_another_engine(self) -> None:
        node = self.site.ready_node()
        self.send(node, BAD)
        looping.run_for(self.site.loop, 0.5)
        before = self.crashes
        reply = self.send(node, BAD, '/resumable/a')
        looping.run_for(self.site.loop, 0.5)
        self.assertEqual(502, reply.status)
        self.assertEqual(before + 1, self.crashes)

    # Guards against requests that are refused for a broken connection alone.
    def test_a_lost_answer_of_an_engine_that_lives_blames_nothing(
        self,
    ) -> None:
        node = self.site.ready_node()
        for engine in self.engines:
            engine.behaviour = standin_engine.Behaviour.LOSE
        for _ in range(6):
            self.send(node, 'sound')
            looping.run_for(self.site.loop, 0.4)
        for engine in self.engines:
            engine.behaviour = standin_engine.Behaviour.NORMAL
        self.assertEqual(200, self.send(node, 'sound').status)

    # Guards against bodies of lost requests that stay in memory.
    def test_a_lost_request_is_freed_before_the_blame_window_ends(
        self,
    ) -> None:
        node = self.site.ready_node()
        for engine in self.engines:
            engine.behaviour = standin_engine.Behaviour.LOSE
        self.send(node, 'sound')
        looping.run_for(self.site.loop, 0.2)
        gc.collect()
        kept = [
            item
            for item in gc.get_objects()
            if isinstance(item, exchange.Exchange)
        ]
        self.assertEqual([], kept)

    # Guards against one start of an engine that counts as a crash each time
    # an answer is lost while the store can't tell of it.
    def test_a_known_start_of_an_engine_is_one_crash(self) -> None:
        for engine in self.engines[1:]:
            engine.unregister()
        engine = self.engines[0]
        self.engines[1:] = []
        self.site.engines[1:] = []
        node = self.site.ready_node()
        self.site.store.fault = standin_store.Fault.SILENT
        engine.incarnation += 1
        engine.behaviour = standin_engine.Behaviour.LOSE
        for _ in range(8):
            self.send(node, 'sound')
            looping.run_for(self.site.loop, 0.6)
        engine.behaviour = standin_engine.Behaviour.NORMAL
        self.assertEqual(200, self.send(node, 'sound').status)

    def stored(self) -> bytes | None:
        return self.site.store.newest(
            store.OWN_TOPIC, part_suspects.KEY_PREFIX + BAD
        )

    def until_stored(self) -> None:
        looping.run_until(self.site.loop, self.stored)


class SoundStreamTest(unittest.TestCase):
    # Guards against sound streams that are cut because their parts were also
    # in a request that was lost without an answer.
    def test_a_stream_that_has_begun_is_resumed_although_suspected(
        self,
    ) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        service = platform_site.MODEL_SERVICE
        first = site.add_engine('e1', service, EVENTS)
        first.event_pause_s = 0.3
        node = site.ready_node()
        stream = site.send(
            node, '/resumable/a', Prefix_Hash='system:9,shared:9,own:9'
        )
        looping.run_for(site.loop, 0.8)
        first.register('draining')
        second = site.add_engine('e2', service, EVENTS)
        second.behaviour = standin_engine.Behaviour.SILENT
        looping.run_until(
            site.loop, lambda: len(node.state.table.entries) == 2
        )
        site.send(node, '/stream/a', Prefix_Hash='system:9,shared:9,two:9')
        looping.run_until(site.loop, lambda: second.runs)
        second.behaviour = standin_engine.Behaviour.NORMAL
        second.crash()
        site.add_engine('e3', service, EVENTS)
        looping.run_until(site.loop, lambda: 'e3' in node.state.table.entries)
        looping.run_for(site.loop, 0.2)
        first.crash()
        looping.run_until(site.loop, lambda: stream.reply.has_ended)
        self.assertTrue(stream.reply.is_complete)
        self.assertEqual(EVENTS, stream.reply.body.count(b'\n\n'))
