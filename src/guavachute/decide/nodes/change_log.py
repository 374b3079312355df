"""What changed in a topic after an offset, for a node that knows the rest."""

import collections
import dataclasses
import typing

from guavachute import ids

KEPT_REMOVALS = 1_000
"""Removed keys that are remembered, the newest of them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Keys that changed, and keys that were removed, with the offsets."""

    changed: dict[str, ids.Offset]
    removed: dict[str, ids.Offset]


class ChangeLog:
    """The offset of the latest change of each key."""

    def __init__(self) -> None:
        self._changed: dict[str, ids.Offset] = {}
        self._removed: collections.OrderedDict[str, ids.Offset] = (
            collections.OrderedDict()
        )
        self._complete_from: ids.Offset | None = None

    def begin(self, offset: ids.Offset) -> None:
        """All that is removed from *offset* on will be told here."""
        if self._complete_from is None:
            self._complete_from = offset

    def changed(self, key: str, offset: ids.Offset) -> None:
        """A key got a new value."""
        self._changed[key] = offset
        self._removed.pop(key, None)

    def removed(self, key: str, offset: ids.Offset) -> None:
        """A key is gone."""
        self._changed.pop(key, None)
        self._removed[key] = offset
        self._removed.move_to_end(key)
        while len(self._removed) > KEPT_REMOVALS:
            _, offset = self._removed.popitem(last=False)
            self._complete_from = ids.Offset(offset + 1)

    def all(self) -> Changes:
        """Every key that there is."""
        return Changes(dict(self._changed), {})

    def since(self, offset: ids.Offset) -> Changes | None:
        """What came after *offset*; None if not all of it is known."""
        if self._complete_from is None or offset + 1 < self._complete_from:
            return None
        return Changes(
            _after(self._changed, offset), _after(self._removed, offset)
        )


def _after(
    offsets: typing.Mapping[str, ids.Offset], offset: ids.Offset
) -> dict[str, ids.Offset]:
    return {key: at for key, at in offsets.items() if at > offset}
