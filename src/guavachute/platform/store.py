"""Calls to the platform's store, a log with topics and keys."""

import base64
import dataclasses
import struct
import typing
import urllib.parse

import msgspec

from guavachute.domain import call
from guavachute import ids
from guavachute import outcome

_LENGTH = struct.Struct('>I')
_READ_HEAD = struct.Struct('>QQ')

TRIMMED_STATUS = 410
OWN_TOPIC = 'keyed.guavachute'
"""The system's own topic. Of a topic with this beginning the store keeps
the newest record of each key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One call: a method, a target with its query, and a body."""

    method: bytes
    target: bytes
    body: bytes = b''
    content_type: bytes = call.BINARY


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a topic with keys; without a value, the key is gone.

    :ivar offset: its place in the topic; None if it is not known
    """

    key: str
    value: bytes | None
    offset: ids.Offset | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """One page of the newest record of each key.

    :ivar next_key: where the next page goes on; None after the last
    :ivar end_offset: the end of the partition when the page was made
    """

    records: list[KeyedRecord]
    next_key: str | None
    end_offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Records from the asked offset on.

    :ivar next_offset: the offset after the last of *records*
    """

    records: list[bytes]
    next_offset: ids.Offset
    end_offset: ids.Offset


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    offset: int
    value: str | None = None


class _NewestPage(msgspec.Struct, frozen=True, rename='camel'):
    items: list[_NewestItem]
    has_more: bool
    end_offset: int


_pages = msgspec.json.Decoder(_NewestPage)


def newest(topic: str, after_key: str | None = None) -> Request:
    """Ask for a page of the newest records of *topic*."""
    query: dict[str, typing.Any] = {'topic': topic, 'part': 0}
    if after_key is not None:
        query['after'] = after_key
    return Request(b'GET', _target('log-newest', query))


def read(topic: str, from_offset: ids.Offset, wait_s: float) -> Request:
    """Ask for the records of *topic* from an offset on.

    :param wait_s: how long the store may wait for the first of them
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
    """Append *records*; with *at*, only if the topic ends there."""
    query: dict[str, typing.Any] = {'topic': topic, 'part': 0}
    if at is not None:
        query['at'] = at
    body = b''.join(_LENGTH.pack(len(item)) + item for item in records)
    return Request(b'POST', _target('log-append', query), body)


def keyed(record: KeyedRecord) -> bytes:
    """*record* as the content of a record in a topic with keys."""
    key = record.key.encode()
    return bytes([len(key)]) + key + (record.value or b'')


def split_keyed(
    content: bytes, offset: ids.Offset
) -> KeyedRecord | outcome.Failure:
    """The key and value in the content of the record at *offset*."""
    size = content[0] if content else 0
    if not content or len(content) < 1 + size:
        return _unreadable('record is shorter than its key')
    try:
        key = content[1 : 1 + size].decode()
    except UnicodeDecodeError as error:
        return _unreadable(f'key: {error}')
    return KeyedRecord(key, content[1 + size :] or None, offset)


def decode_newest(body: bytes) -> Newest | outcome.Failure:
    """The answer to :func:`newest`."""
    try:
        page = _pages.decode(body)
        records = [
            KeyedRecord(
                item.key,
                base64.b64decode(item.value) if item.value else None,
                ids.Offset(item.offset),
            )
            for item in page.items
        ]
    except (msgspec.MsgspecError, ValueError) as error:
        return _unreadable(f'newest records: {error}')
    return Newest(
        records=records,
        next_key=page.items[-1].key if page.has_more and page.items else None,
        end_offset=ids.Offset(page.end_offset),
    )


def decode_read(
    body: bytes, from_offset: ids.Offset
) -> Records | outcome.Failure:
    """The answer to :func:`read`."""
    if len(body) < _READ_HEAD.size:
        return _unreadable(f'read: {len(body)} bytes, expected at least 16')
    end_offset, _ = _READ_HEAD.unpack_from(body)
    records = []
    position = _READ_HEAD.size
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + size > len(body):
            return _unreadable('read: the last record is cut')
        records.append(body[position : position + size])
        position += size
    return Records(records, ids.Offset(from_offset + len(records)), end_offset)


def _target(name: str, query: dict[str, typing.Any]) -> bytes:
    text = urllib.parse.urlencode(query)
    return f'/guavachute/{name}?{text}'.encode()


def _unreadable(detail: str) -> outcome.Failure:
    return outcome.Failure(outcome.Reason.UNREADABLE, detail)
