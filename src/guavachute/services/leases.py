"""Acquires and renews leases for the duties of this process.

A duty contends for a lease with :meth:`Leases.contend` and calls
:meth:`Leases.held_lease` right before each order. Each call compares the
lease with the clock, so that a process that was paused since the last
renewal notices that the lease has expired.
"""

import dataclasses
import time
import typing

from guavachute.decide import lease
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters as counters_module
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services import log_follower
from guavachute.services import log_writer
from guavachute.wire import records

_log = logs.logger('leases')

DURATION_S = 15.0
MAX_SLEEP_S = 5.0
RELEASE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Contend:
    """Starts to contend for a lease; see :meth:`Leases.contend`."""

    name: str
    duration_s: float
    stagger_s: float
    subscriber: mailbox.Mailbox | None


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Releases a lease and stops contending for it."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseChanged:
    """To the subscriber: a lease was acquired or lost."""

    name: str
    held: bool


class Leases(task.Task):
    """Contends for the leases of one process.

    :param holder: unique to this start of the process
    :param follower: its updates give the state of the leases
    :param writer: appends the records that acquire, renew and release
    """

    def __init__(
        self,
        name: str,
        holder: str,
        follower: log_follower.LogFollower,
        writer: log_writer.LogWriter,
        counters: counters_module.Counters,
    ) -> None:
        super().__init__(name)
        self._holder = holder
        self._follower = follower
        self._writer = writer
        self._counters = counters
        self._state: records.ControlState | None = None
        self._subscribers: dict[str, mailbox.Mailbox] = {}
        self._reported_held: dict[str, bool] = {}
        # Replaced as a whole by this task only, so that any thread may
        # read it without a lock.
        self._contenders: dict[str, lease.Contender] = {}

    def contend(
        self,
        name: str,
        duration_s: float = DURATION_S,
        stagger_s: float = 0.0,
        subscriber: mailbox.Mailbox | None = None,
    ) -> None:
        """Acquire and renew the lease *name* from now on; from any thread.

        :param duration_s: how long each renewal lasts
        :param stagger_s: this contender's extra wait for a free lease
        :param subscriber: receives :class:`LeaseChanged`
        """
        self.mailbox.send(Contend(name, duration_s, stagger_s, subscriber))

    def resign(self, name: str) -> None:
        """Release the lease *name* and stop contending; from any thread.

        The caller must have stopped to act under the lease before.
        """
        self.mailbox.send(Resign(name))

    def held_lease(self, name: str) -> lease.Held | outcome.Failure:
        """The lease *name* if this process holds it now, else a failure.

        Call it right before each order, from any thread. The failure's
        ``retry_after_s`` is the time until the next attempt to acquire
        the lease; it is missing if this process doesn't contend for it.
        """
        now_s = clock.now_s()
        contender = self._contenders.get(name)
        if contender is None:
            return outcome.Failure(
                outcome.Reason.NOT_FOUND, f'does not contend for {name}'
            )
        held = lease.held(contender, now_s)
        if held is not None:
            return held
        wait_s = lease.next_action_s(contender) - now_s
        return outcome.Failure(
            outcome.Reason.SUPERSEDED,
            f'does not hold {name}',
            max(0.0, wait_s),
        )

    def run(self) -> None:
        """Acquire and renew leases until stopped, then release them."""
        self._follower.subscribe(self.mailbox)
        while not self.stopping.is_set():
            message = self.mailbox.receive(self._timeout_s())
            if message is not None:
                self._handle(message)
            now_s = clock.now_s()
            for name in list(self._contenders):
                self._act_if_due(name, now_s)
                self._report_change(name, now_s)
        for name in list(self._contenders):
            self._release(name)

    def _timeout_s(self) -> float:
        if self._state is None:
            return MAX_SLEEP_S
        times = [
            lease.next_action_s(contender)
            for contender in self._contenders.values()
        ]
        return min(
            MAX_SLEEP_S, max(0.0, min(times, default=0.0) - clock.now_s())
        )

    def _handle(self, message: typing.Any) -> None:
        if isinstance(message, log_follower.ControlUpdate):
            self._state = message.state
            for name, contender in self._contenders.items():
                self._store(self._observe(contender, message.received_s), name)
        elif isinstance(message, Contend):
            contender = lease.Contender(
                message.name,
                self._holder,
                message.duration_s,
                message.stagger_s,
            )
            if message.subscriber is not None:
                self._subscribers[message.name] = message.subscriber
            self._store(self._observe(contender, clock.now_s()), message.name)
        elif isinstance(message, Resign):
            self._release(message.name)

    def _observe(
        self, contender: lease.Contender, read_s: float
    ) -> lease.Contender:
        if self._state is None:
            return contender
        head = self._state.leases.get(contender.name)
        return lease.observe(contender, head, read_s)

    def _store(self, contender: lease.Contender, name: str) -> None:
        self._contenders = self._contenders | {name: contender}

    def _act_if_due(self, name: str, now_s: float) -> None:
        contender = self._contenders[name]
        if self._state is None or lease.next_action_s(contender) > now_s:
            return
        record_id = ids.RecordId(ids.new_random_id('lease'))
        # The lease is valid from the time of sending on, so that time is
        # recorded before the writer gets the record.
        contender, record = lease.build_record(contender, record_id, now_s)
        self._store(contender, name)
        self._counters.add('leases.sent')
        self._append(record, contender.duration_s)

    def _append(self, record: records.LeaseRecord, timeout_s: float) -> None:
        self._writer.append(
            log_writer.Append(
                records.CONTROL_STREAM,
                record.record_id,
                record,
                time.monotonic() + timeout_s,
            )
        )

    def _report_change(self, name: str, now_s: float) -> None:
        held = lease.held(self._contenders[name], now_s) is not None
        if held == self._reported_held.get(name, False):
            return
        self._reported_held[name] = held
        self._counters.add('leases.won' if held else 'leases.lost')
        _log.notice('{} lease {}', 'holds' if held else 'lost', name)
        if name in self._subscribers:
            self._subscribers[name].send(LeaseChanged(name, held))

    def _release(self, name: str) -> None:
        contender = self._contenders.get(name)
        if contender is None:
            return
        record_id = ids.RecordId(ids.new_random_id('release'))
        contender, record = lease.release(contender, record_id)
        # This process stops holding the lease before others can learn it.
        self._store(contender, name)
        self._report_change(name, clock.now_s())
        self._contenders = {
            other: held
            for other, held in self._contenders.items()
            if other != name
        }
        if record is not None:
            self._append(record, RELEASE_TIMEOUT_S)
