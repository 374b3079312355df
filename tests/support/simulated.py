"""Entry nodes on a simulated network, in simulated time.

All of a node's own code runs; only its sockets and its clock are replaced. So
hundreds of nodes run on one machine, and a seed always plays the same.
"""

import collections
import contextlib
import heapq
import itertools
import math
import random
import socket
import types
import typing
from unittest import mock

from guavachute.entry import loop as entry_loop
from guavachute.entry import peers as entry_peers
from guavachute.entry import transport
from guavachute import ids

LATENCY_S = 0.0005
"""One way, between any two addresses."""

TURN_S = 1e-6
"""Each callback of a loop takes time, so that repeated calls get ahead."""

HANDLING_S = 0.001
"""A node handles what arrives this much later, with its other work."""

FIRST_PORT = 20_000
"""The ports that nodes get if they ask for any."""


class Loop(entry_loop.Loop):
    """The loop of one process; the network keeps the time for all.

    While it is frozen, nothing of it runs; what comes meanwhile is handled
    afterwards, in its order.
    """

    def __init__(self, network: 'Network') -> None:
        super().__init__()
        self._poller.close()
        self.network = network
        self._handlers: dict[typing.Any, entry_loop.Handler] = {}
        self._is_ended = False
        self.frozen_until_s = 0.0
        self.now_s = self._turn_s = network.now_s

    def end(self) -> None:
        """End the process, without a chance to do anything."""
        self._is_ended = True

    def watch(
        self, file: typing.Any, events: int, handler: entry_loop.Handler
    ) -> None:
        self._handlers[file] = handler
        file.is_watched_by(self)

    def rewatch(
        self, file: typing.Any, events: int, handler: entry_loop.Handler
    ) -> None:
        self._handlers[file] = handler

    def unwatch(self, file: typing.Any) -> None:
        self._handlers.pop(file, None)

    def call_at(
        self, due_s: float, callback: typing.Callable[[], None]
    ) -> entry_loop.Timer:
        timer = entry_loop.Timer(due_s, callback)
        self.network.schedule(due_s, lambda: self._call(timer))
        return timer

    def handle_readable(self, file: typing.Any) -> None:
        """Call the handler of *file*, unless it is not watched."""
        handler = self._handlers.get(file)
        if handler is not None:
            handler(entry_loop.READ)

    def _call(self, timer: entry_loop.Timer) -> None:
        if self._is_ended or timer.callback is None:
            return
        now_s = self.network.now_s
        if now_s < self.frozen_until_s:
            self.network.schedule(
                self.frozen_until_s, lambda: self._call(timer)
            )
            return
        if now_s - timer.due_s > entry_loop.STOOD_STILL_S:
            self._caught_up_at_s = now_s + entry_loop.CAUGHT_UP_AFTER_S
        self.now_s = now_s + TURN_S
        callback, timer.callback = timer.callback, None
        callback()


