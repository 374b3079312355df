"""Messages of the membership protocol.

They are encoded as arrays, for a node has a few kilobytes a second for
all of its control traffic and field names would take half of that.
"""

import enum
import typing

import msgspec


class MemberState(enum.IntEnum):
    """What is believed of a member; of one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    """A probe failed; the member may still refute it."""
    DEAD = 2
    LEFT = 3
    """The member itself said that it stops."""


class _Compact(msgspec.Struct, frozen=True, array_like=True):
    """Encoded by position; new fields go to the end, with a default."""


class Profile(_Compact, frozen=True):
    """What a member says of itself, fixed for one incarnation.

    :ivar address: where the member's node process takes peers
    :ivar routers: where callers connect, ``IP:PORT`` each
    :ivar leaving: takes no new callers; still serves those it has
    :ivar relay: where it passes the log on, ``IP:PORT``; empty if not
    """

    address: str
    failure_domain: str
    region: str
    routers: tuple[str, ...] = ()
    leaving: bool = False
    relay: str = ''


class MemberUpdate(_Compact, frozen=True):
    """News about one member.

    :ivar incarnation: raised only by the member itself
    :ivar profile: present where the sender knows it
    """

    node: str
    incarnation: int
    state: MemberState
    profile: Profile | None = None


class PoolLoad(_Compact, frozen=True):
    """Load of the endpoints of one pool that a node speaks for."""

    pool: str
    endpoints: int = 0
    running: int = 0
    queued: int = 0
    slots: int = 0


class Status(_Compact, frozen=True):
    """What changes all the time at one member; may be late or lost.

    :ivar sequence: newer is higher, within one incarnation
    :ivar offset: the configuration in force, -1 for none
    :ivar digest: of that configuration, its first hexadecimal digits
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


class NodeAddress(_Compact, frozen=True):
    """A node and one of its addresses."""

    node: str
    address: str


class OffsetCount(_Compact, frozen=True):
    """How many nodes have the configuration at *offset* in force."""

    offset: int
    digest: str
    nodes: int


class DomainDigest(_Compact, frozen=True):
    """All that other failure domains hear of this one.

    :ivar maker: the member that added it up
    :ivar sequence: newer is higher, for one maker's incarnation
    :ivar routers: some of those that take new callers
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


class Items(_Compact, frozen=True):
    """What rides along on the messages of the failure detector."""

    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[DomainDigest, ...] = ()
    statuses: tuple[Status, ...] = ()


class Hello(msgspec.Struct, frozen=True, array_like=True, tag='hello'):
    """First on each connection, from either side.

    :ivar challenge: random, hexadecimal; the peer proves the key on it
    """

    environment: str
    node: str
    challenge: str


class Proof(msgspec.Struct, frozen=True, array_like=True, tag='proof'):
    """Answers the peer's challenge; see ``decide.members.peer_proof``."""

    mac: str


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='ping'):
    """Asks for an :class:`Ack`.

    :ivar believed: what the sender thinks of the receiver, which thus
        learns of a suspicion from the very node that holds it
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
    """Asks the receiver to ping *target* and to pass its answer on."""

    sequence: int
    target: NodeAddress
    believed: MemberUpdate | None
    items: Items


class Sync(msgspec.Struct, frozen=True, array_like=True, tag='sync'):
    """Everything the sender knows, for a member of its failure domain.

    :ivar wants_answer: the receiver is to send its own in return
    """

    items: Items
    wants_answer: bool


class DigestExchange(
    msgspec.Struct, frozen=True, array_like=True, tag='digest'
):
    """The sender's domain, for a member of another failure domain."""

    digest: DomainDigest
    wants_answer: bool


class Crash(msgspec.Struct, frozen=True, array_like=True, tag='crash'):
    """A :class:`requests.CrashNotice` on its way to all routers.

    :ivar pass_on: the receiver tells its own failure domain
    """

    fingerprint: str
    crashes: list[str]
    cleared: list[str]
    refused: bool
    pass_on: bool


class Grant(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """A :data:`requests.Grant` between a router's node and an owner.

    :ivar kind: ask, answer or release
    :ivar granted: of an answer
    """

    kind: typing.Literal['ask', 'answer', 'release']
    fingerprint: str
    router: str
    granted: bool = False


Handshake = Hello | Proof
Message = Ping | Ack | PingRequest | Sync | DigestExchange | Crash | Grant
Any = typing.Union[Handshake, Message]
