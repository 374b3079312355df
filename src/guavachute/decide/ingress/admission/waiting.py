"""Orders the requests that wait at one node until they may begin.

The most urgent ones come first; of these, those whose callers have waited
longest, which includes the time before a refused request was sent again; of
these, the smallest ones. The queue is bounded in count and in bytes; a full
one gives up its last request for one that comes before it.
"""

import bisect
import dataclasses
import typing

MAX_COUNT = 256
MAX_BYTES = 4_194_304
"""Bounds of the requests that wait. The smallest node has 160 MB for all its
work, and a single request may have this many bytes."""

Item = typing.TypeVar('Item')


@dataclasses.dataclass(frozen=True, slots=True)
class Place(typing.Generic[Item]):
    """A request that waits, and what its place depends on.

    :ivar group: requests of different groups wait for different things
    :ivar priority: 0 is the most urgent
    :ivar first_s: when the caller first sent the request
    :ivar size: in bytes
    :ivar latest_s: it is refused if it can't begin until then
    :ivar number: unique
    """

    item: Item
    group: str
    priority: int
    first_s: float
    cost: float
    size: int
    latest_s: float
    number: int

    @property
    def order(self) -> tuple[int, float, float, int]:
        """The key by which the places are sorted."""
        return self.priority, self.first_s, self.cost, self.number


def first_sent_s(
    arrived_s: float, expires_s: float, timeout_s: float
) -> float:
    """When a caller first sent a request that may be a retry.

    A retry announces the rest of the caller's time, which began with the first
    attempt.

    :param timeout_s: the time that callers of its kind have at first
    """
    return min(arrived_s, expires_s - timeout_s)


class WaitingQueue(typing.Generic[Item]):
    """The requests that wait, by group."""

    def __init__(
        self, max_count: int = MAX_COUNT, max_bytes: int = MAX_BYTES
    ) -> None:
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._groups: dict[str, list[Place[Item]]] = {}
        self._places: dict[Item, Place[Item]] = {}
        self.bytes = 0

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, item: Item) -> bool:
        return item in self._places

    def has_any(self, group: str) -> bool:
        """Whether requests of *group* wait."""
        return group in self._groups

    def groups(self) -> list[str]:
        """The groups that have waiting requests."""
        return list(self._groups)

    def places(self, group: str) -> list[Place[Item]]:
        """The requests of *group* that wait, in their order."""
        return list(self._groups.get(group, ()))

    def all(self) -> typing.Iterable[Place[Item]]:
        """All places, in no certain order."""
        return self._places.values()

    def cost_before(self, place: Place[Item]) -> float:
        """The cost of the requests that *place* waits behind."""
        return sum(
            other.cost
            for other in self._groups.get(place.group, ())
            if other.order < place.order
        )

    def add(self, place: Place[Item]) -> list[Place[Item]] | None:
        """Let a request wait.

        Returns the requests that were given up for it, or None if there is no
        room for it.
        """
        given_up = self._to_give_up(place)
        if given_up is None:
            return None
        for other in given_up:
            self.remove(other.item)
        group = self._groups.setdefault(place.group, [])
        bisect.insort(group, place, key=lambda item: item.order)
        self._places[place.item] = place
        self.bytes += place.size
        return given_up

    def remove(self, item: Item) -> Place[Item] | None:
        """Remove a request; None if it doesn't wait."""
        place = self._places.pop(item, None)
        if place is None:
            return None
        group = self._groups[place.group]
        group.remove(place)
        if not group:
            del self._groups[place.group]
        self.bytes -= place.size
        return place

    def _to_give_up(self, place: Place[Item]) -> list[Place[Item]] | None:
        """The last requests, without which there is room for *place*."""
        count, size = len(self._places) + 1, self.bytes + place.size
        if count <= self._max_count and size <= self._max_bytes:
            return []
        found = []
        later = sorted(
            (
                item
                for item in self._places.values()
                if item.order > place.order
            ),
            key=lambda item: item.order,
        )
        while count > self._max_count or size > self._max_bytes:
            if not later:
                return None
            found.append(later.pop())
            count -= 1
            size -= found[-1].size
        return found
