"""Messages to the cloud's API, which only the duty holder sends."""

import typing

import msgspec

from guavachute.domain import call
from guavachute import ids

USAGE_TARGET = b'/usage'
ORDER_TARGET = b'/desired-capacity'
SUPERSEDED_STATUS = 409
"""The cloud has seen a higher fencing token, or endpoints of the ordered
kind are not available."""


class _Usage(msgspec.Struct, frozen=True, rename='camel'):
    window_id: int
    counts: dict[str, int]


class _Order(msgspec.Struct, frozen=True, omit_defaults=True):
    service: str
    zone: str
    desired: int
    spot: bool = False


def encode_usage(
    window: int, counts: typing.Mapping[ids.WorkspaceName, int]
) -> bytes:
    """Encode the usage of a window.

    :param counts: by workspace, the requests that started in the window
    """
    return msgspec.json.encode(
        _Usage(window, {name: counts[name] for name in sorted(counts)})
    )


def encode_order(
    service: ids.ServiceName,
    domain: ids.FailureDomain,
    desired: int,
    is_reclaimable: bool,
) -> bytes:
    """Encode an order.

    :param desired: total number of endpoints of this kind in *domain*
    """
    return msgspec.json.encode(
        _Order(service, domain, desired, is_reclaimable)
    )


def duty_headers(holder: ids.NodeId, fence: int) -> list[call.Header]:
    """The headers that identify the duty holder and its fencing token."""
    return [
        (b'Duty-Holder', holder.encode('latin-1')),
        (b'Fencing-Token', b'%d' % fence),
    ]
