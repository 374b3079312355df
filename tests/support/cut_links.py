"""Cuts the links of single nodes to endpoints, and to nothing else.

The nodes of a test share a loop and the machine's loopback network, so a link
is cut where a node opens connections. ``transport.connect`` has to be replaced
by :meth:`CutLinks.connect`; each node gets a loop of its own from
:meth:`CutLinks.node_loop`, by which its connections are recognised.
"""

import contextlib
import enum
import socket
import typing
import weakref

from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids
from guavachute.kernel import receiving

_connect = transport.connect


class Mode(enum.Enum):
    """What a node meets on its links to endpoints."""

    OPEN = 'open'
    HANG = 'hang'
    """Nothing passes: packets of open and new connections are dropped."""
    RESET = 'reset'
    """Open connections are reset, and new ones refused."""
    REFUSE = 'refuse'
    """Open connections live on, and new ones are refused."""


class NodeLoop(entry_loop.Loop):
    """The loop of the test, as one node sees it."""

    def __init__(self, loop: entry_loop.Loop) -> None:
        # Both are the same loop; only the identity of the object differs.
        self.__dict__ = loop.__dict__


class CutLinks:
    """The links between the nodes of a test and its endpoints.

    :param is_endpoint: whether an address is that of an endpoint
    """

    def __init__(
        self, is_endpoint: typing.Callable[[ids.Address], bool]
    ) -> None:
        self._is_endpoint = is_endpoint
        self._modes: dict[int, Mode] = {}
        self._connections: dict[int, weakref.WeakSet[_LinkConnection]] = {}
        self._addresses: dict[int, typing.Collection[ids.Address] | None] = {}
        self._stack = contextlib.ExitStack()
        self._nowhere: ids.Address | None = None

    def close(self) -> None:
        """Close the sockets that stand for unreachable addresses."""
        self._stack.close()

    def node_loop(self, loop: entry_loop.Loop) -> NodeLoop:
        """*loop* for one more node that shares it."""
        own = NodeLoop(loop)
        self.adopt(own)
        return own

    def adopt(self, loop: entry_loop.Loop) -> None:
        """Have the links of the node of *loop* cut from now on, if asked."""
        self._modes[id(loop)] = Mode.OPEN
        self._connections[id(loop)] = weakref.WeakSet()

    def cut(
        self,
        loop: entry_loop.Loop,
        mode: Mode,
        addresses: typing.Collection[ids.Address] | None = None,
    ) -> None:
        """Cut, or open again, links of the node of *loop*.

        :param addresses: the endpoints that are affected; None for all
        """
        self._modes[id(loop)] = mode
        self._addresses[id(loop)] = addresses
        for connection in list(self._connections[id(loop)]):
            if addresses is not None and connection.address not in addresses:
                continue
            if mode is Mode.RESET:
                connection.break_link()
            else:
                connection.hold(mode is Mode.HANG)

    def connect(
        self,
        loop: entry_loop.Loop,
        address: ids.Address,
        unread_bytes: int | None = None,
    ) -> transport.Connection | None:
        """Connect as the node of *loop*; replaces ``transport.connect``."""
        mode = self._modes.get(id(loop))
        if mode is None or not self._is_endpoint(address):
            return _connect(loop, address, unread_bytes)
        affected = self._addresses.get(id(loop))
        if affected is not None and address not in affected:
            mode = Mode.OPEN
        if mode is Mode.HANG:
            return _connect(loop, self._silent_address())
        if mode is not Mode.OPEN:
            return _connect(loop, self._refusing_address())
        host, _, port = address.rpartition(':')
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        if unread_bytes is not None:
            receiving.limit(sock, unread_bytes)
        sock.connect_ex((host, int(port)))
        connection = _LinkConnection(loop, sock, address)
        self._connections[id(loop)].add(connection)
        return connection

    def _refusing_address(self) -> ids.Address:
        """An address at which nobody listens."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.bind(('127.0.0.1', 0))
            return ids.Address('127.0.0.1:%d' % sock.getsockname()[1])

    def _silent_address(self) -> ids.Address:
        """An address that answers no SYN, since its queue is full."""
        if self._nowhere is None:
            listener = self._stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            )
            listener.bind(('127.0.0.1', 0))
            listener.listen(0)
            for _ in range(2):
                filler = self._stack.enter_context(
                    socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                )
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            self._nowhere = ids.Address(
                '127.0.0.1:%d' % listener.getsockname()[1]
            )
        return self._nowhere


class _LinkConnection(transport.Connection):
    """A connection over a link that can be cut."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        sock: socket.socket,
        address: ids.Address,
    ) -> None:
        self.address = address
        self._held: list[bytes] | None = None
        super().__init__(loop, sock, is_open=False)

    def hold(self, is_held: bool) -> None:
        """Hold all bytes up, or let them pass from now on."""
        if is_held and self._held is None:
            held_now: list[bytes] = []
            self._held = held_now
            super().pause()
            # The system gives up when nothing is acknowledged for long.
            self._loop.call_after(
                transport.KEEPALIVE.user_timeout_s,
                lambda: self._give_up(held_now),
            )
        elif not is_held and self._held is not None:
            held, self._held = self._held, None
            super().resume()
            for data in held:
                self.write(data)

    def break_link(self) -> None:
        """Reset the connection."""
        self._break()

    def write(self, data: bytes) -> None:
        """Send *data*, or keep it while bytes are held up."""
        if self._held is None:
            super().write(data)
        else:
            self._held.append(data)

    def resume(self) -> None:
        """Read again, unless bytes are held up."""
        if self._held is None:
            super().resume()

    def _give_up(self, held: list[bytes]) -> None:
        # A later time in which bytes are held up has a timer of its own.
        if self._held is held:
            self._break()
