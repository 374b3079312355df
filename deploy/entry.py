"""Starts the entry process out of a checkout."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from guavachute.cli import entry  # noqa: E402

if __name__ == '__main__':
    entry.main()
