"""Test environment for a fleet: an in-memory log and a stand-in cloud."""

import contextlib
import random
import threading
import time
import typing

import msgspec

from guavachute.clients import cloud_client
from guavachute.clients import vm_list
from guavachute.decide.control import control_log
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute import outcome
from guavachute.services.fleet import cloud_worker
from guavachute.services.fleet import messages
from guavachute.services.fleet import task as fleet_task
from guavachute.services import log_follower
from guavachute.services import log_writer
from guavachute.services import vm_watch
from guavachute.standin import cloud
from guavachute.standin import cloud_ledger
from guavachute.wire import records

ENVIRONMENT = ids.EnvironmentName('trial')
LEASE_NAME = fleet_task.lease_name(ENVIRONMENT)
ENTRY_VMS = ('node-1', 'node-2')
DOMAINS = ('perth-a', 'perth-b', 'bunbury-a')
VM_COUNT = 6
SPEED = 40.0
"""How many times faster the decisions' clock runs than the real one."""

MARKETS: tuple[tuple[cloud_ledger.Market, float], ...] = (
    ('reclaimable', 100.0),
    ('on-demand', 300.0),
)
DOCUMENT: dict[str, typing.Any] = {
    'models': {'needle': {'pool': 'needle', 'minimum_endpoints': VM_COUNT}},
    'services': {},
    'workspaces': {},
    'pools': {'needle': {'kind': 'model', 'machine_classes': ['a10x8']}},
}


class Clock:
    """The clock of the decisions, which a test can advance."""

    def __init__(self) -> None:
        self._skipped_s = 0.0

    def now(self) -> float:
        """The present time in seconds of this clock."""
        return time.monotonic() * SPEED + self._skipped_s

    def skip(self, duration_s: float) -> None:
        """Advance the clock by *duration_s* at once."""
        self._skipped_s += duration_s


CLOCK = Clock()
now = CLOCK.now


