"""Checks of what callers send.

Each failure names the field or header and quotes its value.
"""

import dataclasses
import typing

import msgspec

from guavachute.decide.requests import answer
from guavachute.decide.requests import prefix
from guavachute import ids
from guavachute import outcome

DEFAULT_DEADLINE_S = 600.0
MAX_DEADLINE_S = 3600.0
DEFAULT_PRIORITY = 1
LAST_PRIORITY = 2
MAX_SHOWN_CHARACTERS = 60


class Message(msgspec.Struct):
    """A chat message; other fields are ignored."""

    role: str
    content: typing.Any = None


class ModelRequest(msgspec.Struct):
    """The fields of a model request that the router reads.

    The engine gets the caller's body with all its fields.
    """

    model: str
    prompt: typing.Any = None
    messages: list[Message] | None = None
    stream: bool = False
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    n: int | None = None
    resume_text: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """The deadline and the priority of a request.

    :ivar deadline_s: by the clock of the *now_s* that was given
    :ivar priority: 0 is served first
    """

    deadline_s: float
    priority: int


def check_request(
    body: dict[str, typing.Any], chat: bool
) -> ModelRequest | outcome.Failure:
    """The fields of a model request, or why it is invalid.

    :param chat: whether *body* must have ``messages``; else ``prompt``
    """
    try:
        request = msgspec.convert(body, ModelRequest)
    except msgspec.ValidationError as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, str(error))
    if chat and not request.messages:
        return _invalid_field(
            'messages', request.messages, 'a list of messages'
        )
    if not chat and not isinstance(request.prompt, str):
        return _invalid_field('prompt', request.prompt, 'a string')
    if request.n not in (None, 1):
        return _invalid_field(
            'n', request.n, '1; send another request for another answer'
        )
    return request


def _invalid_field(
    name: str, value: typing.Any, expected: str
) -> outcome.Failure:
    shown = repr(value)[:MAX_SHOWN_CHARACTERS]
    return outcome.Failure(
        outcome.Reason.BAD_REQUEST, f'{name}: got {shown}, expected {expected}'
    )


def parse_timing(
    headers: typing.Mapping[str, str], now_s: float
) -> Timing | outcome.Failure:
    """Parse ``X-Deadline-S`` and ``X-Priority``; they have defaults."""
    deadline = headers.get('x-deadline-s', str(DEFAULT_DEADLINE_S))
    priority = headers.get('x-priority', str(DEFAULT_PRIORITY))
    try:
        remaining_s = float(deadline)
    except ValueError:
        remaining_s = 0.0
    if not 0 < remaining_s <= MAX_DEADLINE_S:
        return _invalid_field(
            'X-Deadline-S', deadline, f'seconds, up to {MAX_DEADLINE_S:g}'
        )
    if priority not in ('0', '1', '2'):
        return _invalid_field(
            'X-Priority', priority, f'0 (first) to {LAST_PRIORITY}'
        )
    return Timing(now_s + remaining_s, int(priority))


def parse_resume(
    headers: typing.Mapping[str, str],
) -> tuple[ids.RequestId, int] | None | outcome.Failure:
    """The request and last token of ``Last-Event-ID``; None without one."""
    text = headers.get('last-event-id')
    if text is None:
        return None
    parsed = answer.parse_event_id(text)
    if parsed is None:
        return _invalid_field(
            'Last-Event-ID', text, 'the ID of an event of an earlier answer'
        )
    return parsed


def prompt_text(request: ModelRequest) -> str:
    """The prompt as one text, to count tokens and for prefix affinity."""
    if request.messages is None:
        return str(request.prompt)
    return prefix.chat_text(
        (one.role, _content_text(one.content)) for one in request.messages
    )


def _content_text(content: typing.Any) -> str:
    if isinstance(content, list):
        return ''.join(
            str(part.get('text', '')) if isinstance(part, dict) else str(part)
            for part in content
        )
    return '' if content is None else str(content)
