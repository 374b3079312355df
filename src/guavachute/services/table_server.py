"""Node process: gives the routers of its VM their tables."""

import dataclasses
import functools
import selectors
import socket
import typing

from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.wire import peer
from guavachute.wire import requests
from guavachute.wire import status
from guavachute.wire import tables

WAIT_S = 1.0
FromOutside = (
    tables.RouterReport
    | status.StatusRequest
    | requests.CrashNotice
    | requests.GrantAsk
    | requests.GrantRelease
)
ToRouters = requests.DemandSums | requests.CrashNotice | requests.GrantAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Send *view* to every router, now and when it connects."""

    view: tables.Tables


@dataclasses.dataclass(frozen=True, slots=True)
class PassOn:
    """Send *message* to the routers that are connected now."""

    message: ToRouters


@dataclasses.dataclass(frozen=True, slots=True)
class CrashFound:
    """Sent to the subscriber: what a router here has found."""

    notice: requests.CrashNotice


@dataclasses.dataclass(frozen=True, slots=True)
class GrantWanted:
    """Sent to the subscriber: a router here asks or releases."""

    message: requests.GrantAsk | requests.GrantRelease


@dataclasses.dataclass(frozen=True, slots=True)
class RoutersChanged:
    """Sent to the subscriber: the newest report of each router here."""

    reports: tuple[tables.RouterReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AskStatus:
    """Sent to the subscriber when an operator asks.

    :ivar reply: to be called once, from any thread
    """

    reply: typing.Callable[[status.StatusReply], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    operator: peer.Peer
    reply: status.StatusReply


class TableServer(task.Task):
    """Owns the listening socket and the connections to it.

    Routers connect for their tables, operators to ask for the status.

    Messages: :class:`Publish`, :class:`PassOn`.

    :param subscriber: gets :class:`RoutersChanged` and
        :class:`AskStatus`
    """

    def __init__(
        self,
        host: str,
        port: int,
        count: counters.Counters,
        subscriber: mailbox.Mailbox,
    ) -> None:
        super().__init__('table-server')
        self._listener = peer.listen(host, port)
        self.address = peer.address_of(self._listener)
        self._count = count
        self._subscriber = subscriber
        self._reports: dict[peer.Peer, tables.RouterReport | None] = {}
        self._view: tables.Tables | None = None

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
            for router in self._reports:
                router.close()
            self._listener.close()

    def _read_mail(self, events: int) -> None:
        for message in self.mailbox.drain():
            if isinstance(message, Publish):
                self._view = message.view
                self._count.add('tables.published')
                for router in list(self._reports):
                    self._send(router)
            elif isinstance(message, PassOn):
                self._pass_on(message.message)
            elif isinstance(message, _Answer):
                if message.operator in self._reports:
                    message.operator.send(message.reply)
                    self._after(message.operator)

    def _accept(self, events: int) -> None:
        connection, _ = self._listener.accept()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        router = peer.Peer(connection, FromOutside)
        self._reports[router] = None
        self._selector.register(
            connection,
            selectors.EVENT_READ,
            functools.partial(self._router_ready, router),
        )
        self._send(router)

    def _send(self, router: peer.Peer) -> None:
        if self._view is not None:
            router.send(self._view)
            self._after(router)

    def _pass_on(
        self,
        message: ToRouters,
        but: peer.Peer | None = None,
    ) -> None:
        """Send *message* to the routers, known by their reports."""
        for router, report in list(self._reports.items()):
            if report is not None and router is not but:
                router.send(message)
                self._after(router)

    def _router_ready(self, router: peer.Peer, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            router.flush()
        if events & selectors.EVENT_READ:
            for message in router.receive():
                if isinstance(message, status.StatusRequest):
                    self._ask_status(router)
                elif isinstance(message, requests.CrashNotice):
                    self._pass_on(message, but=router)
                    self._subscriber.send(CrashFound(message))
                elif isinstance(message, tables.RouterReport):
                    self._take_report(router, message)
                else:
                    self._subscriber.send(GrantWanted(message))
        self._after(router)

    def _after(self, router: peer.Peer) -> None:
        if router not in self._reports:
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
        del self._reports[router]
        self._announce()

    def _ask_status(self, operator: peer.Peer) -> None:
        def reply(answer: status.StatusReply) -> None:
            self.mailbox.send(_Answer(operator, answer))

        self._subscriber.send(AskStatus(reply))

    def _take_report(
        self, router: peer.Peer, report: tables.RouterReport
    ) -> None:
        if self._reports[router] != report:
            self._reports[router] = report
            self._announce()

    def _announce(self) -> None:
        reports = tuple(
            report for report in self._reports.values() if report is not None
        )
        self._subscriber.send(RoutersChanged(reports))
