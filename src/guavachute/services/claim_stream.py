"""The two tasks that talk to the log for the order claims of one stream.

One reads, the other appends, each with a connection of its own, so that a
slow append holds no reading back. Both report to the task that decides.
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
    """The reader begins after *start*; what was known before is void."""

    start: order_snapshot.Start


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Records in a row, perhaps none; the log ends at *next_offset*."""

    first_retained_offset: int
    next_offset: int
    entries: tuple[tuple[int, order_records.OrderRecord | None], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log could not be read; the reader goes on trying."""

    failure: outcome.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """To the appender: append these together."""

    records: list[order_records.OrderRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """From the appender: what became of them."""

    result: order_commit.AppendResult


class ClaimReader(task.Task):
    """Follows a claims stream from a complete start on.

    :param owner: gets :class:`Started`, :class:`Read`, :class:`ReadFailed`
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
        """Stop, also in the middle of a long poll."""
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
        """Look through everything retained for the newest snapshot."""
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
                collector.feed(record)
            if first > 0 and page.records:
                offset = page.records[-1].offset + 1
                continue
            # A stream that lost nothing needs no snapshot.
            self._send_start(
                order_snapshot.start_of(collector, first, time.time())
            )
            return True
        return False

    def _send_start(self, start: order_snapshot.Start) -> None:
        self._next_offset = start.through_offset + 1
        self._owner.send(Started(start))

    def _follow(self) -> None:
        """Read on until the start has to be looked for again."""
        wait_s = 0.0
        while not self.stopping.is_set():
            page = self._client.read(
                self._stream, ids.Offset(self._next_offset), wait_s
            )
            if isinstance(page, outcome.Failure):
                self._report_failure(page)
                # The owner is to hear at once when the log is back.
                wait_s = 0.0
                continue
            if isinstance(page, log_client.RetentionPassed):
                return
            if page.next_offset < self._next_offset:
                # Another log: what ours held is gone.
                start = page.next_offset - 1
                self._send_start(order_snapshot.Start(start, time.time(), []))
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
    """Appends one batch after another.

    :param owner: gets an :class:`Appended` for each :class:`Append`
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
        """Stop, also in the middle of an append."""
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
            return order_commit.AppendResult.TAKEN
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
