"""Identifiers, each a type of its own so that they can't be mixed up."""

import secrets
import typing

Address = typing.NewType('Address', str)
"""``IP:PORT``, numeric."""

AttemptId = typing.NewType('AttemptId', str)
"""One try of one request at one endpoint."""

Digest = typing.NewType('Digest', str)
"""Hexadecimal SHA-256 of a document or of an API key."""

EndpointId = typing.NewType('EndpointId', str)
"""An endpoint; equal to the id of the VM that carries it."""

EnvironmentName = typing.NewType('EnvironmentName', str)
FailureDomain = typing.NewType('FailureDomain', str)
ModelName = typing.NewType('ModelName', str)

NodeId = typing.NewType('NodeId', str)
"""An entry VM; equal to its VM id."""

Offset = typing.NewType('Offset', int)
"""A place in a stream of the platform's log, counted from 0."""

PoolName = typing.NewType('PoolName', str)
RecordId = typing.NewType('RecordId', str)
Region = typing.NewType('Region', str)
RequestId = typing.NewType('RequestId', str)
ServiceName = typing.NewType('ServiceName', str)
VmId = typing.NewType('VmId', str)
WorkspaceName = typing.NewType('WorkspaceName', str)

RANDOM_ID_BYTES = 12


def new_random_id(prefix: str) -> str:
    """An id that no other process makes; *prefix* names its kind."""
    return f'{prefix}-{secrets.token_hex(RANDOM_ID_BYTES)}'
