"""``guavachute explain``: why each VM exists."""

import dataclasses

import cappa
import msgspec

from guavachute.cli import arguments
from guavachute.cli import fleet_sources
from guavachute.cli import operator_settings
from guavachute.decide.fleet import fleet_text
from guavachute.decide.fleet import purchases
from guavachute import ids


@cappa.command(name='explain', help='Say why each VM exists.')
@dataclasses.dataclass
class ExplainCommand:
    """List the VMs and orders of an environment with their reasons."""

    environment: arguments.Environment
    settings: arguments.SettingsPath = None
    json: arguments.AsJson = False

    def __call__(self) -> int:
        """Run the command; the exit status."""
        wanted = operator_settings.load(self.settings)
        state = fleet_sources.control_state(wanted)
        found = fleet_sources.listed(fleet_sources.cloud(wanted))
        explained = purchases.explain(
            state, ids.EnvironmentName(self.environment), found
        )
        if self.json:
            print(msgspec.json.encode(explained).decode())
        else:
            lines = [line_of(line) for line in explained]
            print('\n'.join(lines or ['no VM and no order under way']))
        return 0


def line_of(line: purchases.Explained) -> str:
    """One VM or order for a person."""
    return (
        f'{line.vm or "-"} {line.name}: {line.state}; '
        f'{fleet_text.offer_text(line.offer)}; {line.why}'
    )
