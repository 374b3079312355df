"""Endpoints that fall over when they have to reject many requests.

Patterns: all nodes press at once; one endpoint falls and its load goes to the
rest; 7, 59 and 195 nodes, whose reports of each other are some hundred
milliseconds old.
"""

import collections
import dataclasses
import itertools
import random
import unittest

from guavachute.decide.ingress import brittle_endpoints
from guavachute import ids
from guavachute.platform import requests
from tests.support import looping
from tests.support import platform_site

MIN_USED_SHARE = 0.4
"""The platform's gate lets at most six tenths of the requests be refused or
fail; so much of the slots has to be used at least, while they are pressed."""

SERVICE = ids.ServiceName('drafts')


def most_falls(endpoints: int) -> float:
    """How often endpoints of a service may fall over while it is brittle."""
    return 2 + endpoints / 10


@dataclasses.dataclass
class SimulatedEndpoint:
    """Slots, a short queue, and a fall after too many rejections."""

    id: ids.EndpointId
    slots: int
    rejections_per_s: int
    ends_s: list[float] = dataclasses.field(default_factory=list)
    rejected_s: list[float] = dataclasses.field(default_factory=list)
    down_until_s: float = 0.0
    falls: int = 0
    served: int = 0

    def send(self, now_s: float, duration_s: float) -> bool:
        """Whether the request is accepted."""
        self.ends_s = [at_s for at_s in self.ends_s if at_s > now_s]
        if now_s < self.down_until_s:
            return False
        if len(self.ends_s) < self.slots + 1:
            self.ends_s.append(now_s + duration_s)
            self.served += 1
            return True
        self.rejected_s = [
            at_s for at_s in self.rejected_s if at_s > now_s - 1.0
        ] + [now_s]
        if len(self.rejected_s) > self.rejections_per_s:
            self.falls += 1
            self.down_until_s = now_s + 4.0
            self.ends_s, self.rejected_s = [], []
        return False


class SimulatedPressTest(unittest.TestCase):
    def play(
        self,
        nodes: int,
        endpoints: int,
        slots: int,
        load: float,
        seed: int,
        duration_s: float = 2.0,
    ) -> list[SimulatedEndpoint]:
        """Ten seconds of *load* times what the endpoints can serve."""
        is_short = duration_s < brittle_endpoints.WINDOW_S
        rng = random.Random(seed)
        there = [
            SimulatedEndpoint(ids.EndpointId(f'e{number}'), slots, 3)
            for number in range(endpoints)
        ]
        gates = [brittle_endpoints.BrittleServices() for _ in range(nodes)]
        # What each node knows of its own requests is exact; of the others', it
        # is between 0.1 and 0.4 s old.
        own: list[list[list[float]]] = [
            [[] for _ in range(endpoints)] for _ in range(nodes)
        ]
        nothing = [[0] * endpoints for _ in range(nodes)]
        told: collections.deque[tuple[list[int], list[list[int]]]]
        told = collections.deque([([0] * endpoints, nothing)], maxlen=4)
        rate_per_s = load * endpoints * slots / duration_s
        now_s, told_s = 100.0, 100.0
        while now_s < 110.0:
            now_s += rng.expovariate(rate_per_s)
            if now_s > told_s + 0.1:
                told_s = now_s
                for ends in itertools.chain.from_iterable(own):
                    ends[:] = [at_s for at_s in ends if at_s > now_s]
                counts = [[len(ends) for ends in item] for item in own]
                told.append((
                    [sum(column) for column in zip(*counts, strict=True)],
                    counts,
                ))  # fmt: skip
            node = rng.randrange(nodes)
            sums, tables = told[rng.randrange(len(told))]
            known = [
                sums[number]
                - tables[node][number]
                + sum(at_s > now_s for at_s in own[node][number])
                for number in range(endpoints)
            ]
            if is_short:
                known = [
                    sum(at_s > now_s for at_s in item) for item in own[node]
                ]
            choices = sorted(
                range(endpoints), key=lambda n: (known[n], rng.random())
            )
            for number in choices:
                endpoint = there[number]
                allowed = brittle_endpoints.allowed_sends(
                    ids.NodeId(f'n{node}'),
                    endpoint.id,
                    slots,
                    known[number],
                    nodes,
                    now_s,
                )
                gate = gates[node]
                if is_short:
                    allowed = brittle_endpoints.allowed_at_once(slots, nodes)
                    sent = sum(at_s > now_s for at_s in own[node][number])
                else:
                    sent = gate.sent(endpoint.id, now_s)
                if (
                    now_s >= endpoint.down_until_s
                    and not gate.has_rejected(endpoint.id, now_s)
                    and sent < allowed
                ):
                    gate.record_sent(endpoint.id, now_s)
                    if endpoint.send(now_s, duration_s):
                        own[node][number].append(now_s + duration_s)
                    else:
                        gate.record_rejection(endpoint.id, rng.random(), now_s)
                    break
        return there

    def test_few_fall_however_hard_they_are_pressed(self) -> None:
        fleets = (7, 9, 48), (59, 24, 48), (195, 39, 24), (7, 3, 6)
        for nodes, endpoints, slots in fleets:
            for load in (0.8, 1.5, 3.0):
                for seed in range(2):
                    played = self.play(nodes, endpoints, slots, load, seed)
                    falls = sum(item.falls for item in played)
                    text = f'{nodes} nodes, load {load}, seed {seed}'
                    self.assertLessEqual(falls, most_falls(endpoints), text)

    def test_the_slots_are_used_under_pressure(self) -> None:
        for nodes, endpoints, slots in ((7, 9, 48), (195, 39, 24)):
            played = self.play(nodes, endpoints, slots, 2.0, 1)
            served = sum(item.served for item in played)
            # A request takes two seconds, so the slots turn over five times.
            self.assertGreater(served, 0.5 * 5 * endpoints * slots)

    # Guards against plain requests that are refused while slots are free.
    def test_short_work_is_served_and_few_fall(self) -> None:
        for nodes, endpoints in ((7, 3), (59, 12)):
            played = self.play(nodes, endpoints, 6, 0.3, 1, duration_s=0.025)
            offered = 0.3 * endpoints * 6 / 0.025 * 10
            served = sum(item.served for item in played)
            falls = sum(item.falls for item in played)
            self.assertGreater(served, 0.9 * offered)
            self.assertLessEqual(falls, most_falls(endpoints))


