"""Node process: takes the claims of routers and passes the replies on.

An attempt is asked on one connection, once. While no reply was written to
that connection nobody can have dispatched it, so when the connection ends
before that, the attempt is given up here. Afterwards only its router can.
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
WAIT_S = 1.0


class ClaimServer(task.Task):
    """Owns the listening socket and the routers' connections.

    Messages: :data:`order_commit.Reply`.

    :param committer: the mailbox of :class:`order_claims.OrderClaims`
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
        self._asked: dict[str, tuple[peer.Peer, str]] = {}

    def run(self) -> None:
        """Serve until stopped."""
        with selectors.DefaultSelector() as selector:
            self._selector = selector
            selector.register(
                self.mailbox.fileno(), selectors.EVENT_READ, self._read_mail
            )
            selector.register(
                self._listener, selectors.EVENT_READ, self._accept
            )
            while not self.stopping.is_set():
                for key, events in selector.select(WAIT_S):
                    key.data(events)
            for router in self._routers:
                router.close()
            self._listener.close()
            self.mailbox.close()

    def _read_mail(self, events: int) -> None:
        for message in self.mailbox.drain():
            if isinstance(message, order_commit.Reply):
                self._pass_on(message)

    def _pass_on(self, reply: order_commit.Reply) -> None:
        asked = self._asked.pop(reply.attempt_id, None)
        if asked is None:
            return
        router, _ = asked
        router.send(_wire_reply(reply))
        self._after(router)

    def _accept(self, events: int) -> None:
        connection, _ = self._listener.accept()
        router = peer.Peer(connection, claims.FromRouter)
        self._routers.add(router)
        self._selector.register(
            connection,
            selectors.EVENT_READ,
            functools.partial(self._router_ready, router),
        )

    def _router_ready(self, router: peer.Peer, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            router.flush()
        if events & selectors.EVENT_READ:
            for message in router.receive():
                self._take(router, message)
        self._after(router)

    def _take(self, router: peer.Peer, message: typing.Any) -> None:
        match message:
            case claims.ClaimAsk():
                self._ask(router, message)
            case claims.ClaimGiveUp():
                self._asked.pop(message.attempt_id, None)
                self._give_up(message.key_digest, message.attempt_id)
            case claims.ClaimAnswered():
                self._committer.send(order_claims.Answered(message.answer))

    def _ask(self, router: peer.Peer, ask: claims.ClaimAsk) -> None:
        self._asked[ask.attempt_id] = router, ask.key_digest
        claim = order_commit.Claim(
            ask.key_digest,
            ask.body_digest,
            ids.AttemptId(ask.attempt_id),
            time.monotonic() + ask.wait_s,
        )
        self._committer.send(order_claims.Ask(ask.key, claim, self.mailbox))

    def _give_up(self, key_digest: str, attempt_id: str) -> None:
        self._committer.send(
            order_claims.GiveUp(key_digest, ids.AttemptId(attempt_id))
        )

    def _after(self, router: peer.Peer) -> None:
        if router not in self._routers:
            return
        if router.failure is None:
            self._selector.modify(
                router.socket,
                router.wanted_events,
                functools.partial(self._router_ready, router),
            )
            return
        self._selector.unregister(router.socket)
        router.close()
        self._routers.discard(router)
        self._metrics.add('orders.routers_lost')
        self._give_up_for(router)

    def _give_up_for(self, router: peer.Peer) -> None:
        for attempt_id, (asker, key_digest) in list(self._asked.items()):
            if asker is router:
                del self._asked[attempt_id]
                self._give_up(key_digest, attempt_id)


def _wire_reply(reply: order_commit.Reply) -> claims.FromCommitter:
    match reply:
        case order_commit.Won():
            return claims.ClaimWon(attempt_id=reply.attempt_id)
        case order_commit.Known():
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
