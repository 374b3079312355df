"""``guavachute-demo``: runs a small fleet in one process and calls it."""

import dataclasses
import pathlib
import random
import sys
import tempfile
import threading
import time
import typing

import cappa

from guavachute.cli import process
from guavachute.cli import publish as publish_command
from guavachute.clients import configuration
from guavachute.clients import log_client
from guavachute.demo import fleet
from guavachute.demo import tour
from guavachute import ids
from guavachute.observe import counters
from guavachute.observe import logs

PUBLISH_LIMIT_S = 10.0


@cappa.command(name='guavachute-demo')
@dataclasses.dataclass
class DemoCommand:
    """Start a small fleet in this process and demonstrate it."""

    serve: typing.Annotated[
        bool, cappa.Arg(long=True, help='Keep running until interrupted.')
    ] = False


def run(command: DemoCommand) -> int:
    """Run the demonstration and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        traces = pathlib.Path(folder) / 'traces.jsonl'
        with logs.to_stderr('error'), fleet.running(traces) as running:
            request_id = _demonstrate(running)
            if command.serve:
                _wait_for_interrupt(running)
        if not command.serve:
            print('\nthe spans of the completion request:')
            for line in tour.trace_lines(traces, request_id):
                print(f'  {line}')
    return 0


def _demonstrate(running: fleet.Fleet) -> str:
    print(f'{len(running.engines)} engines, {len(running.routers)} routers')
    published = publish(running)
    print(f'published {running.document.digest[:12]}: {published}')
    demonstration = tour.Tour(running, print)
    demonstration.wait_until_ready()
    demonstration.show_addresses()
    request_id = demonstration.stream_completion()
    demonstration.order_twice()
    return request_id


def publish(running: fleet.Fleet) -> str:
    """Publish the fleet's document and return where it is in the log.

    Ends the program if that fails.
    """
    with log_client.connected(
        running.log.address, counters.Counters(), random.Random()
    ) as client:
        result = configuration.publish(
            client,
            configuration.Change(
                ids.EnvironmentName(fleet.ENVIRONMENT),
                running.document.raw,
                running.document.digest,
                'demo',
            ),
            time.monotonic() + PUBLISH_LIMIT_S,
        )
    if not isinstance(result, configuration.Accepted):
        process.fail(publish_command.explain(result))
    return f'in the log at offset {result.offset}'


def _wait_for_interrupt(running: fleet.Fleet) -> None:
    print('\ncall the fleet like this; Ctrl-C ends the demonstration:')
    print(tour.Tour(running, print).curl_line(), flush=True)
    interrupted = threading.Event()
    with process.stopped_by_signals(interrupted.set):
        while not interrupted.wait(1.0):
            pass


def main() -> None:
    """Run the console script and exit with its status."""
    sys.exit(run(process.parse(DemoCommand)))


if __name__ == '__main__':
    main()
