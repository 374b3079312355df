"""Client of the platform's log service.

A client belongs to one task and keeps one connection. Only
:meth:`LogClient.cancel` may be called from other threads.
"""

import contextlib
import dataclasses
import http
import http.client
import random
import socket
import threading
import time
import typing
import urllib.parse

import msgspec
import urllib3.connection
import urllib3.exceptions

from guavachute.decide import backoff
from guavachute import ids
from guavachute.observe import counters as counters_module
from guavachute import outcome
from guavachute.wire import records

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 5.0
"""How long an answer may take, in addition to the wait of a long poll."""
READ_LIMIT_RECORDS = 1000
APPEND_BACKOFF = backoff.Policy(initial_s=0.1, maximum_s=5.0)

_REFUSED = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)


_TRANSPORT_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a read; *records* is empty if there are no new ones.

    :ivar first_retained_offset: of the oldest record that is retained
    :ivar next_offset: one beyond the last record of the stream
    """

    first_retained_offset: ids.Offset
    next_offset: ids.Offset
    records: list[records.Entry]


class RetentionPassed(msgspec.Struct, frozen=True, kw_only=True):
    """The requested records are no longer retained.

    :ivar first_retained_offset: of the oldest record that is retained
    :ivar next_offset: one beyond the last record of the stream
    """

    first_retained_offset: ids.Offset
    next_offset: ids.Offset


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """The offsets of appended records.

    After a retry, copies from the earlier attempts may precede them.

    :ivar next_offset: one beyond the last record of this append
    """

    first_offset: ids.Offset
    next_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    retry_after_s: float | None


class LogClient:
    """Appends to and reads from streams.

    :param address: ``IP:PORT`` of the log service
    :param jitter: spreads the retries of many clients
    """

    def __init__(
        self,
        address: str,
        counters: counters_module.Counters,
        jitter: random.Random,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._connection = urllib3.connection.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        self._counters = counters
        self._jitter = jitter
        self._cancelled = threading.Event()
        # Keeps close() from closing the socket while cancel() uses it: a
        # closed descriptor may be reused at once for another file.
        self._open_lock = threading.Lock()

    def append(
        self,
        stream: str,
        new_records: typing.Sequence[msgspec.Struct],
        deadline_s: float,
    ) -> Appended | outcome.Failure:
        """Append the records *new_records* together, with retries.

        Each retry may append another copy of them.

        :param deadline_s: when to stop retrying, by ``time.monotonic``
        :returns: on failure the reason ``LOST_ANSWER`` means that the
            records may be in the log, now or later; any other means that
            they aren't and won't be
        """
        body = msgspec.json.encode({'records': new_records})
        path = _path(stream)
        failures = 0
        may_have_acted = False
        while True:
            result = self._append_once(path, body, deadline_s)
            if not isinstance(result, outcome.Failure):
                self._counters.add('log.appends')
                return result
            failures += 1
            may_have_acted |= result.reason is outcome.Reason.LOST_ANSWER
            is_final = result.reason is outcome.Reason.BAD_REQUEST
            pause_s = self._pause_s(failures, result.retry_after_s)
            if is_final or not self._pause(pause_s, deadline_s):
                return _with_certainty(result, may_have_acted)

    def read(
        self,
        stream: str,
        from_offset: ids.Offset,
        wait_s: float = 0.0,
        limit: int = READ_LIMIT_RECORDS,
    ) -> Page | RetentionPassed | outcome.Failure:
        """Read records from *from_offset* on, without retries.

        :param wait_s: how long the service waits for the first record
        :param limit: the most records to return
        """
        failure = self.begin_read(stream, from_offset, wait_s, limit)
        return failure or self.finish_read()

    def begin_read(
        self,
        stream: str,
        from_offset: ids.Offset,
        wait_s: float = 0.0,
        limit: int = READ_LIMIT_RECORDS,
    ) -> outcome.Failure | None:
        """Send the request of :meth:`read` without waiting for the answer.

        The caller waits until :meth:`fileno` is readable and then calls
        :meth:`finish_read`.
        """
        query = urllib.parse.urlencode(
            {'from': from_offset, 'limit': limit, 'wait_s': wait_s}
        )
        timeout_s = wait_s + ANSWER_TIMEOUT_S
        return self._send('GET', f'{_path(stream)}?{query}', None, timeout_s)

    def fileno(self) -> int:
        """Return the connection's descriptor while a read is pending."""
        assert self._connection.sock is not None, 'no read is pending'
        return self._connection.sock.fileno()

    def finish_read(self) -> Page | RetentionPassed | outcome.Failure:
        """Receive the result of :meth:`begin_read`."""
        answer = self._receive()
        if isinstance(answer, outcome.Failure):
            self._counters.add('log.read_failures')
            return answer
        if answer.status == http.HTTPStatus.GONE:
            return _decode(answer.body, RetentionPassed)
        if answer.status != http.HTTPStatus.OK:
            self._counters.add('log.read_failures')
            return _failure(answer)
        self._counters.add('log.read_bytes', len(answer.body))
        return _decode(answer.body, Page)

    def cancel(self) -> None:
        """Make the current request and all later ones fail at once.

        Can be called from any thread.
        """
        self._cancelled.set()
        with self._open_lock, contextlib.suppress(OSError):
            connected = self._connection.sock
            if connected is not None:
                connected.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        with self._open_lock:
            self._connection.close()

    def _append_once(
        self, path: str, body: bytes, deadline_s: float
    ) -> Appended | outcome.Failure:
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            return outcome.Failure(
                outcome.Reason.DEADLINE,
                'the deadline passed before the append',
            )
        timeout_s = min(remaining_s, ANSWER_TIMEOUT_S)
        answer = self._exchange('POST', path, body, timeout_s)
        if isinstance(answer, outcome.Failure):
            if answer.reason is outcome.Reason.LOST_ANSWER:
                self._counters.add('log.lost_answers')
            return answer
        if answer.status == http.HTTPStatus.OK:
            appended = _decode(answer.body, Appended)
            if isinstance(appended, outcome.Failure):
                return _lost(appended.detail)
            return appended
        return _failure(answer)

    def _pause_s(self, failures: int, retry_after_s: float | None) -> float:
        self._counters.add('log.append_failures')
        pause_s = backoff.delay_s(
            APPEND_BACKOFF, failures, self._jitter.random()
        )
        return max(pause_s, retry_after_s or 0.0)

    def _pause(self, pause_s: float, deadline_s: float) -> bool:
        if time.monotonic() + pause_s >= deadline_s:
            return False
        return not self._cancelled.wait(pause_s)

    def _exchange(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> _Answer | outcome.Failure:
        failure = self._send(method, path, body, timeout_s)
        return failure or self._receive()

    def _send(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> outcome.Failure | None:
        """Send a request; ``UNAVAILABLE`` if it certainly wasn't sent."""
        if self._cancelled.is_set():
            return outcome.Failure(outcome.Reason.CANCELLED, 'cancelled')
        connection = self._connection
        try:
            if connection.sock is None:
                connection.timeout = min(timeout_s, CONNECT_TIMEOUT_S)
                connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.close()
            return outcome.Failure(outcome.Reason.UNAVAILABLE, str(error))
        try:
            connection.sock.settimeout(timeout_s)
            # urllib3 sets this timeout on the socket again before it
            # reads the answer.
            connection.timeout = timeout_s
            connection.request(
                method,
                path,
                body=body,
                headers={'Content-Type': 'application/json'},
            )
        except _TRANSPORT_ERRORS as error:
            self.close()
            return _lost(f'{type(error).__name__}: {error}')
        return None

    def _receive(self) -> _Answer | outcome.Failure:
        try:
            response = self._connection.getresponse()
            return _Answer(
                response.status,
                response.data,
                _seconds(response.headers.get('Retry-After')),
            )
        except _TRANSPORT_ERRORS as error:
            self.close()
            return _lost(f'{type(error).__name__}: {error}')


@contextlib.contextmanager
def connected(
    address: str,
    counters: counters_module.Counters,
    jitter: random.Random,
) -> typing.Iterator[LogClient]:
    """Yield a client; its connection is closed at the end of the block."""
    client = LogClient(address, counters, jitter)
    try:
        yield client
    finally:
        client.close()


def _path(stream: str) -> str:
    return f'/v1/streams/{urllib.parse.quote(stream)}/records'


def _lost(detail: str) -> outcome.Failure:
    return outcome.Failure(outcome.Reason.LOST_ANSWER, detail)


def _with_certainty(
    last: outcome.Failure, may_have_acted: bool
) -> outcome.Failure:
    if not may_have_acted:
        return last
    return dataclasses.replace(last, reason=outcome.Reason.LOST_ANSWER)


def _failure(answer: _Answer) -> outcome.Failure:
    detail = f'the log service answered with HTTP status {answer.status}'
    if answer.status == http.HTTPStatus.TOO_MANY_REQUESTS:
        reason = outcome.Reason.LIMIT
    elif answer.status in _REFUSED:
        reason = outcome.Reason.UNAVAILABLE
    elif answer.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        reason = outcome.Reason.BAD_REQUEST
    else:
        reason = outcome.Reason.LOST_ANSWER
    return outcome.Failure(reason, detail, answer.retry_after_s)


def _seconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None


Decoded = typing.TypeVar('Decoded')


def _decode(body: bytes, expected: type[Decoded]) -> Decoded | outcome.Failure:
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return outcome.Failure(outcome.Reason.UNREADABLE, str(error))
