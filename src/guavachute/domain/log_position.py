"""Places in a topic of the platform's store, ordered over all of its eras.

When the store comes back from a copy it has lost its latest records, and
assigns their offsets again. Each time begins a new era of the store. A
position consists of the era and the offset, and positions only grow, however
often the store goes back.
"""

import typing

from guavachute import ids

OFFSET_BITS = 32
"""With fewer than 2**21 eras, every JSON number and every double holds a
position exactly."""

NO_POSITION = ids.LogPosition(-1)
"""Before every record."""


class Place(typing.NamedTuple):
    """The parts of a position."""

    era: ids.StoreEra
    offset: ids.Offset


def pack(era: ids.StoreEra, offset: ids.Offset) -> ids.LogPosition:
    """The position of *offset* in *era*."""
    return ids.LogPosition((era << OFFSET_BITS) + offset)


def unpack(position: ids.LogPosition) -> Place:
    """The era and the offset of *position*, which must not be negative."""
    return Place(
        ids.StoreEra(position >> OFFSET_BITS),
        ids.Offset(position & ((1 << OFFSET_BITS) - 1)),
    )
