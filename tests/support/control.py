"""Helpers for tests of the control stream and of its services."""

import contextlib
import random
import unittest

import msgspec

from guavachute.clients import log_client
from guavachute.clients import log_source
from guavachute.decide.control import control_log
from guavachute import ids
from guavachute.kernel import kernel
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.services import leases
from guavachute.services import log_follower
from guavachute.services import log_relay
from guavachute.services import log_relay_source
from guavachute.services import log_writer
from guavachute.services import peer_connection
from guavachute.standin import faults
from guavachute.standin import log_service
from guavachute.wire import records
from tests.support import hosting
from tests.support import waiting

LONG_S = 20.0
KEY = b'shared key of the test'


def change(number: int, supersedes: int) -> records.ConfigurationChange:
    """A change that puts the document *number* in force."""
    return records.ConfigurationChange(
        record_id=ids.RecordId(f'change-{number}'),
        environment=ids.EnvironmentName('trial'),
        supersedes_offset=ids.Offset(supersedes),
        document={'number': number},
        digest=ids.Digest(f'digest-{number}'),
        author='tester',
    )


def snapshot_of(*folded: records.ControlRecord) -> records.Snapshot:
    """The snapshot of a log that begins with *folded*."""
    state = records.ControlState()
    for offset, record in enumerate(folded):
        state, _ = control_log.fold(state, ids.Offset(offset), record)
    return records.Snapshot(record_id=ids.RecordId('snapshot'), state=state)


class LogTest(unittest.TestCase):
    """Base class of tests that run a log service and tasks following it."""

    def setUp(self) -> None:
        self.log = hosting.host(self, log_service.LogService())
        self.kernel = kernel.Kernel()
        self.counters = counters.Counters()
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def append(self, *appended: msgspec.Struct) -> None:
        """Append to the control stream without a fault."""
        self.log.append(
            records.CONTROL_STREAM,
            [msgspec.to_builtins(record) for record in appended],
        )

    def fault(self, *kinds: faults.Kind, count: int = 1) -> None:
        """Inject *kinds* into the next appends, *count* times each."""
        for kind in kinds:
            self.log.faults.add(
                faults.Fault(
                    path_prefix='/v1/streams',
                    method='POST',
                    kind=kind,
                    count=count,
                )
            )

    def client(self) -> log_client.LogClient:
        """A log client for one task, closed when the test ends."""
        return self.stack.enter_context(
            log_client.connected(
                self.log.address, self.counters, random.Random(1)
            )
        )

    def follow(
        self,
        *sources: log_source.Source,
        peers: tuple[log_source.Source, ...] = (),
    ) -> log_follower.LogFollower:
        """A follower of *sources*, or of the log itself without any."""
        follower = log_follower.LogFollower(
            f'follower-{random.random()}',
            sources or [log_source.LogSource(self.client())],
            self.counters,
            random.Random(1),
            peers,
        )
        self.kernel.add(follower)
        return follower

    def contend(
        self, holder: str, duration_s: float
    ) -> tuple[leases.Leases, log_writer.LogWriter]:
        """The tasks of a process that contends for the lease ``duty``."""
        follower = self.follow()
        writer = log_writer.LogWriter(f'writer-{holder}', self.client())
        service = leases.Leases(
            f'leases-{holder}', holder, follower, writer, self.counters
        )
        self.kernel.add(writer)
        self.kernel.add(service)
        service.contend('duty', duration_s)
        return service, writer

    def relay(
        self, follower: log_follower.LogFollower, key: bytes = KEY
    ) -> log_relay.LogRelay:
        """A relay of what *follower* reads."""
        service = log_relay.LogRelay(
            f'relay-{random.random()}',
            '127.0.0.1',
            0,
            identity('relay', key),
            follower,
            self.counters,
        )
        self.kernel.add(service)
        return service

    def run_all(self) -> None:
        """Start the tasks; they stop when the test ends."""
        self.stack.enter_context(self.kernel.running())


def identity(node: str, key: bytes = KEY) -> peer_connection.Identity:
    """The identity with which *node* authenticates to its peers."""
    return peer_connection.Identity('test', node, (key,))


def source_of(
    service: log_relay.LogRelay, key: bytes = KEY
) -> log_relay_source.RelaySource:
    """A source that reads from the relay *service*."""
    return log_relay_source.RelaySource(
        service.address, identity('follower', key)
    )


class UpdateCollector:
    """Collects the updates that a follower sends to a subscriber."""

    def __init__(self, follower: log_follower.LogFollower) -> None:
        self._box = mailbox.Mailbox()
        self.updates: list[log_follower.ControlUpdate] = []
        follower.subscribe(self._box)

    def read(self) -> None:
        """Collect the updates received since the last call."""
        self.updates += [
            message
            for message in self._box.drain()
            if isinstance(message, log_follower.ControlUpdate)
        ]

    def wait_for(self, number: int) -> log_follower.ControlUpdate:
        """Wait for the first update in which document *number* is in force."""

        def found() -> list[log_follower.ControlUpdate]:
            self.read()
            return [u for u in self.updates if number_in(u.state) == number]

        return waiting.until(found, f'document {number}')[0]


def number_in(state: records.ControlState) -> int | None:
    """The number of the :func:`change` document in force; None for none."""
    head = state.configurations.get(ids.EnvironmentName('trial'))
    return None if head is None else head.document['number']
