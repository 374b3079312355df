"""Reads the log and the cloud for the commands about the fleet."""

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


def read_control_state(
    settings: operator_settings.OperatorSettings,
) -> records.ControlState:
    """Read and fold the control stream; ends the program on failure."""
    client = log_client.LogClient(
        settings.log_address, counters.Counters(), random.Random()
    )
    start = log_source.find_start(client, records.CONTROL_STREAM)
    client.close()
    if isinstance(start, outcome.Failure):
        process.fail(f'cannot read the log at {settings.log_address}: {start}')
    state = start.state
    for entry in start.entries:
        record = records.parse(entry.record)
        known = None if isinstance(record, outcome.Failure) else record
        state, _ = control_log.fold(state, entry.offset, known)
    return state


def create_cloud_client(
    settings: operator_settings.OperatorSettings,
) -> cloud_client.CloudClient:
    """Create a client of the cloud's API.

    Ends the program if the settings have no address of it.
    """
    if settings.cloud_address is None:
        process.fail('the settings have no cloud_address', process.EXIT_USAGE)
    return cloud_client.CloudClient(settings.cloud_address)


Answer = typing.TypeVar('Answer')


def require_answer(found: Answer | outcome.Failure) -> Answer:
    """Return the cloud's answer; ends the program if it is a failure."""
    if isinstance(found, outcome.Failure):
        process.fail(f'the call to the cloud API failed: {found}')
    return found


def list_vms(
    client: cloud_client.CloudClient,
) -> list[purchases.ListedVm]:
    """Return all VMs that the cloud lists; ends the program on failure."""
    return require_answer(client.vms())
