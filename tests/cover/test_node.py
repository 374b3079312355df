"""The services of node processes together: relay tree and snapshots."""

import contextlib
import random
import time
import typing
import unittest

from guavachute.assembly import node
from guavachute.clients import configuration
from guavachute.clients import log_client
from guavachute.document import check
from guavachute import ids
from guavachute.observe import counters
from guavachute.standin import log_service
from guavachute.standin import vm_list
from guavachute.wire import records
from tests.support import documents
from tests.support import hosting
from tests.support import waiting

LIMIT_S = 20.0


class NodeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = hosting.host(self, log_service.LogService())
        self.vms = hosting.host(self, vm_list.VmList())
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.listed: list[vm_list.Vm] = []

    def add(self, name: str) -> node.Node:
        running = self.stack.enter_context(
            node.running(
                node.NodeSettings(
                    environment='trial',
                    node=name,
                    failure_domain='perth-a',
                    region='perth',
                    log_address=self.log.address,
                    vm_list_address=self.vms.address,
                    peer_keys=['a key'],
                    vm_list_interval_s=0.1,
                )
            )
        )
        self.listed.append(
            vm_list.Vm(
                vm=name,
                address=running.peer_address,
                failure_domain='perth-a',
                region='perth',
                pool='',
                kind='entry',
            )
        )
        self.vms.set_vms(self.listed)
        return running

    def publish(self, share: int) -> ids.Offset:
        raw = documents.valid()
        raw['workspaces']['uniforms']['share'] = share
        change = configuration.Change(
            ids.EnvironmentName('trial'), raw, check.digest_of(raw), 'test'
        )
        with log_client.connected(
            self.log.address, counters.Counters(), random.Random(1)
        ) as client:
            result = configuration.publish(
                client, change, time.monotonic() + LIMIT_S
            )
        assert isinstance(result, configuration.Accepted), result
        return result.offset

    def wait_accepted(
        self, nodes: typing.Iterable[node.Node], times: int
    ) -> None:
        for one in nodes:
            waiting.until(
                lambda n=one: n.count.value('configuration.accepted') >= times,
                'the configuration is accepted',
            )

    def test_nodes_below_the_roots_hear_the_log_from_relays(self) -> None:
        nodes = [self.add(f'entry-{number}') for number in range(5)]
        self.publish(1)
        waiting.until(
            lambda: self.count_followers(nodes) >= 3,
            'three nodes follow a relay',
        )
        self.publish(2)
        self.wait_accepted(nodes, 2)

    def count_followers(self, nodes: list[node.Node]) -> float:
        return sum(one.count.value('log_relay.followers') for one in nodes)

    def test_a_document_outlives_the_retention_and_all_nodes(self) -> None:
        first = self.add('entry-1')
        self.publish(1)
        self.wait_accepted([first], 1)
        # More records than the period of snapshots, so that one is written
        # before the log drops the change.
        self.log.append(records.CONTROL_STREAM, [{'kind': 'unknown'}] * 600)
        offset = waiting.until(self.snapshot_offset, 'a snapshot')
        self.log.drop_before(records.CONTROL_STREAM, offset)
        later = self.add('entry-2')
        self.wait_accepted([later], 1)

    def snapshot_offset(self) -> int | None:
        # No record was dropped yet, so an index is an offset.
        offsets = [
            offset
            for offset, record in enumerate(
                self.log.records(records.CONTROL_STREAM)
            )
            if record['kind'] == 'snapshot'
        ]
        return offsets[-1] if offsets else None
