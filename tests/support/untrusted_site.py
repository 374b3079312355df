"""Real processes that clients outside all limits are let loose on."""

import contextlib
import http.client
import json
import pathlib
import subprocess
import tempfile
import threading
import typing
import unittest

import msgspec

from guavachute.assembly import router
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import settings as standin_settings
from tests.support import documents
from tests.support import misbehaving
from tests.support import platform_site
from tests.support import ports
from tests.support import programs
from tests.support import waiting

IP = '127.0.78.1'
ANSWER_TIMEOUT_S = 60

MEMORY_MB = 120
"""The memory of the entry VM. An idle process uses about 40 MB."""

MAX_DESCRIPTORS = 256
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 2_097_152
ROUTER_MEMORY_MB = 160
"""The memory for a router. An idle router uses about 60 MB."""


class ProcessTest(unittest.TestCase):
    """Checks that hold whatever the clients do."""

    process: subprocess.Popen[typing.Any]
    memory_mb: int
    max_descriptors: int
    address: str
    memory: misbehaving.MemoryWatch

    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )

    def connect_clients(self) -> misbehaving.Clients:
        clients = misbehaving.Clients(self.address)
        self.stack.callback(clients.close)
        return clients

    def ordinary_status(self) -> int:
        """The status of an ordinary request."""
        raise NotImplementedError

    def watch_memory(self) -> None:
        """Measure the memory of the process from now on."""
        self.memory = self.stack.enter_context(
            misbehaving.watched_memory(self.process.pid)
        )

    def check_process(self) -> None:
        """Check the process while the clients are still connected."""
        if self.process.poll() is None:
            misbehaving.wait_until_read(self.process.pid)
        self.assertIsNone(self.process.poll(), 'the process has ended')
        descriptors = misbehaving.open_descriptors(self.process.pid)
        status = self.ordinary_status()
        self.assertIsNone(self.process.poll(), 'the process has ended')
        resident_mb = misbehaving.peak_memory_mb(self.process.pid)
        memory_mb = max(resident_mb, self.memory.peak_mb)
        found = (
            f'peak {memory_mb:.0f} of {self.memory_mb} MB (resident '
            f'{resident_mb:.0f}, unread {self.memory.peak_unread_mb:.0f}), '
            f'{descriptors} of {self.max_descriptors} descriptors, '
            f'ordinary request: {status}'
        )
        print(f'{self.id()}: {found}')
        self.assertLessEqual(memory_mb, self.memory_mb, found)
        self.assertLessEqual(descriptors, self.max_descriptors, found)
        self.assertEqual(200, status, found)


class EntryProcessTest(ProcessTest):
    """``guavachute-entry`` with endpoints of two services."""

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS
    caller_limits: typing.Mapping[str, int] = {}
    model_slots = 8

    def setUp(self) -> None:
        super().setUp()
        self.site = platform_site.PlatformSite()
        self.stack.callback(self.site.close)
        limits = {
            'maxHeaderBytes': MAX_HEAD_BYTES,
            'maxBodyBytes': MAX_BODY_BYTES,
            'headerTimeoutMs': 20_000,
            'idleTimeoutMs': 40_000,
        }
        services: list[dict[str, typing.Any]] = [
            {'name': name, 'healthPath': '/healthz', 'maxConns': 4_000}
            for name in (
                platform_site.MODEL_SERVICE,
                platform_site.PLAIN_SERVICE,
            )
        ]
        services[0]['engine'] = {
            'slots': self.model_slots,
            'kvCapacity': 10_000_000,
        }
        self.site.configure(
            1, limits={**limits, **self.caller_limits}, services=services
        )
        self.site.add_engine('desk-1', platform_site.PLAIN_SERVICE)
        silent = self.site.add_engine('drafts-1', platform_site.MODEL_SERVICE)
        silent.behaviour = standin_engine.Behaviour.SILENT
        silent.slots = self.model_slots
        silent.register()
        self.start_entry()
        self.run_endpoints()
        waiting.until(
            lambda: self.ordinary_status() == 200, 'the process to be ready'
        )
        self.watch_memory()

    def start_entry(self) -> None:
        peers_port = self.stack.enter_context(
            ports.reserved(IP, also=(1, 2, 15))
        )
        port = self.stack.enter_context(ports.reserved(IP, also=(1, 2)))
        site = platform_site.node_settings(
            'edge-1', IP, self.site.store.address, None, peers_port
        )
        fields = msgspec.yaml.decode(standin_settings.encode(site))
        self.address = fields['listen']['frontend'] = f'{IP}:{port}'
        self.other_addresses = {
            'readiness': f'{IP}:{port + 1}',
            'directory': f'{IP}:{port + 2}',
            'peers': f'{IP}:{peers_port}',
            'metrics': f'{IP}:{peers_port + 1}',
            'relay': f'{IP}:{peers_port + 2}',
        }
        fields['listen']['ready'] = self.other_addresses['readiness']
        fields['listen']['directory'] = self.other_addresses['directory']
        fields['limits'] = {
            'maxFds': self.max_descriptors,
            'memoryMb': self.memory_mb,
        }
        file = self.folder / 'settings.yaml'
        file.write_bytes(msgspec.yaml.encode(fields))
        log = self.stack.enter_context((self.folder / 'log').open('wb'))
        self.process = subprocess.Popen(
            programs.command('entry', str(file)),
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.stack.callback(self.end_entry)

    def end_entry(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(programs.EXIT_LIMIT_S)

    def run_endpoints(self) -> None:
        """Run the stand-ins while this test's clients block."""
        thread = threading.Thread(target=self.site.loop.run)
        thread.start()

        def stop() -> None:
            self.site.loop.stop()
            thread.join()

        self.stack.callback(stop)

    def ordinary_status(self) -> int:
        connection = http.client.HTTPConnection(
            self.address, timeout=ANSWER_TIMEOUT_S
        )
        try:
            connection.request(
                'POST',
                '/lookup/1',
                b'question',
                {
                    'Host': platform_site.HOST,
                    'Attempt-Id': 'ordinary',
                    'Authorization': f'Token {platform_site.KEY}',
                },
            )
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


class RouterProcessTest(ProcessTest):
    """``guavachute-router`` with one node and one engine."""

    memory_mb = ROUTER_MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def setUp(self) -> None:
        super().setUp()
        self.site = programs.Site(self.folder, self.stack)
        self.site.add_engine('engine-0')
        self.site.add_node('entry-1')
        settings = {
            'memory_mb': self.memory_mb,
            'max_descriptors': self.max_descriptors,
        }
        known = router.RouterSettings.__struct_fields__
        program = self.site.add_router(
            'entry-1',
            **{
                name: value
                for name, value in settings.items()
                if name in known
            },
        )
        self.process = program.process
        self.address = program.announced['http']
        self.site.publish()
        self.site.wait_ready()
        waiting.until(
            lambda: self.ordinary_status() == 200, 'the router to serve'
        )
        self.watch_memory()

    def ordinary_status(self) -> int:
        connection = http.client.HTTPConnection(
            self.address, timeout=ANSWER_TIMEOUT_S
        )
        try:
            connection.request(
                'POST',
                '/v1/completions',
                json.dumps(
                    {
                        'model': programs.MODEL,
                        'prompt': 'a plan',
                        'max_tokens': 3,
                    }
                ),
                {
                    'Authorization': f'Bearer {documents.KEY}',
                    'Content-Type': 'application/json',
                },
            )
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()
