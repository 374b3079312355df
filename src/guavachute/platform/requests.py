"""Headers of requests and answers.

A caller's request is decoded into a :class:`call.Call`, which is encoded
with a :class:`call.Dispatch` into the request for an endpoint. The head
of the endpoint's answer is decoded into an :class:`AnswerHead`.
"""

import dataclasses
import math
import typing

from guavachute.domain import call
from guavachute.domain import configuration
from guavachute import ids
from guavachute import outcome
from guavachute.wire import header_text
from guavachute.wire import untrusted

ATTEMPT_ID = b'attempt-id'
PROMPT_PARTS = b'prefix-hash'

PART_BYTES = 176
"""What a part of a prompt costs beyond its text: a string, a number, their
pair, and places in the collections of those who look for it."""

_KEY_SCHEME = b'token '

# Hop-by-hop headers, which concern one connection only.
_HOP_BY_HOP = frozenset({
    b'connection', b'keep-alive', b'proxy-authenticate',
    b'proxy-authorization', b'proxy-connection', b'te', b'trailer',
    b'transfer-encoding', b'upgrade', b'content-length', b'host', b'expect',
})  # fmt: skip

# Not forwarded from callers: the system sets these headers itself, or they
# contain the caller's secret.
_SET_BY_SYSTEM = frozenset({
    b'authorization', b'deadline-ms', b'duty-holder', b'expect-instance',
    b'expect-version', b'fencing-token', b'hold', b'kv-backup', b'kv-fetch',
    b'kv-from', b'last-event-id', b'pin-ms', b'request-urgency', b'tenant',
    b'wait-ms',
})  # fmt: skip

# Forwarded even if a caller names them in its "Connection" header.
_ALWAYS_FORWARDED = frozenset({
    ATTEMPT_ID, b'model', b'token-counts', PROMPT_PARTS, b'length-hint',
})  # fmt: skip

# A request with two of the same of these headers is ambiguous.
_SINGLE_VALUED = _ALWAYS_FORWARDED | {
    b'host',
    b'authorization',
    b'deadline-ms',
}

USUAL_SLOWDOWN = 100
"""The fourth figure of the load of an endpoint at which work takes as long as
usual."""

MAX_DEADLINE_S = 3600.0
"""Longest deadline; longer ones are shortened to this."""


