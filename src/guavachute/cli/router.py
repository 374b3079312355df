"""``guavachute-router``: the process that serves callers on an entry VM."""

import dataclasses
import pathlib
import sys

import cappa

from guavachute.assembly import router
from guavachute.cli import process
from guavachute.observe import logs


@cappa.command(name='guavachute-router')
@dataclasses.dataclass
class RouterCommand:
    """Serve callers over HTTP and forward their requests to endpoints."""

    settings: pathlib.Path
    """JSON file with the router's settings."""


def run(command: RouterCommand) -> int:
    """Serve until SIGTERM, drain and return the exit status."""
    settings = process.load_settings(command.settings, router.RouterSettings)
    with logs.to_stderr(settings.observe.log_level):
        with router.running(settings) as running:
            stop = running.kernel.request_stop
            with process.stopped_by_signals(stop):
                process.announce('guavachute-router', http=running.address)
                running.kernel.wait()
                if running.kernel.broken_task:
                    return process.EXIT_FAILED
                running.drain()
    return 0


def main() -> None:
    """Run the console script and exit with its status."""
    sys.exit(run(process.parse(RouterCommand)))


if __name__ == '__main__':
    main()
