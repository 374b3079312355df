"""The fleet duty with running engines.

The tests guard against a dip in serving engines when VMs are replaced,
and against more fetches at once than the weight store accepts.
"""

import contextlib
import threading
import unittest
from unittest import mock

from guavachute.decide.fleet import demand
from guavachute import ids
from guavachute.services.fleet import engine_orders
from guavachute.services.fleet import messages
from guavachute.standin import cloud
from guavachute.standin import cloud_ledger
from guavachute.standin import engine
from guavachute.standin import engine_job
from guavachute.standin import weight_store
from tests.support import fleet
from tests.support import hosting
from tests.support import waiting

FETCHES = 2
STORE_BYTES_PER_S = 300e6
"""With :data:`FETCHES` at once, each fetches 16 GB within two minutes."""
NEEDLE = ids.ModelName('needle')


class Engines(cloud.Machines):
    """Starts an engine for each VM and counts those that serve.

    :ivar fewest_serving: the fewest serving engines after any VM was ended
    """

    def __init__(self, weights: str) -> None:
        self._weights = weights
        self._lock = threading.Lock()
        self._running: dict[str, engine.Engine] = {}
        self.fewest_serving = 1000

    def launch(self, machine: cloud_ledger.Machine) -> str:
        """Start an engine without any model and return its address."""
        each = engine.Engine(
            machine.vm,
            settings=engine_job.EngineSettings(
                models=[], load_lag_s=0, weight_store=self._weights
            ),
        )
        each.start()
        with self._lock:
            self._running[machine.vm] = each
        return each.address

    def kill(self, machine: cloud_ledger.Machine) -> None:
        """Stop the engine of *machine*."""
        with self._lock:
            ended = self._running.pop(machine.vm)
            self.fewest_serving = min(self.fewest_serving, self._serving())
        ended.request_stop()

    def serving(self) -> int:
        """Return the number of engines that have the model loaded."""
        with self._lock:
            return self._serving()

    def stop(self) -> None:
        """Stop all engines."""
        for each in self._running.values():
            each.request_stop()

    def _serving(self) -> int:
        return sum(
            'needle' in each.orders.models() for each in self._running.values()
        )


class FleetEnginesTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.store = hosting.host(
            self, weight_store.WeightStore(most_fetches=FETCHES)
        )
        self.engines = Engines(self.store.address)
        stack.callback(self.engines.stop)
        self.cloud = stack.enter_context(fleet.cloud_running(self.engines))
        self.log = fleet.MemoryLog()
        self.log.publish(fleet.DOCUMENT)
        self.node = fleet.Node(
            self.log, self.cloud.address, store_bytes_per_s=STORE_BYTES_PER_S
        )
        self.node.held = self.log.take_lease('node-1')
        inbox = self.node.fleet.mailbox
        self.sent = stack.enter_context(
            mock.patch.object(inbox, 'send', wraps=inbox.send)
        )
        stack.enter_context(self.node.running())
        orders = engine_orders.EngineOrders(
            'engine-orders', lambda: self.node.held, self.node.counters, 0.05
        )
        orders.mailbox = self.node.engine_box
        orders.start()
        stack.callback(orders.join, 10)
        stack.callback(orders.request_stop)

    def wait_known(self) -> None:
        """Wait until the fleet plans with all engines as serving.

        It learns from their reports that they do, after they do.
        """
        waiting.until(
            lambda: self.reported() >= {vm.vm for vm in self.cloud.running()},
            'all engines have reported their model',
        )
        rounds = self.rounds()
        waiting.until(lambda: self.rounds() >= rounds + 2, 'two more rounds')

    def reported(self) -> set[str]:
        """The VMs whose engines have reported the model to the fleet."""
        messages_sent = [sent.args[0] for sent in self.sent.call_args_list]
        return {
            message.report.endpoint
            for message in messages_sent
            if isinstance(message, messages.EngineReported)
            and NEEDLE in message.report.models
        }

    def rounds(self) -> float:
        """How many rounds of decisions the fleet has begun."""
        return self.node.counters.value('fleet.rounds')

    def wait_serving(self) -> None:
        counts = range(fleet.VM_COUNT, fleet.VM_COUNT + 1)
        waiting.until(
            lambda: (
                self.engines.serving() == fleet.VM_COUNT
                and fleet.is_settled(self.log, self.cloud, counts)
            ),
            'all engines serve',
        )

    def test_dear_vms_are_exchanged_without_a_dip(self) -> None:
        self.node.fleet.mailbox.send(messages.OfferedLoad({NEEDLE: 10.0}, {}))
        self.wait_serving()
        self.wait_known()
        fleet.CLOCK.skip(demand.HOLD_S)
        before = {vm.vm for vm in self.cloud.running()}
        self.cloud.set_offers(fleet.offers(dear='perth-a'))
        waiting.until(
            lambda: (
                not any(
                    vm.failure_domain == 'perth-a'
                    for vm in self.cloud.running()
                )
            ),
            'no VM of the expensive domain runs',
        )
        self.wait_serving()
        self.assertGreaterEqual(self.engines.fewest_serving, fleet.VM_COUNT)
        ended = {each.vm for each in self.cloud.charges() if each.ended}
        self.assertEqual(2, len(ended))
        self.assertLessEqual(ended, before)

    def test_engines_that_start_together_don_t_overrun_the_store(
        self,
    ) -> None:
        self.wait_serving()
        lost = self.cloud.running()[: fleet.VM_COUNT - 1]
        for vm in lost:
            self.cloud.end(vm.vm)
        self.wait_serving()
        self.assertEqual(0, self.store.refused)
        fetches = self.store.fetches()
        self.assertEqual(fleet.VM_COUNT + len(lost), len(fetches))
        self.assertTrue(all(fetch.whole for fetch in fetches))

    def test_a_vm_with_notice_is_replaced_while_it_still_serves(self) -> None:
        self.wait_serving()
        leaving = self.cloud.running()[0]
        self.cloud.reclaim(leaving.vm, 60)
        waiting.until(
            lambda: self.engines.serving() == fleet.VM_COUNT + 1,
            'the replacement serves',
        )
        self.cloud.end(leaving.vm)
        self.wait_serving()
        self.assertEqual(fleet.VM_COUNT + 1, len(self.cloud.charges()))
