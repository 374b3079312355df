"""Moves of a running request's KV cache from one engine to another."""

import dataclasses

import msgspec

from guavachute import ids
from guavachute import outcome

TARGET = b'/guavachute/kv-move'


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """A copy that the request can go on from.

    :ivar handle: names the copy at both engines; can be used once
    :ivar events: how many events the source had made
    """

    handle: str
    events: int


class _Move(msgspec.Struct, frozen=True):
    id: str
    target: str
    # With "last" the source stops before the rest is copied.
    last: bool


class _Answer(msgspec.Struct, frozen=True):
    handle: str
    # "created" counts the events that the source has made.
    created: int = 0


def encode(attempt_id: ids.AttemptId, target: ids.Address) -> bytes:
    """Stop the run *attempt_id* and copy its memory to *target*."""
    return msgspec.json.encode(_Move(attempt_id, target, True))


def decode(body: bytes) -> Moved | outcome.Failure:
    """The copy, or what remained at the source."""
    try:
        answer = msgspec.json.decode(body, type=_Answer)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, f'move: {error}')
    return Moved(answer.handle, answer.created)


def origin(source: ids.Address, moved: Moved) -> str:
    """Names the copy to the engine that is to go on from it."""
    return f'{source}/{moved.handle}'
