"""Waits until files are ready, or their peers have closed.

As :mod:`selectors`, which can't watch for a peer that closes while what it
sent before is left unread.
"""

import contextlib
import dataclasses
import math
import select
import typing

READ = 1
WRITE = 2
CLOSED = 4
"""The peer will send nothing more; unread bytes may have come before."""

_EPOLL_EVENTS = {
    READ: select.EPOLLIN,
    WRITE: select.EPOLLOUT,
    CLOSED: select.EPOLLRDHUP,
}

_FAILED = select.EPOLLERR | select.EPOLLHUP
"""Reported without being asked for; every watched event is then ready."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Watched:
    """A file that is watched, as long as nothing of that is changed."""

    file: typing.Any
    descriptor: int
    events: int
    data: typing.Any


class Poller:
    """The watched files of one thread."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._watched: dict[int, Watched] = {}

    def register(self, file: typing.Any, events: int, data: object) -> None:
        """Watch *file*; raises ``OSError`` or ``ValueError`` if closed."""
        descriptor = _descriptor(file)
        self._epoll.register(descriptor, _epoll_events(events))
        self._watched[descriptor] = Watched(file, descriptor, events, data)

    def modify(self, file: typing.Any, events: int, data: object) -> None:
        """Replace the events and the data of a watched file."""
        descriptor = _descriptor(file)
        self._epoll.modify(descriptor, _epoll_events(events))
        self._watched[descriptor] = Watched(file, descriptor, events, data)

    def unregister(self, file: typing.Any) -> None:
        """Stop watching *file*, which may be closed already."""
        descriptor = _descriptor(file)
        if descriptor < 0:
            descriptor = next(
                watched.descriptor
                for watched in self._watched.values()
                if watched.file is file
            )
        del self._watched[descriptor]
        with contextlib.suppress(OSError):
            # The operating system forgets a closed file by itself.
            self._epoll.unregister(descriptor)

    def is_current(self, watched: Watched) -> bool:
        """Whether a file is still watched as it was."""
        return self._watched.get(watched.descriptor) is watched

    def poll(self, wait_s: float) -> list[tuple[Watched, int]]:
        """Wait until files are ready; these with their ready events."""
        # The operating system rounds down to milliseconds.
        wait_s = math.ceil(max(0.0, wait_s) * 1e3) * 1e-3
        try:
            found = self._epoll.poll(wait_s, max(1, len(self._watched)))
        except InterruptedError:
            return []
        ready = []
        for descriptor, bits in found:
            watched = self._watched.get(descriptor)
            if watched is not None:
                ready.append((watched, _ready_events(bits, watched.events)))
        return ready

    def close(self) -> None:
        """Stop watching all files."""
        self._watched.clear()
        self._epoll.close()


def _descriptor(file: typing.Any) -> int:
    """The descriptor of *file*; negative if it is closed."""
    return file if isinstance(file, int) else file.fileno()


def _epoll_events(events: int) -> int:
    bits = 0
    for event, bit in _EPOLL_EVENTS.items():
        if events & event:
            bits |= bit
    return bits


def _ready_events(bits: int, watched: int) -> int:
    if bits & _FAILED:
        return watched
    events = 0
    for event, bit in _EPOLL_EVENTS.items():
        if bits & bit:
            events |= event
    return events & watched
