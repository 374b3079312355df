"""Limits of a workspace: request rate, concurrency and token rate.

The limits apply to all routers together. Each router enforces a fraction
of them, which :mod:`guavachute.decide.requests.demand_shares` computes.
The number of tokens is known only after the answer, so the token bucket may
go below zero; requests are then rejected until it has refilled.
"""

import math

from guavachute.document import schema
from guavachute import outcome

BURST_S = 2.0
"""A bucket's capacity is its rate times this, but at least one."""

CONCURRENCY_RETRY_AFTER_S = 1.0
"""Wait suggested to a caller when the concurrency limit is reached."""


class TokenBucket:
    """A token bucket whose level may go below zero.

    :param rate_per_s: the refill rate; :meth:`set_rate` changes it
    """

    __slots__ = ('rate_per_s', '_level', '_filled_s')

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._level = self._capacity()
        self._filled_s = now_s

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time in seconds until *amount* is available, or 0.

        An amount above the capacity only needs a full bucket.
        """
        self._refill(now_s)
        missing = min(amount, self._capacity()) - self._level
        return max(0.0, missing / self.rate_per_s)

    def level(self, now_s: float) -> float:
        """The current level; negative if more was consumed than refilled."""
        self._refill(now_s)
        return self._level

    def consume(self, amount: float, now_s: float) -> None:
        """Consume *amount*, even if less is available.

        A negative amount is refunded.
        """
        self._refill(now_s)
        self._level -= amount

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the refill rate from *now_s* on; the level is kept."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s

    def _capacity(self) -> float:
        return max(1.0, self.rate_per_s * BURST_S)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        level = self._level + elapsed_s * self.rate_per_s
        self._level = min(self._capacity(), level)
        self._filled_s = max(self._filled_s, now_s)


class WorkspaceLimits:
    """The limits of one workspace in one router.

    :param limits: the limits in the document, for all routers together
    :param fraction: this router's fraction of them
    """

    def __init__(
        self, limits: schema.Limits, fraction: float, now_s: float
    ) -> None:
        self._limits = limits
        self._fraction = fraction
        self._running = 0
        self._requests: TokenBucket | None = None
        self._tokens: TokenBucket | None = None
        self.set_limits(limits, fraction, now_s)

    def set_limits(
        self, limits: schema.Limits, fraction: float, now_s: float
    ) -> None:
        """Apply the limits of a new document or a new *fraction*.

        The levels of the buckets are kept.
        """
        assert 0.0 < fraction <= 1.0, (
            f'fraction is {fraction}, expected 0 < fraction <= 1'
        )
        self._limits = limits
        self._fraction = fraction
        self._requests = _with_rate(
            self._requests, limits.requests_per_s, fraction, now_s
        )
        self._tokens = _with_rate(
            self._tokens, limits.tokens_per_s, fraction, now_s
        )

    def admit(self, now_s: float) -> outcome.Failure | None:
        """Admit one request, or return which limit is reached.

        The caller calls :meth:`release` when an admitted request ends.
        """
        failure = (
            self._check_concurrency()
            or _check('request rate', self._requests, 1.0, now_s)
            or _check('token rate', self._tokens, 0.0, now_s)
        )
        if failure is not None:
            return failure
        self._running += 1
        if self._requests is not None:
            self._requests.consume(1.0, now_s)
        return None

    def charge(self, tokens: float, now_s: float) -> None:
        """Charge *tokens* to the token rate; a negative value refunds."""
        if self._tokens is not None:
            self._tokens.consume(tokens, now_s)

    def release(self) -> None:
        """Release the slot of an admitted request that has ended."""
        assert self._running > 0, 'more requests ended than were admitted'
        self._running -= 1

    def _check_concurrency(self) -> outcome.Failure | None:
        limit = self._limits.concurrent_requests
        if limit is None:
            return None
        # Rounded up, because each router must admit at least one request
        # even if there are more routers than allowed requests. The sum
        # over all routers can exceed the limit by the rounding.
        if self._running < math.ceil(limit * self._fraction - 1e-9):
            return None
        return outcome.Failure(
            outcome.Reason.LIMIT,
            f'{limit} concurrent requests is the limit of this workspace',
            CONCURRENCY_RETRY_AFTER_S,
        )


def _with_rate(
    bucket: TokenBucket | None,
    limit_per_s: float | None,
    fraction: float,
    now_s: float,
) -> TokenBucket | None:
    if limit_per_s is None:
        return None
    if bucket is None:
        return TokenBucket(limit_per_s * fraction, now_s)
    bucket.set_rate(limit_per_s * fraction, now_s)
    return bucket


def _check(
    limit_name: str, bucket: TokenBucket | None, amount: float, now_s: float
) -> outcome.Failure | None:
    if bucket is None:
        return None
    wait_s = bucket.wait_s(amount, now_s)
    if wait_s <= 0:
        return None
    return outcome.Failure(
        outcome.Reason.LIMIT,
        f'the {limit_name} limit of this workspace is reached',
        wait_s,
    )
