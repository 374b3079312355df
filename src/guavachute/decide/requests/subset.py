"""Selects the subset of endpoints that a router uses, by rendezvous hashing.

In a large fleet no router can receive reports from every engine. Each
router uses the endpoints that rank highest under a hash of both names:
most of them in its own failure domain, some in others, so that it still
has endpoints if its failure domain is lost. When an endpoint joins or
leaves, only that endpoint enters or leaves the subsets, with a substitute
where needed; when a router does, only the endpoints that it gains or
loses are affected.
"""

import dataclasses
import heapq
import math
import typing

import xxhash

from guavachute import ids

INSIDE = 40
"""How many endpoints a router uses in its own failure domain."""

OUTSIDE = 10
"""How many endpoints a router uses in other failure domains."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLocation:
    """An endpoint and its failure domain."""

    endpoint: ids.EndpointId
    failure_domain: ids.FailureDomain


def rank(left: str, right: str) -> int:
    """Return the rendezvous weight of a pair of names.

    The pair with the highest weight is chosen.
    """
    return xxhash.xxh3_64_intdigest(f'{left}|{right}'.encode())


def highest(name: str, others: typing.Iterable[str], count: int) -> list[str]:
    """Return the *count* names of *others* that rank highest with *name*."""
    return heapq.nlargest(count, others, key=lambda other: rank(name, other))


def choose(
    router: str,
    failure_domain: ids.FailureDomain,
    locations: typing.Iterable[EndpointLocation],
    routers: typing.Collection[str] = (),
    inside: int = INSIDE,
    outside: int = OUTSIDE,
) -> frozenset[ids.EndpointId]:
    """Return the endpoints that *router* in *failure_domain* uses.

    If there are too few endpoints inside or outside the failure domain,
    more of the other kind are used. In a small fleet each router thus
    uses all endpoints.

    :param routers: the live routers of the failure domain, including this
        one. If given, each endpoint in the failure domain is used by the
        same number of routers, and the size of the subset varies. If not,
        the size is fixed and the number of routers per endpoint varies
    :param inside: endpoints to use in the failure domain
    :param outside: endpoints to use in other failure domains
    """
    inside_names: list[str] = []
    outside_names: list[str] = []
    for location in locations:
        same = location.failure_domain == failure_domain
        (inside_names if same else outside_names).append(location.endpoint)
    inside_count = min(
        len(inside_names), max(inside, inside + outside - len(outside_names))
    )
    outside_count = min(len(outside_names), inside + outside - inside_count)
    if inside_count == len(inside_names) or router not in routers:
        chosen = highest(router, inside_names, inside_count)
    else:
        chosen = _chosen_by_endpoints(
            router, inside_names, routers, inside_count
        )
    chosen += highest(router, outside_names, outside_count)
    return frozenset(ids.EndpointId(name) for name in chosen)


def _chosen_by_endpoints(
    router: str,
    endpoints: list[str],
    routers: typing.Collection[str],
    count: int,
) -> list[str]:
    """Return the endpoints that rank *router* among their highest routers."""
    routers_per_endpoint = math.ceil(len(routers) * count / len(endpoints))
    chosen = []
    for endpoint in endpoints:
        own = rank(router, endpoint)
        above = sum(rank(other, endpoint) > own for other in routers)
        if above < routers_per_endpoint:
            chosen.append(endpoint)
    return chosen
