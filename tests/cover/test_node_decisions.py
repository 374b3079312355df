"""Tests the decisions of a node about other nodes and the store."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.nodes import addresses
from guavachute.decide.nodes import change_log
from guavachute.decide.nodes import clock
from guavachute.decide.nodes import counting
from guavachute.decide.nodes import endpoint_table
from guavachute.decide.nodes import readers
from guavachute.decide.nodes import rounds
from guavachute.domain import endpoints
from guavachute import ids


class ClockTest(unittest.TestCase):
    """The wall clocks of some nodes step."""

    @hypothesis.given(
        sound=strategies.integers(4, 8),
        jumps=strategies.lists(strategies.floats(-9, 9), max_size=3),
        own_jump=strategies.floats(-9, 9),
    )
    def test_a_minority_of_jumps_moves_the_time_by_little(
        self, sound: int, jumps: list[float], own_jump: float
    ) -> None:
        readings = [
            clock.Reading(1_000 + place / 1_000, 50.0)
            for place in range(sound)
        ]
        readings += [clock.Reading(1_000 + jump, 50.0) for jump in jumps]
        offset_s = clock.agreed_offset_s(1_000 + own_jump, readings, 50.5)
        if 2 * (len(jumps) + 1) < len(readings) + 1:
            self.assertAlmostEqual(1_000, offset_s, delta=0.02)

    @hypothesis.given(
        step_s=strategies.floats(0.5, 9) | strategies.floats(-9, -0.5),
        lasts_s=strategies.floats(0.5, clock.STEP_ACCEPTED_S - 1),
    )
    def test_a_step_that_is_taken_back_is_not_followed(
        self, step_s: float, lasts_s: float
    ) -> None:
        """All clocks may step at once; the median can't detect that."""
        own = clock.OwnClock()
        for tenths in range(400):
            now_s = tenths / 10
            steps = step_s if 2 <= now_s < 2 + lasts_s else 0.0
            offset_s = own.offset_s(1_000 + now_s + steps, now_s)
            self.assertAlmostEqual(1_000, offset_s, places=6)

    def test_a_clock_that_stays_where_it_stepped_is_followed(self) -> None:
        own = clock.OwnClock()
        own.offset_s(1_005.0, 0.0)
        for tenths in range(400):
            offset_s = own.offset_s(1_000 + tenths / 10, tenths / 10)
        self.assertAlmostEqual(1_000, offset_s, places=6)

    def test_small_corrections_are_followed_at_once(self) -> None:
        own = clock.OwnClock()
        own.offset_s(1_000.0, 0.0)
        self.assertAlmostEqual(1_000.01, own.offset_s(1_005.01, 5.0))

    def test_old_readings_are_left_out(self) -> None:
        old = clock.Reading(5_000.0, 0.0)
        self.assertEqual(1_000.0, clock.agreed_offset_s(1_000.0, [old], 60.0))


def candidate(
    name: str,
    domain: str,
    region: str,
    is_ready: bool = True,
    age_s: float = 0,
) -> addresses.Candidate:
    return addresses.Candidate(
        ids.Address(name),
        ids.FailureDomain(domain),
        ids.Region(region),
        is_ready,
        100.0 - age_s,
    )


def is_reader(own: readers.Candidate, others: list[readers.Candidate]) -> bool:
    return readers.role(own, others) is not readers.Role.FOLLOWER


