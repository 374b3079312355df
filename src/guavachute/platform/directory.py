"""Readiness checks of the platform, and address queries of callers."""

import dataclasses
import typing

import msgspec

from guavachute import ids

READINESS_PATH = '/guavachute/readyz'
DIRECTORY_PATH = '/guavachute/resolve'

MAX_ADDRESSES = 64
"""Callers use at most this many addresses of an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLocation:
    """The location of a caller that queries addresses; may be empty."""

    domain: ids.FailureDomain
    region: ids.Region


class _Answer(msgspec.Struct, frozen=True, rename='camel'):
    addresses: list[str]
    ttl_s: float = msgspec.field(name='ttlS')


def read_query(query: typing.Mapping[str, str]) -> CallerLocation:
    """The caller's location; fields that it doesn't give are empty."""
    return CallerLocation(
        domain=ids.FailureDomain(query.get('zone', '')),
        region=ids.Region(query.get('region', '')),
    )


def encode(addresses: typing.Sequence[ids.Address], ttl_s: float) -> bytes:
    """Encode the answer: addresses, and how long to use them."""
    return msgspec.json.encode(_Answer(list(addresses[:MAX_ADDRESSES]), ttl_s))
