"""Calls to the cloud that one node makes at a time."""

import typing

import msgspec

from guavachute.domain import call
from guavachute import ids

USAGE_TARGET = b'/usage'
ORDER_TARGET = b'/desired-capacity'
SUPERSEDED_STATUS = 409
"""A higher fencing token was seen, or none of the kind can be had."""


class _Usage(msgspec.Struct, frozen=True, rename='camel'):
    window_id: int
    counts: dict[str, int]


class _Order(msgspec.Struct, frozen=True, omit_defaults=True):
    service: str
    zone: str
    desired: int
    spot: bool = False


def usage(
    window: int, counts: typing.Mapping[ids.WorkspaceName, int]
) -> bytes:
    """The requests of each workspace that began in a window."""
    return msgspec.json.encode(
        _Usage(window, {name: counts[name] for name in sorted(counts)})
    )


def order(
    service: ids.ServiceName,
    domain: ids.FailureDomain,
    wanted: int,
    is_reclaimable: bool,
) -> bytes:
    """Order *wanted* endpoints of one kind in a failure domain."""
    return msgspec.json.encode(_Order(service, domain, wanted, is_reclaimable))


def duty_headers(holder: ids.NodeId, fence: int) -> list[call.Header]:
    """The headers that prove who holds the duty."""
    return [
        (b'Duty-Holder', holder.encode('latin-1')),
        (b'Fencing-Token', b'%d' % fence),
    ]
