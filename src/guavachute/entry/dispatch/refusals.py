"""Why a request is not sent to any endpoint now."""

import random

from guavachute.decide.ingress import announcements
from guavachute.decide.ingress import choice
from guavachute.decide.ingress import crashing_parts
from guavachute.entry import endpoint_registry
from guavachute import ids
from guavachute import outcome

MIN_SEND_S = 0.02
"""With less time left than this, an endpoint could not answer in time, so the
request is not sent."""

CRASHING_RETRY_S = 30.0
"""Retry-After of a request that crashes endpoints."""

RETRY_STATUSES = (429, 503)
"""Statuses of answers that tell when to retry."""

SHORT_RETRY_AFTER_S = 0.25
"""Retry-After of an answer whose cause is expected to pass quickly."""


def told_retry_s(status: int, failure: outcome.Failure) -> float | None:
    """What an answer says of when to retry; None if it says nothing."""
    return failure.retry_after_s if status in RETRY_STATUSES else None


def no_capacity(reason: str) -> outcome.Failure:
    """A failure that is expected to pass quickly."""
    return outcome.Failure(
        outcome.Reason.NO_CAPACITY, reason, SHORT_RETRY_AFTER_S
    )


def before_choice(
    verdict: crashing_parts.Verdict, left_s: float
) -> outcome.Failure | None:
    """Why a request is refused before an endpoint is looked for.

    :param verdict: whether parts of its prompt allow it to be sent
    :param left_s: the time until it expires
    """
    if left_s < MIN_SEND_S:
        return outcome.Failure(
            outcome.Reason.DEADLINE,
            'the deadline leaves no time to send the request',
        )
    if verdict is crashing_parts.Verdict.REFUSE:
        return outcome.Failure(
            outcome.Reason.CRASHES_ENDPOINTS,
            'requests with a part of this prompt crash endpoints',
            CRASHING_RETRY_S,
        )
    return None


def too_late(chosen: choice.Chosen, left_s: float) -> outcome.Failure | None:
    """Why a request is refused whose first token would come too late."""
    if chosen.first_token_s <= left_s:
        return None
    return outcome.Failure(
        outcome.Reason.OVERLOADED,
        f'the first token would take {chosen.first_token_s:.2f} s',
        max(SHORT_RETRY_AFTER_S, chosen.first_token_s - left_s),
    )


def without_endpoint(
    registry: endpoint_registry.EndpointRegistry,
    service: ids.ServiceName,
    build: ids.BuildName | None,
    now_s: float,
) -> outcome.Failure | None:
    """Why no endpoint will accept a request soon; None if one may.

    :param build: the only build that may serve it; None if any may
    """
    if build is not None and not registry.serves_build(service, build, now_s):
        return no_capacity(f'no endpoint of build {build} is left')
    pause_s = registry.service_pause_s(service, now_s)
    if pause_s is None:
        return None
    return outcome.Failure(
        outcome.Reason.NO_CAPACITY,
        f'all endpoints of {service} want no requests',
        announcements.return_after_s(pause_s, random.random()),
    )
