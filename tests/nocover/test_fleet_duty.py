"""The fleet duties of two nodes with real leases and clients.

The tests guard against VMs that are bought twice or lost when the lease
holder dies between two steps of a purchase.
"""

import contextlib
import random
import typing
import unittest

import msgspec

from guavachute.assembly import fleet as assembly
from guavachute.clients import log_client
from guavachute.clients import log_source
from guavachute.decide.control import control_log
from guavachute import ids
from guavachute.observe import counters
from guavachute import outcome
from guavachute.services import leases
from guavachute.services import log_follower
from guavachute.services import log_writer
from guavachute.standin import faults
from guavachute.standin import log_service
from guavachute.wire import records
from tests.support import fleet
from tests.support import hosting
from tests.support import waiting

LEASE_S = 3.0


class Duty:
    """All tasks of one node that the fleet duty needs."""

    def __init__(self, name: str, log: str, cloud: str) -> None:
        self.counters = counters.Counters()
        jitter = random.Random(name)

        def client() -> log_client.LogClient:
            return log_client.LogClient(log, self.counters, jitter)

        self.writer = log_writer.LogWriter(f'{name}-writer', client())
        self.follower = log_follower.LogFollower(
            f'{name}-follower',
            [log_source.LogSource(client())],
            self.counters,
            jitter,
        )
        self.leases = leases.Leases(
            f'{name}-leases',
            name,
            self.follower,
            self.writer,
            self.counters,
        )
        self.duty = assembly.FleetDuty(
            assembly.FleetSettings(
                cloud_address=cloud, lease_s=LEASE_S, round_s=0.1
            ),
            fleet.ENVIRONMENT,
            ids.NodeId(name),
            self.leases,
            self.writer,
            self.follower,
            self.counters,
            jitter,
        )
        self._stopped = False

    def start(self) -> None:
        """Start all tasks."""
        for each in self._tasks():
            each.start()

    def kill(self) -> None:
        """Stop all tasks; the writer first, so that no lease is released."""
        if self._stopped:
            return
        self._stopped = True
        tasks = self._tasks()
        for each in tasks:
            each.request_stop()
        for each in tasks:
            each.join(20)

    def _tasks(self) -> list[typing.Any]:
        return [self.writer, self.follower, self.leases, *self.duty.tasks]


class FleetDutyTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.stack = stack
        self.cloud = stack.enter_context(fleet.cloud_running())
        self.log = hosting.host(self, log_service.LogService())
        change = records.ConfigurationChange(
            record_id=ids.RecordId('change'),
            environment=fleet.ENVIRONMENT,
            supersedes_offset=records.NO_OFFSET,
            document=fleet.DOCUMENT,
            digest=ids.Digest(''),
            author='test',
        )
        self.log.append(records.CONTROL_STREAM, [msgspec.to_builtins(change)])

    def run_duty(self, name: str) -> Duty:
        duty = Duty(name, self.log.address, self.cloud.address)
        duty.start()
        self.stack.callback(duty.kill)
        return duty

    def state(self) -> records.ControlState:
        """Fold the log's records, read directly from the stand-in."""
        state = records.ControlState()
        for offset, plain in enumerate(
            self.log.records(records.CONTROL_STREAM)
        ):
            record = records.parse(plain)
            assert not isinstance(record, outcome.Failure), record
            state, _ = control_log.fold(state, ids.Offset(offset), record)
        return state

    def wait_settled(self) -> None:
        def is_settled() -> bool:
            state = self.state()
            owned = {
                name: each.vm for name, each in state.owned_purchases.items()
            }
            running = {vm.name: vm.vm for vm in self.cloud.running()}
            return (
                not state.open_purchases
                and owned == running
                and len(self.cloud.running()) == fleet.VM_COUNT
            )

        waiting.until(is_settled, 'log and cloud agree', 60)

    def order_fault(self, kind: faults.Kind, count: int = -1) -> None:
        self.cloud.faults.add(
            faults.Fault(
                kind, path_prefix='/v1/vms', method='POST', count=count
            )
        )

    def test_a_holder_dies_between_its_intents_and_their_orders(
        self,
    ) -> None:
        self.order_fault(faults.Kind.REFUSE)
        first = self.run_duty('node-1')
        waiting.until(lambda: self.state().open_purchases, 'intents')
        first.kill()
        self.assertEqual([], self.cloud.charges())
        intended = set(self.state().open_purchases)
        self.cloud.faults.clear()
        self.run_duty('node-2')
        self.wait_settled()
        self.assertEqual(fleet.VM_COUNT, len(self.cloud.charges()))
        bought = {charge.name for charge in self.cloud.charges()}
        self.assertLessEqual(intended, bought)

    def test_a_holder_dies_with_its_answers_lost(self) -> None:
        self.order_fault(faults.Kind.LOSE_ANSWER, 3)
        first = self.run_duty('node-1')
        waiting.until(
            lambda: (
                self.cloud.faults.injected_count(faults.Kind.LOSE_ANSWER) == 3
            ),
            'answers were lost',
        )
        first.kill()
        self.run_duty('node-2')
        self.wait_settled()
        names = [charge.name for charge in self.cloud.charges()]
        self.assertEqual(sorted(set(names)), sorted(names))
