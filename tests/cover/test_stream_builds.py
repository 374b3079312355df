"""Streams go on only at the build of their endpoints that began them.

Patterns: an endpoint breaks off, leaves or is gone while two builds serve; a
caller takes its stream up at another node; all nodes lose power, and the old
build leaves meanwhile; a build comes back.
"""

import unittest
import unittest.mock

from guavachute.decide.ingress import served_builds
from guavachute.decide.nodes import rounds
from guavachute.entry import node as entry_node
from guavachute.entry import store_client
from guavachute.entry import stream_builds
from guavachute import ids
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store
from tests.support import looping
from tests.support import platform_site

EVENTS = 12
Behaviour = standin_engine.Behaviour


class MixedBuildsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.addCleanup(self.site.close)
        self.site.configure(1)
        self.old = self.add('old')

    def add(self, name: str, build: str = 'v1') -> standin_engine.Engine:
        engine = self.site.add_engine(
            name, platform_site.MODEL_SERVICE, EVENTS
        )
        engine.event_pause_s = 0.15
        engine.build = build
        engine.register()
        return engine

    def begin(
        self, node: entry_node.Node, path: str = '/resumable/a'
    ) -> platform_site.CallerSocket:
        """Start a stream at the only endpoint, up to its first events."""
        caller = self.site.send(node, path)
        looping.run_until(
            self.site.loop, lambda: caller.reply.body.count(b'\n\n') >= 2
        )
        return caller

    def wait_for(self, node: entry_node.Node, endpoints: int) -> None:
        looping.run_until(
            self.site.loop,
            lambda: len(node.state.table.entries) == endpoints,
        )

    def take_up(
        self, node: entry_node.Node, broken: platform_site.CallerSocket
    ) -> platform_site.Reply:
        """Go on with a broken stream, as its caller does."""
        return self.site.fetch(
            node,
            '/resumable/a',
            Last_Event_Id=str(broken.reply.body.count(b'\n\n')),
            Resumes=self.attempt_of(broken),
        )

    def attempt_of(self, caller: platform_site.CallerSocket) -> str:
        return caller.reply.headers['attempt-id']


class OneAnswerTest(MixedBuildsTest):
    """Guards against ORDER: 68 streams went on at another build."""

    def test_the_rest_of_a_stream_comes_from_the_same_build(self) -> None:
        node = self.site.ready_node()
        caller = self.begin(node)
        new = self.add('new', 'v2')
        self.wait_for(node, 2)
        self.old.abort_connections()
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertFalse(caller.reply.ended_cleanly)
        self.assertEqual([], new.runs)

    def test_a_stream_goes_on_at_an_endpoint_of_its_build(self) -> None:
        node = self.site.ready_node()
        caller = self.begin(node)
        new, same = self.add('new', 'v2'), self.add('same')
        self.wait_for(node, 3)
        self.old.abort_connections()
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertTrue(caller.reply.ended_cleanly)
        self.assertEqual(1, len(same.runs))
        self.assertEqual([], new.runs)

    def test_a_run_is_not_moved_to_another_build(self) -> None:
        self.old.event_pause_s = 0.2
        node = self.site.ready_node()
        caller = self.begin(node)
        new = self.add('new', 'v2')
        self.wait_for(node, 2)
        self.old.register(state='draining', spot=True, leaves_ms=300)
        looping.run_until(self.site.loop, lambda: caller.reply.has_ended)
        self.assertTrue(caller.reply.ended_cleanly)
        self.assertEqual([], new.runs)


