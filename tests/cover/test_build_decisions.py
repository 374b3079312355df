"""Which builds began streams, decided without a network.

Patterns: one build is replaced by another at once or one endpoint after the
other; two and three builds; a build comes back; single nodes and all nodes
are killed at any time, and forget everything; the store loses a record.
"""

import collections
import dataclasses
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.ingress import served_builds
from guavachute.decide.ingress import stream_origins
from guavachute.domain import log_position
from guavachute import ids

SERVICE = ids.ServiceName('drafts')
V1, V2, V3 = (ids.BuildName(name) for name in ('v1', 'v2', 'v3'))
KEYS = [stream_origins.stream_key(ids.AttemptId(f'a{n}')) for n in range(9)]


def record(
    position: int, *builds: ids.BuildName, is_settled: bool = False
) -> served_builds.Record:
    return served_builds.Record(
        frozenset(builds), is_settled, ids.LogPosition(position)
    )


class ServedBuildsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.served = served_builds.ServedBuilds()

    def observe(self, now_s: float, *builds: ids.BuildName) -> None:
        self.served.observe(SERVICE, frozenset(builds), now_s)

    def merge(self, now_s: float, item: served_builds.Record) -> bool:
        return self.served.merge(SERVICE, item, now_s)

    def test_a_single_build_in_sight_says_nothing_of_before(self) -> None:
        self.observe(0.0, V1)
        self.assertIsNone(self.served.sole_build(SERVICE))
        self.merge(0.1, record(1, V1))
        self.assertIsNone(self.served.sole_build(SERVICE))

    def test_it_is_settled_after_a_while_with_one_build(self) -> None:
        self.observe(0.0, V1)
        self.merge(0.1, record(1, V1, V2))
        late_s = served_builds.SETTLES_AFTER_S
        self.assertIsNone(self.served.to_settle(SERVICE, late_s - 0.1))
        self.assertEqual(V1, self.served.to_settle(SERVICE, late_s))
        self.merge(late_s, record(2, V1, is_settled=True))
        self.assertEqual(V1, self.served.sole_build(SERVICE))

    def test_a_build_that_comes_back_starts_the_wait_again(self) -> None:
        self.observe(0.0, V2)
        self.merge(0.0, record(1, V1, V2))
        self.observe(20.0, V1, V2)
        self.observe(21.0, V2)
        self.assertIsNone(self.served.to_settle(SERVICE, 40.0))
        self.assertEqual(V2, self.served.to_settle(SERVICE, 51.0))

    def test_a_new_build_is_written_before_it_is_preferred(self) -> None:
        self.merge(0.0, record(1, V1, is_settled=True))
        self.observe(5.0, V1, V2)
        self.assertEqual({V1, V2}, self.served.missing(SERVICE))
        self.assertTrue(self.served.is_awaited(SERVICE, V2, 5.0))
        self.assertFalse(self.served.is_awaited(SERVICE, V1, 5.0))
        self.assertTrue(self.merge(6.0, record(2, V1, V2)))
        self.assertIsNone(self.served.missing(SERVICE))
        self.assertTrue(self.served.is_awaited(SERVICE, V2, 7.9))
        self.assertFalse(self.served.is_awaited(SERVICE, V2, 8.0))

    def test_a_wave_while_the_nodes_were_away(self) -> None:
        self.merge(0.0, record(1, V1, is_settled=True))
        self.observe(0.0, V2)
        self.assertEqual(V1, self.served.sole_build(SERVICE))
        self.assertEqual({V1, V2}, self.served.missing(SERVICE))
        self.merge(0.1, record(2, V1, V2))
        self.assertIsNone(self.served.sole_build(SERVICE))

    def test_an_older_record_changes_nothing(self) -> None:
        self.merge(0.0, record(5, V1, V2))
        self.assertFalse(self.merge(1.0, record(4, V1, is_settled=True)))
        self.assertIsNone(self.served.sole_build(SERVICE))

    def test_a_lost_record_is_written_again(self) -> None:
        self.observe(0.0, V1)
        self.merge(0.0, record(5, V1, V2))
        self.served.forget(SERVICE)
        self.assertEqual({V1, V2}, self.served.missing(SERVICE))
        self.assertEqual({}, self.served.records())
        self.merge(1.0, record(6, V1, V2))
        self.assertIsNone(self.served.missing(SERVICE))

    def test_an_older_record_in_a_new_era_hides_nothing(self) -> None:
        """The store comes back from a copy of before the second build."""
        first = log_position.pack(ids.StoreEra(1), ids.Offset(9))
        again = log_position.pack(ids.StoreEra(2), ids.Offset(3))
        self.observe(0.0, V2)
        self.merge(0.0, record(first, V1, V2))
        self.merge(1.0, record(again, V1, is_settled=True))
        self.assertIsNone(self.served.sole_build(SERVICE))
        self.assertEqual({V1, V2}, self.served.missing(SERVICE))
        self.merge(1.1, record(again, V1, is_settled=True))
        self.assertIsNone(self.served.sole_build(SERVICE))
        self.merge(2.0, record(again + 1, V1, V2))
        self.assertIsNone(self.served.missing(SERVICE))

    def test_a_node_that_is_late_does_not_bring_a_lost_record_back(
        self,
    ) -> None:
        self.observe(0.0, V1)
        self.merge(0.0, record(5, V1, is_settled=True))
        self.served.forget(SERVICE)
        self.merge(0.1, record(5, V1, is_settled=True))
        self.assertEqual({V1}, self.served.missing(SERVICE))


class StreamOriginsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.origins = stream_origins.StreamOrigins()

    def begin(self, key: int, now_s: float, is_listed: bool = True) -> None:
        self.origins.record_begun(KEYS[key], SERVICE, V1, is_listed, now_s)

    def test_the_others_are_told_for_a_while(self) -> None:
        self.begin(0, 1.0)
        self.assertEqual({V1: [KEYS[0]]}, self.origins.told(2.0))
        self.assertEqual({}, self.origins.told(3.0))
        self.assertEqual(V1, self.origins.find(KEYS[0]))

    def test_with_a_settled_record_nothing_is_told(self) -> None:
        self.begin(0, 1.0, is_listed=False)
        self.assertEqual({}, self.origins.told(1.1))
        self.assertEqual({}, self.origins.unwritten())

    def test_open_streams_are_told_when_a_second_build_comes(self) -> None:
        for key in range(3):
            self.begin(key, 1.0, is_listed=False)
        self.origins.record_ended(KEYS[1], is_complete=True)
        self.origins.record_ended(KEYS[2], is_complete=False)
        self.assertEqual(2, self.origins.list_all(SERVICE, 5.0))
        told = self.origins.told(5.1)
        self.assertEqual({KEYS[0], KEYS[2]}, set(told[V1]))
        self.assertEqual(told.keys(), self.origins.unwritten().keys())

    def test_what_others_tell_is_written_once(self) -> None:
        self.origins.merge({V2: [KEYS[3]]}, False, 1.0)
        self.assertEqual({V2: [KEYS[3]]}, self.origins.unwritten())
        self.origins.record_written(self.origins.unwritten())
        self.origins.merge({V2: [KEYS[3]]}, False, 1.2)
        self.assertEqual({}, self.origins.unwritten())
        self.assertEqual(V2, self.origins.find(KEYS[3]))

    def test_what_the_store_may_have_lost_is_written_again(self) -> None:
        self.begin(0, 1.0)
        self.origins.record_written(self.origins.unwritten())
        self.origins.write_again(2.0)
        self.assertEqual({V1: [KEYS[0]]}, self.origins.unwritten())

    def test_memory_is_bounded_in_time_and_number(self) -> None:
        for number in range(stream_origins.MAX_STREAMS + 5):
            key = ids.StreamKey(number)
            self.origins.record_begun(key, SERVICE, V1, True, 1.0)
        self.assertIsNone(self.origins.find(ids.StreamKey(0)))
        told = sum(len(keys) for keys in self.origins.told(1.0).values())
        self.assertLessEqual(told, stream_origins.MAX_TOLD)
        self.origins.expire(True, 1.1 + stream_origins.KEPT_S)
        self.assertIsNone(self.origins.find(ids.StreamKey(9_000)))


