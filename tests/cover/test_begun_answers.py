"""Answers that have begun, while links or endpoints fail for a moment.

Patterns: all links of one node pass nothing for two seconds; those to one
endpoint do; the endpoint that is to go on with a stream has no room,
or there is none for a moment.
"""

import typing
import unittest

import msgspec

from guavachute.entry import node as entry_node
from guavachute.standin.platform import engine as standin_engine
from tests.support import cut_links
from tests.support import looping
from tests.support import platform_site

Behaviour = standin_engine.Behaviour
Mode = cut_links.Mode

PAUSE_S = 2.0
EVENTS = 60
EVENT_PAUSE_S = 0.06


def routes(max_attempts: int) -> list[dict[str, typing.Any]]:
    """The usual routes, with time for a pause."""
    found: list[dict[str, typing.Any]] = msgspec.json.decode(
        platform_site.configuration(1)
    )['routes']
    for route in found:
        route.update(timeoutMs=15_000, maxAttempts=max_attempts)
    return found


class BegunAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)

    def start(self, max_attempts: int) -> list[entry_node.Node]:
        """Start four endpoints, and nodes that know them and each other."""
        self.site.configure(1, routes=routes(max_attempts))
        for number in range(4):
            engine = self.site.add_engine(
                f'm{number}', platform_site.MODEL_SERVICE, EVENTS
            )
            engine.event_pause_s = EVENT_PAUSE_S
        nodes: list[entry_node.Node] = []
        for _ in range(2):
            seeds = tuple(node.peers.address for node in nodes)
            nodes.append(self.site.ready_node(seeds=seeds))
        looping.run_until(
            self.site.loop,
            lambda: all(node.peers.table.count == 2 for node in nodes),
        )
        return nodes

    def begin_streams(
        self, node: entry_node.Node, count: int = 8
    ) -> list[platform_site.CallerSocket]:
        """Streams of *node*, each after a few events."""
        callers = [
            self.site.send(node, f'/resumable/{number}', Deadline_Ms='15000')
            for number in range(count)
        ]
        looping.run_until(
            self.site.loop,
            lambda: all(events(caller) >= 3 for caller in callers),
        )
        return callers

    def check_complete(
        self, callers: typing.Sequence[platform_site.CallerSocket]
    ) -> None:
        """Wait for the ends of streams, and check that none was broken."""
        looping.run_until(
            self.site.loop,
            lambda: all(caller.reply.has_ended for caller in callers),
            12.0,
        )
        self.assertEqual(
            [EVENTS] * len(callers), [events(caller) for caller in callers]
        )
        self.assertTrue(all(caller.reply.is_complete for caller in callers))

    def pause(
        self, node: entry_node.Node, engines: list[standin_engine.Engine]
    ) -> None:
        """Let nothing pass between a node and endpoints for a while."""
        self.site.links.cut(
            node.loop, Mode.HANG, [engine.address for engine in engines]
        )
        looping.run_for(self.site.loop, PAUSE_S)
        self.site.links.cut(node.loop, Mode.OPEN)


def events(caller: platform_site.CallerSocket) -> int:
    """The events that a caller has received."""
    return caller.reply.body.count(b'\n\n')


