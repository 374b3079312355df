"""What a caller is sent: heads, ends and failures of answers."""

from guavachute import outcome
from guavachute.services.relay import call as relay_call
from guavachute.services import replies

DONE_EVENT = b'data: [DONE]\n\n'
RECONNECT_AT_ONCE = b'retry: 0\n\n'


def start(stream: relay_call.Stream) -> None:
    """Begin a stream of events, whose outcome is not known yet."""
    lines = replies.headers(stream.call.request_id, outcome.Verdict.UNKNOWN)
    lines['Trailer'] = replies.OUTCOME_HEADER
    stream.caller.start_stream(lines)


def finish(stream: relay_call.Stream) -> None:
    """End a whole answer."""
    call = stream.call
    if call.streamed:
        _end_events(stream, outcome.Verdict.DONE, DONE_EVENT)
        return
    lines = replies.headers(call.request_id, outcome.Verdict.DONE)
    stream.caller.send_whole(200, lines, stream.complete_body())


def fail(
    stream: relay_call.Stream,
    verdict: outcome.Verdict,
    failure: outcome.Failure,
) -> None:
    """End with *failure*, in the head or, once that is out, in an event."""
    body = replies.error_body(failure)
    if stream.caller.started:
        _end_events(stream, verdict, b'data: %b\n\n' % body)
        return
    stream.caller.send_whole(
        replies.status_of(failure.reason),
        replies.headers(stream.call.request_id, verdict, failure),
        body,
    )


def _end_events(
    stream: relay_call.Stream, verdict: outcome.Verdict, last: bytes
) -> None:
    # The comment stands in the block of the last event: some clients
    # take a block of its own for an event without data.
    comment = f': outcome {verdict.value}\n'.encode()
    stream.caller.add(comment + last)
    stream.caller.end_stream({replies.OUTCOME_HEADER: verdict.value})
