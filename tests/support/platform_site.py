"""Entry nodes and stand-ins of the platform's services, on one loop."""

import contextlib
import itertools
import socket
import typing
from unittest import mock

import httptools
import msgspec

from guavachute.domain import site as domain_site
from guavachute.entry import loop as entry_loop
from guavachute.entry import node as entry_node
from guavachute.entry import transport
from guavachute import ids
from guavachute.standin.platform import cloud as standin_cloud
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store
from tests.support import cut_links
from tests.support import looping
from tests.support import ports

HOST = 'calls.example'
KEY = 'key-of-botany'
OTHER_KEY = 'key-of-zoology'
MODEL_SERVICE = 'drafts'
PLAIN_SERVICE = 'desk'
IDLE_TIMEOUT_MS = 5_000

ROUTES = (
    ('stream', '/stream/', 'streaming', MODEL_SERVICE, False),
    ('resumable', '/resumable/', 'streaming', MODEL_SERVICE, True),
    ('order', '/order/', 'non_idempotent', PLAIN_SERVICE, False),
    ('lookup', '/lookup/', 'idempotent', PLAIN_SERVICE, False),
)


def configuration(
    version: int,
    own_routes: typing.Sequence[tuple[str, str, str, str, bool]] = ROUTES,
    **changes: typing.Any,
) -> bytes:
    """An operator's configuration; *changes* replace top-level fields.

    :param own_routes: name, prefix, kind, service and whether it is resumable
    """
    fields = {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': prefix,
                'type': kind,
                'timeoutMs': 4_000,
                'sloMs': 1_000,
                'priority': 1,
                'service': service,
                'maxAttempts': 2,
                'anonymous': False,
                'sticky': service == MODEL_SERVICE,
                'resumable': resumable,
                'gapSloMs': 500,
            }
            for name, prefix, kind, service, resumable in own_routes
        ],
        'services': [
            {
                'name': MODEL_SERVICE,
                'healthPath': '/healthz',
                'maxConns': 100,
                'engine': {'slots': 8, 'kvCapacity': 100_000},
            },
            {
                'name': PLAIN_SERVICE,
                'healthPath': '/healthz',
                'maxConns': 100,
            },
        ],
        'limits': {
            'maxHeaderBytes': 4_096,
            'maxBodyBytes': 65_536,
            'headerTimeoutMs': 300,
            'idleTimeoutMs': IDLE_TIMEOUT_MS,
        },
        'tenants': [
            _tenant('botany', KEY),
            _tenant('zoology', OTHER_KEY),
        ],
    }
    return msgspec.json.encode({**fields, **changes})


def _tenant(name: str, key: str) -> dict[str, typing.Any]:
    return {
        'name': name,
        'apiKeys': [key],
        'unit': 'tokens',
        'uncachedTokens': 100,
        'ratePerS': 1_000_000,
        'burst': 1_000_000,
    }


class Reply:
    """The answer that a caller has received.

    :ivar is_complete: whether the answer ended as its framing says
    :ivar was_reset: whether the connection broke, rather than being closed
    :ivar is_malformed: whether bytes came that are no valid answer
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_complete = False
        self.is_malformed = False
        self.is_closed = False
        self.was_reset = False

    @property
    def is_framed(self) -> bool:
        """Whether the answer has a length or chunks."""
        names = self.headers.keys()
        return 'content-length' in names or 'transfer-encoding' in names

    @property
    def ended_cleanly(self) -> bool:
        """Whether nothing but the content can show that it is incomplete."""
        if not self.status or self.is_framed:
            return self.is_complete
        return self.is_closed and not self.was_reset

    @property
    def has_ended(self) -> bool:
        """Whether the answer is complete or the connection closed."""
        return self.is_complete or self.is_closed


class PlatformSite:
    """The stand-ins, and the nodes that a test adds."""

    def __init__(self) -> None:
        self.loop = entry_loop.Loop()
        self.store = standin_store.Store(self.loop)
        self.cloud = standin_cloud.Cloud(self.loop)
        self.nodes: list[entry_node.Node] = []
        self.engines: list[standin_engine.Engine] = []
        self._numbers = itertools.count(1)
        self._attempts = itertools.count(1)
        self._stack = contextlib.ExitStack()
        self.links = cut_links.CutLinks(self._is_endpoint)
        self._stack.callback(self.links.close)
        self._stack.enter_context(
            mock.patch.object(transport, 'connect', self.links.connect)
        )

    def _is_endpoint(self, address: ids.Address) -> bool:
        return any(engine.address == address for engine in self.engines)

    def close(self) -> None:
        """Close all nodes, engines and stand-ins."""
        self._stack.close()
        for engine in self.engines:
            engine.close()
        self.cloud.close()
        self.store.close()

    def configure(self, version: int, **changes: typing.Any) -> None:
        """Write a configuration to the operator's topic."""
        self.store.put(
            standin_store.OPERATOR_TOPIC,
            'config',
            configuration(version, **changes),
        )

    def add_engine(
        self, name: str, service: str, events: int = 0
    ) -> standin_engine.Engine:
        """Add an endpoint that is registered and healthy."""
        engine = standin_engine.Engine(
            self.loop, self.store, name, service, 'here-a', events
        )
        self.engines.append(engine)
        engine.register()
        return engine

    def add_node(self, **changes: typing.Any) -> entry_node.Node:
        """Add and start a node; *changes* replace settings."""
        number = next(self._numbers)
        ip = f'127.0.0.{number}'
        site = node_settings(
            f'edge-{number}',
            ip,
            changes.pop('store', self.store.address),
            self.cloud.address,
            self._stack.enter_context(ports.reserved(ip)),
            **changes,
        )
        node = entry_node.Node(self.links.node_loop(self.loop), site)
        self._stack.callback(node.close)
        self.nodes.append(node)
        node.start()
        return node

    def ready_node(self, **changes: typing.Any) -> entry_node.Node:
        """Add a node, and wait until it is ready and knows all endpoints."""
        node = self.add_node(**changes)
        looping.run_until(
            self.loop,
            lambda: (
                node.is_ready
                and len(node.state.table.entries) >= len(self.engines)
            ),
        )
        return node

    def send(
        self,
        node: entry_node.Node,
        path: str,
        method: str = 'POST',
        body: bytes = b'question',
        key: str | None = KEY,
        **headers: str,
    ) -> 'CallerSocket':
        """Send a request over a new connection."""
        caller = CallerSocket(self.loop, node.ingress.address)
        self._stack.callback(caller.close)
        caller.send(request_bytes(
            path, f'attempt-{next(self._attempts)}', method, body, key,
            **headers,
        ))  # fmt: skip
        return caller

    def fetch(
        self, node: entry_node.Node, path: str, **options: typing.Any
    ) -> Reply:
        """Send a request, and wait for the end of its answer."""
        caller = self.send(node, path, **options)
        looping.run_until(self.loop, lambda: caller.reply.has_ended)
        caller.close()
        return caller.reply


