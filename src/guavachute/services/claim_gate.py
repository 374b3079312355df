"""Claims a router's orders before they are dispatched.

Each call makes one attempt, sends one claim to one committer, and decides
once: it dispatches the order, or it cancels the attempt for good. A
``Won`` that arrives after the cancellation is ignored.
"""

import dataclasses
import threading
import time
import urllib.parse

from guavachute.decide.orders import order_commit
from guavachute.decide.orders import order_keys
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute import outcome
from guavachute.services import order_claims
from guavachute.services import plain_calls
from guavachute.wire import order_records

CLAIM_TIMEOUT_S = 5.0
"""An order that isn't claimed within this time is refused, also if its
caller's deadline is later."""

REPLY_GRACE_S = 0.5
"""How long to wait for the committer's reply after the claim's deadline."""

STORED_BODY_BYTES = 4096
"""Longer answers are stored without their body."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    key_digest: str
    attempt_id: ids.AttemptId


class ClaimGate:
    """Claims orders at a committer.

    Implements :class:`plain_calls.Claimer`; safe to use from many threads.

    :param claims: the mailbox of a :class:`claim_client.ClaimClient` or of
        an :class:`order_claims.OrderClaims`
    """

    def __init__(self, claims: mailbox.Mailbox) -> None:
        self._claims = claims
        self._lock = threading.Lock()
        self._won_attempts: dict[ids.RequestId, _Attempt] = {}

    def claim(
        self, call: plain_calls.PlainCall, now_s: float
    ) -> plain_calls.Answer | plain_calls.Failed | None:
        """Claim the order of *call*; blocks until decided or timed out.

        None means that the order must be dispatched once and its result
        reported by one of the other methods. Anything else is the reply
        to the caller, and the order must not be dispatched.
        """
        attempt = _Attempt(
            order_keys.key_digest(
                call.workspace, call.pool, call.idempotency_key or ''
            ),
            ids.AttemptId(ids.new_random_id('attempt')),
        )
        deadline_s = min(call.deadline_s, now_s + CLAIM_TIMEOUT_S)
        reply = self._request_claim(call, attempt, deadline_s)
        if isinstance(reply, order_commit.AlreadyRun):
            return _stored_answer(reply.answer)
        if isinstance(reply, order_commit.Refused):
            return plain_calls.Failed(reply.verdict, reply.failure)
        if reply is None or time.monotonic() >= call.deadline_s:
            self._cancel(attempt)
            return _timed_out()
        with self._lock:
            self._won_attempts[call.request_id] = attempt
        return None

    def store_answer(
        self, call: plain_calls.PlainCall, answer: plain_calls.Answer
    ) -> None:
        """Store *answer* for callers that send the key again.

        A body that may be incomplete, or that is longer than
        ``STORED_BODY_BYTES``, is not stored.
        """
        attempt = self._pop_attempt(call)
        is_kept = answer.is_framed and len(answer.body) <= STORED_BODY_BYTES
        self._claims.send(
            order_claims.StoreAnswer(
                order_records.OrderAnswer(
                    key_digest=attempt.key_digest,
                    attempt_id=attempt.attempt_id,
                    status=answer.status,
                    headers=answer.headers,
                    body=answer.body if is_kept else None,
                )
            )
        )

    def release_claim(self, call: plain_calls.PlainCall) -> None:
        """Release the claim of *call*, which reached no endpoint.

        Another attempt may then run the key.
        """
        self._cancel(self._pop_attempt(call))

    def keep_claim(self, call: plain_calls.PlainCall) -> None:
        """Keep the key of *call* claimed, since the order may have run."""
        self._pop_attempt(call)

    def _request_claim(
        self,
        call: plain_calls.PlainCall,
        attempt: _Attempt,
        deadline_s: float,
    ) -> order_commit.Reply | None:
        replies = mailbox.Mailbox()
        claim = order_commit.Claim(
            attempt.key_digest,
            _body_digest(call),
            attempt.attempt_id,
            deadline_s,
        )
        self._claims.send(
            order_claims.ClaimRequest(
                call.idempotency_key or '', claim, replies
            )
        )
        wait_s = deadline_s + REPLY_GRACE_S - time.monotonic()
        return replies.receive(max(0.0, wait_s))

    def _cancel(self, attempt: _Attempt) -> None:
        self._claims.send(
            order_claims.CancelAttempt(attempt.key_digest, attempt.attempt_id)
        )

    def _pop_attempt(self, call: plain_calls.PlainCall) -> _Attempt:
        with self._lock:
            return self._won_attempts.pop(call.request_id)


def _body_digest(call: plain_calls.PlainCall) -> str:
    request = call.request
    query = urllib.parse.urlencode(sorted(request.query.items()))
    return order_keys.body_digest(
        request.method, f'{request.path}?{query}', request.body
    )


def _stored_answer(answer: order_records.OrderAnswer) -> plain_calls.Answer:
    assert answer.body is not None, answer
    return plain_calls.Answer(answer.status, answer.headers, answer.body)


def _timed_out() -> plain_calls.Failed:
    return plain_calls.Failed(
        outcome.Verdict.NOT_RUN,
        outcome.Failure(
            outcome.Reason.UNAVAILABLE,
            'the order could not be claimed in time',
            order_commit.RETRY_AFTER_S,
        ),
    )