class Connection:
    """One end of a connection, as :class:`transport.Connection`."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self.other: Connection | None = None
        self.owner: typing.Any = None
        self.unsent_bytes = 0
        self.written_bytes = 0
        # What was sent and has not arrived is not counted, and what has
        # arrived is read at once.
        self.undelivered_bytes = 0
        self.unread_bytes = 0
        self.is_closed = False
        self.is_connected = False
        self.has_peer_closed = False
        self._unsent: list[bytes] = []
        self._sent_until_s = 0.0
        self._wait_share = loop.network.random.random()

    def connected(self, other: 'Connection') -> None:
        """Both ends exist now; what was written is sent."""
        if self.is_closed:
            return
        self.other = other
        self.is_connected = True
        for data in self._unsent:
            self.write(data)
        self._unsent.clear()
        if self.owner is not None:
            self.owner.drained()

    def write(self, data: bytes) -> None:
        if self.is_closed or not data:
            return
        if self.other is None:
            self._unsent.append(bytes(data))
            return
        other, sent = self.other, bytes(data)
        self._deliver(lambda: other.receive(sent))

    def receive(self, data: bytes) -> None:
        if not self.is_closed and self.owner is not None:
            self.owner.received(data)

    def end(self, is_clean: bool) -> None:
        """The other end is gone, or couldn't be reached."""
        if not self.is_closed:
            owner = self.owner
            self.close()
            if owner is not None:
                owner.ended(is_clean)

    def close(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.owner = None
        if self.other is not None:
            other = self.other
            self._deliver(lambda: other.end(True))

    def limit_receiving(self, unread_bytes: int) -> None:
        """Without effect: what is sent is read at once."""

    def pause(self, notices_close: bool = False) -> None:
        """Without effect: nothing is sent here that fills a buffer."""

    def resume(self) -> None:
        """Without effect."""

    def receive_now(self) -> None:
        """Without effect: all that has arrived was passed on."""

    def finish_writing(self) -> None:
        """Without effect."""

    def set_reset_on_close(self, enabled: bool) -> None:
        """Without effect."""

    def _deliver(self, handle: typing.Callable[[], None]) -> None:
        assert self.other is not None
        network = self._loop.network
        to = self.other._loop
        waits_s = self._wait_share * network.slow_s.get(to, 0.0)
        self._sent_until_s = max(
            self._sent_until_s, network.now_s + network.latency_s() + waits_s
        )
        if not network.is_lost(self._loop, to, False):
            to.call_at(self._sent_until_s, handle)


class Listener:
    """Accepts connections, as :class:`transport.Listener`."""

    def __init__(
        self,
        loop: Loop,
        address: ids.Address,
        accepted: typing.Callable[[Connection], None],
        unread_bytes: int | None = None,
    ) -> None:
        self.loop = loop
        self._accepted = accepted
        host, _, port = address.rpartition(':')
        if port == '0':
            port = str(next(loop.network.ports))
        self.address = ids.Address(f'{host}:{port}')
        loop.network.listeners[self.address] = self

    def accept(self, first: Connection) -> None:
        """Open the other end of *first*."""
        second = Connection(self.loop)
        second.other, second.is_connected = first, True
        self._accepted(second)
        first._loop.call_at(
            self.loop.network.now_s + self.loop.network.latency_s(),
            lambda: first.connected(second),
        )

    def close(self) -> None:
        if self.loop.network.listeners.get(self.address) is self:
            del self.loop.network.listeners[self.address]


class DatagramSocket:
    """A UDP socket; it has to be bound before it is watched."""

    def __init__(self, network: 'Network') -> None:
        self._network = network
        self._received: collections.deque[bytes] = collections.deque()
        self._loop: Loop | None = None
        self._address: tuple[str, int] | None = None

    def bind(self, address: tuple[str, int]) -> None:
        self._address = address
        self._network.sockets[address] = self

    def setblocking(self, is_blocking: bool) -> None:
        """Without effect: it never blocks."""

    def is_watched_by(self, loop: Loop) -> None:
        """Its node waits for datagrams now."""
        self._loop = loop
        if self._received:
            loop.call_at(
                self._network.now_s, lambda: loop.handle_readable(self)
            )

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        network = self._network
        target = network.sockets.get(address)
        if target is None or target._loop is None or self._loop is None:
            return
        loop = target._loop
        network.datagrams += 1
        if network.is_lost(self._loop, loop, True):
            return
        delay_s = network.latency_s() + network.datagram_delay_s(loop)

        def receive() -> None:
            if network.sockets.get(address) is target:
                target._received.append(data)
                # The kernel takes it in also while the process is frozen.
                loop.call_at(
                    network.now_s, lambda: loop.handle_readable(target)
                )

        network.schedule(network.now_s + delay_s, receive)

    def recv(self, most: int) -> bytes:
        if not self._received:
            raise BlockingIOError
        return self._received.popleft()

    def close(self) -> None:
        if self._network.sockets.get(self._address) is self:
            del self._network.sockets[self._address]


class Network:
    """Keeps the time, and carries bytes between simulated processes.

    :ivar loss: share of the datagrams that get lost
    :ivar cut: loops whose packets to and from each other are all lost, by pair
    :ivar queued_s: by loop, how long datagrams to it wait in a full link
    :ivar slow_s: by loop, how long what comes over connections waits at most;
        each connection differs
    :ivar datagrams: how many were sent
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 1_000.0
        self.ports = itertools.count(FIRST_PORT)
        self.listeners: dict[ids.Address, Listener] = {}
        self.sockets: dict[tuple[str, int], DatagramSocket] = {}
        self.loss = 0.0
        self.cut: set[frozenset[Loop]] = set()
        self.queued_s: dict[Loop, float] = {}
        self.slow_s: dict[Loop, float] = {}
        self.datagrams = 0
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()

    @contextlib.contextmanager
    def replacing_sockets(self) -> typing.Iterator[None]:
        """While it is open, nodes and stand-ins use this network.

        Random numbers of the code under test follow from the seed, too.
        """
        sockets = types.SimpleNamespace(
            socket=lambda *args: DatagramSocket(self),
            AF_INET=socket.AF_INET,
            SOCK_DGRAM=socket.SOCK_DGRAM,
        )
        state = random.getstate()
        random.seed(self.random.random())
        with (
            mock.patch.object(transport, 'connect', self.connect),
            mock.patch.object(transport, 'Listener', Listener),
            mock.patch.object(entry_peers, 'socket', sockets),
            mock.patch.object(
                random,
                'SystemRandom',
                lambda: random.Random(random.getrandbits(62)),
            ),
        ):
            try:
                yield
            finally:
                random.setstate(state)

    def connect(
        self,
        loop: Loop,
        address: ids.Address,
        unread_bytes: int | None = None,
    ) -> Connection:
        """As :func:`transport.connect`."""
        first = Connection(loop)

        def arrive() -> None:
            listener = self.listeners.get(address)
            if listener is None:
                refused_s = self.now_s + self.latency_s()
                loop.call_at(refused_s, lambda: first.end(False))
            elif not self.is_lost(loop, listener.loop, False):
                listener.loop.call_at(
                    self.now_s, lambda: listener.accept(first)
                )

        self.schedule(self.now_s + self.latency_s(), arrive)
        return first

    def latency_s(self) -> float:
        """How long a packet is on its way, and waits to be handled."""
        return LATENCY_S + self.random.random() * HANDLING_S

    def datagram_delay_s(self, to: Loop) -> float:
        """How long a datagram waits besides."""
        return self.queued_s.get(to, 0.0) * self.random.random()

    def is_lost(self, sender: Loop, to: Loop, is_datagram: bool) -> bool:
        """Whether a packet gets lost; only datagrams do without a cut."""
        if frozenset((sender, to)) in self.cut:
            return True
        return is_datagram and self.random.random() < self.loss

    def schedule(
        self, due_s: float, callback: typing.Callable[[], None]
    ) -> None:
        """Call *callback* at *due_s*, or now if that has passed."""
        heapq.heappush(
            self._events, (max(due_s, self.now_s), next(self._order), callback)
        )

    def run_until(self, end_s: float) -> None:
        """Play all that happens until *end_s*."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
        self.now_s = max(self.now_s, end_s)

    def run_for(self, duration_s: float) -> None:
        """Play the next *duration_s*."""
        if not math.isfinite(duration_s):
            raise ValueError('the nodes never stop by themselves')
        self.run_until(self.now_s + duration_s)
