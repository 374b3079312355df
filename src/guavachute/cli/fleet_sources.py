"""What the commands about the fleet read: the log and the cloud."""

import random
import typing

from guavachute.cli import operator_settings
from guavachute.cli import process
from guavachute.clients import cloud_client
from guavachute.clients import log_client
from guavachute.clients import log_source
from guavachute.decide.control import control_log
from guavachute.decide.fleet import purchases
from guavachute.observe import counters
from guavachute import outcome
from guavachute.wire import records


def control_state(
    wanted: operator_settings.OperatorSettings,
) -> records.ControlState:
    """The fold of the control stream; ends the program on failure."""
    client = log_client.LogClient(
        wanted.log_address, counters.Counters(), random.Random()
    )
    start = log_source.find_start(client, records.CONTROL_STREAM)
    client.close()
    if isinstance(start, outcome.Failure):
        process.fail(f'the log at {wanted.log_address}: {start}')
    state = start.state
    for entry in start.entries:
        record = records.parse(entry.record)
        known = None if isinstance(record, outcome.Failure) else record
        state, _ = control_log.fold(state, entry.offset, known)
    return state


def cloud(
    wanted: operator_settings.OperatorSettings,
) -> cloud_client.CloudClient:
    """The cloud's client; ends the program without its address."""
    if wanted.cloud_address is None:
        process.fail('the settings lack cloud_address', process.EXIT_USAGE)
    return cloud_client.CloudClient(wanted.cloud_address)


Found = typing.TypeVar('Found')


def answered(found: Found | outcome.Failure) -> Found:
    """What the cloud answered; ends the program when it didn't."""
    if isinstance(found, outcome.Failure):
        process.fail(f'the cloud API: {found}')
    return found


def listed(
    client: cloud_client.CloudClient,
) -> list[purchases.ListedVm]:
    """All VMs; ends the program on failure."""
    return answered(client.vms())
