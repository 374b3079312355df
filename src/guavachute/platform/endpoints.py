"""Decodes the entries of endpoints in the store, and engines' reports."""

import re
import typing

import msgspec

from guavachute.domain import endpoints
from guavachute.domain import net_address
from guavachute import ids
from guavachute import outcome
from guavachute.wire import untrusted

TOPIC = 'keyed.servers'

REPORT_TARGET = b'/guavachute/report'


class _Entry(msgspec.Struct, frozen=True, rename='camel'):
    service: untrusted.Token
    address: typing.Annotated[
        str, msgspec.Meta(pattern=net_address.CONNECTABLE)
    ]
    zone: untrusted.Token
    state: typing.Literal['ready', 'draining']
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=untrusted.MAX_COUNT)]
    # "sequence" counts the endpoint's writes; entries of other writers
    # lack it.
    sequence: untrusted.Integer
    # "born" is the start of this incarnation, Unix time in milliseconds.
    born: untrusted.Integer = 0
    # "version" is the version of the endpoint's software. Entries of other
    # writers may hold anything.
    version: typing.Any = None
    spot: bool = False
    leaves_ms: untrusted.Quantity | None = msgspec.field(
        default=None, name='leaves_ms'
    )


class _Report(msgspec.Struct, frozen=True, rename='camel'):
    active: untrusted.Count
    queued: untrusted.Count
    # Both memory fields are in tokens; "kvUsed" can't be evicted.
    kv_used: untrusted.Quantity = 0
    kv_total: untrusted.Quantity = 0
    state: str | None = None
    leaves_ms: untrusted.Quantity | None = msgspec.field(
        default=None, name='leaves_ms'
    )
    # "born" as in the entry.
    born: untrusted.Integer = 0


_STATES = {state.value: state for state in endpoints.EndpointState}

_ids = re.compile(untrusted.TOKEN_PATTERN)

_entries = msgspec.json.Decoder(_Entry)
_reports = msgspec.json.Decoder(_Report, strict=False)


def decode(key: str, value: bytes) -> endpoints.Endpoint | outcome.Failure:
    """Decode the entry *value* under *key*, which is the endpoint's id."""
    # An id that fits into no header can't be sent to the endpoint.
    if not _ids.fullmatch(key):
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST, f'endpoint {key!r}: the id is no token'
        )
    entry = untrusted.decode(_entries.decode, value, f'endpoint {key!r}')
    if isinstance(entry, outcome.Failure):
        return entry
    return endpoints.Endpoint(
        id=ids.EndpointId(key),
        service=ids.ServiceName(entry.service),
        address=ids.Address(entry.address),
        domain=ids.FailureDomain(entry.zone),
        slots=entry.slots,
        state=endpoints.EndpointState(entry.state),
        start_ms=entry.born,
        is_reclaimable=entry.spot,
        leaves_in_s=_seconds(entry.leaves_ms),
        writes=entry.sequence,
        build=build(entry.version),
    )


def decode_report(
    body: bytes,
) -> endpoints.EngineReport | outcome.Failure:
    """Decode an engine's report of its load."""
    report = untrusted.decode(_reports.decode, body, 'report')
    if isinstance(report, outcome.Failure):
        return report
    return endpoints.EngineReport(
        running=report.active,
        waiting=report.queued,
        memory_used_tokens=int(report.kv_used),
        memory_total_tokens=int(report.kv_total),
        state=_STATES.get(report.state or ''),
        leaves_in_s=_seconds(report.leaves_ms),
        start_ms=report.born,
    )


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def build(version: typing.Any) -> ids.BuildName:
    """The build that a version names; empty if it names none."""
    if isinstance(version, bool) or not isinstance(version, str | int | float):
        return ids.BuildName('')
    if isinstance(version, int) and abs(version) > untrusted.MAX_INTEGER:
        return ids.BuildName('')
    name = str(version)
    if len(name) > untrusted.MAX_NAME_CHARACTERS:
        return ids.BuildName('')
    return ids.BuildName(name)
