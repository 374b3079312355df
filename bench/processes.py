"""Starts the programs of a benchmark and reads their resource use."""

import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import typing

STOP_TIMEOUT_S = 20
KIB = 1024
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
USER_FIELD = 11
"""Index of utime in /proc/PID/stat, counted after the command's name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Program:
    """A running program and the addresses that it announced, by name."""

    process: subprocess.Popen[str]
    announced: dict[str, str]

    @property
    def address(self) -> str:
        """The address at which it serves HTTP."""
        return self.announced['http']

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def cpu_s(self) -> float:
        """Return the user and system CPU time used so far, in seconds."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        user, system = fields[USER_FIELD : USER_FIELD + 2]
        return (int(user) + int(system)) / TICKS_PER_S

    def resident_mib(self) -> float:
        """Return the resident memory in MiB; 0 for a zombie process."""
        path = pathlib.Path(f'/proc/{self.process.pid}/status')
        for line in path.read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / KIB
        return 0.0


@contextlib.contextmanager
def running(
    module: str, *arguments: str, stdin_line: str = ''
) -> typing.Iterator[Program]:
    """Run the program *module* until the end of the block.

    Waits until it has announced its addresses as a line of JSON. At the
    end it gets SIGTERM, and SIGKILL after ``STOP_TIMEOUT_S``.

    :param stdin_line: one line for its standard input
    """
    process = subprocess.Popen(
        [sys.executable, '-m', module, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdin.write(f'{stdin_line}\n')
        process.stdin.close()
        line = process.stdout.readline()
        assert line, f'{module} ended before it listened'
        yield Program(process, json.loads(line))
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
