"""Failures as return values.

A function that can fail for a reason outside the program returns a
:class:`Failure` instead of its result; it raises only if an invariant
of the program is violated. Callers distinguish the two with
``isinstance(result, outcome.Failure)``.
"""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Whether a request has run, as reported to its caller."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    """No byte reached an endpoint that could run it, or the endpoint
    rejected it."""
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """The cause of a failure; the value is sent to callers."""

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
    """A failure, returned in place of a result.

    :ivar reason: machine-readable cause
    :ivar detail: one line for a person
    :ivar retry_after_s: when to retry, from now; None if there is no
        advice
    """

    reason: Reason
    detail: str
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return f'{self.reason.value}: {self.detail}'