def read_call(
    method: str, target: bytes, headers: typing.Sequence[call.Header]
) -> call.Call | outcome.Failure:
    """Decode the head of a caller's request.

    Optional headers that can't be decoded are treated as absent. The
    body of the call is empty; it is added when it has been read.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in _SINGLE_VALUED and lower in values:
            return _bad_request(f'header {lower.decode()} is repeated')
        values[lower] = value
    host = values.get(b'host')
    if not host:
        return _bad_request('header host is missing')
    attempt = values.get(ATTEMPT_ID)
    if not attempt:
        return _bad_request('header attempt-id is missing')
    if not target.startswith(b'/'):
        return _bad_request(f'target {target[:80]!r} is not a path')
    named_by_connection = {
        item.strip().lower()
        for item in values.get(b'connection', b'').split(b',')
    } - _ALWAYS_FORWARDED
    dropped = _HOP_BY_HOP | _SET_BY_SYSTEM | named_by_connection
    return call.Call(
        attempt_id=ids.AttemptId(attempt.decode('latin-1')),
        method=method,
        target=target,
        path=target.partition(b'?')[0].decode('latin-1'),
        host=_host_name(host),
        key=_api_key(values.get(b'authorization')),
        deadline_s=_deadline_s(values.get(b'deadline-ms')),
        tokens=_token_counts(values.get(b'token-counts')),
        parts=_prompt_parts(values.get(PROMPT_PARTS)),
        model=_text(values.get(b'model')),
        length_hint=untrusted.number(values.get(b'length-hint')),
        last_event_id=values.get(b'last-event-id'),
        begun_as=_attempt(values.get(b'resumes')),
        headers=[item for item in headers if item[0].lower() not in dropped]
        + [(b'Host', host)],
    )


def decoded_bytes(headers: typing.Sequence[call.Header]) -> int:
    """What the decoded head costs in memory beyond the headers, at most."""
    return sum(
        PART_BYTES * (1 + value.count(b','))
        for name, value in headers
        if name.lower() == PROMPT_PARTS
    )


def can_name(workspace: ids.WorkspaceName) -> bool:
    """Whether a request can tell an endpoint the name of *workspace*."""
    return header_text.encode(workspace) is not None


def encode_for_endpoint(sent: call.Call, dispatch: call.Dispatch) -> bytes:
    """Encode the request for an endpoint, head and body, as HTTP/1.1.

    The workspace is one that :func:`can_name` accepts.
    """
    lines = [b'%s %s HTTP/1.1' % (sent.method.encode(), sent.target)]
    lines += [b'%s: %s' % header for header in sent.headers]
    lines.append(b'Deadline-Ms: %d' % max(1, int(dispatch.deadline_s * 1000)))
    lines.append(b'Expect-Instance: %s' % dispatch.endpoint.encode('latin-1'))
    if dispatch.workspace is not None:
        name = header_text.encode(dispatch.workspace)
        assert name is not None, 'requests of such a workspace are refused'
        lines.append(b'Tenant: %s' % name)
    if dispatch.urgency is not None:
        lines.append(b'Request-Urgency: %d' % dispatch.urgency)
    if dispatch.resume_after is not None:
        lines.append(b'Last-Event-Id: %s' % dispatch.resume_after)
    if dispatch.origin is not None:
        lines.append(b'Kv-From: %s' % dispatch.origin.encode('latin-1'))
    if sent.body or sent.method not in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
        lines.append(b'Content-Length: %d' % len(sent.body))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + sent.body


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The load that an endpoint reports of itself.

    :ivar running: requests that it runs
    :ivar waiting: requests in its queue
    :ivar slots: requests that it can run at once
    :ivar slowdown: how long work takes there now, in proportion to the usual
        time; None if not given
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an endpoint says of itself in an answer.

    :ivar is_leaving: whether it will end
    :ivar retry_after_s: with status 503, for how long it wants no request;
        None if not given, not a number if it can't be decoded
    :ivar limit_per_s: the requests per second that it accepts from all nodes
        together; None if it names no limit, not a number if it can't be
        decoded
    :ivar is_brittle: whether it falls over when it has to reject many
        requests, in the number that "Server-Brittle" names
    :ivar has_rejected: whether it had no room for the request
    """

    is_leaving: bool
    retry_after_s: float | None
    limit_per_s: float | None = None
    is_brittle: bool = False
    has_rejected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer.

    :ivar attempt_id: the attempt that it answers; None if not given
    :ivar is_signed: whether it carries the endpoint's signature
    :ivar has_not_run: whether it states that the request did not run
    :ivar is_encoded: whether the body has a content encoding
    :ivar load: None if not given or malformed
    :ivar announcement: what the endpoint says of itself
    :ivar idle_timeout_s: how long the endpoint keeps the connection open
        while it is idle; None if not given
    :ivar headers: the headers that are forwarded to the caller
    :ivar media_type: the kind of the body, in lower case; empty if not given
    """

    status: int
    attempt_id: ids.AttemptId | None
    is_signed: bool
    has_not_run: bool
    is_encoded: bool
    load: EndpointLoad | None
    announcement: Announcement
    idle_timeout_s: float | None
    headers: typing.Sequence[call.Header]
    media_type: bytes = b''

    def continues_with(self, other: 'AnswerHead') -> bool:
        """Whether the events of *other* may follow those of this answer."""
        return other.status == self.status and (
            other.media_type == self.media_type
        )


def read_answer(
    status: int, headers: typing.Sequence[call.Header]
) -> AnswerHead:
    """Decode the head of an endpoint's answer."""
    values = {name.lower(): value for name, value in headers}
    attempt = values.get(ATTEMPT_ID)
    encoding = values.get(b'content-encoding', b'identity')
    return AnswerHead(
        status=status,
        attempt_id=None
        if attempt is None
        else ids.AttemptId(attempt.decode('latin-1')),
        is_signed=b'server-stamp' in values,
        has_not_run=b'not-executed' in values or status == 421,
        is_encoded=encoding.strip().lower() != b'identity',
        load=_load(values.get(b'instance-load')),
        announcement=_announcement(status, values),
        idle_timeout_s=_idle_timeout_s(values.get(b'keep-alive')),
        headers=[
            item
            for item in headers
            if item[0].lower() not in _HOP_BY_HOP
            and item[0].lower() != b'instance-load'
        ],
        media_type=values.get(b'content-type', b'')
        .partition(b';')[0]
        .strip()
        .lower(),
    )


