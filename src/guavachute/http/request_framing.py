"""Finds the end of a request, and hands its bytes to a worker thread."""

import contextlib
import io
import typing

import httptools

_BODY_HEADERS = {b'content-length', b'transfer-encoding'}


class _Received(io.RawIOBase):
    """The bytes of requests that have been read already."""

    def __init__(self) -> None:
        super().__init__()
        self._data = memoryview(b'')

    def fill(self, data: bytearray) -> None:
        """Return *data* to the reader, and then the end of the file."""
        self._data = memoryview(data)

    def readable(self) -> bool:
        """Whether it can be read, which it can."""
        return True

    def readinto(self, buffer: typing.Any) -> int:
        """Copy the next bytes into *buffer*; 0 if there are no more."""
        count = min(len(buffer), len(self._data))
        buffer[:count] = self._data[:count]
        self._data = self._data[count:] if count < len(self._data) else (
            memoryview(b'')
        )  # fmt: skip
        return count


class RequestFile(io.BufferedReader):
    """What a worker thread reads of a connection.

    :ivar bytes_read: not counted; cheroot expects it
    """

    bytes_read = 0

    def __init__(self) -> None:
        self._received = _Received()
        super().__init__(self._received)

    def fill(self, data: bytearray) -> None:
        """Let a whole request be read."""
        self._received.fill(data)

    def has_data(self) -> bool:
        """Whether cheroot should read the next request at once; never."""
        return False


class Framing:
    """Finds the end of a request; the worker parses it again.

    :ivar is_complete: whether it has ended, or can't be parsed
    :ivar is_in_head: whether its head has not ended
    :ivar length: of the body; None if the body is chunked
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self.is_complete = False
        self.is_in_head = True
        self.length: int | None = 0
        self.body_bytes = 0
        self.headers = 0
        self.expects_continue = False
        self._body_lines: list[bytes] = []

    def feed(self, data: bytes) -> None:
        """Parse the next bytes."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if not self.is_complete:
                self._ignore_upgrade()
                self.feed(data[upgrade.args[0] :])
        except httptools.HttpParserError:
            self.is_complete = True

    def _ignore_upgrade(self) -> None:
        """Go on with the body behind a head that offers another protocol.

        The parser ends at such a head, so another one gets the headers that
        describe the body.
        """
        lines = [b'POST / HTTP/1.1', *self._body_lines]
        self.headers -= len(self._body_lines)
        self._parser = httptools.HttpRequestParser(self)
        self.feed(b'\r\n'.join(lines) + b'\r\n\r\n')

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header or a trailer."""
        self.headers += 1
        lower = name.lower()
        if self.is_in_head and lower in _BODY_HEADERS:
            self._body_lines.append(b'%s: %s' % (lower, value))
        if lower == b'content-length' and self.length is not None:
            with contextlib.suppress(ValueError):
                self.length = int(value)
        elif lower == b'transfer-encoding':
            self.length = None
        elif lower == b'expect':
            self.expects_continue = True

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self.is_in_head = False

    def on_body(self, data: bytes) -> None:
        """Parser callback: a part of the body."""
        self.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        if not self._parser.should_upgrade():
            self.is_complete = True
