"""Messages between entry nodes, and records about them in the store.

Updates are sent as msgpack datagrams. Shared state is requested from a
peer, also as msgpack.
"""

import typing
import zlib

import msgspec

from guavachute.domain import log_position
from guavachute.domain import net_address
from guavachute import ids
from guavachute import outcome
from guavachute.wire import requests
from guavachute.wire import untrusted


Address = typing.Annotated[str, msgspec.Meta(pattern=net_address.CONNECTABLE)]
AddressOrEmpty = typing.Annotated[
    str, msgspec.Meta(pattern=net_address.CONNECTABLE_OR_EMPTY)
]


class EndpointWork(msgspec.Struct, frozen=True, array_like=True):
    """A node's outstanding work and recent results at one endpoint.

    :ivar requests: outstanding requests of the node
    :ivar waiting_tokens: uncached prompt tokens of those for which no
        token was generated yet
    :ivar failed_tenths: recent failures in tenths; the count decays, so
        that old failures have less weight
    :ivar answered_tenths: all recent results, counted in the same way
    :ivar heard_ds: how long ago the node last received something from the
        endpoint, in tenths of a second, rounded up; None if not known
    """

    requests: int
    waiting_tokens: int
    failed_tenths: int = 0
    answered_tenths: int = 0
    heard_ds: int | None = None


class PartNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of a prompt part that may crash engines.

    :ivar crashes: by crash, how long ago it happened, in tenths of a second
    :ivar moments: how many moments with a crash are known
    :ivar cleared_ds: how long ago an answer proved the part harmless, in
        tenths of a second; None if none did
    """

    part: str
    crashes: dict[ids.CrashId, int]
    moments: int
    cleared_ds: int | None = None


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """A limit that one incarnation of an endpoint has named.

    :ivar start_ms: start of the incarnation, as Unix time
    :ivar limit_per_s: requests per second that it accepts from all nodes
    :ivar named_ds: how long ago it named the limit last, in tenths of a second
    :ivar ended_ds: how long ago the limit ended, in the same unit; None while
        it holds
    """

    endpoint: ids.EndpointId
    start_ms: int
    limit_per_s: float
    named_ds: int
    ended_ds: int | None = None


class BuildsNotice(msgspec.Struct, frozen=True, array_like=True):
    """The builds of one service on record in the store.

    :ivar is_settled: whether streams that go on began at the only one
    :ivar position: of the record in its topic
    """

    service: ids.ServiceName
    builds: list[ids.BuildName]
    is_settled: bool
    position: ids.LogPosition


class EndpointCapacity(msgspec.Struct, frozen=True, array_like=True):
    """What a node, or a region, has found about the capacity of an endpoint.

    :ivar slowdown_percent: how long work takes there, in percent of the usual
        time
    :ivar limit_percent: the share of its slots that it handles well
    :ivar measured_ds: how long ago that was found, in tenths of a second
    """

    slowdown_percent: untrusted.Count
    limit_percent: untrusted.Count
    measured_ds: untrusted.Count


class RolloutNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a node, or the nodes of a region, know of one roll-out.

    :ivar request_id: of the operator's request
    :ivar request_position: of the request in its topic
    :ivar duration_s: how long the roll-out may take
    :ivar record: the latest known record, encoded; empty if there is none
    :ivar record_position: of that record in its topic
    :ivar proof_ds: how long ago it was certainly the latest one, in tenths of
        a second, rounded up; None without proof
    :ivar bad: why the sender has found the target bad; empty if it hasn't
    :ivar requests: requests to the service since the request
    :ivar sent: those that were sent to the target
    :ivar old_running: requests that run at endpoints of other versions
    :ivar behind: how many nodes of the region don't know *record*
    :ivar routes: by route, the counts of
        :class:`guavachute.decide.ingress.rollouts.results.Counts`
    :ivar is_refusing: whether the sender refuses all requests to the service,
        as it may not know the latest record
    """

    service: ids.ServiceName
    request_id: str
    request_position: ids.LogPosition
    target: ids.BuildName
    duration_s: untrusted.Number
    record: bytes = b''
    record_position: ids.LogPosition = log_position.NO_POSITION
    proof_ds: untrusted.Count | None = None
    bad: str = ''
    requests: untrusted.Integer = 0
    sent: untrusted.Integer = 0
    old_running: untrusted.Count = 0
    behind: untrusted.Count = 0
    routes: dict[str, list[int]] = {}
    is_refusing: bool = False


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that a node's callers offer to a service."""

    prompt_tokens_per_s: float
    output_tokens_per_s: float


