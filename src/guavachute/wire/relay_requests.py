"""Requests for endpoints that one entry node passes on for another.

The request for the endpoint is the body of an HTTP request to the other node,
unchanged. The answer is that of the endpoint, or a refusal, which says that
nothing was sent to the endpoint.
"""

import dataclasses
import typing

from guavachute.domain import call
from guavachute import ids
from guavachute import outcome

TARGET = b'/relay'

_ENDPOINT = b'relay-endpoint'
_START_MS = b'relay-endpoint-start-ms'
_ATTEMPT = b'relay-attempt'
_RUNS_ONCE = b'relay-runs-once'
_NOT_SENT = b'relay-not-sent'

_YES = b'1'


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request that another node is asked to pass on.

    :ivar start_ms: start of the endpoint's incarnation, as Unix time
    :ivar attempt_id: the attempt that the endpoint's answer has to name
    :ivar runs_once: whether it may run at most once, so that a connection is
        used only if it is known to work
    :ivar content: the encoded request for the endpoint
    """

    endpoint: ids.EndpointId
    start_ms: int
    attempt_id: ids.AttemptId
    runs_once: bool
    content: bytes


def encode(request: RelayRequest) -> bytes:
    """Encode *request* as an HTTP request to the node that passes it on."""
    lines = [
        b'POST %s HTTP/1.1' % TARGET,
        b'Host: relay',
        b'%s: %s' % (_ENDPOINT, request.endpoint.encode('latin-1')),
        b'%s: %d' % (_START_MS, request.start_ms),
        b'%s: %s' % (_ATTEMPT, request.attempt_id.encode('latin-1')),
        b'Content-Length: %d' % len(request.content),
    ]
    if request.runs_once:
        lines.append(b'%s: %s' % (_RUNS_ONCE, _YES))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + request.content


def decode(
    target: bytes, headers: typing.Sequence[call.Header], content: bytes
) -> RelayRequest | outcome.Failure:
    """Decode the HTTP request of another node."""
    values = {name.lower(): value for name, value in headers}
    start_ms = values.get(_START_MS, b'')
    if (
        target != TARGET
        or _ENDPOINT not in values
        or _ATTEMPT not in values
        or not start_ms.isdigit()
        or len(start_ms) > len(str(2**63))
    ):
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST, 'not a request to pass on'
        )
    return RelayRequest(
        ids.EndpointId(values[_ENDPOINT].decode('latin-1')),
        int(start_ms),
        ids.AttemptId(values[_ATTEMPT].decode('latin-1')),
        values.get(_RUNS_ONCE) == _YES,
        content,
    )


def refusal_headers(reason: str) -> list[call.Header]:
    """The headers of an answer which says that nothing was sent."""
    return [(_NOT_SENT, reason.encode('latin-1'))]


def refusal(headers: typing.Sequence[call.Header]) -> str | None:
    """Why nothing was sent; None in the answer of an endpoint."""
    for name, value in headers:
        if name.lower() == _NOT_SENT:
            return value.decode('latin-1')
    return None
