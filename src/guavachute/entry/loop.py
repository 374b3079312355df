"""The event loop of the entry process: one selector and its timers.

The parts of the process are services that the loop hosts, as
:class:`guavachute.kernel.kernel.Kernel` hosts tasks: each owns its sockets and
its state. They share one thread, since an entry VM runs only one at a time and
every switch between two threads costs time.
"""

import heapq
import itertools
import math
import random
import typing

from guavachute.kernel import clock
from guavachute.kernel import poller

READ = poller.READ
WRITE = poller.WRITE
CLOSED = poller.CLOSED

MAX_WAIT_S = 1.0
"""Upper bound of one wait, so that a VM that was suspended soon notices the
time."""

STOOD_STILL_S = 0.2
"""A loop that takes this much longer than it had to has stood still: its
machine had no processor time for it, or a turn was long."""

LONG_TURN_S = 0.05
"""Within this time, all callbacks of a turn share its time."""

CAUGHT_UP_AFTER_S = 1.0
"""This long after it stood still, what arrived meanwhile has been read."""

MAX_PHASE_S = 1.0
"""Upper bound of the random offset of repeated calls."""

MIN_CANCELLED = 1_024
"""Fewer cancelled timers stay until they are due."""

Handler = typing.Callable[[int], None]
"""Called with the events that a file is ready for."""


class Timer:
    """A callback that is due at some time, unless it is cancelled.

    :param on_cancelled: called when it is cancelled before it was called
    """

    __slots__ = ('due_s', 'callback', '_on_cancelled')

    def __init__(
        self,
        due_s: float,
        callback: typing.Callable[[], None],
        on_cancelled: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.due_s = due_s
        self.callback: typing.Callable[[], None] | None = callback
        self._on_cancelled = on_cancelled

    def cancel(self) -> None:
        """Discard the callback; no effect if it was already called."""
        if self.callback is not None:
            self.callback = None
            self._on_cancelled()


class Loop:
    """Waits for files and timers, and calls their handlers in one thread."""

    def __init__(self) -> None:
        self._poller = poller.Poller()
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._cancelled = 0
        self._running = True
        # Processes that started together should not all act together.
        self._phase_s = random.uniform(0.0, MAX_PHASE_S)
        self.now_s = clock.now_s()
        """Start of the current turn, by :mod:`guavachute.kernel.clock`. In a
        long turn it goes on, as deadlines may pass meanwhile."""
        self._turn_s = self.now_s
        self._caught_up_at_s = 0.0

    @property
    def is_catching_up(self) -> bool:
        """Whether what is read now may have arrived long ago."""
        return self.now_s < self._caught_up_at_s

    def watch(self, file: typing.Any, events: int, handler: Handler) -> None:
        """Call *handler* whenever *file* is ready for *events*."""
        self._poller.register(file, events, handler)

    def rewatch(self, file: typing.Any, events: int, handler: Handler) -> None:
        """Replace the events and the handler of a watched file."""
        self._poller.modify(file, events, handler)

    def unwatch(self, file: typing.Any) -> None:
        """Stop watching *file*."""
        self._poller.unregister(file)

    def call_at(
        self, due_s: float, callback: typing.Callable[[], None]
    ) -> Timer:
        """Call *callback* once, at *due_s* or soon after."""
        timer = Timer(due_s, callback, self._count_cancelled)
        heapq.heappush(self._timers, (due_s, next(self._order), timer))
        return timer

    def _count_cancelled(self) -> None:
        """Remove cancelled timers once they are most of all.

        Each request cancels some that would be due much later.
        """
        self._cancelled += 1
        if self._cancelled >= MIN_CANCELLED and 2 * self._cancelled > len(
            self._timers
        ):
            self._cancelled = 0
            self._timers[:] = [
                item for item in self._timers if item[2].callback is not None
            ]
            heapq.heapify(self._timers)

    def call_after(
        self, delay_s: float, callback: typing.Callable[[], None]
    ) -> Timer:
        """Call *callback* once, *delay_s* after the current turn."""
        return self.call_at(self.now_s + delay_s, callback)

    def every(
        self, period_s: float, callback: typing.Callable[[], None]
    ) -> None:
        """Call *callback* repeatedly, within *period_s* for the first time.

        Calls whose periods are multiples of each other fall into the same
        turns, so that the process wakes up less often.
        """

        def schedule() -> None:
            periods = math.floor((self.now_s - self._phase_s) / period_s)
            self.call_at((periods + 1) * period_s + self._phase_s, again)

        def again() -> None:
            callback()
            schedule()

        schedule()

    @property
    def timers(self) -> int:
        """The number of timers that are kept, cancelled ones included."""
        return len(self._timers)

    def stop(self) -> None:
        """Make :meth:`run` return after the current turn."""
        self._running = False

    def resume(self) -> None:
        """Allow :meth:`run` again after a stop."""
        self._running = True

    def run(self) -> None:
        """Handle events until :meth:`stop`."""
        while self._running:
            self._turn()

    def _turn(self) -> None:
        wait_s = self._wait_s()
        ready = self._poller.poll(wait_s)
        self.now_s = turn_s = clock.now_s()
        if turn_s - self._turn_s - wait_s > STOOD_STILL_S:
            self._caught_up_at_s = turn_s + CAUGHT_UP_AFTER_S
        self._turn_s = turn_s
        for watched, events in ready:
            # An earlier handler of this turn may have unwatched this file.
            if self._poller.is_current(watched):
                watched.data(events)
                self._update_now()
        self._call_due(turn_s)

    def _wait_s(self) -> float:
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
            self._cancelled -= 1
        if not self._timers:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, max(0.0, self._timers[0][0] - clock.now_s()))

    def _call_due(self, until_s: float) -> None:
        """Call what is due at *until_s*, and not what becomes due meanwhile.

        Otherwise slow callbacks would keep the loop from its files.
        """
        while self._timers and self._timers[0][0] <= until_s:
            _, _, timer = heapq.heappop(self._timers)
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                callback()
                self._update_now()
            else:
                self._cancelled -= 1

    def _update_now(self) -> None:
        now_s = clock.now_s()
        if now_s - self.now_s > LONG_TURN_S:
            self.now_s = now_s