class RegionUpdate(msgspec.Struct, frozen=True, array_like=True, tag='region'):
    """The sums of a reader over all nodes of its region.

    If there are many nodes, only these updates are sent between regions.

    :ivar node: the reader that computed the sums
    :ivar run: random, different for each start of the reader's process
    :ivar sequence: grows with each update of one run
    :ivar readers: addresses at which the region's readers receive updates
    :ivar age_s: how long ago the run started
    :ivar nodes: how many nodes of the region the reader knows
    :ivar ready: callers' address and failure domain of some ready nodes
    :ivar wall_s: the reader's time of day, as Unix time
    :ivar spent: as in :class:`NodeUpdate`, summed over the nodes
    :ivar load: by service, summed over the nodes
    :ivar usage: requests of the newest windows, by window and workspace
    :ivar update_ages_ds: how long ago each node sent its last update, in
        tenths of a second
    :ivar parts: as in :class:`NodeUpdate`
    :ivar limits: as in :class:`NodeUpdate`, of the region's endpoints
    :ivar builds: as in :class:`NodeUpdate`
    :ivar relays: node, address and failure domain of some nodes that pass
        requests on to endpoints
    :ivar heard: how long ago the region's nodes heard endpoints, in tenths of
        a second; those heard lately
    :ivar unproven: services for which a node of the region has fallen silent
        that may have streams to list; None if the reader doesn't tell
    :ivar capacity: by endpoint of the region, those whose capacity is not as
        usual
    :ivar queued: as in :class:`NodeUpdate`, summed over the nodes
    :ivar rollouts: roll-outs that the operator requests, with the counts of
        all nodes of the region
    """

    region: str
    node: str
    run: int
    sequence: int
    readers: list[Address]
    age_s: float
    nodes: int
    ready: list[tuple[Address, str]]
    wall_s: float
    spent: dict[ids.WorkspaceName, tuple[float, float, float]]
    load: dict[ids.ServiceName, ServiceLoad]
    usage: dict[int, dict[ids.WorkspaceName, int]]
    update_ages_ds: list[int]
    crashes: list[requests.CrashNotice]
    parts: list[PartNotice] = []
    limits: list[LimitNotice] = []
    builds: list[BuildsNotice] = []
    relays: list[tuple[str, Address, str]] = []
    heard: dict[ids.EndpointId, int] = {}
    unproven: list[ids.ServiceName] | None = None
    capacity: dict[ids.EndpointId, EndpointCapacity] = {}
    queued: dict[ids.WorkspaceName, float] = {}
    rollouts: list[RolloutNotice] = []


