"""Chooses the entry nodes whose addresses a caller gets."""

import dataclasses
import enum
import typing

from guavachute import ids

MIN_ADDRESSES = 2
"""With fewer nodes than this at the smallest distance, nodes at larger
distances are added, so that a caller has another address when one fails."""

SILENT_AFTER_S = 1.6
"""A node without an update for longer than this is left out."""


class Distance(enum.IntEnum):
    """Network distance of a node from the caller."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2
    CUT_OFF = 3
    """Anywhere, and without links to endpoints."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An entry node whose address callers could get.

    :ivar is_ready: whether it accepts requests
    :ivar last_update_s: when its last update arrived
    :ivar reaches_endpoints: whether it sends requests to endpoints itself;
        otherwise each one is another node's work too
    """

    address: ids.Address
    domain: ids.FailureDomain
    region: ids.Region
    is_ready: bool
    last_update_s: float
    reaches_endpoints: bool = True


def choose(
    candidates: typing.Iterable[Candidate],
    domain: ids.FailureDomain,
    region: ids.Region,
    now_s: float,
) -> list[ids.Address]:
    """The addresses of the nearest nodes that are ready.

    Callers spread their requests evenly over the addresses, so nodes at
    a larger distance are included only if there are fewer than
    :data:`MIN_ADDRESSES` nearer ones, and nodes that reach no endpoint only if
    there are fewer than that at any distance.

    :param domain: the caller's failure domain
    :param region: the caller's region
    """
    by_distance: dict[Distance, list[ids.Address]] = {
        distance: [] for distance in Distance
    }
    for candidate in candidates:
        if (
            candidate.is_ready
            and now_s - candidate.last_update_s <= SILENT_AFTER_S
        ):
            distance = _distance(candidate, domain, region)
            if not candidate.reaches_endpoints:
                distance = Distance.CUT_OFF
            by_distance[distance].append(candidate.address)
    chosen: list[ids.Address] = []
    for distance in Distance:
        if len(chosen) < MIN_ADDRESSES:
            chosen += sorted(by_distance[distance])
    return chosen


def _distance(
    candidate: Candidate, domain: ids.FailureDomain, region: ids.Region
) -> Distance:
    if candidate.domain == domain:
        return Distance.SAME_DOMAIN
    if candidate.region == region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION
