"""Messages between a router and the committer that decides its orders."""

import msgspec

from guavachute import outcome
from guavachute.wire import order_records


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True, tag='claim-ask'):
    """Requests the right to dispatch an order; answered by one reply.

    :ivar key: the ``Idempotency-Key`` as the caller sent it
    :ivar wait_s: how long the router waits for the reply
    """

    key: str
    key_digest: str
    body_digest: str
    attempt_id: str
    wait_s: float


class ClaimCancellation(
    msgspec.Struct, frozen=True, kw_only=True, tag='claim-give-up'
):
    """Reports that the attempt has not run and never will."""

    key_digest: str
    attempt_id: str


class ClaimAnswered(
    msgspec.Struct, frozen=True, kw_only=True, tag='claim-answered'
):
    """Reports the answer to an attempt that ran, for storage."""

    answer: order_records.OrderAnswer


class ClaimWon(msgspec.Struct, frozen=True, kw_only=True, tag='claim-won'):
    """The attempt holds the key and may be dispatched once."""

    attempt_id: str


class ClaimKnown(msgspec.Struct, frozen=True, kw_only=True, tag='claim-known'):
    """The order was run before and was answered with *answer*."""

    attempt_id: str
    answer: order_records.OrderAnswer


class ClaimRefused(
    msgspec.Struct, frozen=True, kw_only=True, tag='claim-refused'
):
    """The attempt must not be dispatched.

    :ivar verdict: what is known of the order
    :ivar retry_after_s: when the caller may try again; None if a retry
        does not help
    """

    attempt_id: str
    verdict: outcome.Verdict
    reason: outcome.Reason
    detail: str
    retry_after_s: float | None = None


FromRouter = ClaimRequest | ClaimCancellation | ClaimAnswered
FromCommitter = ClaimWon | ClaimKnown | ClaimRefused
