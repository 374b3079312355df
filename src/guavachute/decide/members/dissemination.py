"""Chooses the items to piggyback on each message, within a byte budget.

Updates spread by infection: each member passes an item on a few times.
Since the bytes per message are bounded, a larger number of items delays
them instead of increasing the traffic. Updates of members are sent first,
then digests of other failure domains, then statuses.
"""

import dataclasses
import enum
import typing

from guavachute.wire import codec
from guavachute.wire import gossip


class Priority(enum.IntEnum):
    """Kind of an item; lower values are sent first."""

    MEMBER = 0
    DOMAIN = 1
    STATUS = 2


Item = gossip.MemberUpdate | gossip.DomainDigest | gossip.Status


@dataclasses.dataclass(slots=True)
class _Queued:
    item: Item
    size_bytes: int
    remaining_sends: int
    sent: int = 0


class Queue:
    """Items to pass on, at most one for each priority and subject.

    :param budget_bytes: encoded size of the items in one message
    """

    def __init__(self, budget_bytes: int) -> None:
        self._budget_bytes = budget_bytes
        self._waiting: dict[tuple[Priority, str], _Queued] = {}

    def __len__(self) -> int:
        """The number of items to pass on."""
        return len(self._waiting)

    def put(
        self, priority: Priority, subject: str, item: Item, send_count: int
    ) -> None:
        """Pass *item* on *send_count* times.

        It replaces an older item of the same priority and subject.
        """
        size_bytes = len(codec.encode(item))
        self._waiting[priority, subject] = _Queued(
            item, size_bytes, send_count
        )

    def next_items(self) -> gossip.Items:
        """The items for the next message; counts each as sent once.

        Items of one priority that were sent least often come first.
        """
        chosen: dict[Priority, list[Item]] = {kind: [] for kind in Priority}
        remaining_bytes = self._budget_bytes
        for subject in sorted(self._waiting, key=self._rank):
            queued = self._waiting[subject]
            # An item larger than the whole budget is sent alone.
            if queued.size_bytes > remaining_bytes < self._budget_bytes:
                continue
            remaining_bytes -= queued.size_bytes
            chosen[subject[0]].append(queued.item)
            self._count_sent(subject, queued)
        return _as_items(chosen)

    def _rank(self, subject: tuple[Priority, str]) -> tuple[int, int]:
        return subject[0], self._waiting[subject].sent

    def _count_sent(
        self, subject: tuple[Priority, str], queued: _Queued
    ) -> None:
        queued.sent += 1
        queued.remaining_sends -= 1
        if queued.remaining_sends <= 0:
            del self._waiting[subject]


def _as_items(chosen: dict[Priority, list[typing.Any]]) -> gossip.Items:
    return gossip.Items(
        updates=tuple(chosen[Priority.MEMBER]),
        digests=tuple(chosen[Priority.DOMAIN]),
        statuses=tuple(chosen[Priority.STATUS]),
    )
