"""``guavachute-entry``: the entry process on an entry VM of the platform."""

import dataclasses
import pathlib
import sys

import cappa

from guavachute.cli import process
from guavachute.entry import program


@cappa.command(name='guavachute-entry')
@dataclasses.dataclass
class EntryCommand:
    """Serve callers of the platform and forward them to its endpoints."""

    settings: pathlib.Path | None = None
    """Settings file that the platform wrote; by default the file that the
    process environment names."""


def run(command: EntryCommand) -> int:
    """Serve until SIGTERM and return the exit status."""
    return program.run(command.settings)


def main() -> None:
    """Run the console script and exit with its status."""
    sys.exit(run(process.parse(EntryCommand)))


if __name__ == '__main__':
    main()