def read_announcement(
    status: int, headers: typing.Sequence[call.Header]
) -> Announcement:
    """Decode what an endpoint says of itself in any of its answers."""
    return _announcement(
        status, {name.lower(): value for name, value in headers}
    )


def end_to_end_headers(
    headers: typing.Sequence[call.Header],
) -> list[call.Header]:
    """The headers that don't concern just one connection."""
    return [item for item in headers if item[0].lower() not in _HOP_BY_HOP]


def own_answer_headers(
    attempt_id: ids.AttemptId | None, retry_after_s: float | None
) -> list[call.Header]:
    """The headers of an answer that this system generates itself."""
    headers: list[call.Header] = []
    if attempt_id is not None:
        headers.append((b'Attempt-Id', attempt_id.encode('latin-1')))
    if retry_after_s is not None:
        headers.append((b'Retry-After', b'%.2f' % retry_after_s))
    return headers


def attempt_id_of(
    headers: typing.Sequence[call.Header],
) -> ids.AttemptId | None:
    """The attempt that a request states; None if it states none."""
    for name, value in headers:
        if name.lower() == ATTEMPT_ID:
            return _attempt(value)
    return None


def _bad_request(detail: str) -> outcome.Failure:
    return outcome.Failure(outcome.Reason.BAD_REQUEST, detail)


def _host_name(value: bytes) -> str:
    name = value.decode('latin-1').strip().lower()
    return name.partition(':')[0]


def _api_key(value: bytes | None) -> configuration.ApiKey | None:
    if value is None or value[: len(_KEY_SCHEME)].lower() != _KEY_SCHEME:
        return None
    return configuration.ApiKey(
        value[len(_KEY_SCHEME) :].strip().decode('latin-1')
    )


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1')


def _attempt(value: bytes | None) -> ids.AttemptId | None:
    return ids.AttemptId(value.decode('latin-1')) if value else None


def _deadline_s(value: bytes | None) -> float | None:
    try:
        milliseconds = float(value) if value is not None else None
    except ValueError:
        return None
    if milliseconds is None or not 0 <= milliseconds < float('inf'):
        return None
    return min(milliseconds / 1000, MAX_DEADLINE_S)


def _token_counts(value: bytes | None) -> call.TokenCounts | None:
    prompt, _, output = (value or b'').partition(b',')
    first, second = untrusted.number(prompt), untrusted.number(output)
    if first is None or second is None:
        return None
    return call.TokenCounts(first, second)


def _prompt_parts(value: bytes | None) -> tuple[call.PromptPart, ...]:
    parts: list[call.PromptPart] = []
    for item in (value or b'').split(b','):
        name, _, count = item.strip().partition(b':')
        tokens = untrusted.number(count)
        if not name or tokens is None:
            return tuple(parts)
        parts.append(
            call.PromptPart(call.part_id(name.decode('latin-1')), tokens)
        )
    return tuple(parts)


def _load(value: bytes | None) -> EndpointLoad | None:
    """The load that an endpoint reports; None if a figure can't be used.

    Figures after the fourth are ignored.
    """
    items = (value or b'').split(b',')[:4]
    figures = [untrusted.number(item) for item in items]
    counts = [
        item
        for item in figures
        if item is not None and item <= untrusted.MAX_COUNT
    ]
    if len(counts) != len(figures) or len(counts) < 3:
        return None
    running, waiting, slots, *rest = counts
    if not rest:
        return EndpointLoad(running, waiting, slots)
    if not rest[0]:
        return None
    return EndpointLoad(running, waiting, slots, rest[0] / USUAL_SLOWDOWN)


def _announcement(
    status: int, values: typing.Mapping[bytes, bytes]
) -> Announcement:
    return Announcement(
        is_leaving=values.get(b'server-leaving', b'').strip() == b'1',
        retry_after_s=_decimal(values.get(b'retry-after'))
        if status == 503
        else None,
        limit_per_s=_decimal(values.get(b'server-limit')),
        # What is sent has to fit, whatever the number.
        is_brittle=b'server-brittle' in values,
        has_rejected=status == 503 and b'not-executed' in values,
    )


def _decimal(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value)
    except ValueError:
        return math.nan


def _idle_timeout_s(value: bytes | None) -> float | None:
    for item in (value or b'').split(b','):
        name, _, seconds = item.strip().partition(b'=')
        if name.lower() == b'timeout':
            return untrusted.number(seconds)
    return None
