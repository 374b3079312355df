"""Starts the entry process out of a checkout, on the platform's VMs."""

import pathlib
import signal
import sys

# News of changed settings must not end a process that is about to read
# them; it is handled as soon as the loop runs.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from guavachute.entry import program  # noqa: E402

if __name__ == '__main__':
    sys.exit(program.run(None))
