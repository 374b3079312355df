"""Runs an entry node until it gets a signal to stop.

It does not import the command line, which takes half of the time of a start: a
process that was killed has to serve again soon.
"""

import pathlib
import signal
import sys

from guavachute.domain import site as domain_site
from guavachute.entry import node as entry_node
from guavachute.entry import signals
from guavachute.entry import transport
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import settings

EXIT_USAGE = 2


def run(file: pathlib.Path | None) -> int:
    """Serve with the settings in *file* until SIGTERM; the exit status.

    :param file: by default the file that the environment names
    """
    path = file or settings.path()
    if isinstance(path, outcome.Failure):
        return _report_usage_error(path)
    site = settings.load(path)
    if isinstance(site, outcome.Failure):
        return _report_usage_error(site)
    try:
        return _serve(path, site)
    except transport.ListenError as error:
        return _report_usage_error(
            outcome.Failure(
                outcome.Reason.UNAVAILABLE,
                f'{path}: {settings.setting_of(site, error.address)}: '
                f"can't listen at {error.address}: {error.strerror}",
            )
        )


def _serve(path: pathlib.Path, site: domain_site.Site) -> int:
    """Serve with the settings of *path*, as *site*, until SIGTERM."""
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


def _report_usage_error(failure: outcome.Failure) -> int:
    print(f'guavachute-entry: {failure.detail}', file=sys.stderr)
    return EXIT_USAGE
