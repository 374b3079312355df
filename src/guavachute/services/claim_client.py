"""Router: the client of the committer in the node process of its VM.

Handles the same messages as the committer itself. When the connection
ends, every pending attempt is refused and cancelled for good; the
cancellations are sent once a committer can be reached again.
"""

import collections
import dataclasses
import functools
import selectors
import time
import typing

from guavachute.decide.orders import order_commit
from guavachute import ids
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute import outcome
from guavachute.services import order_claims
from guavachute.wire import claims
from guavachute.wire import peer

NAME = 'claim-client'
RECONNECT_INTERVAL_S = 0.25
MAX_PENDING_NOTICES = 10_000

SEND_REST_S = 2.0
"""When the router stops, answers of orders are still sent for this long. One
that is not sent is unknown to later callers with its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class UseCommitter:
    """Switches to the committer at *address*; empty for none."""

    address: str


class ClaimClient(task.Task):
    """Owns the connection to the committer of claims.

    Messages: :class:`UseCommitter`, and
    :class:`order_claims.ClaimRequest`, :class:`order_claims.CancelAttempt`,
    :class:`order_claims.StoreAnswer`.
    """

    def __init__(self, metrics: counters.Counters) -> None:
        super().__init__(NAME)
        self._metrics = metrics
        self._address = ''
        self._committer: peer.Peer | None = None
        self._connect_at_s = 0.0
        self._requests: dict[str, order_claims.ClaimRequest] = {}
        self._notices: collections.deque[claims.FromRouter] = (
            collections.deque(maxlen=MAX_PENDING_NOTICES)
        )

    def run(self) -> None:
        """Serve the router's claims until stopped."""
        with selectors.DefaultSelector() as selector:
            self._selector = selector
            selector.register(
                self.mailbox.fileno(),
                selectors.EVENT_READ,
                self._handle_mailbox,
            )
            while not self.stopping.is_set():
                self._connect_if_due(time.monotonic())
                for key, events in selector.select(RECONNECT_INTERVAL_S):
                    key.data(events)
            self._handle_mailbox(selectors.EVENT_READ)
            self._send_rest()
            self._disconnect()
            self.mailbox.close()

    def _send_rest(self) -> None:
        """Send the answers and cancellations that wait, for a limited time."""
        end_s = time.monotonic() + SEND_REST_S
        while (
            self._committer is not None
            and self._committer.wanted_events & selectors.EVENT_WRITE
            and (left_s := end_s - time.monotonic()) > 0
        ):
            for key, events in self._selector.select(left_s):
                key.data(events)

    def _handle_mailbox(self, events: int) -> None:
        for message in self.mailbox.drain():
            _handle(message, self)

    def handle_use_committer(self, message: UseCommitter) -> None:
        """Change the committer; cancel the attempts that await the old one."""
        if message.address != self._address:
            self._address = message.address
            self._connect_at_s = 0.0
            self._disconnect()

    def handle_request(self, message: order_claims.ClaimRequest) -> None:
        """Send the claim, or refuse it if no committer is connected."""
        self._connect_if_due(time.monotonic())
        claim = message.claim
        if self._committer is None:
            self._reject(message)
            return
        self._requests[claim.attempt_id] = message
        self._send(
            claims.ClaimRequest(
                key=message.key,
                key_digest=claim.key_digest,
                body_digest=claim.body_digest,
                attempt_id=claim.attempt_id,
                wait_s=max(0.0, claim.deadline_s - time.monotonic()),
            )
        )

    def handle_cancel(self, message: order_claims.CancelAttempt) -> None:
        """Send the cancellation, once a committer is connected."""
        self._requests.pop(message.attempt_id, None)
        self._queue_notice(
            claims.ClaimCancellation(
                key_digest=message.key_digest, attempt_id=message.attempt_id
            )
        )

    def handle_answer(self, message: order_claims.StoreAnswer) -> None:
        """Send the answer, once a committer is connected."""
        self._queue_notice(claims.ClaimAnswered(answer=message.answer))

    def _queue_notice(self, notice: claims.FromRouter) -> None:
        self._notices.append(notice)
        self._send_notices()

    def _send_notices(self) -> None:
        while self._notices and self._committer is not None:
            self._send(self._notices.popleft())

    def _send(self, message: claims.FromRouter) -> None:
        assert self._committer is not None, message
        self._committer.send(message)
        self._after_io(self._committer)

    def _connect_if_due(self, now_s: float) -> None:
        if self._committer is not None or not self._address:
            return
        if now_s < self._connect_at_s:
            return
        self._connect_at_s = now_s + RECONNECT_INTERVAL_S
        committer = peer.connect(self._address, claims.FromCommitter)
        self._committer = committer
        self._selector.register(
            committer.socket,
            selectors.EVENT_READ | selectors.EVENT_WRITE,
            functools.partial(self._handle_io, committer),
        )

    def _handle_io(self, committer: peer.Peer, events: int) -> None:
        if committer is not self._committer:
            return
        if events & selectors.EVENT_READ:
            for message in committer.receive():
                self._handle_reply(message)
        if events & selectors.EVENT_WRITE and committer.failure is None:
            committer.flush()
            self._send_notices()
        self._after_io(committer)

    def _after_io(self, committer: peer.Peer) -> None:
        if committer is not self._committer:
            return
        if committer.failure is not None:
            self._metrics.add('orders.committer_lost')
            self._disconnect()
            return
        self._selector.modify(
            committer.socket,
            committer.wanted_events,
            functools.partial(self._handle_io, committer),
        )

    def _disconnect(self) -> None:
        committer, self._committer = self._committer, None
        if committer is not None:
            self._selector.unregister(committer.socket)
            committer.close()
        for request in list(self._requests.values()):
            # The refusal is final: no reply can lead to a dispatch any
            # more. The claim may still be in the log, so it is cancelled.
            self.handle_cancel(
                order_claims.CancelAttempt(
                    request.claim.key_digest, request.claim.attempt_id
                )
            )
            self._reject(request)

    def _reject(self, request: order_claims.ClaimRequest) -> None:
        request.reply_to.send(
            order_commit.Refused(
                request.claim.attempt_id,
                outcome.Verdict.NOT_RUN,
                outcome.Failure(
                    outcome.Reason.UNAVAILABLE,
                    'the node process that claims orders is not reachable',
                    order_commit.RETRY_AFTER_S,
                ),
            )
        )

    def _handle_reply(self, message: claims.FromCommitter) -> None:
        request = self._requests.pop(message.attempt_id, None)
        if request is not None:
            request.reply_to.send(_decode_reply(message))


def _decode_reply(message: claims.FromCommitter) -> order_commit.Reply:
    attempt_id = ids.AttemptId(message.attempt_id)
    match message:
        case claims.ClaimWon():
            return order_commit.Won(attempt_id)
        case claims.ClaimKnown():
            return order_commit.AlreadyRun(attempt_id, message.answer)
        case claims.ClaimRefused():
            return order_commit.Refused(
                attempt_id,
                message.verdict,
                outcome.Failure(
                    message.reason, message.detail, message.retry_after_s
                ),
            )
    typing.assert_never(message)


@functools.singledispatch
def _handle(message: typing.Any, client: ClaimClient) -> None:
    raise AssertionError(f'unexpected message {message!r}')


@_handle.register
def _(message: UseCommitter, client: ClaimClient) -> None:
    client.handle_use_committer(message)


@_handle.register
def _(message: order_claims.ClaimRequest, client: ClaimClient) -> None:
    client.handle_request(message)


@_handle.register
def _(message: order_claims.CancelAttempt, client: ClaimClient) -> None:
    client.handle_cancel(message)


@_handle.register
def _(message: order_claims.StoreAnswer, client: ClaimClient) -> None:
    client.handle_answer(message)


@_handle.register
def _(message: task.Stop, client: ClaimClient) -> None:
    """Nothing to do: the loop checks ``stopping``."""
