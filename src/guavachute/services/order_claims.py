"""Decides which attempt may run an order, for the routers of a VM.

A claim is appended to the claims stream of the log and decided when its
record is read back; see :mod:`guavachute.decide.orders.order_commit`.
"""

import collections
import dataclasses
import functools
import random
import time
import typing

from guavachute.decide.orders import order_claims
from guavachute.decide.orders import order_commit
from guavachute.decide.orders import order_keys
from guavachute.decide.orders import order_snapshot
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services import claim_stream
from guavachute.wire import order_records

NAME = 'order-claims'
STREAM = 'claims-0'

READ_OUTAGE_S = 1.0
"""After read failures for this long, new claims are refused at once."""

BUSY_POLL_S = 0.02
IDLE_POLL_S = 1.0
EXPIRE_INTERVAL_S = 60.0
FINAL_APPEND_TIMEOUT_S = 3.0
"""Time limit at the stop for the records of cancelled attempts and of
answers that are not appended yet."""

_log = logs.logger('orders')


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Requests the right to dispatch an attempt of an order.

    :ivar key: the idempotency key as the caller sent it; a UUIDv7 key
        states when it was made
    :ivar reply_to: receives one :data:`order_commit.Reply`
    """

    key: str
    claim: order_commit.Claim
    reply_to: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancels an attempt that has not run and that its router won't run."""

    key_digest: str
    attempt_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Stores the answer of an attempt that ran."""

    answer: order_records.OrderAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class SetWindow:
    """Sets how long keys are kept: the document's ``order_window_s``."""

    window_s: float


