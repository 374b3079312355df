"""``guavachute status``: the configuration in force on each node."""

import dataclasses

import cappa
import msgspec

from guavachute.cli import arguments
from guavachute.cli import operator_settings
from guavachute.cli import process
from guavachute.clients import node_client
from guavachute import outcome
from guavachute.wire import status

DIGEST_CHARACTERS = 12


@cappa.command(
    name='status', help='Show the configuration in force on each node.'
)
@dataclasses.dataclass
class StatusCommand:
    """Show the nodes, routers and endpoints and the configuration in force."""

    environment: arguments.Environment
    settings: arguments.SettingsPath = None
    json: arguments.AsJson = False

    def __call__(self) -> int:
        """Run the command and return the exit status."""
        settings = operator_settings.load(self.settings)
        reply = query_any_node(settings, self.environment)
        if self.json:
            print(msgspec.json.encode(reply).decode())
        else:
            print('\n'.join(format_status(reply)))
        return 0


def query_any_node(
    settings: operator_settings.OperatorSettings, environment: str
) -> status.StatusReply:
    """Return the status from the first node of the environment that answers.

    Ends the program if none does.
    """
    addresses = settings.nodes.get(environment, [])
    problem = f'no node of environment {environment!r} in the settings'
    for address in addresses:
        reply = node_client.fetch_status(address)
        if isinstance(reply, outcome.Failure):
            problem = reply.detail
        elif reply.environment != environment:
            problem = f'{address} is of environment {reply.environment!r}'
        else:
            return reply
    process.fail(problem)


def format_status(reply: status.StatusReply) -> list[str]:
    """Return the lines of text that describe *reply*."""
    shown = reply.digest[:DIGEST_CHARACTERS] or 'none'
    lines = [
        f'environment {reply.environment}: configuration {reply.offset}, '
        f'digest {shown}; log read through {reply.log_through_offset}, '
        f'last update {_format_age(reply.log_age_s)}',
        '',
        f'{"node":20} {"domain":14} {"state":8} {"config":>7} '
        f'{"digest":13} {"active":>6} routers',
    ]
    lines += [_format_node(node) for node in reply.nodes]
    for domain in reply.domains:
        in_force = ', '.join(
            f'{one.nodes} at {one.offset}' for one in domain.in_force
        )
        lines.append(
            f'{f"({domain.nodes} nodes)":20} {domain.failure_domain:14} '
            f'configurations: {in_force}; active {domain.active_requests}'
        )
    lines.append('')
    for pool, states in sorted(reply.endpoints.items()):
        counted = ', '.join(f'{n} {s}' for s, n in sorted(states.items()))
        lines.append(f'pool {pool}: {counted}')
    return lines


def _format_age(age_s: float | None) -> str:
    return 'never' if age_s is None else f'{age_s:.0f} s ago'


def _format_node(node: status.NodeStatus) -> str:
    return (
        f'{node.node:20} {node.failure_domain:14} {node.state:8} '
        f'{node.offset:>7} {node.digest[:DIGEST_CHARACTERS]:13} '
        f'{node.active_requests:>6} {" ".join(node.routers)}'
    )
