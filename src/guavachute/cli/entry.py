"""``guavachute-entry``: the process of an entry VM on the platform."""

import dataclasses
import pathlib
import signal
import sys

import cappa

from guavachute.cli import process
from guavachute.entry import node as entry_node
from guavachute.entry import signals
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import settings


@cappa.command(name='guavachute-entry')
@dataclasses.dataclass
class EntryCommand:
    """Serve callers on the platform, in front of its endpoints."""

    settings: pathlib.Path | None = None
    """File that the platform laid down; by default the one that the
    environment names."""


def run(command: EntryCommand) -> int:
    """Serve until SIGTERM; the exit status."""
    path = command.settings or settings.path()
    if isinstance(path, outcome.Failure):
        process.fail(path.detail, process.EXIT_USAGE)
    site = settings.load(path)
    if isinstance(site, outcome.Failure):
        process.fail(site.detail, process.EXIT_USAGE)
    with journal.to_stdout(site.node), entry_node.running(site) as node:

        def reload() -> None:
            changed = settings.load(path)
            if isinstance(changed, outcome.Failure):
                journal.problem(
                    'reload', outcome='refused', reason=changed.detail
                )
            else:
                node.reload(changed)

        handlers = {
            signal.SIGTERM: node.stop,
            signal.SIGINT: node.stop,
            signal.SIGHUP: reload,
        }
        with signals.handled(node.loop, handlers):
            journal.event('start', outcome='listening', node_ip=site.ip)
            node.start()
            node.loop.run()
        journal.event('stop', outcome='exit')
    return 0


def main() -> None:
    """The console script."""
    sys.exit(run(process.parse(EntryCommand)))


if __name__ == '__main__':
    main()
