"""Latency, traffic and folding rate of the control stream.

Measures the time from the publication of a document until each node has
it in force. All tasks run in one process, so the times include waiting
for the interpreter lock; they are upper bounds that grow with the number
of nodes.
"""

import argparse
import contextlib
import dataclasses
import random
import statistics
import time
import typing

import msgspec

from guavachute.clients import log_client
from guavachute.clients import log_source
from guavachute.decide.control import control_reader
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import kernel
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.services import log_follower
from guavachute.services import log_relay
from guavachute.services import log_relay_source
from guavachute.services import peer_connection
from guavachute.standin import log_service
from guavachute.wire import records

KEY = b'the key of the bench'
ENVIRONMENT = ids.EnvironmentName('trial')
DOCUMENT_BYTES = 20_000
TIMEOUT_S = 30.0
REST_S = 5.0
SETTLE_S = 1.0
FOLDED_RECORDS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Topology:
    """How many nodes follow the log, and from what.

    :ivar fan_out: children of each relay; with 0 all nodes read the log
    """

    nodes: int
    fan_out: int


@dataclasses.dataclass(slots=True)
class Node:
    """One node's follower, the mailbox of its updates and its counters."""

    follower: log_follower.LogFollower
    box: mailbox.Mailbox
    counters: counters.Counters


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The figures of one topology.

    :ivar in_force_ms: sorted; for each change and node, from publication
        until in force
    :ivar change_bytes: received by a node for one change
    :ivar rest_bytes_per_s: received by a node without changes
    """

    in_force_ms: list[float]
    change_bytes: float
    rest_bytes_per_s: float


@contextlib.contextmanager
def fleet(
    topology: Topology, log: log_service.LogService
) -> typing.Iterator[list[Node]]:
    """Run the followers of *topology* until the end of the block.

    With a fan-out the first node reads the log, the others a relay.
    """
    hosting = kernel.Kernel()
    nodes: list[Node] = []
    relays: list[log_relay.LogRelay] = []
    for number in range(topology.nodes):
        own = counters.Counters()
        identity = peer_connection.Identity('bench', f'n{number}', (KEY,))
        source: log_source.Source
        if number and topology.fan_out:
            parent = relays[(number - 1) // topology.fan_out]
            source = log_relay_source.RelaySource(parent.address, identity)
        else:
            client = log_client.LogClient(log.address, own, random.Random(1))
            source = log_source.LogSource(client)
        follower = log_follower.LogFollower(
            f'follower-{number}', [source], own, random.Random(number)
        )
        box = mailbox.Mailbox()
        follower.subscribe(box)
        relays.append(
            log_relay.LogRelay(
                f'relay-{number}', '127.0.0.1', 0, identity, follower, own
            )
        )
        hosting.add(follower)
        hosting.add(relays[-1])
        nodes.append(Node(follower, box, own))
    with hosting.running():
        yield nodes


def publish(
    client: log_client.LogClient, number: int, supersedes: ids.Offset
) -> ids.Offset:
    """Append a document of ``DOCUMENT_BYTES`` and return its offset."""
    change = records.ConfigurationChange(
        record_id=ids.RecordId(f'change-{number}'),
        environment=ENVIRONMENT,
        supersedes_offset=supersedes,
        document={'number': number, 'text': 'x' * DOCUMENT_BYTES},
        digest=ids.Digest(f'digest-{number}'),
        author='bench',
    )
    result = client.append(
        records.CONTROL_STREAM, [change], time.monotonic() + TIMEOUT_S
    )
    assert isinstance(result, log_client.Appended), result
    return result.first_offset


def wait_until_in_force(node: Node, offset: ids.Offset) -> float:
    """Wait until the node has *offset* in force.

    Returns when that was, by ``clock.now_s``.
    """
    while True:
        update = node.box.receive(TIMEOUT_S)
        assert update is not None, f'{offset} did not arrive'
        if (
            isinstance(update, log_follower.ControlUpdate)
            and update.state.through_offset >= offset
        ):
            return update.received_s


@contextlib.contextmanager
def _client(
    log: log_service.LogService,
) -> typing.Iterator[log_client.LogClient]:
    with log_client.connected(
        log.address, counters.Counters(), random.Random(1)
    ) as client:
        yield client


def received_bytes(nodes: list[Node]) -> float:
    """Return the bytes that all nodes have received so far.

    They are the bodies of the log's answers and all bytes that relays
    sent, without HTTP and TCP headers.
    """
    names = ('log.read_bytes', 'log_relay.sent_bytes')
    return sum(node.counters.value(name) for node in nodes for name in names)


def measure(topology: Topology, changes: int) -> Result:
    """Publish *changes* documents one after the other and measure them."""
    log = log_service.LogService()
    log.start()
    spans_ms: list[float] = []
    with fleet(topology, log) as nodes, _client(log) as client:
        offset = publish(client, 0, records.NO_OFFSET)
        for node in nodes:
            wait_until_in_force(node, offset)
        time.sleep(SETTLE_S)
        before = received_bytes(nodes)
        for number in range(1, changes + 1):
            # The span starts before the append, because the log accepts
            # the change at an unknown time during the call.
            start_s = clock.now_s()
            offset = publish(client, number, offset)
            for node in nodes:
                in_force_s = wait_until_in_force(node, offset)
                spans_ms.append((in_force_s - start_s) * 1000)
        time.sleep(SETTLE_S)
        change_bytes = (received_bytes(nodes) - before) / changes / len(nodes)
        before = received_bytes(nodes)
        time.sleep(REST_S)
        rest_bytes = (received_bytes(nodes) - before) / REST_S / len(nodes)
    log.request_stop()
    log.join(TIMEOUT_S)
    return Result(sorted(spans_ms), change_bytes, rest_bytes)


def folded_per_s() -> float:
    """Measure how many lease renewals a process folds per second."""
    entries = []
    for offset in range(FOLDED_RECORDS):
        renewal = records.LeaseRecord(
            record_id=ids.RecordId(f'lease-{offset:024}'),
            name='fleet/perth-a',
            holder='vm-12-0123456789abcdef',
            supersedes_offset=ids.Offset(offset - 1),
            duration_s=15.0,
        )
        entries.append(
            records.Entry(ids.Offset(offset), msgspec.to_builtins(renewal))
        )
    reader = control_reader.ControlReader(records.ControlState())
    start_s = time.perf_counter()
    reader.fold_entries(entries)
    return FOLDED_RECORDS / (time.perf_counter() - start_s)


def main() -> None:
    """Print a row for each topology and the folding rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=30)
    parser.add_argument('--nodes', type=int, nargs='*', default=[3, 9, 30])
    arguments = parser.parse_args()
    print(f'{arguments.changes} documents of {DOCUMENT_BYTES} bytes each')
    print(
        'nodes  way            in force, ms: median     p95     max'
        '  bytes/change  bytes/s at rest'
    )
    for count in arguments.nodes:
        for label, fan_out in (('all read', 0), ('relays of 3', 3)):
            found = measure(Topology(count, fan_out), arguments.changes)
            spans = found.in_force_ms
            print(
                f'{count:5}  {label:14} {statistics.median(spans):20.1f}'
                f' {spans[int(len(spans) * 0.95)]:7.1f} {spans[-1]:7.1f}'
                f' {found.change_bytes:13.0f} {found.rest_bytes_per_s:16.0f}',
                flush=True,
            )
    print(f'records decoded and folded per second: {folded_per_s():.0f}')


if __name__ == '__main__':
    main()
