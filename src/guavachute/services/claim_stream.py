"""The two tasks that read and append the claims stream of the log.

Each has a connection of its own, so that a slow append doesn't delay the
reads. Both report to the mailbox of their owner, which decides the claims.
"""

import dataclasses
import time
import typing

from guavachute.clients import log_client
from guavachute.decide.orders import order_commit
from guavachute.decide.orders import order_snapshot
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute import outcome
from guavachute.wire import order_records

POLL_WAIT_S = 5.0
READ_RETRY_S = 0.2
APPEND_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Reading begins after *start*, which replaces all earlier state."""

    start: order_snapshot.StartState


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Consecutive records, possibly none.

    :ivar first_retained_offset: of the stream
    :ivar next_offset: the end of the stream, where the next record goes
    :ivar entries: offset and record; None for a record that can't be
        parsed
    """

    first_retained_offset: int
    next_offset: int
    entries: tuple[tuple[int, order_records.OrderRecord | None], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log could not be read; the reader tries again."""

    failure: outcome.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Requests an append of *records* in one call."""

    records: list[order_records.OrderRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The result of an :class:`Append`."""

    result: order_commit.AppendResult


class ClaimReader(task.Task):
    """Follows a claims stream, beginning with a complete state.

    :param owner: receives :class:`Started`, :class:`Read` and
        :class:`ReadFailed`
    """

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        owner: mailbox.Mailbox,
    ) -> None:
        super().__init__(f'{stream}-reader')
        self._client = client
        self._stream = stream
        self._owner = owner
        self._next_offset = 0

    def request_stop(self) -> None:
        """Stop; cancels a long poll that is under way."""
        super().request_stop()
        self._client.cancel()

    def run(self) -> None:
        """Read until stopped."""
        while not self.stopping.is_set():
            if self._find_start():
                self._follow()
        self._client.close()
        self.mailbox.close()

    def _find_start(self) -> bool:
        """Search all retained records for the newest complete snapshot."""
        collector = order_snapshot.Collector()
        offset = 0
        while not self.stopping.is_set():
            page = self._client.read(self._stream, ids.Offset(offset))
            if isinstance(page, outcome.Failure):
                self._report_failure(page)
                return False
            if isinstance(page, log_client.RetentionPassed):
                offset = page.first_retained_offset
                continue
            first = page.first_retained_offset
            for _, record in _entries_of(page):
                collector.collect(record)
            if first > 0 and page.records:
                offset = page.records[-1].offset + 1
                continue
            # A stream that dropped no records is read without a snapshot.
            self._send_start(
                order_snapshot.start_state(collector, first, time.time())
            )
            return True
        return False

    def _send_start(self, start: order_snapshot.StartState) -> None:
        self._next_offset = start.through_offset + 1
        self._owner.send(Started(start))

    def _follow(self) -> None:
        """Read until the retention passes the offset, or until stopped."""
        wait_s = 0.0
        while not self.stopping.is_set():
            page = self._client.read(
                self._stream, ids.Offset(self._next_offset), wait_s
            )
            if isinstance(page, outcome.Failure):
                self._report_failure(page)
                # A read that returns at once: the owner must learn without
                # delay when the log is available again.
                wait_s = 0.0
                continue
            if isinstance(page, log_client.RetentionPassed):
                return
            if page.next_offset < self._next_offset:
                # The log was replaced by a shorter one: the records that
                # were read before no longer exist.
                start = page.next_offset - 1
                self._send_start(
                    order_snapshot.StartState(start, time.time(), [])
                )
                continue
            self._owner.send(
                Read(
                    page.first_retained_offset,
                    page.next_offset,
                    tuple(_entries_of(page)),
                )
            )
            if page.records:
                self._next_offset = page.records[-1].offset + 1
            at_end = self._next_offset >= page.next_offset
            wait_s = POLL_WAIT_S if at_end else 0.0

    def _report_failure(self, failure: outcome.Failure) -> None:
        if not self.stopping.is_set():
            self._owner.send(ReadFailed(failure))
            self.stopping.wait(READ_RETRY_S)


class ClaimAppender(task.Task):
    """Appends batches, one at a time.

    :param owner: receives an :class:`Appended` for each :class:`Append`
    """

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        owner: mailbox.Mailbox,
    ) -> None:
        super().__init__(f'{stream}-appender')
        self._client = client
        self._stream = stream
        self._owner = owner

    def request_stop(self) -> None:
        """Stop; cancels an append that is under way."""
        super().request_stop()
        self._client.cancel()

    def run(self) -> None:
        """Append until stopped."""
        while not self.stopping.is_set():
            message = self.mailbox.receive()
            if isinstance(message, Append):
                self._owner.send(Appended(self._append(message)))
        self._client.close()

    def _append(self, batch: Append) -> order_commit.AppendResult:
        result = self._client.append(
            self._stream,
            batch.records,
            time.monotonic() + APPEND_TIMEOUT_S,
        )
        if not isinstance(result, outcome.Failure):
            return order_commit.AppendResult.ACCEPTED
        if result.reason is outcome.Reason.LOST_ANSWER:
            return order_commit.AppendResult.LOST
        return order_commit.AppendResult.REFUSED


def _entries_of(
    page: log_client.Page,
) -> typing.Iterator[tuple[int, order_records.OrderRecord | None]]:
    for entry in page.records:
        record = order_records.parse(entry.record)
        if isinstance(record, outcome.Failure):
            yield entry.offset, None
        else:
            yield entry.offset, record
