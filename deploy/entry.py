"""Starts the entry process from a checkout on one of the platform's VMs."""

import pathlib
import signal
import sys

# SIGHUP announces changed settings. By default it ends the process; it is
# ignored until the event loop installs its handler, because the settings
# are read after this point anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from guavachute.entry import program  # noqa: E402

if __name__ == '__main__':
    sys.exit(program.run(None))
