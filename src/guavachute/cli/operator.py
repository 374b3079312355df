"""``guavachute``: the operators' command-line program."""

import dataclasses
import sys

import cappa

from guavachute.cli import process

from guavachute.cli import explain
from guavachute.cli import plan
from guavachute.cli import publish
from guavachute.cli import status
from guavachute.cli import trace
from guavachute.cli import validate


@cappa.command(
    name='guavachute', help='Operate a fleet that serves language models.'
)
@dataclasses.dataclass
class OperatorCommand:
    """Publish documents and inspect the fleet."""

    command: cappa.Subcommands[
        validate.ValidateCommand
        | publish.PublishCommand
        | publish.PromoteCommand
        | status.StatusCommand
        | plan.PlanCommand
        | explain.ExplainCommand
        | trace.TraceCommand
    ]


def main() -> None:
    """Run the console script and exit with its status."""
    parsed = process.parse(OperatorCommand)
    sys.exit(parsed.command())


if __name__ == '__main__':
    main()
