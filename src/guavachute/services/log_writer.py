"""Appends records for the other tasks of a process, in batches."""

import dataclasses
import time
import typing

import msgspec

from guavachute.clients import log_client
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute import outcome

MAX_BATCH_RECORDS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Asks for an append.

    :ivar deadline_s: when to give up, by ``time.monotonic``
    :ivar reply_to: gets an :class:`AppendEnded`
    """

    stream: str
    record_id: ids.RecordId
    record: msgspec.Struct
    deadline_s: float
    reply_to: mailbox.Mailbox | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEnded:
    """How an append ended; the failure ``LOST_ANSWER`` leaves it open."""

    record_id: ids.RecordId
    result: ids.Offset | outcome.Failure


class LogWriter(task.Task):
    """Owns the connection on which this process appends."""

    def __init__(self, name: str, client: log_client.LogClient) -> None:
        super().__init__(name)
        self._client = client

    def append(self, request: Append) -> None:
        """Queue an append; from any thread."""
        self.mailbox.send(request)

    def request_stop(self) -> None:
        """Give up what runs; its answer counts as lost."""
        super().request_stop()
        self._client.cancel()

    def run(self) -> None:
        """Append until stopped."""
        while not self.stopping.is_set():
            first = self.mailbox.receive()
            requests = [first, *self.mailbox.drain()]
            for stream, batch in _by_stream(requests):
                self._append_all(stream, batch)
        self._client.close()

    def _append_all(self, stream: str, batch: list[Append]) -> None:
        for start in range(0, len(batch), MAX_BATCH_RECORDS):
            self._append(stream, batch[start : start + MAX_BATCH_RECORDS])

    def _append(self, stream: str, batch: list[Append]) -> None:
        # The most patient request decides: an earlier end would leave
        # open whether the others' records are in the log.
        deadline_s = max(request.deadline_s for request in batch)
        result = self._client.append(
            stream, [request.record for request in batch], deadline_s
        )
        if (
            isinstance(result, outcome.Failure)
            and result.reason is outcome.Reason.BAD_REQUEST
            and len(batch) > 1
        ):
            # One of them is not acceptable; the rest shall not suffer.
            for request in batch:
                self._append(stream, [request])
            return
        for index, request in enumerate(batch):
            _reply(request, index, result)


def _by_stream(
    requests: typing.Iterable[typing.Any],
) -> typing.Iterable[tuple[str, list[Append]]]:
    now_s = time.monotonic()
    batches: dict[str, list[Append]] = {}
    for request in requests:
        if not isinstance(request, Append):
            continue
        if request.deadline_s <= now_s:
            expired = outcome.Failure(
                outcome.Reason.DEADLINE, 'waited too long to be appended'
            )
            _reply(request, 0, expired)
            continue
        batches.setdefault(request.stream, []).append(request)
    return batches.items()


def _reply(
    request: Append,
    index: int,
    result: log_client.Appended | outcome.Failure,
) -> None:
    if request.reply_to is None:
        return
    if isinstance(result, log_client.Appended):
        offset = ids.Offset(result.first_offset + index)
        request.reply_to.send(AppendEnded(request.record_id, offset))
    else:
        request.reply_to.send(AppendEnded(request.record_id, result))
