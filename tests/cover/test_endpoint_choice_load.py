"""Tests the choice of endpoints by many nodes with old figures.

Load: 1.6 and 2 times the usual requests of a customer with 45 engines and 6
plain endpoints, through 7 to 195 nodes whose figures are 0 to 3 s old. The old
rule chooses by the lowest cost, and by id among equal endpoints.
"""

import logging
import typing
import unittest

from tests.support import simulated_endpoints

NODES = (7, 59, 90, 195)
OLD, NEW = False, True

Step = typing.Callable[
    [typing.Sequence[simulated_endpoints.SimulatedEndpoint], float], None
]


def no_faults(
    endpoints: typing.Sequence[simulated_endpoints.SimulatedEndpoint],
    now_s: float,
) -> None:
    """Change nothing."""


def slow_engines(
    endpoints: typing.Sequence[simulated_endpoints.SimulatedEndpoint],
    now_s: float,
) -> None:
    """Make every 15th engine eight times as slow, 4 of 5 seconds."""
    slow = int(now_s / 5) % 15
    for place, item in enumerate(endpoints):
        is_slow = place % 15 == slow and now_s % 5 < 4
        item.slowness = 8.0 if is_slow else item.usual_slowness


def slow_plain(
    endpoints: typing.Sequence[simulated_endpoints.SimulatedEndpoint],
    now_s: float,
) -> None:
    """Make one endpoint at a time eight times as slow, 2.5 of 4 seconds."""
    slow = int(now_s / 4) % len(endpoints)
    for place, item in enumerate(endpoints):
        item.slowness = 8.0 if place == slow and now_s % 4 < 2.5 else 1.0


def frozen_engines(
    endpoints: typing.Sequence[simulated_endpoints.SimulatedEndpoint],
    now_s: float,
) -> None:
    """Freeze every ninth engine for a second, with the slots as they are."""
    if 1.0 <= now_s % 4 < 1.05:
        for item in endpoints[::9]:
            item.frozen_until_s = now_s + 1


def run(
    nodes: int,
    endpoints: typing.Sequence[simulated_endpoints.SimulatedEndpoint],
    kinds: typing.Sequence[simulated_endpoints.Kind],
    load: float,
    step: Step,
    learns: bool,
) -> simulated_endpoints.Result:
    found = simulated_endpoints.Simulation(
        nodes, endpoints, kinds, load, learns, seed=1
    )
    found.on_step = lambda now_s: step(endpoints, now_s)
    result = found.run(14.0, 4.0)
    rule = 'new' if learns else 'old'
    name = f'{step.__name__} {nodes} nodes x{load} {rule}'
    logging.getLogger(__name__).info('%s: %s', name, result)
    return result


def run_engines(
    nodes: int, load: float, step: Step = no_faults, has_parts: bool = True
) -> tuple[simulated_endpoints.Result, simulated_endpoints.Result]:
    kinds = simulated_endpoints.MODEL_KINDS
    if not has_parts:
        kinds = simulated_endpoints.UNSHARED_KINDS
    old, new = (
        run(nodes, simulated_endpoints.engines(45), kinds, load, step, rule)
        for rule in (OLD, NEW)
    )
    return old, new


def run_plain(
    nodes: int, load: float, step: Step
) -> tuple[simulated_endpoints.Result, simulated_endpoints.Result]:
    old, new = (
        run(
            nodes,
            [
                simulated_endpoints.SimulatedEndpoint(f'p{number}', 6)
                for number in range(6)
            ],
            simulated_endpoints.PLAIN_KINDS,
            load,
            step,
            rule,
        )
        for rule in (OLD, NEW)
    )
    return old, new


class ChoiceLoadTest(unittest.TestCase):
    # Guards against nodes that all choose the engine that was best by old
    # figures, where no shared prompt part spreads the requests.
    def test_requests_without_shared_parts_are_spread(self) -> None:
        for nodes in NODES:
            with self.subTest(nodes=nodes):
                old, new = run_engines(nodes, 1.0, has_parts=False)
                self.assertLess(new.busiest, 0.75 * old.busiest)
                self.assertLess(new.mean_wait_s, 1.05 * old.mean_wait_s)

    # Guards against a spread that costs callers the cached parts.
    def test_shared_parts_are_read_again_no_more_often(self) -> None:
        for nodes, load in [(count, 1.0) for count in NODES] + [(90, 2.0)]:
            with self.subTest(nodes=nodes, load=load):
                old, new = run_engines(nodes, load)
                self.assertLess(new.read_again, old.read_again + 0.03)
                self.assertLess(new.mean_wait_s, 1.05 * old.mean_wait_s)
                self.assertLess(new.busiest, 1.15 * old.busiest)

    # Guards against nodes that go on sending to engines which have become
    # slow while their slots are free.
    def test_engines_that_become_slow_are_avoided(self) -> None:
        for nodes in NODES:
            with self.subTest(nodes=nodes):
                old, new = run_engines(nodes, 1.6, slow_engines)
                self.assertLess(new.mean_wait_s, 0.95 * old.mean_wait_s)
                self.assertLess(new.late, old.late)

    # Guards against a second without answers that fills the other engines.
    def test_an_engine_that_freezes_costs_no_more_than_before(self) -> None:
        for nodes in (7, 90):
            with self.subTest(nodes=nodes):
                old, new = run_engines(nodes, 1.6, frozen_engines)
                self.assertLess(new.mean_wait_s, 1.05 * old.mean_wait_s)
                self.assertLess(new.late, old.late + 0.005)

    # Guards against plain endpoints that are used alike while one is slow.
    def test_plain_endpoints_with_slow_periods_are_avoided(self) -> None:
        for nodes in NODES:
            with self.subTest(nodes=nodes):
                old, new = run_plain(nodes, 2.0, slow_plain)
                self.assertLess(new.mean_wait_s, 1.05 * old.mean_wait_s)
                self.assertLess(new.late, old.late + 0.005)

    # Guards against herding on the plain endpoint with the lowest id.
    def test_plain_endpoints_with_spare_capacity_are_spread(self) -> None:
        for nodes in NODES:
            with self.subTest(nodes=nodes):
                old, new = run_plain(nodes, 1.0, no_faults)
                self.assertLess(new.busiest, 1.02 * old.busiest)
                self.assertLess(new.mean_wait_s, 1.02 * old.mean_wait_s)
