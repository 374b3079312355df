"""Structured logs: one JSON line for each decision, on standard output.

Lines are queued and written without blocking. Lines that don't fit the
bounded queue are dropped and counted; the count is logged as soon as
the queue is empty again.
"""

import collections
import contextlib
import os
import sys
import typing

import logbook
import msgspec

MAX_WAITING_LINES = 4_000
"""Capacity of the queue, about one megabyte with usual lines."""

MAX_WAITING_BYTES = 4_194_304
"""Capacity of the queue in bytes. Lines hold what callers sent, such as the
id of a request, which may be as long as a head."""

_log = logbook.Logger('guavachute')


def event(name: str, **fields: typing.Any) -> None:
    """Log the event *name*, with the values that led to it."""
    _log.info(name, extra=fields)


def problem(name: str, **fields: typing.Any) -> None:
    """Log an unexpected event *name* as a warning, with its context."""
    _log.warning(name, extra=fields)


class LineQueue(logbook.Handler):
    """A handler that writes records as JSON lines without blocking.

    :param descriptor: set to non-blocking by the caller
    :param node: the node's name, included in every line
    """

    def __init__(self, descriptor: int, node: str) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self._descriptor = descriptor
        self._node = node
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self.dropped = 0
        """Number of lost lines that are not logged yet.

        Lines are lost if the queue is full or writing fails.
        """

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of *record*, and write without blocking."""
        if (
            len(self._lines) >= MAX_WAITING_LINES
            or self._waiting_bytes >= MAX_WAITING_BYTES
        ):
            self.dropped += 1
            return
        line = self._encode(record)
        self._lines.append(line)
        self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._lines.appendleft(line)
                return
            except OSError:
                # The reader has gone; the process continues without logs.
                self.dropped += 1 + len(self._lines)
                self._lines.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
                return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            event('log', outcome='dropped', lines=dropped)

    def _encode(self, record: logbook.LogRecord) -> bytes:
        line = {
            'time': record.time.isoformat(),
            'node': self._node,
            'level': record.level_name.lower(),
            'event': record.msg,
            **record.extra,
        }
        return msgspec.json.encode(line, enc_hook=str) + b'\n'


@contextlib.contextmanager
def to_stdout(node: str) -> typing.Iterator[LineQueue]:
    """Write the events of this process to standard output as JSON lines."""
    descriptor = sys.stdout.fileno()
    was_blocking = os.get_blocking(descriptor)
    os.set_blocking(descriptor, False)
    handler = LineQueue(descriptor, node)
    try:
        with handler.applicationbound():
            yield handler
    finally:
        handler.flush()
        os.set_blocking(descriptor, was_blocking)
