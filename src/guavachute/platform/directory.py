"""The calls that the platform and callers make before a request."""

import dataclasses
import typing

import msgspec

from guavachute import ids

READINESS_PATH = '/guavachute/readyz'
DIRECTORY_PATH = '/guavachute/resolve'

MAX_ADDRESSES = 64
"""Callers take no more addresses from one answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLocation:
    """Where the caller that asks for addresses is."""

    domain: ids.FailureDomain
    region: ids.Region


class _Answer(msgspec.Struct, frozen=True, rename='camel'):
    addresses: list[str]
    ttl_s: float = msgspec.field(name='ttlS')


def read_query(query: typing.Mapping[str, str]) -> CallerLocation:
    """Who asks; a caller that does not say is nowhere in particular."""
    return CallerLocation(
        domain=ids.FailureDomain(query.get('zone', '')),
        region=ids.Region(query.get('region', '')),
    )


def encode(addresses: typing.Sequence[ids.Address], ttl_s: float) -> bytes:
    """Which addresses to use, and for how long."""
    return msgspec.json.encode(_Answer(list(addresses[:MAX_ADDRESSES]), ttl_s))
