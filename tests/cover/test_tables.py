"""A router keeps the newest tables, also across node processes."""

import contextlib
import typing
import unittest

from guavachute.kernel import kernel
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.services import table_feed
from guavachute.services import table_server
from guavachute.wire import tables
from tests.support import waiting


def make_tables(offset: int) -> tables.Tables:
    return tables.Tables(
        environment='trial',
        offset=offset,
        digest=f'digest {offset}',
        document={},
        endpoints=[],
        routers=[],
    )


class TablesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.inbox = mailbox.Mailbox()
        self.applied: list[int] = []
        self.count = counters.Counters()

    def start_server(self, port: int = 0) -> table_server.TableServer:
        server = table_server.TableServer(
            '127.0.0.1', port, counters.Counters(), self.inbox
        )
        self.run_service(server)
        return server

    def start_feed(self, address: str) -> None:
        self.run_service(
            table_feed.TableFeed(
                address,
                self.count,
                lambda new: self.applied.append(new.offset),
                lambda offset: tables.RouterReport(
                    router='router-1',
                    address='127.0.0.1:1',
                    offset=offset,
                    draining=False,
                    active_requests=0,
                    used_tokens={},
                ),
            )
        )

    def run_service(self, service: typing.Any) -> None:
        hosting = kernel.Kernel()
        hosting.add(service)
        self.stack.enter_context(hosting.running())

    def publish(self, server: table_server.TableServer, offset: int) -> None:
        server.mailbox.send(table_server.Publish(make_tables(offset)))

    def test_a_router_takes_what_is_newer_and_reports_it(self) -> None:
        server = self.start_server()
        self.publish(server, 3)
        self.start_feed(server.address)
        waiting.until(lambda: self.applied == [3], 'the first tables')
        self.publish(server, 5)
        waiting.until(lambda: self.applied == [3, 5], 'the newer tables')
        waiting.until(lambda: self.reported() == 5, 'the report')

    def reported(self) -> int | None:
        message = self.inbox.receive(0.01)
        while (newer := self.inbox.receive(0.01)) is not None:
            message = newer
        if not isinstance(message, table_server.RoutersChanged):
            return None
        return message.reports[0].offset if message.reports else None

    def test_an_older_configuration_is_refused(self) -> None:
        server = self.start_server()
        self.publish(server, 5)
        self.start_feed(server.address)
        waiting.until(lambda: self.applied == [5], 'the first tables')
        self.publish(server, 4)
        waiting.until(
            lambda: self.count.value('tables.refused_older') == 1,
            'the older tables are ignored',
        )
        self.publish(server, 6)
        waiting.until(lambda: self.applied == [5, 6], 'the newer tables')

    def test_tables_survive_the_node_process_and_never_go_back(self) -> None:
        server = self.start_server()
        port = int(server.address.rpartition(':')[2])
        self.publish(server, 5)
        self.start_feed(server.address)
        waiting.until(lambda: self.applied == [5], 'the first tables')
        server.request_stop()
        server.join(10)
        waiting.until(
            lambda: self.count.value('tables.disconnected') >= 1,
            'the disconnection',
        )
        self.assertEqual([5], self.applied)
        restarted = self.start_server(port)
        self.publish(restarted, 2)
        waiting.until(
            lambda: self.count.value('tables.refused_older') >= 1,
            'the older tables are ignored',
        )
        self.assertEqual([5], self.applied)
