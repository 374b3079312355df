"""Starts the entry process out of a checkout, on the platform's VMs."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from guavachute.entry import program  # noqa: E402

if __name__ == '__main__':
    sys.exit(program.run(None))
