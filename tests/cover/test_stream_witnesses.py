"""Which build began what nobody has listed, without a network.

Patterns: nodes freeze, or are killed without a sound, before, while and after
a newer build joins; updates get lost; one node of a region, a whole region;
a reader of an older build of ours, which doesn't tell what it can't prove.
"""

import random
import unittest

from guavachute.decide.ingress import served_builds
from guavachute.decide.ingress import stream_origins
from guavachute.decide.ingress import stream_witnesses
from guavachute.decide.nodes import rounds
from guavachute import ids

SERVICE = ids.ServiceName('notes')
SETTLED = frozenset({SERVICE})
MIXED: stream_witnesses.Services = frozenset()
SILENT_S = 1.1
Proof = stream_witnesses.Proof


class WitnessesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.witnesses = stream_witnesses.StreamWitnesses()
        self.awake_since_s = -100.0

    def prove(self, since_s: float, now_s: float) -> Proof:
        return self.witnesses.prove(
            SERVICE, since_s, self.awake_since_s, SILENT_S, now_s
        )

    # Guards against LOST: nobody knew the build of a frozen node's streams.
    def test_a_node_that_fell_silent_before_has_nothing_to_list(self) -> None:
        self.witnesses.record_node('frozen', SETTLED, 0.0)
        self.witnesses.record_node('alive', MIXED, 5.0)
        self.assertIs(Proof.COMPLETE, self.prove(4.9, 5.0))

    # Guards against ORDER: a lost node may not have listed what it began.
    def test_a_node_that_fell_silent_after_it_knew_proves_nothing(
        self,
    ) -> None:
        self.witnesses.record_node('lost', MIXED, 0.0)
        self.assertIs(Proof.AWAITED, self.prove(0.1, 0.2))
        self.assertIs(Proof.MISSING, self.prove(0.1, SILENT_S + 0.1))
        self.witnesses.record_node('lost-again', MIXED, 3.0)
        self.assertIs(Proof.MISSING, self.prove(2.9, 3.0))

    def test_an_update_from_before_the_request_is_waited_for(self) -> None:
        self.witnesses.record_node('alive', MIXED, 1.0)
        self.assertIs(Proof.AWAITED, self.prove(1.1, 1.2))
        self.witnesses.record_node('alive', MIXED, 1.25)
        self.assertIs(Proof.COMPLETE, self.prove(1.1, 1.3))

    # Guards against ORDER: a node that stood still itself took the others, of
    # which it had heard nothing, for lost ones.
    def test_a_node_that_stood_still_hears_the_others_first(self) -> None:
        self.witnesses.record_node('alive', SETTLED, 0.0)
        self.awake_since_s = 5.0
        self.assertIs(Proof.AWAITED, self.prove(5.0, 5.1))
        self.witnesses.record_node('alive', MIXED, 5.2)
        self.assertIs(Proof.COMPLETE, self.prove(5.0, 5.3))

    def test_a_node_that_hears_nobody_proves_nothing(self) -> None:
        self.witnesses.record_node('a', SETTLED, 0.0)
        self.assertIs(Proof.COMPLETE, self.prove(5.0, 5.0))
        self.witnesses.record_node('b', SETTLED, 0.0)
        self.assertIs(Proof.MISSING, self.prove(5.0, 5.0))

    def test_a_region_is_complete_only_if_its_reader_says_so(self) -> None:
        for unproven, proof in (
            (frozenset[ids.ServiceName](), Proof.COMPLETE),
            (frozenset({SERVICE}), Proof.MISSING),
            (None, Proof.MISSING),
        ):
            self.witnesses.record_region('there', MIXED, unproven, 5.0)
            self.assertIs(proof, self.prove(4.9, 5.0))
        self.witnesses.record_region('there', SETTLED, None, 5.0)
        self.assertIs(Proof.COMPLETE, self.prove(4.9, 5.0))

    def test_what_a_reader_says_of_its_region(self) -> None:
        self.witnesses.record_node('frozen', SETTLED, 0.0)
        self.witnesses.record_node('alive', MIXED, 5.0)
        for now_s, expected in ((5.1, MIXED), (7.0, SETTLED)):
            self.assertEqual(
                expected,
                self.witnesses.unproven_services(SETTLED, SILENT_S, now_s),
            )

    def test_a_run_is_forgotten_when_its_streams_have_ended(self) -> None:
        self.witnesses.record_node('lost', MIXED, 0.0)
        self.witnesses.expire(stream_origins.KEPT_S - 1.0)
        self.assertIs(Proof.MISSING, self.prove(50.0, 50.0))
        self.witnesses.expire(stream_origins.KEPT_S + 1.0)
        self.assertIs(Proof.COMPLETE, self.prove(70.0, 70.0))


