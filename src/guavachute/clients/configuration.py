"""Publishes and promotes documents through the log.

The operators' commands read the log themselves and need no node. Each
function returns the true result, as far as the log can be read before
the deadline: the document came into force, another change came first, or
the change isn't in the log and won't be. If the log can't be read after
an append, the result may remain open: :class:`Undecided` says so, and a
repeated call with its ``record_id`` and ``supersedes_offset`` finds out.
"""

import dataclasses
import time
import typing

from guavachute.clients import log_client
from guavachute.clients import log_source
from guavachute.decide import backoff
from guavachute.decide.control import control_log
from guavachute.decide.control import control_reader
from guavachute import ids
from guavachute import outcome
from guavachute.wire import records

TIMEOUT_S = 30.0
POLL_WAIT_S = 2.0
RETRY = backoff.Policy(initial_s=0.2, maximum_s=2.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An operator's request to bring a document into force.

    :ivar supersedes_offset: the offset of the configuration that the
        change replaces; None for the one in force when the command starts
    :ivar record_id: the record of an earlier attempt whose result was
        :class:`Undecided`
    """

    environment: ids.EnvironmentName
    document: dict[str, typing.Any]
    digest: ids.Digest
    author: str
    supersedes_offset: ids.Offset | None = None
    record_id: ids.RecordId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The document is accepted and comes into force on all nodes.

    :ivar unchanged: it was in force before; nothing was appended
    :ivar superseded_by: the change in force, if one has already replaced
        the document
    """

    offset: ids.Offset
    digest: ids.Digest
    unchanged: bool = False
    superseded_by: records.ConfigurationHead | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """The change doesn't replace the configuration that is in force.

    :ivar head: the configuration in force, if any; None if the change
        names one to replace although there is none
    """

    head: records.ConfigurationHead | None


@dataclasses.dataclass(frozen=True, slots=True)
class NotPublished:
    """The change isn't in the log and won't be."""

    failure: outcome.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The change may be in the log, now or later.

    :ivar record_id: the value for :class:`Change` in the next attempt
    :ivar supersedes_offset: likewise
    :ivar failure: why the result is unknown
    """

    record_id: ids.RecordId
    supersedes_offset: ids.Offset
    failure: outcome.Failure


PublishResult = Accepted | LostRace | NotPublished | Undecided


def read_state(
    client: log_client.LogClient, deadline_s: float
) -> records.ControlState | outcome.Failure:
    """Return the current state of the control stream.

    :param deadline_s: when to stop retrying, by ``time.monotonic``
    """
    reader = _start(client, deadline_s)
    if isinstance(reader, outcome.Failure):
        return reader
    assert reader.state is not None
    return reader.state


def publish(
    client: log_client.LogClient, change: Change, deadline_s: float
) -> PublishResult:
    """Bring a document into force, unless another change comes first.

    :param deadline_s: when to stop retrying, by ``time.monotonic``
    """
    reader = _start(client, deadline_s)
    if isinstance(reader, outcome.Failure):
        return _not_sent(change, reader)
    assert reader.state is not None
    head = reader.state.configurations.get(change.environment)
    if head is not None and head.record_id == change.record_id:
        return Accepted(head.offset, head.digest)
    if _is_in_force(change, head):
        assert head is not None
        return Accepted(head.offset, head.digest, unchanged=True)
    record = _record_of(change, head)
    return _Attempt(client, reader, record, deadline_s).run()


def promote(
    client: log_client.LogClient,
    source: ids.EnvironmentName,
    target: ids.EnvironmentName,
    author: str,
    deadline_s: float,
    expected_digest: ids.Digest | None = None,
) -> PublishResult:
    """Publish the document in force in *source* to *target*.

    :param deadline_s: when to stop retrying, by ``time.monotonic``
    :param expected_digest: fail if the document in force in *source* has
        another digest
    """
    state = read_state(client, deadline_s)
    if isinstance(state, outcome.Failure):
        return NotPublished(state)
    head = state.configurations.get(source)
    if head is None:
        return NotPublished(
            outcome.Failure(
                outcome.Reason.NO_CONFIGURATION,
                f'no document is in force in {source}',
            )
        )
    if expected_digest not in (None, head.digest):
        return NotPublished(
            outcome.Failure(
                outcome.Reason.CONFLICT,
                f'the document in force in {source} has digest '
                f'{head.digest}, expected {expected_digest}',
            )
        )
    supersedes = control_log.offset_of(state.configurations.get(target))
    change = Change(target, head.document, head.digest, author, supersedes)
    return publish(client, change, deadline_s)


def restart_from_empty_state(
    client: log_client.LogClient, deadline_s: float
) -> ids.Offset | outcome.Failure:
    """Append an empty snapshot if the log no longer contains the state.

    This happens when no node ran for longer than the log retains its
    records. Fails with ``CONFLICT`` if the state can still be restored
    from the log. The operator must make sure that no node runs, because
    it would continue from the state that it has.

    :returns: the offset of the snapshot
    """
    found = log_source.find_start(client, records.CONTROL_STREAM)
    if not isinstance(found, outcome.Failure):
        return outcome.Failure(
            outcome.Reason.CONFLICT,
            'the state can still be restored from the log',
        )
    if found.reason is not outcome.Reason.RETENTION:
        return found
    edges = client.read(records.CONTROL_STREAM, ids.Offset(0), limit=1)
    if isinstance(edges, outcome.Failure):
        return edges
    through = ids.Offset(edges.next_offset - 1)
    snapshot = records.Snapshot(
        record_id=ids.RecordId(ids.new_random_id('anew')),
        state=records.ControlState(through_offset=through),
    )
    appended = client.append(records.CONTROL_STREAM, [snapshot], deadline_s)
    if isinstance(appended, outcome.Failure):
        return appended
    return appended.first_offset


def _start(
    client: log_client.LogClient, deadline_s: float
) -> control_reader.ControlReader | outcome.Failure:
    failures = 0
    while True:
        found = log_source.find_start(client, records.CONTROL_STREAM)
        if not isinstance(found, outcome.Failure):
            reader = control_reader.ControlReader(found.state)
            folded = reader.fold_entries(found.entries)
            assert not isinstance(folded, outcome.Failure), folded
            return reader
        failures += 1
        if not _pause_before_retry(failures, deadline_s):
            return found


def _pause_before_retry(failures: int, deadline_s: float) -> bool:
    pause_s = backoff.delay_s(RETRY, failures, 1.0)
    if time.monotonic() + pause_s >= deadline_s:
        return False
    time.sleep(pause_s)
    return True


def _not_sent(change: Change, failure: outcome.Failure) -> PublishResult:
    if change.record_id is None or change.supersedes_offset is None:
        return NotPublished(failure)
    # Nothing was sent now, but the earlier attempt may have succeeded.
    return Undecided(change.record_id, change.supersedes_offset, failure)


def _is_in_force(
    change: Change, head: records.ConfigurationHead | None
) -> bool:
    expected = change.supersedes_offset
    return (
        head is not None
        and head.digest == change.digest
        and expected in (None, head.offset)
    )


def _record_of(
    change: Change, head: records.ConfigurationHead | None
) -> records.ConfigurationChange:
    supersedes = change.supersedes_offset
    if supersedes is None:
        supersedes = control_log.offset_of(head)
    record_id = change.record_id or ids.new_random_id('change')
    return records.ConfigurationChange(
        record_id=ids.RecordId(record_id),
        environment=change.environment,
        supersedes_offset=supersedes,
        document=change.document,
        digest=change.digest,
        author=change.author,
    )


class _Attempt:
    """Appends a record and reads the log until its result is known."""

    def __init__(
        self,
        client: log_client.LogClient,
        reader: control_reader.ControlReader,
        record: records.ConfigurationChange,
        deadline_s: float,
    ) -> None:
        self._client = client
        self._reader = reader
        self._record = record
        self._deadline_s = deadline_s
        self._result: PublishResult | None = None

    def run(self) -> PublishResult:
        """Append the record, then read the log until it is found."""
        appended = self._client.append(
            records.CONTROL_STREAM, [self._record], self._deadline_s
        )
        if isinstance(appended, outcome.Failure):
            if appended.reason is not outcome.Reason.LOST_ANSWER:
                return NotPublished(appended)
            # The deadline may have passed during the append, although
            # the log is readable: leave time for one read.
            return self._read(self._deadline_s + POLL_WAIT_S, appended)
        timed_out = outcome.Failure(
            outcome.Reason.DEADLINE,
            'the log could not be read before the deadline',
        )
        return self._read(self._deadline_s, timed_out)

    def _read(
        self, deadline_s: float, failure: outcome.Failure
    ) -> PublishResult:
        failures = 0
        while self._result is None:
            if time.monotonic() >= deadline_s:
                return Undecided(
                    self._record.record_id,
                    self._record.supersedes_offset,
                    failure,
                )
            assert self._reader.state is not None
            page = self._client.read(
                records.CONTROL_STREAM,
                ids.Offset(self._reader.state.through_offset + 1),
                POLL_WAIT_S,
            )
            if isinstance(page, log_client.Page):
                self._fold_page(page)
                continue
            failures += 1
            if not _pause_before_retry(failures, deadline_s):
                deadline_s = time.monotonic()
        return self._result

    def _fold_page(self, page: log_client.Page) -> None:
        folded = self._reader.fold_entries(page.records)
        assert not isinstance(folded, outcome.Failure), folded
        for entry in folded:
            is_own = (
                entry.record is not None
                and entry.record.record_id == self._record.record_id
            )
            # The record may be in the log more than once. The first copy
            # decides: when a later one is folded, the first or a change
            # that replaced it is already in force.
            if is_own and self._result is None:
                self._result = self._evaluate(entry)

    def _evaluate(self, entry: control_reader.Folded) -> PublishResult:
        assert self._reader.state is not None
        environment = self._record.environment
        head = self._reader.state.configurations.get(environment)
        if entry.verdict is not control_log.Verdict.ACCEPTED:
            return LostRace(head)
        assert head is not None
        successor = None if head.record_id == self._record.record_id else head
        return Accepted(
            entry.offset, self._record.digest, superseded_by=successor
        )
