"""Learned capacity in the updates between nodes."""

import typing

from guavachute.decide.ingress.capacity import endpoint_capacity
from guavachute import ids
from guavachute.wire import node_updates

MAX_ENTRIES = 64
"""Of an update with more endpoints, the others are ignored."""


def encode(
    told: typing.Mapping[ids.EndpointId, endpoint_capacity.Told], now_s: float
) -> dict[ids.EndpointId, node_updates.EndpointCapacity]:
    """Figures as they are sent to other nodes."""
    return {
        name: node_updates.EndpointCapacity(
            round(100 * item.slowdown),
            round(100 * item.limit_share),
            max(0, round(10 * (now_s - item.measured_s))),
        )
        for name, item in told.items()
    }


def decode(
    received: typing.Mapping[ids.EndpointId, node_updates.EndpointCapacity],
    now_s: float,
) -> dict[ids.EndpointId, endpoint_capacity.Told]:
    """Figures that another node sent, within bounds; those of use."""
    found = {}
    low, high = endpoint_capacity.SLOWDOWN_RANGE
    for name, item in list(received.items())[:MAX_ENTRIES]:
        age_s = item.measured_ds / 10
        if age_s < endpoint_capacity.KEPT_S:
            found[name] = endpoint_capacity.Told(
                min(high, max(low, item.slowdown_percent / 100)),
                min(1.0, max(0.0, item.limit_percent / 100)),
                now_s - age_s,
            )
    return found
