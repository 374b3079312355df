"""Stand-ins of the platform, and the entry processes that a case starts.

Everything listens on loopback addresses. The entry processes are started with
the command of ``deploy/system.toml``, and ended by their process ids.
"""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'calls.example'
KEY = 'key-of-botany'
TENANT = 'botany'
HEARTBEAT_S = 1.2

HELD = 0
BROKEN = 1
NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """What was sent, answered and run, as lines with the time."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = (folder / 'record.txt').open('w', buffering=1)

    def now_s(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


def free_port(ip: str, offsets: typing.Sequence[int] = (0,)) -> int:
    """A port of *ip* that is free, with those at *offsets* from it."""
    while True:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ip, 0))
            port = int(first.getsockname()[1])
            if port + max(offsets) > 65_535:
                continue
            try:
                for offset in offsets[1:]:
                    other = stack.enter_context(socket.socket())
                    other.bind((ip, port + offset))
                datagrams = stack.enter_context(
                    socket.socket(type=socket.SOCK_DGRAM)
                )
                datagrams.bind((ip, port))
            except OSError:
                continue
            return port


class HttpRequest(typing.NamedTuple):
    """A request that a stand-in has read completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """The next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ', 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(':')
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return HttpRequest(method, target, headers, body)


def encode_head(
    status: int, headers: dict[str, str], length: int | None
) -> bytes:
    """The head of an answer; chunked without a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if length is None:
        lines.append('Transfer-Encoding: chunked')
    else:
        lines.append(f'Content-Length: {length}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'


def encode_chunk(data: bytes) -> bytes:
    """*data* as a chunk."""
    return b'%x\r\n%s\r\n' % (len(data), data)


class Listener:
    """A server whose connections can be aborted."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self.address = ''

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    async def listen(self, ip: str, port: int = 0) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._accept, ip, port, limit=2**23, backlog=512
        )
        host, number = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{number}'

    def abort(self, keeps_listening: bool = False) -> None:
        """Reset all connections, and stop listening unless told not to."""
        if self._server is not None and not keeps_listening:
            self._server.close()
            self._server = None
        for writer in list(self._open):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Topic:
    """One partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    def append(self, name: str, content: bytes) -> None:
        """Append a record, and apply it to the newest values."""
        if name.startswith('keyed.'):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                self.newest[key] = len(self.records), value
            else:
                self.newest.pop(key, None)
        self.records.append(content)


class Store(Listener):
    """The platform's metadata store: a log with topics, without faults."""

    def __init__(self) -> None:
        super().__init__()
        self._topics: dict[str, Topic] = collections.defaultdict(Topic)
        self._changed = asyncio.Condition()
        self.calls = 0

    async def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write a record; without a value the key is dropped."""
        content = bytes([len(key)]) + key.encode() + (value or b'')
        await self._append(topic, [content])

    async def _append(self, name: str, contents: list[bytes]) -> int:
        async with self._changed:
            topic = self._topics[name]
            first = len(topic.records)
            for content in contents:
                topic.append(name, content)
            self._changed.notify_all()
        return first

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the calls of one connection."""
        while (request := await read_request(reader)) is not None:
            self.calls += 1
            path, _, text = request.target.partition('?')
            query = dict(urllib.parse.parse_qsl(text))
            name = path.rpartition('/')[2]
            status, body = 404, b''
            if name == 'log-append':
                status, body = await self._serve_append(query, request.body)
            elif name == 'log-newest':
                status, body = 200, self._newest(query)
            elif name == 'log-read':
                status, body = await self._serve_read(query)
            writer.write(
                encode_head(status, {'Store-Era': '1'}, len(body)) + body
            )
            await writer.drain()

    async def _serve_append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        end = len(self._topics[query['topic']].records)
        if 'at' in query and int(query['at']) != end:
            return 412, json.dumps({'endOffset': end}).encode()
        contents, place = [], 0
        while place < len(body):
            (size,) = struct.unpack_from('>I', body, place)
            contents.append(body[place + 4 : place + 4 + size])
            place += 4 + size
        first = await self._append(query['topic'], contents)
        found = {'offset': first, 'endOffset': first + len(contents)}
        return 200, json.dumps(found).encode()

    def _newest(self, query: dict[str, str]) -> bytes:
        topic = self._topics[query['topic']]
        keys = sorted(k for k in topic.newest if k > query.get('after', ''))
        items = [
            {
                'key': key,
                'offset': topic.newest[key][0],
                'value': base64.b64encode(topic.newest[key][1]).decode(),
            }
            for key in keys[:500]
        ]
        return json.dumps(
            {
                'items': items,
                'hasMore': len(keys) > 500,
                'endOffset': len(topic.records),
            }
        ).encode()

    async def _serve_read(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic, start = self._topics[query['topic']], int(query['from'])
        if start > len(topic.records):
            return 410, b'{"firstOffset":0}'
        wait_s = int(query.get('waitMs', '0')) / 1000
        if start == len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(
                        lambda: len(topic.records) > start
                    )
        body = struct.pack('>QQ', len(topic.records), 0)
        for item in topic.records[start : start + 2_000]:
            body += struct.pack('>I', len(item)) + item
        return 200, body


class Cloud(Listener):
    """The platform's API: accepts calls unless a higher token was seen."""

    def __init__(self) -> None:
        super().__init__()
        self._highest: dict[str, int] = {}
        self.calls: list[tuple[str, str, int, typing.Any]] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the calls of one connection."""
        while (request := await read_request(reader)) is not None:
            body = json.loads(request.body)
            fence = int(request.headers.get('fencing-token', -1))
            subject = request.target
            if 'zone' in body:
                subject += f'/{body["service"]}/{body["zone"]}'
            status = 409 if fence < self._highest.get(subject, -1) else 200
            if status == 200:
                self._highest[subject] = fence
                holder = request.headers.get('duty-holder', '')
                self.calls.append((subject, holder, fence, body))
            writer.write(encode_head(status, {}, 0))
            await writer.drain()


class Engine(Listener):
    """An engine, which registers itself in the store.

    Its answers to streaming requests have :attr:`events` events, in whose
    data the engine's version stands. Plain requests get a short body.

    :ivar on_run: called with each request that begins to run
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        zone: str,
        events: int = 0,
        gap_s: float = 0.05,
        work_s: float = 0.01,
    ) -> None:
        super().__init__()
        self._store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.events = events
        self.gap_s = gap_s
        self.work_s = work_s
        self.slots = 48
        self.version = 'v1'
        self.born_ms = 0
        self.sequence = 0
        self.state = 'ready'
        self.running = 0
        self.runs: list[tuple[str, str]] = []
        self._beat: asyncio.Task[None] | None = None

    async def start(self, ip: str, port: int = 0) -> None:
        """Start as a new incarnation, and write its entry."""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        await self.listen(ip, port)
        await self.write_entry()
        self._beat = asyncio.create_task(self._renew())
        self.record.line(f'engine {self.name} {self.version} starts')

    def crash(self) -> None:
        """Reset all connections and stop; the entry stays."""
        self.record.line(f'engine {self.name} {self.version} crashes')
        if self._beat is not None:
            self._beat.cancel()
        self.abort()

    async def write_entry(self) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born_ms,
        }
        await self._store.put(
            'keyed.servers', self.name, json.dumps(entry).encode()
        )

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entry()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        while (request := await read_request(reader)) is not None:
            if request.target == '/guavachute/report':
                body = json.dumps({
                    'active': self.running, 'queued': 0, 'state': self.state,
                    'born': self.born_ms, 'kvUsed': 0, 'kvTotal': 700_000,
                }).encode()  # fmt: skip
                writer.write(encode_head(200, {}, len(body)) + body)
            elif (
                request.headers.get('expect-instance', self.name) != self.name
            ):
                headers = {'Attempt-Id': request.headers.get('attempt-id', '')}
                writer.write(encode_head(421, headers, 0))
            else:
                await self._run(request, reader, writer)
            await writer.drain()

    async def _run(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = request.headers.get('attempt-id', '')
        self.running += 1
        self.runs.append((attempt, self.version))
        after = request.headers.get('last-event-id', '')
        self.record.line(
            f'engine {self.name} {self.version} runs {attempt}'
            + (f' after event {after}' if after else '')
        )
        try:
            await self.answer(request, reader, writer)
        finally:
            self.running -= 1

    def headers(self, request: HttpRequest) -> dict[str, str]:
        """The headers of an answer to *request*."""
        return {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Server-Stamp': f'{self.name}.{self.version}',
            'Instance-Load': f'{self.running},0,{self.slots}',
        }

    async def answer(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request that runs."""
        if not self.events:
            await asyncio.sleep(self.work_s)
            body = b'done by ' + self.name.encode()
            head = encode_head(200, self.headers(request), len(body))
            writer.write(head + body)
            return
        writer.write(encode_head(200, self.headers(request), None))
        first = int(request.headers.get('last-event-id', 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            if writer.is_closing():
                return
            event = f'id: {number}\ndata: {self.name} {self.version}\n\n'
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


class Node:
    """One entry process and its settings file."""

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        name: str,
        ip: str,
        zone: str,
        zones: dict[str, str],
        store: str,
        cloud: str,
        bounds: dict[str, typing.Any],
    ) -> None:
        self.record = record
        self.name = name
        self.ip = ip
        ports = [free_port(ip) for _ in range(3)]
        internal = free_port(ip, (0, 1, 2))
        self.frontend, self.ready, self.directory = (
            f'{ip}:{port}' for port in ports
        )
        self.settings = {
            'nodeName': name,
            'role': 'entry',
            'machineClass': 'edge',
            'serves': ['edge', 'registry', 'control'],
            'ip': ip,
            'zone': zone,
            'region': zones[zone],
            'zones': zones,
            'listen': {
                'frontend': self.frontend,
                'ready': self.ready,
                'controlPlane': f'{ip}:{free_port(ip)}',
                'directory': self.directory,
            },
            'internalPorts': [internal, internal + 15],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300,
                'maxFds': 4200, 'linkMbps': 1000.0, 'diskMb': 0,
            },
            'heartbeatMs': int(HEARTBEAT_S * 1000),
            'bounds': bounds,
            'platform': {
                'address': store, 'form': 'log', 'writesPerS': 400.0,
                'readsPerS': 2000.0, 'parts': 12, 'recordBytes': 262144,
                'callBytes': 2097152, 'keep_s': 300,
            },
            'cloudApi': {
                'address': cloud, 'ratePerS': 50.0,
                'duties': ['usage', 'scaling'], 'dutyPerS': 50.0,
            },
        }  # fmt: skip
        self._folder = folder
        self.file = folder / f'{name}.yaml'
        # JSON is YAML too.
        self.file.write_text(json.dumps(self.settings))
        self._starts = 0
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        if command[0] == 'python3':
            command[0] = sys.executable
        self._starts += 1
        log = self._folder / f'{self.name}.{self._starts}.log'
        with log.open('wb') as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'GUAVACHUTE_NODE_FILE': str(self.file),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.line(f'node {self.name} starts')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.line(f'node {self.name} gets {number.name}')
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


BOUNDS = {
    'contactMs': 4000, 'ackMs': 5000, 'catchUpS': 4, 'drainMs': 3000,
    'graceS': 8, 'lossSlackMs': 200, 'configApplyMs': 3000,
    'rollbackSlackMs': 250, 'outerMs': 6000, 'retryRatio': 0.2,
    'retryWindowS': 10, 'retryAllowance': 54, 'quotaWindowS': 8,
    'quotaOvershoot': 0.1, 'quotaAllowance': 140000,
    'fencingEnforced': True, 'leaseMs': 3000, 'thawSlackMs': 300,
    'usageWindowS': 5, 'usageTolerance': 0.05, 'usageDelayS': 10,
    'recoveryS': 12, 'ttl_max_s': 5,
}  # fmt: skip

ZONES = {
    'erongo-pit': 'erongo',
    'karas-depot': 'karas',
    'erongo-bay': 'erongo',
}


class Route(typing.NamedTuple):
    """A route of the configuration."""

    prefix: str
    kind: str
    service: str
    resumable: bool = False
    timeout_ms: int = 15_000
    slo_ms: int = 500
    max_attempts: int = 2


class Site:
    """A small deployment: the platform, engines and entry processes."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.folder = folder
        # Runs at the same time don't share an address.
        self.net = f'127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250}'
        self.store = Store()
        self.cloud = Cloud()
        self.engines: list[Engine] = []
        self.nodes: list[Node] = []
        self._numbers = itertools.count(1)

    async def start_platform(self) -> None:
        """Start the store and the cloud."""
        await self.store.listen(f'{self.net}.1')
        await self.cloud.listen(f'{self.net}.1')

    async def configure(
        self, version: int, routes: typing.Sequence[Route], **changes: object
    ) -> None:
        """Write a configuration as the operator."""
        services = sorted({route.service for route in routes})
        models = {r.service for r in routes if r.kind == 'streaming'}
        fields = {
            'version': version,
            'routes': [
                {
                    'name': f'r{number}', 'host': HOST,
                    'pathPrefix': route.prefix, 'type': route.kind,
                    'timeoutMs': route.timeout_ms, 'sloMs': route.slo_ms,
                    'priority': 0, 'service': route.service,
                    'maxAttempts': route.max_attempts, 'anonymous': False,
                    'sticky': route.service in models,
                    'resumable': route.resumable, 'gapSloMs': 250,
                }
                for number, route in enumerate(routes)
            ],
            'services': [
                {
                    'name': name, 'healthPath': '/healthz', 'maxConns': 300,
                    **(
                        {'engine': {'slots': 48, 'kvCapacity': 753350}}
                        if name in models
                        else {}
                    ),
                }
                for name in services
            ],
            'limits': {
                'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
            },
            'tenants': [
                {
                    'name': TENANT, 'apiKeys': [KEY], 'priority': 1,
                    'unit': 'tokens', 'uncachedTokens': 200,
                    'ratePerS': 1_000_000, 'burst': 1_000_000,
                }
            ],
            **changes,
        }  # fmt: skip
        await self.store.put('keyed.op', 'config', json.dumps(fields).encode())
        self.record.line(f'configuration {version} is acknowledged')

    def add_engine(
        self,
        engine_class: type[Engine],
        name: str,
        service: str,
        **options: typing.Any,
    ) -> Engine:
        """Add an engine, which the case starts."""
        zones = list(ZONES)
        zone = zones[len(self.engines) % len(zones)]
        engine = engine_class(
            self.store, self.record, name, service, zone, **options
        )
        self.engines.append(engine)
        return engine

    def engine_ip(self, engine: Engine) -> str:
        """The loopback address of an engine."""
        return f'{self.net}.{100 + self.engines.index(engine)}'

    def add_nodes(self, number: int) -> None:
        """Add entry processes, one after the other in each zone."""
        for _ in range(number):
            place = len(self.nodes)
            zone = list(ZONES)[place % len(ZONES)]
            self.nodes.append(
                Node(
                    self.record,
                    self.folder,
                    f'edge-{zone}-{place + 1}',
                    f'{self.net}.{10 + place}',
                    zone,
                    ZONES,
                    self.store.address,
                    self.cloud.address,
                    BOUNDS,
                )  # fmt: skip
            )

    async def wait_until_ready(
        self, nodes: typing.Sequence[Node] | None = None
    ) -> None:
        """Wait until all processes say that they are ready."""
        for node in nodes or self.nodes:
            for _ in range(400):
                if await is_ready(node):
                    break
                await asyncio.sleep(0.05)
            else:
                raise CannotRunError(f'{node.name} does not get ready')

    def close(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            node.end()
        for item in [*self.engines, self.store, self.cloud]:
            item.abort()


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection to *address*."""
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


async def is_ready(node: Node) -> bool:
    """Whether a process answers 200 to the platform's question."""
    try:
        status, _ = await call(node.ready, 'GET', '/guavachute/readyz')
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return False
    return status == 200


async def call(address: str, method: str, target: str) -> tuple[int, bytes]:
    """A plain call on a connection of its own."""
    reader, writer = await connect(address)
    try:
        writer.write(
            f'{method} {target} HTTP/1.1\r\nHost: {address}\r\n'
            'Connection: close\r\n\r\n'.encode()
        )
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head.split(b' ', 2)[1])
        return status, await reader.read()
    finally:
        writer.close()


class Answer:
    """What a caller has received.

    :ivar status: 0 without a head
    :ivar is_complete: whether the answer ended as its framing says
    :ivar end: how the answer ended, for the record
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_complete = False
        self.end = 'no answer'


def encode_request(
    method: str,
    path: str,
    attempt: str,
    body: bytes = b'',
    headers: typing.Mapping[str, str] | None = None,
    deadline_ms: int = 15_000,
) -> bytes:
    """A request as the platform's clients send it."""
    fields = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': str(deadline_ms),
        'Authorization': f'Token {KEY}',
        **(headers or {}),
    }
    if body or method != 'GET':
        fields['Content-Length'] = str(len(body))
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, as far as it comes."""
    answer = Answer()
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        answer.status = int(lines[0].split(' ')[1])
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(':')
                answer.headers[name.strip().lower()] = value.strip()
        if 'content-length' in answer.headers:
            left = int(answer.headers['content-length'])
            while left:
                data = await reader.read(min(left, 65_536))
                if not data:
                    raise EOFError
                answer.body += data
                left -= len(data)
        elif answer.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += data[:-2]
        else:
            answer.body = await reader.read()
        answer.is_complete = True
        answer.end = 'complete'
    except (asyncio.IncompleteReadError, EOFError):
        answer.end = 'closed before its end'
    except ConnectionError:
        answer.end = 'reset before its end'
    return answer


def play(
    folder: pathlib.Path,
    case: typing.Callable[[Site, bool], typing.Awaitable[bool]],
    limit_s: float = 110.0,
) -> int:
    """Play a case; returns the exit status of its script.

    :param case: gets the site and whether to cause the disruption; returns
        whether the rule held
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        site: Site | None = None

        async def run() -> bool:
            nonlocal site
            site = Site(record, pathlib.Path(temporary))
            async with asyncio.timeout(limit_s):
                await site.start_platform()
                return await case(site, has_trouble)

        try:
            held = asyncio.run(run())
        except Exception as error:
            # Only the check of the rule may say that it was broken.
            record.line(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            if site is not None:
                for node in site.nodes:
                    node.end()
                kept = os.environ.get('KEEP_LOGS')
                if kept:
                    for log in pathlib.Path(temporary).glob('*.log'):
                        (pathlib.Path(kept) / log.name).write_bytes(
                            log.read_bytes()
                        )
            record.close()
    return HELD if held else BROKEN
