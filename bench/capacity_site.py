"""A small site of separate processes for the capacity benchmark."""

import contextlib
import dataclasses
import pathlib
import random
import time
import typing

import msgspec
import urllib3

from bench import capacity_members
from bench import processes
from bench import relay
from guavachute.clients import log_client
from guavachute.clients import node_client
from guavachute.document import check
from guavachute import ids
from guavachute.observe import counters
from guavachute import outcome
from guavachute.wire import records

ENVIRONMENT = 'bench'
PEER_KEY = 'a key that all nodes of the bench share'
DOMAIN = 'perth-a'
DOMAINS = 8
MEMBERS_PER_PROCESS = 12
OBSERVE_SETTINGS = {'log_level': 'error'}
TIMEOUT_S = 60.0
POLL_S = 0.02
NOTICE_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one process used during a measurement.

    :ivar core_percent: CPU time as % of a core
    :ivar resident_mib: resident memory at the end
    :ivar counters: growth of each counter per second
    """

    core_percent: float
    resident_mib: float
    counters: dict[str, float]


class Site:
    """A log, a VM list and the node processes that use them.

    All processes end with *stack*.

    :param folder: where the programs' settings are written
    :ivar head: offset of the last published change
    """

    def __init__(
        self, folder: pathlib.Path, stack: contextlib.ExitStack
    ) -> None:
        self._folder = folder
        self._stack = stack
        self.log = self._start('standin', 'log')
        self.vm_list = self._start('standin', 'vm-list')
        self.nodes: list[processes.Program] = []
        self._entries: list[dict[str, typing.Any]] = []
        self._engines: list[dict[str, typing.Any]] = []
        self._log_client = stack.enter_context(
            log_client.connected(
                self.log.address, counters.Counters(), random.Random(1)
            )
        )
        self.head = records.NO_OFFSET

    def _start(self, module: str, *arguments: str) -> processes.Program:
        return self._stack.enter_context(
            processes.running(f'guavachute.cli.{module}', *arguments)
        )

    def add_node(self) -> processes.Program:
        """Start a node process; its VM is listed by ``list_engines``."""
        name = f'node-{len(self.nodes)}'
        path = relay.settings_file(
            self._folder,
            name,
            {
                'environment': ENVIRONMENT,
                'node': name,
                'failure_domain': DOMAIN,
                'region': 'perth',
                'log_address': self.log.address,
                'vm_list_address': self.vm_list.address,
                'peer_keys': [PEER_KEY],
                'observe': OBSERVE_SETTINGS,
            },
        )
        program = self._start('node', path)
        self.nodes.append(program)
        self._entries.append(_vm(name, program.announced['peers'], 'entry'))
        return program

    def add_router(self, node: int) -> processes.Program:
        """Start a router on the VM of node number *node*."""
        path = relay.settings_file(
            self._folder,
            f'router-{node}',
            {
                'node': f'node-{node}',
                'failure_domain': DOMAIN,
                'region': 'perth',
                'node_address': self.nodes[node].announced['tables'],
                'drain_limit_s': 1.0,
                'observe': OBSERVE_SETTINGS,
            },
        )
        return self._start('router', path)

    def add_members(self, count: int) -> None:
        """Start *count* further members, several in each process.

        ``list_engines`` puts them on the VM list.
        """
        names = [f'member-{number}' for number in range(count)]
        for first in range(0, count, MEMBERS_PER_PROCESS):
            plan = capacity_members.Plan(
                configuration={
                    'environment': ENVIRONMENT,
                    'failure_domain': DOMAIN,
                    'region': 'perth',
                },
                key=PEER_KEY,
                seed=self.nodes[0].announced['peers'],
                names=names[first : first + MEMBERS_PER_PROCESS],
            )
            program = self._stack.enter_context(
                processes.running(
                    'bench.capacity_members',
                    stdin_line=msgspec.json.encode(plan).decode(),
                )
            )
            for name, address in program.announced.items():
                self._entries.append(_vm(name, address, 'entry'))

    def list_engines(self, count: int, leaving: float = 0.0) -> int:
        """Put the nodes and *count* engines on the VM list.

        Nothing listens at the engines' addresses. Returns the bytes of
        one answer of the VM list.

        :param leaving: the share of the engines that is under notice
        """
        self._engines = [
            _vm(
                f'vm-{number:05}',
                f'203.0.113.{number % 250}:8000',
                'endpoint',
                f'perth-{chr(ord("a") + number % DOMAINS)}',
            )
            for number in range(count)
        ]
        for vm in self._engines[: round(count * leaving)]:
            vm.update(state='leaving', leave_in_s=NOTICE_S)
        url = f'http://{self.vm_list.address}/v1/vms'
        listing = {'vms': self._entries + self._engines}
        answer = urllib3.request('PUT', url, json=listing)
        assert answer.status == 200, answer.data
        return len(urllib3.request('GET', url).data)

    def publish(self, document: dict[str, typing.Any]) -> int:
        """Append a configuration change; return its bytes in the log."""
        change = records.ConfigurationChange(
            record_id=ids.RecordId(ids.new_random_id('change')),
            environment=ids.EnvironmentName(ENVIRONMENT),
            supersedes_offset=self.head,
            document=document,
            digest=ids.Digest(check.digest_of(document)),
            author='bench',
        )
        result = self._log_client.append(
            records.CONTROL_STREAM, [change], time.monotonic() + TIMEOUT_S
        )
        assert not isinstance(result, outcome.Failure), result
        self.head = result.first_offset
        return len(msgspec.json.encode(change))

    def wait_in_force(self) -> None:
        """Wait until all node processes have the last change in force."""
        for node in self.nodes:
            wait_until(lambda n=node: status(n).offset >= self.head)

    def wait_members(self, count: int) -> None:
        """Wait until all node processes know *count* members."""
        for node in self.nodes:
            wait_until(lambda n=node: len(status(n).nodes) >= count)


def _vm(
    name: str, address: str, kind: str, domain: str = DOMAIN
) -> dict[str, typing.Any]:
    return {
        'vm': name,
        'address': address,
        'failure_domain': domain,
        'region': 'perth',
        'pool': 'needle' if kind == 'endpoint' else '',
        'kind': kind,
        'machine_class': 'a10x8',
    }


def status(node: processes.Program) -> typing.Any:
    """Return the status that a node process reports to operators."""
    answer = node_client.fetch_status(node.announced['tables'])
    assert not isinstance(answer, outcome.Failure), answer
    return answer


def wait_until(condition: typing.Callable[[], bool]) -> None:
    """Poll *condition* until it holds.

    :raises AssertionError: if it doesn't hold within ``TIMEOUT_S``
    """
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s, 'timed out waiting for the site'
        time.sleep(POLL_S)


def measure_usage(
    programs: typing.Sequence[processes.Program], duration_s: float
) -> list[Usage]:
    """Return what each node process uses in *duration_s* of real time."""
    before = [status(program).counters for program in programs]
    used_s = [program.cpu_s() for program in programs]
    start_s = time.monotonic()
    time.sleep(duration_s)
    elapsed_s = time.monotonic() - start_s
    used_s = [
        program.cpu_s() - earlier
        for program, earlier in zip(programs, used_s, strict=True)
    ]
    usages = []
    for program, cpu_s, earlier in zip(programs, used_s, before, strict=True):
        growth = {
            name: (value - earlier.get(name, 0)) / elapsed_s
            for name, value in status(program).counters.items()
        }
        usages.append(
            Usage(100 * cpu_s / elapsed_s, program.resident_mib(), growth)
        )
    return usages
