"""Structured logs: one JSON line for each decision, on standard output.

Lines wait in a bounded queue that is written without blocking; what
does not fit is dropped and counted, and the count is logged as soon as
there is room again.
"""

import collections
import contextlib
import os
import sys
import typing

import logbook
import msgspec

MAX_WAITING_LINES = 4_000
"""About one megabyte; a reader that is slower than that loses lines."""

_log = logbook.Logger('guavachute')


def event(name: str, **fields: typing.Any) -> None:
    """Log that *name* happened, with what decided it."""
    _log.info(name, extra=fields)


def problem(name: str, **fields: typing.Any) -> None:
    """Log something that should not happen, with what is known of it."""
    _log.warning(name, extra=fields)


class LineQueue(logbook.Handler):
    """Writes records as JSON lines to a descriptor that may be full.

    :param descriptor: set to non-blocking by the caller
    :param node: stands in every line
    """

    def __init__(self, descriptor: int, node: str) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self._descriptor = descriptor
        self._node = node
        self._lines: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        """Lines that were lost because the queue was full."""

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of *record*, and write what can be written."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self._lines.append(self._encode(record))
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._lines.appendleft(line)
                return
            except OSError:
                # Nobody reads the logs; the process serves on without.
                self.dropped += 1 + len(self._lines)
                self._lines.clear()
                return
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
    """Write the lines of this process to standard output."""
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
