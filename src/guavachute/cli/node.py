"""``guavachute-node``: the control process on one entry VM."""

import dataclasses
import pathlib
import sys

import cappa

from guavachute.assembly import node
from guavachute.cli import process
from guavachute.observe import logs


@cappa.command(name='guavachute-node')
@dataclasses.dataclass
class NodeCommand:
    """Follow the log, the VM list and the other nodes for the routers."""

    settings: pathlib.Path
    """JSON file with the node's settings."""


def run(command: NodeCommand) -> int:
    """Serve until SIGTERM and return the exit status."""
    settings = process.load_settings(command.settings, node.NodeSettings)
    with logs.to_stderr(settings.observe.log_level):
        with node.running(settings) as running:
            stop = running.kernel.request_stop
            with process.stopped_by_signals(stop):
                process.announce(
                    'guavachute-node',
                    tables=running.address,
                    peers=running.peer_address,
                )
                running.kernel.wait()
            return process.EXIT_FAILED if running.kernel.broken_task else 0


def main() -> None:
    """Run the console script and exit with its status."""
    sys.exit(run(process.parse(NodeCommand)))


if __name__ == '__main__':
    main()
