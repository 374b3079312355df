"""Clients that the operators don't control, against the real processes.

The tests guard against a process that runs out of memory or descriptors, or
no longer serves ordinary callers, because of what such clients send. They
check neither times nor how many requests of these clients are served.
"""

import itertools
import typing

from tests.support import documents
from tests.support import platform_site
from tests.support import programs
from tests.support import untrusted_site

MAX_HEAD_BYTES = untrusted_site.MAX_HEAD_BYTES
MAX_BODY_BYTES = untrusted_site.MAX_BODY_BYTES
PIECE_BYTES = 65_536
ENDLESS_PIECES = 256
"""What a client sends "without end": 16 MB."""

CLIENTS = 64
HEAD_CLIENTS = 80
PIPELINING_CLIENTS = 12
IDLE_CLIENTS = 400
SLOW_CLIENTS = 20

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


class EntryTest(untrusted_site.EntryProcessTest):
    """``guavachute-entry`` with endpoints of two services."""

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


class RouterTest(untrusted_site.RouterProcessTest):
    """``guavachute-router`` with one node and one engine."""

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