class MemoryLog:
    """The control stream and its fold, published to all followers.

    :ivar down: appends fail without effect
    :ivar lose_answers: how many of the next appends take effect but
        report a lost answer
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.state = records.ControlState()
        self.down = False
        self.lose_answers = 0
        self._followers: list[mailbox.Mailbox] = []

    def follow(self, follower: mailbox.Mailbox) -> None:
        """Send the present state, and each later one, to *follower*."""
        with self._lock:
            self._followers.append(follower)
            follower.send(self._update())

    def handle_append(self, request: log_writer.Append) -> None:
        """Handle an append request as the log writer does."""
        failure = self.append([request.record])
        result = failure or ids.Offset(0)
        assert request.reply_to is not None
        request.reply_to.send(
            log_writer.AppendEnded(request.record_id, result)
        )

    def append(
        self, written: typing.Sequence[msgspec.Struct]
    ) -> outcome.Failure | None:
        """Append records; the failure says whether they took effect."""
        with self._lock:
            if self.down:
                return outcome.Failure(outcome.Reason.UNAVAILABLE, 'down')
            for record in written:
                # Encoded as JSON and back, as in the log.
                raw = msgspec.json.decode(msgspec.json.encode(record))
                parsed = records.parse(raw)
                assert not isinstance(parsed, outcome.Failure), parsed
                offset = ids.Offset(self.state.through_offset + 1)
                self.state, _ = control_log.fold(self.state, offset, parsed)
            for follower in self._followers:
                follower.send(self._update())
            if self.lose_answers:
                self.lose_answers -= 1
                return outcome.Failure(outcome.Reason.LOST_ANSWER, 'lost')
        return None

    def take_lease(self, holder: str) -> messages.HeldLease:
        """Make *holder* the lease holder, whoever held it before."""
        head = self.state.leases.get(LEASE_NAME)
        self.append(
            [
                records.LeaseRecord(
                    record_id=ids.RecordId(ids.new_random_id('lease')),
                    name=LEASE_NAME,
                    holder=holder,
                    supersedes_offset=control_log.offset_of(head),
                    duration_s=10.0,
                )
            ]
        )
        acquired = self.state.leases[LEASE_NAME]
        return messages.HeldLease(
            LEASE_NAME, acquired.term_offset, acquired.offset
        )

    def publish(self, document: dict[str, typing.Any]) -> None:
        """Put *document* in force."""
        head = self.state.configurations.get(ENVIRONMENT)
        self.append(
            [
                records.ConfigurationChange(
                    record_id=ids.RecordId(ids.new_random_id('change')),
                    environment=ENVIRONMENT,
                    supersedes_offset=control_log.offset_of(head),
                    document=document,
                    digest=ids.Digest(''),
                    author='test',
                )
            ]
        )

    def _update(self) -> log_follower.ControlUpdate:
        return log_follower.ControlUpdate(self.state, (), now(), now())


class _LogHeartbeat(task.Task):
    """Reports to a follower that the log is reachable, while it is up."""

    def __init__(self, log: MemoryLog, follower: mailbox.Mailbox) -> None:
        super().__init__('heart')
        self._log = log
        self._follower = follower

    def run(self) -> None:
        """Send reports until stopped."""
        while not self.stopping.wait(0.05):
            if not self._log.down:
                self._follower.send(log_follower.LogContact(now()))


def _entry_vms() -> vm_watch.VmsSeen:
    entries = [
        vm_list.Vm(
            vm=name,
            address='127.0.0.1:1',
            failure_domain='perth-a',
            region='perth',
            pool='entry',
            kind=vm_list.VmKind.ENTRY,
        )
        for name in ENTRY_VMS
    ]
    return vm_watch.VmsSeen(tuple(entries), now())


class Node:
    """The fleet tasks of one node.

    :ivar held: the lease that this node believes it holds; None without
    """

    def __init__(
        self,
        log: MemoryLog,
        address: str,
        name: str = 'node-1',
        read_timeout_s: float = 1.0,
        workers: int = 3,
        store_bytes_per_s: float = 1e12,
    ) -> None:
        self.held: messages.HeldLease | None = None
        self.counters = counters.Counters()
        self.engine_box = mailbox.Mailbox()
        self._worker_tasks: list[task.Task] = []
        boxes = []
        for number in range(workers):
            worker = cloud_worker.CloudWorker(
                f'{name}-worker-{number}',
                cloud_client.CloudClient(address, read_timeout_s),
                lambda: self.held,
                self.counters,
            )
            self._worker_tasks.append(worker)
            boxes.append(worker.mailbox)
        self.fleet = fleet_task.Fleet(
            fleet_task.FleetSettings(
                ENVIRONMENT, ids.NodeId(name), store_bytes_per_s, 0.05
            ),
            cloud_client.CloudClient(address, read_timeout_s),
            log.handle_append,
            lambda: self.held,
            boxes,
            self.engine_box,
            self.counters,
            random.Random(name),
            now,
            name,
        )
        self._heartbeat = _LogHeartbeat(log, self.fleet.mailbox)
        log.follow(self.fleet.mailbox)
        self.fleet.mailbox.send(_entry_vms())

    @contextlib.contextmanager
    def running(self) -> typing.Iterator['Node']:
        """Run the tasks, and stop them at the end."""
        tasks = [self._heartbeat, self.fleet, *self._worker_tasks]
        for each in tasks:
            each.start()
        try:
            yield self
        finally:
            for each in tasks:
                each.request_stop()
            for each in tasks:
                each.join(10)


def offers(
    dear: str = '', full: tuple[tuple[str, str], ...] = ()
) -> list[cloud_ledger.Offer]:
    """Offers of both markets in each domain.

    :param dear: a failure domain with nine times the prices
    :param full: (failure domain, market) pairs that refuse orders
    """
    return [
        cloud_ledger.Offer(
            failure_domain=domain,
            region=domain[:-2],
            machine_class='a10x8',
            market=how,
            price_cents_per_hour=price * (9 if domain == dear else 1),
            capacity=0 if (domain, how) in full else -1,
        )
        for domain in DOMAINS
        for how, price in MARKETS
    ]


@contextlib.contextmanager
def cloud_running(
    machines: cloud.Machines | None = None,
) -> typing.Iterator[cloud.Cloud]:
    """A running stand-in cloud with the default offers."""
    service = cloud.Cloud(machines=machines)
    service.set_offers(offers())
    service.start()
    try:
        yield service
    finally:
        service.request_stop()
        service.join(10)


def names(service: cloud.Cloud) -> list[str]:
    """Sorted names of the running VMs."""
    return sorted(vm.name for vm in service.running())


def is_settled(log: MemoryLog, service: cloud.Cloud, expected: range) -> bool:
    """Whether log and cloud agree and the number of VMs is in *expected*."""
    state = log.state
    owned = {name: each.vm for name, each in state.owned_purchases.items()}
    running = {vm.name: vm.vm for vm in service.running()}
    return (
        not state.open_purchases
        and len(service.running()) == len(running)
        and len(running) in expected
        and owned == running
    )
