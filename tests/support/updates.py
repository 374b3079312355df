"""Updates of nodes, for tests of what receives them."""

import typing

from guavachute.wire import node_updates


def node_update(
    node: str, region: str, **changes: typing.Any
) -> node_updates.NodeUpdate:
    """An update of *node*, ready and idle; *changes* replace fields."""
    fields: dict[str, typing.Any] = {
        'node': node,
        'run': 1,
        'sequence': 1,
        'peers_address': f'10.0.0.1:7600/{node}',
        'callers_address': f'10.0.0.1:80/{node}',
        'domain': f'{region}-a',
        'region': region,
        'age_s': 10.0,
        'wall_s': 1_000.0,
        'is_ready': True,
        'is_reader': False,
        'configuration_version': 1,
        'endpoints_version': 1,
        'reaches_store': True,
        'spent': {},
        'load': {},
        'work': {},
        'usage': {},
        'crashes': [],
    }
    fields.update(changes)
    return node_updates.NodeUpdate(**fields)
