"""Follows the control stream at the log service.

Also defines :class:`Source`, which the relay of another node implements
too.
"""

import dataclasses
import typing

from guavachute.clients import log_client
from guavachute.decide.control import log_start
from guavachute import ids
from guavachute import outcome
from guavachute.wire import records

POLL_WAIT_S = 5.0
"""How long the log service holds a read if there are no new records."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateReceived:
    """A complete state, to be used unless the follower has a newer one.

    :ivar log_age_s: seconds since the source's last contact with the log
    """

    state: records.ControlState
    log_age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsReceived:
    """Consecutive records; may be none, may overlap with earlier ones.

    :ivar log_age_s: seconds since the source's last contact with the log
    :ivar first_retained_offset: the offset of the log's oldest record,
        None if the source doesn't know it
    """

    entries: list[records.Entry]
    log_age_s: float
    first_retained_offset: ids.Offset | None = None


Event = StateReceived | RecordsReceived
Events = list[Event]


class Source(typing.Protocol):
    """Where a follower reads the stream from; used by one task only.

    :ivar name: identifies the source in logs and in the status
    :ivar silence_timeout_s: the silence after which the source counts as
        failed
    """

    name: str
    silence_timeout_s: float

    def begin(
        self, state: records.ControlState | None
    ) -> Events | outcome.Failure:
        """Connect and request the records after *state*.

        With None the source starts with a complete state.
        """

    def fileno(self) -> int:
        """Return a descriptor, readable if :meth:`receive` can proceed."""

    def receive(self) -> Events | outcome.Failure:
        """Return the events received, and request more if needed."""

    def close(self) -> None:
        """Close the connection; :meth:`begin` can open it again."""


class LogSource:
    """Follows a stream at the log service with long polls."""

    silence_timeout_s = POLL_WAIT_S + log_client.ANSWER_TIMEOUT_S

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str = records.CONTROL_STREAM,
    ) -> None:
        self.name = 'log'
        self._client = client
        self._stream = stream
        self._next_offset = ids.Offset(0)

    def begin(
        self, state: records.ControlState | None
    ) -> Events | outcome.Failure:
        """Request the records after *state*, or start at a snapshot.

        With None the newest snapshot is searched first, which takes
        several reads.
        """
        if state is None:
            return self._start_over()
        self._next_offset = ids.Offset(state.through_offset + 1)
        return self._poll_after([])

    def fileno(self) -> int:
        """Return the descriptor of the connection."""
        return self._client.fileno()

    def receive(self) -> Events | outcome.Failure:
        """Receive the answer of the long poll and send the next one."""
        result = self._client.finish_read()
        if isinstance(result, outcome.Failure):
            return result
        if isinstance(result, log_client.RetentionPassed):
            return self._start_over()
        if result.next_offset < self._next_offset:
            return outcome.Failure(
                outcome.Reason.CONFLICT,
                f'the log ends before offset {result.next_offset}, but '
                f'offset {self._next_offset - 1} was read before',
            )
        if result.records:
            self._next_offset = ids.Offset(result.records[-1].offset + 1)
        return self._poll_after(
            [
                RecordsReceived(
                    result.records, 0.0, result.first_retained_offset
                )
            ]
        )

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _poll_after(self, events: Events) -> Events | outcome.Failure:
        failure = self._client.begin_read(
            self._stream, self._next_offset, POLL_WAIT_S
        )
        return failure or events

    def _start_over(self) -> Events | outcome.Failure:
        found = find_start(self._client, self._stream)
        if isinstance(found, outcome.Failure):
            return found
        if found.entries:
            self._next_offset = ids.Offset(found.entries[-1].offset + 1)
        else:
            self._next_offset = ids.Offset(found.state.through_offset + 1)
        return self._poll_after(
            [
                StateReceived(found.state, 0.0),
                RecordsReceived(found.entries, 0.0),
            ]
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A state to start from, and the records after it."""

    state: records.ControlState
    entries: list[records.Entry]


def find_start(
    client: log_client.LogClient, stream: str
) -> Start | outcome.Failure:
    """Read the newest snapshot of *stream* and the records after it.

    A log that retains all its records needs no snapshot: the state then
    starts empty. The failure is ``RETENTION`` if no usable
    snapshot is retained.
    """
    edges = client.read(stream, ids.Offset(0), limit=1)
    if isinstance(edges, outcome.Failure):
        return edges
    first = edges.first_retained_offset
    end = edges.next_offset
    window = log_start.first_window(first, end)
    entries = _read_range(client, stream, window, end)
    while not isinstance(entries, outcome.Failure):
        step = log_start.next_step(first, window, end, _snapshots(entries))
        if isinstance(step, log_start.Begin):
            through = step.state.through_offset
            return Start(
                step.state, [e for e in entries if e.offset > through]
            )
        if isinstance(step, log_start.StateLost):
            return outcome.Failure(
                outcome.Reason.RETENTION,
                f'the log retains no snapshot from offset {first} to {end}',
            )
        older = _read_range(client, stream, step.from_offset, window)
        if isinstance(older, outcome.Failure):
            return older
        entries = older + entries
        window = step.from_offset
    return entries


def _snapshots(
    entries: list[records.Entry],
) -> typing.Iterator[records.Snapshot]:
    for entry in entries:
        record = records.parse(entry.record)
        if isinstance(record, records.Snapshot):
            yield record


def _read_range(
    client: log_client.LogClient,
    stream: str,
    from_offset: ids.Offset,
    to_offset: ids.Offset,
) -> list[records.Entry] | outcome.Failure:
    entries: list[records.Entry] = []
    offset = from_offset
    while offset < to_offset:
        limit = min(to_offset - offset, log_client.READ_LIMIT_RECORDS)
        page = client.read(stream, offset, limit=limit)
        if isinstance(page, outcome.Failure):
            return page
        if isinstance(page, log_client.RetentionPassed) or not page.records:
            return outcome.Failure(
                outcome.Reason.RETENTION,
                f'record {offset} was dropped during the search for a '
                'snapshot',
            )
        entries.extend(page.records)
        offset = ids.Offset(page.records[-1].offset + 1)
    return entries