class AddressesTest(unittest.TestCase):
    """Nodes stop, crash or are in other regions."""

    def choose(self, *candidates: addresses.Candidate) -> list[str]:
        return list(addresses.choose(
            candidates, ids.FailureDomain('a'), ids.Region('r'), 100.0
        ))  # fmt: skip

    def test_near_nodes_are_named_alone_if_they_are_enough(self) -> None:
        self.assertEqual(
            ['n1', 'n2'],
            self.choose(
                candidate('n1', 'a', 'r'), candidate('n2', 'a', 'r'),
                candidate('n3', 'b', 'r'), candidate('n4', 'c', 's'),
            ),
        )  # fmt: skip

    def test_farther_nodes_fill_up(self) -> None:
        self.assertEqual(
            ['n1', 'n3'],
            self.choose(
                candidate('n1', 'a', 'r'), candidate('n3', 'b', 'r'),
                candidate('n4', 'c', 's'),
            ),
        )  # fmt: skip

    def test_silent_and_stopping_nodes_are_not_named(self) -> None:
        self.assertEqual(
            ['n4'],
            self.choose(
                candidate('n1', 'a', 'r', is_ready=False),
                candidate(
                    'n2', 'a', 'r', age_s=addresses.SILENT_AFTER_S + 0.1
                ),
                candidate('n4', 'c', 's'),
            ),
        )


def reader(
    name: str, region: str = 'r', reaches: bool = True, stays: bool = True
) -> readers.Candidate:
    return readers.Candidate(
        ids.NodeId(name), ids.Region(region), reaches, stays
    )


class ReadersTest(unittest.TestCase):
    """Readers crash, stop, or are rejected by the store."""

    def count(self, nodes: list[readers.Candidate]) -> int:
        return sum(
            is_reader(node, [n for n in nodes if n is not node])
            for node in nodes
        )

    def test_a_region_has_two_readers_however_large_it_is(self) -> None:
        for size in (2, 9, 300):
            nodes = [reader(f'n{number}') for number in range(size)]
            self.assertEqual(readers.READERS_PER_REGION, self.count(nodes))

    def test_a_node_that_hears_nobody_reads_for_itself(self) -> None:
        self.assertTrue(is_reader(reader('n1'), []))
        remote = [reader(f'f{number}', region='s') for number in range(5)]
        self.assertTrue(is_reader(reader('n1'), remote))

    def test_nodes_that_can_read_take_over_from_those_that_cannot(
        self,
    ) -> None:
        own = reader('own')
        for lost in (
            {'reaches': False},
            {'stays': False},
        ):
            others = [reader(f'n{number}', **lost) for number in range(9)]
            self.assertTrue(is_reader(own, others))


def endpoint(name: str, state: str = 'ready') -> endpoints.Endpoint:
    return endpoints.Endpoint(
        id=ids.EndpointId(name),
        service=ids.ServiceName('s'),
        address=ids.Address('10.0.0.1:80'),
        domain=ids.FailureDomain('a'),
        slots=4,
        state=endpoints.EndpointState(state),
        start_ms=1,
        is_reclaimable=False,
        leaves_in_s=None,
    )


class EndpointTableTest(unittest.TestCase):
    """Entries expire during an outage of the store."""

    def setUp(self) -> None:
        self.table = endpoint_table.EndpointTable()
        self.table.put(endpoint('e1'))
        self.name = ids.EndpointId('e1')

    def test_a_deleted_entry_is_gone_at_once(self) -> None:
        self.assertTrue(self.table.delete(self.name, 50.0))
        self.assertEqual({}, self.table.entries)

    def test_after_an_outage_a_lapsed_entry_has_time_to_come_back(
        self,
    ) -> None:
        self.table.store_returned_s = 50.0
        self.assertFalse(self.table.delete(self.name, 50.1))
        self.assertEqual([], self.table.expire(51.0))
        self.table.put(endpoint('e1'))
        self.assertEqual([], self.table.expire(60.0))
        self.assertIn(self.name, self.table.entries)

    def test_one_that_does_not_come_back_is_gone(self) -> None:
        self.table.store_returned_s = 50.0
        self.table.delete(self.name, 50.1)
        expired_s = 50.0 + endpoint_table.RETURN_GRACE_S
        self.assertEqual([self.name], self.table.expire(expired_s))
        self.assertEqual({}, self.table.entries)


