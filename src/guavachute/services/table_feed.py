"""Router: receives the tables from the node process of its VM.

While the node process is down, the router keeps the last tables. When the
node process returns with an older configuration, the router ignores it.
"""

import functools
import selectors
import time
import typing

from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute.wire import peer
from guavachute.wire import requests
from guavachute.wire import tables

REPORT_INTERVAL_S = 0.5
RECONNECT_INTERVAL_S = 0.25

IncomingMessage = (
    requests.DemandSums | requests.CrashNotice | requests.GrantAnswer
)
OutgoingMessage = (
    requests.CrashNotice | requests.GrantRequest | requests.GrantRelease
)

_log = logs.logger('tables')


class TableFeed(task.Task):
    """Owns the connection to the node process.

    :param node_address: of the node process, ``IP:PORT``
    :param apply_tables: called with tables that are not older than those
        in use
    :param build_report: returns the report for the node process; called
        with the offset of the configuration in force, -1 for none
    :param handle_message: called with the messages of other routers that
        the node process passes on
    """

    def __init__(
        self,
        node_address: str,
        count: counters.Counters,
        apply_tables: typing.Callable[[tables.Tables], None],
        build_report: typing.Callable[[int], tables.RouterReport],
        handle_message: typing.Callable[
            [IncomingMessage], None
        ] = lambda message: None,
    ) -> None:
        super().__init__('table-feed')
        self._node_address = node_address
        self._count = count
        self._apply_tables = apply_tables
        self._build_report = build_report
        self._handle_message = handle_message
        self._node: peer.Peer | None = None
        self._connect_at_s = 0.0
        self._offset = -1

    def run(self) -> None:
        """Follow the node process until stopped."""
        with selectors.DefaultSelector() as selector:
            self._selector = selector
            selector.register(
                self.mailbox.fileno(),
                selectors.EVENT_READ,
                self._handle_mailbox,
            )
            next_report_s = 0.0
            while not self.stopping.is_set():
                self._connect_if_due(time.monotonic())
                for key, events in selector.select(RECONNECT_INTERVAL_S):
                    key.data(events)
                if time.monotonic() >= next_report_s:
                    next_report_s = time.monotonic() + REPORT_INTERVAL_S
                    self._send_report()
            if self._node is not None:
                self._node.close()

    def _handle_mailbox(self, events: int) -> None:
        # Each message triggers a report; one for other routers is sent
        # first.
        for message in self.mailbox.drain():
            if isinstance(message, OutgoingMessage):
                self._send(message)
        self._send_report()

    def _connect_if_due(self, now_s: float) -> None:
        if self._node is not None or now_s < self._connect_at_s:
            return
        self._connect_at_s = now_s + RECONNECT_INTERVAL_S
        self._node = peer.connect(self._node_address, tables.FromNode)
        self._selector.register(
            self._node.socket,
            selectors.EVENT_READ | selectors.EVENT_WRITE,
            functools.partial(self._handle_io, self._node),
        )

    def _handle_io(self, node: peer.Peer, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            node.flush()
        if events & selectors.EVENT_READ:
            for message in node.receive():
                if isinstance(message, tables.Tables):
                    self._handle_tables(message)
                else:
                    self._handle_message(message)
        self._after_io(node)

    def _after_io(self, node: peer.Peer) -> None:
        if node.failure is None:
            self._selector.modify(
                node.socket,
                node.wanted_events,
                functools.partial(self._handle_io, node),
            )
            return
        self._selector.unregister(node.socket)
        node.close()
        self._node = None
        self._count.add('tables.disconnected')

    def _handle_tables(self, new: tables.Tables) -> None:
        if new.offset < self._offset:
            self._count.add('tables.refused_older')
            return
        if new.offset > self._offset:
            _log.notice('configuration {} in force', new.offset)
        self._offset = new.offset
        self._apply_tables(new)
        self._send_report()

    def _send_report(self) -> None:
        self._send(self._build_report(self._offset))

    def _send(self, message: tables.RouterReport | OutgoingMessage) -> None:
        node = self._node
        if node is not None and node.failure is None:
            node.send(message)
            self._after_io(node)
