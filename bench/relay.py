"""Compares a router process with direct calls and with other relays.

Runs them one after the other on the same engines and with the same
requests. Prints a table and a line for each target, met or missed.
"""

import argparse
import contextlib
import dataclasses
import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

import msgspec
import urllib3

from bench import load
from bench import processes
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.services import table_server
from guavachute.wire import tables

API_KEY = 'key-of-the-bench'
MODEL = 'demo'
TOKEN_GAP_S = 0.051
ENGINES = 4
STREAMS = 300
MANY_STREAMS = 1000
STREAMS_PER_GENERATOR = 250
SPREAD_S = 2.0
WARM_UP_S = 6.0
DRAIN_LIMIT_S = 1.0
READY_TIMEOUT_S = 20.0

MAX_CORES = 0.3
MAX_ADDED_GAP_MS = 1.5
MAX_ADDED_FIRST_BYTE_MS = 5.0

ENGINE_SETTINGS = {
    'models': [MODEL],
    'slots': 2000,
    'queue_limit': 2000,
    'first_token_s': 0,
    'token_gap_s': TOKEN_GAP_S,
    'knee_streams': 2000,
    'prompt_tokens_per_s': 1e9,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The figures of one way of calling the engines.

    :ivar way: its name
    :ivar cores: CPU time of the relay as a number of cores
    :ivar engine_cores: CPU time of all engines together, likewise
    :ivar resident_mib: resident memory of the relay
    """

    way: str
    streams: int
    figures: load.Figures
    cores: float
    engine_cores: float
    resident_mib: float
    tokens_per_s: float

    def line(self) -> str:
        """Return the figures as a row below ``HEADING``."""
        figures = self.figures
        complete = figures.results['complete']
        bad = figures.results.total() - complete
        milliseconds = [
            figures.gap_ms(50),
            figures.gap_ms(95),
            figures.first_byte_ms(50),
            figures.first_byte_ms(95),
        ]
        return ''.join(
            [
                f'{self.way:22}{self.streams:8}{self.tokens_per_s:10.0f}',
                f'{self.cores:8.2f}',
                *(f'{value:9.1f}' for value in milliseconds),
                f'{self.resident_mib:9.0f}{self.engine_cores:9.2f}',
                f'{complete:10}{bad:6}',
            ]
        )


HEADING = (
    f'{"way":22}{"streams":>8}{"tokens/s":>10}{"cores":>8}'
    + ''.join(
        f'{name:>9}'
        for name in (
            'gap p50',
            'gap p95',
            '1st p50',
            '1st p95',
            'MiB',
            'engines',
        )
    )
    + f'{"complete":>10}{"bad":>6}'
)


def settings_file(folder: pathlib.Path, name: str, value: object) -> str:
    """Write the settings of a program as JSON and return the path."""
    path = folder / f'{name}.json'
    path.write_text(json.dumps(value))
    return str(path)


def document() -> dict[str, typing.Any]:
    """Return an operators' document with one model and one workspace."""
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    return {
        'models': {MODEL: {'pool': 'needle'}},
        'services': {},
        'workspaces': {'bench': {'share': 1, 'api_key_digests': [digest]}},
        'pools': {
            'needle': {
                'kind': 'model',
                'machine_classes': ['any'],
                'slots_per_endpoint': ENGINE_SETTINGS['slots'],
                'tokens_per_s_per_endpoint': 100_000.0,
            }
        },
    }


@contextlib.contextmanager
def serve_tables(engines: list[str]) -> typing.Iterator[str]:
    """Serve tables with *engines* to routers, in place of a node process.

    Yields the address.
    """
    server = table_server.TableServer(
        '127.0.0.1', 0, counters.Counters(), mailbox.Mailbox()
    )
    server.start()
    entries = [
        tables.EndpointEntry(
            endpoint=f'vm-{number}',
            address=address,
            failure_domain='perth-a',
            region='perth',
            pool='needle',
        )
        for number, address in enumerate(engines)
    ]
    value = tables.Tables(
        environment='bench',
        offset=0,
        digest='0' * 64,
        document=document(),
        endpoints=entries,
        routers=[],
    )
    server.mailbox.send(table_server.Publish(value))
    try:
        yield server.address
    finally:
        server.request_stop()
        server.join(READY_TIMEOUT_S)


@contextlib.contextmanager
def router(
    folder: pathlib.Path, engines: list[str]
) -> typing.Iterator[processes.Program]:
    """Run a router process for *engines* and wait until it is ready."""
    with serve_tables(engines) as address:
        path = settings_file(
            folder,
            'router',
            {
                'node': 'vm-router',
                'failure_domain': 'perth-a',
                'region': 'perth',
                'node_address': address,
                'drain_limit_s': DRAIN_LIMIT_S,
            },
        )
        with processes.running('guavachute.cli.router', path) as program:
            wait_until_ready(program.address)
            yield program


def wait_until_ready(address: str) -> None:
    """Wait until the router at *address* has its tables.

    :raises AssertionError: after ``READY_TIMEOUT_S``
    """
    end_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end_s:
        answer = urllib3.request('GET', f'http://{address}/readyz')
        if answer.status == 200:
            return
        time.sleep(0.05)
    raise AssertionError(f'the router at {address} did not get ready')


def measure(
    way: str,
    addresses: list[str],
    streams: int,
    duration_s: float,
    relay: processes.Program | None,
    engines: list[processes.Program],
    seed: int,
) -> Row:
    """Put load on *addresses* and measure *relay* once it is steady.

    :param relay: None if the engines are called directly
    """
    measured = [relay] if relay is not None else []
    until_s = WARM_UP_S + duration_s
    count = max(1, -(-streams // STREAMS_PER_GENERATOR))
    generators = [
        _start_generator(addresses, streams // count, seed + number, until_s)
        for number in range(count)
    ]
    time.sleep(WARM_UP_S)
    start_s = time.monotonic()
    used_s = _cpu_s(measured)
    engine_used_s = _cpu_s(engines)
    time.sleep(duration_s)
    elapsed_s = time.monotonic() - start_s
    used_s = _cpu_s(measured) - used_s
    engine_used_s = _cpu_s(engines) - engine_used_s
    resident = sum(program.resident_mib() for program in measured)
    figures = load.Figures()
    for generator in generators:
        output, _ = generator.communicate()
        report = msgspec.json.decode(output, type=load.Report)
        figures.add(report.figures())
    return Row(
        way=way,
        streams=streams,
        figures=figures,
        cores=used_s / elapsed_s,
        engine_cores=engine_used_s / elapsed_s,
        resident_mib=resident,
        tokens_per_s=figures.tokens / (until_s - SPREAD_S),
    )


def _cpu_s(programs: list[processes.Program]) -> float:
    return sum(program.cpu_s() for program in programs)


def _start_generator(
    addresses: list[str], streams: int, seed: int, until_s: float
) -> subprocess.Popen[bytes]:
    plan = load.Plan(
        addresses=addresses,
        model=MODEL,
        streams=streams,
        seed=seed,
        spread_s=SPREAD_S,
        measure_from_s=SPREAD_S,
        until_s=until_s,
        api_key=API_KEY,
    )
    process = subprocess.Popen(
        [sys.executable, '-m', 'bench.load'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdin is not None
    process.stdin.write(msgspec.json.encode(plan))
    process.stdin.close()
    process.stdin = None
    return process


def targets(rows: dict[str, Row]) -> list[tuple[str, bool]]:
    """Return each target with its figure in words, and whether it's met."""
    direct, ours = rows['direct'], rows['router']
    many = rows['router, many']
    gap_ms = ours.figures.gap_ms(95) - direct.figures.gap_ms(95)
    first_ms = ours.figures.first_byte_ms(95) - direct.figures.first_byte_ms(
        95
    )
    return [
        (
            f'{STREAMS} streams within {MAX_CORES} cores: {ours.cores:.2f}',
            ours.cores <= MAX_CORES,
        ),
        (
            f'gap p95 within {MAX_ADDED_GAP_MS} ms of direct: '
            f'{gap_ms:+.1f} ms',
            gap_ms <= MAX_ADDED_GAP_MS,
        ),
        (
            f'added first-byte p95 under {MAX_ADDED_FIRST_BYTE_MS} ms: '
            f'{first_ms:+.1f} ms',
            first_ms < MAX_ADDED_FIRST_BYTE_MS,
        ),
        (
            f'{many.streams} streams without a fault: '
            f'{dict(many.figures.results)}',
            set(many.figures.results) == {'complete'},
        ),
    ]


def main() -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--duration-s', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    rows: dict[str, Row] = {}
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        path = settings_file(folder, 'engine', ENGINE_SETTINGS)
        engines = [
            stack.enter_context(
                processes.running(
                    'guavachute.cli.standin', 'engine', '--settings', path
                )
            )
            for _ in range(ENGINES)
        ]
        addresses = [engine.address for engine in engines]
        print(
            f'{ENGINES} engines, a token each {TOKEN_GAP_S * 1000:.0f} ms, '
            f'seed {options.seed}; gap and first byte in ms'
        )
        print(HEADING, flush=True)

        def measure_way(
            way: str,
            streams: int,
            relay: processes.Program | None = None,
        ) -> None:
            row = measure(
                way,
                addresses if relay is None else [relay.address],
                streams,
                options.duration_s,
                relay,
                engines,
                options.seed,
            )
            rows[way] = row
            print(row.line(), flush=True)

        measure_way('direct', STREAMS)
        with processes.running(
            'bench.plain_relay', str(STREAMS), *addresses
        ) as plain:
            measure_way('plain relay, threads', STREAMS, plain)
        with processes.running('bench.copy_relay', *addresses) as copying:
            measure_way('bytes only, selector', STREAMS, copying)
        with router(folder, addresses) as router_program:
            measure_way('router', STREAMS, router_program)
        measure_way('direct, many', MANY_STREAMS)
        with router(folder, addresses) as router_program:
            measure_way('router, many', MANY_STREAMS, router_program)
    met = True
    for words, reached in targets(rows):
        print(f'{"met" if reached else "missed"}: {words}')
        met = met and reached
    return 0 if met else 1


if __name__ == '__main__':
    sys.exit(main())
