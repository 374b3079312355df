"""Connections whose answers are bounded in size and in time.

``http.client`` and urllib3 bound a head, but neither the number of interim
answers before it, nor the lines between chunks, nor the trailer. Time limits
hold for each read from the socket, so an answer may go on byte by byte.
"""

import http.client
import io
import socket
import time
import typing

import urllib3
import urllib3.connection

MAX_ANSWER_BYTES = 17_825_792
"""16 MB of a body, and 1 MB around it."""


class _BoundedReader(io.RawIOBase):
    """Reads from *raw* until the answer is too long, or its time is over.

    :param end_s: monotonic; None without a limit
    """

    def __init__(
        self, sock: socket.socket, raw: io.RawIOBase, end_s: float | None
    ) -> None:
        super().__init__()
        self._socket = sock
        self._raw = raw
        self._end_s = end_s
        self._left = MAX_ANSWER_BYTES

    def readable(self) -> bool:
        """Whether it can be read, which it can."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read at least one byte into *buffer*; 0 at the end.

        :raises http.client.HTTPException: the answer is too long
        :raises TimeoutError: its time is over
        """
        if self._left <= 0:
            raise http.client.HTTPException(
                f'the answer has not ended after {MAX_ANSWER_BYTES} bytes'
            )
        if self._end_s is not None:
            remaining_s = self._end_s - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError('the answer has not ended in time')
            self._socket.settimeout(remaining_s)
        count = self._raw.readinto(buffer)
        self._left -= count or 0
        return count

    def close(self) -> None:
        """Close the file over the socket too."""
        self._raw.close()
        super().close()


class _BoundedResponse(http.client.HTTPResponse):
    """Ends when the socket's time limit has passed since it was created."""

    def __init__(
        self, sock: socket.socket, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        limit_s = sock.gettimeout()
        end_s = None if limit_s is None else time.monotonic() + limit_s
        raw = sock.makefile('rb', buffering=0)
        self.fp = io.BufferedReader(_BoundedReader(sock, raw, end_s))


class _BoundedConnection(urllib3.connection.HTTPConnection):
    response_class = _BoundedResponse


class Pool(urllib3.HTTPConnectionPool):
    """A pool of such connections; the read timeout is of a whole answer."""

    ConnectionCls = _BoundedConnection


def pool_manager(**options: typing.Any) -> urllib3.PoolManager:
    """Return a manager of such pools, without retries.

    :param options: of ``urllib3.PoolManager``
    """
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = {'http': Pool}
    return manager
