"""What clients make a process hold follows from its settings.

The tests guard against forms in which bytes of clients stay that no budget
counts: in the receive queues of the operating system, at the addresses beside
the one for requests, and as decoded objects. The memory that is checked is the
resident one and what the process's sockets have received and it has not read.
"""

import contextlib
import http.client
import typing

from tests.nocover import test_untrusted_callers as untrusted
from tests.support import misbehaving
from tests.support import untrusted_site
from tests.support import waiting

MEMORY_MB = 160
SMALL_MEMORY_MB = 120
MAX_DESCRIPTORS = 4_096
MAX_BODY_BYTES = 4_194_304
CLIENTS = 1_500
"""Fewer than the descriptors allow."""

QUEUING_CLIENTS = 800
QUEUED_REQUESTS = 40
QUEUED_BODY_BYTES = 65_536
QUERY_CLIENTS = 900
QUERY_HEAD_BYTES = 15_500
QUERY_BODY_BYTES = 65_536
RELAYED_BYTES = 2_097_152
PROMPT_CLIENTS = 900
PROMPT_HEAD_BYTES = 16_000
ROUTER_CLIENTS = 1_500
TINY_CHUNKS = 20_000


def large_chunks(request_head: bytes) -> typing.Iterator[bytes]:
    """A chunked body of legal size without its last chunk."""
    chunk = b'%x\r\n%s\r\n' % (untrusted.PIECE_BYTES,
                               b'x' * untrusted.PIECE_BYTES)  # fmt: skip
    yield request_head
    for _ in range(MAX_BODY_BYTES // untrusted.PIECE_BYTES):
        yield chunk


def tiny_chunks(request_head: bytes) -> typing.Iterator[bytes]:
    """Chunks of one byte, without the last one."""
    yield request_head
    yield b'1\r\nx\r\n' * TINY_CHUNKS


def queued_requests(number: int) -> typing.Iterator[bytes]:
    """Requests behind each other on one connection."""
    for each in range(QUEUED_REQUESTS):
        yield from untrusted.whole_body(
            untrusted.head('/stream/1', QUEUED_BODY_BYTES, f'{number}-{each}'),
            QUEUED_BODY_BYTES,
        )


def request_of_many_parts(number: int) -> typing.Iterator[bytes]:
    """A request whose prompt has thousands of short parts."""
    names = (f'{each % 1_000:x}:1' for each in range(PROMPT_HEAD_BYTES // 6))
    parts = [f'p{number}:1', *names]
    start = untrusted.head('/stream/1', 2, f'attempt-{number}')
    lines = (
        f'Model: m\r\nToken-Counts: 10,10\r\n'
        f'Prefix-Hash: {",".join(parts)}\r\n\r\n'
    )
    yield start.removesuffix(b'\r\n') + lines.encode() + b'{}'


def unfinished_query(path: str) -> typing.Iterator[bytes]:
    """A query of many header lines and a body without its end."""
    start = (
        f'GET {path} HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {QUERY_BODY_BYTES}\r\n'
    )
    yield from untrusted.short_lines(start, QUERY_HEAD_BYTES, b'\r\n')
    yield b'x' * (QUERY_BODY_BYTES - 1)


def query_status(address: str, path: str) -> int:
    """The status of an ordinary query."""
    connection = http.client.HTTPConnection(
        address, timeout=untrusted_site.ANSWER_TIMEOUT_S
    )
    with contextlib.closing(connection):
        connection.request('GET', path)
        return connection.getresponse().status


class EntryProcess(untrusted_site.EntryProcessTest):
    """``guavachute-entry`` with little memory and many descriptors."""

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS
    model_slots = 2 * PROMPT_CLIENTS
    caller_limits: typing.ClassVar = {
        'maxHeaderBytes': 20_480,
        'maxBodyBytes': MAX_BODY_BYTES,
        'idleTimeoutMs': 600_000,
    }

    def send(
        self, address: str, payloads: typing.Iterable[typing.Iterator[bytes]]
    ) -> misbehaving.Clients:
        clients = misbehaving.Clients(address)
        self.stack.callback(clients.close)
        clients.send(payloads)
        return clients


class EntryTest(EntryProcess):
    """The crowds, each against a process of its own."""

    def test_bodies_that_stop_a_byte_short(self) -> None:
        start = untrusted.head('/lookup/1', MAX_BODY_BYTES)
        self.send(
            self.address,
            (
                untrusted.whole_body(start, MAX_BODY_BYTES, short_by=1)
                for _ in range(CLIENTS)
            ),
        )
        self.check_process()

    def test_chunked_bodies_without_their_last_chunk(self) -> None:
        start = untrusted.head('/lookup/1', None)
        self.send(
            self.address,
            (large_chunks(start) for _ in range(CLIENTS)),
        )
        self.check_process()

    def test_chunks_of_one_byte(self) -> None:
        start = untrusted.head('/lookup/1', None)
        self.send(self.address, (tiny_chunks(start) for _ in range(CLIENTS)))
        self.check_process()

    def test_connections_that_their_clients_have_closed(self) -> None:
        """Guards against connections that are not read staying open."""
        before = misbehaving.open_descriptors(self.process.pid)
        start = untrusted.head('/lookup/1', MAX_BODY_BYTES)
        clients = self.send(
            self.address,
            (
                untrusted.whole_body(start, MAX_BODY_BYTES, short_by=1)
                for _ in range(CLIENTS)
            ),
        )
        clients.close()
        with contextlib.suppress(AssertionError):
            waiting.until(
                lambda: (
                    misbehaving.open_descriptors(self.process.pid)
                    <= before + untrusted.SLOW_CLIENTS
                ),
                'the connections to be closed',
                untrusted_site.ANSWER_TIMEOUT_S,
            )
        descriptors = misbehaving.open_descriptors(self.process.pid)
        self.assertLessEqual(descriptors, before + untrusted.SLOW_CLIENTS)
        self.check_process()

    def test_prompts_of_many_parts(self) -> None:
        """Guards against decoded objects that no budget counts."""
        self.send(
            self.address,
            (request_of_many_parts(each) for each in range(PROMPT_CLIENTS)),
        )
        self.check_process()

    def check_queries(self, name: str, path: str) -> None:
        """Check unfinished queries at one of the other addresses."""
        address = self.other_addresses[name]
        self.send(
            address,
            (unfinished_query(path) for _ in range(QUERY_CLIENTS)),
        )
        self.check_process()
        self.assertEqual(200, query_status(address, path))

    def test_unfinished_queries_of_addresses(self) -> None:
        self.check_queries('directory', '/guavachute/resolve?name=x')

    def test_unfinished_queries_of_readiness(self) -> None:
        self.check_queries('readiness', '/guavachute/readyz')

    def test_unfinished_queries_of_peers(self) -> None:
        self.check_queries('peers', '/endpoints?beyond=-1')

    def test_unfinished_queries_of_metrics(self) -> None:
        self.check_queries('metrics', '/metrics')

    def test_unfinished_requests_to_pass_on(self) -> None:
        start = untrusted.head('/relay', RELAYED_BYTES)
        self.send(
            self.other_addresses['relay'],
            (
                untrusted.whole_body(start, RELAYED_BYTES, short_by=1)
                for _ in range(CLIENTS)
            ),
        )
        self.check_process()


class SmallEntryTest(EntryProcess):
    """``guavachute-entry`` with less memory."""

    memory_mb = SMALL_MEMORY_MB

    def test_requests_queued_by_clients_that_read_nothing(self) -> None:
        self.send(
            self.address,
            (queued_requests(number) for number in range(QUEUING_CLIENTS)),
        )
        self.check_process()


class RouterTest(untrusted_site.RouterProcessTest):
    """``guavachute-router`` with many descriptors."""

    max_descriptors = MAX_DESCRIPTORS

    def test_bodies_that_stop_a_byte_short(self) -> None:
        start = untrusted.router_head(untrusted.ROUTER_MAX_BODY_BYTES)
        clients = self.connect_clients()
        clients.send(
            untrusted.whole_body(
                start, untrusted.ROUTER_MAX_BODY_BYTES, short_by=1
            )
            for _ in range(ROUTER_CLIENTS)
        )
        self.check_process()
