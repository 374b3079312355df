"""Decodes the operator's requests for roll-outs, and encodes their status."""

import typing

import msgspec
import xxhash

from guavachute.domain import log_position
from guavachute.domain import rollouts
from guavachute import ids
from guavachute import outcome
from guavachute.platform import endpoints
from guavachute.platform import store
from guavachute.wire import untrusted

KEY_PREFIX = 'rollout/'
"""Of the keys of requests and of their status, before the service's name."""

STATUS_TOPIC = 'keyed.status'

MAX_DURATION_S = 7 * 86_400

MAX_KEY_BYTES = 255
"""A record holds the length of its key in one byte."""

Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=untrusted.MAX_NAME_CHARACTERS)
]


class _Request(msgspec.Struct, frozen=True, rename='camel'):
    service: Name
    target: Name | int | float
    duration_s: typing.Annotated[
        float, msgspec.Meta(gt=0, le=MAX_DURATION_S)
    ] = msgspec.field(name='durationS')


class _Status(msgspec.Struct, frozen=True):
    state: str
    target: str


_requests = msgspec.json.Decoder(_Request)
_statuses = msgspec.json.Decoder(_Status)


def decode_request(
    record: store.KeyedRecord,
) -> rollouts.Request | outcome.Failure:
    """Decode the request in a record of the operator's topic."""
    assert record.value is not None and record.position is not None
    fields = untrusted.decode(
        _requests.decode, record.value, f'request {record.key!r}'
    )
    if isinstance(fields, outcome.Failure):
        return fields
    is_own = KEY_PREFIX + fields.service == record.key
    if not is_own or len(record.key.encode()) > MAX_KEY_BYTES:
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST,
            f'request {record.key!r}: it names service {fields.service!r}',
        )
    target = endpoints.build(fields.target)
    if not target:
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST,
            f'request {record.key!r}: {fields.target!r} is no version',
        )
    offset = log_position.unpack(record.position).offset
    digest = xxhash.xxh3_64_hexdigest(record.value)
    return rollouts.Request(
        id=f'{offset}-{digest}',
        position=record.position,
        service=ids.ServiceName(fields.service),
        target=target,
        duration_s=fields.duration_s,
    )


def encode_status(status: rollouts.Status, target: ids.BuildName) -> bytes:
    """Encode the status of the roll-out of *target*."""
    return msgspec.json.encode(_Status(status.value, target))


def decode_status(
    value: bytes,
) -> tuple[str, ids.BuildName] | outcome.Failure:
    """Decode a status: its state and the version that it names."""
    fields = untrusted.decode(_statuses.decode, value, 'roll-out status')
    if isinstance(fields, outcome.Failure):
        return fields
    return fields.state, ids.BuildName(fields.target)
