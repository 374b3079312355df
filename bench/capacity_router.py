"""CPU time of a router per token and request, and memory per stream."""

import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

import msgspec

from bench import capacity_fit
from bench import load
from bench import processes
from bench import relay

STREAMS = (50, 150, 300)
LONG_TOKENS = 150
SHORT_TOKENS = 1
SHORT_STREAMS = (1, 2, 4)
SHORT_FIRST_TOKEN_S = 0.02
WARM_S = 4.0
MEASURED_S = 8.0
ENGINES = 4


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a router under one load.

    :ivar tokens: per second
    :ivar requests: per second
    :ivar core_percent: CPU time as % of a core
    """

    tokens: float
    requests: float
    core_percent: float
    resident_mib: float
    gap_p95_ms: float
    first_byte_p95_ms: float


@contextlib.contextmanager
def _router(
    first_token_s: float,
) -> typing.Iterator[processes.Program]:
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        settings = {**relay.ENGINE_SETTINGS, 'first_token_s': first_token_s}
        path = relay.settings_file(folder, 'engine', settings)
        engines = [
            stack.enter_context(
                processes.running(
                    'guavachute.cli.standin', 'engine', '--settings', path
                )
            )
            for _ in range(ENGINES)
        ]
        addresses = [engine.address for engine in engines]
        yield stack.enter_context(relay.router(folder, addresses))


def _measure_load(
    router: processes.Program, streams: int, tokens: int, seed: int
) -> LoadResult:
    until_s = WARM_S + MEASURED_S
    plan = load.Plan(
        addresses=[router.address],
        model=relay.MODEL,
        streams=streams,
        seed=seed,
        least_tokens=tokens,
        most_tokens=tokens,
        spread_s=1.0,
        measure_from_s=WARM_S,
        until_s=until_s,
        api_key=relay.API_KEY,
        check_text=False,
    )
    generator = subprocess.Popen(
        [sys.executable, '-m', 'bench.load'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert generator.stdin is not None
    generator.stdin.write(msgspec.json.encode(plan))
    generator.stdin.close()
    generator.stdin = None
    time.sleep(WARM_S)
    start_s = time.monotonic()
    used_s = router.cpu_s()
    time.sleep(MEASURED_S)
    elapsed_s = time.monotonic() - start_s
    used_s = router.cpu_s() - used_s
    resident_mib = router.resident_mib()
    output, _ = generator.communicate()
    figures = msgspec.json.decode(output, type=load.Report).figures()
    bad = figures.results.total() - figures.results['complete']
    assert not bad, dict(figures.results)
    counted_s = until_s - WARM_S
    return LoadResult(
        tokens=figures.tokens / counted_s,
        requests=figures.tokens / counted_s / tokens,
        core_percent=100 * used_s / elapsed_s,
        resident_mib=resident_mib,
        gap_p95_ms=figures.gap_ms(95),
        first_byte_p95_ms=figures.first_byte_ms(95),
    )


def measure() -> capacity_fit.Measurements:
    """Measure a router under short and under long requests.

    Requests of one token give the cost of a request, long ones the cost
    of a token and the memory of a stream.
    """
    short = []
    with _router(SHORT_FIRST_TOKEN_S) as router:
        idle_mib = router.resident_mib()
        for seed, streams in enumerate(SHORT_STREAMS):
            short.append(_measure_load(router, streams, SHORT_TOKENS, seed))
    long = []
    with _router(0.0) as router:
        for seed, streams in enumerate(STREAMS):
            long.append(_measure_load(router, streams, LONG_TOKENS, seed))
    by_request = capacity_fit.fit(
        'requests a second, of one token',
        '% of a core, router process',
        [(seen.requests, seen.core_percent) for seen in short],
    )
    # The long requests' own cost as requests is subtracted, so that the
    # slope holds the cost of tokens only.
    by_token = capacity_fit.fit(
        f'tokens a second, requests of {LONG_TOKENS} tokens',
        '% of a core, router process, without the cost of requests',
        [
            (
                seen.tokens,
                seen.core_percent - by_request.slope * seen.requests,
            )
            for seen in long
        ],
    )
    return capacity_fit.Measurements(
        slopes={
            'router_core_by_request': by_request,
            'router_core_by_token': by_token,
            'router_memory_by_stream': capacity_fit.fit(
                'streams',
                'MiB resident, router process',
                [(0, idle_mib)]
                + [
                    (streams, seen.resident_mib)
                    for streams, seen in zip(STREAMS, long, strict=True)
                ],
            ),
        },
        values={
            'router_gap_p95_ms': capacity_fit.Value(
                value=long[-1].gap_p95_ms,
                unit='ms',
                how=f'{STREAMS[-1]} streams, a token each 51 ms',
            ),
        },
    )
