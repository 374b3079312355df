"""The ports of nodes: reserved in tests, and taken by another process."""

import errno
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from guavachute.domain import site as domain_site
from guavachute import ids
from guavachute.platform import settings
from guavachute.standin.platform import settings as standin_settings
from soak import programs
from tests.support import platform_site
from tests.support import ports

IP = '127.0.77.1'


class ReservedPortTest(unittest.TestCase):
    """Guards against EADDRINUSE: a test's node lost the port chosen for it."""

    def test_nobody_takes_the_port_between_its_choice_and_its_use(
        self,
    ) -> None:
        with ports.reserved(IP) as port:
            with socket.socket() as thief:
                with self.assertRaises(OSError) as raised:
                    thief.bind((IP, port))
            self.assertEqual(errno.EADDRINUSE, raised.exception.errno)
            for _ in range(2):
                with socket.socket() as listener:
                    listener.setsockopt(
                        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                    )
                    listener.bind((IP, port))
                    listener.listen()

    def test_a_node_binds_it_while_others_choose_ports(self) -> None:
        site = platform_site.PlatformSite()
        self.addCleanup(site.close)
        site.configure(1)
        node = site.ready_node()
        self.assertTrue(node.is_ready)


class TakenPortTest(unittest.TestCase):
    def test_a_node_ends_with_one_line_and_exit_code_2(self) -> None:
        taken = self.enterContext(socket.socket())
        taken.bind((IP, 0))
        taken.listen()
        address = f'{IP}:{taken.getsockname()[1]}'
        peers_port = self.enterContext(
            ports.reserved(
                IP,
                also=(
                    settings.METRICS_PORT_OFFSET,
                    settings.RELAY_PORT_OFFSET,
                ),
            )
        )
        callers = self.enterContext(ports.reserved(IP))
        readiness = self.enterContext(ports.reserved(IP))
        for setting, listen in (
            ('listen.frontend', (address, f'{IP}:{readiness}')),
            ('listen.ready', (f'{IP}:{callers}', address)),
        ):
            with self.subTest(setting=setting):
                wanted = platform_site.node_settings(
                    'edge-1',
                    IP,
                    ids.Address('127.0.0.1:1'),
                    None,
                    peers_port,
                    listen=domain_site.Listen(
                        callers=ids.Address(listen[0]),
                        readiness=ids.Address(listen[1]),
                        directory=None,
                        peers_port=peers_port,
                        metrics_port=0,
                        relay_port=0,
                    ),
                )
                ended = self.run_program(wanted)
                self.assertEqual(2, ended.returncode, ended.stderr)
                (line,) = ended.stderr.splitlines()
                self.assertIn(setting, line)
                self.assertIn(address, line)

    def run_program(
        self, wanted: domain_site.Site
    ) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'settings.yaml'
            file.write_bytes(standin_settings.encode(wanted))
            return subprocess.run(
                [sys.executable, *programs.ENTRY_PROGRAM],
                env={settings.PATH_VARIABLE: str(file)},
                capture_output=True,
                text=True,
                timeout=20,
                check=False,
            )
