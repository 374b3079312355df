"""What entry nodes tell each other, as msgpack datagrams."""

import typing
import zlib

import msgspec

from guavachute import ids
from guavachute import outcome
from guavachute.wire import requests


class WorkNews(msgspec.Struct, frozen=True, array_like=True):
    """A node's work at one endpoint, and its results there of late.

    :ivar failed_tenths: failures of late, in tenths, as old ones count
        less
    :ivar answered_tenths: all results of late
    """

    requests: int
    waiting_tokens: int
    failed_tenths: int = 0
    answered_tenths: int = 0


class LoadNews(msgspec.Struct, frozen=True, array_like=True):
    """What a node's callers ask of a service."""

    prompt_tokens_per_s: float
    output_tokens_per_s: float


class RegionNews(msgspec.Struct, frozen=True, array_like=True, tag='region'):
    """What a reader says of all nodes of its region, added up.

    Between regions only these go, where there are many nodes.

    :ivar node: the reader that added up, in its *run*
    :ivar readers: where the region's readers take news
    :ivar age_s: how long ago the run began
    :ivar nodes: how many nodes the region has, as far as is known
    :ivar ready: callers' address and failure domain of some ready nodes
    :ivar spent: as in :class:`NodeNews`, of all the nodes
    :ivar usage: of the newest windows
    :ivar told_ago_ds: how long ago each node told, in tenths of a second
    """

    region: str
    node: str
    run: int
    sequence: int
    readers: list[str]
    age_s: float
    nodes: int
    ready: list[tuple[str, str]]
    wall_s: float
    spent: dict[ids.WorkspaceName, tuple[float, float, float]]
    load: dict[ids.ServiceName, LoadNews]
    usage: dict[int, dict[ids.WorkspaceName, int]]
    told_ago_ds: list[int]
    crashes: list[requests.CrashNotice]


class NodeNews(msgspec.Struct, frozen=True, array_like=True, tag='node'):
    """What one node says of itself, several times a second.

    :ivar run: random, new at each start of the process
    :ivar sequence: grows with each message of one run
    :ivar peers_address: where it takes news and serves its state
    :ivar age_s: how long ago the run began
    :ivar wall_s: its clock's time of day
    :ivar is_reader: whether it reads the store closely, and adds up
    :ivar configuration_version: 0 while it has none
    :ivar endpoints_version: offset of the newest entry that changed
        what it knows of the endpoints
    :ivar reaches_store: whether the store answers it
    :ivar spent: by workspace, what it admitted since its start, what
        it admits per second and what it takes to be left, in the unit of
        the quota
    :ivar load: by service, what callers ask for
    :ivar work: by endpoint
    :ivar usage: by window and workspace, requests that began; where
        there are many nodes, only readers are told
    :ivar beyond: a reader passes on what it hears of other regions
    """

    node: str
    run: int
    sequence: int
    peers_address: str
    callers_address: str
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
    load: dict[ids.ServiceName, LoadNews]
    work: dict[str, WorkNews]
    usage: dict[int, dict[ids.WorkspaceName, int]]
    crashes: list[requests.CrashNotice]
    beyond: list[RegionNews] = []


News = NodeNews | RegionNews


class NodeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A node's entry in the store: where to send it news."""

    node: str
    run: int
    peers_address: str
    region: str = ''


class DutyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The lease of the duties, and what its holders decided.

    A holder writes what it will report before it reports it, so that
    the next one repeats the same counts and no others.

    :ivar record_id: random, of this record
    :ivar usage: by window, the counts that were decided
    """

    record_id: str
    holder: str
    duration_s: float
    usage: dict[int, dict[ids.WorkspaceName, int]] = {}


class EntryNews(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's entry as it lies in the store, and its offset."""

    offset: ids.Offset
    value: bytes


class SharedConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that a node has, for peers that lack it.

    :ivar deflated: as it lies in the store, deflated
    :ivar next_offset: the place after its record in the store's topic
    """

    deflated: bytes
    version: int
    next_offset: ids.Offset


class SharedEndpoints(msgspec.Struct, frozen=True, kw_only=True):
    """The entries that a node has read beyond what a peer has.

    :ivar changed: entries by id that changed
    :ivar removed: ids whose entries are gone, with the offset of that
    :ivar is_whole: whether *changed* are all that there are
    :ivar offset: how far the entries have been read
    :ivar version: the newest that changed anything
    """

    changed: dict[str, EntryNews]
    removed: dict[str, ids.Offset]
    is_whole: bool
    offset: ids.Offset
    version: ids.Offset


_encoder = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """*message* as msgpack."""
    return _encoder.encode(message)


_news_decoder = msgspec.msgpack.Decoder(News)


def decode_news(data: bytes) -> News | outcome.Failure:
    """A datagram from another node."""
    try:
        return _news_decoder.decode(data)
    except msgspec.MsgspecError as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, f'news: {error}')


def decode_configuration(
    data: bytes,
) -> SharedConfiguration | outcome.Failure:
    """A peer's configuration, which is still deflated."""
    return _decode(data, SharedConfiguration)


def decode_endpoints(data: bytes) -> SharedEndpoints | outcome.Failure:
    """What a peer knows of the endpoints."""
    return _decode(data, SharedEndpoints)


def deflate(text: bytes) -> bytes:
    """*text* in fewer bytes; routes look much alike."""
    return zlib.compress(text)


def inflate(deflated: bytes) -> bytes | outcome.Failure:
    """What was deflated."""
    try:
        return zlib.decompress(deflated)
    except zlib.error as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, f'inflate: {error}')


def decode_node(data: bytes) -> NodeRecord | outcome.Failure:
    """A node's entry in the store."""
    return _decode(data, NodeRecord)


def decode_duty(data: bytes) -> DutyRecord | outcome.Failure:
    """The record of the duties' lease."""
    return _decode(data, DutyRecord)


Message = typing.TypeVar('Message', bound=msgspec.Struct)


def _decode(data: bytes, expected: type[Message]) -> Message | outcome.Failure:
    try:
        return msgspec.msgpack.decode(data, type=expected)
    except msgspec.MsgspecError as error:
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST, f'{expected.__name__}: {error}'
        )
