"""Whose fault unreachable endpoints are, and who passes requests on.

Patterns: the node alone is cut off; all endpoints are down; one endpoint or
one domain is; endpoints fall silent for a moment; all nodes are cut off; the
links come back; 195 nodes of which half ask the others for help.
"""

import collections
import random
import unittest

from guavachute.decide.ingress import choice
from guavachute.decide.ingress import endpoint_links
from guavachute.decide.ingress import relay_choice
from guavachute.decide.nodes import addresses
from guavachute import ids

OPEN = endpoint_links.LinkState.OPEN
CUT = endpoint_links.LinkState.CUT
NEVER_S = endpoint_links.NEVER_S


def address(number: int) -> ids.Address:
    return ids.Address(f'10.0.0.{number}:80')


A, B, C = address(1), address(2), address(3)


class LinkStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.links = endpoint_links.EndpointLinks()
        for item in (A, B, C):
            self.links.record_heard(item, 10.0)
        self.heard_by_others = {A: 10.0, B: 10.0, C: 10.0}

    def state(self) -> endpoint_links.LinkState:
        return self.links.assess(
            lambda item: self.heard_by_others.get(item, NEVER_S)
        )

    def lose(self, *items: ids.Address, at_s: float = 11.0) -> None:
        for item in items:
            self.links.record_failure(item, at_s - 0.5, at_s)

    def test_a_node_alone_is_cut_off(self) -> None:
        self.lose(A, B)
        self.heard_by_others[B] = 10.9
        self.assertIs(CUT, self.state())

    def test_endpoints_that_no_node_hears_are_down(self) -> None:
        self.lose(A, B, C)
        self.assertIs(OPEN, self.state())

    def test_what_others_heard_just_before_the_failure_shows_nothing(
        self,
    ) -> None:
        self.lose(A, B, C)
        self.heard_by_others = dict.fromkeys((A, B, C), 10.55)
        self.assertIs(OPEN, self.state())

    def test_one_endpoint_is_no_cut(self) -> None:
        self.lose(A)
        self.heard_by_others[A] = 12.0
        self.assertIs(OPEN, self.state())
        self.assertTrue(
            self.links.is_contradicted(A, self.heard_by_others.__getitem__)
        )

    def test_a_node_that_hears_an_endpoint_is_not_cut_off(self) -> None:
        self.lose(A, B)
        self.heard_by_others = dict.fromkeys((A, B), 12.0)
        self.links.record_heard(C, 11.1)
        self.assertIs(OPEN, self.state())

    def test_links_are_regained_after_two_contacts_in_a_row(self) -> None:
        self.test_a_node_alone_is_cut_off()
        self.links.record_established(A, 12.0)
        self.assertIs(CUT, self.state())
        self.lose(B, at_s=12.2)
        self.links.record_established(A, 12.4)
        self.assertIs(CUT, self.state())
        self.links.record_established(B, 12.6)
        self.assertIs(OPEN, self.state())

    def test_answers_of_kept_connections_do_not_end_a_cut(self) -> None:
        self.test_a_node_alone_is_cut_off()
        for number in range(5):
            self.links.record_heard(A, 12.0 + number)
        self.assertIs(CUT, self.state())

    def silent(self, now_s: float) -> list[ids.Address]:
        return self.links.silent(self.heard_by_others.__getitem__, now_s)

    def test_silence_counts_only_while_requests_wait(self) -> None:
        self.assertEqual([], self.silent(60.0))
        self.links.record_sent(A, 60.0)
        self.assertEqual([], self.silent(60.5))
        self.assertEqual([A], self.silent(61.0))
        self.links.record_ended(A)
        self.assertEqual([], self.silent(61.0))

    def test_one_silent_endpoint_counts_if_others_hear_it(self) -> None:
        self.links.record_sent(A, 60.0)
        self.links.record_heard(B, 60.9)
        self.assertEqual([], self.silent(61.0))
        self.heard_by_others[A] = 60.5
        self.assertEqual([A], self.silent(61.0))
        self.links.record_heard(A, 61.0)
        self.assertEqual([], self.silent(61.5))

    # Guards against attempts that are given up while this node's own link is
    # full: bytes still come from elsewhere, late.
    def test_bytes_from_elsewhere_do_not_show_that_a_link_is_broken(
        self,
    ) -> None:
        self.lose(A, at_s=11.0)
        self.links.record_heard(B, 10.9)
        self.assertFalse(self.links.is_only_link(A, 11.0))
        self.links.record_established(C, 11.1)
        self.assertTrue(self.links.is_only_link(A, 11.1))
        self.assertTrue(self.links.is_only_link(A, 12.1))
        self.assertFalse(self.links.is_only_link(A, 12.2))
        self.links.record_heard(A, 12.2)
        self.assertFalse(self.links.is_only_link(A, 12.1))

    def test_a_contact_before_the_failure_shows_nothing(self) -> None:
        self.links.record_established(B, 10.4)
        self.lose(A, at_s=11.0)
        self.assertFalse(self.links.is_only_link(A, 11.0))

    def test_addresses_that_are_gone_are_forgotten(self) -> None:
        self.lose(A, B)
        self.links.discard({B, C})
        self.assertEqual([B], self.links.failing())
        self.assertEqual(NEVER_S, self.links.heard_s(A))


