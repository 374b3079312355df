"""Sends orders to model engines and reads their reports.

An order states the desired state of the engine and the fencing number of
the lease under which it is sent.
"""

import msgspec

from guavachute.clients import cloud_client
from guavachute.decide.fleet import placement
from guavachute import ids
from guavachute import outcome

READ_TIMEOUT_S = 2.0


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The report of an engine; it is ``age_s`` old when it is sent."""

    models: list[str] = []
    running: int = 0
    queued: int = 0
    slots: int = 0
    generated_tokens: int = 0
    age_s: float = 0.0


class _Wish(msgspec.Struct, frozen=True):
    models: list[str]
    adapters: list[str]
    version: str
    role: str


class _Order(msgspec.Struct, frozen=True):
    fencing_number: ids.Offset
    wish: _Wish


def fetch_load(address: ids.Address) -> Load | outcome.Failure:
    """Fetch the report of the engine at *address*."""
    client = cloud_client.JsonClient(address, READ_TIMEOUT_S)
    try:
        return client.send('GET', '/v1/load', Load)
    finally:
        client.close()


def send_order(
    address: ids.Address,
    desired: placement.DesiredState,
    fencing_number: ids.Offset,
) -> outcome.Failure | None:
    """Send the engine at *address* its desired state.

    The failure is ``SUPERSEDED`` if the engine has seen a newer fencing
    number. An engine that ignores the number accepts any order; as each
    order contains the complete desired state, the next order of the
    lease holder corrects that.
    """
    client = cloud_client.JsonClient(address, READ_TIMEOUT_S)
    body = _Order(
        fencing_number,
        _Wish(
            [desired.model],
            list(desired.adapters),
            desired.version,
            desired.role.value,
        ),
    )
    try:
        found = client.send('POST', '/v1/orders', object, body)
    finally:
        client.close()
    if not isinstance(found, outcome.Failure):
        return None
    if found.reason is outcome.Reason.CONFLICT:
        return outcome.Failure(outcome.Reason.SUPERSEDED, found.detail)
    return found
