"""Replies to callers: HTTP status, headers and OpenAI's error body."""

import http
import math

import msgspec

from guavachute import outcome

OUTCOME_HEADER = 'Guavachute-Outcome'
REQUEST_ID_HEADER = 'X-Request-Id'

_Status = http.HTTPStatus
_STATUS = {
    outcome.Reason.BAD_REQUEST: _Status.BAD_REQUEST,
    outcome.Reason.BODY_TOO_LARGE: _Status.REQUEST_ENTITY_TOO_LARGE,
    outcome.Reason.CONFLICT: _Status.CONFLICT,
    outcome.Reason.CRASHED: _Status.BAD_GATEWAY,
    outcome.Reason.CRASHES_ENDPOINTS: _Status.UNPROCESSABLE_ENTITY,
    outcome.Reason.DEADLINE: _Status.GATEWAY_TIMEOUT,
    outcome.Reason.KEY_MISSING: _Status.BAD_REQUEST,
    outcome.Reason.KEY_REUSED: _Status.UNPROCESSABLE_ENTITY,
    outcome.Reason.KEY_TOO_OLD: _Status.UNPROCESSABLE_ENTITY,
    outcome.Reason.LIMIT: _Status.TOO_MANY_REQUESTS,
    outcome.Reason.LOST_ANSWER: _Status.BAD_GATEWAY,
    outcome.Reason.NOT_FOUND: _Status.NOT_FOUND,
    outcome.Reason.OVERLOADED: _Status.TOO_MANY_REQUESTS,
    outcome.Reason.UNAUTHENTICATED: _Status.UNAUTHORIZED,
}


class ErrorDetail(msgspec.Struct, frozen=True):
    """The ``error`` object in OpenAI's error body."""

    message: str
    type: str
    code: str
    param: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """OpenAI's error body."""

    error: ErrorDetail


def status_of(reason: outcome.Reason) -> int:
    """The HTTP status for *reason*; 503 where none is listed."""
    return _STATUS.get(reason, _Status.SERVICE_UNAVAILABLE)


def error_body(failure: outcome.Failure) -> bytes:
    """*failure* as JSON in OpenAI's format."""
    client_error = status_of(failure.reason) < _Status.INTERNAL_SERVER_ERROR
    kind = 'invalid_request_error' if client_error else 'server_error'
    detail = ErrorDetail(failure.detail, kind, failure.reason.value)
    return msgspec.json.encode(ErrorBody(detail))


def headers(
    request_id: str,
    verdict: outcome.Verdict,
    failure: outcome.Failure | None = None,
) -> dict[str, str]:
    """The headers that every reply carries.

    ``Retry-After`` is rounded up to whole seconds and present only where
    *failure* has a time.
    """
    fields = {REQUEST_ID_HEADER: request_id, OUTCOME_HEADER: verdict.value}
    if failure is not None and failure.retry_after_s is not None:
        fields['Retry-After'] = str(math.ceil(failure.retry_after_s))
    return fields
