"""The processes of ``bench.requests``: a complete site, or a baseline."""

import contextlib
import dataclasses
import enum
import hashlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

import msgspec
import urllib3

from bench import baseline_router
from bench import counter_sums

MODEL = 'needle-llm'
POOL = 'needle'
ENVIRONMENT = 'bench'
PEER_KEY = 'a key that all nodes of the bench share'
ENTRIES_PER_DOMAIN = 3
ORDER_SERVICES = 3
BASELINE_ROUTERS = 3
READY_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1

DOMAINS = {'perth-a': 'perth', 'perth-b': 'perth', 'bunbury-a': 'bunbury'}
"""Each failure domain and its region."""

ENGINES = {'perth-a': 4, 'perth-b': 3, 'bunbury-a': 3}
SLOTS = 8
TOKEN_GAP_S = 0.04
ENGINE_SETTINGS = {
    'models': [MODEL],
    'slots': SLOTS,
    'queue_limit': 64,
    'first_token_s': 0.02,
    'token_gap_s': TOKEN_GAP_S,
    'knee_streams': 4,
    'gap_growth': 0.05,
    'prompt_tokens_per_s': 4000,
    'cache_blocks': 600,
    'cache_event_delay_s': 0.5,
    'cache_event_loss': 0.01,
    'load_lag_s': 0.5,
}

SHARES = {
    'uniforms': 4.0,
    'club-shops': 4.0,
    'mills': 1.0,
    'schools': 1.0,
    'bench-trials': 1.0,
}
"""Five workspaces, two of them large, and their shares."""


class Policy(enum.Enum):
    """The routers between the callers and the engines.

    ``OURS`` is a complete site, the others are baseline routers.
    """

    ROUND_ROBIN = 'round robin'
    LEAST_OUTSTANDING = 'least outstanding'
    OURS = 'ours'


def api_key(workspace: str) -> str:
    """Return the API key of *workspace*."""
    return f'key-of-{workspace}'


def document() -> dict[str, typing.Any]:
    """Return the operators' document of the site."""
    return {
        'models': {MODEL: {'pool': POOL}},
        'services': {'order-desk': {'pool': 'desk', 'timeout_s': 5}},
        'workspaces': {
            name: {
                'share': share,
                'api_key_digests': [
                    hashlib.sha256(api_key(name).encode()).hexdigest()
                ],
            }
            for name, share in SHARES.items()
        },
        'pools': {
            POOL: {
                'kind': 'model',
                'machine_classes': ['any'],
                'slots_per_endpoint': SLOTS,
                'tokens_per_s_per_endpoint': 800.0,
            },
            'desk': {'kind': 'service', 'machine_classes': ['any']},
        },
    }


