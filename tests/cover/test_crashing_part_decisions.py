"""Simulated loads with prompt parts that crash engines, on many nodes.

The patterns: one such part alone, one amid a wave of other crashes, a wave
without any, one whose neighbours most sound requests share, two at once, and
a start of all nodes while such requests go on.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing
import unittest

from guavachute.decide.ingress import crashing_parts
from guavachute import ids

CRASHES = 5
"""After so many crashes a part has to be recognised."""

CONTACT_S = 4.0
"""Within this time after them, all nodes have to know it."""

MAX_SENT_LATER = 3
MIN_BEGUN_SHARE = 0.5
"""Sound requests begin at least so much of their usual rate."""

NODES = 9
ENGINES = 18
GOSSIP_S = 0.25
BEGIN_S = 0.1
"""From the sending of a request to the start of its answer."""

RUN_S = 0.6
DETECT_S = 0.05
DOWN_S = 4.0
SYSTEM_PARTS = 3
OWN_PARTS = 200


@dataclasses.dataclass(eq=False)
class Request:
    """A request, and the engine that it is at."""

    name: ids.AttemptId
    node: int
    parts: tuple[str, ...]
    bad: str | None = None
    engine: int = -1
    incarnation: int = 0
    has_begun: bool = False


class Fleet:
    """Nodes and engines in simulated time.

    :ivar sent_s: by bad part, when requests with it reached engines
    :ivar crashed_s: by bad part, when an engine crashed under it
    :ivar sound: by the second of their arrival, how many sound requests were
        sent at once, and how many were not
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.nodes = [crashing_parts.CrashingParts() for _ in range(NODES)]
        self.running: list[set[Request]] = [set() for _ in range(ENGINES)]
        self.up_s = [0.0] * ENGINES
        self.incarnations = [0] * ENGINES
        self.sent_s: dict[str, list[float]] = collections.defaultdict(list)
        self.crashed_s: dict[str, list[float]] = collections.defaultdict(list)
        self.sound: dict[int, list[int]] = collections.defaultdict(
            lambda: [0, 0]
        )
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []

    def at(self, at_s: float, action: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        self.at(self.now_s + GOSSIP_S, self._gossip)
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def load(
        self, per_s: float, until_s: float, bad: str | None = None
    ) -> None:
        """Requests at random nodes; with *bad*, this part is in each."""

        def arrive() -> None:
            self.arrive(bad)
            if self.now_s < until_s:
                self.at(self.now_s + self.rng.expovariate(per_s), arrive)

        self.at(self.now_s + self.rng.expovariate(per_s), arrive)

    def arrive(self, bad: str | None) -> None:
        name = ids.AttemptId(f'r{next(self._numbers)}')
        parts = [
            f'system-{self.rng.randrange(SYSTEM_PARTS)}',
            f'own-{self.rng.randrange(OWN_PARTS)}',
        ]
        if bad is not None:
            parts.insert(self.rng.randrange(3), bad)
        node = self.rng.randrange(NODES)
        request = Request(name, node, tuple(parts), bad)
        verdict = self.nodes[node].verdict(
            name,
            parts,
            lambda part: (
                crashing_parts.trial_node(part, map(str, range(NODES)))
                == str(node)
            ),
            self.now_s,
        )
        engines = [
            engine
            for engine in range(ENGINES)
            if self.up_s[engine] <= self.now_s
        ]
        is_sent = verdict is crashing_parts.Verdict.SEND and bool(engines)
        if bad is None and engines:
            self.sound[int(self.now_s)][not is_sent] += 1
        if is_sent:
            self.send(request, self.rng.choice(engines))

    def send(self, request: Request, engine: int) -> None:
        request.engine = engine
        request.incarnation = self.incarnations[engine]
        self.running[engine].add(request)
        self.nodes[request.node].begin(request.name, request.parts, self.now_s)
        if request.bad is not None:
            self.sent_s[request.bad].append(self.now_s)
        self.at(self.now_s + BEGIN_S, lambda: self._begin(request))

    def _begin(self, request: Request) -> None:
        if request not in self.running[request.engine]:
            return
        if request.bad is not None:
            self.crashed_s[request.bad].append(self.now_s)
            self.crash(request.engine)
            return
        request.has_begun = True
        self.at(self.now_s + RUN_S, lambda: self._complete(request))

    def _complete(self, request: Request) -> None:
        if request in self.running[request.engine]:
            self.running[request.engine].remove(request)
            node = self.nodes[request.node]
            node.end(request.name)
            node.record_proof(request.parts, self.now_s)

    def crash(self, engine: int) -> None:
        """Crash an engine; each node that lost requests detects it."""
        crash = ids.CrashId(1_000 * engine + self.incarnations[engine])
        self.incarnations[engine] += 1
        self.up_s[engine] = self.now_s + DOWN_S
        lost, self.running[engine] = self.running[engine], set()
        lost_s = self.now_s
        for node, requests in itertools.groupby(
            sorted(lost, key=lambda item: item.node),
            key=lambda item: item.node,
        ):
            group = list(requests)
            for request in group:
                self.nodes[node].end(request.name)
            parts = {
                part
                for request in group
                if not request.has_begun
                for part in request.parts
            }
            self.at(
                self.now_s + DETECT_S,
                lambda node=node, parts=parts: self.nodes[node].record_crash(
                    crash, parts, lost_s, self.now_s
                ),
            )

    def wave(self, engines: int, gap_s: float = 0.0) -> None:
        """Crash several engines, at once or one after the other."""
        chosen = self.rng.sample(range(ENGINES), engines)
        for number, engine in enumerate(chosen):
            self.at(
                self.now_s + number * gap_s,
                lambda engine=engine: self.crash(engine),
            )

    def _gossip(self) -> None:
        for node in self.nodes:
            node.expire(self.now_s)
        for source in self.nodes:
            for notice in source.notices(self.now_s):
                for node in self.nodes:
                    if node is not source:
                        node.merge_notice(notice, self.now_s)
        self.at(self.now_s + GOSSIP_S, self._gossip)

    def restart_nodes(self) -> None:
        """Start all nodes anew, with what the store holds."""
        stored = {
            part: node.known(part)
            for node in self.nodes
            for part in node.blamed()
        }
        self.nodes = [crashing_parts.CrashingParts() for _ in range(NODES)]
        for node, notice in itertools.product(self.nodes, stored.values()):
            assert notice is not None
            told = dict.fromkeys(notice.crashes, self.now_s)
            node.merge_notice(
                dataclasses.replace(notice, crashes=told), self.now_s
            )


class CrashingPartPatternTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(27)

    def check_sent(self, part: str) -> None:
        crashed_s = self.fleet.crashed_s[part]
        self.assertGreaterEqual(
            len(crashed_s), crashing_parts.MOMENTS_TO_BLAME
        )
        if len(crashed_s) >= CRASHES:
            known_s = crashed_s[CRASHES - 1] + CONTACT_S
            later = [
                at_s for at_s in self.fleet.sent_s[part] if at_s > known_s
            ]
            self.assertLessEqual(len(later), MAX_SENT_LATER)

    def check_sound(self, from_s: int, until_s: int) -> None:
        sent, refused = (
            sum(
                self.fleet.sound[second][index]
                for second in range(from_s, until_s)
            )
            for index in (0, 1)
        )
        self.assertGreater(sent, 100)
        self.assertGreaterEqual(sent, MIN_BEGUN_SHARE * (sent + refused))

    def blamed(self) -> set[str]:
        return {part for node in self.fleet.nodes for part in node.blamed()}

    def test_one_part_alone(self) -> None:
        self.fleet.load(60.0, 60.0)
        self.fleet.load(1.0, 60.0, bad='bad')
        self.fleet.run(60.0)
        self.check_sent('bad')
        self.check_sound(0, 60)
        self.assertEqual({'bad'}, self.blamed())

    def test_many_such_requests_at_all_nodes_at_once(self) -> None:
        self.fleet.load(60.0, 40.0)
        self.fleet.load(8.0, 40.0, bad='bad')
        self.fleet.run(40.0)
        self.check_sent('bad')
        self.check_sound(8, 40)

    def test_one_part_in_a_wave_of_crashes(self) -> None:
        self.fleet.load(60.0, 60.0)
        self.fleet.load(1.0, 60.0, bad='bad')
        for at_s in (3.0, 9.0, 15.0):
            self.fleet.at(at_s, lambda: self.fleet.wave(5, 0.4))
        self.fleet.run(60.0)
        self.check_sent('bad')
        self.check_sound(0, 60)
        self.assertEqual({'bad'}, self.blamed())

    def test_waves_of_crashes_without_such_a_part(self) -> None:
        self.fleet.load(60.0, 40.0)
        for at_s in (3.0, 6.0, 9.0, 12.0):
            self.fleet.at(at_s, lambda: self.fleet.wave(9, 0.35))
        self.fleet.run(40.0)
        self.check_sound(0, 40)
        self.assertEqual(set(), self.blamed())

    def test_a_crash_of_all_engines_at_once_blames_nothing(self) -> None:
        self.fleet.load(300.0, 20.0)
        self.fleet.at(5.0, lambda: self.fleet.wave(ENGINES))
        self.fleet.run(20.0)
        self.assertEqual(set(), self.blamed())

    def test_a_part_whose_neighbours_are_in_most_sound_requests(self) -> None:
        # The system parts are in a third of all requests each, and in each
        # request with the bad part.
        self.fleet.load(120.0, 60.0)
        self.fleet.load(2.0, 60.0, bad='bad')
        self.fleet.run(60.0)
        self.check_sent('bad')
        self.check_sound(0, 60)
        self.assertEqual({'bad'}, self.blamed())

    def test_two_such_parts_at_once(self) -> None:
        self.fleet.load(60.0, 60.0)
        for part in ('bad-1', 'bad-2'):
            self.fleet.load(1.0, 60.0, bad=part)
        self.fleet.run(60.0)
        for part in ('bad-1', 'bad-2'):
            self.check_sent(part)
        self.check_sound(0, 60)
        self.assertEqual({'bad-1', 'bad-2'}, self.blamed())

    def test_a_start_of_all_nodes(self) -> None:
        self.fleet.load(60.0, 60.0)
        self.fleet.load(1.0, 60.0, bad='bad')
        self.fleet.at(30.0, self.fleet.restart_nodes)
        self.fleet.run(60.0)
        self.check_sent('bad')
        self.check_sound(0, 60)


class CrashingPartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.parts = crashing_parts.CrashingParts()

    def crash(self, number: int, at_s: float, *parts: str) -> None:
        self.parts.record_crash(ids.CrashId(number), parts, at_s, at_s)

    def verdict(
        self, *parts: str, now_s: float = 10.0, may_try: bool = False
    ) -> crashing_parts.Verdict:
        return self.parts.verdict(
            ids.AttemptId('new'), parts, lambda part: may_try, now_s
        )

    def test_neighbours_of_the_bad_part_are_told_from_it(self) -> None:
        for number in range(3):
            self.crash(number, float(number), 'bad', 'neighbour')
        refuse, send = (
            crashing_parts.Verdict.REFUSE,
            crashing_parts.Verdict.SEND,
        )
        self.assertIs(refuse, self.verdict('bad', 'neighbour'))
        # One of the two may explain the crashes of the other.
        self.assertIs(send, self.verdict('neighbour', 'else'))
        self.crash(3, 3.0, 'bad', 'else')
        self.assertIs(refuse, self.verdict('bad', 'else'))
        self.assertIs(send, self.verdict('neighbour', 'else'))

    # Guards against a harmless part that is refused with the bad one, as it
    # was also at a crash of which no node knows that the bad one was there.
    def test_a_neighbour_at_one_more_crash_is_told_from_it(self) -> None:
        self.crash(0, 0.0, 'neighbour')
        for number in (1, 2):
            self.crash(number, float(number), 'bad', 'neighbour')
        refuse, send = (
            crashing_parts.Verdict.REFUSE,
            crashing_parts.Verdict.SEND,
        )
        self.assertIs(refuse, self.verdict('neighbour', 'else'))
        for number in (3, 4):
            self.crash(number, float(number), 'bad')
        self.assertIs(send, self.verdict('neighbour', 'else'))
        self.assertIs(refuse, self.verdict('bad', 'else'))
        self.assertIs(refuse, self.verdict('bad', 'neighbour'))

    def test_a_blamed_part_is_tried_rarely_and_by_one_node(self) -> None:
        for number in range(3):
            self.crash(number, float(number), 'part')
        refuse, send = (
            crashing_parts.Verdict.REFUSE,
            crashing_parts.Verdict.SEND,
        )
        self.assertIs(refuse, self.verdict('part', may_try=True))
        late_s = 2.0 + crashing_parts.TRIAL_AFTER_S
        self.assertIs(refuse, self.verdict('part', now_s=late_s))
        self.assertIs(send, self.verdict('part', now_s=late_s, may_try=True))
        self.parts.begin(ids.AttemptId('a'), ['part'], late_s)
        self.assertIs(refuse, self.verdict('part', now_s=late_s, may_try=True))
        # Harmless after all: its answer clears it everywhere.
        self.parts.record_proof(['part'], late_s + 1.0)
        self.assertIs(send, self.verdict('part', now_s=late_s + 1.0))
        (notice,) = self.parts.notices(late_s + 1.0)
        other = crashing_parts.CrashingParts()
        for number in range(3):
            other.record_crash(
                ids.CrashId(number), ['part'], float(number), 3.0
            )
        other.merge_notice(notice, late_s + 1.0)
        self.assertEqual([], other.blamed())

    def test_a_suspected_part_runs_once_at_a_time(self) -> None:
        for number in range(2):
            self.crash(number, float(number), 'part')
        self.parts.begin(ids.AttemptId('a'), ['part'], 2.0)
        self.assertIs(crashing_parts.Verdict.WAIT, self.verdict('part'))
        self.parts.end(ids.AttemptId('a'))
        self.assertIs(crashing_parts.Verdict.SEND, self.verdict('part'))

    def test_old_notices_do_not_blame_a_proven_part_again(self) -> None:
        for number in range(3):
            self.crash(number, float(number), 'part')
        (notice,) = self.parts.notices(3.0)
        self.parts.record_proof(['part'], 4.0)
        self.assertFalse(self.parts.merge_notice(notice, 5.0))
        self.assertEqual([], self.parts.blamed())

    # Guards against engines that crash again and again while the store can't
    # tell of their new starts.
    def test_later_crashes_of_one_known_incarnation_count(self) -> None:
        for at_s in (0.0, 0.1, 2.0, 4.0):
            self.crash(1, at_s, 'part')
        known = self.parts.known('part')
        assert known is not None
        self.assertEqual(3, known.moments)

    def test_what_has_not_changed_lately_is_no_news(self) -> None:
        self.crash(1, 1.0, 'part')
        late_s = 1.0 + 2 * crashing_parts.NEWS_S
        self.assertEqual(1, len(self.parts.notices(2.0, only_news=True)))
        self.assertEqual(0, len(self.parts.notices(late_s, only_news=True)))
        self.assertEqual(1, len(self.parts.notices(late_s)))

    def test_memory_is_bounded_and_keeps_what_is_blamed(self) -> None:
        for number in range(3):
            self.crash(number, float(number), 'bad')
        for number in range(2 * crashing_parts.MAX_PARTS):
            self.crash(100 + number, 5.0 + number, f'rare-{number}')
        self.assertEqual(['bad'], self.parts.blamed())
        self.assertLessEqual(
            len(self.parts.notices(5.0)), crashing_parts.MAX_NOTICES
        )
        for number in range(3 * crashing_parts.MAX_CRASHES):
            self.crash(9_000 + number, 5_000.0 + number, 'bad')
        known = self.parts.known('bad')
        assert known is not None
        self.assertEqual(crashing_parts.MAX_CRASHES, len(known.crashes))
        self.parts.expire(99_999.0)
        self.assertEqual([], self.parts.blamed())
