"""Updates of nodes, for tests of what receives them."""

import typing
import zlib

from guavachute.wire import node_updates


def node_update(
    node: str, region: str, **changes: typing.Any
) -> node_updates.NodeUpdate:
    """An update of *node*, ready and idle; *changes* replace fields."""
    first, second, third = zlib.crc32(node.encode()).to_bytes(4)[1:]
    ip = f'10.{first}.{second}.{third}'
    fields: dict[str, typing.Any] = {
        'node': node,
        'run': 1,
        'sequence': 1,
        'peers_address': f'{ip}:7600',
        'callers_address': f'{ip}:80',
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