class Program:
    """A process of the site, which announces its addresses as JSON."""

    def __init__(self, module: str, *arguments: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        self._announced: dict[str, str] | None = None

    def address(self, name: str = 'http') -> str:
        """Return the address called *name*; waits for the announcement."""
        if self._announced is None:
            assert self._process.stdout is not None
            self._announced = json.loads(self._process.stdout.readline())
        assert self._announced is not None
        return self._announced[name]

    @property
    def alive(self) -> bool:
        """Whether the process is still running."""
        return self._process.poll() is None

    def kill(self) -> None:
        """Kill the process without waiting for its end."""
        self._process.kill()

    def wait(self) -> None:
        """Wait for the end of the process and close its output."""
        self._process.wait(STOP_TIMEOUT_S)
        if self._process.stdout is not None:
            self._process.stdout.close()


@dataclasses.dataclass(slots=True)
class Work:
    """The tokens that engines computed, from their load reports."""

    generated_tokens: int = 0
    prefilled_tokens: int = 0
    recomputed_tokens: int = 0


class Site:
    """The processes of a running site.

    :param folder: where the programs' settings are written
    :param statsd: address to which routers send their counters
    :param traces: folder for the routers' spans; None for no spans
    :ivar engines: engine processes by VM
    :ivar routers: the routers' addresses, for the callers
    """

    def __init__(
        self,
        folder: pathlib.Path,
        statsd: str,
        traces: pathlib.Path | None,
    ) -> None:
        self._folder = folder
        self._traces = traces
        self._statsd = statsd
        self._programs: list[Program] = []
        self._vms: dict[str, dict[str, typing.Any]] = {}
        self._work: dict[str, Work] = {}
        self.engines: dict[str, Program] = {}
        self.routers: list[str] = []
        self._log = self._start('guavachute.cli.standin', 'log')
        self._vm_list = self._start('guavachute.cli.standin', 'vm-list')

    def start(self, policy: Policy) -> None:
        """Start all processes and wait until callers can be served."""
        self._start_engines()
        if policy is Policy.OURS:
            self._start_complete_site()
        else:
            self._start_baseline(policy)

    def stop(self) -> None:
        """Kill all processes and wait for their end."""
        for program in self._programs:
            program.kill()
        for program in self._programs:
            program.wait()

    def domain_engines(self, domain: str) -> list[str]:
        """Return the VMs of the engines in failure domain *domain*."""
        return [vm for vm in self.engines if vm.startswith(f'{domain}-')]

    def announce_leaving(
        self, vms: typing.Iterable[str], notice_s: float
    ) -> None:
        """Mark *vms* on the VM list as leaving in *notice_s* seconds."""
        for vm in vms:
            self._vms[vm] |= {'state': 'leaving', 'leave_in_s': notice_s}
        self._put_vm_list()

    def kill_engines(self, vms: typing.Iterable[str]) -> None:
        """Kill the engines on *vms* and remove them from the VM list."""
        for vm in vms:
            self.engines[vm].kill()
            self._vms.pop(vm, None)
        self._put_vm_list()

    def inject_fault(
        self, vms: typing.Iterable[str], **fault: typing.Any
    ) -> None:
        """Inject a fault into the engine on each of *vms*."""
        for vm in vms:
            self._call(vm, 'POST', '/faults', {'faults': [fault]})

    def change_settings(self, vm: str, **settings: typing.Any) -> None:
        """Change settings of the running engine on *vm*."""
        self._call(vm, 'PUT', '/settings', settings)

    def lost_engines(self) -> int:
        """Return the number of engines that have ended."""
        return sum(not program.alive for program in self.engines.values())

    def sample_work(self) -> None:
        """Read the load reports of all running engines.

        It is called regularly because an engine that was killed can't be
        read any more.
        """
        for vm, program in self.engines.items():
            if not program.alive:
                continue
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                answer = self._call(vm, 'GET', '/v1/load', None)
                self._work[vm] = Work(
                    answer['generated_tokens'],
                    answer['prefilled_tokens'],
                    answer['recomputed_tokens'],
                )

    def total_work(self) -> Work:
        """Return the sums over all engines, as last sampled."""
        total = Work()
        for work in self._work.values():
            total.generated_tokens += work.generated_tokens
            total.prefilled_tokens += work.prefilled_tokens
            total.recomputed_tokens += work.recomputed_tokens
        return total

    def _start(self, module: str, *arguments: str) -> Program:
        program = Program(module, *arguments)
        self._programs.append(program)
        return program

    def _start_engines(self) -> None:
        settings = self._write('engine', ENGINE_SETTINGS)
        for domain, count in ENGINES.items():
            for number in range(count):
                vm = f'{domain}-{number}'
                self.engines[vm] = self._start(
                    'guavachute.cli.standin', 'engine',
                    '--name', vm, '--settings', settings,
                )  # fmt: skip
        for vm, program in self.engines.items():
            domain = vm.rpartition('-')[0]
            self._add_to_vm_list(
                vm, program.address(), domain, POOL, 'endpoint'
            )
        self._put_vm_list()

    def _start_complete_site(self) -> None:
        order_services = [
            self._start('guavachute.cli.standin', 'orders')
            for _ in range(ORDER_SERVICES)
        ]
        nodes = {
            f'entry-{domain}-{number}': domain
            for domain in DOMAINS
            for number in range(ENTRIES_PER_DOMAIN)
        }
        running = {
            node: self._start(
                'guavachute.cli.node',
                self._write(node, self._node_settings(node, domain)),
            )
            for node, domain in nodes.items()
        }
        for number, order_service in enumerate(order_services):
            domain = list(DOMAINS)[number % len(DOMAINS)]
            self._add_to_vm_list(
                f'desk-{number}',
                order_service.address(),
                domain,
                'desk',
                'endpoint',
            )
        for node, domain in nodes.items():
            peers = running[node].address('peers')
            self._add_to_vm_list(node, peers, domain, '', 'entry')
        self._put_vm_list()
        routers = [
            self._start(
                'guavachute.cli.router',
                self._write(
                    f'router-{node}',
                    self._router_settings(
                        node, domain, running[node].address('tables')
                    ),
                ),
            )
            for node, domain in nodes.items()
        ]
        self.routers = [router.address() for router in routers]
        self._publish()
        for address in self.routers:
            self._wait_until_ready(address)

    def _start_baseline(self, policy: Policy) -> None:
        regions = list(DOMAINS.values())
        routers = []
        for number in range(BASELINE_ROUTERS):
            settings = baseline_router.BaselineSettings(
                region=regions[number % len(regions)],
                pool=POOL,
                vm_list_address=self._vm_list.address(),
                statsd=self._statsd,
                least_outstanding=policy is Policy.LEAST_OUTSTANDING,
            )
            text = msgspec.json.encode(settings).decode()
            routers.append(self._start('bench.baseline_router', text))
        self.routers = [router.address() for router in routers]
        time.sleep(baseline_router.LIST_INTERVAL_S)

    def _location(self, domain: str) -> dict[str, str]:
        return {'failure_domain': domain, 'region': DOMAINS[domain]}

    def _node_settings(self, node: str, domain: str) -> dict[str, typing.Any]:
        return {
            'environment': ENVIRONMENT,
            'node': node,
            **self._location(domain),
            'log_address': self._log.address(),
            'vm_list_address': self._vm_list.address(),
            'peer_keys': [PEER_KEY],
            'observe': {'log_level': 'error'},
        }

    def _router_settings(
        self, node: str, domain: str, tables_address: str
    ) -> dict[str, typing.Any]:
        return {
            'node': node,
            **self._location(domain),
            'node_address': tables_address,
            'observe': {
                'log_level': 'error',
                'statsd': self._statsd,
                'traces': self._traces_of(node),
            },
        }

    def _traces_of(self, node: str) -> dict[str, str]:
        if self._traces is None:
            return {'exporter': 'none'}
        path = self._traces / f'{node}.jsonl'
        return {'exporter': 'json-lines', 'path': str(path)}

    def _publish(self) -> None:
        settings = {'log_address': self._log.address(), 'author': 'bench'}
        subprocess.run(
            [
                sys.executable, '-m', 'guavachute.cli.operator', 'publish',
                '--environment', ENVIRONMENT,
                '--settings', self._write('operator', settings),
                self._write('document', document()),
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )  # fmt: skip

    def _wait_until_ready(self, address: str) -> None:
        """Wait until the router at *address* names any router.

        :raises AssertionError: after ``READY_TIMEOUT_S``
        """
        workspace = next(iter(SHARES))
        headers = {'Authorization': f'Bearer {api_key(workspace)}'}
        end_s = time.monotonic() + READY_TIMEOUT_S
        named: set[str] = set()
        while time.monotonic() < end_s:
            answer = urllib3.request(
                'GET', f'http://{address}/v1/addresses', headers=headers
            )
            if answer.status == 200:
                named = {one['address'] for one in answer.json()['addresses']}
                if named:
                    return
            time.sleep(POLL_INTERVAL_S)
        raise AssertionError(f'the router at {address} did not get ready')

    def _add_to_vm_list(
        self, vm: str, address: str, domain: str, pool: str, kind: str
    ) -> None:
        self._vms[vm] = {
            'vm': vm,
            'address': address,
            **self._location(domain),
            'pool': pool,
            'kind': kind,
        }

    def _put_vm_list(self) -> None:
        urllib3.request(
            'PUT',
            f'http://{self._vm_list.address()}/v1/vms',
            json={'vms': list(self._vms.values())},
        )

    def _call(
        self, vm: str, method: str, path: str, body: typing.Any
    ) -> typing.Any:
        answer = urllib3.request(
            method,
            f'http://{self.engines[vm].address()}{path}',
            json=body,
            retries=False,
            timeout=2,
        )
        assert answer.status == 200, answer.data
        return answer.json()

    def _write(self, name: str, value: typing.Any) -> str:
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(value))
        return str(path)


@contextlib.contextmanager
def running(
    policy: Policy,
    sums: counter_sums.CounterSums,
    traces: pathlib.Path | None = None,
) -> typing.Iterator[Site]:
    """Run a site until the end of the block; it is ready when yielded."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(pathlib.Path(folder), sums.address, traces)
        try:
            site.start(policy)
            yield site
        finally:
            site.stop()