class BrittleServicesTest(unittest.TestCase):
    def test_it_ends_with_an_answer_to_a_later_request(self) -> None:
        services = brittle_endpoints.BrittleServices()
        self.assertTrue(services.apply_answer(SERVICE, True, 1.0, 2.0))
        self.assertFalse(services.apply_answer(SERVICE, False, 1.5, 2.5))
        self.assertTrue(services.is_brittle(SERVICE, 3.0))
        self.assertTrue(services.apply_answer(SERVICE, False, 2.6, 3.0))
        self.assertFalse(services.is_brittle(SERVICE, 3.0))

    def test_headers(self) -> None:
        for value, expected in (
            (b'4', True), (b'0', True), (b'x', True), (None, False),
        ):  # fmt: skip
            headers = [] if value is None else [(b'Server-Brittle', value)]
            read = requests.read_announcement(200, headers)
            self.assertEqual(expected, read.is_brittle)


class PressedEndpointsTest(unittest.TestCase):
    # Guards against endpoints that are pressed until they fall one after the
    # other.
    def test_brittle_endpoints_hardly_fall(self) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        engines = [
            site.add_engine(f'm{number}', platform_site.MODEL_SERVICE, 10)
            for number in range(3)
        ]
        for engine in engines:
            engine.event_pause_s = 0.1
            engine.max_rejections_per_s = 3
        nodes = [site.ready_node() for _ in range(3)]
        looping.run_until(
            site.loop,
            lambda: all(node.peers.table.count == 3 for node in nodes),
        )
        used: list[int] = []

        def press() -> None:
            for node in nodes:
                site.send(node, '/stream/a')
            used.append(sum(engine.open_streams for engine in engines))
            site.loop.call_after(0.05, press)

        press()
        looping.run_for(site.loop, 5.0)
        falls = sum(engine.crashes for engine in engines)
        self.assertLessEqual(falls, most_falls(len(engines)))
        # The first second, in which the slots fill, counts too.
        slots = sum(engine.slots for engine in engines)
        self.assertGreater(sum(used) / len(used), MIN_USED_SHARE * slots)
