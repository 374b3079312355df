"""Finds out, with the other nodes and the store, which build began a stream.

Each node tells its streams to the others while more than one build may have
begun them; one node writes them to a topic of the store. A node that gets a
stream of which it has not heard reads that topic. If it isn't there either, it
began before there was more than one build, or at a node that has been lost.
"""

import enum
import typing

from guavachute.decide.ingress import served_builds
from guavachute.decide.ingress import stream_origins
from guavachute.decide.ingress import stream_witnesses
from guavachute.domain import call as domain_call
from guavachute.domain import configuration
from guavachute.domain import endpoints
from guavachute.entry import control_client
from guavachute.entry import loop as entry_loop
from guavachute.entry import store_client
from guavachute.entry import store_writer
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import store
from guavachute.wire import node_updates

KEY_PREFIX = 'builds/'

STREAMS_TOPIC = 'stream-builds'

WRITE_PERIOD_S = 0.25
"""Interval at which streams are written. What began within the last interval
is not known if all nodes end."""

CHECK_PERIOD_S = 1.0
"""Interval at which old streams are forgotten, and nodes that are no readers
look for new builds."""

WRITE_RETRY_S = 1.0
READ_TIMEOUT_S = 1.0

FIND_TIMEOUT_S = 1.2
"""A stream that is taken up waits this long until its build is known: the
other nodes send updates every quarter of a second, those of other regions
every second."""

WITNESS_SILENT_S = 1.1
"""A node that may have streams to list, and sent no update for this long, is
not waited for. It is longer where nodes send updates in turns."""

STOOD_STILL_S = 0.8
"""With a longer time between two turns of the loop, this node has stood still,
and may not have heard what others sent."""


class Origin(enum.Enum):
    """What is known of the build that began a stream, if not the build."""

    PENDING = 'pending'
    """The store, or another node, has not answered yet."""
    UNKNOWN = 'unknown'


class Network(typing.Protocol):
    """What this node knows of the others, for the duties shared with them."""

    def writes_streams(self) -> bool:
        """Whether this node writes the streams of all to the store."""

    def is_reader(self) -> bool:
        """Whether this node reads the store closely."""

    def has_read_own_topic(self, since_s: float) -> bool:
        """Whether a read that began since then has brought all records.

        Otherwise one is begun.
        """

    def reaches_store(self) -> bool:
        """Whether the store answered this node, as far as is known."""

    def hears_changes(self) -> bool:
        """Whether other nodes would have told of changes by now."""

    def true_time_s(self) -> float:
        """The time of day that the nodes agree on, as Unix time."""

    def own_topic_end(self) -> ids.Offset | None:
        """The offset up to which this node has read its own topic."""

    def extra_age_s(self) -> float:
        """How much older updates may be than with few nodes, in seconds."""


