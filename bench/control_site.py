"""A site of separate node and router processes on loopback."""

import concurrent.futures
import contextlib
import hashlib
import json
import pathlib
import typing

import urllib3

from bench import processes

ENVIRONMENT = 'bench'
DOMAINS = ('perth-a', 'perth-b', 'bunbury-a')
REGIONS = {'perth-a': 'perth', 'perth-b': 'perth', 'bunbury-a': 'bunbury'}
API_KEY = 'key-of-the-bench'
PEER_KEY = 'a key that all nodes of the bench share'
ADDRESS_TTL_S = 0.5
MAX_CONCURRENT_STARTS = 10
READY_TIMEOUT_S = 40.0
WORKSPACES = 5


def document(number: int) -> dict[str, typing.Any]:
    """Return a document with an order service; it differs by *number*."""
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    workspaces: dict[str, typing.Any] = {
        f'workspace-{place}': {'share': 1 + place, 'api_key_digests': []}
        for place in range(WORKSPACES)
    }
    workspaces['workspace-0'] = {
        'share': number + 1,
        'api_key_digests': [digest],
    }
    call = {'method': 'POST', 'path_prefix': '/jobs', 'idempotent': False}
    return {
        'models': {},
        'services': {
            'order-desk': {'pool': 'desk', 'calls': [call], 'timeout_s': 5}
        },
        'workspaces': workspaces,
        'pools': {'desk': {'kind': 'service', 'machine_classes': ['c4']}},
        'policy': {'address_ttl_s': ADDRESS_TTL_S},
    }


class Site:
    """The processes of a site, which end with *stack*.

    :param folder: where the programs' settings are written
    :ivar nodes: node processes by the name of their VM
    :ivar routers: router processes by the name of their VM
    """

    def __init__(
        self, folder: pathlib.Path, stack: contextlib.ExitStack
    ) -> None:
        self._folder = folder
        self._stack = stack
        self._listed: dict[str, dict[str, str]] = {}
        self.log = self._start_standin('log')
        self.vm_list = self._start_standin('vm-list')
        self.nodes: dict[str, processes.Program] = {}
        self.routers: dict[str, processes.Program] = {}

    def add_nodes(self, count: int) -> None:
        """Start and list *count* nodes, spread over the failure domains."""
        names = [f'vm-{number}' for number in range(count)]
        self.nodes |= self._start_all(names, self._start_node)
        for name, program in self.nodes.items():
            self._add_to_vm_list(name, program.announced['peers'], '', 'entry')
        self._put_vm_list()

    def add_routers(self, names: typing.Iterable[str]) -> None:
        """Start a router on each of the VMs *names*."""
        self.routers |= self._start_all(names, self._start_router)

    def add_order_service(self) -> processes.Program:
        """Start an order service and put it on the VM list."""
        order_service = self._start_standin('orders')
        self._add_to_vm_list(
            'desk-0', order_service.address, 'desk', 'endpoint'
        )
        self._put_vm_list()
        return order_service

    def kill(self) -> None:
        """Kill all nodes and routers."""
        for program in [*self.nodes.values(), *self.routers.values()]:
            program.kill()

    def _start_all(
        self,
        names: typing.Iterable[str],
        start: typing.Callable[[str], processes.Program],
    ) -> dict[str, processes.Program]:
        names = list(names)
        with concurrent.futures.ThreadPoolExecutor(
            MAX_CONCURRENT_STARTS
        ) as pool:
            return dict(zip(names, pool.map(start, names), strict=True))

    def _start_node(self, name: str) -> processes.Program:
        return self._start(
            'node',
            {
                'environment': ENVIRONMENT,
                'log_address': self.log.address,
                'vm_list_address': self.vm_list.address,
                'peer_keys': [PEER_KEY],
            },
            name,
        )

    def _start_router(self, name: str) -> processes.Program:
        tables_address = self.nodes[name].announced['tables']
        return self._start('router', {'node_address': tables_address}, name)

    def _start(
        self, module: str, settings: dict[str, typing.Any], name: str
    ) -> processes.Program:
        domain = domain_of(name)
        identity = {
            'node': name,
            'failure_domain': domain,
            'region': REGIONS[domain],
            'observe': {'log_level': 'error'},
        }
        path = self._folder / f'{module}-{name}.json'
        path.write_text(json.dumps(settings | identity))
        return self._stack.enter_context(
            processes.running(f'guavachute.cli.{module}', str(path))
        )

    def _start_standin(self, kind: str) -> processes.Program:
        return self._stack.enter_context(
            processes.running('guavachute.cli.standin', kind)
        )

    def _add_to_vm_list(
        self, vm: str, address: str, pool: str, kind: str
    ) -> None:
        domain = domain_of(vm)
        self._listed[vm] = {
            'vm': vm,
            'address': address,
            'failure_domain': domain,
            'region': REGIONS[domain],
            'pool': pool,
            'kind': kind,
        }

    def _put_vm_list(self) -> None:
        answer = urllib3.request(
            'PUT',
            f'http://{self.vm_list.address}/v1/vms',
            json={'vms': list(self._listed.values())},
        )
        assert answer.status == 200, answer.data


def domain_of(name: str) -> str:
    """Return the failure domain of a VM, by the number in its name."""
    number = int(name.rpartition('-')[2])
    return DOMAINS[number % len(DOMAINS)]
