"""Chooses the routers whose addresses a caller gets.

The answer is the first level of load balancing: callers keep it for its
lifetime and connect to the addresses in it. These are spread over failure
domains, so that a caller can always fall back on another one. Calls with
the same model and affinity hint get the same routers, whose endpoints
then have the prefix in their caches.
"""

import dataclasses
import typing

from guavachute.decide.members import membership
from guavachute.decide import rendezvous

MAXIMUM_ADDRESSES = 6
PREFERRED_WEIGHT = 8
"""Weight of the first address if the caller gave an affinity hint."""
LOCAL_WEIGHT = 2
REMOTE_WEIGHT = 1

DRAIN_MARGIN_S = 2.0
"""Allows for callers with a slow clock or a connect still under way."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRouter:
    """A router that callers could use.

    :ivar suspect: it may be dead; named only if no other router is left
    :ivar warmth: from 0 to 1, how likely its endpoints have the prefix
        in their caches
    """

    node: str
    address: str
    failure_domain: str
    region: str
    leaving: bool = False
    suspect: bool = False
    warmth: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A caller's query for router addresses.

    :ivar region: the region nearest to the caller; defaults to that of
        the router that handles the query
    :ivar affinity: any text shared by calls with a common prefix; None
        spreads calls over all routers
    :ivar spread: a number that differs from call to call; replaces the
        affinity hint if there is none
    """

    model: str
    region: str
    affinity: str | None = None
    spread: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedAddress:
    """One address of the answer.

    :ivar weight: callers choose addresses in proportion to it
    """

    address: str
    weight: int
    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddressAnswer:
    """The answer, best address first.

    :ivar ttl_s: for how long the caller may use it
    """

    addresses: tuple[WeightedAddress, ...]
    ttl_s: float


def known_routers(snapshot: membership.Snapshot) -> list[KnownRouter]:
    """All local routers, and those named in other domains' digests."""
    local = [
        KnownRouter(
            node=member.node,
            address=address,
            failure_domain=member.profile.failure_domain,
            region=member.profile.region,
            leaving=member.leaving,
            suspect=member.suspect,
        )
        for member in snapshot.members
        for address in member.profile.routers
    ]
    remote = [
        KnownRouter(
            node=router.node,
            address=router.address,
            failure_domain=digest.failure_domain,
            region=digest.region,
        )
        for digest in snapshot.domains
        for router in digest.routers
    ]
    return local + remote


def answer(
    routers: typing.Iterable[KnownRouter],
    query: Query,
    ttl_s: float,
    maximum: int = MAXIMUM_ADDRESSES,
) -> AddressAnswer:
    """At most *maximum* addresses of *routers*, spread over domains.

    Leaving routers are never included. Suspects are included only if all
    routers are suspects, since then the fault is more likely on this side.
    """
    usable = [router for router in routers if not router.leaving]
    trusted = [router for router in usable if not router.suspect]
    ranked = _rank(trusted or usable, query)
    chosen = _spread(ranked, maximum)
    return AddressAnswer(
        tuple(
            WeightedAddress(
                router.address,
                _weight(index, router, query),
                router.failure_domain,
                router.region,
            )
            for index, router in enumerate(chosen)
        ),
        ttl_s,
    )


def drain_wait_s(
    longest_ttl_s: float,
    update_delay_s: float,
    margin_s: float = DRAIN_MARGIN_S,
) -> float:
    """How long a leaving router continues to accept new callers.

    Other routers name it in their answers until they learn that it
    leaves, and callers keep an answer for its lifetime.

    :param longest_ttl_s: the longest lifetime of recent answers from any
        router
    :param update_delay_s: until every router knows that this one leaves
    """
    return longest_ttl_s + update_delay_s + margin_s


def _rank(routers: list[KnownRouter], query: Query) -> list[KnownRouter]:
    """Sorted by the query's region, then warmth, then rendezvous hash."""
    hint = query.affinity
    key = f'{query.model}/{query.spread if hint is None else hint}'
    hashed = rendezvous.ranked(key, routers, lambda router: router.address)
    return sorted(
        hashed,
        key=lambda router: (router.region != query.region, -router.warmth),
    )


def _spread(ranked: list[KnownRouter], maximum: int) -> list[KnownRouter]:
    """The best router of each domain, then the second of each, and so on."""
    turn_of_domain: dict[str, int] = {}
    turns = []
    for router in ranked:
        turn = turn_of_domain.get(router.failure_domain, 0)
        turn_of_domain[router.failure_domain] = turn + 1
        turns.append(turn)
    in_turns = sorted(range(len(ranked)), key=lambda index: turns[index])
    return [ranked[index] for index in in_turns[:maximum]]


def _weight(index: int, router: KnownRouter, query: Query) -> int:
    if index == 0 and query.affinity is not None:
        return PREFERRED_WEIGHT
    return LOCAL_WEIGHT if router.region == query.region else REMOTE_WEIGHT
