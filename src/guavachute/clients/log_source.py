"""The control stream as read from the log service itself."""

import dataclasses
import typing

from guavachute.clients import log_client
from guavachute.decide.control import log_start
from guavachute import ids
from guavachute import outcome
from guavachute.wire import records

POLL_WAIT_S = 5.0
"""How long the log service holds a read when nothing is new."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """A whole state to go on from, unless the follower has seen more."""

    state: records.ControlState
    log_age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """Records in a row; may be empty, may overlap with earlier ones.

    :ivar log_age_s: since the log itself was heard
    :ivar first_retained_offset: of the log, where the source knows it
    """

    entries: list[records.Entry]
    log_age_s: float
    first_retained_offset: ids.Offset | None = None


Event = Adopt | Arrived
Events = list[Event]


class Source(typing.Protocol):
    """Where a follower reads the stream from; used by one task.

    :ivar name: for logs and status
    :ivar quiet_s: without a sign of life for so long it counts as dead
    """

    name: str
    quiet_s: float

    def begin(
        self, state: records.ControlState | None
    ) -> Events | outcome.Failure:
        """Connect and ask for what follows on *state*."""

    def fileno(self) -> int:
        """Readable when :meth:`receive` has something to do."""

    def receive(self) -> Events | outcome.Failure:
        """What came; asks for more by itself."""

    def close(self) -> None:
        """End the connection; :meth:`begin` may open it again."""


class LogSource:
    """Follows a stream at the log service by long polls."""

    quiet_s = POLL_WAIT_S + log_client.ANSWER_TIMEOUT_S

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
        """Read what follows on *state*, or search the last snapshot."""
        if state is None:
            return self._start_over()
        self._next_offset = ids.Offset(state.through_offset + 1)
        return self._poll_after([])

    def fileno(self) -> int:
        """The connection's descriptor."""
        return self._client.fileno()

    def receive(self) -> Events | outcome.Failure:
        """The answer of the long poll."""
        result = self._client.finish_read()
        if isinstance(result, outcome.Failure):
            return result
        if isinstance(result, log_client.RetentionPassed):
            return self._start_over()
        if result.next_offset < self._next_offset:
            return outcome.Failure(
                outcome.Reason.CONFLICT,
                f'the log ends at {result.next_offset}, but '
                f'{self._next_offset - 1} was read before',
            )
        if result.records:
            self._next_offset = ids.Offset(result.records[-1].offset + 1)
        return self._poll_after(
            [Arrived(result.records, 0.0, result.first_retained_offset)]
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
            [Adopt(found.state, 0.0), Arrived(found.entries, 0.0)]
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A state and the records that follow on it."""

    state: records.ControlState
    entries: list[records.Entry]


def find_start(
    client: log_client.LogClient, stream: str
) -> Start | outcome.Failure:
    """The last snapshot of *stream* and what follows on it."""
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
        if isinstance(step, log_start.Lost):
            return outcome.Failure(
                outcome.Reason.RETENTION,
                f'no snapshot is left in the log from {first} to {end}',
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
                f'record {offset} was dropped while the start was searched',
            )
        entries.extend(page.records)
        offset = ids.Offset(page.records[-1].offset + 1)
    return entries
