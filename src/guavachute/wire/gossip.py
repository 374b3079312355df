"""Messages of the membership protocol.

They are encoded as arrays: a node has a few kilobytes a second for all of
its control traffic, and field names would take half of that.
"""

import enum
import typing

import msgspec


class MemberState(enum.IntEnum):
    """The state of a member as other members see it.

    Of two states of one incarnation the higher value takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    """A probe failed; the member can still refute the suspicion."""
    DEAD = 2
    LEFT = 3
    """The member itself announced that it stops."""


class _ArrayMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of messages that are encoded by position.

    New fields are added at the end, with a default.
    """


class Profile(_ArrayMessage, frozen=True):
    """The properties of a member, which it sets for one incarnation.

    :ivar address: where the member's node process accepts peers
    :ivar routers: where callers connect, ``IP:PORT`` each
    :ivar leaving: it accepts no new callers but serves its current ones
    :ivar relay: where it relays the log, ``IP:PORT``; empty if it does not
    """

    address: str
    failure_domain: str
    region: str
    routers: tuple[str, ...] = ()
    leaving: bool = False
    relay: str = ''


class MemberUpdate(_ArrayMessage, frozen=True):
    """A change of the state or profile of one member.

    :ivar incarnation: only the member itself increases it
    :ivar profile: None if the sender does not know it
    """

    node: str
    incarnation: int
    state: MemberState
    profile: Profile | None = None


class PoolLoad(_ArrayMessage, frozen=True):
    """Load of the endpoints of one pool that a node reports on."""

    pool: str
    endpoints: int = 0
    running: int = 0
    queued: int = 0
    slots: int = 0


class Status(_ArrayMessage, frozen=True):
    """The frequently changing state of one member; it may be late or lost.

    :ivar sequence: grows with each status of one incarnation
    :ivar offset: offset of the configuration in force; -1 for none
    :ivar digest: first hexadecimal digits of that configuration's digest
    :ivar used_tokens: since the process started, by workspace
    :ivar demand: requests that run or wait, by workspace
    """

    node: str
    incarnation: int
    sequence: int
    offset: int = -1
    digest: str = ''
    active_requests: int = 0
    used_tokens: dict[str, int] = {}
    pools: tuple[PoolLoad, ...] = ()
    demand: dict[str, int] = {}


class NodeAddress(_ArrayMessage, frozen=True):
    """A node and one of its addresses."""

    node: str
    address: str


class OffsetCount(_ArrayMessage, frozen=True):
    """How many nodes have the configuration at *offset* in force."""

    offset: int
    digest: str
    nodes: int


class DomainDigest(_ArrayMessage, frozen=True):
    """The summary of a failure domain that other failure domains receive.

    :ivar maker: the member that computed it
    :ivar sequence: grows with each digest of one incarnation of *maker*
    :ivar nodes: how many nodes the digest stands for
    :ivar routers: some of the routers that accept new callers
    :ivar contacts: members to exchange digests with
    :ivar offsets: configurations in force, the most common first
    """

    failure_domain: str
    region: str
    maker: str
    maker_incarnation: int
    sequence: int
    nodes: int
    routers: tuple[NodeAddress, ...] = ()
    contacts: tuple[NodeAddress, ...] = ()
    offsets: tuple[OffsetCount, ...] = ()
    active_requests: int = 0
    used_tokens: dict[str, int] = {}
    pools: tuple[PoolLoad, ...] = ()
    demand: dict[str, int] = {}


class Items(_ArrayMessage, frozen=True):
    """State that is piggybacked on the messages of the failure detector."""

    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[DomainDigest, ...] = ()
    statuses: tuple[Status, ...] = ()


class Hello(msgspec.Struct, frozen=True, array_like=True, tag='hello'):
    """The first message on each connection, from either side.

    :ivar challenge: random, hexadecimal; the peer proves with it that it
        has the key
    """

    environment: str
    node: str
    challenge: str


class Proof(msgspec.Struct, frozen=True, array_like=True, tag='proof'):
    """Answers the peer's challenge; see ``decide.members.peer_proof``."""

    mac: str


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='ping'):
    """Requests an :class:`Ack`.

    :ivar believed: the receiver's state as the sender sees it. The
        receiver thus learns of a suspicion directly from the node that
        has it, and can refute it
    """

    sequence: int
    believed: MemberUpdate | None
    items: Items


class Ack(msgspec.Struct, frozen=True, array_like=True, tag='ack'):
    """Answers the :class:`Ping` or :class:`PingRequest` *sequence*."""

    sequence: int
    items: Items


class PingRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='ping-request'
):
    """Requests that the receiver ping *target* and pass its answer on."""

    sequence: int
    target: NodeAddress
    believed: MemberUpdate | None
    items: Items


class Sync(msgspec.Struct, frozen=True, array_like=True, tag='sync'):
    """The full state of the sender, for a member of its failure domain.

    :ivar wants_answer: whether the receiver sends its own state in return
    """

    items: Items
    wants_answer: bool


class DigestExchange(
    msgspec.Struct, frozen=True, array_like=True, tag='digest'
):
    """The digest of the sender's domain, for a member of another domain.

    :ivar wants_answer: whether the receiver sends its own digest in return
    """

    digest: DomainDigest
    wants_answer: bool


class Crash(msgspec.Struct, frozen=True, array_like=True, tag='crash'):
    """A :class:`requests.CrashNotice` that is broadcast to all routers.

    :ivar pass_on: whether the receiver broadcasts it in its own failure
        domain
    """

    fingerprint: str
    crashes: list[str]
    cleared: list[str]
    refused: bool
    pass_on: bool


class Grant(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """A :data:`requests.Grant` between a router's node and an owner.

    :ivar kind: which of the messages of :data:`requests.Grant` it is
    :ivar granted: whether an answer grants the attempt
    """

    kind: typing.Literal['ask', 'answer', 'release']
    fingerprint: str
    router: str
    granted: bool = False


Handshake = Hello | Proof
Message = Ping | Ack | PingRequest | Sync | DigestExchange | Crash | Grant
AnyMessage = typing.Union[Handshake, Message]
