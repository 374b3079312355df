"""What the log says of a request that is sent to endpoints."""

import typing

from guavachute.domain import call as domain_call
from guavachute.entry import endpoint_registry
from guavachute.observe import journal

if typing.TYPE_CHECKING:
    from guavachute.entry import exchange
    from guavachute import outcome

MAX_LOGGED_AGE_S = 99.0


def log_dispatch(
    sent: 'exchange.Exchange',
    record: endpoint_registry.EndpointRecord,
    dispatch: domain_call.Dispatch,
    expected_s: float,
    entries_age_s: float,
    load_age_s: float,
) -> None:
    """Log the decision to send a request.

    :param expected_s: time to the first token
    :param entries_age_s: for how long changes of the entries may not be known
    :param load_age_s: time since the endpoint reported its load
    """
    journal.event(
        'dispatch',
        request=sent.call.attempt_id,
        route=sent.route.name,
        service=sent.service,
        endpoint=record.entry.id,
        attempt=sent.attempts,
        expected_s=round(expected_s, 4),
        left_s=round(dispatch.deadline_s, 3),
        load=record.own.requests,
        load_age_s=round(min(MAX_LOGGED_AGE_S, load_age_s), 3),
        entries_age_s=round(entries_age_s, 3),
        build=record.entry.build,
        is_resumed=dispatch.resume_after is not None,
        begun_as=sent.call.begun_as,
    )


def log_failed_attempt(
    failed: 'exchange.Exchange',
    record: endpoint_registry.EndpointRecord | None,
    reason: str,
    **fields: typing.Any,
) -> None:
    """Log that an endpoint gave no usable answer.

    :param fields: what is known of the answer
    """
    journal.event(
        'attempt-failed',
        request=failed.call.attempt_id,
        endpoint=record.entry.id if record else None,
        attempt=failed.attempts,
        reason=reason,
        **fields,
    )


def log_end(
    ended: 'exchange.Exchange',
    record: endpoint_registry.EndpointRecord | None,
    verdict: str,
    failure: 'outcome.Failure | None',
    now_s: float,
    **fields: typing.Any,
) -> None:
    """Log how the caller was answered.

    :param fields: what else is known of the answer
    """
    first_s = ended.first_byte_s
    journal.event(
        'request',
        outcome=verdict,
        reason=str(failure) if failure else None,
        request=ended.call.attempt_id,
        route=ended.route.name,
        workspace=ended.workspace.name if ended.workspace else None,
        endpoint=record.entry.id if record else None,
        attempts=ended.attempts,
        first_s=first_s and round(first_s - ended.arrived_s, 4),
        total_s=round(now_s - ended.arrived_s, 4),
        **fields,
    )
