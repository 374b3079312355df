"""Appends records to the log in batches, for the tasks of a process."""

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
    """Requests an append.

    :ivar record_id: of *record*, repeated in the reply
    :ivar deadline_s: when to stop trying, by ``time.monotonic``
    :ivar reply_to: receives one :class:`AppendEnded`
    """

    stream: str
    record_id: ids.RecordId
    record: msgspec.Struct
    deadline_s: float
    reply_to: mailbox.Mailbox | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEnded:
    """The result of an append.

    :ivar result: the record's offset, or a failure; after
        ``LOST_ANSWER`` the record may or may not be in the log
    """

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
        """Stop; an append under way is cancelled and counts as lost."""
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
        # The latest deadline applies to the batch: an earlier one could
        # leave it unknown whether the other requests' records are in the
        # log.
        deadline_s = max(request.deadline_s for request in batch)
        result = self._client.append(
            stream, [request.record for request in batch], deadline_s
        )
        if (
            isinstance(result, outcome.Failure)
            and result.reason is outcome.Reason.BAD_REQUEST
            and len(batch) > 1
        ):
            # One of the records is invalid. Appended one by one, the valid
            # ones still succeed.
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
                outcome.Reason.DEADLINE,
                'the deadline passed before the record was appended',
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
