"""A loopback proxy that delays, resets, cuts one way or silences."""

import enum
import typing

from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids

DELAY_S = 0.25


class Mode(enum.Enum):
    """What happens to bytes from now on."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    """New connections, and what comes on old ones, end them."""
    MUTE = 'mute'
    """Nothing passes towards the client; the other way is open."""
    DEAF = 'deaf'
    """Nothing passes towards the server; the other way is open."""
    SILENT = 'silent'


class Proxy:
    """Passes connections at its own address on to another."""

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
        """End, with all connections."""
        self._listener.close()
        self.reset()

    def reset(self) -> None:
        """Break all connections."""
        for pair in list(self._pairs):
            pair.close()

    def _accept(self, client: transport.Connection) -> None:
        server = transport.connect(self._loop, self._target)
        if server is None or self.mode is Mode.RESET:
            client.close()
            return
        _Pair(self, client, server, self._pairs).begin()

    def passes(self, is_to_server: bool) -> bool:
        """Whether bytes go on in this direction."""
        blocked = (Mode.SILENT, Mode.DEAF if is_to_server else Mode.MUTE)
        return self.mode not in blocked

    def later(self, action: typing.Callable[[], None]) -> None:
        """Do something, at once or after the delay."""
        if self.mode is Mode.DELAY:
            self._loop.call_after(DELAY_S, action)
        else:
            action()


class _Pair:
    """A connection from a client and the one it is passed on to.

    Bytes that were held back once are lost, and so are those after
    them: a stream with a hole would be another fault.
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
        self.is_cut = {True: False, False: False}

    def begin(self) -> None:
        """Pass bytes on from now on."""
        self._pairs.add(self)
        self._client.owner = _End(self, self._server, is_to_server=True)
        self._server.owner = _End(self, self._client, is_to_server=False)

    def close(self) -> None:
        """End both connections."""
        self._pairs.discard(self)
        self._client.close()
        self._server.close()

    def pass_on(
        self, to: transport.Connection, data: bytes, is_to_server: bool
    ) -> None:
        """Hand bytes over, as the proxy's mode has it."""
        if self._proxy.mode is Mode.RESET:
            self.close()
            return
        if not self._proxy.passes(is_to_server):
            self.is_cut[is_to_server] = True
        if not self.is_cut[is_to_server]:
            self._proxy.later(lambda: to.write(data))

    def ended(self, is_to_server: bool) -> None:
        """One side closed."""
        if self._proxy.passes(is_to_server):
            self._proxy.later(self.close)


class _End:
    """One direction of a pair."""

    def __init__(
        self, pair: _Pair, to: transport.Connection, is_to_server: bool
    ) -> None:
        self._pair = pair
        self._to = to
        self._is_to_server = is_to_server

    def received(self, data: bytes) -> None:
        """Bytes came."""
        self._pair.pass_on(self._to, data, self._is_to_server)

    def ended(self, is_clean: bool) -> None:
        """The connection is gone."""
        self._pair.ended(self._is_to_server)

    def drained(self) -> None:
        """All is sent."""
