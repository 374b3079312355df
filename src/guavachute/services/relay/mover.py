"""Moves streams off leaving endpoints, with their KV cache."""

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
    """The body of ``POST /v1/kv/export``.

    :ivar attempt_id: whose KV cache the engine exports
    :ivar to: address of the endpoint that gets it
    """

    attempt_id: str
    to: str


class KvExported(msgspec.Struct):
    """The engine's answer to an export.

    :ivar kv_handle: names the KV cache at the other endpoint
    """

    kv_handle: str


class Mover:
    """Executes the moves that :class:`moves.MovePlanner` plans.

    A stream whose export fails moves without its KV cache.

    :param resume_elsewhere: called with a stream to resume at another
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
        """Start the moves that are due now."""
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
