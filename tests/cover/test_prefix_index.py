"""Tests of prefix matching, missing events and the bound of the index."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.requests import prefix_index
from guavachute import ids

ONE = ids.EndpointId('vm-1')
TWO = ids.EndpointId('vm-2')
STORED = prefix_index.EventKind.STORED
EVICTED = prefix_index.EventKind.EVICTED


def stored(first: int, blocks: str) -> list[prefix_index.Event]:
    return [
        prefix_index.Event(first + place, STORED, block)
        for place, block in enumerate(blocks)
    ]


class PrefixIndexTest(unittest.TestCase):
    def test_match_counts_leading_blocks(self) -> None:
        index = prefix_index.PrefixIndex()
        index.record_routed(ONE, 'abcd')
        index.apply_events(TWO, stored(0, 'abd'))
        self.assertEqual({ONE: 4, TWO: 2}, index.match('abcd'))
        index.apply_events(TWO, [prefix_index.Event(3, EVICTED, 'a')])
        self.assertEqual({ONE: 4}, index.match('abcd'))
        index.remove_endpoint(ONE)
        self.assertEqual({}, index.match('abcd'))

    def test_a_gap_keeps_or_drops_as_told(self) -> None:
        kept = {
            prefix_index.GapPolicy.KEEP: {ONE: 3, TWO: 1},
            prefix_index.GapPolicy.DROP: {TWO: 1},
        }
        for policy, expected in kept.items():
            index = prefix_index.PrefixIndex(policy)
            index.record_routed(TWO, 'a')
            self.assertFalse(index.apply_events(ONE, stored(0, 'abc')))
            self.assertTrue(index.apply_events(ONE, stored(7, 'x')))
            self.assertEqual(1, index.gaps(ONE))
            self.assertEqual(expected, index.match('abc'))
            self.assertEqual({ONE: 1}, index.match('x'))

    def test_a_restarted_engine_holds_nothing(self) -> None:
        index = prefix_index.PrefixIndex()
        index.apply_events(ONE, stored(50, 'abc'))
        index.apply_events(ONE, stored(0, 'x'))
        self.assertEqual({}, index.match('abc'))
        self.assertEqual({ONE: 1}, index.match('x'))

    def test_the_bound_forgets_what_was_not_used(self) -> None:
        index = prefix_index.PrefixIndex(maximum_blocks=100)
        index.record_routed(ONE, ['used'])
        for number in range(500):
            index.record_routed(ONE, [str(number)])
            index.match(['used'])
            self.assertLessEqual(len(index), 100)
        self.assertEqual({ONE: 1}, index.match(['used']))
        self.assertEqual({}, index.match(['0']))

    def test_bits_are_taken_back_and_masks_stay_right(self) -> None:
        index = prefix_index.PrefixIndex()
        index.record_routed(TWO, 'ab')
        for _ in range(3 * prefix_index.MAXIMUM_MASK_BITS):
            index.remove_endpoint(ONE)
            index.record_routed(ONE, 'a')
        self.assertEqual({ONE: 1, TWO: 2}, index.match('ab'))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.booleans(),
                strategies.text('abc', min_size=1, max_size=1),
            ),
            max_size=40,
        )
    )
    def test_matches_agree_with_a_plain_set_per_endpoint(
        self, steps: list[tuple[int, bool, str]]
    ) -> None:
        index = prefix_index.PrefixIndex()
        sets: dict[ids.EndpointId, set[str]] = {}
        for seq, (number, add, block) in enumerate(steps):
            name = ids.EndpointId(f'vm-{number}')
            kind = STORED if add else EVICTED
            index.apply_events(name, [prefix_index.Event(seq, kind, block)])
            blocks = sets.setdefault(name, set())
            (blocks.add if add else blocks.discard)(block)
        expected = {}
        for name, blocks in sets.items():
            held = next((n for n in range(3) if 'abc'[n] not in blocks), 3)
            if held:
                expected[name] = held
        self.assertEqual(expected, index.match('abc'))
