"""Lets a router's order through when its claim has won.

Each call makes one attempt, asks one committer once, and decides once: it
dispatches, or it gives the attempt up for good. A ``Won`` that comes after
that is not looked at.
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
"""An order that could not be claimed by then is refused, whatever time
its caller would still give it."""

REPLY_GRACE_S = 0.5
STORED_BODY_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    key_digest: str
    attempt_id: ids.AttemptId


class ClaimGate:
    """Claims orders at the committer behind *claims*.

    Implements :class:`plain_calls.Claimer`; used by many threads.
    """

    def __init__(self, claims: mailbox.Mailbox) -> None:
        self._claims = claims
        self._lock = threading.Lock()
        self._won_attempts: dict[ids.RequestId, _Attempt] = {}

    def claim(
        self, call: plain_calls.PlainCall, now_s: float
    ) -> plain_calls.Answer | plain_calls.Failed | None:
        """None: dispatch once. Otherwise what to tell the caller."""
        attempt = _Attempt(
            order_keys.key_digest(
                call.workspace, call.pool, call.idempotency_key or ''
            ),
            ids.AttemptId(ids.new_random_id('attempt')),
        )
        deadline_s = min(call.deadline_s, now_s + CLAIM_TIMEOUT_S)
        reply = self._request_claim(call, attempt, deadline_s)
        if isinstance(reply, order_commit.Known):
            return _stored_answer(reply.answer)
        if isinstance(reply, order_commit.Refused):
            return plain_calls.Failed(reply.verdict, reply.failure)
        if reply is None or time.monotonic() >= call.deadline_s:
            self._cancel(attempt)
            return _timed_out()
        with self._lock:
            self._won_attempts[call.request_id] = attempt
        return None

    def answered(
        self, call: plain_calls.PlainCall, answer: plain_calls.Answer
    ) -> None:
        """Keep the answer for callers that send the key again."""
        attempt = self._pop_attempt(call)
        fits = len(answer.body) <= STORED_BODY_BYTES
        self._claims.send(
            order_claims.StoreAnswer(
                order_records.OrderAnswer(
                    key_digest=attempt.key_digest,
                    attempt_id=attempt.attempt_id,
                    status=answer.status,
                    headers=answer.headers,
                    body=answer.body if fits else None,
                )
            )
        )

    def release_claim(self, call: plain_calls.PlainCall) -> None:
        """The dispatch reached nobody: the key may be run by another."""
        self._cancel(self._pop_attempt(call))

    def keep_claim(self, call: plain_calls.PlainCall) -> None:
        """It may have run; the key stays claimed."""
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