class OrderClaims(task.Task):
    """Owns the folded state of one claims stream and the pending claims.

    Messages: :class:`ClaimRequest`, :class:`CancelAttempt`,
    :class:`StoreAnswer`, :class:`SetWindow`, and those of
    :mod:`claim_stream`.

    :param inbox: this task's mailbox; *reader* and *appender* are built
        with it as their owner
    :param reader: started and stopped by this task, as is *appender*
    """

    def __init__(
        self,
        inbox: mailbox.Mailbox,
        reader: task.Task,
        appender: task.Task,
        window_s: float,
        metrics: counters.Counters,
        name: str = NAME,
    ) -> None:
        super().__init__(name)
        self.mailbox = inbox
        self._reader = reader
        self._appender = appender
        self._metrics = metrics
        self._claims = order_claims.Claims(window_s)
        self._committer = order_commit.Committer(self._claims)
        self._snapshots = order_snapshot.Schedule(random.random())
        self._collector = order_snapshot.Collector()
        self._snapshot_parts: collections.deque[
            order_records.OrderSnapshotPart
        ] = collections.deque()
        self._sent_part: order_records.OrderSnapshotPart | None = None
        self._reply_mailboxes: dict[ids.AttemptId, mailbox.Mailbox] = {}
        self._append_under_way = False
        self._failing_since_s: float | None = None
        self._first_retained = 0
        self._next_expiry_s = 0.0

    def run(self) -> None:
        """Decide claims until stopped, then flush what is pending."""
        self._reader.start()
        self._appender.start()
        while not self.stopping.is_set():
            self._run_once()
        self._flush_pending()
        for helper in (self._reader, self._appender):
            helper.request_stop()
            helper.join(FINAL_APPEND_TIMEOUT_S)
        self.mailbox.close()

    def _run_once(self) -> None:
        timeout_s = BUSY_POLL_S if self._is_busy() else IDLE_POLL_S
        message = self.mailbox.receive(timeout_s)
        if message is not None:
            _handle(message, self)
        now_s = time.monotonic()
        self._send_replies(self._committer.expire(now_s))
        self._append_next(now_s)
        self._expire_keys(now_s)

    def handle_request(self, message: ClaimRequest) -> None:
        """Refuse an unusable key, or submit its claim to the committer."""
        self._metrics.add('orders.claims')
        claim = message.claim
        failure = order_keys.check(
            message.key,
            time.time(),
            self._claims.window_s,
            self._claims.complete_from_unix_s,
        )
        self._reply_mailboxes[claim.attempt_id] = message.reply_to
        if failure is not None:
            refused = order_commit.Refused(
                claim.attempt_id, outcome.Verdict.NOT_RUN, failure
            )
            self._send_replies([refused])
        else:
            self._send_replies(self._committer.submit(claim))

    def handle_cancel(self, message: CancelAttempt) -> None:
        """Cancel the attempt.

        Its cancellation is appended if its claim may be in the log.
        """
        self._reply_mailboxes.pop(message.attempt_id, None)
        self._committer.cancel(message.key_digest, message.attempt_id)

    def handle_answer(self, message: StoreAnswer) -> None:
        """Queue the answer to be appended."""
        self._committer.record_answer(message.answer)

    def handle_set_window(self, message: SetWindow) -> None:
        """Use the new window from now on."""
        self._claims.window_s = message.window_s

    def handle_started(self, message: claim_stream.Started) -> None:
        """Replace the state by that of a snapshot, or by an empty one."""
        start = message.start
        self._committer.is_ready = False
        self._collector = order_snapshot.Collector()
        self._claims.restore(
            start.through_offset, start.complete_from_unix_s, start.keys
        )
        if start.complete_from_unix_s:
            self._metrics.add('orders.memory_lost')
            _log.warning(
                'claims before offset {} are lost: for the length of the '
                'order window only UUIDv7 keys made after the loss are '
                'accepted',
                start.through_offset + 1,
            )

    def handle_read(self, message: claim_stream.Read) -> None:
        """Fold the records and decide the claims that were read back."""
        now_unix_s = time.time()
        self._first_retained = message.first_retained_offset
        for offset, record in message.entries:
            self._claims.fold(offset, record, now_unix_s)
            self._collector.collect(record)
        if self._collector.newest is not None:
            self._snapshots.record_snapshot(
                self._collector.through_offset, time.monotonic()
            )
            self._collector = order_snapshot.Collector()
        at_end = self._claims.through_offset + 1 >= message.next_offset
        self._set_ready(at_end or self._committer.is_ready)
        self._send_replies(self._committer.decide())

    def handle_read_failed(self, message: claim_stream.ReadFailed) -> None:
        """Refuse new claims once reads have failed for ``READ_OUTAGE_S``."""
        now_s = time.monotonic()
        self._metrics.add('orders.read_failures')
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        if now_s - self._failing_since_s >= READ_OUTAGE_S:
            self._set_ready(False)

    def handle_appended(self, message: claim_stream.Appended) -> None:
        """Record the result; a batch that failed is appended again."""
        self._metrics.add(f'orders.appends_{message.result.value}')
        accepted = message.result is order_commit.AppendResult.ACCEPTED
        if self._sent_part is None:
            self._committer.append_done(message.result)
        elif not accepted:
            self._snapshot_parts.appendleft(self._sent_part)
        self._sent_part = None
        self._append_under_way = False

    def _set_ready(self, ready: bool) -> None:
        if ready:
            self._failing_since_s = None
        if ready != self._committer.is_ready:
            _log.notice(
                'new orders are {}', 'accepted' if ready else 'refused'
            )
        self._committer.is_ready = ready

    def _is_busy(self) -> bool:
        return bool(len(self._committer) or self._committer.has_notices)

    def _append_next(self, now_s: float) -> None:
        if self._append_under_way:
            return
        batch = self._committer.next_batch(now_s, time.time())
        if not batch:
            self._plan_snapshot(now_s)
            if not (self._snapshot_parts and self._committer.is_ready):
                return
            self._sent_part = self._snapshot_parts.popleft()
            batch = [self._sent_part]
        self._append_under_way = True
        self._metrics.add('orders.appended_records', len(batch))
        self._appender.mailbox.send(claim_stream.Append(batch))

    def _plan_snapshot(self, now_s: float) -> None:
        if self._snapshot_parts or not self._snapshots.is_due(
            self._first_retained, self._claims.through_offset, now_s
        ):
            return
        self._metrics.add('orders.snapshots')
        self._snapshots.record_snapshot(self._claims.through_offset, now_s)
        snapshot_id = ids.new_random_id('orders')
        self._snapshot_parts.extend(
            order_snapshot.snapshot_parts(self._claims, snapshot_id)
        )

    def _expire_keys(self, now_s: float) -> None:
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRE_INTERVAL_S
            self._claims.expire(time.time())
            self._metrics.set('orders.keys', len(self._claims))
            self._metrics.set(
                'orders.dropped_notices', self._committer.dropped_notices
            )

    def _send_replies(
        self, replies: typing.Iterable[order_commit.Reply]
    ) -> None:
        for reply in replies:
            self._metrics.add(f'orders.{_reply_metric(reply)}')
            waiting = self._reply_mailboxes.pop(reply.attempt_id, None)
            if waiting is not None:
                waiting.send(reply)

    def _flush_pending(self) -> None:
        """Refuse the pending claims and append the remaining records.

        Appends cancellations and answers, for at most
        ``FINAL_APPEND_TIMEOUT_S``; others may look these up later.
        """
        end_s = time.monotonic() + FINAL_APPEND_TIMEOUT_S
        self._send_replies(self._committer.expire(float('inf')))
        while time.monotonic() < end_s:
            if not (self._append_under_way or self._committer.has_notices):
                return
            self._append_next(time.monotonic())
            message = self.mailbox.receive(BUSY_POLL_S)
            if message is not None:
                _handle(message, self)


