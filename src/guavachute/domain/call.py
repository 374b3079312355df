"""A caller's request, independent of the protocol."""

import dataclasses
import typing

import xxhash

from guavachute.domain import configuration
from guavachute import ids

Header = tuple[bytes, bytes]
"""Name as sent, and value."""

JSON = b'application/json'
TEXT = b'text/plain; charset=utf-8'
BINARY = b'application/octet-stream'


MAX_PART_ID_BYTES = 200
"""In UTF-8; a key of the store has room for these and a prefix."""


def part_id(name: str) -> str:
    """The id of a part that callers or other nodes call *name*.

    A long name becomes a hash, as ids are part of keys and of each update.
    """
    content = name.encode('utf-8', 'surrogatepass')
    if len(content) <= MAX_PART_ID_BYTES:
        return name
    return f'hash-{xxhash.xxh3_128_hexdigest(content)}'


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which several requests may share.

    :ivar id: equal for equal content; see :func:`part_id`
    :ivar tokens: its length
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCounts:
    """Size of a generation.

    :ivar prompt: tokens of the prompt
    :ivar output: largest number of tokens to generate
    """

    prompt: int
    output: int


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request.

    :ivar target: path and query, as sent
    :ivar path: the path alone
    :ivar host: from the Host header, in lower case and without a port
    :ivar deadline_s: how long the caller waits, from the arrival of the
        request; None if not given
    :ivar tokens: None if not given
    :ivar parts: the prompt's parts in order; the last is specific to the
        request or its session
    :ivar length_hint: the caller's estimate of the answer's tokens
    :ivar last_event_id: the event after which a stream resumes
    :ivar begun_as: with it, the caller's earlier attempt that brought the
        stream's first event; None if not given
    :ivar headers: the headers that are forwarded to the endpoint
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
    begun_as: ids.AttemptId | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the parts that other requests may have too."""
        return tuple(part.id for part in self.parts[:-1])

    @property
    def total_tokens(self) -> int:
        """Tokens of prompt and answer together; 0 if not given."""
        if self.tokens is None:
            return 0
        return self.tokens.prompt + self.tokens.output


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What this system adds to a call that it sends to an endpoint.

    :ivar deadline_s: remaining time until the caller's deadline
    :ivar urgency: 0 (most urgent) to 9; None leaves it to the endpoint
    :ivar resume_after: the event after which a stream resumes
    :ivar origin: the copy of the KV cache from which the run resumes
    """

    endpoint: ids.EndpointId
    address: ids.Address
    workspace: ids.WorkspaceName | None
    deadline_s: float
    urgency: int | None
    resume_after: bytes | None
    origin: str | None = None
