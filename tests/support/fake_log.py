"""A log service for tests, in this process, with faults by the call."""

import contextlib
import http
import re
import socket
import threading
import typing

import msgspec

from guavachute.http import message
from guavachute.http import server
from guavachute.kernel import kernel

_PATH = re.compile(r'/v1/streams/([^/]+)/records')
LOST = 'lost'
"""Take the append and give no answer."""
DOUBLED = 'doubled'
"""Take the append twice."""
DOWN = 'down'
"""Refuse the append."""


class _Body(msgspec.Struct):
    records: list[typing.Any]


class FakeLog:
    """Streams kept in memory.

    :ivar faults: consumed one by each append
    :ivar down: refuses everything while set
    :ivar first_retained: lower offsets are gone
    """

    def __init__(self) -> None:
        self.streams: dict[str, list[typing.Any]] = {}
        self.faults: list[str] = []
        self.down = False
        self.first_retained = 0
        self._stopped = False
        self._changed = threading.Condition()
        self.server = server.Server(
            'fake-log', '127.0.0.1', 0, self._handle, threads=8
        )

    @property
    def address(self) -> str:
        """``IP:PORT``."""
        return self.server.address

    @contextlib.contextmanager
    def running(self) -> typing.Iterator[None]:
        """Serve until the end of the block."""
        self.server.start()
        try:
            yield
        finally:
            with self._changed:
                self._stopped = True
                self._changed.notify_all()
            self.server.request_stop()
            self.server.join(kernel.STOP_TIMEOUT_S)

    def append(self, stream: str, *records: msgspec.Struct) -> None:
        """Append without HTTP."""
        with self._changed:
            self.streams.setdefault(stream, []).extend(
                msgspec.to_builtins(record) for record in records
            )
            self._changed.notify_all()

    def _handle(
        self, request: message.Request, exchange: server.Exchange
    ) -> message.Response | message.Detach:
        matched = _PATH.fullmatch(request.path)
        assert matched is not None, request.path
        if self.down:
            return message.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
        if request.method == 'GET':
            return self._read(matched[1], request.query)
        return self._append(matched[1], request.body, exchange)

    def _append(
        self, stream: str, body: bytes, exchange: server.Exchange
    ) -> message.Response | message.Detach:
        fault = self.faults.pop(0) if self.faults else None
        if fault == DOWN:
            return message.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
        records = msgspec.json.decode(body, type=_Body).records
        with self._changed:
            kept = self.streams.setdefault(stream, [])
            for _ in range(2 if fault == DOUBLED else 1):
                kept.extend(records)
            end = len(kept)
            self._changed.notify_all()
        if fault == LOST:
            exchange.take().socket.shutdown(socket.SHUT_RDWR)
            return message.DETACH
        return message.json_response(
            {'first_offset': end - len(records), 'next_offset': end}
        )

    def _read(self, stream: str, query: dict[str, str]) -> message.Response:
        start = int(query['from'])
        limit = int(query['limit'])
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._stopped or len(self.streams.get(stream, [])) > start
                ),
                float(query['wait_s']),
            )
            kept = self.streams.get(stream, [])
            first = min(self.first_retained, len(kept))
            edges = {'first_retained_offset': first, 'next_offset': len(kept)}
            if start < first:
                return message.json_response(edges, http.HTTPStatus.GONE)
            entries = [
                {'offset': offset, 'record': record}
                for offset, record in enumerate(kept[start:], start)
            ]
        return message.json_response(edges | {'records': entries[:limit]})
