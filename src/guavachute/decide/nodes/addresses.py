"""Which entry nodes a caller is told to use."""

import dataclasses
import enum
import typing

from guavachute import ids

MIN_ADDRESSES = 2
"""Nearer nodes than that are filled up with farther ones, so that a
caller has another address when one fails."""

SILENT_AFTER_S = 1.6
"""A node that was not heard for this long is no longer named."""


class Distance(enum.IntEnum):
    """How far a node is from the caller."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An entry node that may be named.

    :ivar heard_s: when its last news came
    """

    address: ids.Address
    domain: ids.FailureDomain
    region: ids.Region
    is_ready: bool
    heard_s: float


def choose(
    candidates: typing.Iterable[Candidate],
    domain: ids.FailureDomain,
    region: ids.Region,
    now_s: float,
) -> list[ids.Address]:
    """The addresses of the nearest nodes that are ready.

    Callers spread evenly over what they get, so nodes of a farther ring
    come in only if the nearer ones are fewer than
    :data:`MIN_ADDRESSES`.
    """
    rings: dict[Distance, list[ids.Address]] = {ring: [] for ring in Distance}
    for candidate in candidates:
        if candidate.is_ready and now_s - candidate.heard_s <= SILENT_AFTER_S:
            rings[_distance(candidate, domain, region)].append(
                candidate.address
            )
    chosen: list[ids.Address] = []
    for ring in Distance:
        if len(chosen) < MIN_ADDRESSES:
            chosen += sorted(rings[ring])
    return chosen


def _distance(
    candidate: Candidate, domain: ids.FailureDomain, region: ids.Region
) -> Distance:
    if candidate.domain == domain:
        return Distance.SAME_DOMAIN
    if candidate.region == region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION
