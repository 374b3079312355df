"""Node process: passes claims of routers to the committer, and replies back.

An attempt is claimed once, on one connection. Until the reply is written
to that connection the attempt can't have been dispatched, so when the
connection ends before the reply, the attempt is cancelled here. After the
reply only its router can cancel it.
"""

import functools
import selectors
import time
import typing

from guavachute.decide.orders import order_commit
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.services import order_claims
from guavachute.wire import claims
from guavachute.wire import peer

NAME = 'claim-server'
SELECT_TIMEOUT_S = 1.0


class ClaimServer(task.Task):
    """Owns the listening socket and the routers' connections.

    Messages: :data:`order_commit.Reply`.

    :param committer: the mailbox of an :class:`order_claims.OrderClaims`
    :ivar address: where it listens, ``IP:PORT``
    """

    def __init__(
        self,
        host: str,
        port: int,
        committer: mailbox.Mailbox,
        metrics: counters.Counters,
    ) -> None:
        super().__init__(NAME)
        self._listener = peer.listen(host, port)
        self.address = peer.address_of(self._listener)
        self._committer = committer
        self._metrics = metrics
        self._routers: set[peer.Peer] = set()
        self._requests: dict[str, tuple[peer.Peer, str]] = {}

    def run(self) -> None:
        """Serve until stopped."""
        with selectors.DefaultSelector() as selector:
            self._selector = selector
            selector.register(
                self.mailbox.fileno(),
                selectors.EVENT_READ,
                self._handle_mailbox,
            )
            selector.register(
                self._listener, selectors.EVENT_READ, self._accept
            )
            while not self.stopping.is_set():
                for key, events in selector.select(SELECT_TIMEOUT_S):
                    key.data(events)
            for router in self._routers:
                router.close()
            self._listener.close()
            self.mailbox.close()

    def _handle_mailbox(self, events: int) -> None:
        for message in self.mailbox.drain():
            if isinstance(message, order_commit.Reply):
                self._forward_reply(message)

    def _forward_reply(self, reply: order_commit.Reply) -> None:
        request = self._requests.pop(reply.attempt_id, None)
        if request is None:
            return
        router, _ = request
        router.send(_encode_reply(reply))
        self._after_io(router)

    def _accept(self, events: int) -> None:
        connection, _ = self._listener.accept()
        router = peer.Peer(connection, claims.FromRouter)
        self._routers.add(router)
        self._selector.register(
            connection,
            selectors.EVENT_READ,
            functools.partial(self._handle_io, router),
        )

    def _handle_io(self, router: peer.Peer, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            router.flush()
        if events & selectors.EVENT_READ:
            for message in router.receive():
                self._handle_message(router, message)
        self._after_io(router)

    def _handle_message(self, router: peer.Peer, message: typing.Any) -> None:
        match message:
            case claims.ClaimRequest():
                self._submit_claim(router, message)
            case claims.ClaimCancellation():
                self._requests.pop(message.attempt_id, None)
                self._cancel(message.key_digest, message.attempt_id)
            case claims.ClaimAnswered():
                self._committer.send(order_claims.StoreAnswer(message.answer))

    def _submit_claim(
        self, router: peer.Peer, request: claims.ClaimRequest
    ) -> None:
        self._requests[request.attempt_id] = router, request.key_digest
        claim = order_commit.Claim(
            request.key_digest,
            request.body_digest,
            ids.AttemptId(request.attempt_id),
            time.monotonic() + request.wait_s,
        )
        self._committer.send(
            order_claims.ClaimRequest(request.key, claim, self.mailbox)
        )

    def _cancel(self, key_digest: str, attempt_id: str) -> None:
        self._committer.send(
            order_claims.CancelAttempt(key_digest, ids.AttemptId(attempt_id))
        )

    def _after_io(self, router: peer.Peer) -> None:
        if router not in self._routers:
            return
        if router.failure is None:
            self._selector.modify(
                router.socket,
                router.wanted_events,
                functools.partial(self._handle_io, router),
            )
            return
        self._selector.unregister(router.socket)
        router.close()
        self._routers.discard(router)
        self._metrics.add('orders.routers_lost')
        self._cancel_all_of(router)

    def _cancel_all_of(self, router: peer.Peer) -> None:
        for attempt_id, (requester, key_digest) in list(
            self._requests.items()
        ):
            if requester is router:
                del self._requests[attempt_id]
                self._cancel(key_digest, attempt_id)


def _encode_reply(reply: order_commit.Reply) -> claims.FromCommitter:
    match reply:
        case order_commit.Won():
            return claims.ClaimWon(attempt_id=reply.attempt_id)
        case order_commit.AlreadyRun():
            return claims.ClaimKnown(
                attempt_id=reply.attempt_id, answer=reply.answer
            )
        case order_commit.Refused():
            return claims.ClaimRefused(
                attempt_id=reply.attempt_id,
                verdict=reply.verdict,
                reason=reply.failure.reason,
                detail=reply.failure.detail,
                retry_after_s=reply.failure.retry_after_s,
            )
    typing.assert_never(reply)
