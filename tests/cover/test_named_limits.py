"""Endpoints that name the requests a second they accept from all nodes.

Patterns: all nodes send to one endpoint when it names a limit; the limit
falls, rises, is zero or no number, and ends; nodes start and end meanwhile.
"""

import typing
import unittest

from guavachute.entry import node as entry_node
from guavachute import ids
from guavachute.platform import requests
from guavachute.standin.platform import engine as standin_engine
from tests.support import looping
from tests.support import platform_site

WINDOW_S = 4.0
EXCESS_SHARE = 1.5
EXCESS_REQUESTS = 5
"""What an endpoint may get in a window: this share of its limit, and a few
requests more. From the platform's rules."""


def allowed(limit_per_s: float) -> float:
    """The requests that an endpoint may get in any window."""
    return EXCESS_SHARE * limit_per_s * WINDOW_S + EXCESS_REQUESTS


def most_in_window(
    arrivals: typing.Sequence[float], from_s: float = 0.0
) -> int:
    """The most arrivals in a window that begins at *from_s* or later."""
    later = [at_s for at_s in arrivals if at_s >= from_s]
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in later)
            for start_s in later
        ),
        default=0,
    )


class DecodedLimitTest(unittest.TestCase):
    def read(self, value: bytes) -> float | None:
        headers = [(b'Server-Limit', value)]
        return requests.read_announcement(200, headers).limit_per_s

    def test_a_decimal_number(self) -> None:
        self.assertEqual(2.3, self.read(b'2.3'))
        self.assertEqual(0.0, self.read(b'0'))

    def test_none_is_named(self) -> None:
        self.assertIsNone(requests.read_announcement(200, []).limit_per_s)

    def test_no_number(self) -> None:
        found = self.read(b'some')
        self.assertNotEqual(found, found)


class LimitedEndpointTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.limited = self.add('limited')

    def add(self, name: str) -> standin_engine.Engine:
        return self.site.add_engine(name, platform_site.PLAIN_SERVICE)

    def ready_nodes(self, count: int) -> list[entry_node.Node]:
        """Nodes that know each other."""
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
        return nodes

    def load(
        self, nodes: typing.Sequence[entry_node.Node], duration_s: float
    ) -> list[platform_site.Reply]:
        """Send requests to all nodes for a while; returns their answers."""
        loop = self.site.loop
        callers: list[platform_site.CallerSocket] = []

        def send() -> None:
            callers.extend(
                self.site.send(node, '/lookup/a', method='GET', body=b'')
                for node in nodes
            )

        end_s = loop.now_s + duration_s
        while loop.now_s < end_s:
            send()
            looping.run_for(loop, 0.1)
        looping.run_until(
            loop, lambda: all(caller.reply.has_ended for caller in callers)
        )
        return [caller.reply for caller in callers]

    def test_all_nodes_together_keep_a_limit_that_each_has_heard_of(
        self,
    ) -> None:
        """Guards against LIMIT: 15 requests in 4 s, named was one a second."""
        self.add('other')
        nodes = self.ready_nodes(5)
        self.limited.limit = '1'
        self.load(nodes, 1.0)
        from_s = self.site.loop.now_s
        replies = self.load(nodes, 5.0)
        self.assertEqual({200}, {reply.status for reply in replies})
        self.assertLessEqual(
            most_in_window(self.limited.arrivals, from_s), allowed(1)
        )

    def test_all_nodes_send_again_when_answers_name_no_limit(self) -> None:
        nodes = self.ready_nodes(3)
        self.limited.limit = '4'
        self.load(nodes, 1.0)
        self.limited.limit = None
        self.load(nodes, 5.0)
        ran = len(self.limited.runs)
        replies = self.load(nodes, 1.0)
        self.assertEqual({200}, {reply.status for reply in replies})
        self.assertEqual(len(replies), len(self.limited.runs) - ran)

    def test_callers_hear_at_once_if_all_endpoints_are_limited(self) -> None:
        node = self.site.ready_node()
        self.limited.limit = '1'
        self.site.fetch(node, '/lookup/a', method='GET', body=b'')
        began_s = self.site.loop.now_s
        reply = self.site.fetch(node, '/lookup/a', method='GET', body=b'')
        self.assertEqual(503, reply.status)
        self.assertLess(self.site.loop.now_s - began_s, 0.2)
        self.assertGreater(float(reply.headers['retry-after']), 0.0)
        self.assertEqual(1, len(self.limited.runs))

    def test_a_limit_that_is_no_number_changes_nothing(self) -> None:
        node = self.site.ready_node()
        for limit in ('some', 'nan', 'inf', '1e30'):
            self.limited.limit = limit
            replies = self.load([node], 0.5)
            self.assertEqual({200}, {reply.status for reply in replies})

    def test_a_new_start_at_the_same_address_has_named_nothing(self) -> None:
        node = self.site.ready_node()
        self.limited.limit = '0'
        self.load([node], 0.3)
        self.limited.limit = None
        self.limited.incarnation = 2
        self.limited.register()
        looping.run_until(
            self.site.loop,
            lambda: any(
                item.start_ms == 2
                for item in node.state.table.entries.values()
            ),
        )
        replies = self.load([node], 0.5)
        self.assertEqual({200}, {reply.status for reply in replies})
        self.assertEqual([], node.registry.limits.notices())

    def test_calls_count_like_requests(self) -> None:
        """Reports, questions and moves reach the endpoint too."""
        node = self.site.ready_node()
        self.limited.limit = '0'
        self.load([node], 0.2)
        record = node.registry.record_for(
            node.state.table.entries[ids.EndpointId('limited')]
        )
        now_s = self.site.loop.now_s
        self.assertFalse(node.registry.accepts_call(record, now_s))
        later_s = now_s + 60.0
        self.assertTrue(node.registry.accepts_call(record, later_s))
        self.assertFalse(node.registry.accepts_call(record, later_s))
