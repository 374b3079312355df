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

MAX_STATUS = 599
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

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line, and skip all interim answers before it.

        ``http.client`` skips those with status 100 only, and takes any number
        below 1,000 for a status.

        :raises http.client.BadStatusLine: no answer has that status
        """
        read_line = super()._read_status  # type: ignore[misc]
        while True:
            version, status, reason = read_line()
            if 200 <= status <= MAX_STATUS:
                return version, status, reason
            if status == http.HTTPStatus.SWITCHING_PROTOCOLS or status > 199:
                raise http.client.BadStatusLine(f'{version} {status}')
            http.client.parse_headers(self.fp)


class ClosedIdleError(ConnectionError):
    """A connection was closed while it was idle, as its next request went out.

    No byte of an answer came, and earlier requests were answered on it.
    """


class _BoundedConnection(urllib3.connection.HTTPConnection):
    response_class = _BoundedResponse
    _has_failed = False
    _was_used = False

    def connect(self) -> None:
        """Connect; urllib3 does so again with a connection that has ended."""
        self._was_used = False
        super().connect()

    def request(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Send a request."""
        self._has_failed = False
        super().request(*args, **kwargs)

    def send(self, data: typing.Any) -> None:
        """Send a part of a request.

        urllib3 reads an answer also if this fails, as there may be an early
        one.
        """
        try:
            super().send(data)
        except OSError:
            self._has_failed = True
            raise

    def getresponse(  # type: ignore[override]
        self,
    ) -> urllib3.HTTPResponse:
        """Read the head of the answer.

        After a failed send, the end of the connection looks like the end of a
        body without a length. Only a length or chunks show that it is whole.

        :raises http.client.HTTPException: that can't be shown
        :raises ClosedIdleError: the connection ended in place of an answer
            that is not its first
        """
        try:
            response = super().getresponse()
        except ConnectionError as error:
            if self._was_used:
                raise ClosedIdleError(str(error)) from error
            raise
        self._was_used = True
        if self._has_failed and not (
            response.chunked or response.length_remaining is not None
        ):
            response.close()
            raise http.client.HTTPException(
                'the connection was reset during the request'
            )
        return response


class Pool(urllib3.HTTPConnectionPool):
    """A pool of such connections; the read timeout is of a whole answer."""

    ConnectionCls = _BoundedConnection


def was_closed_idle(error: Exception) -> bool:
    """Whether a request failed by :class:`ClosedIdleError`."""
    return any(isinstance(each, ClosedIdleError) for each in error.args)


def pool_manager(**options: typing.Any) -> urllib3.PoolManager:
    """Return a manager of such pools, without retries.

    :param options: of ``urllib3.PoolManager``
    """
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = {'http': Pool}
    return manager
