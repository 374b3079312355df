"""Runs an entry node until it is told to stop.

It imports nothing of the command line: a process that is killed has to
serve again soon, and the command line takes half of the time to start.
"""

import pathlib
import signal
import sys

from guavachute.entry import node as entry_node
from guavachute.entry import signals
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import settings

EXIT_USAGE = 2


def run(file: pathlib.Path | None) -> int:
    """Serve with the settings in *file* until SIGTERM; the exit status.

    :param file: by default the one that the environment names
    """
    path = file or settings.path()
    if isinstance(path, outcome.Failure):
        return _refuse(path)
    site = settings.load(path)
    if isinstance(site, outcome.Failure):
        return _refuse(site)
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


def _refuse(failure: outcome.Failure) -> int:
    print(f'guavachute-entry: {failure.detail}', file=sys.stderr)
    return EXIT_USAGE
