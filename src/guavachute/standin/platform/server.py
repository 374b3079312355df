"""An HTTP server that can delay, malform or omit its responses."""

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
    """A request, with methods that answer it at any later time.

    The methods do nothing once the client has closed its connection.

    :ivar is_disconnected: whether the client has closed its connection
    :ivar on_disconnected: called when the client closes its connection
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
        self.is_disconnected = False
        self.on_disconnected: typing.Callable[[], None] = lambda: None

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header of the request; None if absent."""
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
        """Send a complete response."""
        if not self.is_disconnected:
            self.caller.answer(status, headers, body)

    def send_raw(self, data: bytes) -> None:
        """Send raw bytes, which need not be a valid response."""
        if not self.is_disconnected:
            self.connection.write(data)

    def abort(self) -> None:
        """Abort the connection."""
        if not self.is_disconnected:
            self.caller.abort()

    def handle_caller_left(self) -> None:
        """Handle the client's closing of its connection."""
        self.is_disconnected = True
        self.on_disconnected()

    def handle_caller_drained(self) -> None:
        """Do nothing: all bytes were sent, and nothing waits for it."""


Handler = typing.Callable[[Answer], None]


class Server:
    """Calls a handler with an :class:`Answer` for each request."""

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
        """Stop listening and abort all connections."""
        self._listener.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Abort all connections, but keep listening."""
        for caller in list(self._open):
            caller.abort()

    def begin(
        self, caller: callers.CallerConnection, request: http1.Request
    ) -> Answer:
        """Create the answer to a request and schedule the handler."""
        answer = Answer(caller, self._open[caller], request)
        self._loop.call_after(0, lambda: self._handler(answer))
        return answer

    def _accept(self, connection: transport.Connection) -> None:
        caller = callers.CallerConnection(
            self._loop, connection, self, self._discard
        )
        self._open[caller] = connection

    def _discard(self, caller: callers.CallerConnection) -> None:
        self._open.pop(caller, None)
