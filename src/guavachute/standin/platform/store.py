"""A stand-in for the platform's store: a log with topics and keys."""

import base64
import copy
import dataclasses
import enum
import struct
import typing
import urllib.parse

import msgspec

from guavachute.domain import call
from guavachute.entry import loop as entry_loop
from guavachute.standin.platform import server

OPERATOR_TOPIC = 'keyed.op'
ENDPOINTS_TOPIC = 'keyed.servers'
PAGE_ITEMS = 500


class Fault(enum.Enum):
    """The store's current fault."""

    NONE = 'none'
    BUSY = 'busy'
    """Every call gets 503 and has no effect."""
    SILENT = 'silent'
    """No call gets a response or has an effect."""
    LOST_ANSWERS = 'lost-answers'
    """Writes take effect, but their connections close without a response."""


@dataclasses.dataclass(slots=True)
class _Topic:
    records: list[bytes] = dataclasses.field(default_factory=list)
    first_offset: int = 0
    newest: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)


class Store:
    """The store, with its topics in memory; each topic has one partition.

    :ivar fault: what is wrong with the store
    :ivar page_items: the most items in one page of newest values
    :ivar calls: path and query of each call, oldest first
    :ivar era: how often the store has come back from a copy, from 1
    """

    def __init__(self, loop: entry_loop.Loop) -> None:
        self._loop = loop
        self._topics: dict[str, _Topic] = {}
        self._waiting: list[tuple[server.Answer, str, int]] = []
        self._server = server.Server(loop, self._serve)
        self.address = self._server.address
        self.fault = Fault.NONE
        self.page_items = PAGE_ITEMS
        self.calls: list[str] = []
        self.era = 1
        self._copy: dict[str, _Topic] = {}

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Write a record directly and return its offset.

        A value of None deletes the key.
        """
        content = bytes([len(key)]) + key.encode() + (value or b'')
        offset = self._append(topic, [content])
        self._wake(topic)
        return offset

    def newest(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of *key*; None if there is none."""
        found = self._topic(topic).newest.get(key)
        return None if found is None else found[1]

    def drop_history(self, topic: str) -> None:
        """Drop all records of *topic*; the newest values stay readable."""
        found = self._topic(topic)
        found.first_offset = found.end_offset
        found.records.clear()

    def make_copy(self) -> None:
        """Keep a copy of all topics, for :meth:`restore_copy`."""
        self._copy = copy.deepcopy(self._topics)

    def restore_copy(self) -> None:
        """Come back from the latest copy, in a new era.

        Without a copy, all records are lost. Open calls get no response.
        """
        self._topics = copy.deepcopy(self._copy)
        self.era += 1
        self._waiting.clear()
        self._server.abort_connections()

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _append(self, name: str, contents: typing.Sequence[bytes]) -> int:
        topic = self._topic(name)
        first = topic.end_offset
        for content in contents:
            offset = topic.end_offset
            topic.records.append(content)
            if name.startswith('keyed.'):
                size = content[0]
                key = content[1 : 1 + size].decode()
                value = content[1 + size :]
                if value:
                    topic.newest[key] = (offset, value)
                else:
                    topic.newest.pop(key, None)
        return first

    def _serve(self, answer: server.Answer) -> None:
        target = answer.request.target.decode()
        self.calls.append(target)
        if self.fault is Fault.BUSY:
            self._reply(answer, 503)
            return
        if self.fault is Fault.SILENT:
            return
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        name = path.rpartition('/')[2]
        if name == 'log-append':
            self._serve_append(answer, query)
        elif name == 'log-newest':
            self._serve_newest(answer, query)
        elif name == 'log-read':
            self._serve_read(answer, query)
        else:
            self._reply(answer, 404)

    def _serve_append(
        self, answer: server.Answer, query: dict[str, str]
    ) -> None:
        name = query['topic']
        if name in (OPERATOR_TOPIC, ENDPOINTS_TOPIC):
            self._reply(answer, 403)
            return
        topic = self._topic(name)
        if 'at' in query and int(query['at']) != topic.end_offset:
            self._reply_json(answer, {'endOffset': topic.end_offset}, 412)
            return
        offset = self._append(name, _split(answer.request.body))
        if self.fault is Fault.LOST_ANSWERS:
            answer.abort()
        else:
            self._reply_json(
                answer, {'offset': offset, 'endOffset': topic.end_offset}
            )
        self._wake(name)

    def _serve_newest(
        self, answer: server.Answer, query: dict[str, str]
    ) -> None:
        topic = self._topic(query['topic'])
        after = query.get('after', '')
        keys = [key for key in sorted(topic.newest) if key > after]
        page = keys[: self.page_items]
        self._reply_json(
            answer,
            {
                'items': [
                    {
                        'key': key,
                        'value': base64.b64encode(
                            topic.newest[key][1]
                        ).decode(),
                        'offset': topic.newest[key][0],
                    }
                    for key in page
                ],
                'hasMore': len(page) < len(keys),
                'endOffset': topic.end_offset,
            },
        )

    def _serve_read(
        self, answer: server.Answer, query: dict[str, str]
    ) -> None:
        name, offset = query['topic'], int(query['from'])
        topic = self._topic(name)
        if not topic.first_offset <= offset <= topic.end_offset:
            self._reply_json(answer, {'firstOffset': topic.first_offset}, 410)
            return
        wait_ms = int(query.get('waitMs', '0'))
        if offset >= topic.end_offset and wait_ms:
            entry = (answer, name, offset)
            self._waiting.append(entry)
            self._loop.call_after(
                wait_ms / 1000, lambda: self._end_wait(entry)
            )
            return
        self._reply_records(answer, topic, offset)

    def _wake(self, name: str) -> None:
        for entry in [item for item in self._waiting if item[1] == name]:
            self._end_wait(entry)

    def _end_wait(self, entry: tuple[server.Answer, str, int]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            answer, name, offset = entry
            self._reply_records(answer, self._topic(name), offset)

    def _reply_records(
        self, answer: server.Answer, topic: _Topic, offset: int
    ) -> None:
        found = topic.records[offset - topic.first_offset :]
        body = struct.pack('>QQ', topic.end_offset, topic.first_offset)
        body += b''.join(struct.pack('>I', len(item)) + item for item in found)
        self._reply(answer, 200, body)

    def _reply_json(
        self, answer: server.Answer, value: typing.Any, status: int = 200
    ) -> None:
        self._reply(answer, status, msgspec.json.encode(value), call.JSON)

    def _reply(
        self,
        answer: server.Answer,
        status: int,
        body: bytes = b'',
        content_type: bytes = call.BINARY,
    ) -> None:
        headers = [
            (b'Content-Type', content_type),
            (b'Store-Era', b'%d' % self.era),
        ]
        answer.reply(status, body, headers)


def _split(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from('>I', body, position)
        contents.append(body[position + 4 : position + 4 + size])
        position += 4 + size
    return contents
