"""Starts, signals and watches the entry processes."""

import os
import pathlib
import signal
import subprocess
import sys
import time

from guavachute.domain import site as domain_site
from guavachute.platform import settings
from guavachute.standin.platform import settings as standin_settings
from soak import cut_entry
from tests.support import cut_links

ENTRY_PROGRAM = (
    str(pathlib.Path(__file__).parent.parent / 'deploy' / 'entry.py'),
)
"""The program that the platform runs on its entry VMs."""

CUT_PROGRAM = (str(pathlib.Path(__file__).parent / 'cut_entry.py'),)
"""Runs that program with links to endpoints that can be cut."""


class Program:
    """One node, whose process can be restarted any number of times.

    :param endpoints_host: the IP address of all endpoints
    :ivar starts: how many processes were started for the node
    :ivar unexpected_exits: run and exit status of each process that ended
        although nothing stopped it, or ended with a wrong status
    """

    def __init__(
        self,
        site: domain_site.Site,
        folder: pathlib.Path,
        variant: str | None,
        endpoints_host: str,
    ) -> None:
        self.site = site
        self.starts = 0
        self.unexpected_exits: list[str] = []
        self.stopped_s = float('-inf')
        self._folder = folder
        self._variant = variant
        self._process: subprocess.Popen[bytes] | None = None
        self._is_stopping = False
        self._file = folder / f'{site.node}.yaml'
        self._links_file = folder / f'{site.node}.links'
        self._endpoints_host = endpoints_host
        self.write_settings()
        self.cut_links(cut_links.Mode.OPEN)

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self._process is not None and self._process.poll() is None

    @property
    def incarnation(self) -> str:
        """The name of the current run."""
        return f'{self.site.node}/{self.starts}'

    def write_settings(self) -> None:
        """Write the settings file atomically."""
        new = self._file.with_suffix('.new')
        new.write_bytes(standin_settings.encode(self.site))
        new.replace(self._file)

    def cut_links(self, mode: cut_links.Mode) -> None:
        """Set what the node meets on its links to endpoints."""
        new = self._links_file.with_suffix('.links-new')
        new.write_text(mode.value)
        new.replace(self._links_file)

    def start(self) -> None:
        """Start the process unless it runs; it logs to the folder."""
        if self.is_running:
            return
        self.check_exit()
        self.starts += 1
        self._is_stopping = False
        arguments = CUT_PROGRAM
        if self._variant is not None:
            arguments = ('-m', 'soak.broken', self._variant)
        log = self._folder / f'{self.site.node}.{self.starts}.log'
        with log.open('wb') as output:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                env={
                    **os.environ,
                    settings.PATH_VARIABLE: str(self._file),
                    cut_entry.MODE_VARIABLE: str(self._links_file),
                    cut_entry.HOST_VARIABLE: self._endpoints_host,
                },
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self._is_stopping = True
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def stop(self) -> None:
        """Send SIGTERM, on which the process drains and ends."""
        self._is_stopping = True
        self.stopped_s = time.monotonic()
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Write the settings file and send SIGHUP."""
        self.write_settings()
        self._signal(signal.SIGHUP)

    def check_exit(self) -> None:
        """Record the process's exit if it was unexpected."""
        process = self._process
        if process is None or process.poll() is None:
            return
        # SIGTERM kills a process that has not yet installed its handler.
        expected = (0, -signal.SIGKILL, -signal.SIGTERM)
        if not self._is_stopping or process.returncode not in expected:
            self.unexpected_exits.append(
                f'{self.incarnation}: {process.returncode}'
            )
        self._process = None

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)
