"""``guavachute publish`` and ``promote``: bring a document into force."""

import dataclasses
import functools
import pathlib
import random
import time
import typing

import cappa

from guavachute.cli import arguments
from guavachute.cli import operator_settings
from guavachute.cli import process
from guavachute.cli import validate
from guavachute.clients import configuration
from guavachute.clients import in_force
from guavachute.clients import log_client
from guavachute.clients import node_client
from guavachute import ids
from guavachute.observe import counters
from guavachute import outcome
from guavachute.wire import status

DIGEST_CHARACTERS = 12

Wait = typing.Annotated[
    bool,
    cappa.Arg(long=True, help='Wait until it is in force on all nodes.'),
]
Limit = typing.Annotated[
    float, cappa.Arg(long=True, help='The timeout in seconds.')
]


@cappa.command(name='publish', help='Bring a document into force.')
@dataclasses.dataclass
class PublishCommand:
    """Bring a document into force unless another one is published first."""

    file: pathlib.Path
    environment: arguments.Environment
    settings: arguments.SettingsPath = None
    wait: Wait = False
    limit_s: Limit = configuration.TIMEOUT_S
    record_id: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='Resume an undecided publish.'),
    ] = None
    supersedes: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True, help='Publish only if this configuration is in force.'
        ),
    ] = None

    def __call__(self) -> int:
        """Run the command and return the exit status."""
        checked = validate.load_document(self.file)
        settings = operator_settings.load(self.settings)
        change = configuration.Change(
            environment=ids.EnvironmentName(self.environment),
            document=checked.raw,
            digest=checked.digest,
            author=settings.author,
            supersedes_offset=_offset(self.supersedes),
            record_id=_record_id(self.record_id),
        )
        deadline_s = time.monotonic() + self.limit_s
        with _connected(settings) as client:
            result = configuration.publish(client, change, deadline_s)
        return _print_result(
            result, settings, self.environment, self.wait, deadline_s
        )


@cappa.command(
    name='promote', help='Bring the document of one environment into another.'
)
@dataclasses.dataclass
class PromoteCommand:
    """Bring the document in force in one environment into another."""

    source: typing.Annotated[
        str, cappa.Arg(long='--from', help='The environment to promote from.')
    ]
    target: typing.Annotated[
        str, cappa.Arg(long='--to', help='The environment to promote to.')
    ]
    settings: arguments.SettingsPath = None
    wait: Wait = False
    limit_s: Limit = configuration.TIMEOUT_S

    def __call__(self) -> int:
        """Run the command and return the exit status."""
        settings = operator_settings.load(self.settings)
        deadline_s = time.monotonic() + self.limit_s
        with _connected(settings) as client:
            result = configuration.promote(
                client,
                ids.EnvironmentName(self.source),
                ids.EnvironmentName(self.target),
                settings.author,
                deadline_s,
            )
        return _print_result(
            result, settings, self.target, self.wait, deadline_s
        )


def _connected(
    settings: operator_settings.OperatorSettings,
) -> typing.ContextManager[log_client.LogClient]:
    return log_client.connected(
        settings.log_address, counters.Counters(), random.Random()
    )


def _offset(number: int | None) -> ids.Offset | None:
    return None if number is None else ids.Offset(number)


def _record_id(text: str | None) -> ids.RecordId | None:
    return None if text is None else ids.RecordId(text)


def _print_result(
    result: configuration.PublishResult,
    settings: operator_settings.OperatorSettings,
    environment: str,
    wait: bool,
    deadline_s: float,
) -> int:
    if not isinstance(result, configuration.Accepted):
        process.fail(explain(result))
    shown = result.digest[:DIGEST_CHARACTERS]
    print(f'{environment}: configuration {result.offset}, digest {shown}')
    if result.unchanged:
        print('it was already in force; nothing was published')
    if result.superseded_by is not None:
        print(f'configuration {result.superseded_by.offset} has superseded it')
    if not wait:
        return 0
    return _wait_until_in_force(
        settings, environment, result.offset, deadline_s
    )


@functools.singledispatch
def explain(result: typing.Any) -> str:
    """Return one line that says why a document did not come into force."""
    raise AssertionError(f'unexpected result {result!r}')


@explain.register
def _(result: configuration.LostRace) -> str:
    if result.head is None:
        return 'not published: the configuration to supersede does not exist'
    return (
        f'not published: {result.head.author} was first with configuration '
        f'{result.head.offset}, digest '
        f'{result.head.digest[:DIGEST_CHARACTERS]}'
    )


@explain.register
def _(result: configuration.NotPublished) -> str:
    return f'not published: {result.failure}'


@explain.register
def _(result: configuration.Undecided) -> str:
    return (
        f'undecided: it may still be published ({result.failure}); to find '
        f'out, repeat the command with --record-id {result.record_id} '
        f'--supersedes {result.supersedes_offset}'
    )


def _wait_until_in_force(
    settings: operator_settings.OperatorSettings,
    environment: str,
    offset: ids.Offset,
    deadline_s: float,
) -> int:
    addresses = settings.nodes.get(environment, [])
    fetch_reports = functools.partial(node_reports, addresses)
    found = in_force.wait_in_force(fetch_reports, offset, deadline_s)
    if isinstance(found, outcome.Failure):
        process.fail(f'accepted, but no node reports its status: {found}')
    total = len(found.nodes) + len(found.missing)
    print(f'in force on {len(found.nodes)} of {total} nodes')
    if found.missing:
        process.fail(f'not in force on: {", ".join(found.missing)}')
    return 0


def node_reports(
    addresses: list[str],
) -> list[in_force.NodeReport] | outcome.Failure:
    """Return the reports on all nodes from the first node that answers.

    Returns the failure of the last node if none answers.
    """
    reply: status.StatusReply | outcome.Failure
    reply = outcome.Failure(
        outcome.Reason.NOT_FOUND, 'the settings name no node to query'
    )
    for address in addresses:
        reply = node_client.fetch_status(address)
        if not isinstance(reply, outcome.Failure):
            return _to_node_reports(reply)
    return reply


def _to_node_reports(
    reply: status.StatusReply,
) -> list[in_force.NodeReport]:
    local = [
        in_force.NodeReport(
            ids.NodeId(one.node),
            ids.Offset(one.offset),
            ids.Digest(one.digest),
        )
        for one in reply.nodes
    ]
    # For other failure domains a node knows only how many nodes have
    # which configuration.
    remote = [
        in_force.NodeReport(
            ids.NodeId(f'a node of {domain.failure_domain}'),
            ids.Offset(one.offset),
            ids.Digest(''),
        )
        for domain in reply.domains
        for one in domain.in_force
        for _ in range(one.nodes)
    ]
    return local + remote
