"""Clients that the operators don't control, against the real processes.

The tests guard against a process that runs out of memory or descriptors, or
no longer serves ordinary callers, because of what such clients send. They
check neither times nor how many requests of these clients are served.
"""

import contextlib
import http.client
import itertools
import json
import pathlib
import subprocess
import tempfile
import threading
import typing
import unittest

import msgspec

from guavachute.assembly import router
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import settings as standin_settings
from tests.support import documents
from tests.support import misbehaving
from tests.support import platform_site
from tests.support import ports
from tests.support import programs
from tests.support import waiting

IP = '127.0.78.1'
ANSWER_TIMEOUT_S = 60

MEMORY_MB = 120
"""The memory of the entry VM. An idle process uses about 40 MB."""

MAX_DESCRIPTORS = 256
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 2_097_152
PIECE_BYTES = 65_536
ENDLESS_PIECES = 256
"""What a client sends "without end": 16 MB."""

CLIENTS = 64
HEAD_CLIENTS = 80
PIPELINING_CLIENTS = 12
IDLE_CLIENTS = 400
SLOW_CLIENTS = 20

ROUTER_MEMORY_MB = 160
"""The memory for a router. An idle router uses about 60 MB."""

ROUTER_MAX_BODY_BYTES = 8 * 1024 * 1024
ROUTER_MAX_HEAD_BYTES = 32 * 1024
ROUTER_CLIENTS = 40


def head(
    target: str, length: int | None, attempt_id: str = 'attempt-1'
) -> bytes:
    """The head of a request; without a length, its body is chunked."""
    framing = (
        'Transfer-Encoding: chunked'
        if length is None
        else f'Content-Length: {length}'
    )
    return (
        f'POST {target} HTTP/1.1\r\nHost: {platform_site.HOST}\r\n'
        f'Attempt-Id: {attempt_id}\r\nDeadline-Ms: 3000\r\n'
        f'Authorization: Token {platform_site.KEY}\r\n{framing}\r\n\r\n'
    ).encode()


def router_head(length: int | None) -> bytes:
    """The head of a request to a router."""
    framing = (
        'Transfer-Encoding: chunked'
        if length is None
        else f'Content-Length: {length}'
    )
    return (
        'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {documents.KEY}\r\n'
        f'Content-Type: application/json\r\n{framing}\r\n\r\n'
    ).encode()


def pieces(data_bytes: int) -> typing.Iterator[bytes]:
    """A body of that size in pieces."""
    while data_bytes > 0:
        yield b'x' * min(data_bytes, PIECE_BYTES)
        data_bytes -= PIECE_BYTES


def whole_body(
    request_head: bytes, body_bytes: int, short_by: int = 0
) -> typing.Iterator[bytes]:
    """A request whose body ends *short_by* bytes before its length."""
    yield request_head
    yield from pieces(body_bytes - short_by)


def endless_chunks(request_head: bytes) -> typing.Iterator[bytes]:
    """A chunked request that goes on far beyond all limits."""
    yield request_head
    chunk = b'%x\r\n%s\r\n' % (PIECE_BYTES, b'x' * PIECE_BYTES)
    for _ in range(ENDLESS_PIECES):
        yield chunk


def body_piece_by_piece(
    request_head: bytes, body_bytes: int
) -> typing.Iterator[bytes]:
    """Most of a body, and then the rest byte by byte."""
    yield request_head
    yield from pieces(body_bytes - 4_096)
    for _ in range(4_095):
        yield b'x'


def short_lines(
    start: str, max_bytes: int, end: bytes = b''
) -> typing.Iterator[bytes]:
    """A head of very many short lines.

    :param end: what follows after the lines
    """
    names = (f'{first}{second}' for first in 'abcdefghij'
             for second in 'abcdefghijklmnopqrstuvwxyz')  # fmt: skip
    lines = itertools.cycle(f'{name}:\r\n'.encode() for name in names)
    # The head counts each line as its name, its value and four bytes.
    count = (max_bytes - len(start) - 200) // 6
    yield start.encode() + b''.join(itertools.islice(lines, count))
    yield end


def lines_slowly(start: str) -> typing.Iterator[bytes]:
    """A head that goes on line by line."""
    yield start.encode()
    for number in range(500):
        yield b'x-%d: 1\r\n' % number


