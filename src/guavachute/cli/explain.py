"""``guavachute explain``: the reason for each VM and order."""

import dataclasses

import cappa
import msgspec

from guavachute.cli import arguments
from guavachute.cli import fleet_sources
from guavachute.cli import operator_settings
from guavachute.decide.fleet import fleet_text
from guavachute.decide.fleet import purchases
from guavachute import ids


@cappa.command(name='explain', help='Show why each VM was ordered.')
@dataclasses.dataclass
class ExplainCommand:
    """List the VMs and orders of an environment with their reasons."""

    environment: arguments.Environment
    settings: arguments.SettingsPath = None
    json: arguments.AsJson = False

    def __call__(self) -> int:
        """Run the command and return the exit status."""
        settings = operator_settings.load(self.settings)
        state = fleet_sources.read_control_state(settings)
        found = fleet_sources.list_vms(
            fleet_sources.create_cloud_client(settings)
        )
        explained = purchases.explain(
            state, ids.EnvironmentName(self.environment), found
        )
        if self.json:
            print(msgspec.json.encode(explained).decode())
        else:
            lines = [format_line(line) for line in explained]
            print('\n'.join(lines or ['no VMs and no pending orders']))
        return 0


def format_line(line: purchases.Explained) -> str:
    """Return the line of text that describes one VM or order."""
    return (
        f'{line.vm or "-"} {line.name}: {line.state}; '
        f'{fleet_text.offer_text(line.offer)}; {line.why}'
    )
