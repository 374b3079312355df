"""Accepts the connections of callers at one address."""

import typing

from guavachute.decide.ingress.closing import idle_limits as closing_limits
from guavachute.entry import callers
from guavachute.entry.intake import guard
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids
from guavachute.platform import requests


class CallerListener:
    """The connections of all callers of one address.

    :param handler: serves their requests
    :param intake: bounds what they hold; None without a bound
    :param rejection_headers: as that of a connection
    :param idle_limits: as that of a connection
    :ivar address: where it listens, with the port that was bound
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        address: ids.Address,
        handler: callers.RequestHandler,
        intake: guard.Guard | None,
        rejection_headers: callers.RejectionHeaders = (
            requests.own_answer_headers
        ),
        idle_limits: closing_limits.IdleLimits | None = None,
    ) -> None:
        self._loop = loop
        self._handler = handler
        self._intake = intake
        self._rejection_headers = rejection_headers
        self._idle_limits = idle_limits
        self._callers: set[callers.CallerConnection] = set()
        self._listener = transport.Listener(
            loop,
            address,
            self._accept,
            None if intake is None else intake.unread_bytes,
        )
        self.address = self._listener.address

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._callers)

    @property
    def open_requests(self) -> int:
        """The connections that read a request or have an answer to send."""
        return sum(caller.has_open_request for caller in self._callers)

    def stop_accepting(self) -> None:
        """Have the operating system refuse new connections."""
        self._listener.finish()

    def close_idle(self, unused_for_s: float = 0.0) -> None:
        """Close the connections that have had no request for so long."""
        for caller in list(self._callers):
            caller.close_if_idle(unused_for_s)

    def close(
        self, before_abort: typing.Callable[[], None] = lambda: None
    ) -> None:
        """Stop listening, call *before_abort*, and close all connections."""
        self._listener.close()
        before_abort()
        for caller in list(self._callers):
            caller.end_with_process()

    def _accept(self, connection: transport.Connection) -> None:
        self._callers.add(
            callers.CallerConnection(
                self._loop,
                connection,
                self._handler,
                self._callers.discard,
                self._intake,
                self._rejection_headers,
                self._idle_limits,
            )
        )
