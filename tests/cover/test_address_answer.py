"""Tests of the choice of the router addresses that callers get."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.members import address_answer

DOMAINS = {'perth-a': 'perth', 'perth-b': 'perth', 'bunbury-a': 'bunbury'}


def routers_in(domain: str, count: int) -> list[address_answer.KnownRouter]:
    """*count* routers of *domain*."""
    return [
        address_answer.KnownRouter(
            f'{domain}-{number}',
            f'{domain}-{number}:80',
            domain,
            DOMAINS[domain],
        )
        for number in range(count)
    ]


ROUTERS = [router for domain in DOMAINS for router in routers_in(domain, 3)]
QUERY = address_answer.Query('needle', 'perth', affinity='club-7')

some_routers = strategies.lists(
    strategies.builds(
        address_answer.KnownRouter,
        node=strategies.text('ab', min_size=1),
        address=strategies.integers(0, 99).map(str),
        failure_domain=strategies.sampled_from(sorted(DOMAINS)),
        region=strategies.sampled_from(['perth', 'bunbury']),
        leaving=strategies.booleans(),
        suspect=strategies.booleans(),
    ),
    unique_by=lambda router: router.address,
)


class AddressAnswerTest(unittest.TestCase):
    @hypothesis.given(some_routers, strategies.integers(1, 5))
    def test_never_names_leaving_ones_nor_suspects_beside_others(
        self, routers: list[address_answer.KnownRouter], maximum: int
    ) -> None:
        answer = address_answer.answer(routers, QUERY, 5.0, maximum)
        named = {address.address for address in answer.addresses}
        usable = [r for r in routers if not r.leaving]
        trusted = {r.address for r in usable if not r.suspect}
        allowed = trusted or {r.address for r in usable}
        self.assertLessEqual(named, allowed)
        self.assertEqual(min(maximum, len(allowed)), len(named))

    @hypothesis.given(some_routers, strategies.integers(1, 5))
    def test_is_spread_over_failure_domains(
        self, routers: list[address_answer.KnownRouter], maximum: int
    ) -> None:
        healthy = [r for r in routers if not r.leaving and not r.suspect]
        answer = address_answer.answer(healthy, QUERY, 5.0, maximum)
        available = {router.failure_domain for router in healthy}
        named = {address.failure_domain for address in answer.addresses}
        self.assertEqual(min(maximum, len(available)), len(named))

    def test_the_same_hint_leads_to_the_same_router(self) -> None:
        first = address_answer.answer(ROUTERS, QUERY, 5.0)
        others = [
            r for r in ROUTERS if r.address != first.addresses[3].address
        ]
        again = address_answer.answer(others[::-1], QUERY, 5.0)
        self.assertEqual(first.addresses[0], again.addresses[0])
        self.assertEqual('perth', again.addresses[0].region)

    def test_without_a_hint_calls_spread_over_all_local_routers(self) -> None:
        firsts = {
            address_answer.answer(
                ROUTERS,
                address_answer.Query('needle', 'perth', spread=number),
                5.0,
            )
            .addresses[0]
            .address
            for number in range(100)
        }
        self.assertEqual(6, len(firsts))

    def test_a_warm_router_goes_first(self) -> None:
        warm = address_answer.KnownRouter(
            'warm', 'warm:80', 'perth-b', 'perth', warmth=0.5
        )
        answer = address_answer.answer([*ROUTERS, warm], QUERY, 5.0)
        self.assertEqual('warm:80', answer.addresses[0].address)