class ProcessTest(unittest.TestCase):
    """Checks that hold whatever the clients do."""

    process: subprocess.Popen[typing.Any]
    memory_mb: int
    max_descriptors: int
    address: str

    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )

    def connect_clients(self) -> misbehaving.Clients:
        clients = misbehaving.Clients(self.address)
        self.stack.callback(clients.close)
        return clients

    def ordinary_status(self) -> int:
        """The status of an ordinary request."""
        raise NotImplementedError

    def check_process(self) -> None:
        """Check the process while the clients are still connected."""
        if self.process.poll() is None:
            misbehaving.wait_until_read(self.process.pid)
        self.assertIsNone(self.process.poll(), 'the process has ended')
        descriptors = misbehaving.open_descriptors(self.process.pid)
        status = self.ordinary_status()
        self.assertIsNone(self.process.poll(), 'the process has ended')
        memory_mb = misbehaving.peak_memory_mb(self.process.pid)
        found = (
            f'peak {memory_mb:.0f} of {self.memory_mb} MB, {descriptors} of '
            f'{self.max_descriptors} descriptors, ordinary request: {status}'
        )
        print(f'{self.id()}: {found}')
        self.assertLessEqual(memory_mb, self.memory_mb, found)
        self.assertLessEqual(descriptors, self.max_descriptors, found)
        self.assertEqual(200, status, found)


