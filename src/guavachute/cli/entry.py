"""``guavachute-entry``: the process of an entry VM on the platform."""

import dataclasses
import pathlib
import sys

import cappa

from guavachute.cli import process
from guavachute.entry import program


@cappa.command(name='guavachute-entry')
@dataclasses.dataclass
class EntryCommand:
    """Serve callers on the platform, in front of its endpoints."""

    settings: pathlib.Path | None = None
    """File that the platform laid down; by default the one that the
    environment names."""


def run(command: EntryCommand) -> int:
    """Serve until SIGTERM; the exit status."""
    return program.run(command.settings)


def main() -> None:
    """The console script."""
    sys.exit(run(process.parse(EntryCommand)))


if __name__ == '__main__':
    main()
