"""An HTTP server for small answers, such as readiness and metrics."""

import dataclasses
import typing

from guavachute.domain import call
from guavachute.domain import configuration
from guavachute.entry import callers
from guavachute.entry import http1
from guavachute.entry.intake import guard
from guavachute.entry.intake import listener
from guavachute.entry import loop as entry_loop
from guavachute.http import message
from guavachute import ids

_LIMITS = configuration.CallerLimits(max_body_bytes=65_536)


@dataclasses.dataclass(frozen=True, slots=True)
class PlainRequest:
    """The path and the query of a request; its body is ignored."""

    path: str
    query: typing.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes = b''
    content_type: bytes = call.TEXT


NOT_FOUND = Reply(404, b'not found\n')

Handler = typing.Callable[[PlainRequest], Reply]


class PlainServer:
    """Answers each request at once, with the result of *handler*.

    :param intake: bounds what its connections hold; None without a bound
    :ivar address: where it listens, with the port that was bound
    """

    is_stopping = False
    limits = _LIMITS

    def __init__(
        self,
        loop: entry_loop.Loop,
        address: ids.Address,
        handler: Handler,
        intake: guard.Guard | None = None,
    ) -> None:
        self._handler = handler
        self._listener = listener.CallerListener(loop, address, self, intake)
        self.address = self._listener.address

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        self._listener.close()

    def begin(
        self, caller: callers.CallerConnection, request: http1.Request
    ) -> None:
        """Answer one request."""
        path, _, query = request.target.decode('latin-1').partition('?')
        reply = self._handler(PlainRequest(path, message.parse_query(query)))
        headers = [(b'Content-Type', reply.content_type)]
        caller.answer(reply.status, headers, reply.body)
