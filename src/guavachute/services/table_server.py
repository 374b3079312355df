"""Node process: gives the routers of its VM their tables."""

import dataclasses
import functools
import selectors
import socket

from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.wire import peer
from guavachute.wire import tables

WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Send *view* to every router, now and when it connects."""

    view: tables.Tables


@dataclasses.dataclass(frozen=True, slots=True)
class RoutersChanged:
    """Sent to the subscriber: the newest report of each router here."""

    reports: tuple[tables.RouterReport, ...]


class TableServer(task.Task):
    """Owns the listening socket and the routers' connections.

    Messages: :class:`Publish`.

    :param subscriber: gets :class:`RoutersChanged`
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

    def _accept(self, events: int) -> None:
        connection, _ = self._listener.accept()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        router = peer.Peer(connection, tables.FromRouter)
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

    def _router_ready(self, router: peer.Peer, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            router.flush()
        if events & selectors.EVENT_READ:
            for report in router.receive():
                self._take_report(router, report)
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
