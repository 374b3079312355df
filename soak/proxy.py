"""A loopback proxy that delays, resets or blocks what it forwards."""

import enum
import typing

from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids

DELAY_S = 0.25


class Mode(enum.Enum):
    """What the proxy does with the bytes that it receives."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    """New connections are closed, and others when bytes arrive on them."""
    BLOCK_TO_CLIENT = 'mute'
    """Bytes to the client are dropped; bytes to the server pass."""
    BLOCK_TO_SERVER = 'deaf'
    """Bytes to the server are dropped; bytes to the client pass."""
    BLOCK_BOTH = 'silent'
    """Bytes in both directions are dropped."""


class Proxy:
    """Forwards connections to its own address to another address."""

    def __init__(
        self, loop: entry_loop.Loop, target: ids.Address, host: str
    ) -> None:
        self._loop = loop
        self._target = target
        self._pairs: set[_Pair] = set()
        self.mode = Mode.PASS
        self._listener = transport.Listener(
            loop, ids.Address(f'{host}:0'), self._accept
        )
        self.address = self._listener.address

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Close all connections, but keep listening."""
        for pair in list(self._pairs):
            pair.close()

    def _accept(self, client: transport.Connection) -> None:
        server = transport.connect(self._loop, self._target)
        if server is None or self.mode is Mode.RESET:
            client.close()
            return
        _Pair(self, client, server, self._pairs).start()

    def forwards(self, is_to_server: bool) -> bool:
        """Return whether bytes in this direction are forwarded."""
        blocked = (
            Mode.BLOCK_BOTH,
            Mode.BLOCK_TO_SERVER if is_to_server else Mode.BLOCK_TO_CLIENT,
        )
        return self.mode not in blocked

    def schedule(self, action: typing.Callable[[], None]) -> None:
        """Call *action* at once, or after the delay in that mode."""
        if self.mode is Mode.DELAY:
            self._loop.call_after(DELAY_S, action)
        else:
            action()


class _Pair:
    """A client's connection and the server's that it is forwarded to.

    Once bytes in a direction were dropped, all later ones are dropped too:
    a stream with a gap would be a different fault.
    """

    def __init__(
        self,
        proxy: Proxy,
        client: transport.Connection,
        server: transport.Connection,
        pairs: set['_Pair'],
    ) -> None:
        self._proxy = proxy
        self._client = client
        self._server = server
        self._pairs = pairs
        self.is_blocked = {True: False, False: False}

    def start(self) -> None:
        """Start forwarding in both directions."""
        self._pairs.add(self)
        self._client.owner = _Side(self, self._server, is_to_server=True)
        self._server.owner = _Side(self, self._client, is_to_server=False)

    def close(self) -> None:
        """Close both connections."""
        self._pairs.discard(self)
        self._client.close()
        self._server.close()

    def forward(
        self, to: transport.Connection, data: bytes, is_to_server: bool
    ) -> None:
        """Forward, drop or delay bytes according to the proxy's mode."""
        if self._proxy.mode is Mode.RESET:
            self.close()
            return
        if not self._proxy.forwards(is_to_server):
            self.is_blocked[is_to_server] = True
        if not self.is_blocked[is_to_server]:
            self._proxy.schedule(lambda: to.write(data))

    def handle_end(self, is_to_server: bool) -> None:
        """Close the other side too, unless this direction is blocked."""
        if self._proxy.forwards(is_to_server):
            self._proxy.schedule(self.close)


class _Side:
    """The owner of one connection of a pair: forwards its bytes."""

    def __init__(
        self, pair: _Pair, to: transport.Connection, is_to_server: bool
    ) -> None:
        self._pair = pair
        self._to = to
        self._is_to_server = is_to_server

    def received(self, data: bytes) -> None:
        """Handle bytes that arrived."""
        self._pair.forward(self._to, data, self._is_to_server)

    def ended(self, is_clean: bool) -> None:
        """Handle the end of the connection."""
        self._pair.handle_end(self._is_to_server)

    def drained(self) -> None:
        """Do nothing: nothing waits until all bytes are sent."""
