"""``guavachute trace``: what the logs say of one request."""

import dataclasses
import fileinput
import pathlib
import sys

import cappa

from guavachute.observe import timeline

EXIT_UNKNOWN = 1


@cappa.command(name='trace', help='Say what became of a request.')
@dataclasses.dataclass
class TraceCommand:
    """Read the logs of all nodes and print the lines about one request."""

    request: str
    """The id that the caller sent with the request."""

    files: list[pathlib.Path] = dataclasses.field(default_factory=list)
    """Logs of the nodes; standard input if there are none."""

    def __call__(self) -> int:
        """Run the command; the exit status."""
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
                f'guavachute: {found.unreadable} lines are no log lines',
                file=sys.stderr,
            )
        if not found.lines:
            print(
                f'guavachute: no line about request {self.request}',
                file=sys.stderr,
            )
            return EXIT_UNKNOWN
        return 0
