"""Turning the claims of many routers into few appends, and deciding them.

A claim is decided when its record has been read back from the log, never
by the answer to an append. An attempt is asked of one committer, once; a
router that loses its committer gives the attempt up and makes another.

What a router is told in the end:

* the attempt holds the key: it may dispatch, once;
* the order was run and this is its answer;
* ``unknown``: another attempt holds the key;
* ``not-run``: the deadline passed, or the log is down. Where the claim
  may stand in the log all the same, a record follows that gives the
  attempt up, so that the key sent again can still be run.
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
"""At most so often: the log takes several hundred appends/s in all."""

BATCH_RECORDS = 500
PENDING_CLAIMS = 2_000
WAITING_NOTICES = 10_000
"""Give-ups and answers kept while the log is down. Beyond it the oldest
are dropped; their keys then stay ``unknown``, which is safe."""

RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A router asks whether *attempt_id* may run the order.

    :ivar deadline_s: when the router stops waiting, monotonic
    """

    key_digest: str
    body_digest: str
    attempt_id: ids.AttemptId
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The attempt may be dispatched, once."""

    attempt_id: ids.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """The order was run before; this is its answer."""

    attempt_id: ids.AttemptId
    answer: order_records.OrderAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt must not be dispatched."""

    attempt_id: ids.AttemptId
    verdict: outcome.Verdict
    failure: outcome.Failure


Reply = Won | Known | Refused
Notice = order_records.OrderGiveUp | order_records.OrderAnswer


class AppendResult(enum.Enum):
    """What became of an append."""

    TAKEN = 'taken'
    REFUSED = 'refused'
    """It has no effect, now or later."""
    LOST = 'lost'
    """It may have an effect, now or later."""


@dataclasses.dataclass(slots=True)
class _Pending:
    claim: Claim
    is_queued: bool = True
    was_lost: bool = False

    @property
    def may_be_in_log(self) -> bool:
        """Whether its record may take effect, now or later."""
        return self.was_lost or not self.is_queued


class Committer:
    """The claims of one stream that wait, and what is to be appended.

    :param claims: the fold of the stream; the caller folds, then calls
        :meth:`decide`
    :ivar is_ready: the fold is complete and the log was read lately;
        otherwise new claims are refused at once
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
        """How many claims wait."""
        return len(self._pending)

    @property
    def has_notices(self) -> bool:
        """Whether give-ups or answers are to be appended."""
        return bool(self._notices)

    def submit(self, claim: Claim) -> list[Reply]:
        """Take *claim*; the reply comes now or from another method."""
        assert claim.attempt_id not in self._pending, claim
        reply = self._settled(claim)
        if reply is None and not self.is_ready:
            reply = _not_run(
                claim, outcome.Reason.UNAVAILABLE, 'the log can not be read'
            )
        if reply is None and len(self._pending) >= PENDING_CLAIMS:
            reply = _not_run(
                claim, outcome.Reason.OVERLOADED, 'too many claims wait'
            )
        if reply is not None:
            return [reply]
        self._pending[claim.attempt_id] = _Pending(claim)
        return []

    def give_up(self, key_digest: str, attempt_id: ids.AttemptId) -> None:
        """The router says that the attempt has not run and never will."""
        pending = self._pending.pop(attempt_id, None)
        if pending is None or pending.may_be_in_log:
            self._notify(
                order_records.OrderGiveUp(
                    key_digest=key_digest, attempt_id=attempt_id
                )
            )

    def answered(self, answer: order_records.OrderAnswer) -> None:
        """The router says that its attempt was answered."""
        self._notify(answer)

    def decide(self) -> list[Reply]:
        """Replies to those whose claims the fold decides now."""
        replies = []
        for pending in list(self._pending.values()):
            reply = self._settled(pending.claim)
            if reply is not None:
                replies.append(reply)
                self._finish(pending, reply)
        return replies

    def expire(self, now_s: float) -> list[Reply]:
        """Replies to those whose deadline has passed."""
        replies: list[Reply] = []
        for pending in list(self._pending.values()):
            if now_s >= pending.claim.deadline_s:
                detail = 'the claim was not decided in time'
                reply = _not_run(
                    pending.claim, outcome.Reason.DEADLINE, detail
                )
                replies.append(reply)
                self._finish(pending, reply)
        return replies

    def next_batch(
        self, now_s: float, now_unix_s: float
    ) -> list[order_records.OrderRecord]:
        """What to append now; empty where there is nothing to do.

        Each batch must be followed by :meth:`append_done`.
        """
        if self._in_flight or now_s < self._next_append_s:
            return []
        if not self.is_ready:
            return []
        batch: list[order_records.OrderRecord] = []
        # Give-ups go first: the claim that follows on one may be the same
        # caller's next try.
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
        """Repeat what was not surely appended; that does no harm."""
        batch = self._in_flight
        self._in_flight = []
        if result is AppendResult.TAKEN:
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

    def _settled(self, claim: Claim) -> Reply | None:
        standing = self.claims.standing(
            claim.key_digest, claim.attempt_id, claim.body_digest
        )
        match standing:
            case order_claims.Standing.FREE:
                return None
            case order_claims.Standing.HOLDS:
                return Won(claim.attempt_id)
            case order_claims.Standing.ANSWERED:
                return self._known(claim)
            case order_claims.Standing.OTHER_BODY:
                return Refused(
                    claim.attempt_id,
                    outcome.Verdict.NOT_RUN,
                    outcome.Failure(
                        outcome.Reason.KEY_REUSED,
                        'Idempotency-Key: was sent before with another '
                        'method, path or body',
                    ),
                )
            case order_claims.Standing.LOST:
                return _unknown(claim, 'another attempt may have run it')
        typing.assert_never(standing)

    def _known(self, claim: Claim) -> Reply:
        answer = self.claims.answer(claim.key_digest)
        assert answer is not None, claim
        if answer.body is None:
            return _unknown(
                claim,
                f'it was run and answered {answer.status}, but the answer '
                'was too large to be kept',
                # Asking again would not bring it back.
                retry_after_s=None,
            )
        return Known(claim.attempt_id, answer)

    def _finish(self, pending: _Pending, reply: Reply) -> None:
        claim = pending.claim
        del self._pending[claim.attempt_id]
        if isinstance(reply, Won) or not pending.may_be_in_log:
            return
        # Its claim may come into force later, when the key is free again,
        # and would then block it.
        self._notify(
            order_records.OrderGiveUp(
                key_digest=claim.key_digest, attempt_id=claim.attempt_id
            )
        )

    def _notify(self, notice: Notice) -> None:
        self._notices.append(notice)
        if len(self._notices) > WAITING_NOTICES:
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
