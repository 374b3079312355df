"""The duty that writes a new snapshot before the log drops the last one.

One process does it at a time, under the lease :data:`LEASE_NAME`. Two at
once would do no harm: all processes fold the same state, so their
snapshots are equal.
"""

import time
import typing

from guavachute.decide.control import snapshot_duty
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import task
from guavachute.observe import counters as counters_module
from guavachute import outcome
from guavachute.services import leases as leases_module
from guavachute.services import log_follower
from guavachute.services import log_writer
from guavachute.wire import records

LEASE_NAME = 'snapshots'
CHECK_PERIOD_S = 5.0
APPEND_TIMEOUT_S = 30.0


class SnapshotWriter(task.Task):
    """Writes snapshots while this process holds the lease.

    :param follower: whose state is written
    :param stagger_s: see :meth:`guavachute.services.leases.Leases.contend`
    """

    def __init__(
        self,
        name: str,
        follower: log_follower.LogFollower,
        leases: leases_module.Leases,
        writer: log_writer.LogWriter,
        counters: counters_module.Counters,
        stagger_s: float = 0.0,
    ) -> None:
        super().__init__(name)
        self._follower = follower
        self._leases = leases
        self._writer = writer
        self._counters = counters
        self._stagger_s = stagger_s
        self._update: log_follower.ControlUpdate | None = None
        self._snapshot_offset = records.NO_OFFSET
        self._snapshot_read_s = clock.now_s()
        self._appending: ids.RecordId | None = None

    def run(self) -> None:
        """Check every ``CHECK_PERIOD_S`` and after each message."""
        self._follower.subscribe(self.mailbox)
        self._leases.contend(
            LEASE_NAME, stagger_s=self._stagger_s, subscriber=self.mailbox
        )
        while not self.stopping.is_set():
            message = self.mailbox.receive(CHECK_PERIOD_S)
            self._handle(message)
            if self._appending is None and self._is_due():
                self._append()

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, log_follower.ControlUpdate):
            self._update = message
            for folded in message.folded:
                if isinstance(folded.record, records.Snapshot):
                    self._record_snapshot(folded.record.state.through_offset)
        elif isinstance(message, log_writer.AppendEnded):
            if message.record_id == self._appending:
                self._appending = None

    def _record_snapshot(self, through_offset: ids.Offset) -> None:
        if through_offset > self._snapshot_offset:
            self._snapshot_offset = through_offset
            self._snapshot_read_s = clock.now_s()

    def _is_due(self) -> bool:
        if self._update is None:
            return False
        progress = snapshot_duty.Progress(
            self._snapshot_offset,
            self._snapshot_read_s,
            self._update.state.through_offset,
            self._update.first_retained_offset,
        )
        if not snapshot_duty.is_due(progress, clock.now_s()):
            return False
        held = self._leases.held_lease(LEASE_NAME)
        return not isinstance(held, outcome.Failure)

    def _append(self) -> None:
        assert self._update is not None
        snapshot = records.Snapshot(
            record_id=ids.RecordId(ids.new_random_id('snapshot')),
            state=self._update.state,
        )
        self._appending = snapshot.record_id
        # Recorded without waiting for the log, so that the records after
        # this snapshot determine when the next one is due.
        self._record_snapshot(snapshot.state.through_offset)
        self._counters.add('log.snapshots')
        self._writer.append(
            log_writer.Append(
                records.CONTROL_STREAM,
                snapshot.record_id,
                snapshot,
                time.monotonic() + APPEND_TIMEOUT_S,
                self.mailbox,
            )
        )
