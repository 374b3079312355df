"""Tests of the tree that relays the control stream within a region."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.control import relay_tree
from guavachute import ids

PERTH = ids.Region('perth')


def tree_of(count: int) -> dict[ids.NodeId, relay_tree.Sources]:
    nodes = [ids.NodeId(f'node-{number}') for number in range(count)]
    return {node: relay_tree.sources_of(node, PERTH, nodes) for node in nodes}


class RelayTreeTest(unittest.TestCase):
    @hypothesis.given(count=strategies.integers(1, 400))
    def test_all_reach_the_log_and_nobody_has_many_children(
        self, count: int
    ) -> None:
        tree = tree_of(count)
        readers = [node for node, found in tree.items() if found.reads_log]
        self.assertEqual(min(count, relay_tree.ROOTS), len(readers))
        children: collections.Counter[ids.NodeId] = collections.Counter()
        for node, found in tree.items():
            self.assertNotIn(node, found.relays)
            if not found.reads_log:
                children[found.relays[0]] += 1
                self.assertEqual(len(found.relays), len(set(found.relays)))
            depth = 0
            while not tree[node].reads_log:
                node = tree[node].relays[0]
                depth += 1
                self.assertLess(depth, 8)
        self.assertLessEqual(
            max(children.values(), default=0), relay_tree.FAN_OUT
        )

    def test_a_node_that_is_not_listed_follows_the_roots(self) -> None:
        unlisted = ids.NodeId('stranger')
        alone = relay_tree.sources_of(unlisted, PERTH, [])
        self.assertTrue(alone.reads_log)
        listed = relay_tree.sources_of(unlisted, PERTH, [ids.NodeId('node-1')])
        self.assertEqual(
            relay_tree.Sources(False, (ids.NodeId('node-1'),)), listed
        )
