"""``guavachute-standin``: one stand-in as a process."""

import dataclasses
import os
import pathlib
import signal
import sys
import typing

import cappa
import msgspec

from guavachute.kernel import kernel
from guavachute.observe import logs
from guavachute import outcome
from guavachute import settings as settings_files
from guavachute.standin import base

KILLED_STATUS = 137
"""The exit status of a process that a fault kills."""


class Announcement(msgspec.Struct, frozen=True):
    """The line on standard output once the stand-in listens."""

    kind: str
    address: str
    pid: int


Text = typing.Annotated[str, cappa.Arg(long=True)]
Number = typing.Annotated[int, cappa.Arg(long=True)]
Decimal = typing.Annotated[float, cappa.Arg(long=True)]


@dataclasses.dataclass
class Listener:
    """Where to listen."""

    host: Text = base.HOST
    port: Number = 0
    name: typing.Annotated[str | None, cappa.Arg(long=True)] = None


@cappa.command(name='engine', help='A model engine.')
@dataclasses.dataclass
class EngineCommand(Listener):
    """A model engine.

    :ivar settings: a JSON file of ``EngineSettings``
    """

    KIND: typing.ClassVar[str] = 'engine'

    settings: typing.Annotated[pathlib.Path | None, cappa.Arg(long=True)] = (
        None
    )

    def make(self) -> base.StandIn | outcome.Failure:
        """The stand-in."""
        from guavachute.standin import engine
        from guavachute.standin import engine_job

        loaded: engine_job.EngineSettings | outcome.Failure
        loaded = engine_job.EngineSettings()
        if self.settings is not None:
            loaded = settings_files.load(
                self.settings, engine_job.EngineSettings
            )
        if isinstance(loaded, outcome.Failure):
            return loaded
        return engine.Engine(
            self.name or 'engine', self.host, self.port, loaded
        )


@cappa.command(name='log', help='The log service.')
@dataclasses.dataclass
class LogCommand(Listener):
    """The log service."""

    KIND: typing.ClassVar[str] = 'log'

    retained_records: Number = 100_000
    appends_per_s: typing.Annotated[float | None, cappa.Arg(long=True)] = None

    def make(self) -> base.StandIn | outcome.Failure:
        """The stand-in."""
        from guavachute.standin import log_service

        return log_service.LogService(
            self.name or 'log',
            self.host,
            self.port,
            self.retained_records,
            self.appends_per_s,
        )


@cappa.command(name='vm-list', help='The list of VMs.')
@dataclasses.dataclass
class VmListCommand(Listener):
    """The list of VMs."""

    KIND: typing.ClassVar[str] = 'vm-list'

    lag_s: Decimal = 0.0

    def make(self) -> base.StandIn | outcome.Failure:
        """The stand-in."""
        from guavachute.standin import vm_list

        return vm_list.VmList(
            self.name or 'vm-list', self.host, self.port, self.lag_s
        )


@cappa.command(name='orders', help='A plain service.')
@dataclasses.dataclass
class OrdersCommand(Listener):
    """A plain service whose calls are not idempotent."""

    KIND: typing.ClassVar[str] = 'orders'

    def make(self) -> base.StandIn | outcome.Failure:
        """The stand-in."""
        from guavachute.standin import order_service

        return order_service.OrderService(
            self.name or 'orders', self.host, self.port
        )


@cappa.command(name='guavachute-standin', help='Run one stand-in.')
@dataclasses.dataclass
class Standin:
    """The program's arguments."""

    kind: cappa.Subcommands[
        EngineCommand | LogCommand | VmListCommand | OrdersCommand
    ]


def serve(standin: base.StandIn, kind: str) -> int:
    """Run *standin* until SIGTERM; gives the exit status."""
    host = kernel.Kernel()
    host.add(standin)
    standin.on_crash = lambda: os._exit(KILLED_STATUS)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: host.request_stop())
    with logs.to_stderr('warning'), host.running():
        line = Announcement(kind, standin.address, os.getpid())
        print(msgspec.json.encode(line).decode(), flush=True)
        host.wait()
    return 1 if host.broken_task is not None else 0


def main() -> None:
    """Run the program."""
    command = cappa.parse(Standin).kind
    standin = command.make()
    if isinstance(standin, outcome.Failure):
        print(f'guavachute-standin: {standin}', file=sys.stderr)
        sys.exit(2)
    sys.exit(serve(standin, command.KIND))


if __name__ == '__main__':
    main()
