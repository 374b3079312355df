"""Plans moves of streams off leaving endpoints; owned by the relay task.

Calls :mod:`guavachute.decide.fleet.reclaim` every :data:`INTERVAL_S` and
executes only the moves that start before the next plan, so that later
moves follow from the state at that time.
"""

import dataclasses
import typing

from guavachute.decide.fleet import reclaim
from guavachute import ids
from guavachute.services.relay import call as relay_call
from guavachute.services.relay import endpoints
from guavachute.services.relay import work as relay_work

INTERVAL_S = 0.5
KV_BYTES_PER_TOKEN = 100_000
TRANSFER_BYTES_PER_S = 500_000_000.0
"""Capacity for KV transfers within a region, shared by all routers."""

PREFILL_TOKENS_PER_S = 8_000.0
"""Prefill rate of one endpoint."""

EXPECTED_GAP_S = 0.051
EXPECTED_TOKENS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A stream to move now.

    :ivar target: endpoint that gets its KV cache; None to recompute it
    """

    stream: relay_call.Stream
    target: ids.EndpointId | None


class MovePlanner:
    """Plans the moves of one router's streams.

    :ivar live_routers: among which the transfer and prefill capacity is
        divided
    """

    def __init__(self, router_endpoints: endpoints.Endpoints) -> None:
        self._endpoints = router_endpoints
        self._pace = reclaim.ResumePace()
        self._next_s = 0.0
        self.live_routers = 1

    def due(
        self, streams: typing.Iterable[relay_call.Stream], now_s: float
    ) -> list[Move]:
        """The moves to start now; none between two planning intervals."""
        if now_s < self._next_s:
            return []
        self._next_s = now_s + INTERVAL_S
        moves: list[Move] = []
        for leave_at_s, leaving in self._streams_by_leave_time(
            streams
        ).items():
            moves += self._plan(leaving, leave_at_s, now_s)
        return moves

    def resume_at_s(self, stream: relay_call.Stream, now_s: float) -> float:
        """When *stream*, whose endpoint died, can resume at another.

        Each call reserves prefill time, so that streams that lose their
        endpoints at the same time resume one after another.
        """
        capacity = self._capacity(stream.call.pool)
        tokens = _computed_tokens(stream)
        return self._pace.start_at_s(tokens, capacity, now_s)

    def _streams_by_leave_time(
        self, streams: typing.Iterable[relay_call.Stream]
    ) -> dict[float, list[relay_call.Stream]]:
        """The streams on leaving endpoints, by when the endpoint leaves."""
        found: dict[float, list[relay_call.Stream]] = {}
        for stream in streams:
            if stream.connection is None or stream.endpoint is None:
                continue
            leave_at_s = self._endpoints.leave_at_s(stream.endpoint.endpoint)
            if leave_at_s is not None and not stream.ended:
                found.setdefault(leave_at_s, []).append(stream)
        return found

    def _plan(
        self,
        streams: list[relay_call.Stream],
        leave_at_s: float,
        now_s: float,
    ) -> list[Move]:
        by_id = {}
        described = []
        for number, stream in enumerate(streams):
            request_id = ids.RequestId(str(number))
            by_id[request_id] = stream
            described.append(_describe_stream(request_id, stream))
        pool = streams[0].call.pool
        steps = reclaim.plan(
            described,
            self._targets(pool),
            self._capacity(pool),
            leave_at_s,
            now_s,
        )
        return self._due_moves(steps, by_id, pool, now_s)

    def _due_moves(
        self,
        steps: list[reclaim.Step],
        by_id: dict[ids.RequestId, relay_call.Stream],
        pool: str,
        now_s: float,
    ) -> list[Move]:
        """The moves that start before the next plan.

        There are no more moves than free slots: a stream that would only
        wait continues at its endpoint for as long as that runs.
        """
        free = self._endpoints.free_slots(pool)
        moves: list[Move] = []
        for step in steps:
            if step.continuation is reclaim.Continuation.FINISH:
                continue
            if step.start_at_s >= now_s + INTERVAL_S or len(moves) >= free:
                break
            moves.append(Move(by_id[step.request_id], step.target))
        return moves

    def _targets(self, pool: str) -> list[reclaim.Target]:
        targets = []
        for name in self._endpoints.names(pool):
            entry = self._endpoints.entry(name)
            assert entry is not None
            free = self._endpoints.free_slots_of(name)
            region = ids.Region(entry.region)
            targets.append(reclaim.Target(name, region, free))
        return targets

    def _capacity(self, pool: str) -> reclaim.Capacity:
        live = len(self._endpoints.names(pool))
        return reclaim.Capacity(
            TRANSFER_BYTES_PER_S / self.live_routers,
            PREFILL_TOKENS_PER_S * live / self.live_routers,
        )


def _computed_tokens(stream: relay_call.Stream) -> int:
    prompt = relay_work.estimate_tokens(stream.call.prompt)
    return int(prompt) + stream.answer.next_index


def _describe_stream(
    request_id: ids.RequestId, stream: relay_call.Stream
) -> reclaim.Stream:
    assert stream.endpoint is not None
    computed = _computed_tokens(stream)
    generated = stream.answer.next_index
    max_tokens = stream.call.body.get('max_tokens')
    expected = max_tokens if isinstance(max_tokens, int) else EXPECTED_TOKENS
    return reclaim.Stream(
        request_id,
        ids.Region(stream.endpoint.region),
        computed,
        max(1, expected - generated),
        EXPECTED_GAP_S,
        computed * KV_BYTES_PER_TOKEN,
        stream.call.priority,
    )