class EntryTest(ProcessTest):
    """``guavachute-entry`` with endpoints of two services."""

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def setUp(self) -> None:
        super().setUp()
        self.site = platform_site.PlatformSite()
        self.stack.callback(self.site.close)
        limits = {
            'maxHeaderBytes': MAX_HEAD_BYTES,
            'maxBodyBytes': MAX_BODY_BYTES,
            'headerTimeoutMs': 20_000,
            'idleTimeoutMs': 40_000,
        }
        self.site.configure(1, limits=limits)
        self.site.add_engine('desk-1', platform_site.PLAIN_SERVICE)
        silent = self.site.add_engine('drafts-1', platform_site.MODEL_SERVICE)
        silent.behaviour = standin_engine.Behaviour.SILENT
        self.start_entry()
        self.run_endpoints()
        waiting.until(
            lambda: self.ordinary_status() == 200, 'the process to be ready'
        )

    def start_entry(self) -> None:
        peers_port = self.stack.enter_context(
            ports.reserved(IP, also=(1, 2, 15))
        )
        port = self.stack.enter_context(ports.reserved(IP))
        site = platform_site.node_settings(
            'edge-1', IP, self.site.store.address, None, peers_port
        )
        fields = msgspec.yaml.decode(standin_settings.encode(site))
        self.address = fields['listen']['frontend'] = f'{IP}:{port}'
        fields['limits'] = {
            'maxFds': MAX_DESCRIPTORS,
            'memoryMb': MEMORY_MB,
        }
        file = self.folder / 'settings.yaml'
        file.write_bytes(msgspec.yaml.encode(fields))
        log = self.stack.enter_context((self.folder / 'log').open('wb'))
        self.process = subprocess.Popen(
            programs.command('entry', str(file)),
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.stack.callback(self.end_entry)

    def end_entry(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(programs.EXIT_LIMIT_S)

    def run_endpoints(self) -> None:
        """Run the stand-ins while this test's clients block."""
        thread = threading.Thread(target=self.site.loop.run)
        thread.start()

        def stop() -> None:
            self.site.loop.stop()
            thread.join()

        self.stack.callback(stop)

    def ordinary_status(self) -> int:
        connection = http.client.HTTPConnection(
            self.address, timeout=ANSWER_TIMEOUT_S
        )
        try:
            connection.request(
                'POST',
                '/lookup/1',
                b'question',
                {
                    'Host': platform_site.HOST,
                    'Attempt-Id': 'ordinary',
                    'Authorization': f'Token {platform_site.KEY}',
                },
            )
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def test_bodies_far_over_the_limit(self) -> None:
        clients = self.connect_clients()
        for _ in range(3):
            clients.send(
                endless_chunks(head('/lookup/1', None if n % 2 else 10**12))
                for n in range(CLIENTS)
            )
        self.check_process()

    def test_very_many_short_or_malformed_header_lines(self) -> None:
        start = f'POST /lookup/1 HTTP/1.1\r\nHost: {platform_site.HOST}\r\n'
        ends = (b'', b'', b'no colon\r\n\r\n', b'Attempt-Id: a\r\n\r\n')
        clients = self.connect_clients()
        clients.send(
            short_lines(start, MAX_HEAD_BYTES, ends[n % len(ends)])
            for n in range(HEAD_CLIENTS)
        )
        self.check_process()

    def test_large_bodies_that_stop_just_short_of_their_end(self) -> None:
        clients = self.connect_clients()
        start = head('/lookup/1', MAX_BODY_BYTES)
        clients.send_slowly(
            body_piece_by_piece(start, MAX_BODY_BYTES)
            for _ in range(SLOW_CLIENTS)
        )
        clients.send(
            whole_body(start, MAX_BODY_BYTES, short_by=10 if n % 8 else 0)
            for n in range(CLIENTS)
        )
        self.check_process()

    def test_chunked_bodies_that_do_not_end(self) -> None:
        body_bytes = MAX_BODY_BYTES - PIECE_BYTES
        clients = self.connect_clients()
        clients.send(
            itertools.islice(
                endless_chunks(head('/lookup/1', None)),
                1 + body_bytes // PIECE_BYTES,
            )
            for _ in range(CLIENTS)
        )
        self.check_process()

    def test_large_requests_queued_on_each_connection(self) -> None:
        clients = self.connect_clients()
        clients.send(
            itertools.chain.from_iterable(
                whole_body(
                    head('/stream/1', MAX_BODY_BYTES, f'{number}-{each}'),
                    MAX_BODY_BYTES,
                )
                for each in range(8)
            )
            for number in range(PIPELINING_CLIENTS)
        )
        self.check_process()

    def test_more_connections_than_descriptors(self) -> None:
        clients = self.connect_clients()
        clients.send(iter([b'P']) for _ in range(IDLE_CLIENTS))
        self.check_process()


class RouterTest(ProcessTest):
    """``guavachute-router`` with one node and one engine."""

    memory_mb = ROUTER_MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def setUp(self) -> None:
        super().setUp()
        self.site = programs.Site(self.folder, self.stack)
        self.site.add_engine('engine-0')
        self.site.add_node('entry-1')
        settings = {
            'memory_mb': ROUTER_MEMORY_MB,
            'max_descriptors': MAX_DESCRIPTORS,
        }
        known = router.RouterSettings.__struct_fields__
        program = self.site.add_router(
            'entry-1',
            **{
                name: value
                for name, value in settings.items()
                if name in known
            },
        )
        self.process = program.process
        self.address = program.announced['http']
        self.site.publish()
        self.site.wait_ready()
        waiting.until(
            lambda: self.ordinary_status() == 200, 'the router to serve'
        )

    def ordinary_status(self) -> int:
        connection = http.client.HTTPConnection(
            self.address, timeout=ANSWER_TIMEOUT_S
        )
        try:
            connection.request(
                'POST',
                '/v1/completions',
                json.dumps(
                    {
                        'model': programs.MODEL,
                        'prompt': 'a plan',
                        'max_tokens': 3,
                    }
                ),
                {
                    'Authorization': f'Bearer {documents.KEY}',
                    'Content-Type': 'application/json',
                },
            )
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def test_bodies_far_over_the_limit(self) -> None:
        clients = self.connect_clients()
        clients.send(
            endless_chunks(router_head(None if n % 2 else 10**12))
            for n in range(ROUTER_CLIENTS)
        )
        self.check_process()

    def test_very_many_short_or_malformed_header_lines(self) -> None:
        start = 'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
        ends = (b'', b'', b'no colon\r\n\r\n', b'\r\n')
        clients = self.connect_clients()
        clients.send(
            short_lines(start, ROUTER_MAX_HEAD_BYTES, ends[n % len(ends)])
            for n in range(ROUTER_CLIENTS)
        )
        clients.send_slowly(lines_slowly(start) for _ in range(SLOW_CLIENTS))
        self.check_process()

    def test_large_bodies_that_stop_just_short_of_their_end(self) -> None:
        clients = self.connect_clients()
        start = router_head(ROUTER_MAX_BODY_BYTES)
        clients.send_slowly(
            body_piece_by_piece(start, ROUTER_MAX_BODY_BYTES)
            for _ in range(SLOW_CLIENTS)
        )
        clients.send(
            whole_body(
                start, ROUTER_MAX_BODY_BYTES, short_by=10 if n % 8 else 0
            )
            for n in range(ROUTER_CLIENTS)
        )
        self.check_process()

    def test_a_body_of_very_many_small_json_values(self) -> None:
        start = (
            f'{{"model": "{programs.MODEL}", "prompt": "a", "max_tokens": 3, '
            '"user": ['
        ).encode()
        count = (ROUTER_MAX_BODY_BYTES - len(start) - 100) // 3
        body = start + b'[],' * count + b'[]]}'
        clients = self.connect_clients()
        clients.send(iter([router_head(len(body)) + body]) for _ in range(8))
        self.check_process()

    def test_more_connections_than_descriptors(self) -> None:
        clients = self.connect_clients()
        clients.send(iter([b'P']) for _ in range(IDLE_CLIENTS))
        self.check_process()


# Only the classes with a process have tests.
del ProcessTest
