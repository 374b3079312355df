"""``guavachute trace``: the log lines about one request."""

import dataclasses
import fileinput
import pathlib
import sys

import cappa

from guavachute.observe import timeline

EXIT_UNKNOWN = 1


@cappa.command(name='trace', help='Show the log lines about a request.')
@dataclasses.dataclass
class TraceCommand:
    """Read the logs of all nodes and print the lines about one request."""

    request: str
    """The id that the caller sent with the request."""

    files: list[pathlib.Path] = dataclasses.field(default_factory=list)
    """Log files of the nodes; standard input if none is given."""

    def __call__(self) -> int:
        """Run the command and return the exit status."""
        try:
            with fileinput.input(self.files or ('-',)) as source:
                found = timeline.of_request(source, self.request)
        except OSError as error:
            print(f'guavachute: {error}', file=sys.stderr)
            return EXIT_UNKNOWN
        for line in found.lines:
            print(timeline.text_of(line))
        if found.unreadable:
            print(
                f'guavachute: {found.unreadable} lines are not log lines',
                file=sys.stderr,
            )
        if not found.lines:
            print(
                f'guavachute: no line about request {self.request}',
                file=sys.stderr,
            )
            return EXIT_UNKNOWN
        return 0
