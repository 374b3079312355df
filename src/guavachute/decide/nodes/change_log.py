"""Records which keys of a topic changed after an offset.

With it, a node sends a peer only the changes that the peer has not read.
"""

import collections
import dataclasses
import typing

from guavachute import ids

KEPT_REMOVALS = 1_000
"""Number of removed keys that are kept; older removals are discarded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed and removed keys, each with the offset of its change."""

    changed: dict[str, ids.Offset]
    removed: dict[str, ids.Offset]


class ChangeLog:
    """Keeps the offset of the latest change of each key."""

    def __init__(self) -> None:
        self._changed: dict[str, ids.Offset] = {}
        self._removed: collections.OrderedDict[str, ids.Offset] = (
            collections.OrderedDict()
        )
        self._complete_from: ids.Offset | None = None

    def set_complete_from(self, offset: ids.Offset) -> None:
        """Declare that all removals from *offset* on will be recorded.

        Only the first call has an effect.
        """
        if self._complete_from is None:
            self._complete_from = offset

    def record_change(self, key: str, offset: ids.Offset) -> None:
        """Record a new value of *key*."""
        self._changed[key] = offset
        self._removed.pop(key, None)

    def record_removal(self, key: str, offset: ids.Offset) -> None:
        """Record the removal of *key*."""
        self._changed.pop(key, None)
        self._removed[key] = offset
        self._removed.move_to_end(key)
        while len(self._removed) > KEPT_REMOVALS:
            _, offset = self._removed.popitem(last=False)
            self._complete_from = ids.Offset(offset + 1)

    def all(self) -> Changes:
        """All present keys, without removals."""
        return Changes(dict(self._changed), {})

    def since(self, offset: ids.Offset) -> Changes | None:
        """The changes after *offset*; None if they are incomplete."""
        if self._complete_from is None or offset + 1 < self._complete_from:
            return None
        return Changes(
            _after(self._changed, offset), _after(self._removed, offset)
        )


def _after(
    offsets: typing.Mapping[str, ids.Offset], offset: ids.Offset
) -> dict[str, ids.Offset]:
    return {key: at for key, at in offsets.items() if at > offset}