class SilentLinkTest(BegunAnswersTest):
    # Guards against begun answers that a node ends as its links are silent
    # for a moment, although the endpoints go on.
    def check_pause(self, max_attempts: int, silent: int) -> None:
        nodes = self.start(max_attempts)
        others = self.begin_streams(nodes[1])
        callers = self.begin_streams(nodes[0])
        self.pause(nodes[0], self.site.engines[:silent])
        self.check_complete(callers)
        self.check_complete(others)

    def test_streams_survive_silent_links_where_none_may_run_again(
        self,
    ) -> None:
        self.check_pause(1, silent=4)

    def test_streams_survive_silent_links_where_one_retry_is_left(
        self,
    ) -> None:
        self.check_pause(2, silent=4)

    def test_streams_survive_one_silent_link_where_none_may_run_again(
        self,
    ) -> None:
        self.check_pause(1, silent=1)

    def test_streams_survive_one_silent_link_where_one_retry_is_left(
        self,
    ) -> None:
        self.check_pause(2, silent=1)

    # Guards against an answer that has not begun, and is given up although
    # the request may not be sent again.
    def test_an_answer_that_may_still_come_is_awaited(self) -> None:
        nodes = self.start(1)
        plain = [
            self.site.add_engine(f'p{number}', platform_site.PLAIN_SERVICE)
            for number in range(2)
        ]
        looping.run_until(
            self.site.loop,
            lambda: all(len(node.state.table.entries) == 6 for node in nodes),
        )
        for engine in plain:
            engine.work_s = 0.3
        callers = self.look_up(nodes[0], 4)
        looping.run_until(
            self.site.loop,
            lambda: sum(len(engine.runs) for engine in plain) == 4,
        )
        for number in range(20):
            self.site.loop.call_after(
                PAUSE_S / 20 * number,
                lambda: callers.extend(self.look_up(nodes[1], 2)),
            )
        self.pause(nodes[0], plain)
        looping.run_until(
            self.site.loop,
            lambda: all(caller.reply.has_ended for caller in callers),
        )
        self.assertEqual(
            [200] * 44, [caller.reply.status for caller in callers]
        )

    def look_up(
        self, node: entry_node.Node, count: int
    ) -> list[platform_site.CallerSocket]:
        return [
            self.site.send(node, '/lookup/a', Deadline_Ms='15000')
            for _ in range(count)
        ]

    def test_streams_go_on_elsewhere_if_a_link_stays_silent(self) -> None:
        nodes = self.start(2)
        others = self.begin_streams(nodes[1])
        callers = self.begin_streams(nodes[0])
        self.site.links.cut(
            nodes[0].loop, Mode.HANG, [self.site.engines[0].address]
        )
        self.check_complete(callers)
        self.check_complete(others)

    # Guards against an endpoint that gets an attempt again, through another
    # node, while it still runs it.
    def test_a_stream_leaves_the_endpoint_of_a_silent_link(self) -> None:
        nodes = self.start(2)
        others = self.begin_streams(nodes[1])
        caller = self.site.send(
            nodes[0],
            '/resumable/a',
            Deadline_Ms='15000',
            Token_Counts='9000,60',
            Prefix_Hash='aa:9000',
        )
        callers = [caller]
        looping.run_until(self.site.loop, lambda: events(caller) >= 3)
        # Of all endpoints, this one has the prompt.
        (silent,) = (
            engine
            for engine in self.site.engines
            if any('aa:9000' in run.headers.values() for run in engine.runs)
        )
        self.site.links.cut(nodes[0].loop, Mode.HANG, [silent.address])
        self.check_complete(callers)
        self.check_complete(others)
        attempts = [run.attempt_id for run in silent.runs]
        self.assertEqual(len(attempts), len(set(attempts)))

    # Guards against begun answers that wait for the system's time-out in a cut
    # from all endpoints, as they were not silent for long when it was found.
    def test_streams_go_on_through_another_node_in_a_cut(self) -> None:
        nodes = self.start(2)
        callers = self.begin_streams(nodes[0])
        others = self.begin_streams(nodes[1])
        self.site.links.cut(nodes[0].loop, Mode.HANG)
        before = [events(caller) for caller in callers]
        looping.run_for(self.site.loop, 3.0)
        self.assertTrue(nodes[0].registry.links.is_cut)
        after = [events(caller) for caller in callers]
        self.assertTrue(
            all(b > a + 1 for a, b in zip(before, after)), (before, after)
        )
        self.check_complete(callers)
        self.check_complete(others)


class SuccessorTest(BegunAnswersTest):
    # Guards against begun answers that end as the next endpoint has no room.
    def test_a_stream_goes_on_at_the_endpoint_that_has_room(self) -> None:
        (node, _) = self.start(2)
        (caller,) = self.begin_streams(node, 1)
        first, *rest = sorted(
            self.site.engines, key=lambda engine: -engine.open_streams
        )
        for engine in rest[:2]:
            engine.behaviour = Behaviour.SHED
        first.crash()
        self.check_complete([caller])

    # Guards against begun answers that end as no endpoint can be used for
    # a moment.
    def test_a_stream_waits_for_the_next_usable_endpoint(self) -> None:
        (node, _) = self.start(2)
        (caller,) = self.begin_streams(node, 1)
        first, *rest = sorted(
            self.site.engines, key=lambda engine: -engine.open_streams
        )
        for engine in rest:
            engine.unregister()
        looping.run_until(
            self.site.loop, lambda: len(node.state.table.entries) == 1
        )
        first.crash()
        self.site.loop.call_after(
            0.3, lambda: [engine.register() for engine in rest]
        )
        self.check_complete([caller])
