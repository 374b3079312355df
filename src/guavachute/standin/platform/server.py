"""An HTTP server whose answers may come late, wrong or never."""

import typing

from guavachute.domain import call
from guavachute.domain import configuration
from guavachute.entry import callers
from guavachute.entry import http1
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids

ANY_PORT = ids.Address('127.0.0.1:0')

_LIMITS = configuration.CallerLimits(
    max_head_bytes=65_536, max_body_bytes=8_388_608, idle_timeout_s=60.0
)


class Answer:
    """One request, and the means to answer it whenever that is due.

    :ivar is_abandoned: whether the other side closed meanwhile
    """

    def __init__(
        self,
        caller: callers.CallerConnection,
        connection: transport.Connection,
        request: http1.Request,
    ) -> None:
        self.caller = caller
        self.connection = connection
        self.request = request
        self.is_abandoned = False
        self.on_abandoned: typing.Callable[[], None] = lambda: None

    def header(self, name: bytes) -> bytes | None:
        """The value of a header of the request."""
        for found, value in self.request.headers:
            if found.lower() == name.lower():
                return value
        return None

    def reply(
        self,
        status: int,
        body: bytes = b'',
        headers: typing.Sequence[call.Header] = (),
    ) -> None:
        """Answer, whole."""
        if not self.is_abandoned:
            self.caller.answer(status, headers, body)

    def raw(self, data: bytes) -> None:
        """Send bytes that need not be an answer."""
        if not self.is_abandoned:
            self.connection.write(data)

    def drop(self) -> None:
        """Close without an answer."""
        if not self.is_abandoned:
            self.caller.abort()

    def caller_left(self) -> None:
        """The other side closed."""
        self.is_abandoned = True
        self.on_abandoned()

    def caller_reads(self) -> None:
        """The other side has taken what was sent."""


Handler = typing.Callable[[Answer], None]


class Server:
    """Hands each request to a function, with its :class:`Answer`."""

    is_stopping = False
    limits = _LIMITS

    def __init__(
        self,
        loop: entry_loop.Loop,
        handler: Handler,
        address: ids.Address = ANY_PORT,
    ) -> None:
        self._loop = loop
        self._handler = handler
        self._open: dict[callers.CallerConnection, transport.Connection] = {}
        self._listener = transport.Listener(loop, address, self._accept)
        self.address = self._listener.address

    def close(self) -> None:
        """Take no more connections, and break off those that are open."""
        self._listener.close()
        self.break_connections()

    def break_connections(self) -> None:
        """Close every connection without a word."""
        for caller in list(self._open):
            caller.abort()

    def begin(
        self, caller: callers.CallerConnection, request: http1.Request
    ) -> Answer:
        """Hand over a request."""
        answer = Answer(caller, self._open[caller], request)
        self._loop.call_after(0, lambda: self._handler(answer))
        return answer

    def _accept(self, connection: transport.Connection) -> None:
        caller = callers.CallerConnection(
            self._loop, connection, self, self._forget
        )
        self._open[caller] = connection

    def _forget(self, caller: callers.CallerConnection) -> None:
        self._open.pop(caller, None)