class FormerBuildTest(unittest.TestCase):
    def setUp(self) -> None:
        self.served = served_builds.ServedBuilds()

    def merge(self, position: int, is_settled: bool, *builds: str) -> None:
        record = served_builds.Record(
            frozenset(ids.BuildName(build) for build in builds),
            is_settled,
            ids.LogPosition(position),
        )
        self.served.merge(SERVICE, record, float(position))

    def former(self, now_s: float) -> str | None:
        return self.served.former_sole_build(SERVICE, 60.0, now_s)

    def test_it_is_known_to_those_that_knew_the_record_before(self) -> None:
        self.merge(5, False, 'v1', 'v2')
        self.assertIsNone(self.former(5.0))
        self.merge(7, True, 'v1')
        self.assertIsNone(self.former(7.0))
        self.merge(9, False, 'v1', 'v2')
        self.merge(10, False, 'v1', 'v2', 'v3')
        self.assertEqual('v1', self.former(12.0))
        self.assertIsNone(self.former(70.0))

    def test_a_record_that_may_be_lost_proves_nothing(self) -> None:
        self.merge(7, True, 'v1')
        self.merge(9, False, 'v1', 'v2')
        self.served.forget(SERVICE)
        self.assertIsNone(self.former(10.0))

    def test_after_a_wave_that_is_over_the_next_one_counts(self) -> None:
        self.merge(1, True, 'v1')
        self.merge(2, False, 'v1', 'v2')
        self.merge(3, True, 'v2')
        self.assertIsNone(self.former(3.0))
        self.merge(4, False, 'v2', 'v3')
        self.assertEqual('v2', self.former(4.0))


class _Node:
    """A node that begins streams, lists those of the newer build, and ends.

    :ivar streams: when each stream began, and at which build
    """

    def __init__(self, rng: random.Random, name: str) -> None:
        self.name = name
        self.turn_s = rng.uniform(0.0, rounds.PERIOD_S)
        self.knows_s = rng.uniform(0.0, 1.0)
        self.ends_s = rng.choice((float('inf'), rng.uniform(-2.0, 8.0)))
        self.streams = []
        at_s = -5.0
        while at_s < min(self.ends_s, 9.0):
            is_usable = at_s >= self.knows_s + served_builds.HEARD_AFTER_S
            build = 'new' if is_usable and rng.random() < 0.5 else 'old'
            self.streams.append((at_s, build))
            at_s += rng.expovariate(8.0)


class SimulatedWaveTest(unittest.TestCase):
    """A newer build joins at 0 s; streams of lost nodes are taken up."""

    def play(self, seed: int, nodes: int) -> tuple[int, int, int]:
        """Streams that were joined from two builds, went on, and did not."""
        rng = random.Random(seed)
        others = [_Node(rng, f'n{number}') for number in range(nodes - 1)]
        witnesses = stream_witnesses.StreamWitnesses()
        listed: set[tuple[str, float]] = set()
        updates = sorted(
            (node.turn_s + turn * rounds.PERIOD_S, number)
            for number, node in enumerate(others)
            for turn in range(-20, 60)
            if node.turn_s + turn * rounds.PERIOD_S < node.ends_s
        )
        takeups = sorted(
            (node.ends_s + pause_s, number)
            for number, node in enumerate(others)
            if node.ends_s < 8.0
            for pause_s in (0.05, 2.1)
        )
        joined = went_on = refused = position = 0
        for arrived_s, number in takeups:
            if arrived_s < 1.0:
                # This node has the settled record still, or is told so.
                continue
            now_s, proof = arrived_s, Proof.AWAITED
            while proof is Proof.AWAITED and now_s < arrived_s + 1.2:
                now_s += 0.05
                while position < len(updates) and updates[position][0] < now_s:
                    at_s, sender = updates[position]
                    position += 1
                    if rng.random() < 0.02:
                        continue
                    node = others[sender]
                    knows = at_s >= node.knows_s
                    witnesses.record_node(
                        node.name, MIXED if knows else SETTLED, at_s
                    )
                    listed |= {
                        (node.name, began_s)
                        for began_s, build in node.streams
                        if knows
                        and began_s <= at_s
                        and (
                            began_s > at_s - stream_origins.TOLD_S
                            or at_s < node.knows_s + stream_origins.TOLD_S
                        )
                    }
                proof = witnesses.prove(
                    SERVICE, arrived_s, -100.0, SILENT_S, now_s
                )
            lost = others[number]
            for began_s, build in lost.streams:
                if began_s < lost.ends_s - 2.5:
                    continue
                if (lost.name, began_s) in listed:
                    went_on += 1
                elif proof is Proof.COMPLETE:
                    went_on += 1
                    joined += build == 'new'
                else:
                    refused += 1
        return joined, went_on, refused

    def test_nothing_is_joined_from_two_builds(self) -> None:
        went_on = refused = 0
        for seed in range(60):
            for nodes in (3, 7, 24):
                result = self.play(seed, nodes)
                self.assertEqual(0, result[0], (seed, nodes))
                went_on += result[1]
                refused += result[2]
        self.assertGreater(went_on, refused)
