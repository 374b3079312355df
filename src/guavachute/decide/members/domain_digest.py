"""Digests that summarize a failure domain for nodes in other domains."""

import collections
import dataclasses
import typing

from guavachute.decide import rendezvous
from guavachute.wire import gossip

CONTACTS = 2
"""Members of a domain that exchange digests with the other domains."""

NAMED_CONTACTS = 3
"""Contacts listed in a digest."""
NAMED_ROUTERS = 8
"""Routers in a digest, which other domains can name to callers."""

OFFSETS = 4
"""Configurations in force listed in a digest, the most common ones."""
WORKSPACES = 64
"""Workspaces in each sum of a digest, those with the largest amounts."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedMember:
    """One member with its last reported profile and status."""

    node: str
    profile: gossip.Profile
    status: gossip.Status | None
    suspect: bool = False
    leaving: bool = False


def contacts(
    failure_domain: str, nodes: typing.Iterable[str], count: int = CONTACTS
) -> list[str]:
    """Which of *nodes* represent *failure_domain* to other domains.

    Members that disagree on who is present choose different contacts for
    a while, which only costs a few messages.
    """
    ranked = rendezvous.ranked(f'contacts/{failure_domain}', nodes, str)
    return ranked[:count]


def summarize(
    maker: str,
    maker_incarnation: int,
    sequence: int,
    members: list[ReportedMember],
) -> gossip.DomainDigest:
    """The digest of the failure domain of *members*.

    :param maker: the node that makes the digest
    :param sequence: higher than that of the maker's earlier digests
    :param members: the present members, *maker* included
    """
    own = next(member for member in members if member.node == maker)
    statuses = [m.status for m in members if m.status is not None]
    return gossip.DomainDigest(
        failure_domain=own.profile.failure_domain,
        region=own.profile.region,
        maker=maker,
        maker_incarnation=maker_incarnation,
        sequence=sequence,
        nodes=len(members),
        routers=_named_routers(own.profile.failure_domain, members),
        contacts=_named_contacts(own.profile.failure_domain, members),
        offsets=_offsets(statuses),
        active_requests=sum(status.active_requests for status in statuses),
        used_tokens=_sum_by_workspace(
            status.used_tokens for status in statuses
        ),
        pools=_pools(statuses),
        demand=_sum_by_workspace(status.demand for status in statuses),
    )


def is_newer(
    digest: gossip.DomainDigest, known: gossip.DomainDigest | None
) -> bool:
    """Whether *digest* is newer than *known*, by the same maker."""
    return known is None or (digest.maker_incarnation, digest.sequence) > (
        known.maker_incarnation,
        known.sequence,
    )


def _named_routers(
    failure_domain: str, members: list[ReportedMember]
) -> tuple[gossip.NodeAddress, ...]:
    open_to_callers = [
        gossip.NodeAddress(member.node, address)
        for member in members
        if not member.suspect and not member.leaving
        for address in member.profile.routers
    ]
    ranked = rendezvous.ranked(
        f'routers/{failure_domain}',
        open_to_callers,
        lambda router: router.address,
    )
    return tuple(ranked[:NAMED_ROUTERS])


def _named_contacts(
    failure_domain: str, members: list[ReportedMember]
) -> tuple[gossip.NodeAddress, ...]:
    addresses = {m.node: m.profile.address for m in members if not m.suspect}
    return tuple(
        gossip.NodeAddress(node, addresses[node])
        for node in contacts(failure_domain, addresses, NAMED_CONTACTS)
    )


def _offsets(
    statuses: list[gossip.Status],
) -> tuple[gossip.OffsetCount, ...]:
    counted = collections.Counter(
        (status.offset, status.digest) for status in statuses
    )
    return tuple(
        gossip.OffsetCount(offset, digest, nodes)
        for (offset, digest), nodes in counted.most_common(OFFSETS)
    )


def _sum_by_workspace(
    parts: typing.Iterable[dict[str, int]],
) -> dict[str, int]:
    """The sums by workspace, at most :data:`WORKSPACES` of them."""
    total: collections.Counter[str] = collections.Counter()
    for part in parts:
        total.update(part)
    return dict(total.most_common(WORKSPACES))


def _pools(statuses: list[gossip.Status]) -> tuple[gossip.PoolLoad, ...]:
    loads: dict[str, gossip.PoolLoad] = {}
    for status in statuses:
        for load in status.pools:
            so_far = loads.get(load.pool, gossip.PoolLoad(load.pool))
            loads[load.pool] = gossip.PoolLoad(
                load.pool,
                so_far.endpoints + load.endpoints,
                so_far.running + load.running,
                so_far.queued + load.queued,
                so_far.slots + load.slots,
            )
    return tuple(loads[pool] for pool in sorted(loads))


@dataclasses.dataclass(slots=True)
class _Received:
    digest: gossip.DomainDigest
    received_s: float


class RemoteDomains:
    """The latest digests of the other failure domains.

    Digests of one domain by two makers differ slightly and their
    sequences can't be compared, so the one received last is used.

    :param stale_s: age from which a digest is out of date
    """

    def __init__(self, stale_s: float) -> None:
        self._stale_s = stale_s
        self._by_maker: dict[tuple[str, str], _Received] = {}

    def merge(self, digest: gossip.DomainDigest, now_s: float) -> bool:
        """Store *digest* if it is newer; returns whether it was."""
        subject = digest.failure_domain, digest.maker
        received = self._by_maker.get(subject)
        if not is_newer(digest, received.digest if received else None):
            return False
        self._by_maker[subject] = _Received(digest, now_s)
        return True

    def fresh(self, now_s: float) -> list[gossip.DomainDigest]:
        """The latest digest of each domain whose digest isn't stale."""
        return [
            received.digest
            for received in self._latest().values()
            if now_s - received.received_s < self._stale_s
        ]

    def contacts(self) -> dict[str, list[gossip.NodeAddress]]:
        """The contacts of each domain, including those with a stale digest."""
        return {
            failure_domain: list(received.digest.contacts)
            for failure_domain, received in self._latest().items()
        }

    def discard_stale(self, now_s: float) -> None:
        """Discard stale digests, except the latest of each domain."""
        latest = {id(received) for received in self._latest().values()}
        self._by_maker = {
            subject: received
            for subject, received in self._by_maker.items()
            if id(received) in latest
            or now_s - received.received_s < self._stale_s
        }

    def _latest(self) -> dict[str, _Received]:
        latest: dict[str, _Received] = {}
        for (failure_domain, _), received in self._by_maker.items():
            known = latest.get(failure_domain)
            if known is None or received.received_s > known.received_s:
                latest[failure_domain] = received
        return latest