class NodeUpdate(msgspec.Struct, frozen=True, array_like=True, tag='node'):
    """The state of one node, which it sends several times a second.

    :ivar run: random, different for each start of the process
    :ivar sequence: grows with each update of one run
    :ivar peers_address: where the node receives updates and serves its
        state to peers
    :ivar callers_address: where the node accepts callers
    :ivar domain: the node's failure domain
    :ivar age_s: how long ago the run started
    :ivar wall_s: the node's time of day, as Unix time
    :ivar is_ready: whether the node is ready to serve callers
    :ivar is_reader: whether it is a reader, which reads the store closely
        and computes the sums of its region
    :ivar configuration_version: 0 while it has none
    :ivar endpoints_version: position of the newest entry in the store that
        changed the endpoints that the node knows
    :ivar reaches_store: whether the store answers the node
    :ivar spent: by workspace, the amount admitted since the start, the
        amount admitted per second and the estimated remaining quota, in
        the unit of the quota
    :ivar load: by service, the load that callers offer
    :ivar work: by endpoint, the node's outstanding work
    :ivar usage: by window and workspace, the number of requests that
        started. If there are many nodes, it is sent to readers only
    :ivar crashes: reports of requests that crashed endpoints
    :ivar region_updates: updates of other regions that a reader passes on
    :ivar store_era: the latest era of the store that the node knows; None if
        it knows none
    :ivar leaving: endpoints that have told the node that they leave, with the
        start of their incarnation as Unix time in milliseconds
    :ivar parts: prompt parts that are suspected of crashing engines, or that
        were cleared lately; also what other nodes have told
    :ivar limits: limits that endpoints have named to the node, and those that
        it keeps as one of the few nodes that may send
    :ivar builds: the builds of services on record, as the node knows them
    :ivar streams: streams that callers may take up, by the build of the
        endpoint that began them
    :ivar relay_address: where it accepts requests of other nodes, to pass them
        on to endpoints; empty if it doesn't
    :ivar reaches_endpoints: False if it is cut off from all endpoints
    :ivar endpoints_age_ds: how long ago it certainly knew all entries, in
        tenths of a second, rounded up; None if it doesn't tell
    :ivar endpoints_position: it knows all entries before this position;
        negative if it doesn't tell
    :ivar capacity: by endpoint, what the node has found itself; those whose
        capacity is not as usual or not as other nodes have told
    :ivar queued: by workspace whose quota is short, what callers ask of it
        per second, in its unit
    :ivar rollouts: roll-outs that the operator requests, with the counts of
        the node
    """

    node: str
    run: int
    sequence: int
    peers_address: Address
    callers_address: Address
    domain: str
    region: str
    age_s: float
    wall_s: float
    is_ready: bool
    is_reader: bool
    configuration_version: int
    endpoints_version: int
    reaches_store: bool
    spent: dict[ids.WorkspaceName, tuple[float, float, float]]
    load: dict[ids.ServiceName, ServiceLoad]
    work: dict[str, EndpointWork]
    usage: dict[int, dict[ids.WorkspaceName, int]]
    crashes: list[requests.CrashNotice]
    region_updates: list[RegionUpdate] = []
    store_era: ids.StoreEra | None = None
    leaving: list[tuple[ids.EndpointId, int]] = []
    parts: list[PartNotice] = []
    limits: list[LimitNotice] = []
    builds: list[BuildsNotice] = []
    streams: dict[ids.BuildName, list[ids.StreamKey]] = {}
    relay_address: AddressOrEmpty = ''
    reaches_endpoints: bool = True
    endpoints_age_ds: int | None = None
    endpoints_position: ids.LogPosition = log_position.NO_POSITION
    capacity: dict[ids.EndpointId, EndpointCapacity] = {}
    queued: dict[ids.WorkspaceName, float] = {}
    rollouts: list[RolloutNotice] = []


Update = NodeUpdate | RegionUpdate


class NodeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A node's entry in the store, with the address for updates to it."""

    node: str
    run: int
    peers_address: Address
    region: str = ''


class DutyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The lease of the duties and the usage counts its holders decided.

    A holder writes the counts here before it reports them. If it dies, the
    next holder repeats exactly the same report.

    :ivar record_id: random, different for each record
    :ivar holder: the process that holds the lease, unique to each start
    :ivar usage: the counts to report, by window and workspace
    :ivar era: the store's era that the holder knew. In another era the record
        is no lease: the store has lost it, or appended it late.
    :ivar first_window: windows before this one are reported only if *usage*
        has them, as the store may have lost what was decided about them
    """

    record_id: str
    holder: str
    duration_s: float
    usage: dict[int, dict[ids.WorkspaceName, int]] = {}
    era: ids.StoreEra = ids.StoreEra(0)
    first_window: int = 0


class PartRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record in the store of a prompt part that crashes engines."""

    crashes: list[ids.CrashId]
    moments: int


class BuildsRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record in the store of the builds of one service.

    :ivar is_settled: whether streams that go on began at the only one
    """

    builds: list[ids.BuildName]
    is_settled: bool = False


class RolloutRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record in the store of one service's roll-out.

    :ivar step: see :class:`guavachute.decide.ingress.rollouts.record.Step`
    :ivar begun_s: when the request was first seen, as Unix time
    :ivar changed_s: when the step was recorded, as Unix time
    :ivar share: part of the requests that the target gets
    :ivar withheld: other versions that get no requests
    :ivar old: the versions that the target replaces
    :ivar requests: requests to the service until then
    :ivar sent: those that were sent to the target
    :ivar fence: the fencing token of the holder that wrote it
    """

    request_id: str
    request_position: ids.LogPosition
    target: ids.BuildName
    duration_s: untrusted.Number
    begun_s: untrusted.Number
    changed_s: untrusted.Number
    step: typing.Annotated[int, msgspec.Meta(ge=0, le=7)]
    share: typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
    withheld: list[ids.BuildName] = []
    old: list[ids.BuildName] = []
    requests: untrusted.Integer = 0
    sent: untrusted.Integer = 0
    reason: str = ''
    fence: int = 0


class StreamsRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Streams that began lately, by the build that began them.

    :ivar wall_s: when it was written, as Unix time
    """

    wall_s: float
    streams: dict[ids.BuildName, list[ids.StreamKey]]


class CapacityRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record in the store of the usual times of a service's work.

    They are in microseconds; those that were not measured are None.

    :ivar first_token: the time to the first token of a prompt without tokens,
        and the time for each thousand tokens
    :ivar plain: the time of plain requests at an idle endpoint, and what is
        added at one with all slots occupied
    :ivar slot: how long a request has a slot
    :ivar token: time per generated token, as its share of a batch step, in
        nanoseconds
    """

    first_token: tuple[untrusted.Count, untrusted.Count] | None = None
    plain: tuple[untrusted.Count, untrusted.Count] | None = None
    slot: untrusted.Count | None = None
    token: untrusted.Count | None = None


class StoreEntry(msgspec.Struct, frozen=True, array_like=True):
    """The stored bytes of an endpoint's entry, and its position."""

    position: ids.LogPosition
    value: bytes


class SharedConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A node's configuration, for peers that do not have it.

    :ivar deflated: the stored bytes, deflated
    :ivar next_position: the position after its record in the store's topic
    """

    deflated: bytes
    version: int
    next_position: ids.LogPosition


class SharedEndpoints(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoint entries that a node has read and a peer has not.

    :ivar changed: changed entries, by endpoint id
    :ivar removed: positions of the removals, by endpoint id
    :ivar is_whole: whether *changed* contains all existing entries
    :ivar position: the position up to which the entries have been read
    :ivar version: position of the newest entry that changed anything
    """

    changed: dict[str, StoreEntry]
    removed: dict[str, ids.LogPosition]
    is_whole: bool
    position: ids.LogPosition
    version: ids.LogPosition


_encoder = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Return *message* in msgpack."""
    return _encoder.encode(message)


_update_decoder = msgspec.msgpack.Decoder(Update)


def decode_update(data: bytes) -> Update | outcome.Failure:
    """Decode a datagram from another node."""
    return untrusted.decode(_update_decoder.decode, data, 'update')


def decode_configuration(
    data: bytes,
) -> SharedConfiguration | outcome.Failure:
    """Decode a peer's configuration; its content stays deflated."""
    return _decode(data, SharedConfiguration)


def decode_endpoints(data: bytes) -> SharedEndpoints | outcome.Failure:
    """Decode the endpoint entries that a peer sent."""
    return _decode(data, SharedEndpoints)


def deflate(text: bytes) -> bytes:
    """Compress *text*, which is effective because routes are similar."""
    return zlib.compress(text)


def inflate(deflated: bytes) -> bytes | outcome.Failure:
    """Decompress the result of :func:`deflate`."""
    try:
        return zlib.decompress(deflated)
    except zlib.error as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, f'inflate: {error}')


def decode_node(data: bytes) -> NodeRecord | outcome.Failure:
    """Decode a node's entry in the store."""
    return _decode(data, NodeRecord)


def decode_duty(data: bytes) -> DutyRecord | outcome.Failure:
    """Decode the record of the duties' lease."""
    return _decode(data, DutyRecord)


def decode_part(data: bytes) -> PartRecord | outcome.Failure:
    """Decode the record of a part that crashes engines."""
    return _decode(data, PartRecord)


def decode_builds(data: bytes) -> BuildsRecord | outcome.Failure:
    """Decode the record of a service's builds."""
    return _decode(data, BuildsRecord)


def decode_rollout(data: bytes) -> RolloutRecord | outcome.Failure:
    """Decode the record of a service's roll-out."""
    return _decode(data, RolloutRecord)


def decode_streams(data: bytes) -> StreamsRecord | outcome.Failure:
    """Decode a record of streams."""
    return _decode(data, StreamsRecord)


def decode_capacity(data: bytes) -> CapacityRecord | outcome.Failure:
    """Decode a record of the usual times of a service's work."""
    return _decode(data, CapacityRecord)


Message = typing.TypeVar('Message', bound=msgspec.Struct)


def _decode(data: bytes, expected: type[Message]) -> Message | outcome.Failure:
    decoder = msgspec.msgpack.Decoder(expected)
    return untrusted.decode(decoder.decode, data, expected.__name__)
