"""The fleet duty of node processes that are killed and paused.

The tests guard against VMs that are bought twice or run without a record
in the log after the lease holder was killed, and against orders that a
paused holder sends after another node has taken over its lease.
"""

import contextlib
import json
import pathlib
import tempfile
import typing
import unittest

from tests.support import http_calls
from tests.support import programs
from tests.support import waiting

VM_COUNT = 3
LIMIT_S = 120.0
DOMAINS = ('perth-a', 'perth-b', 'bunbury-a')
DOCUMENT = {
    'models': {'needle': {'pool': 'needle', 'minimum_endpoints': VM_COUNT}},
    'services': {},
    'workspaces': {},
    'pools': {'needle': {'kind': 'model', 'machine_classes': ['a10x8']}},
}


class FleetProcessesTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.site = programs.Site(pathlib.Path(folder), stack)
        cloud = self.site.start('standin', 'cloud')
        self.address = cloud.announced['http']
        offers = [
            {
                'failure_domain': domain,
                'region': 'perth',
                'machine_class': 'a10x8',
                'market': 'reclaimable',
                'price_cents_per_hour': 100,
            }
            for domain in DOMAINS
        ]
        self.call('PUT', '/v1/offers', {'offers': offers})
        self.settings = self.site.write(
            'operator.json',
            {
                'log_address': self.site.log.announced['http'],
                'cloud_address': self.address,
            },
        )
        document = self.site.write('document.json', DOCUMENT)
        published = self.operator('publish', document)
        self.assertEqual(0, published.returncode, published.stderr)

    def operator(self, command: str, *arguments: str) -> typing.Any:
        return programs.run(
            'operator',
            command,
            '--environment',
            programs.ENVIRONMENT,
            '--settings',
            self.settings,
            *arguments,
        )

    def call(self, method: str, path: str, body: object = None) -> typing.Any:
        answer = http_calls.call(self.address, method, path, body)
        self.assertEqual(200, answer.status, answer.body)
        return answer.json()

    def add_node(self, name: str) -> programs.Program:
        duty = {'cloud_address': self.address, 'lease_s': 3, 'round_s': 0.2}
        return self.site.add_node(name, fleet=duty)

    def running(self) -> list[str]:
        return sorted(vm['name'] for vm in self.call('GET', '/v1/vms')['vms'])

    def wait_explained(self) -> None:
        """Wait until each VM runs once and the log explains it."""

        def is_explained() -> bool:
            answer = self.operator('explain', '--json')
            lines = json.loads(answer.stdout or '[]')
            names = sorted(line['name'] for line in lines)
            return (
                len(names) == len(set(names)) == VM_COUNT
                and names == self.running()
                and all(line['state'] == 'running' for line in lines)
            )

        waiting.until(is_explained, 'each VM is explained', LIMIT_S)

    def fault(self, **fields: object) -> None:
        fault = {'path_prefix': '/v1/vms', 'method': 'POST', **fields}
        self.call('POST', '/faults', {'faults': [fault]})

    def test_a_killed_holder_leaves_no_double_and_no_orphan(self) -> None:
        self.fault(kind='lose-answer', count=2, delay_s=1)
        holder = self.add_node('entry-1')
        waiting.until(self.running, 'an order took effect')
        holder.kill()
        self.add_node('entry-2')
        self.wait_explained()
        charges = self.call('GET', '/ledger')['charges']
        names = [charge['name'] for charge in charges]
        self.assertEqual(sorted(set(names)), sorted(names))

    def test_a_paused_holder_orders_nothing_when_it_goes_on(self) -> None:
        holder = self.add_node('entry-1')
        self.wait_explained()
        holder.pause()
        self.add_node('entry-2')
        for vm in self.call('GET', '/v1/vms')['vms']:
            self.call('DELETE', f'/v1/vms/{vm["vm"]}')
        self.wait_explained()
        holder.resume()
        before = self.running()
        self.add_node('entry-3')
        self.wait_explained()
        self.assertEqual(before, self.running())
