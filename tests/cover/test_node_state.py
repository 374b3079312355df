"""The node's state: published only after changes, and complete then.

Guards against tables that are sent although no endpoint changed, and
against a remaining time that counts from the publication instead of from
the read of the VM list.
"""

import time
import unittest

import msgspec

from guavachute.clients import vm_list
from guavachute.decide.control import control_log
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import kernel
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.services import log_follower
from guavachute.services import membership
from guavachute.services import node_state
from guavachute.services import table_server
from guavachute.services import vm_watch
from guavachute.standin import vm_list as standin_vm_list
from guavachute.wire import records
from tests.support import control
from tests.support import hosting
from tests.support import waiting

ENGINE = vm_list.Vm(
    vm='vm-1',
    address='203.0.113.1:8000',
    failure_domain='perth-a',
    region='perth',
    pool='needle',
    kind=vm_list.VmKind.ENDPOINT,
)
OTHER = msgspec.structs.replace(ENGINE, vm='vm-2')


def leaving(left_s: float) -> vm_list.Vm:
    """The engine with a notice that it leaves in *left_s* seconds."""
    return msgspec.structs.replace(
        ENGINE, state=vm_list.VmState.LEAVING, leave_in_s=left_s
    )


class Recorder(task.Task):
    """A task that is not started, so that its messages stay queued."""

    def run(self) -> None:
        """Not started by these tests."""


class NodeStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.kernel = kernel.Kernel()
        self.tables = Recorder('table-server')
        self.members = Recorder(membership.NAME)
        self.kernel.add(self.tables)
        self.kernel.add(self.members)
        place = node_state.NodeIdentity(
            ids.EnvironmentName('trial'),
            ids.NodeId('node-1'),
            ids.FailureDomain('perth-a'),
            ids.Region('perth'),
        )
        self.state = hosting.host(
            self,
            node_state.NodeState(self.kernel, place, counters.Counters()),
        )
        folded, _ = control_log.fold(
            records.ControlState(), ids.Offset(0), control.change(1, -1)
        )
        self.state.mailbox.send(
            log_follower.ControlUpdate(
                folded, (), clock.now_s(), clock.now_s()
            )
        )
        self.published: list[table_server.Publish] = []
        self.until_published(1)

    def until_published(self, count: int) -> None:
        """Wait for *count* publications in all."""
        waiting.until(
            lambda: self.collect_published() >= count, f'{count} publications'
        )

    def collect_published(self) -> int:
        """Collect what was published; returns how often in all."""
        self.published += [
            message
            for message in self.tables.mailbox.drain()
            if isinstance(message, table_server.Publish)
        ]
        return len(self.published)

    def send_vm_list(
        self, vms: tuple[vm_list.Vm, ...], age_s: float = 0.0
    ) -> None:
        """Send the node a VM list that was read *age_s* seconds ago."""
        at_s = time.monotonic() - age_s
        self.state.mailbox.send(vm_watch.VmsSeen(vms, at_s))

    def test_the_time_left_counts_from_the_reading(self) -> None:
        self.send_vm_list((leaving(30.0),), age_s=10.0)
        self.until_published(2)
        (entry,) = self.published[-1].tables.endpoints
        self.assertTrue(entry.leaving)
        self.assertIsNotNone(entry.leave_in_s)
        self.assertLessEqual(entry.leave_in_s, 20.0)

    def test_only_a_change_of_the_endpoints_is_published(self) -> None:
        same = (leaving(30.0), OTHER)
        for vms in (same, same, (leaving(20.0), OTHER), (leaving(10.0),)):
            self.send_vm_list(vms)
        self.until_published(3)
        named = [len(each.tables.endpoints) for each in self.published]
        self.assertEqual([0, 2, 1], named)

    def test_each_read_of_the_vm_list_reaches_the_membership(self) -> None:
        same = (msgspec.structs.replace(ENGINE, kind=vm_list.VmKind.ENTRY),)
        received: list[mailbox.Message] = []

        def has_both() -> bool:
            received.extend(self.members.mailbox.drain())
            listed = [
                m for m in received if isinstance(m, membership.SetListedVms)
            ]
            return [len(m.vms) for m in listed] == [1, 1]

        for _ in range(2):
            self.send_vm_list(same)
        waiting.until(has_both, 'two lists at the membership')


class VmListClientTest(unittest.TestCase):
    def test_an_unchanged_list_is_the_same_object(self) -> None:
        service = hosting.host(self, standin_vm_list.VmList())
        wanted = msgspec.convert(
            msgspec.to_builtins(ENGINE), standin_vm_list.Vm
        )
        service.set_vms([wanted])
        client = vm_list.VmListClient(service.address)
        first, second = client.read(), client.read()
        assert isinstance(first, vm_list.VmList)
        assert isinstance(second, vm_list.VmList)
        self.assertIs(first.vms, second.vms)
        service.leave(ENGINE.vm, 30.0)
        third = client.read()
        assert isinstance(third, vm_list.VmList)
        self.assertEqual(vm_list.VmState.LEAVING, third.vms[0].state)
