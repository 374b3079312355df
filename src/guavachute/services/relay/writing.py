"""Queues the parts of a response: its head, its end or a failure."""

from guavachute import outcome
from guavachute.services.relay import call as relay_call
from guavachute.services import replies

DONE_EVENT = b'data: [DONE]\n\n'
RECONNECT_AT_ONCE = b'retry: 0\n\n'


def start(stream: relay_call.Stream) -> None:
    """Queue the head of a stream of events, whose outcome is still unknown."""
    lines = replies.headers(stream.call.request_id, outcome.Verdict.UNKNOWN)
    lines['Trailer'] = replies.OUTCOME_HEADER
    stream.caller.start_stream(lines)


def finish(stream: relay_call.Stream) -> None:
    """Queue the end of a complete answer, or all of it if not streamed."""
    call = stream.call
    if call.streamed:
        _end_events(stream, outcome.Verdict.DONE, DONE_EVENT)
        return
    lines = replies.headers(call.request_id, outcome.Verdict.DONE)
    stream.caller.send_response(200, lines, stream.complete_body())


def fail(
    stream: relay_call.Stream,
    verdict: outcome.Verdict,
    failure: outcome.Failure,
) -> None:
    """Queue *failure* as the end of the response.

    It is an error response, or an event if the head was queued before.
    """
    body = replies.error_body(failure)
    if stream.caller.started:
        _end_events(stream, verdict, b'data: %b\n\n' % body)
        return
    stream.caller.send_response(
        replies.status_of(failure.reason),
        replies.headers(stream.call.request_id, verdict, failure),
        body,
    )


def _end_events(
    stream: relay_call.Stream, verdict: outcome.Verdict, last: bytes
) -> None:
    # The comment is in the block of the last event, because some clients
    # parse a block with only a comment as an event without data.
    comment = f': outcome {verdict.value}\n'.encode()
    stream.caller.add(comment + last)
    stream.caller.end_stream({replies.OUTCOME_HEADER: verdict.value})
