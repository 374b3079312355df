"""Messages that move a request's KV cache from one engine to another."""

import dataclasses

import msgspec

from guavachute import ids
from guavachute import outcome
from guavachute.wire import untrusted

TARGET = b'/guavachute/kv-move'


@dataclasses.dataclass(frozen=True, slots=True)
class CacheCopy:
    """A copy of the KV cache from which a request can resume.

    :ivar handle: identifies the copy at both engines; can be used once
    :ivar events: number of events that the source had generated
    """

    handle: str
    events: int


class _Move(msgspec.Struct, frozen=True):
    id: str
    target: str
    # "last" makes the source stop the run before it copies the remainder.
    last: bool


class _Answer(msgspec.Struct, frozen=True):
    handle: untrusted.Token
    # "created" is the number of events that the source has generated.
    created: untrusted.Count = 0


_answers = msgspec.json.Decoder(_Answer)


def encode(attempt_id: ids.AttemptId, target: ids.Address) -> bytes:
    """Encode the command to stop a run and copy its KV cache to *target*."""
    return msgspec.json.encode(_Move(attempt_id, target, True))


def decode(body: bytes) -> CacheCopy | outcome.Failure:
    """Decode the source engine's answer to a move."""
    answer = untrusted.decode(_answers.decode, body, 'move')
    if isinstance(answer, outcome.Failure):
        return answer
    return CacheCopy(answer.handle, answer.created)


def origin(source: ids.Address, moved: CacheCopy) -> str:
    """The header value that names the copy to the engine that resumes."""
    return f'{source}/{moved.handle}'
