"""A small deployment on loopback addresses for the scripts of this review.

The entry processes are started with the command of the deploy file. The store
and the engines are the project's stand-ins, in a process of their own
(``platform2.py``). Clients are in the scripts.
"""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'calls.example'
KEY = 'key-of-botany'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2

os.environ['PYTHONPATH'] = os.pathsep.join(
    [str(ROOT / 'src'), str(ROOT / 'target' / 'deps')]
)


def free_port(ip):
    """A free TCP port."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]


def free_block(ip, size=16):
    """The first of *size* free ports in a row, for TCP and UDP."""
    for first in range(20000 + os.getpid() % 5000, 60000, size):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + size):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(
                            socket.socket(socket.AF_INET, kind)
                        )
                        sock.bind((ip, port))
            except OSError:
                continue
            return first
    raise OSError(f'no {size} free ports in a row at {ip}')


def route(name, prefix, kind, service, timeout_ms, **changes):
    """A route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'timeoutMs': timeout_ms,
        'sloMs': 500,
        'priority': 1,
        'service': service,
        'maxAttempts': 1,
        'anonymous': False,
        'sticky': kind == 'streaming',
        'resumable': False,
        'gapSloMs': 300,
        **changes,
    }


def configuration(version=1):
    """A configuration with the limits and time-outs of a small site."""
    return {
        'version': version,
        'routes': [
            route('plan', '/plan/', 'streaming', 'drafts', 15000),
            route('order', '/order/', 'non_idempotent', 'desk', 1500),
        ],
        'services': [
            {
                'name': 'drafts',
                'healthPath': '/healthz',
                'maxConns': 300,
                'engine': {'slots': 48, 'kvCapacity': 753350},
            },
            {'name': 'desk', 'healthPath': '/healthz', 'maxConns': 100},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'botany',
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'uncachedTokens': 200,
                'ratePerS': 1000000,
                'burst': 1000000,
            }
        ],
    }


