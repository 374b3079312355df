"""Engines whose reports never end, beside sound ones."""

import json
import socket
import threading
import time
import unittest
import unittest.mock

from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.services import engine_watch
from guavachute.services.relay import messages
from guavachute.wire import tables
from tests.support import hosting
from tests.support import waiting

HEAD = b'HTTP/1.1 200 OK\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
REPORT = json.dumps({'running': 1, 'queued': 0, 'slots': 4}).encode()
SOUND = HEAD + b'Content-Length: %d\r\n\r\n%s' % (len(REPORT), REPORT)
PAUSE_S = 0.05


class Engine:
    """Answers all requests alike.

    :param answer: sent once to each request
    :param endless: sent then again and again; empty for nothing
    """

    def __init__(
        self, case: unittest.TestCase, answer: bytes, endless: bytes = b''
    ) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._answer, self._endless = answer, endless
        case.addCleanup(self._listener.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, name: str) -> tables.EndpointEntry:
        """The engine as a router knows it."""
        return tables.EndpointEntry(
            endpoint=name,
            address='%s:%d' % self._listener.getsockname(),
            failure_domain='here-a',
            region='here',
            pool='models',
        )

    def _accept(self) -> None:
        try:
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()
        except OSError:
            return

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                while connection.recv(65_536):
                    connection.sendall(self._answer)
                    while self._endless:
                        connection.sendall(self._endless)
                        time.sleep(PAUSE_S)
            except OSError:
                return


class EndlessReportTest(unittest.TestCase):
    # Guards against engines that hold the threads of the watch for good, so
    # that no engine's load is known any more.
    def test_sound_engines_are_polled_all_the_time(self) -> None:
        reports = mailbox.Mailbox()
        watch = hosting.host(
            self, engine_watch.EngineWatch(reports, counters.Counters())
        )
        endless = [
            Engine(self, b'', INTERIM),
            Engine(self, HEAD + b'\r\n', b'x'),
            Engine(self, HEAD + b'X: ', b'x'),
            Engine(
                self,
                HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
                b'X: y\r\n',
            ),
        ]
        entries = [each.entry(f'e{n}') for n, each in enumerate(endless)]
        entries.append(Engine(self, SOUND).entry('sound'))
        watch.set_tables(unittest.mock.Mock(endpoints=entries), {'models'})
        seen = 0

        def is_polled_again() -> bool:
            nonlocal seen
            for message in reports.drain():
                if isinstance(message, messages.EndpointReport):
                    self.assertEqual('sound', message.endpoint)
                    seen += 1
            return seen >= 3

        waiting.until(is_polled_again, 'three reports of the sound engine')
