"""Nodes that are cut off from endpoints, while all else still reaches them.

Patterns: connections hang, are reset, or live on while new ones are refused;
one node of three, and most of them; the links come back.
"""

import dataclasses
import itertools
import unittest

from guavachute.entry import node as entry_node
from guavachute import ids
from tests.support import cut_links
from tests.support import looping
from tests.support import platform_site

Mode = cut_links.Mode

CONTACT_S = 4.0
"""How long after the cut began its effects may be seen by callers."""

MIN_RELATIVE_SHARE = 2 / 3
"""The minimum share of first attempts that cut off nodes serve, relative to
that of the others. This and the next ones are from the platform's rules."""

MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50

PERIOD_S = 0.05
"""Interval at which each node gets a request."""

PATHS = ('/order/a', '/lookup/a', '/resumable/a', '/stream/a')


@dataclasses.dataclass
class Attempt:
    """A first attempt of a caller at a node.

    :ivar sent_s: loop time at which it was sent
    """

    node: entry_node.Node
    caller: platform_site.CallerSocket
    sent_s: float
    path: str

    @property
    def is_served(self) -> bool:
        """Whether it has a complete answer of an endpoint."""
        reply = self.caller.reply
        return (
            reply.status == 200
            and reply.is_complete
            and 'server-stamp' in reply.headers
        )


class CutLinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        for number in range(3):
            self.site.add_engine(f'p{number}', platform_site.PLAIN_SERVICE)
            self.site.add_engine(f'm{number}', platform_site.MODEL_SERVICE, 4)
        self.attempts: list[Attempt] = []
        self._paths = itertools.cycle(PATHS)

    def start_nodes(self, count: int) -> list[entry_node.Node]:
        """Nodes that know each other and all endpoints, and get requests."""
        nodes: list[entry_node.Node] = []
        for _ in range(count):
            seeds = tuple(
                ids.Address(node.peers.address) for node in nodes[:1]
            )
            nodes.append(self.site.ready_node(seeds=seeds))
        looping.run_until(
            self.site.loop,
            lambda: all(node.peers.table.count == count for node in nodes),
        )
        self._send_next(nodes)
        self.run_for(1.5)
        return nodes

    def _send_next(self, nodes: list[entry_node.Node]) -> None:
        for node in nodes:
            path = next(self._paths)
            caller = self.site.send(
                node, path, Prefix_Hash='aa:100,%x:20' % len(self.attempts)
            )
            self.attempts.append(
                Attempt(node, caller, self.site.loop.now_s, path)
            )
        self.site.loop.call_after(PERIOD_S, lambda: self._send_next(nodes))

    def run_for(self, duration_s: float) -> None:
        looping.run_for(self.site.loop, duration_s)

    def cut(self, nodes: list[entry_node.Node], mode: Mode) -> None:
        for node in nodes:
            self.site.links.cut(node.loop, mode)

    def check_served(
        self, nodes: list[entry_node.Node], from_s: float
    ) -> None:
        """Check the share of attempts that *nodes* serve from *from_s* on."""
        until_s = self.site.loop.now_s - 1.5
        at_cut, at_others = [], []
        for attempt in self.attempts:
            if from_s <= attempt.sent_s < until_s:
                (at_cut if attempt.node in nodes else at_others).append(
                    attempt
                )
        served = sum(item.is_served for item in at_cut)
        served_by_others = sum(item.is_served for item in at_others)
        text = (
            f'{served} of {len(at_cut)} served, by the others '
            f'{served_by_others} of {len(at_others)}; failed: '
            + ', '.join(
                f'{item.path} {item.caller.reply.status}'
                for item in at_cut
                if not item.is_served
            )
        )
        self.assertGreater(len(at_cut), 20)
        least = MIN_RELATIVE_SHARE * served_by_others / len(at_others)
        most_failed = MAX_FAILED + MAX_FAILED_SHARE * len(at_cut + at_others)
        self.assertGreaterEqual(served / len(at_cut), least, text)
        self.assertLessEqual(len(at_cut) - served, most_failed, text)

    def check_cut(self, count: int, mode: Mode) -> None:
        """Cut *count* of three nodes off, and check whom they serve."""
        nodes = self.start_nodes(3)
        cut_s = self.site.loop.now_s
        self.cut(nodes[:count], mode)
        self.run_for(CONTACT_S + 3.5)
        self.check_served(nodes[:count], cut_s + CONTACT_S)

    def test_a_cut_off_node_serves_while_connections_hang(self) -> None:
        self.check_cut(1, Mode.HANG)

    def test_a_cut_off_node_serves_while_connections_are_reset(self) -> None:
        self.check_cut(1, Mode.RESET)

    def test_a_cut_off_node_serves_while_new_ones_are_refused(self) -> None:
        self.check_cut(1, Mode.REFUSE)

    def test_most_nodes_are_cut_off_and_serve(self) -> None:
        self.check_cut(2, Mode.RESET)