class CountingTest(unittest.TestCase):
    """Nodes stop sending updates: they ended or are partitioned."""

    def last_heard(self, ages_s: list[float]) -> dict[str, float]:
        return {
            f'edge-{place}': 100.0 - age_s
            for place, age_s in enumerate(ages_s)
        }

    def test_a_node_that_ended_counts_no_more_after_a_while(self) -> None:
        known = self.last_heard([0.2] * 7 + [counting.COUNTED_S + 1])
        self.assertEqual(7, len(counting.counted_nodes(known, 100.0)))

    def test_one_that_fell_silent_just_now_still_counts(self) -> None:
        known = self.last_heard([0.2] * 7 + [counting.COUNTED_S - 1])
        self.assertEqual(8, len(counting.counted_nodes(known, 100.0)))

    def test_a_node_that_hears_nobody_counts_all_that_it_knows(self) -> None:
        known = self.last_heard([30.0] * 8)
        self.assertEqual(8, len(counting.counted_nodes(known, 100.0)))

    def test_both_halves_of_a_cut_count_the_other(self) -> None:
        known = self.last_heard([0.2] * 4 + [30.0] * 4)
        self.assertEqual(8, len(counting.counted_nodes(known, 100.0)))


class ChangeLogTest(unittest.TestCase):
    """Peers request the changes that they missed."""

    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from('abcd'), strategies.booleans()
            ),
            max_size=30,
        ),
        known=strategies.integers(0, 30),
    )
    def test_what_came_after_an_offset_completes_what_was_known(
        self, steps: list[tuple[str, bool]], known: int
    ) -> None:
        log = change_log.ChangeLog()
        log.set_complete_from(ids.LogPosition(0))
        before: dict[str, int] = {}
        after: dict[str, int] = {}
        for offset, (key, is_removed) in enumerate(steps):
            states = [after] if offset > known else [after, before]
            for state in states:
                if is_removed:
                    state.pop(key, None)
                else:
                    state[key] = offset
            record = log.record_removal if is_removed else log.record_change
            record(key, ids.LogPosition(offset))
        changes = log.since(ids.LogPosition(known))
        assert changes is not None
        before.update(changes.changed)
        for key in changes.removed:
            before.pop(key, None)
        self.assertEqual(after, before)

    def test_what_is_too_old_to_be_known_is_said_so(self) -> None:
        log = change_log.ChangeLog()
        self.assertIsNone(log.since(ids.LogPosition(0)))
        log.set_complete_from(ids.LogPosition(50))
        self.assertIsNone(log.since(ids.LogPosition(48)))
        self.assertIsNotNone(log.since(ids.LogPosition(49)))
        for number in range(change_log.KEPT_REMOVALS + 5):
            log.record_removal(f'key-{number}', ids.LogPosition(100 + number))
        self.assertIsNone(log.since(ids.LogPosition(99)))
        self.assertIsNotNone(log.since(ids.LogPosition(200)))


class RoundsTest(unittest.TestCase):
    """Hundreds of nodes, each with a bound on the updates it sends."""

    def test_each_node_of_a_region_is_told_once_in_a_round(self) -> None:
        for local_nodes in (1, 24, 25, 43, 150, 329):
            names = list(range(local_nodes))
            turns = round(
                rounds.round_s(2 * local_nodes, local_nodes) / rounds.PERIOD_S
            )
            recipients = [
                name
                for turn in range(turns)
                for name in rounds.recipients(names, turn)
            ]
            self.assertEqual(set(names), set(recipients))
            self.assertLessEqual(
                len(recipients), turns * max(rounds.MAX_RECIPIENTS, 1)
            )

    def test_what_a_node_sends_does_not_grow_with_the_nodes(self) -> None:
        for local_nodes in (30, 330):
            recipients = rounds.recipients(list(range(local_nodes)), 7)
            self.assertEqual(rounds.MAX_RECIPIENTS, len(recipients))