STEP_S = 0.05
UPDATE_S = 0.25


@dataclasses.dataclass
class Stream:
    key: ids.StreamKey
    build: ids.BuildName
    node: int
    ends_s: float


class Node:
    """One simulated node; it knows nothing when it starts."""

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.origins = stream_origins.StreamOrigins()
        self.served = served_builds.ServedBuilds()
        self.seen: served_builds.Builds = frozenset()


class Fleet:
    """Nodes and a store, which hold streams of one service.

    :ivar builds: gives the builds whose endpoints exist at a time
    :ivar wrong: take-ups that would have gone on at another build
    :ivar refused: take-ups whose build was there, and not known
    """

    def __init__(
        self,
        seed: int,
        builds: typing.Callable[[float], served_builds.Builds],
    ) -> None:
        self.rng = random.Random(seed)
        self.builds = builds
        self.now_s = 0.0
        self.nodes: dict[int, Node] = {n: Node(0.0) for n in range(6)}
        self.back_s: dict[int, float] = {}
        self.position = 0
        self.record: served_builds.Record | None = None
        self.written: list[stream_origins.StreamsByBuild] = []
        self.streams: list[Stream] = []
        self.broken: list[tuple[float, Stream]] = []
        self.wrong = self.refused = self.gone_on = 0
        self.begun: collections.Counter[ids.BuildName] = collections.Counter()

    def kill(self, numbers: typing.Iterable[int], down_s: float) -> None:
        for number in numbers:
            if self.nodes.pop(number, None) is None:
                continue
            self.back_s[number] = self.now_s + down_s
            for stream in [s for s in self.streams if s.node == number]:
                self.streams.remove(stream)
                again_s = self.now_s + down_s * self.rng.uniform(0.2, 1.6)
                self.broken.append((again_s, stream))

    def step(self) -> None:
        self.now_s += STEP_S
        for number, back_s in list(self.back_s.items()):
            if back_s <= self.now_s:
                del self.back_s[number]
                self.nodes[number] = Node(self.now_s)
        for number, node in self.nodes.items():
            self._read(number, node)
        self._begin_streams()
        for stream in [s for s in self.streams if s.ends_s <= self.now_s]:
            self.streams.remove(stream)
            self.nodes[stream.node].origins.record_ended(stream.key, True)
        if round(self.now_s / STEP_S) % round(UPDATE_S / STEP_S) == 0:
            self._update()
        for item in [i for i in self.broken if i[0] <= self.now_s]:
            self.broken.remove(item)
            self._take_up(item[1])

    def _write(
        self, builds: served_builds.Builds, is_settled: bool = False
    ) -> None:
        self.position += 1
        self.record = served_builds.Record(
            builds, is_settled, ids.LogPosition(self.position)
        )

    def _read(self, number: int, node: Node) -> None:
        """Readers see the store's record at once, all nodes the endpoints."""
        if self.rng.random() < 0.2 or not node.seen:
            node.seen = self.builds(self.now_s)
        node.served.observe(SERVICE, node.seen, self.now_s)
        if number > 1 and self.now_s - node.started_s > STEP_S:
            return
        self._apply(node, self.record)
        missing = node.served.missing(SERVICE)
        if missing is not None and number <= 1:
            self._write(missing)
        settled = node.served.to_settle(SERVICE, self.now_s)
        if settled is not None and number <= 1:
            self._write(frozenset({settled}), True)

    def _apply(self, node: Node, item: served_builds.Record | None) -> None:
        if item is not None and node.served.merge(SERVICE, item, self.now_s):
            node.origins.list_all(SERVICE, self.now_s)

    def _begin_streams(self) -> None:
        for number, node in self.nodes.items():
            if self.rng.random() > 0.3:
                continue
            existing = sorted(node.seen & self.builds(self.now_s))
            known = [
                build
                for build in existing
                if not node.served.is_awaited(SERVICE, build, self.now_s)
            ]
            if not existing:
                continue
            build = self.rng.choice(known or existing)
            key = ids.StreamKey(self.rng.getrandbits(64))
            is_listed = node.served.sole_build(SERVICE) != build
            node.origins.record_begun(
                key, SERVICE, build, is_listed, self.now_s
            )
            self.begun[build] += 1
            ends_s = self.now_s + self.rng.uniform(0.5, 4.0)
            self.streams.append(Stream(key, build, number, ends_s))

    def _update(self) -> None:
        for number, node in self.nodes.items():
            told = node.origins.told(self.now_s)
            records = node.served.records()
            for other in self.nodes.values():
                if other is not node:
                    other.origins.merge(told, False, self.now_s)
                    self._apply(other, records.get(SERVICE))
        writer = self.nodes.get(min(self.nodes, default=0))
        if writer is not None:
            unwritten = writer.origins.unwritten()
            if unwritten:
                self.written.append(unwritten)
                writer.origins.record_written(unwritten)
        for node in self.nodes.values():
            node.origins.expire(node is writer, self.now_s)

    def _take_up(self, stream: Stream) -> None:
        if not self.nodes:
            self.broken.append((self.now_s + 0.3, stream))
            return
        node = self.rng.choice(list(self.nodes.values()))
        build = node.origins.find(stream.key)
        if build is None:
            build = node.served.sole_build(SERVICE)
        if build is None:
            for streams in self.written:
                node.origins.merge(streams, True, self.now_s)
            build = node.origins.find(stream.key)
        if build not in self.builds(self.now_s):
            if stream.build in self.builds(self.now_s):
                self.refused += 1
        elif build == stream.build:
            self.gone_on += 1
        else:
            self.wrong += 1