def request_bytes(
    path: str,
    attempt_id: str,
    method: str = 'POST',
    body: bytes = b'question',
    key: str | None = KEY,
    **headers: str,
) -> bytes:
    """A request as a caller sends it."""
    fields = {
        'Host': HOST,
        'Attempt-Id': attempt_id,
        'Deadline-Ms': '3000',
        'Content-Length': str(len(body)),
    }
    if key is not None:
        fields['Authorization'] = f'Token {key}'
    fields.update(
        {name.replace('_', '-'): value for name, value in headers.items()}
    )
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class CallerSocket:
    """The connection of a caller, on the loop."""

    def __init__(self, loop: entry_loop.Loop, address: ids.Address) -> None:
        self._loop = loop
        self.reply = Reply()
        self._parser = httptools.HttpResponseParser(self)
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection((host, int(port)))
        self._socket.setblocking(False)
        self._is_open = True
        loop.watch(self._socket, entry_loop.READ, self._ready)

    def send(self, data: bytes) -> None:
        """Send bytes, and expect a new answer."""
        self.reply = Reply()
        self._socket.sendall(data)

    def close(self) -> None:
        """Close the connection."""
        if self._is_open:
            self._is_open = False
            self._loop.unwatch(self._socket)
            self._socket.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header of the answer."""
        self.reply.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self.reply.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Parser callback: a part of the body."""
        self.reply.body += data

    def on_message_complete(self) -> None:
        """Parser callback: the answer is complete."""
        self.reply.is_complete = True

    def _ready(self, events: int) -> None:
        try:
            data = self._socket.recv(65_536)
        except ConnectionError:
            self.reply.was_reset = True
            data = b''
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reply.is_malformed = True
            data = b''
        if not data:
            self.reply.is_closed = True
            self.close()


def node_settings(
    name: str,
    ip: str,
    store: ids.Address,
    cloud: ids.Address | None,
    peers_port: int,
    **changes: typing.Any,
) -> domain_site.Site:
    """Settings of a node at *ip*; *changes* replace fields.

    :param peers_port: reserved for the node
    """
    bounds = {
        'drain_s': 3.0,
        'stop_grace_s': 8.0,
        'configuration_s': 3.0,
        'retry_ratio': 0.2,
        'retry_window_s': 10.0,
        'retry_allowance': 50.0,
        'quota_window_s': 8.0,
        'quota_overshoot': 0.1,
        'quota_allowance': 0.0,
        'lease_s': 2.0,
        'usage_window_s': 1.0,
        'usage_delay_s': 30.0,
        'address_ttl_max_s': 5.0,
    }
    bounds.update(changes.pop('bounds', {}))
    fields: dict[str, typing.Any] = {
        'node': ids.NodeId(name),
        'ip': ip,
        'domain': ids.FailureDomain('here-a'),
        'region': ids.Region('here'),
        'region_of': {
            ids.FailureDomain('here-a'): ids.Region('here'),
            ids.FailureDomain('here-b'): ids.Region('here'),
        },
        'listen': domain_site.Listen(
            callers=ids.Address(f'{ip}:0'),
            readiness=ids.Address(f'{ip}:0'),
            directory=None,
            peers_port=peers_port,
            metrics_port=0,
            relay_port=0,
        ),
        'store': domain_site.StoreLimits(store, 400, 2_000, 262_144),
        'cloud': None
        if cloud is None
        else domain_site.Cloud(cloud, 50, True, False),
        'bounds': domain_site.Bounds(**bounds),
        'seeds': (),
        'heartbeat_s': 1.2,
        'max_descriptors': 1_024,
    }
    fields.update(changes)
    return domain_site.Site(**fields)