class TakenUpTest(MixedBuildsTest):
    """Guards against ORDER: take-ups were joined from two builds."""

    def restart_all(self) -> entry_node.Node:
        """Kill all nodes, with what they know, and start another one."""
        for node in self.site.nodes:
            node.close()
        return self.start_node()

    def start_node(self) -> entry_node.Node:
        """Start a node, and wait until it knows an endpoint."""
        node = self.site.add_node()
        looping.run_until(
            self.site.loop,
            lambda: node.is_ready and node.state.table.entries,
        )
        return node

    def test_another_node_goes_on_at_the_build_that_began(self) -> None:
        first = self.site.ready_node()
        second = self.site.ready_node(seeds=(first.peers.address,))
        new = self.add('new', 'v2')
        self.wait_for(first, 2)
        broken = [self.begin(first) for _ in range(6)]
        looping.run_for(self.site.loop, 0.5)
        for caller in broken:
            caller.close()
        for caller in broken:
            began_at = standin_engine.origin(caller.reply.headers).endpoint
            reply = self.take_up(second, caller)
            if reply.status == 200:
                self.assertEqual(
                    began_at, standin_engine.origin(reply.headers).endpoint
                )
        self.assertTrue(self.old.runs or new.runs)

    def test_nothing_goes_on_at_a_new_build_after_all_nodes_were_killed(
        self,
    ) -> None:
        """Two builds served; the old one has left when the nodes are back."""
        node = self.site.ready_node()
        caller = self.begin(node)
        new = self.add('new', 'v2')
        self.wait_for(node, 2)
        looping.run_for(self.site.loop, 0.5)
        self.old.unregister()
        caller.close()
        reply = self.take_up(self.restart_all(), caller)
        self.assertEqual(503, reply.status)
        self.assertEqual([], new.runs)

    def test_a_wave_replaces_all_while_the_nodes_are_away(self) -> None:
        """Only one build was ever seen by each run of the nodes."""
        caller = self.begin(self.site.ready_node())
        caller.close()
        for node in self.site.nodes:
            node.close()
        self.old.unregister()
        new = self.add('new', 'v2')
        reply = self.take_up(self.start_node(), caller)
        self.assertEqual(503, reply.status)
        self.assertEqual([], new.runs)

    def test_streams_go_on_after_all_nodes_were_killed(self) -> None:
        """Guards against LOST: refusing all take-ups is no fix."""
        node = self.site.ready_node()
        new = self.add('new', 'v2')
        self.wait_for(node, 2)
        looping.run_for(self.site.loop, 3.0)
        for engine in (self.old, new):
            engine.event_pause_s = 0.2
        broken = [self.begin(node) for _ in range(4)]
        looping.run_for(self.site.loop, 1.0)
        for caller in broken:
            caller.close()
        node = self.restart_all()
        for caller in broken:
            reply = self.take_up(node, caller)
            self.assertEqual(200, reply.status)
            self.assertEqual(
                standin_engine.origin(caller.reply.headers).endpoint,
                standin_engine.origin(reply.headers).endpoint,
            )

    def test_a_take_up_of_a_take_up(self) -> None:
        """The caller names its first attempt each time."""
        node = self.site.ready_node()
        caller = self.begin(node)
        new = self.add('new', 'v2')
        self.wait_for(node, 2)
        looping.run_for(self.site.loop, 1.0)
        caller.close()
        for _ in range(2):
            reply = self.take_up(node, caller)
            self.assertEqual(200, reply.status)
        self.assertEqual(3, len(self.old.runs))
        self.assertEqual([], new.runs)

    def test_a_stream_that_nobody_knows_is_refused_at_once(self) -> None:
        node = self.site.ready_node()
        self.add('new', 'v2')
        self.wait_for(node, 2)
        looping.run_for(self.site.loop, 1.0)
        began_s = self.site.loop.now_s
        reply = self.site.fetch(
            node, '/resumable/a', Last_Event_Id='2', Resumes='never-sent'
        )
        self.assertEqual(503, reply.status)
        self.assertLess(self.site.loop.now_s - began_s, 0.3)

    def test_a_process_that_has_just_started_waits_for_the_record(
        self,
    ) -> None:
        """The endpoints may be read before the builds on record."""
        node = self.site.ready_node()
        network = unittest.mock.Mock()
        network.own_topic_end.return_value = None
        network.hears_changes.return_value = False
        builds = stream_builds.StreamBuilds(
            self.site.loop,
            store_client.StoreClient(self.site.loop, self.site.store.address),
            network,
            lambda: node.state.table.entries,
            lambda: node.state.configuration,
        )
        call = unittest.mock.Mock(begun_as='a1')
        service = ids.ServiceName(platform_site.MODEL_SERVICE)
        # The streams have been read since the request arrived.
        found = builds.find(call, service, arrived_s=float('-inf'))
        self.assertIs(stream_builds.Origin.PENDING, found)

    def test_with_one_build_all_take_ups_go_on(self) -> None:
        node = self.site.ready_node()
        self.old.event_pause_s = 0.2
        caller = self.begin(node)
        looping.run_for(self.site.loop, 1.0)
        caller.close()
        node = self.restart_all()
        self.assertEqual(200, self.take_up(node, caller).status)


