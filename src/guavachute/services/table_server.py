"""Node process: sends tables to the routers of its VM.

Also passes messages between these routers and the rest of the node
process, and answers operators' status requests.
"""

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

SELECT_TIMEOUT_S = 1.0
ClientMessage = (
    tables.RouterReport
    | status.StatusRequest
    | requests.CrashNotice
    | requests.GrantRequest
    | requests.GrantRelease
)
RouterMessage = (
    requests.DemandSums | requests.CrashNotice | requests.GrantAnswer
)


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Sends *tables* to every router, now and when one connects."""

    tables: tables.Tables


@dataclasses.dataclass(frozen=True, slots=True)
class SendToRouters:
    """Sends *message* to the routers that are connected now."""

    message: RouterMessage


@dataclasses.dataclass(frozen=True, slots=True)
class LocalCrash:
    """To the subscriber: a crash notice of a router of this VM."""

    notice: requests.CrashNotice


@dataclasses.dataclass(frozen=True, slots=True)
class LocalGrantMessage:
    """To the subscriber: a router of this VM requests or releases a grant."""

    message: requests.GrantRequest | requests.GrantRelease


@dataclasses.dataclass(frozen=True, slots=True)
class RoutersChanged:
    """To the subscriber: the latest report of each connected router."""

    reports: tuple[tables.RouterReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusQuery:
    """To the subscriber: an operator requests the status.

    :ivar reply: must be called once with the answer, from any thread
    """

    reply: typing.Callable[[status.StatusReply], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _StatusAnswer:
    operator: peer.Peer
    reply: status.StatusReply


class TableServer(task.Task):
    """Owns the listening socket and the connections to it.

    Routers connect to receive tables, operators to query the status.

    Messages: :class:`Publish`, :class:`SendToRouters`.

    :param subscriber: receives :class:`RoutersChanged`,
        :class:`StatusQuery`, :class:`LocalCrash` and
        :class:`LocalGrantMessage`
    :ivar address: where it listens, ``IP:PORT``
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
        self._tables: tables.Tables | None = None

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
            for router in self._reports:
                router.close()
            self._listener.close()

    def _handle_mailbox(self, events: int) -> None:
        for message in self.mailbox.drain():
            if isinstance(message, Publish):
                self._tables = message.tables
                self._count.add('tables.published')
                for router in list(self._reports):
                    self._send_tables(router)
            elif isinstance(message, SendToRouters):
                self._send_to_routers(message.message)
            elif isinstance(message, _StatusAnswer):
                if message.operator in self._reports:
                    message.operator.send(message.reply)
                    self._after_io(message.operator)

    def _accept(self, events: int) -> None:
        connection, _ = self._listener.accept()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        router = peer.Peer(connection, ClientMessage)
        self._reports[router] = None
        self._selector.register(
            connection,
            selectors.EVENT_READ,
            functools.partial(self._handle_io, router),
        )
        self._send_tables(router)

    def _send_tables(self, router: peer.Peer) -> None:
        if self._tables is not None:
            router.send(self._tables)
            self._after_io(router)

    def _send_to_routers(
        self,
        message: RouterMessage,
        exclude: peer.Peer | None = None,
    ) -> None:
        """Send *message* to all routers except *exclude*.

        A connection belongs to a router once it has sent a report;
        operators send none.
        """
        for router, report in list(self._reports.items()):
            if report is not None and router is not exclude:
                router.send(message)
                self._after_io(router)

    def _handle_io(self, router: peer.Peer, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            router.flush()
        if events & selectors.EVENT_READ:
            for message in router.receive():
                if isinstance(message, status.StatusRequest):
                    self._query_status(router)
                elif isinstance(message, requests.CrashNotice):
                    self._send_to_routers(message, exclude=router)
                    self._subscriber.send(LocalCrash(message))
                elif isinstance(message, tables.RouterReport):
                    self._handle_report(router, message)
                else:
                    self._subscriber.send(LocalGrantMessage(message))
        self._after_io(router)

    def _after_io(self, router: peer.Peer) -> None:
        if router not in self._reports:
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
        del self._reports[router]
        self._publish_reports()

    def _query_status(self, operator: peer.Peer) -> None:
        def reply(answer: status.StatusReply) -> None:
            self.mailbox.send(_StatusAnswer(operator, answer))

        self._subscriber.send(StatusQuery(reply))

    def _handle_report(
        self, router: peer.Peer, report: tables.RouterReport
    ) -> None:
        if self._reports[router] != report:
            self._reports[router] = report
            self._publish_reports()

    def _publish_reports(self) -> None:
        reports = tuple(
            report for report in self._reports.values() if report is not None
        )
        self._subscriber.send(RoutersChanged(reports))
