"""Requests to the platform's store, a log with topics.

Only partition 0 of a topic is used. In a keyed topic, each record has a key,
and the store keeps at least the latest record of each key.
"""

import base64
import dataclasses
import struct
import typing
import urllib.parse

import msgspec

from guavachute.domain import call
from guavachute.domain import log_position
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.wire import untrusted

_LENGTH = struct.Struct('>I')
_READ_HEAD = struct.Struct('>QQ')

TRIMMED_STATUS = 410
"""The records that were to be read are gone, or don't exist in this era."""

_ERA = b'store-era'

OWN_TOPIC = 'keyed.guavachute'
"""The topic of this system. For topics whose names start with ``keyed.``,
the store keeps the latest record of each key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to the store.

    :ivar target: path with query
    """

    method: bytes
    target: bytes
    body: bytes = b''
    content_type: bytes = call.BINARY


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    :ivar value: None if the record deletes the key
    :ivar position: its place in the topic; None if not known
    """

    key: str
    value: bytes | None
    position: ids.LogPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """A page of a topic's snapshot: the latest record of each key.

    :ivar next_key: the last key of this page, from which the next page
        continues; None on the last page
    :ivar end_offset: end of the partition when the page was created
    """

    records: list[KeyedRecord]
    next_key: str | None
    end_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Consecutive records, from the requested offset on.

    :ivar next_offset: the offset after the last of *records*
    :ivar end_offset: end of the partition
    """

    records: list[bytes]
    next_offset: ids.Offset
    end_offset: ids.Offset


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    offset: untrusted.Integer
    value: str | None = None


class _NewestPage(msgspec.Struct, frozen=True, rename='camel'):
    items: list[_NewestItem]
    has_more: bool
    end_offset: untrusted.Integer


class _Trimmed(msgspec.Struct, frozen=True, rename='camel'):
    first_offset: untrusted.Integer


_trimmed = msgspec.json.Decoder(_Trimmed)
_pages = msgspec.json.Decoder(_NewestPage)


def newest(topic: str, after_key: str | None = None) -> Request:
    """A request for a page of the latest records of *topic*.

    :param after_key: the last key of the previous page; None for the first
    """
    query: dict[str, typing.Any] = {'topic': topic, 'part': 0}
    if after_key is not None:
        query['after'] = after_key
    return Request(b'GET', _target('log-newest', query))


def read(topic: str, from_offset: ids.Offset, wait_s: float) -> Request:
    """A request for the records of *topic* from an offset on.

    :param wait_s: how long the store may wait for a first record
    """
    query: dict[str, typing.Any] = {
        'topic': topic,
        'part': 0,
        'from': from_offset,
    }
    if wait_s > 0:
        query['waitMs'] = int(wait_s * 1000)
    return Request(b'GET', _target('log-read', query))


def append(
    topic: str, records: typing.Sequence[bytes], at: ids.Offset | None
) -> Request:
    """A request to append *records*.

    :param at: append only if the topic ends at this offset; None appends
        in any case
    """
    query: dict[str, typing.Any] = {'topic': topic, 'part': 0}
    if at is not None:
        query['at'] = at
    body = b''.join(_LENGTH.pack(len(item)) + item for item in records)
    return Request(b'POST', _target('log-append', query), body)


def encode_keyed(record: KeyedRecord) -> bytes:
    """Encode *record* as the content of a record in a keyed topic."""
    key = record.key.encode()
    return bytes([len(key)]) + key + (record.value or b'')


def era_of(headers: typing.Sequence[call.Header]) -> ids.StoreEra | None:
    """The era of the store that an answer with *headers* comes from.

    None if the store doesn't tell it.
    """
    for name, value in headers:
        if name.lower() == _ERA:
            era = untrusted.number(value)
            return None if era is None else ids.StoreEra(era)
    return None


def decode_keyed(
    content: bytes, position: ids.LogPosition
) -> KeyedRecord | outcome.Failure:
    """Decode the content of the record at *position* of a keyed topic."""
    size = content[0] if content else 0
    if not content or len(content) < 1 + size:
        return _unreadable('record is shorter than its key')
    try:
        key = content[1 : 1 + size].decode()
    except UnicodeDecodeError as error:
        return _unreadable(f'key: {error}')
    return KeyedRecord(key, content[1 + size :] or None, position)


def decode_newest(body: bytes, era: ids.StoreEra) -> Newest | outcome.Failure:
    """Decode the answer to :func:`newest` of the store in *era*."""
    page = untrusted.decode(_pages.decode, body, 'newest records')
    if isinstance(page, outcome.Failure):
        return page
    records = []
    for item in page.items:
        value = _decode_value(item)
        if isinstance(value, outcome.Failure):
            journal.problem(
                'store-record', outcome='unreadable', reason=str(value)
            )
            continue
        position = log_position.pack(era, ids.Offset(item.offset))
        records.append(KeyedRecord(item.key, value, position))
    return Newest(
        records=records,
        next_key=page.items[-1].key if page.has_more and page.items else None,
        end_offset=ids.Offset(page.end_offset),
    )


def _decode_value(item: _NewestItem) -> bytes | outcome.Failure | None:
    if not item.value:
        return None
    try:
        return base64.b64decode(item.value)
    except ValueError as error:
        return _unreadable(f'value of {item.key!r}: {error}')


def decode_read(
    body: bytes, from_offset: ids.Offset
) -> Records | outcome.Failure:
    """Decode the answer to :func:`read`."""
    if len(body) < _READ_HEAD.size:
        return _unreadable(f'read: {len(body)} bytes, expected at least 16')
    end_offset, _ = _READ_HEAD.unpack_from(body)
    records = []
    position = _READ_HEAD.size
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + size > len(body):
            return _unreadable('read: the last record is truncated')
        records.append(body[position : position + size])
        position += size
    return Records(records, ids.Offset(from_offset + len(records)), end_offset)


def decode_first_offset(body: bytes) -> ids.Offset | None:
    """The first offset that is left; None if *body* doesn't tell it.

    :param body: of an answer with :data:`TRIMMED_STATUS`
    """
    trimmed = untrusted.decode(_trimmed.decode, body, 'trimmed topic')
    if isinstance(trimmed, outcome.Failure):
        return None
    return ids.Offset(trimmed.first_offset)


def _target(name: str, query: dict[str, typing.Any]) -> bytes:
    text = urllib.parse.urlencode(query)
    return f'/guavachute/{name}?{text}'.encode()


def _unreadable(detail: str) -> outcome.Failure:
    return outcome.Failure(outcome.Reason.UNREADABLE, detail)
