"""Moves answers away from endpoints that leave, with their KV cache."""

import functools
import time
import typing

import msgspec

from guavachute import ids
from guavachute.observe import counters
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import endpoints
from guavachute.services.relay import exchange
from guavachute.services.relay import moves
from guavachute.services.relay import upstream

EXPORT_TIMEOUT_S = 5.0


class KvExport(msgspec.Struct):
    """Asks an engine to export the KV cache of an attempt."""

    attempt_id: str
    to: str


class KvExported(msgspec.Struct):
    """The engine's answer."""

    kv_handle: str


class Mover:
    """Carries out what :class:`moves.MovePlanner` decides.

    :param resume_elsewhere: called with a stream that is to start at another
        endpoint, and the time
    """

    def __init__(
        self,
        planner: moves.MovePlanner,
        router_endpoints: endpoints.Endpoints,
        exchanges: exchange.Exchanges,
        count: counters.Counters,
        resume_elsewhere: typing.Callable[[relay_call.Stream, float], None],
    ) -> None:
        self._planner = planner
        self._endpoints = router_endpoints
        self._exchanges = exchanges
        self._count = count
        self._resume_elsewhere = resume_elsewhere

    def sweep(
        self, streams: typing.Collection[relay_call.Stream], now_s: float
    ) -> None:
        """Begin the moves that are due."""
        for move in self._planner.due(streams, now_s):
            stream = move.stream
            if stream.moving:
                continue
            if move.target is None or stream.work is None:
                self._move(stream, now_s)
            else:
                self._export(stream, move.target, now_s)

    def _export(
        self, stream: relay_call.Stream, target: ids.EndpointId, now_s: float
    ) -> None:
        entry = self._endpoints.entry(target)
        assert entry is not None and stream.endpoint is not None
        assert stream.work is not None
        stream.moving = True
        body = KvExport(stream.work.attempt_id, entry.address)
        self._exchanges.send_request(
            'POST',
            stream.endpoint.address,
            '/v1/kv/export',
            msgspec.json.encode(body),
            EXPORT_TIMEOUT_S,
            functools.partial(
                self._handle_export, stream, stream.connection, target
            ),
            now_s,
        )

    def _handle_export(
        self,
        stream: relay_call.Stream,
        connection: upstream.Connection | None,
        target: ids.EndpointId,
        response: exchange.Answer,
    ) -> None:
        if stream.connection is not connection or stream.ended:
            return
        try:
            exported = msgspec.json.decode(response.body, type=KvExported)
        except (msgspec.ValidationError, msgspec.DecodeError):
            self._count.add('moves.export_failed')
        else:
            stream.kv_handle = exported.kv_handle
            stream.target = target
            self._count.add('moves.exported')
        self._move(stream, time.monotonic())

    def _move(self, stream: relay_call.Stream, now_s: float) -> None:
        self._count.add('moves.started')
        self._resume_elsewhere(stream, now_s)