class StreamBuilds:
    """The origin of streams, as one node knows it.

    :param entries: gives the known endpoints
    :param current: gives the configuration
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        client: store_client.StoreClient,
        network: Network,
        entries: typing.Callable[[], endpoints.Endpoints],
        current: typing.Callable[[], configuration.Configuration | None],
    ) -> None:
        self._loop = loop
        self._client = client
        self._network = network
        self._entries = entries
        self._current = current
        self._origins = stream_origins.StreamOrigins()
        self._builds = served_builds.ServedBuilds()
        self._witnesses = stream_witnesses.StreamWitnesses()
        self._resumable: tuple[int, frozenset[ids.ServiceName]] = (
            0,
            frozenset(),
        )
        self._is_writing = False
        self._written_s: dict[ids.ServiceName, float] = {}
        self._is_reading = False
        self._awake_since_s = self._turned_s = loop.now_s
        self._next_offset = ids.Offset(0)
        self._read_s = float('-inf')
        self._read_failed_s = float('-inf')
        client.on_new_era.append(self._handle_new_era)

    def start(self) -> None:
        """Start to write what other nodes may need."""
        self._loop.every(WRITE_PERIOD_S, self._write_streams)
        self._loop.every(CHECK_PERIOD_S, self._run)

    # -- requests ------------------------------------------------------

    def find(
        self,
        call: domain_call.Call,
        service: ids.ServiceName,
        arrived_s: float,
    ) -> ids.BuildName | Origin:
        """The build that began the stream which *call* takes up.

        :param arrived_s: when the request arrived
        """
        if call.begun_as is not None:
            key = stream_origins.stream_key(call.begun_as)
            known = self._origins.find(key)
            if known is not None:
                return known
        sole = self._builds.sole_build(service)
        if sole is not None:
            # Another build may have joined while this node stood still, or
            # was cut off without having noticed it yet.
            if self._network.has_read_own_topic(arrived_s):
                return sole
            if self._network.reaches_store():
                return Origin.PENDING
            if self._network.hears_changes():
                return sole
        if self._network.own_topic_end() is None:
            # This process has just started and doesn't know the record yet.
            return Origin.PENDING
        if call.begun_as is None:
            return Origin.UNKNOWN
        if self._read_s >= arrived_s:
            return self._find_unlisted(call, service, arrived_s)
        if self._read_failed_s >= arrived_s:
            return Origin.UNKNOWN
        self._read()
        return Origin.PENDING

    def _find_unlisted(
        self,
        call: domain_call.Call,
        service: ids.ServiceName,
        arrived_s: float,
    ) -> ids.BuildName | Origin:
        """The build that began a stream which neither node nor store lists."""
        now_s = self._loop.now_s
        former = self._builds.former_sole_build(
            service, stream_origins.KEPT_S, now_s
        )
        proof = self._witnesses.prove(
            service,
            arrived_s,
            self._update_awake_since_s(),
            self._witness_silent_s(),
            now_s,
        )
        if former is not None and proof is stream_witnesses.Proof.AWAITED:
            return Origin.PENDING
        journal.event(
            'stream-origin',
            outcome='unlisted',
            request=call.attempt_id,
            begun_as=call.begun_as,
            service=service,
            former_build=former,
            proof=proof.value,
            waited_s=round(now_s - arrived_s, 3),
        )
        if former is None or proof is not stream_witnesses.Proof.COMPLETE:
            return Origin.UNKNOWN
        return former

    def _update_awake_since_s(self) -> float:
        """Since when this node hears all that is sent to it."""
        if self._loop.now_s - self._turned_s > STOOD_STILL_S:
            self._awake_since_s = self._loop.now_s
        self._turned_s = self._loop.now_s
        return self._awake_since_s

    def _witness_silent_s(self) -> float:
        return WITNESS_SILENT_S + self._network.extra_age_s()

    def handle_begun(
        self,
        call: domain_call.Call,
        service: ids.ServiceName,
        build: ids.BuildName,
    ) -> None:
        """The first event of a stream, or of its continuation, has come."""
        self._origins.record_begun(
            stream_origins.stream_key(call.begun_as or call.attempt_id),
            service,
            build,
            self._builds.sole_build(service) != build,
            self._loop.now_s,
        )

    def handle_ended(self, call: domain_call.Call, is_complete: bool) -> None:
        """A request has ended."""
        self._origins.record_ended(
            stream_origins.stream_key(call.begun_as or call.attempt_id),
            is_complete,
        )

    def is_awaited(
        self, service: ids.ServiceName, build: ids.BuildName, now_s: float
    ) -> bool:
        """Whether other endpoints are preferred, as *build* is new.

        The other nodes have to hear of it before a stream begins there.
        """
        return service in self._services() and self._builds.is_awaited(
            service, build, now_s
        )

    # -- other nodes ---------------------------------------------------

    def told(self) -> stream_origins.StreamsByBuild:
        """The streams that the other nodes should hear of now."""
        return self._origins.told(self._loop.now_s)

    def records(self) -> list[node_updates.BuildsNotice]:
        """The builds on record, for the other nodes."""
        return [
            node_updates.BuildsNotice(
                service,
                sorted(record.builds),
                record.is_settled,
                record.position,
            )
            for service, record in self._builds.records().items()
        ]

    def unproven(self) -> list[ids.ServiceName]:
        """Services for which a node that may list streams is silent."""
        return sorted(
            self._witnesses.unproven_services(
                self._services(), self._witness_silent_s(), self._loop.now_s
            )
        )

    def merge_node_update(
        self, run: str, update: node_updates.NodeUpdate
    ) -> None:
        """Merge what another node tells.

        :param run: the name of that run of the node
        """
        now_s = self._loop.now_s
        self._origins.merge(update.streams, False, now_s)
        self._witnesses.record_node(run, _settled(update.builds), now_s)
        self._merge_notices(update.builds)

    def merge_region_update(self, update: node_updates.RegionUpdate) -> None:
        """Merge what a reader of another region tells."""
        self._witnesses.record_region(
            update.region,
            _settled(update.builds),
            None if update.unproven is None else frozenset(update.unproven),
            self._loop.now_s,
        )
        self._merge_notices(update.builds)

    def _merge_notices(
        self, notices: typing.Iterable[node_updates.BuildsNotice]
    ) -> None:
        for item in notices:
            self._merge_record(
                item.service,
                item.builds,
                item.is_settled,
                item.position,
                'peer',
            )

    # -- the store -----------------------------------------------------

    def fold(self, record: store.KeyedRecord) -> None:
        """Fold a record of the system's own topic under the key prefix."""
        service = ids.ServiceName(record.key.removeprefix(KEY_PREFIX))
        if record.value is None:
            self._builds.forget(service)
            return
        decoded = node_updates.decode_builds(record.value)
        if isinstance(decoded, outcome.Failure):
            journal.problem(
                'builds', outcome='unreadable', service=service,
                reason=str(decoded),
            )  # fmt: skip
            return
        assert record.position is not None
        self._merge_record(
            service,
            decoded.builds,
            decoded.is_settled,
            record.position,
            'store',
        )

    def _merge_record(
        self,
        service: ids.ServiceName,
        builds: typing.Sequence[ids.BuildName],
        is_settled: bool,
        position: ids.LogPosition,
        source: str,
    ) -> None:
        if not builds:
            return
        record = served_builds.Record(
            frozenset(builds), is_settled and len(builds) == 1, position
        )
        before = self._builds.records().get(service)
        is_unsettled = self._builds.merge(service, record, self._loop.now_s)
        listed = 0
        if is_unsettled:
            listed = self._origins.list_all(service, self._loop.now_s)
        if before is None or record.position > before.position:
            journal.event(
                'builds',
                outcome='settled' if record.is_settled else 'mixed',
                service=service,
                builds=sorted(record.builds),
                listed_streams=listed,
                source=source,
            )

    def _handle_new_era(self, was_known: bool) -> None:
        """The store may have lost its latest records."""
        self._next_offset = ids.Offset(0)
        self._read_s = float('-inf')
        if was_known:
            self._origins.write_again(self._loop.now_s)

    def _services(self) -> frozenset[ids.ServiceName]:
        """The services whose streams may be taken up."""
        current = self._current()
        if current is None:
            return frozenset()
        if self._resumable[0] != current.version:
            self._resumable = (
                current.version,
                frozenset(
                    target.service
                    for by_prefix in current.routes_by_host.values()
                    for route in by_prefix.values()
                    if route.is_resumable
                    for target in route.targets
                ),
            )
        return self._resumable[1]

    def _run(self) -> None:
        """Forget old streams, and settle what can be settled."""
        now_s = self._loop.now_s
        self.observe_endpoints()
        self._origins.expire(self._network.writes_streams(), now_s)
        self._witnesses.expire(now_s)
        if not self._network.is_reader():
            return
        for service in self._services():
            build = self._builds.to_settle(service, now_s)
            if build is not None:
                self._write_builds(
                    service,
                    frozenset({build}),
                    True,
                    self._network.own_topic_end(),
                )

    def observe_endpoints(self) -> None:
        """Look for new builds, and write them at once."""
        seen: dict[ids.ServiceName, set[ids.BuildName]] = {
            service: set() for service in self._services()
        }
        for entry in self._entries().values():
            if entry.service in seen:
                seen[entry.service].add(entry.build)
        for service, builds in seen.items():
            self._builds.observe(service, frozenset(builds), self._loop.now_s)
            missing = self._builds.missing(service)
            if missing is not None and self._network.is_reader():
                self._write_builds(service, missing, False, None)

    def _write_builds(
        self,
        service: ids.ServiceName,
        builds: served_builds.Builds,
        is_settled: bool,
        at: ids.Offset | None,
    ) -> None:
        """Write the builds of a service.

        :param at: write only if the topic ends there, so that no other node
            has written in between
        """
        now_s = self._loop.now_s
        if now_s - self._written_s.get(service, float('-inf')) < WRITE_RETRY_S:
            return
        if self._network.own_topic_end() is None:
            # What is on record is not known yet.
            return
        self._written_s[service] = now_s

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            is_done = (
                isinstance(reply, control_client.Reply) and reply.status == 200
            )
            journal.event(
                'builds',
                outcome='written' if is_done else 'not-written',
                service=service,
                builds=sorted(builds),
                is_settled=is_settled,
                reply=str(reply.status)
                if isinstance(reply, control_client.Reply)
                else reply.value,
            )

        store_writer.append(
            self._client,
            store.OWN_TOPIC,
            store.KeyedRecord(
                KEY_PREFIX + service,
                node_updates.encode(
                    node_updates.BuildsRecord(
                        builds=sorted(builds), is_settled=is_settled
                    )
                ),
            ),
            at,
            handle_reply,
            WRITE_RETRY_S,
        )

    def _write_streams(self) -> None:
        self._update_awake_since_s()
        if self._is_writing or not self._network.writes_streams():
            return
        streams = self._origins.unwritten()
        if not streams:
            return
        self._is_writing = True
        record = node_updates.StreamsRecord(
            wall_s=self._network.true_time_s(), streams=streams
        )

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            self._is_writing = False
            if isinstance(reply, control_client.Reply) and reply.status == 200:
                self._origins.record_written(streams)
            else:
                journal.event(
                    'streams', outcome='not-written', reason=str(reply)
                )

        self._client.call(
            store.append(STREAMS_TOPIC, [node_updates.encode(record)], None),
            handle_reply,
            WRITE_RETRY_S,
        )

    def _read(self) -> None:
        """Read the streams that were written since the last time."""
        if self._is_reading:
            return
        self._is_reading = True
        began_s = self._loop.now_s

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            self._is_reading = False
            failure = self._apply_read(reply, began_s)
            if failure is not None:
                self._read_failed_s = self._loop.now_s
                journal.event('streams', outcome='not-read', reason=failure)

        self._client.call(
            store.read(STREAMS_TOPIC, self._next_offset, 0.0),
            handle_reply,
            READ_TIMEOUT_S,
        )

    def _apply_read(
        self,
        reply: control_client.Reply | control_client.CallFailure,
        began_s: float,
    ) -> str | None:
        """Apply one read of the topic; returns why it failed."""
        if isinstance(reply, control_client.CallFailure):
            return reply.value
        if reply.status == store.TRIMMED_STATUS:
            first = store.decode_first_offset(reply.body)
            if first is None or first == self._next_offset:
                return 'no first offset'
            self._next_offset = first
            self._read()
            return None
        if reply.status != 200:
            return f'status {reply.status}'
        found = store.decode_read(reply.body, self._next_offset)
        if isinstance(found, outcome.Failure):
            return str(found)
        self._next_offset = found.next_offset
        for content in found.records:
            self._merge_written(content)
        if found.records and found.next_offset < found.end_offset:
            self._read()
        else:
            self._read_s = began_s
        return None

    def _merge_written(self, content: bytes) -> None:
        record = node_updates.decode_streams(content)
        if isinstance(record, outcome.Failure):
            journal.problem(
                'streams', outcome='unreadable', reason=str(record)
            )
            return
        age_s = self._network.true_time_s() - record.wall_s
        if age_s <= 2 * stream_origins.KEPT_S:
            self._origins.merge(record.streams, True, self._loop.now_s)


def _settled(
    notices: typing.Iterable[node_updates.BuildsNotice],
) -> frozenset[ids.ServiceName]:
    return frozenset(item.service for item in notices if item.is_settled)