class Record:
    """What was sent, answered and run: one line each, in ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text):
        with self._lock:
            at_s = time.monotonic() - self._started_s
            self._file.write(f'{at_s:8.3f} {text}\n')
            self._file.flush()


class Platform:
    """The process with the store and the engines."""

    def __init__(self, record, plan):
        self._record = record
        self._process = subprocess.Popen(
            [sys.executable, str(ROOT / 'review' / 'platform2.py')],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.store = self.call(plan)['store']

    def call(self, command):
        """Send a command, and return its answer."""
        self._process.stdin.write(json.dumps(command) + '\n')
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())

    def runs(self):
        """The attempts that the engines have run, with their engine."""
        return self.call({'do': 'runs'})['runs']

    def close(self):
        self._process.kill()
        self._process.wait()


class Entry:
    """An entry process, which the platform starts again if it ends.

    :ivar ends: how often it ended, or was ended for its memory
    """

    def __init__(self, record, folder, number, store, seeds, **limits):
        self._record = record
        self.name = f'edge-{number}'
        self.ip = f'127.0.{80 + os.getpid() % 100}.{number}'
        self.frontend = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self.directory = (self.ip, free_port(self.ip))
        self.memory_mb = limits.get('memoryMb', 300)
        first = free_block(self.ip)
        self.control = f'{self.ip}:{free_port(self.ip)}'
        self.log = pathlib.Path(folder) / f'{self.name}.log'
        self._file = pathlib.Path(folder) / f'{self.name}.yaml'
        settings = {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'edge',
            'serves': ['edge', 'registry', 'control'],
            'ip': self.ip,
            'zone': 'here-a',
            'region': 'here',
            'zones': {'here-a': 'here'},
            'listen': {
                'frontend': '%s:%d' % self.frontend,
                'ready': '%s:%d' % self.ready,
                'directory': '%s:%d' % self.directory,
                'controlPlane': self.control,
            },
            'internalPorts': [first, first + 15],
            'seeds': seeds,
            'bootstrap': True,
            'limits': {
                'cpuShare': 1.0,
                'cores': 1,
                'memoryMb': self.memory_mb,
                'maxFds': limits.get('maxFds', 4100),
                'linkMbps': 1000.0,
            },
            'heartbeatMs': 1200,
            'bounds': {
                'contactMs': 4000,
                'drainMs': 3000,
                'graceS': 8,
                'configApplyMs': 3000,
                'retryRatio': 0.2,
                'retryWindowS': 10,
                'retryAllowance': 54,
                'quotaWindowS': 8,
                'quotaOvershoot': 0.1,
                'quotaAllowance': 140000,
                'leaseMs': 3000,
                'usageWindowS': 5,
                'usageDelayS': 10,
                'ttl_max_s': 5,
            },
            'platform': {
                'address': store,
                'writesPerS': 400,
                'readsPerS': 2000,
                'recordBytes': 262144,
            },
        }
        # JSON is valid YAML.
        self._file.write_text(json.dumps(settings))
        self.ends = 0
        self.peak_mb = 0.0
        self._process = None
        self.start()

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['GUAVACHUTE_NODE_FILE'] = str(self._file)
        with self.log.open('ab') as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def pid(self):
        return self._process.pid

    @property
    def status(self):
        """The exit status; None while the process runs."""
        return self._process.poll()

    def signal(self, number):
        self._process.send_signal(number)

    def memory_now_mb(self):
        """The resident memory."""
        try:
            text = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    def watch_memory(self):
        """End the process if it exceeds its memory, as the platform does.

        Returns whether it was ended.
        """
        used_mb = self.memory_now_mb()
        self.peak_mb = max(self.peak_mb, used_mb)
        if used_mb <= self.memory_mb:
            return False
        self._record.write(
            f'platform ends {self.name}: {used_mb:.0f} MB resident, '
            f'memoryMb is {self.memory_mb}'
        )
        self._process.kill()
        self._process.wait()
        return True

    def is_ready(self):
        return get_status(self.ready, '/guavachute/readyz') == 200

    def close(self):
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()


def get_status(address, target, timeout_s=1.0):
    """The status of a GET over a new connection; 0 without an answer."""
    try:
        with socket.create_connection(address, timeout_s) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(
                f'GET {target} HTTP/1.1\r\nHost: x\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
            data = sock.recv(64)
    except OSError:
        return 0
    parts = data.split(b' ')
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


def wait_until(condition, limit_s, what):
    """Wait for a condition; the case could not run without it."""
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end_s:
            raise NotRun(f'{what}: not within {limit_s} s')
        time.sleep(0.05)


class NotRun(Exception):
    """The case could not be played."""


def request(path, attempt, method='POST', body=b'question', **headers):
    """A request as an ordinary client sends it."""
    lines = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': '3000',
        'Authorization': f'Token {KEY}',
        'Content-Length': str(len(body)),
        **headers,
    }
    head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
        f'{name}: {value}\r\n' for name, value in lines.items()
    )
    return head.encode() + b'\r\n' + body


def read_answer(sock):
    """The status, headers and body of an answer with a length.

    None if the connection ends before it is complete.
    """
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    length = int(headers.get('content-length', '0'))
    while len(body) < length:
        part = sock.recv(65536)
        if not part:
            return None
        body += part
    return int(lines[0].split()[1]), headers, body


def read_chunks(sock):
    """The status and headers of an answer, and whether it is complete.

    The body has a length, or chunks; nothing follows it.
    """
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65536)
        if not part:
            return 0, {}, False
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    is_chunked = 'transfer-encoding' in headers
    length = int(headers.get('content-length', '0'))
    while (
        not body.endswith(b'0\r\n\r\n') if is_chunked else len(body) < length
    ):
        part = sock.recv(65536)
        if not part:
            return int(lines[0].split()[1]), headers, False
        body += part
    return int(lines[0].split()[1]), headers, True


@contextlib.contextmanager
def deployment(folder, plan, nodes, **limits):
    """A record, a platform and *nodes* entry processes, all of them ready."""
    record = Record(folder)
    with (
        tempfile.TemporaryDirectory() as scratch,
        contextlib.ExitStack() as stack,
    ):
        platform = Platform(record, {'do': 'start', **plan})
        stack.callback(platform.close)
        entries = []
        seeds = []
        for number in range(1, nodes + 1):
            entry = Entry(
                record, scratch, number, platform.store, list(seeds), **limits
            )
            stack.callback(entry.close)
            entries.append(entry)
            if len(seeds) < 3:
                seeds.append(entry.control)
        wait_until(
            lambda: all(entry.is_ready() for entry in entries),
            20,
            'the entry processes are ready',
        )
        yield record, platform, entries


def main(play):
    """Run *play*; the exit status tells whether the rule was broken."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        is_broken = play()
    except NotRun as error:
        print(f'not run: {error}')
        sys.exit(NOT_RUN)
    print('the rule was broken' if is_broken else 'the rule held')
    sys.exit(BROKEN if is_broken else HELD)
