"""Tests of the choice of an endpoint, of load estimates and subsets."""

import typing
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.requests import load
from guavachute.decide.requests import routing
from guavachute.decide.requests import subset
from guavachute import ids
from guavachute import outcome


def endpoint(number: int) -> ids.EndpointId:
    return ids.EndpointId(f'vm-{number}')


def candidate(
    number: int, outstanding: int = 0, remote: bool = False, slots: int = 32
) -> routing.Candidate:
    work = load.Load()
    for _ in range(outstanding):
        work.record_sent(0)
    return routing.Candidate(
        endpoint(number),
        ids.FailureDomain('perth-a'),
        slots,
        work,
        remote,
    )


def request(
    held: typing.Mapping[ids.EndpointId, int] | None = None,
    affinity: str = 'a',
    region_bytes: int = 0,
) -> routing.PlacementRequest:
    return routing.PlacementRequest(affinity, held or {}, region_bytes)


def chosen(
    result: routing.Choice | outcome.Failure,
) -> ids.EndpointId:
    assert isinstance(result, routing.Choice), result
    return result.endpoint


class ChooseTest(unittest.TestCase):
    def test_the_longest_prefix_wins_within_the_load_bound(self) -> None:
        held = {endpoint(1): 9, endpoint(2): 4}
        even = [candidate(number, 3) for number in range(4)]
        self.assertEqual(
            endpoint(1), chosen(routing.choose(request(held), even))
        )
        uneven = [candidate(0, 3), candidate(1, 20), candidate(2, 3)]
        self.assertEqual(
            endpoint(2), chosen(routing.choose(request(held), uneven))
        )

    def test_a_new_prefix_starts_at_the_same_places_in_every_order(
        self,
    ) -> None:
        endpoints = [candidate(number) for number in range(9)]
        first = routing.choose(request(affinity='b'), endpoints)
        second = routing.choose(request(affinity='b'), endpoints[::-1])
        self.assertEqual(first, second)
        spread = {
            chosen(routing.choose(request(affinity=str(number)), endpoints))
            for number in range(100)
        }
        self.assertEqual(9, len(spread))

    def test_the_remote_region_is_last_and_bounded_by_its_link(self) -> None:
        local = candidate(0, 32)
        remote = candidate(1, remote=True)
        costly = request({endpoint(1): 50}, region_bytes=5000)
        self.assertEqual(
            endpoint(2),
            chosen(routing.choose(costly, [candidate(2), remote], (), 9000)),
        )
        choice = routing.choose(costly, [local, remote], (), 9000)
        self.assertEqual(routing.Choice(endpoint(1), 50, 5000), choice)
        refused = routing.choose(costly, [local, remote], (), 4999)
        assert isinstance(refused, outcome.Failure)
        self.assertIs(outcome.Reason.NO_CAPACITY, refused.reason)

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 40), max_size=20),
        strategies.sets(strategies.integers(0, 20)),
        strategies.dictionaries(
            strategies.integers(0, 20), strategies.integers(0, 9)
        ),
    )
    def test_excluded_and_full_endpoints_get_nothing(
        self, loads: list[int], out: set[int], held: dict[int, int]
    ) -> None:
        candidates = [
            candidate(number, outstanding)
            for number, outstanding in enumerate(loads)
        ]
        usable = {
            endpoint(number)
            for number, outstanding in enumerate(loads)
            if outstanding < 32 and number not in out
        }
        result = routing.choose(
            request({endpoint(name): n for name, n in held.items()}),
            candidates,
            {endpoint(number) for number in out},
        )
        if usable:
            self.assertIn(chosen(result), usable)
        else:
            self.assertIsInstance(result, outcome.Failure)


class LoadTest(unittest.TestCase):
    def test_a_late_report_does_not_hide_what_was_sent_since(self) -> None:
        work = load.Load()
        for _ in range(10):
            work.record_sent(1.0)
        for _ in range(5):
            work.record_sent(2.5)
        work.record_end(2.6)
        work.record_report(30, age_s=1.0, now_s=3.0)
        self.assertEqual(34, work.outstanding)
        work.discard_report()
        self.assertEqual(14, work.outstanding)


class SubsetTest(unittest.TestCase):
    def locations(self, count: int) -> list[subset.EndpointLocation]:
        return [
            subset.EndpointLocation(
                endpoint(number), ids.FailureDomain(f'd-{number % 4}')
            )
            for number in range(count)
        ]

    def test_sizes_inside_and_outside(self) -> None:
        domain = ids.FailureDomain('d-0')
        chosen = subset.choose('r-1', domain, self.locations(400), (), 40, 10)
        inside = [name for name in chosen if int(name[3:]) % 4 == 0]
        self.assertEqual((50, 40), (len(chosen), len(inside)))

    def test_every_endpoint_inside_has_equally_many_routers(self) -> None:
        domain = ids.FailureDomain('d-0')
        locations = self.locations(400)
        names = [f'r-{number}' for number in range(20)]
        counts = dict.fromkeys(range(0, 400, 4), 0)
        for name in names:
            for chosen in subset.choose(name, domain, locations, names, 40, 0):
                counts[int(chosen[3:])] += 1
        self.assertEqual({8}, set(counts.values()))

    def test_a_small_fleet_is_used_whole(self) -> None:
        domain = ids.FailureDomain('d-0')
        self.assertEqual(
            13, len(subset.choose('r-1', domain, self.locations(13)))
        )

    def test_the_end_of_one_endpoint_moves_only_its_own_place(self) -> None:
        domain = ids.FailureDomain('d-0')
        locations = self.locations(400)
        before = subset.choose('r-1', domain, locations)
        gone = sorted(before)[0]
        left = [each for each in locations if each.endpoint != gone]
        after = subset.choose('r-1', domain, left)
        self.assertEqual({gone}, before - after)
        self.assertEqual(1, len(after - before))
