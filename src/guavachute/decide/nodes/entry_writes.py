"""Tells outdated entries of endpoints from current ones.

An endpoint numbers the writes of its entry. When the store has come back
from a copy, it shows entries as they were seconds ago: of endpoints that
have announced since that they leave, or that have ended. What this process
knew before stays in force until the endpoint itself writes again. Within one
era the order of the log is that of the writes, whatever the entries say.
"""

import collections
import typing

from guavachute import ids

KEPT_REMOVALS = 1_000
"""Number of removed entries that are remembered; older ones are forgotten."""


class Write(typing.NamedTuple):
    """Which write of an entry this is; later writes compare greater.

    :ivar start_ms: start of the endpoint's incarnation, as Unix time
    :ivar number: counts the writes of the incarnation
    """

    start_ms: int
    number: int


class EntryWrites:
    """The newest known write of each entry, present or removed."""

    def __init__(self) -> None:
        self._present: dict[ids.EndpointId, Write] = {}
        self._removed: collections.OrderedDict[ids.EndpointId, Write] = (
            collections.OrderedDict()
        )
        self._eras: dict[ids.EndpointId, ids.StoreEra] = {}
        self._unproven: set[ids.EndpointId] = set()

    def record(
        self,
        endpoint: ids.EndpointId,
        write: Write,
        era: ids.StoreEra | None = None,
    ) -> None:
        """Record that *write* is in force.

        :param era: of the store in which it was read; None if not known
        """
        if era is None:
            self._eras.pop(endpoint, None)
        else:
            self._eras[endpoint] = era
        self._removed.pop(endpoint, None)
        self._unproven.discard(endpoint)
        self._present[endpoint] = write

    def record_removal(self, endpoint: ids.EndpointId) -> None:
        """Record that the entry is gone; harmless if it was not present."""
        write = self._present.pop(endpoint, None)
        if write is None:
            return
        self._removed[endpoint] = write
        while len(self._removed) > KEPT_REMOVALS:
            forgotten, _ = self._removed.popitem(last=False)
            self._unproven.discard(forgotten)
            self._eras.pop(forgotten, None)

    def handle_new_era(self) -> None:
        """Record that the store may show removed entries again."""
        self._unproven = set(self._removed)

    def is_outdated(
        self,
        endpoint: ids.EndpointId,
        write: Write,
        is_snapshot: bool,
        era: ids.StoreEra | None = None,
    ) -> bool:
        """Whether an entry that was read says less than what is known.

        :param is_snapshot: whether it is from a snapshot, so that it may have
            been written at any time before
        :param era: of the store in which it was read; None if not known
        """
        if not is_snapshot and era is not None:
            if era == self._eras.get(endpoint):
                return False
        present = self._present.get(endpoint)
        if present is not None:
            return write < present
        removed = self._removed.get(endpoint)
        if removed is None:
            return False
        if write.start_ms != removed.start_ms:
            return write < removed
        if is_snapshot and endpoint in self._unproven:
            # The copy may hold later writes than those that were read here.
            # Only a write after the copy proves that the endpoint lives.
            self._removed[endpoint] = max(write, removed)
            return True
        return write <= removed