def _reply_metric(reply: order_commit.Reply) -> str:
    if isinstance(reply, order_commit.Refused):
        return reply.verdict.value
    return 'won' if isinstance(reply, order_commit.Won) else 'known'


@functools.singledispatch
def _handle(message: mailbox.Message, service: OrderClaims) -> None:
    raise AssertionError(f'unexpected message {message!r}')


@_handle.register
def _(message: ClaimRequest, service: OrderClaims) -> None:
    service.handle_request(message)


@_handle.register
def _(message: CancelAttempt, service: OrderClaims) -> None:
    service.handle_cancel(message)


@_handle.register
def _(message: StoreAnswer, service: OrderClaims) -> None:
    service.handle_answer(message)


@_handle.register
def _(message: SetWindow, service: OrderClaims) -> None:
    service.handle_set_window(message)


@_handle.register
def _(message: claim_stream.Started, service: OrderClaims) -> None:
    service.handle_started(message)


@_handle.register
def _(message: claim_stream.Read, service: OrderClaims) -> None:
    service.handle_read(message)


@_handle.register
def _(message: claim_stream.ReadFailed, service: OrderClaims) -> None:
    service.handle_read_failed(message)


@_handle.register
def _(message: claim_stream.Appended, service: OrderClaims) -> None:
    service.handle_appended(message)


@_handle.register
def _(message: task.Stop, service: OrderClaims) -> None:
    """Nothing to do: the loop checks ``stopping``."""


def build(
    connect: typing.Callable[[], typing.Any],
    window_s: float,
    metrics: counters.Counters,
    stream: str = STREAM,
) -> OrderClaims:
    """A committer with its reader and appender, not started.

    :param connect: returns a new ``log_client.LogClient`` at each call
    :param window_s: how long keys are kept, until a :class:`SetWindow`
    """
    inbox = mailbox.Mailbox()
    return OrderClaims(
        inbox,
        claim_stream.ClaimReader(connect(), stream, inbox),
        claim_stream.ClaimAppender(connect(), stream, inbox),
        window_s,
        metrics,
    )
