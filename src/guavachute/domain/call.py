"""A caller's request, whole, apart from the protocol it came by."""

import dataclasses
import typing

from guavachute.domain import configuration
from guavachute import ids

Header = tuple[bytes, bytes]
"""Name as sent, and value."""

JSON = b'application/json'
TEXT = b'text/plain; charset=utf-8'
BINARY = b'application/octet-stream'


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    :ivar id: equal for equal content
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCounts:
    """Size of a generation: the prompt, and the most it may answer."""

    prompt: int
    output: int


@dataclasses.dataclass(slots=True)
class Call:
    """What a caller asks for.

    :ivar target: path and query, as sent
    :ivar path: the path alone
    :ivar deadline_s: how long the caller waits, from its arrival; None
        if it does not say
    :ivar parts: the prompt's parts in order; the last is the request's
        or its session's own
    :ivar length_hint: the caller's guess of the answer's tokens
    :ivar last_event_id: the event after which a stream is to go on
    :ivar headers: the headers that go on to the endpoint as sent
    """

    attempt_id: ids.AttemptId
    method: str
    target: bytes
    path: str
    host: str
    key: configuration.ApiKey | None
    deadline_s: float | None
    tokens: TokenCounts | None
    parts: tuple[PromptPart, ...]
    model: str | None
    length_hint: int | None
    last_event_id: bytes | None
    headers: typing.Sequence[Header]
    body: bytes = b''

    @property
    def total_tokens(self) -> int:
        """Prompt and answer together; 0 if the caller does not say."""
        if self.tokens is None:
            return 0
        return self.tokens.prompt + self.tokens.output


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What the system adds when it sends a call to an endpoint.

    :ivar deadline_s: what is left of the caller's time
    :ivar urgency: 0 (first) to 9; None leaves it to the endpoint
    :ivar resume_after: the event after which a stream is to go on
    :ivar origin: the copy of KV cache that the run is to go on from
    """

    endpoint: ids.EndpointId
    address: ids.Address
    workspace: ids.WorkspaceName | None
    deadline_s: float
    urgency: int | None
    resume_after: bytes | None
    origin: str | None = None
