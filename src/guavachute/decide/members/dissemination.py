"""What rides along on the next message, within a budget of bytes.

News spreads by infection: each member passes an item on a few times.
The bytes per message are bounded, so when there is more to say than fits,
news gets older instead of traffic getting larger. News about members goes
first, then other failure domains, then the statuses.
"""

import dataclasses
import enum
import typing

from guavachute.wire import codec
from guavachute.wire import gossip


class Priority(enum.IntEnum):
    """The lower value is sent first."""

    MEMBER = 0
    DOMAIN = 1
    STATUS = 2


Item = gossip.MemberUpdate | gossip.DomainDigest | gossip.Status


@dataclasses.dataclass(slots=True)
class _Queued:
    item: Item
    size_bytes: int
    sends_left: int
    sent: int = 0


class Queue:
    """Items waiting to be passed on, at most one for each subject.

    :param budget_bytes: for the items of one message
    """

    def __init__(self, budget_bytes: int) -> None:
        self._budget_bytes = budget_bytes
        self._waiting: dict[tuple[Priority, str], _Queued] = {}

    def __len__(self) -> int:
        """How many items wait."""
        return len(self._waiting)

    def put(
        self, priority: Priority, subject: str, item: Item, sends: int
    ) -> None:
        """Pass *item* on *sends* times; drops older news of *subject*."""
        size_bytes = len(codec.encode(item))
        self._waiting[priority, subject] = _Queued(item, size_bytes, sends)

    def take(self) -> gossip.Items:
        """The items of the next message, each counted as sent once."""
        taken: dict[Priority, list[Item]] = {kind: [] for kind in Priority}
        left_bytes = self._budget_bytes
        for subject in sorted(self._waiting, key=self._rank):
            queued = self._waiting[subject]
            # An item larger than the whole budget travels alone.
            if queued.size_bytes > left_bytes < self._budget_bytes:
                continue
            left_bytes -= queued.size_bytes
            taken[subject[0]].append(queued.item)
            self._count_sent(subject, queued)
        return _as_items(taken)

    def _rank(self, subject: tuple[Priority, str]) -> tuple[int, int]:
        return subject[0], self._waiting[subject].sent

    def _count_sent(
        self, subject: tuple[Priority, str], queued: _Queued
    ) -> None:
        queued.sent += 1
        queued.sends_left -= 1
        if queued.sends_left <= 0:
            del self._waiting[subject]


def _as_items(taken: dict[Priority, list[typing.Any]]) -> gossip.Items:
    return gossip.Items(
        updates=tuple(taken[Priority.MEMBER]),
        digests=tuple(taken[Priority.DOMAIN]),
        statuses=tuple(taken[Priority.STATUS]),
    )
