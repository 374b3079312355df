"""Passes requests of other nodes on to endpoints that those can't reach.

The other node has admitted the request, chosen the endpoint and counts both;
this one only sends it there, unless it knows of a reason not to, and hands the
answer back. A request is passed on once: this node never asks another one.
"""

import typing

from guavachute.domain import call
from guavachute.domain import configuration
from guavachute.entry import callers
from guavachute.entry.closing import stop_state
from guavachute.entry import endpoint_registry
from guavachute.entry import http1
from guavachute.entry.intake import guard
from guavachute.entry.intake import listener
from guavachute.entry import loop as entry_loop
from guavachute.entry import upstream
from guavachute.http import message
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import requests
from guavachute.wire import relay_requests

HEAD_BYTES = 8_192
"""What is needed beyond the limits of callers, for the headers that the nodes
add."""

IDLE_TIMEOUT_S = 20.0
"""Longer than the other nodes keep idle connections."""

MAX_FOREIGN_BYTES = 1_048_576
"""An answer to another request is skipped up to this size."""

OnAnnouncement = typing.Callable[
    [endpoint_registry.EndpointRecord, requests.Announcement], None
]


class RelayServer:
    """Accepts requests of other nodes, and passes them on.

    :param pool: connections to endpoints
    :param caller_limits: gives the limits on the requests of callers
    :param on_announcement: called with what an endpoint says of itself
    :param stop_grace_s: time from the signal to stop to the kill
    :param intake: bounds what the connections hold; None without a bound
    :ivar address: where it listens
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        address: ids.Address,
        registry: endpoint_registry.EndpointRegistry,
        pool: upstream.Pool,
        caller_limits: typing.Callable[[], configuration.CallerLimits],
        on_announcement: OnAnnouncement,
        stop_grace_s: float,
        intake: guard.Guard | None = None,
    ) -> None:
        self.loop = loop
        self.registry = registry
        self.pool = pool
        self.on_announcement = on_announcement
        self._stop = stop_state.StopState(loop, stop_grace_s)
        self._caller_limits = caller_limits
        self._open: set[_Relayed] = set()
        self._listener = listener.CallerListener(
            loop, address, self, intake, _rejection_headers
        )
        self.address = self._listener.address

    @property
    def is_stopping(self) -> bool:
        """Whether connections are closed after their current answer."""
        return self._stop.has_begun

    def stop(self) -> None:
        """Pass requests on for a while, then refuse them."""
        self._stop.begin()

    @property
    def limits(self) -> configuration.CallerLimits:
        """The limits on the requests of other nodes."""
        limits = self._caller_limits()
        return configuration.CallerLimits(
            max_head_bytes=HEAD_BYTES,
            max_body_bytes=(
                limits.max_head_bytes + limits.max_body_bytes + HEAD_BYTES
            ),
            idle_timeout_s=IDLE_TIMEOUT_S,
        )

    @property
    def open_requests(self) -> int:
        """The number of requests that are not completely answered."""
        return len(self._open) + self._listener.open_requests

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        self._listener.close()

    def begin(
        self, caller: callers.CallerConnection, request: http1.Request
    ) -> '_Relayed | None':
        """Pass a request on, or answer that it was not sent."""
        relayed = relay_requests.decode(
            request.target, request.headers, request.body
        )
        if isinstance(relayed, outcome.Failure):
            journal.problem('relay', outcome='unreadable', reason=str(relayed))
            caller.answer(400, (), b'', closes=True)
            return None
        if not self._stop.admits:
            self.refuse(caller, relayed, 'this node is stopping')
            return None
        record = self.registry.relay_target(
            relayed.endpoint, relayed.start_ms, self.loop.now_s
        )
        if record is None:
            self.refuse(caller, relayed, 'not usable here')
            return None
        passed_on = _Relayed(self, caller, relayed, record)
        self._open.add(passed_on)
        passed_on.send()
        return passed_on

    def refuse(
        self,
        caller: callers.CallerConnection,
        relayed: relay_requests.RelayRequest,
        reason: str,
    ) -> None:
        """Answer that nothing was sent to the endpoint."""
        journal.event(
            'relay',
            outcome='not-sent',
            request=relayed.attempt_id,
            endpoint=relayed.endpoint,
            reason=reason,
        )
        caller.answer(503, relay_requests.refusal_headers(reason), b'')

    def handle_ended(self, relayed: '_Relayed') -> None:
        """A request is answered, or will not be."""
        self._open.discard(relayed)


def _rejection_headers(
    attempt_id: ids.AttemptId | None, retry_after_s: float | None
) -> list[call.Header]:
    """What is not read completely is not passed on either."""
    return relay_requests.refusal_headers('not read')


class _Relayed:
    """One request that is passed on: the bytes of its answer go back."""

    def __init__(
        self,
        server: RelayServer,
        caller: callers.CallerConnection,
        request: relay_requests.RelayRequest,
        record: endpoint_registry.EndpointRecord,
    ) -> None:
        self._server = server
        self._caller = caller
        self._request = request
        self._record = record
        self._connection: upstream.Connection | None = None
        self._has_begun = False
        self._is_foreign = False
        self._foreign_bytes = 0
        self._bodiless: http1.AnswerStarted | None = None

    def send(self) -> None:
        """Send the request to the endpoint."""
        self._connection = self._server.pool.acquire(
            self._record.entry.address,
            self._request.attempt_id,
            needs_proven=self._request.runs_once,
        )
        journal.event(
            'relay',
            outcome='passed-on',
            request=self._request.attempt_id,
            endpoint=self._record.entry.id,
        )
        self._connection.send_request(self._request.content, self)

    # -- the other node ------------------------------------------------

    def handle_caller_left(self) -> None:
        """Cancel the endpoint's work, as the other node closed."""
        self._release(keeps_alive=False)

    def handle_caller_drained(self) -> None:
        """Read again from the endpoint; the other node has caught up."""
        if self._connection is not None:
            self._connection.resume()

    # -- the endpoint's answer -----------------------------------------

    def handle_upstream_event(self, event: http1.AnswerEvent) -> None:
        """Hand one parsed part of the endpoint's answer back."""
        if isinstance(event, http1.AnswerStarted):
            self._begin_answer(event)
        elif isinstance(event, http1.AnswerMalformed):
            self._fail('malformed answer')
        elif self._is_foreign:
            self._skip(event)
        elif isinstance(event, http1.AnswerBody):
            self._caller.answer_chunk(event.data)
            if self._caller.is_congested and self._connection is not None:
                self._connection.pause()
        else:
            self._release(event.keeps_alive)
            self._end_answer()

    def handle_upstream_ended(
        self, is_clean: bool, was_connected: bool
    ) -> None:
        """Handle the end of the connection to the endpoint."""
        assert self._connection is not None
        ends_answer = self._connection.ends_answer and not self._is_foreign
        if is_clean and ends_answer:
            self._release(keeps_alive=False)
            self._end_answer()
        elif was_connected:
            self._fail('closed' if is_clean else 'reset')
        else:
            self._server.registry.record_unreachable(
                self._record, self._server.loop.now_s
            )
            self._release(keeps_alive=False)
            self._server.refuse(self._caller, self._request, 'unreachable')

    def _begin_answer(self, event: http1.AnswerStarted) -> None:
        assert self._connection is not None
        head = requests.read_answer(event.status, event.headers)
        self._server.on_announcement(self._record, head.announcement)
        self._connection.idle_timeout_s = head.idle_timeout_s
        self._is_foreign = head.attempt_id != self._request.attempt_id
        if self._is_foreign:
            journal.problem(
                'answer',
                outcome='foreign',
                request=self._request.attempt_id,
                endpoint=self._record.entry.id,
                status=head.status,
                answers=head.attempt_id,
            )
            return
        self._has_begun = True
        if event.status in message.BODILESS_STATUSES:
            self._bodiless = event
            return
        self._caller.begin_answer(
            event.status,
            requests.end_to_end_headers(event.headers),
            event.framing is not http1.Framing.CONNECTION,
        )

    def _skip(self, event: http1.AnswerEvent) -> None:
        if isinstance(event, http1.AnswerBody):
            self._foreign_bytes += len(event.data)
            if self._foreign_bytes > MAX_FOREIGN_BYTES:
                self._fail('bytes without end of another answer')

    def _end_answer(self) -> None:
        self._server.handle_ended(self)
        if self._bodiless is not None:
            self._caller.answer(
                self._bodiless.status,
                requests.end_to_end_headers(self._bodiless.headers),
                b'',
            )
        else:
            self._caller.end_answer()

    def _fail(self, reason: str) -> None:
        """Break the answer off, so that the other node can't take it as one.

        Whether the endpoint has run the request is not known.
        """
        journal.event(
            'relay',
            outcome='broken',
            request=self._request.attempt_id,
            endpoint=self._record.entry.id,
            reason=reason,
            has_begun=self._has_begun,
        )
        self._release(keeps_alive=False)
        self._caller.abort()

    def _release(self, keeps_alive: bool) -> None:
        connection, self._connection = self._connection, None
        self._server.handle_ended(self)
        if connection is not None:
            connection.release(keeps_alive)
