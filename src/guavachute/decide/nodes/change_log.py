"""Records which keys of a topic changed after a position.

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
    """Changed and removed keys, each with the position of its change."""

    changed: dict[str, ids.LogPosition]
    removed: dict[str, ids.LogPosition]


class ChangeLog:
    """Keeps the position of the latest change of each key."""

    def __init__(self) -> None:
        self._changed: dict[str, ids.LogPosition] = {}
        self._removed: collections.OrderedDict[str, ids.LogPosition] = (
            collections.OrderedDict()
        )
        self._complete_from: ids.LogPosition | None = None

    def set_complete_from(self, position: ids.LogPosition) -> None:
        """Declare that changes before *position* may not be recorded.

        All later ones are, also removals of keys that were never recorded.
        """
        if self._complete_from is None or position > self._complete_from:
            self._complete_from = position

    def record_change(self, key: str, position: ids.LogPosition) -> None:
        """Record a new value of *key*."""
        self._changed[key] = position
        self._removed.pop(key, None)

    def record_removal(self, key: str, position: ids.LogPosition) -> None:
        """Record the removal of *key*."""
        self._changed.pop(key, None)
        self._removed[key] = position
        self._removed.move_to_end(key)
        while len(self._removed) > KEPT_REMOVALS:
            _, position = self._removed.popitem(last=False)
            self._complete_from = ids.LogPosition(position + 1)

    def all(self) -> Changes:
        """All present keys, without removals."""
        return Changes(dict(self._changed), {})

    def since(self, position: ids.LogPosition) -> Changes | None:
        """The changes after *position*; None if they are incomplete."""
        if self._complete_from is None or position + 1 < self._complete_from:
            return None
        return Changes(
            _after(self._changed, position), _after(self._removed, position)
        )


def _after(
    positions: typing.Mapping[str, ids.LogPosition], position: ids.LogPosition
) -> dict[str, ids.LogPosition]:
    return {key: at for key, at in positions.items() if at > position}
