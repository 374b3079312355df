"""Identifiers, each with its own type, so that they can't be confused."""

import secrets
import typing

Address = typing.NewType('Address', str)
"""``IP:PORT``, numeric."""

AttemptId = typing.NewType('AttemptId', str)
"""One attempt of one request at one endpoint."""

Digest = typing.NewType('Digest', str)
"""Hexadecimal SHA-256 of a document or of an API key."""

CrashId = typing.NewType('CrashId', int)
"""Hash of the incarnation of an endpoint that crashed; the same on all nodes.
"""

EndpointId = typing.NewType('EndpointId', str)
"""An endpoint; equal to the id of its VM."""

BuildName = typing.NewType('BuildName', str)
"""The version of an endpoint's software, not of its weights."""

EnvironmentName = typing.NewType('EnvironmentName', str)
FailureDomain = typing.NewType('FailureDomain', str)

LogPosition = typing.NewType('LogPosition', int)
"""The place of a record in a topic of the platform's store, over all eras of
the store; see :mod:`guavachute.domain.log_position`."""

ModelName = typing.NewType('ModelName', str)

NodeId = typing.NewType('NodeId', str)
"""An entry node; equal to the id of its VM."""

Offset = typing.NewType('Offset', int)
"""The position of a record in a stream of the platform's log, from 0."""

PoolName = typing.NewType('PoolName', str)
RecordId = typing.NewType('RecordId', str)
Region = typing.NewType('Region', str)
RequestId = typing.NewType('RequestId', str)
StreamKey = typing.NewType('StreamKey', int)
"""A hash of the attempt that began a stream, of 64 bits."""

StoreEra = typing.NewType('StoreEra', int)
"""How often the platform's store has lost its latest records; grows by one
each time."""

ServiceName = typing.NewType('ServiceName', str)
VmId = typing.NewType('VmId', str)
WorkspaceName = typing.NewType('WorkspaceName', str)

RANDOM_ID_BYTES = 12


def new_random_id(prefix: str) -> str:
    """A globally unique random id.

    :param prefix: names the kind of id
    """
    return f'{prefix}-{secrets.token_hex(RANDOM_ID_BYTES)}'
