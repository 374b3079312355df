"""What a version of the endpoints promises: every change up to it is known.

Patterns: snapshots of several pages, read while entries change; a snapshot
that is older than what a peer has told; entries that came and went between two
reads. No network.
"""

import random
import types
import typing
import unittest
import unittest.mock

import msgspec

from guavachute.domain import log_position
from guavachute.entry import control_client
from guavachute.entry import known_state
from guavachute.entry import topic_follower
from guavachute import ids
from guavachute.platform import endpoints as platform_endpoints
from guavachute.platform import store
from guavachute.standin.platform import store as standin_store
from guavachute.wire import node_updates
from tests.support import simulated

TOPIC = platform_endpoints.TOPIC
DECODE_READ = store.decode_read


class Log:
    """The topic of the endpoints in a store, and nodes that read it.

    The nodes have no links but those that a test uses.
    """

    def __init__(self, page_items: int) -> None:
        self.network = simulated.Network(1)
        self.loop = simulated.Loop(self.network)
        with self.network.replacing_sockets():
            self.store = standin_store.Store(self.loop)
        self.store.page_items = page_items
        self._writes = 0

    def write(self, key: str, state: str | None) -> None:
        """Write the entry of *key*; None deletes it."""
        self._writes += 1
        value = msgspec.json.encode({
            'service': 'desk', 'address': '10.9.0.1:8000', 'zone': 'here-a',
            'version': 'v1', 'slots': 8, 'state': state,
            'sequence': self._writes, 'born': 1,
        })  # fmt: skip
        self.store.put(TOPIC, key, None if state is None else value)

    def present(self) -> dict[str, str]:
        """The state of each entry, as the store has it."""
        topic = self.store._topic(TOPIC)
        return {
            key: msgspec.json.decode(value)['state']
            for key, (_, value) in topic.newest.items()
        }


