"""``./build.sh soak``: runs many seeds, several at the same time."""

import concurrent.futures
import dataclasses
import pathlib
import shutil
import sys
import tempfile
import typing

import cappa

from guavachute.cli import process
from soak import broken
from soak import paused_links
from soak import regressions
from soak import seed_run
from soak import slow_links

MAX_CONCURRENT = 4
"""The most seeds that run at the same time."""


@cappa.command(name='soak')
@dataclasses.dataclass
class SoakCommand:
    """Run seeds of the fault soak; the logs of failed seeds are kept."""

    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 4
    """The number of seeds."""
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    """The first seed."""
    processes: typing.Annotated[int, cappa.Arg(long=True)] = 4
    """The number of entry processes of each seed."""
    variant: typing.Annotated[str | None, cappa.Arg(long=True)] = None
    """Run this faulty variant of the program, which must be detected."""
    regressions: typing.Annotated[bool, cappa.Arg(long=True)] = False
    """Also run the seeds that failed in the past."""
    slow_links: typing.Annotated[bool, cappa.Arg(long=True)] = False
    """Instead play stops and changing idle limits behind slow links."""
    paused_links: typing.Annotated[bool, cappa.Arg(long=True)] = False
    """Instead play links to endpoints that pause beside planned work."""


def run(command: SoakCommand) -> int:
    """Run the seeds and return the exit status.

    It is 0 if no guarantee was violated or, with a faulty variant, if at
    least one was.
    """
    if command.variant not in (None, *broken.VARIANTS):
        process.fail(
            f'unknown variant {command.variant}; the variants are '
            + ', '.join(broken.VARIANTS),
            process.EXIT_USAGE,
        )
    seeds = list(range(command.seed, command.seed + command.seeds))
    if command.regressions:
        seeds += sorted(regressions.SEEDS)
    folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    concurrency = max(
        1, min(MAX_CONCURRENT, 4 * MAX_CONCURRENT // command.processes)
    )
    run_type: type[seed_run.SeedRun] = seed_run.SeedRun
    if command.paused_links:
        run_type = paused_links.PausedRun
    elif command.slow_links:
        run_type = slow_links.SlowRun
    bad = 0
    with concurrent.futures.ProcessPoolExecutor(concurrency) as workers:
        runs = [
            workers.submit(
                seed_run.run_seed,
                seed,
                command.processes,
                folder / str(seed),
                command.variant,
                run_type,
            )
            for seed in seeds
        ]
        for done in concurrent.futures.as_completed(runs):
            bad += _report(done.result())
    print(f'{len(seeds)} seeds, {bad} with violated guarantees', flush=True)
    if command.variant is not None:
        return 0 if bad else 1
    if not bad:
        shutil.rmtree(folder)
    return 1 if bad else 0


def _report(result: seed_run.SeedResult) -> bool:
    """Print the result of a seed; return whether a guarantee was violated."""
    print(
        f'seed {result.seed}: {result.attempts} requests, '
        f'{result.served} served, {len(result.failures)} failures'
        f'{result.notes}',
        flush=True,
    )
    for line in result.failures[:20]:
        print(f'  {line}')
    if not result.failures:
        shutil.rmtree(result.folder)
        return False
    print(f'  logs: {result.folder}')
    return True


def main() -> None:
    """Run the console script and exit with its status."""
    sys.exit(run(process.parse(SoakCommand)))


if __name__ == '__main__':
    main()
