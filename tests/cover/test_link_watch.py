"""Which links a node tests while some of its endpoints are silent.

Patterns: one of two endpoints, both of two, several of many.
"""

import heapq
import itertools
import typing
import unittest
from unittest import mock

from guavachute.decide.ingress import endpoint_links
from guavachute.entry import link_watch
from guavachute.entry import transport
from guavachute import ids


class FakeLoop:
    """Runs timers at times that the test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self._order = itertools.count()
        self._timers: list[tuple[float, int, typing.Callable[[], None]]] = []

    def call_after(
        self, delay_s: float, callback: typing.Callable[[], None]
    ) -> mock.Mock:
        """Run *callback* later, unless the result is cancelled."""
        timer = mock.Mock(is_cancelled=False)
        timer.cancel = lambda: setattr(timer, 'is_cancelled', True)

        def run() -> None:
            if not timer.is_cancelled:
                callback()

        heapq.heappush(
            self._timers, (self.now_s + delay_s, next(self._order), run)
        )
        return timer

    def every(
        self, period_s: float, callback: typing.Callable[[], None]
    ) -> None:
        """Run *callback* again and again."""

        def run() -> None:
            callback()
            self.call_after(period_s, run)

        self.call_after(period_s, run)

    def run_for(self, duration_s: float) -> None:
        """Run what is due in that time."""
        until_s = self.now_s + duration_s
        while self._timers and self._timers[0][0] <= until_s:
            self.now_s, _, run = heapq.heappop(self._timers)
            run()
        self.now_s = until_s


class LinkWatchTest(unittest.TestCase):
    def watch(self, count: int, silent: typing.Sequence[int]) -> None:
        """Watch *count* endpoints, of which some are silent for 0.7 s."""
        self.loop = FakeLoop()
        self.links = endpoint_links.EndpointLinks()
        self.addresses = [
            ids.Address(f'10.0.0.{number}:80') for number in range(count)
        ]
        self.silent = [self.addresses[number] for number in silent]
        registry = mock.Mock(links=self.links)
        registry.addresses.return_value = self.addresses
        registry.heard_at_by_others_s = lambda address: self.loop.now_s
        patch = mock.patch.object(transport, 'connect', self.connect)
        patch.start()
        self.addCleanup(patch.stop)
        for address in self.silent:
            self.links.record_sent(address, self.loop.now_s)
        self.hear_others()
        watch = link_watch.LinkWatch(
            typing.cast(typing.Any, self.loop),
            registry,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
        )
        watch.start()

    def hear_others(self) -> None:
        """Hear those that aren't silent, as requests run there."""
        for address in self.addresses:
            if address not in self.silent:
                self.links.record_heard(address, self.loop.now_s)
        self.loop.call_after(0.1, self.hear_others)

    def connect(
        self, loop: FakeLoop, address: ids.Address, unread_bytes: int = 0
    ) -> mock.Mock:
        """Establish a connection soon, or never if the link is silent."""
        connection = mock.Mock()
        if address not in self.silent:
            loop.call_after(0.02, lambda: connection.owner.drained())
        return connection

    def check_found(self, within_s: float) -> None:
        """Check that the silent links soon count as the only broken ones."""
        missing = set(self.silent)
        for _ in range(int(within_s / 0.05)):
            self.loop.run_for(0.05)
            missing -= {
                address
                for address in self.silent
                if self.links.is_only_link(address, self.loop.now_s)
            }
        self.assertEqual(set(), missing)

    # Guards against requests that wait at a broken link, as no other link is
    # ever tested.
    def test_the_other_of_two_endpoints_is_tested(self) -> None:
        for silent in range(2):
            with self.subTest(silent=silent):
                self.watch(2, [silent])
                self.check_found(2.0)

    # Guards against a cut that isn't found, as one link alone is tested.
    def test_a_cut_from_two_endpoints_is_found(self) -> None:
        for order in ([0, 1], [1, 0]):
            with self.subTest(order=order):
                self.watch(2, order)
                self.loop.run_for(2.5)
                self.assertTrue(self.links.is_cut)

    # Guards against tests of silent links that leave no room for another one.
    def test_others_are_tested_while_several_stay_silent(self) -> None:
        for count, silent in (
            (4, [0, 2]),
            (4, [0, 1, 2]),
            (4, [1, 2, 3]),
            (56, [0, 7, 20]),
            (56, list(range(1, 56, 2))),
        ):
            with self.subTest(count=count, silent=silent):
                self.watch(count, silent)
                self.loop.run_for(2.0)
                shown = 0
                for _ in range(100):
                    self.loop.run_for(0.05)
                    shown += self.links.has_established(self.loop.now_s)
                self.assertGreater(shown, 60)