class OutOfStepTest(MixedBuildsTest):
    """A node stands still, or is cut off, while a new build joins."""

    def setUp(self) -> None:
        super().setUp()
        settles = unittest.mock.patch.object(
            served_builds, 'SETTLES_AFTER_S', 0.2
        )
        settles.start()
        self.nodes = [self.site.ready_node()]
        self.nodes.append(
            self.site.ready_node(seeds=(self.nodes[0].peers.address,))
        )
        looping.run_until(
            self.site.loop,
            lambda: all(
                node._builds._builds.sole_build(
                    ids.ServiceName(platform_site.MODEL_SERVICE)
                )
                for node in self.nodes
            ),
        )
        settles.stop()
        # The nodes tell each other.
        looping.run_for(self.site.loop, 2 * rounds.PERIOD_S)

    def join(self, node: entry_node.Node) -> platform_site.CallerSocket:
        """A new build joins; a stream of *node* begins there and breaks."""
        new = self.add('new', 'v2')
        self.wait_for(node, 2)
        looping.run_for(self.site.loop, served_builds.HEARD_AFTER_S + 0.5)
        self.old.unregister()
        self.wait_for(node, 1)
        broken = self.begin(node)
        self.assertEqual(1, len(new.runs))
        looping.run_for(self.site.loop, 0.5)
        broken.close()
        return broken

    # Guards against ORDER: a node that had stood still went on with streams of
    # the new build at the old one.
    def test_a_node_that_stood_still_asks_before_it_goes_on(self) -> None:
        first, second = self.nodes
        stand_still(second)
        broken = self.join(first)
        before = len(self.old.runs)
        reply = self.take_up(second, broken)
        self.assertEqual(before, len(self.old.runs))
        if reply.status == 200:
            self.assertEqual(
                'new', standin_engine.origin(reply.headers).endpoint
            )

    # Guards against LOST: what a lost node had begun while one build served
    # was refused by all others once another build had joined.
    def test_streams_of_a_node_that_was_lost_before_go_on(self) -> None:
        first, second = self.nodes
        broken = self.begin(first)
        first.close()
        self.add('new', 'v2')
        self.wait_for(second, 2)
        looping.run_for(self.site.loop, 1.0)
        reply = self.take_up(second, broken)
        self.assertEqual(200, reply.status)
        self.assertEqual('old', standin_engine.origin(reply.headers).endpoint)

    # Guards against ORDER: a lost node may have used the newer build too.
    def test_streams_that_a_lost_node_could_not_list_are_refused(
        self,
    ) -> None:
        first, second = self.nodes
        self.join(first)
        first.close()
        looping.run_for(self.site.loop, stream_builds.WITNESS_SILENT_S)
        before = len(self.old.runs)
        reply = self.site.fetch(
            second, '/resumable/a', Last_Event_Id='2', Resumes='not-listed'
        )
        self.assertEqual(503, reply.status)
        self.assertEqual(before, len(self.old.runs))

    def test_a_node_in_step_goes_on_at_the_only_build(self) -> None:
        first, second = self.nodes
        broken = self.begin(first)
        broken.close()
        reply = self.take_up(second, broken)
        self.assertEqual(200, reply.status)

    def test_without_the_store_the_other_nodes_tell(self) -> None:
        first, second = self.nodes
        self.site.store.fault = standin_store.Fault.BUSY
        looping.run_until(self.site.loop, lambda: not second._reaches_store)
        broken = self.begin(first)
        broken.close()
        reply = self.take_up(second, broken)
        self.assertEqual(200, reply.status)


def stand_still(node: entry_node.Node) -> None:
    """Let a node hear nothing of the store and of its peers any more.

    It still believes what it knew. What it does by itself goes on.
    """
    for follower in (node._operator, node._endpoints, node._nodes):
        follower._cancel_read()
        follower._is_reading = False
        if follower._timer is not None:
            follower._timer.cancel()
    node.peers._unwatch()
