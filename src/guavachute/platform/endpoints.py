"""Decodes the entries of endpoints in the store, and engines' reports."""

import typing

import msgspec

from guavachute.domain import endpoints
from guavachute import ids
from guavachute import outcome

TOPIC = 'keyed.servers'

REPORT_TARGET = b'/guavachute/report'


class _Entry(msgspec.Struct, frozen=True, rename='camel'):
    service: str
    address: typing.Annotated[
        str, msgspec.Meta(pattern=r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$')
    ]
    zone: str
    state: typing.Literal['ready', 'draining']
    slots: typing.Annotated[int, msgspec.Meta(ge=1)]
    # "sequence" counts the endpoint's writes; entries of other writers
    # lack it.
    sequence: int
    # "born" is the start of this incarnation, Unix time in milliseconds.
    born: int = 0
    # "version" is the version of the endpoint's software. Entries of other
    # writers may hold anything.
    version: typing.Any = None
    spot: bool = False
    leaves_ms: float | None = msgspec.field(default=None, name='leaves_ms')


class _Report(msgspec.Struct, frozen=True, rename='camel'):
    active: int
    queued: int
    # Both memory fields are in tokens; "kvUsed" can't be evicted.
    kv_used: float = 0
    kv_total: float = 0
    state: str | None = None
    leaves_ms: float | None = msgspec.field(default=None, name='leaves_ms')
    # "born" as in the entry.
    born: int = 0


_STATES = {state.value: state for state in endpoints.EndpointState}

_entries = msgspec.json.Decoder(_Entry)
_reports = msgspec.json.Decoder(_Report, strict=False)


def decode(key: str, value: bytes) -> endpoints.Endpoint | outcome.Failure:
    """Decode the entry *value* under *key*, which is the endpoint's id."""
    try:
        entry = _entries.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return outcome.Failure(
            outcome.Reason.BAD_REQUEST, f'endpoint {key!r}: {error}'
        )
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
        build=ids.BuildName(str(entry.version))
        if isinstance(entry.version, str | int | float)
        else ids.BuildName(''),
    )


def decode_report(
    body: bytes,
) -> endpoints.EngineReport | outcome.Failure:
    """Decode an engine's report of its load."""
    try:
        report = _reports.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return outcome.Failure(outcome.Reason.BAD_REQUEST, f'report: {error}')
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
