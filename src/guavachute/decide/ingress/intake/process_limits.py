"""The limits of what callers may hold, from the settings of the process.

The memory that the VM has beyond the needs of the process itself is divided
into fractions. The bytes that the operating system has received on a
connection, and the process has not read, are memory of the process as well.
"""

import dataclasses
import enum

MEGABYTE = 1_048_576

BASE_BYTES = 64 * MEGABYTE
"""Memory of the process without callers, with the state of a large site. What
the VM has beyond that is spare."""

HELD_FRACTION = 0.5
"""Fraction of the spare memory that callers may hold. A part of the rest is
for answers that are being buffered, for the copies of a body while it is
checked and sent, and for the fragmentation of the heap."""

MIN_HELD_BYTES = 16 * MEGABYTE
"""Room for one request at the default limits, also on a smaller VM."""

UNREAD_FRACTION = 0.25
"""Fraction of the spare memory for what the operating system has received on
all connections of callers and the process has not read."""

MIN_UNREAD_BYTES = 8_192
"""With smaller buffers, each request would take several round trips."""

MAX_UNREAD_BYTES = 65_536
"""What is received of a large body before it is read, as long as there is room
for it. A network of 20 ms carries 3 MB/s with it."""

RESERVED_DESCRIPTORS = 64
"""Descriptors that callers leave at least to endpoints, nodes and the
store."""

RESERVED_DESCRIPTOR_FRACTION = 0.25

MIN_QUERY_BYTES = 1_048_576

MIN_QUERY_CONNECTIONS = 8

QUERY_CONNECTION_BYTES = 16_384
"""Each connection has so much of the budget of its address, so that idle ones
alone don't use it up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the connections of an address may hold together.

    :ivar held_bytes: bytes, as :mod:`.budget` counts them
    :ivar connections: open connections
    :ivar unread_bytes: what the operating system receives on a connection
        before it is read
    """

    held_bytes: int
    connections: int
    unread_bytes: int = MIN_UNREAD_BYTES


class Queries(enum.Enum):
    """Small requests beside those of callers."""

    ADDRESSES = 'addresses'
    """Of callers, for the addresses of nodes."""
    PEERS = 'peers'
    """Of other nodes, for what they have missed."""
    STATUS = 'status'
    """Of the platform and collectors, for readiness or metrics."""


_QUERY_FRACTIONS = {
    Queries.ADDRESSES: 1 / 16,
    Queries.PEERS: 1 / 16,
    Queries.STATUS: 1 / 64,
}
"""Fractions of the spare memory, and of all descriptors, for each address."""


def for_callers(memory_bytes: int, max_descriptors: int) -> Limits:
    """The limits of the requests of callers and of other nodes.

    :param memory_bytes: of the VM
    :param max_descriptors: of the process
    """
    reserved = min(
        max(
            RESERVED_DESCRIPTORS,
            round(RESERVED_DESCRIPTOR_FRACTION * max_descriptors),
        ),
        max_descriptors // 2,
    )
    spare_bytes = _spare_bytes(memory_bytes)
    unread_bytes = round(UNREAD_FRACTION * spare_bytes)
    connections = max(
        1, min(max_descriptors - reserved, unread_bytes // MIN_UNREAD_BYTES)
    )
    return Limits(
        max(MIN_HELD_BYTES, round(HELD_FRACTION * spare_bytes)),
        connections,
        min(MAX_UNREAD_BYTES, unread_bytes // connections),
    )


def for_queries(
    memory_bytes: int, max_descriptors: int, queries: Queries
) -> Limits:
    """The limits of an address for *queries*; parameters as above."""
    fraction = _QUERY_FRACTIONS[queries]
    held_bytes = max(
        MIN_QUERY_BYTES, round(fraction * _spare_bytes(memory_bytes))
    )
    connections = max(MIN_QUERY_CONNECTIONS, round(fraction * max_descriptors))
    return Limits(
        held_bytes,
        min(connections, held_bytes // QUERY_CONNECTION_BYTES),
        MIN_UNREAD_BYTES,
    )


def _spare_bytes(memory_bytes: int) -> int:
    return max(MIN_HELD_BYTES, memory_bytes - BASE_BYTES)