class Reader:
    """A node's copy of the endpoints, whose calls a test answers."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.state = known_state.KnownState(log.loop)
        self.waiting: list[typing.Any] = []
        self.on_its_way: typing.Callable[[], None] | None = None
        self.told: node_updates.SharedEndpoints | None = None
        client = types.SimpleNamespace(era=log.store.era, call=self._call)
        self.follower = topic_follower.TopicFollower(
            log.loop,
            typing.cast(typing.Any, client),
            TOPIC,
            self.state.fold_endpoint,
            self.handle_folded,
            wait_s=0.0,
            missing_keys=self.state.end_snapshot,
        )

    def start(self) -> None:
        """Begin to read; the first call waits for :meth:`serve`."""
        self.follower.start()

    def handle_folded(self) -> None:
        """Take in how far the topic was read."""
        assert self.follower.end_position is not None
        self.state.advance_position(self.follower.end_position)

    def serve(self) -> typing.Callable[[], None]:
        """Let the store serve the call that waits; the result delivers it."""
        request, done = self.waiting.pop()
        replies: list[control_client.Reply] = []
        answer = types.SimpleNamespace(
            request=types.SimpleNamespace(
                target=request.target, body=request.body
            ),
            reply=lambda status, body, headers: replies.append(
                control_client.Reply(status, body, headers)
            ),
        )
        self.log.store._serve(typing.cast(typing.Any, answer))
        return lambda: done(replies[0])

    def read(self) -> None:
        """Read once, or the next page; an answer on its way is lost."""
        self.on_its_way = None
        if not self.waiting:
            self.follower.read_now()
        self.serve()()

    def serve_or_deliver(self) -> None:
        """Let the store serve a call, or let its answer come."""
        deliver, self.on_its_way = self.on_its_way, None
        if deliver is not None:
            deliver()
        elif self.waiting:
            self.on_its_way = self.serve()

    def read_all(self) -> None:
        """Read on to the end; a snapshot too if none was read yet."""
        end = self.log.store._topic(TOPIC).end_offset
        while self.follower.end_offset != end:
            self.read()

    def fetch_from(self, peer: 'Reader') -> None:
        """Fetch what the peer knows beyond this node, if it tells so."""
        self.ask(peer)
        self.merge()

    def ask(self, peer: 'Reader') -> None:
        """Ask the peer for its changes; :meth:`merge` takes the answer."""
        self.told = None
        if peer.state.endpoints_version > self.state.known_version:
            self.told = peer.state.shared_endpoints(self.state.known_version)
        elif peer.state.endpoints_version >= 0:
            position = peer.state.endpoints_position
            if self.follower.learn_position(position):
                self.state.advance_position(position)

    def merge(self) -> None:
        """Take in what a peer has told."""
        told, self.told = self.told, None
        if told is not None:
            self.state.merge_shared_endpoints(told)
            self.follower.skip_to(self.state.endpoints_position)

    def known(self) -> dict[str, str]:
        """The state of each entry, as this node has it."""
        return {
            str(key): entry.state.value
            for key, entry in self.state.table.entries.items()
        }

    def _call(
        self, request: store.Request, done: typing.Any, timeout_s: float
    ) -> typing.Callable[[], None]:
        def cancel() -> None:
            self.waiting = []
            self.on_its_way = None

        self.waiting = [(request, done)]
        return cancel


class VersionTest(unittest.TestCase):
    # Guards against DRAIN: a process that had read the first of several
    # pages told the version of a record in them, as if it had read all.
    def test_a_half_read_snapshot_has_no_version(self) -> None:
        log = Log(page_items=2)
        for key in 'abcd':
            log.write(key, 'ready')
        reader, peer = Reader(log), Reader(log)
        reader.start()
        reader.read()
        self.assertEqual({'a', 'b'}, reader.known().keys())
        self.assertEqual(
            log_position.NO_POSITION, reader.state.endpoints_version
        )
        peer.fetch_from(reader)
        self.assertEqual({}, peer.known())

    # Guards against DRAIN: the later pages raised the version beyond a leave
    # that the first page had come too early for.
    def test_later_pages_do_not_raise_it_beyond_the_first(self) -> None:
        log = Log(page_items=2)
        for key in 'abc':
            log.write(key, 'ready')
        reader, peer = Reader(log), Reader(log)
        peer.start()
        peer.read_all()
        reader.start()
        reader.read()
        log.write('a', 'draining')
        log.write('d', 'ready')
        reader.read()
        self.assertEqual('ready', reader.known()['a'])
        peer.fetch_from(reader)
        reader.read()
        peer.fetch_from(reader)
        self.assertEqual(log.present(), reader.known())
        self.assertEqual(log.present(), peer.known())

    # Guards against DRAIN: a snapshot from before a deletion came after a
    # peer's news of it, and the endpoint was back, also at who fetched.
    def test_an_older_snapshot_brings_nothing_back(self) -> None:
        log = Log(page_items=500)
        log.write('a', 'ready')
        log.write('b', 'ready')
        reader, peer = Reader(log), Reader(log)
        peer.start()
        peer.read_all()
        reader.start()
        deliver = reader.serve()
        log.write('a', None)
        log.write('b', 'draining')
        peer.read()
        reader.fetch_from(peer)
        deliver()
        self.assertEqual(log.present(), reader.known())

    # Guards against DRAIN: a node that was told all entries answered as if it
    # knew what had been deleted before.
    def test_deletions_before_a_whole_copy_are_not_skipped(self) -> None:
        log = Log(page_items=500)
        log.write('a', 'ready')
        early, late, last = Reader(log), Reader(log), Reader(log)
        early.start()
        early.read_all()
        log.write('b', 'ready')
        last.start()
        last.read_all()
        log.write('b', None)
        log.write('c', 'ready')
        late.start()
        late.read_all()
        early.fetch_from(late)
        last.fetch_from(early)
        self.assertEqual(log.present(), last.known())

    # Guards against DRAIN: a node passed no deletion on of an entry that it
    # had never had itself.
    def test_deletions_of_unknown_entries_are_passed_on(self) -> None:
        log = Log(page_items=500)
        log.write('a', 'ready')
        reader, peer = Reader(log), Reader(log)
        reader.start()
        reader.read_all()
        log.write('b', 'ready')
        peer.start()
        peer.read_all()
        log.write('b', None)
        reader.read()
        peer.fetch_from(reader)
        self.assertEqual(log.present(), peer.known())

    # Guards against a half-read table of a node of an older build, which
    # sends it as all entries: the others were dropped.
    def test_half_a_table_of_an_older_build_is_not_taken(self) -> None:
        log = Log(page_items=500)
        log.write('a', 'ready')
        log.write('b', 'ready')
        reader, peer = Reader(log), Reader(log)
        reader.start()
        reader.read_all()
        peer.start()
        peer.read_all()
        log.write('b', 'draining')
        peer.read()
        told = peer.state.shared_endpoints(log_position.NO_POSITION)
        reader.state.merge_shared_endpoints(
            msgspec.structs.replace(
                told,
                changed={'b': told.changed['b']},
                position=log_position.NO_POSITION,
            )
        )
        self.assertEqual({'a', 'b'}, reader.known().keys())


class AnyOrderTest(unittest.TestCase):
    """Three nodes, of which each may start again, in any order of events."""

    # Guards against DRAIN: a node skipped changes that nobody told it again.
    def test_who_reads_on_knows_all(self) -> None:
        for seed in range(1_000):
            draw = random.Random(seed)
            log = Log(page_items=draw.choice((2, 500)))
            readers = [self.started(log) for _ in range(3)]
            for _ in range(draw.randrange(20, 80)):
                self.step(draw, log, readers)
            for reader in readers:
                for peer in readers:
                    reader.fetch_from(peer)
            for reader in readers:
                reader.read_all()
                self.assertEqual(log.present(), reader.known(), seed)

    def started(self, log: Log) -> Reader:
        reader = Reader(log)
        reader.start()
        return reader

    def step(
        self, draw: random.Random, log: Log, readers: list[Reader]
    ) -> None:
        number = draw.randrange(len(readers))
        reader = readers[number]
        chance = draw.random()
        if chance < 0.3:
            state = draw.choice(('ready', 'draining', None))
            log.write(draw.choice('abcd'), state)
        elif chance < 0.5:
            reader.ask(draw.choice(readers))
        elif chance < 0.6:
            reader.merge()
        elif chance < 0.75:
            reader.read()
        elif chance < 0.94:
            reader.serve_or_deliver()
        elif chance < 0.95:
            log.store.drop_history(TOPIC)
        else:
            readers[number] = self.started(log)


class ConfirmedTest(unittest.TestCase):
    """When a read has brought all there was at its begin."""

    # Guards against DRAIN: a snapshot of several pages counted as complete as
    # of its last page, though the first one was older.
    def test_a_snapshot_is_as_old_as_its_first_page(self) -> None:
        log = Log(page_items=2)
        for key in 'abcd':
            log.write(key, 'ready')
        reader = Reader(log)
        reader.start()
        began_s = log.loop.now_s
        deliver = reader.serve()
        log.loop.now_s += 1.0
        deliver()
        reader.read()
        self.assertIsNotNone(reader.follower.end_offset)
        self.assertEqual(began_s, reader.follower.confirmed_s)

    # Guards against DRAIN: an answer that had no room for all records counted
    # as if it had brought the last one.
    def test_a_part_of_the_records_confirms_nothing(self) -> None:
        log = Log(page_items=500)
        log.write('a', 'ready')
        reader = Reader(log)
        reader.start()
        reader.read_all()
        log.write('a', 'draining')
        log.write('b', 'ready')
        log.loop.now_s += 1.0
        reader.follower.read_now()
        with unittest.mock.patch.object(
            store,
            'decode_read',
            lambda body, offset: store.Records(
                DECODE_READ(body, offset).records[:1],
                ids.Offset(offset + 1),
                DECODE_READ(body, offset).end_offset,
            ),
        ):
            reader.read()
        self.assertEqual({'a': 'draining'}, reader.known())
        self.assertLess(reader.follower.confirmed_s, log.loop.now_s)
        reader.read()
        self.assertEqual(log.present(), reader.known())
        self.assertEqual(log.loop.now_s, reader.follower.confirmed_s)
