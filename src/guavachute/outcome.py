"""Outcomes as values.

A function that can fail for a reason outside the program returns a
:class:`Failure` in place of its result; it raises only where an
invariant of the program itself is broken. Callers tell the two apart
with ``isinstance(result, outcome.Failure)``.
"""

import dataclasses
import enum


class Verdict(enum.Enum):
    """What a caller is told about a request, the only three there are."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    """No byte reached an endpoint that could run it, or it refused."""
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why something was not done; the value is what callers read."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    CANCELLED = 'cancelled'
    CONFLICT = 'conflict'
    CRASHED = 'endpoint_crashed'
    CRASHES_ENDPOINTS = 'request_crashes_endpoints'
    DEADLINE = 'deadline_exceeded'
    DRAINING = 'draining'
    KEY_MISSING = 'idempotency_key_missing'
    KEY_REUSED = 'idempotency_key_reused'
    KEY_TOO_OLD = 'idempotency_key_too_old'
    LIMIT = 'limit_reached'
    LOST_ANSWER = 'answer_lost'
    NO_CAPACITY = 'no_capacity'
    NO_CONFIGURATION = 'no_configuration'
    NOT_FOUND = 'not_found'
    OVERLOADED = 'overloaded'
    RETENTION = 'retention_passed'
    RETRIES_SPENT = 'retry_budget_spent'
    SUPERSEDED = 'superseded'
    UNAUTHENTICATED = 'invalid_api_key'
    UNAVAILABLE = 'unavailable'
    UNREADABLE = 'unreadable'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed outcome.

    :ivar reason: machine-readable cause
    :ivar detail: one line for a person
    :ivar retry_after_s: when asking again is sensible, if it is
    """

    reason: Reason
    detail: str
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return f'{self.reason.value}: {self.detail}'
