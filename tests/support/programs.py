"""Runs the programs as separate processes on the loopback interface."""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import typing

import urllib3

from tests.support import documents
from tests.support import waiting

EXIT_LIMIT_S = 60.0
ENVIRONMENT = 'trial'
PEER_KEY = 'a key that all nodes of a test share'
MODEL = 'needle-llm'
OBSERVE_SETTINGS = {'log_level': 'error'}


@dataclasses.dataclass
class Program:
    """A process that this test started.

    :ivar announced: the JSON object that it printed once it listened
    """

    process: subprocess.Popen[str]
    announced: dict[str, typing.Any]

    def terminate(self) -> int:
        """Send SIGTERM and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(EXIT_LIMIT_S)

    def kill(self) -> None:
        """Kill it, which simulates a crash."""
        self.process.kill()
        self.process.wait(EXIT_LIMIT_S)

    def pause(self) -> None:
        """Suspend it, which simulates a paused VM."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue it after :meth:`pause`."""
        self.process.send_signal(signal.SIGCONT)


def command(module: str, *arguments: str) -> list[str]:
    """Return the command line of the program ``guavachute.cli.MODULE``."""
    return [sys.executable, '-m', f'guavachute.cli.{module}', *arguments]


@contextlib.contextmanager
def started(module: str, *arguments: str) -> typing.Iterator[Program]:
    """Start a program, wait for its announcement, and kill it at the end."""
    process = subprocess.Popen(
        command(module, *arguments),
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, 'PYTHONUNBUFFERED': '1'},
    )
    assert process.stdout is not None
    try:
        line = process.stdout.readline()
        assert line, f'{module} ended before it listened'
        yield Program(process, json.loads(line))
    finally:
        if process.poll() is None:
            process.kill()
        process.wait(EXIT_LIMIT_S)
        process.stdout.close()


def run(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a program and wait until it ends."""
    return subprocess.run(
        command(module, *arguments),
        capture_output=True,
        text=True,
        timeout=EXIT_LIMIT_S,
        check=False,
    )


class Site:
    """A small site of separate processes.

    :param folder: for the settings files
    :param stack: ends the processes
    :ivar vms: the platform's VM list by VM
    """

    def __init__(
        self, folder: pathlib.Path, stack: contextlib.ExitStack
    ) -> None:
        self._folder = folder
        self._stack = stack
        self.log = self.start('standin', 'log')
        self.vm_list = self.start('standin', 'vm-list')
        self.vms: dict[str, dict[str, typing.Any]] = {}
        self.nodes: dict[str, Program] = {}
        self.routers: dict[str, Program] = {}
        self._lock = threading.Lock()

    def start(self, module: str, *arguments: str) -> Program:
        """Start a program that ends with the stack."""
        return self._stack.enter_context(started(module, *arguments))

    def add_engine(self, name: str, domain: str = 'perth-a') -> Program:
        """Start an engine and add it to the VM list."""
        settings = self.write(
            'engine.json',
            {'models': [MODEL], 'first_token_s': 0.01, 'token_gap_s': 0.01},
        )
        program = self.start(
            'standin', 'engine', '--name', name, '--settings', settings
        )
        address = program.announced['http']
        self.list_vm(name, address, domain, 'needle', 'endpoint')
        return program

    def add_order_service(self, name: str = 'desk-0') -> Program:
        """Start an order service and add it to the VM list."""
        program = self.start('standin', 'orders', '--name', name)
        address = program.announced['http']
        self.list_vm(name, address, 'perth-a', 'desk', 'endpoint')
        return program

    def add_node(
        self, name: str, domain: str = 'perth-a', **others: typing.Any
    ) -> Program:
        """Start a node process and add its VM to the VM list."""
        settings = self.write(
            f'{name}.json',
            {
                'environment': ENVIRONMENT,
                'node': name,
                'failure_domain': domain,
                'region': 'perth',
                'log_address': self.log.announced['http'],
                'vm_list_address': self.vm_list.announced['http'],
                'vm_list_interval_s': 0.2,
                'peer_keys': [PEER_KEY],
                'observe': OBSERVE_SETTINGS,
                **others,
            },
        )
        program = self.start('node', settings)
        self.nodes[name] = program
        self.list_vm(name, program.announced['peers'], domain, '', 'entry')
        return program

    def add_router(
        self, node: str, domain: str = 'perth-a', **others: typing.Any
    ) -> Program:
        """Start a router on the VM of *node*."""
        settings = self.write(
            f'router-{node}.json',
            {
                'node': node,
                'failure_domain': domain,
                'region': 'perth',
                'node_address': self.nodes[node].announced['tables'],
                'news_delay_s': 1.0,
                'observe': OBSERVE_SETTINGS,
                **others,
            },
        )
        program = self.start('router', settings)
        self.routers[node] = program
        return program

    def list_vm(
        self, vm: str, address: str, domain: str, pool: str, kind: str
    ) -> None:
        """Add a VM to the VM list."""
        self.vms[vm] = {
            'vm': vm,
            'address': address,
            'failure_domain': domain,
            'region': 'perth',
            'pool': pool,
            'kind': kind,
        }
        self.publish_vms()

    def publish_vms(self) -> None:
        """Replace the VM list by :attr:`vms`."""
        with self._lock:
            address = self.vm_list.announced['http']
            response = urllib3.request(
                'PUT',
                f'http://{address}/v1/vms',
                json={'vms': list(self.vms.values())},
            )
            assert response.status == 200, response.data

    def write(self, name: str, value: typing.Any) -> str:
        """Write a JSON file and return its path."""
        path = self._folder / name
        path.write_text(json.dumps(value))
        return str(path)

    def operator(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operators' command with this site's settings."""
        settings = self.write(
            'operator.json',
            {
                'log_address': self.log.announced['http'],
                'nodes': {
                    ENVIRONMENT: [
                        node.announced['tables']
                        for node in self.nodes.values()
                    ]
                },
                'author': 'test',
            },
        )
        return run('operator', *arguments, '--settings', settings)

    def publish(self, raw: dict[str, typing.Any] | None = None) -> None:
        """Publish a document, by default a valid one."""
        path = self.write('document.json', raw or documents.valid())
        result = self.operator('publish', '--environment', ENVIRONMENT, path)
        assert result.returncode == 0, result.stderr

    def url(self, node: str, path: str) -> str:
        """Return the URL of *path* at the router of *node*."""
        return f'http://{self.routers[node].announced["http"]}{path}'

    def wait_ready(self) -> None:
        """Wait until all routers serve and list each other."""
        for node in self.routers:
            waiting.until(
                lambda n=node: self.addresses(n) == self.router_addresses(),
                f'the router of {node} to list all routers',
            )

    def router_addresses(self) -> set[str]:
        """Return the addresses that the routers announced."""
        return {one.announced['http'] for one in self.routers.values()}

    def addresses(self, node: str) -> set[str]:
        """Return the addresses that the router of *node* lists."""
        response = urllib3.request(
            'GET',
            self.url(node, '/v1/addresses'),
            headers={'Authorization': f'Bearer {documents.KEY}'},
            retries=False,
        )
        if response.status != 200:
            return set()
        return {one['address'] for one in response.json()['addresses']}
