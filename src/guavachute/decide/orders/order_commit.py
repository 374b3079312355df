"""Batches the claims of many routers into few appends and decides them.

A claim is decided when its record has been read back from the log, never
by the answer to an append. A router submits each attempt to one committer,
once; if it loses the connection to its committer, it cancels the attempt
and makes another.

The router receives one of these replies:

* the attempt holds the key, so the router may dispatch it once;
* the order was run, with the answer to it;
* ``unknown``: another attempt holds the key;
* ``not-run``: the deadline passed, or the log is not readable. If the
  claim may be in the log nevertheless, a give-up record follows, so that
  the order can still be run when the caller sends the key again.
"""

import collections
import dataclasses
import enum
import typing

from guavachute.decide.orders import order_claims
from guavachute import ids
from guavachute import outcome
from guavachute.wire import order_records

APPEND_INTERVAL_S = 0.1
"""Minimum time between two appends of a committer. The log accepts several
hundred appends/s in total."""

BATCH_RECORDS = 500
"""Maximum number of records in one append."""

MAXIMUM_PENDING_CLAIMS = 2_000
"""Maximum number of undecided claims; more are rejected."""

MAXIMUM_NOTICES = 10_000
"""Maximum number of give-up and answer records kept while the log is down.
Beyond this the oldest are dropped; their keys then stay ``unknown``, which
is safe."""

RETRY_AFTER_S = 1.0
"""Wait suggested to a caller whose order was not decided."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A router's request to run an order as attempt *attempt_id*.

    :ivar deadline_s: when the router stops waiting, by the monotonic clock
    """

    key_digest: str
    body_digest: str
    attempt_id: ids.AttemptId
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The attempt holds the key and may be dispatched once."""

    attempt_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyRun:
    """The order was run before.

    :ivar answer: the stored answer to it
    """

    attempt_id: ids.AttemptId
    answer: order_records.OrderAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt must not be dispatched.

    :ivar verdict: what is known of the order
    """

    attempt_id: ids.AttemptId
    verdict: outcome.Verdict
    failure: outcome.Failure


Reply = Won | AlreadyRun | Refused
"""The committer's decision on a claim."""

Notice = order_records.OrderGiveUp | order_records.OrderAnswer
"""A record that a router reports and that needs no reply."""


class AppendResult(enum.Enum):
    """The result of an append to the log."""

    ACCEPTED = 'taken'
    """The log accepted the records."""
    REFUSED = 'refused'
    """The append has no effect, now or later."""
    LOST = 'lost'
    """The answer was lost; the append may take effect, now or later."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A claim that is not decided yet.

    :ivar is_queued: whether its record still has to be appended
    :ivar was_lost: whether the answer to an append of it was lost
    """

    claim: Claim
    is_queued: bool = True
    was_lost: bool = False

    @property
    def may_be_in_log(self) -> bool:
        """Whether its record may take effect, now or later."""
        return self.was_lost or not self.is_queued


