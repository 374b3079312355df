"""Runs a small fleet in one process: stand-ins, two nodes, two routers."""

import contextlib
import dataclasses
import hashlib
import pathlib
import secrets
import typing

from guavachute.assembly import node
from guavachute.assembly import router
from guavachute.document import check
from guavachute.kernel import kernel
from guavachute import settings
from guavachute.standin import engine
from guavachute.standin import engine_job
from guavachute.standin import log_service
from guavachute.standin import order_service
from guavachute.standin import vm_list

HOST = '127.0.0.1'
ENVIRONMENT = 'trial'
MODEL = 'needle-llm'
SERVICE = 'order-desk'
ENGINES = 3
DOMAINS = ('perth-a', 'perth-b')
REGION = 'perth'


@dataclasses.dataclass(frozen=True)
class Fleet:
    """The parts of the demonstration.

    :ivar orders: the stand-in for a service that is not idempotent
    :ivar key: an API key of a workspace in :attr:`document`
    """

    log: log_service.LogService
    vms: vm_list.VmList
    engines: list[engine.Engine]
    orders: order_service.OrderService
    nodes: list[node.Node]
    routers: list[router.Router]
    document: check.Checked
    key: str


@contextlib.contextmanager
def running(trace_path: pathlib.Path) -> typing.Iterator[Fleet]:
    """Run the fleet for the duration of the block.

    :param trace_path: the file that spans are written to as JSON lines
    """
    log = log_service.LogService()
    vms = vm_list.VmList()
    orders = order_service.OrderService()
    engines = [
        engine.Engine(f'engine-{number}', settings=_engine_settings())
        for number in range(ENGINES)
    ]
    hosting = kernel.Kernel()
    for service in (log, vms, orders, *engines):
        hosting.add(service)
    observe = settings.Observe(
        traces=settings.Traces(exporter='json-lines', path=str(trace_path))
    )
    peer_key = secrets.token_hex()
    key = secrets.token_urlsafe()
    with contextlib.ExitStack() as stack:
        stack.enter_context(hosting.running())
        nodes, routers = [], []
        for domain in DOMAINS:
            node_settings = _node_settings(domain, log, vms, peer_key)
            running_node = stack.enter_context(node.running(node_settings))
            nodes.append(running_node)
            routers.append(
                stack.enter_context(
                    router.running(
                        _router_settings(domain, running_node, observe)
                    )
                )
            )
        vms.set_vms(vm_entries(engines, orders, nodes))
        yield Fleet(
            log, vms, engines, orders, nodes, routers, document(key), key
        )


def document(key: str) -> check.Checked:
    """Return the document, with one workspace that uses the API key *key*."""
    checked = check.check_raw(
        {
            'models': {MODEL: {'pool': 'needle'}},
            'services': {
                SERVICE: {
                    'pool': 'desk',
                    'calls': [
                        {
                            'method': 'POST',
                            'path_prefix': '/jobs',
                            'idempotent': False,
                        }
                    ],
                }
            },
            'workspaces': {
                'uniforms': {
                    'share': 1,
                    'api_key_digests': [
                        hashlib.sha256(key.encode()).hexdigest()
                    ],
                }
            },
            'pools': {
                'needle': {'kind': 'model', 'machine_classes': ['a10x8']},
                'desk': {'kind': 'service', 'machine_classes': ['c4']},
            },
        }
    )
    assert isinstance(checked, check.Checked), checked
    return checked


def vm_entries(
    engines: list[engine.Engine],
    orders: order_service.OrderService,
    nodes: list[node.Node],
) -> list[vm_list.Vm]:
    """Return the entries of the platform's VM list for the fleet."""
    entries = [
        _vm(one.name, one.address, DOMAINS[number % 2], 'needle', 'endpoint')
        for number, one in enumerate(engines)
    ]
    entries.append(
        _vm('desk-0', orders.address, DOMAINS[0], 'desk', 'endpoint')
    )
    for domain, one in zip(DOMAINS, nodes, strict=True):
        entries.append(
            _vm(f'entry-{domain}', one.peer_address, domain, '', 'entry')
        )
    return entries


def _vm(
    name: str, address: str, domain: str, pool: str, kind: typing.Any
) -> vm_list.Vm:
    return vm_list.Vm(
        vm=name,
        address=address,
        failure_domain=domain,
        region=REGION,
        pool=pool,
        kind=kind,
    )


def _engine_settings() -> engine_job.EngineSettings:
    return engine_job.EngineSettings(models=[MODEL])


def _node_settings(
    domain: str,
    log: log_service.LogService,
    vms: vm_list.VmList,
    peer_key: str,
) -> node.NodeSettings:
    return node.NodeSettings(
        environment=ENVIRONMENT,
        node=f'entry-{domain}',
        failure_domain=domain,
        region=REGION,
        log_address=log.address,
        vm_list_address=vms.address,
        peer_keys=[peer_key],
    )


def _router_settings(
    domain: str, running_node: node.Node, observe: settings.Observe
) -> router.RouterSettings:
    return router.RouterSettings(
        node=f'entry-{domain}',
        failure_domain=domain,
        region=REGION,
        node_address=running_node.address,
        observe=observe,
    )
