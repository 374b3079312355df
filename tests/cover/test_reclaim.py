"""Tests of the plan for streams on leaving endpoints, and of its pacing."""

import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.fleet import reclaim
from guavachute import ids

HERE = ids.Region('perth')
THERE = ids.Region('bunbury')
GAP_S = 0.05
CAPACITY = reclaim.Capacity(100e6, 10_000)


def stream(
    number: int,
    computed: int = 1000,
    remaining: int = 2000,
    megabytes: int = 100,
    priority: int = 1,
) -> reclaim.Stream:
    return reclaim.Stream(
        ids.RequestId(f'r-{number}'),
        HERE,
        computed,
        remaining,
        GAP_S,
        megabytes * 1_000_000,
        priority,
    )


def target(region: ids.Region = HERE, free_slots: int = 100) -> reclaim.Target:
    return reclaim.Target(ids.EndpointId(f'vm-{region}'), region, free_slots)


def continuations(
    steps: list[reclaim.Step],
) -> dict[str, reclaim.Continuation]:
    return {step.request_id: step.continuation for step in steps}


class PlanTest(unittest.TestCase):
    def test_short_streams_finish_and_large_ones_move_first(self) -> None:
        streams = [
            stream(1, remaining=100),
            stream(2, computed=500),
            stream(3, computed=4000),
        ]
        steps = reclaim.plan(streams, [target()], CAPACITY, 12.3, 10.0)
        self.assertEqual(
            {
                'r-1': reclaim.Continuation.RECOMPUTE,
                'r-2': reclaim.Continuation.RECOMPUTE,
                'r-3': reclaim.Continuation.TRANSFER,
            },
            continuations(steps),
        )
        steps = reclaim.plan(streams, [target()], CAPACITY, 40.0, 10.0)
        self.assertIs(reclaim.Continuation.FINISH, continuations(steps)['r-1'])
        self.assertIs(
            reclaim.Continuation.TRANSFER, continuations(steps)['r-2']
        )

    def test_no_cache_crosses_the_regions_or_goes_to_a_full_endpoint(
        self,
    ) -> None:
        streams = [stream(1), stream(2)]
        remote = reclaim.plan(streams, [target(THERE)], CAPACITY, 40, 10)
        self.assertEqual(
            {reclaim.Continuation.RECOMPUTE},
            set(continuations(remote).values()),
        )
        one = reclaim.plan(streams, [target(free_slots=1)], CAPACITY, 40, 10)
        self.assertCountEqual(
            [reclaim.Continuation.TRANSFER, reclaim.Continuation.RECOMPUTE],
            continuations(one).values(),
        )

    def test_without_notice_all_resume_by_priority(self) -> None:
        streams = [stream(1, priority=2), stream(2, priority=0)]
        steps = reclaim.plan(streams, [target()], CAPACITY, 10, 10)
        self.assertEqual(['r-2', 'r-1'], [step.request_id for step in steps])
        self.assertEqual(
            {reclaim.Continuation.RECOMPUTE},
            set(continuations(steps).values()),
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 8000),
                strategies.integers(1, 4000),
                strategies.integers(1, 2000),
            ),
            max_size=60,
        ),
        strategies.floats(0, 60),
        strategies.integers(0, 30),
    )
    def test_a_wave_is_paced_and_transfers_end_in_time(
        self,
        values: list[tuple[int, int, int]],
        remaining_s: float,
        free_slots: int,
    ) -> None:
        streams = {
            f'r-{number}': stream(number, *value)
            for number, value in enumerate(values)
        }
        leave_at_s = 10 + remaining_s
        steps = reclaim.plan(
            streams.values(),
            [target(free_slots=free_slots)],
            CAPACITY,
            leave_at_s,
            10.0,
        )
        self.assertCountEqual(streams, [step.request_id for step in steps])
        rate = CAPACITY.prefill_tokens_per_s * reclaim.PREFILL_FRACTION
        prefill_free_s = 10.0
        transfer_free_s = 10.0
        for step in steps:
            moved = streams[step.request_id]
            if step.continuation is reclaim.Continuation.RECOMPUTE:
                self.assertGreaterEqual(step.start_at_s + 1e-6, prefill_free_s)
                prefill_free_s = step.start_at_s + moved.computed_tokens / rate
            if step.continuation is reclaim.Continuation.TRANSFER:
                self.assertGreaterEqual(
                    step.start_at_s + 1e-6, transfer_free_s
                )
                transfer_free_s = step.start_at_s + moved.kv_bytes / 100e6
                self.assertLess(transfer_free_s, leave_at_s)