class Committer:
    """The pending claims of one stream, and the records to append for them.

    :param claims: the state folded from the stream. The caller folds new
        records into it and then calls :meth:`decide`
    :ivar is_ready: whether the fold is complete and the log was read
        recently; if not, new claims are rejected immediately
    :ivar dropped_notices: how many notices were dropped, see
        :data:`MAXIMUM_NOTICES`
    """

    def __init__(self, claims: order_claims.Claims) -> None:
        self.claims = claims
        self.is_ready = False
        self._pending: dict[ids.AttemptId, _Pending] = {}
        self._notices: collections.deque[Notice] = collections.deque()
        self._in_flight: list[order_records.OrderRecord] = []
        self._next_append_s = 0.0
        self.dropped_notices = 0

    def __len__(self) -> int:
        """The number of pending claims."""
        return len(self._pending)

    @property
    def has_notices(self) -> bool:
        """Whether give-up or answer records wait to be appended."""
        return bool(self._notices)

    def submit(self, claim: Claim) -> list[Reply]:
        """Add *claim* and return the reply if it is decided already.

        Otherwise the list is empty, and :meth:`decide` or :meth:`expire`
        returns the reply later.
        """
        assert claim.attempt_id not in self._pending, claim
        reply = self._decided_reply(claim)
        if reply is None and not self.is_ready:
            reply = _not_run(
                claim, outcome.Reason.UNAVAILABLE, 'the log is not readable'
            )
        if reply is None and len(self._pending) >= MAXIMUM_PENDING_CLAIMS:
            reply = _not_run(
                claim, outcome.Reason.OVERLOADED, 'too many claims are pending'
            )
        if reply is not None:
            return [reply]
        self._pending[claim.attempt_id] = _Pending(claim)
        return []

    def cancel(self, key_digest: str, attempt_id: ids.AttemptId) -> None:
        """Cancel an attempt that has not run and never will.

        The router reports this. A give-up record is appended unless the
        claim certainly never reaches the log.
        """
        pending = self._pending.pop(attempt_id, None)
        if pending is None or pending.may_be_in_log:
            self._queue_notice(
                order_records.OrderGiveUp(
                    key_digest=key_digest, attempt_id=attempt_id
                )
            )

    def record_answer(self, answer: order_records.OrderAnswer) -> None:
        """Queue a record of the answer that a router got to its attempt."""
        self._queue_notice(answer)

    def decide(self) -> list[Reply]:
        """Return replies to the pending claims that the fold now decides."""
        replies = []
        for pending in list(self._pending.values()):
            reply = self._decided_reply(pending.claim)
            if reply is not None:
                replies.append(reply)
                self._remove_pending(pending, reply)
        return replies

    def expire(self, now_s: float) -> list[Reply]:
        """Return replies to the pending claims whose deadline has passed."""
        replies: list[Reply] = []
        for pending in list(self._pending.values()):
            if now_s >= pending.claim.deadline_s:
                detail = 'the claim was not decided in time'
                reply = _not_run(
                    pending.claim, outcome.Reason.DEADLINE, detail
                )
                replies.append(reply)
                self._remove_pending(pending, reply)
        return replies

    def next_batch(
        self, now_s: float, now_unix_s: float
    ) -> list[order_records.OrderRecord]:
        """Return the records to append now; empty if there are none.

        The caller must call :meth:`append_done` after each batch.
        """
        if self._in_flight or now_s < self._next_append_s:
            return []
        if not self.is_ready:
            return []
        batch: list[order_records.OrderRecord] = []
        # Give-up records go first, because a claim in this batch may be a
        # retry of the same order by the caller.
        while self._notices and len(batch) < BATCH_RECORDS:
            batch.append(self._notices.popleft())
        for pending in self._pending.values():
            if len(batch) >= BATCH_RECORDS:
                break
            if pending.is_queued:
                pending.is_queued = False
                batch.append(_record_of(pending.claim, now_unix_s))
        if batch:
            self._in_flight = batch
            self._next_append_s = now_s + APPEND_INTERVAL_S
        return batch

    def append_done(self, result: AppendResult) -> None:
        """Handle the result of the append of the last batch.

        Records that were not certainly appended are appended again, which
        is safe because folding them twice changes nothing.
        """
        batch = self._in_flight
        self._in_flight = []
        if result is AppendResult.ACCEPTED:
            return
        for record in reversed(batch):
            if isinstance(record, order_records.OrderClaim):
                self._requeue(record, result)
            elif isinstance(record, Notice):
                self._notices.appendleft(record)

    def _requeue(
        self, record: order_records.OrderClaim, result: AppendResult
    ) -> None:
        pending = self._pending.get(record.attempt_id)
        if pending is not None:
            pending.is_queued = True
            pending.was_lost |= result is AppendResult.LOST

    def _decided_reply(self, claim: Claim) -> Reply | None:
        status = self.claims.status_of(
            claim.key_digest, claim.attempt_id, claim.body_digest
        )
        match status:
            case order_claims.AttemptStatus.FREE:
                return None
            case order_claims.AttemptStatus.HOLDS:
                return Won(claim.attempt_id)
            case order_claims.AttemptStatus.ANSWERED:
                return self._stored_answer(claim)
            case order_claims.AttemptStatus.OTHER_BODY:
                return Refused(
                    claim.attempt_id,
                    outcome.Verdict.NOT_RUN,
                    outcome.Failure(
                        outcome.Reason.KEY_REUSED,
                        'Idempotency-Key: was used before with a different '
                        'method, path or body',
                    ),
                )
            case order_claims.AttemptStatus.LOST:
                return _unknown(
                    claim, 'another attempt may have run the order'
                )
        typing.assert_never(status)

    def _stored_answer(self, claim: Claim) -> Reply:
        answer = self.claims.answer(claim.key_digest)
        assert answer is not None, claim
        if answer.body is None:
            return _unknown(
                claim,
                f'the order was run and answered {answer.status}, but the '
                'answer was too large, or not surely complete, to be stored',
                # A retry would not find the answer either.
                retry_after_s=None,
            )
        return AlreadyRun(claim.attempt_id, answer)

    def _remove_pending(self, pending: _Pending, reply: Reply) -> None:
        claim = pending.claim
        del self._pending[claim.attempt_id]
        if isinstance(reply, Won) or not pending.may_be_in_log:
            return
        # The claim may take effect later, when the key is free again, and
        # would then block the key.
        self._queue_notice(
            order_records.OrderGiveUp(
                key_digest=claim.key_digest, attempt_id=claim.attempt_id
            )
        )

    def _queue_notice(self, notice: Notice) -> None:
        self._notices.append(notice)
        if len(self._notices) > MAXIMUM_NOTICES:
            self._notices.popleft()
            self.dropped_notices += 1


def _record_of(claim: Claim, now_unix_s: float) -> order_records.OrderClaim:
    return order_records.OrderClaim(
        key_digest=claim.key_digest,
        attempt_id=claim.attempt_id,
        body_digest=claim.body_digest,
        claimed_unix_s=now_unix_s,
    )


def _not_run(claim: Claim, reason: outcome.Reason, detail: str) -> Reply:
    return Refused(
        claim.attempt_id,
        outcome.Verdict.NOT_RUN,
        outcome.Failure(reason, detail, RETRY_AFTER_S),
    )


def _unknown(
    claim: Claim, detail: str, retry_after_s: float | None = RETRY_AFTER_S
) -> Reply:
    return Refused(
        claim.attempt_id,
        outcome.Verdict.UNKNOWN,
        outcome.Failure(outcome.Reason.CONFLICT, detail, retry_after_s),
    )
