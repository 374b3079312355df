"""Which endpoints a router uses, by rendezvous hashing.

No router of a large fleet can hear every engine. Each takes those that
rank highest under a hash of both names: most of them in its own failure
domain, some outside, so that the loss of the domain leaves it work.
When an endpoint comes or goes, only its own place changes; when a
router does, only the places that it takes or leaves.
"""

import dataclasses
import heapq
import math
import typing

import xxhash

from guavachute import ids

INSIDE = 40
"""Endpoints of a router in its own failure domain."""

OUTSIDE = 10
"""Endpoints of a router in other failure domains."""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An endpoint and where it is."""

    endpoint: ids.EndpointId
    failure_domain: ids.FailureDomain


def rank(left: str, right: str) -> int:
    """The weight of a pair of names; the highest is chosen."""
    return xxhash.xxh3_64_intdigest(f'{left}|{right}'.encode())


def highest(name: str, others: typing.Iterable[str], count: int) -> list[str]:
    """The *count* names of *others* that rank highest with *name*."""
    return heapq.nlargest(count, others, key=lambda other: rank(name, other))


def choose(
    router: str,
    failure_domain: ids.FailureDomain,
    places: typing.Iterable[Place],
    routers: typing.Collection[str] = (),
    inside: int = INSIDE,
    outside: int = OUTSIDE,
) -> frozenset[ids.EndpointId]:
    """The endpoints that *router* in *failure_domain* is to use.

    What one side lacks the other makes up for, so that a small fleet is
    used whole by each of its routers.

    :param routers: the live routers of the failure domain, this one
        included. With them each endpoint inside is used by equally many
        routers and the size of the subset varies instead; without them
        it is the other way round
    """
    near: list[str] = []
    far: list[str] = []
    for place in places:
        same = place.failure_domain == failure_domain
        (near if same else far).append(place.endpoint)
    from_near = min(len(near), max(inside, inside + outside - len(far)))
    from_far = min(len(far), inside + outside - from_near)
    if from_near == len(near) or router not in routers:
        chosen = highest(router, near, from_near)
    else:
        chosen = _by_endpoints(router, near, routers, from_near)
    chosen += highest(router, far, from_far)
    return frozenset(ids.EndpointId(name) for name in chosen)


def _by_endpoints(
    router: str,
    endpoints: list[str],
    routers: typing.Collection[str],
    count: int,
) -> list[str]:
    """The endpoints among whose highest ranking routers *router* is."""
    each = math.ceil(len(routers) * count / len(endpoints))
    chosen = []
    for endpoint in endpoints:
        own = rank(router, endpoint)
        above = sum(rank(other, endpoint) > own for other in routers)
        if above < each:
            chosen.append(endpoint)
    return chosen