class SimulatedCutTest(unittest.TestCase):
    """Seven nodes, nine endpoints, updates that are some hundred ms old."""

    def play(
        self, cut: set[int], dead: set[int], seed: int
    ) -> dict[int, endpoint_links.LinkState]:
        """The states two seconds after nodes are cut and endpoints end."""
        rng = random.Random(seed)
        nodes = {number: endpoint_links.EndpointLinks() for number in range(7)}
        told: dict[ids.Address, float] = collections.defaultdict(
            lambda: NEVER_S
        )
        now_s = 0.0
        while now_s < 4.0:
            now_s += 0.02
            for number, links in nodes.items():
                endpoint = rng.randrange(9)
                fails = now_s > 2.0 and (number in cut or endpoint in dead)
                if rng.random() < 0.2:
                    if fails:
                        links.record_failure(
                            address(endpoint), now_s - 0.003, now_s
                        )
                    else:
                        links.record_heard(address(endpoint), now_s)
                links.assess(lambda item: told[item])
            if round(now_s / 0.02) % 13 == 0:
                delay_s = rng.uniform(0.0, 0.1)
                for number, links in nodes.items():
                    if links.is_cut:
                        continue
                    for endpoint in range(9):
                        heard_s = links.heard_s(address(endpoint)) - delay_s
                        told[address(endpoint)] = max(
                            told[address(endpoint)], heard_s
                        )
        return {number: links.state for number, links in nodes.items()}

    def test_cut_nodes_know_it_and_others_do_not_believe_it(self) -> None:
        for seed in range(20):
            for cut in ({0}, {0, 1, 2, 3}, {1, 2, 3, 4, 5, 6}):
                states = self.play(cut, set(), seed)
                found = {n for n, state in states.items() if state is CUT}
                self.assertEqual(cut, found, f'seed {seed}')

    def test_no_node_is_cut_off_when_all_are_or_endpoints_end(self) -> None:
        for seed in range(20):
            for cut, dead in (
                (set(range(7)), set()),
                (set(), set(range(9))),
                (set(), {1, 2, 3}),
                (set(), {8}),
            ):
                states = self.play(cut, dead, seed)
                self.assertNotIn(CUT, states.values(), f'seed {seed}')


class RelayChoiceTest(unittest.TestCase):
    def helper(
        self,
        name: str,
        nearness: choice.Nearness = choice.Nearness.SAME_DOMAIN,
        heard_s: float = 10.0,
        open_requests: int = 0,
    ) -> relay_choice.Helper:
        return relay_choice.Helper(
            ids.NodeId(name),
            ids.Address(name),
            nearness,
            heard_s,
            open_requests,
        )

    def chosen(self, *helpers: relay_choice.Helper) -> str | None:
        found = relay_choice.choose(helpers, 'request', 10.0)
        return found and found.node

    def test_a_node_that_lately_heard_the_endpoint_is_chosen(self) -> None:
        self.assertIsNone(self.chosen(self.helper('old', heard_s=6.0)))
        self.assertEqual(
            'new',
            self.chosen(self.helper('old', heard_s=6.0), self.helper('new')),
        )

    def test_near_nodes_are_preferred_until_they_have_more_to_do(self) -> None:
        far = self.helper('far', choice.Nearness.OTHER_REGION)
        self.assertEqual('near', self.chosen(far, self.helper('near')))
        self.assertEqual(
            'far', self.chosen(far, self.helper('near', open_requests=9))
        )

    def test_half_of_195_nodes_spread_their_requests_over_the_others(
        self,
    ) -> None:
        asked: collections.Counter[str] = collections.Counter()
        for node in range(97):
            own: collections.Counter[str] = collections.Counter()
            for request in range(20):
                found = relay_choice.choose(
                    (
                        self.helper(
                            f'n{number}', open_requests=own[f'n{number}']
                        )
                        for number in range(98)
                    ),
                    f'{node}-{request}',
                    10.0,
                )
                assert found is not None
                own[found.node] += 1
            asked += own
        mean = 97 * 20 / 98
        self.assertEqual(98, len(asked))
        self.assertLess(max(asked.values()), 2.5 * mean)


class CutOffAddressTest(unittest.TestCase):
    def choose(self, *reaching: bool) -> list[str]:
        return list(
            addresses.choose(
                [
                    addresses.Candidate(
                        ids.Address(str(number)),
                        ids.FailureDomain('a' if number < 2 else 'b'),
                        ids.Region('r'),
                        True,
                        9.9,
                        reaches_endpoints=reaches,
                    )
                    for number, reaches in enumerate(reaching)
                ],
                ids.FailureDomain('a'),
                ids.Region('r'),
                10.0,
            )
        )

    def test_callers_of_a_cut_off_domain_are_sent_to_the_next_one(
        self,
    ) -> None:
        self.assertEqual(['2', '3'], self.choose(False, False, True, True))

    def test_cut_off_nodes_are_named_if_hardly_another_one_is_left(
        self,
    ) -> None:
        self.assertEqual(['2', '0', '1'], self.choose(False, False, True))
        self.assertEqual(
            ['0', '1', '2'], sorted(self.choose(False, False, False))
        )