def releases(seed: int) -> typing.Callable[[float], served_builds.Builds]:
    """Builds over time: each replaces the one before, at once or slowly."""
    rng = random.Random(seed)
    spans: list[tuple[float, float, ids.BuildName]] = []
    at_s, names = 0.0, [V1, V2, V3, V1]
    for name in names:
        lasts_s = rng.uniform(6.0, 45.0)
        overlap_s = rng.choice([0.0, 0.4, 5.0])
        spans.append((at_s, at_s + lasts_s + overlap_s, name))
        at_s += lasts_s
    spans[-1] = (spans[-1][0], float('inf'), spans[-1][2])
    return lambda now_s: frozenset(
        name for from_s, to_s, name in spans if from_s <= now_s < to_s
    )


class FleetTest(unittest.TestCase):
    @hypothesis.settings(max_examples=12, deadline=None)
    @hypothesis.given(seed=strategies.integers(0, 10_000))
    def test_no_stream_goes_on_at_another_build(self, seed: int) -> None:
        """Nodes are killed singly and together, at any time of a release."""
        fleet = Fleet(seed, releases(seed))
        rng = random.Random(seed)
        gone_on = refused = 0
        while fleet.now_s < 110:
            if rng.random() < 0.01:
                fleet.kill([rng.randrange(6)], rng.uniform(0.2, 2.0))
            if rng.random() < 0.004:
                fleet.kill(range(6), rng.uniform(0.3, 2.5))
            fleet.step()
            gone_on, refused = fleet.gone_on, fleet.refused
        self.assertEqual(0, fleet.wrong)
        if gone_on + refused >= 12:
            self.assertGreaterEqual(gone_on, 0.5 * (gone_on + refused))

    def test_take_ups_go_on_after_all_nodes_were_killed(self) -> None:
        """Refusing all would do no harm either, and serve nobody."""
        for builds in ((V1,), (V1, V2), (V1, V2, V3)):
            with self.subTest(builds=builds):
                existing = frozenset(builds)
                fleet = Fleet(1, lambda now_s: existing)
                while fleet.now_s < 60:
                    if round(fleet.now_s / STEP_S) % 200 == 199:
                        fleet.kill(range(6), 1.0)
                    fleet.step()
                self.assertEqual(0, fleet.wrong)
                self.assertGreater(fleet.gone_on, 12)
                self.assertGreaterEqual(fleet.gone_on, fleet.refused)


class PositionTest(unittest.TestCase):
    def test_no_position_is_before_every_record(self) -> None:
        self.assertLess(log_position.NO_POSITION, record(0, V1).position)
