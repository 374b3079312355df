"""Requests with one part in their prompts that crashes engines.

Such requests come at every node, no two alike; sound requests share their key
and their other parts, and come at the same time.
"""

import itertools
import unittest

from guavachute.entry import node as entry_node
from guavachute.standin.platform import engine as standin_engine
from tests.support import looping
from tests.support import platform_site

BAD = 'bad'
ENGINES = 4
CRASHES = 5
"""After so many crashes a part has to be recognised."""

CONTACT_S = 4.0
"""Within this time after them, all nodes have to know it."""

MAX_SENT_LATER = 3


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
