"""The entry processes: started, signalled and watched by their ids."""

import os
import pathlib
import signal
import subprocess
import sys
import time

from guavachute.domain import site as domain_site
from guavachute.platform import settings
from guavachute.standin.platform import settings as standin_settings

REAL = (str(pathlib.Path(__file__).parent.parent / 'deploy' / 'entry.py'),)
"""What the platform runs on its VMs."""


class Program:
    """One node, whose process may be started again and again.

    :ivar run: counts the starts
    :ivar ended: ends of processes that nobody asked for
    """

    def __init__(
        self, site: domain_site.Site, folder: pathlib.Path, variant: str | None
    ) -> None:
        self.site = site
        self.run = 0
        self.ended: list[str] = []
        self.stopped_s = float('-inf')
        self._folder = folder
        self._variant = variant
        self._process: subprocess.Popen[bytes] | None = None
        self._is_ending = False
        self._file = folder / f'{site.node}.yaml'
        self.write_settings()

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self._process is not None and self._process.poll() is None

    @property
    def incarnation(self) -> str:
        """The name of the present run."""
        return f'{self.site.node}/{self.run}'

    def write_settings(self) -> None:
        """Lay the settings file down, in one step."""
        new = self._file.with_suffix('.new')
        new.write_bytes(standin_settings.encode(self.site))
        new.replace(self._file)

    def start(self) -> None:
        """Start the process unless it runs; its logs go to the folder."""
        if self.is_running:
            return
        self.watch()
        self.run += 1
        self._is_ending = False
        arguments = REAL
        if self._variant is not None:
            arguments = ('-m', 'soak.broken', self._variant)
        log = self._folder / f'{self.site.node}.{self.run}.log'
        with log.open('wb') as output:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                env={**os.environ, settings.PATH_VARIABLE: str(self._file)},
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def kill(self) -> None:
        """SIGKILL, and wait for the end."""
        self._is_ending = True
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def stop(self) -> None:
        """SIGTERM; the process ends by itself."""
        self._is_ending = True
        self.stopped_s = time.monotonic()
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Let the process stand still."""
        self._signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Let it run again."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Tell it that its settings file has changed."""
        self.write_settings()
        self._signal(signal.SIGHUP)

    def watch(self) -> None:
        """Note an end that nobody asked for."""
        process = self._process
        if process is None or process.poll() is None:
            return
        # SIGTERM ends a process that has not got as far as to handle it.
        asked_for = (0, -signal.SIGKILL, -signal.SIGTERM)
        if not self._is_ending or process.returncode not in asked_for:
            self.ended.append(f'{self.incarnation}: {process.returncode}')
        self._process = None

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)
