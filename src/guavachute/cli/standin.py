"""``guavachute-standin``: runs one stand-in as a process.

It prints a JSON line with its address once it listens.
"""

import dataclasses
import os
import pathlib
import sys
import typing

import cappa

from guavachute.cli import process
from guavachute.kernel import kernel
from guavachute.observe import logs
from guavachute.standin import base
from guavachute.standin import cloud
from guavachute.standin import engine
from guavachute.standin import engine_job
from guavachute.standin import log_service
from guavachute.standin import order_service
from guavachute.standin import remote_vm_list
from guavachute.standin import vm_list
from guavachute.standin import weight_store

KILLED_STATUS = 137
"""The exit status of a process that a fault crashes."""

Text = typing.Annotated[str, cappa.Arg(long=True)]
OptionalText = typing.Annotated[str | None, cappa.Arg(long=True)]
Number = typing.Annotated[int, cappa.Arg(long=True)]
Decimal = typing.Annotated[float, cappa.Arg(long=True)]
OptionalDecimal = typing.Annotated[float | None, cappa.Arg(long=True)]
OptionalPath = typing.Annotated[pathlib.Path | None, cappa.Arg(long=True)]


@dataclasses.dataclass
class Listener:
    """The stand-in's name and listening address."""

    host: Text = base.HOST
    port: Number = 0
    name: Text = 'standin'


@cappa.command(name='engine', help='Run a model engine.')
@dataclasses.dataclass
class EngineCommand(Listener):
    """A model engine.

    :ivar settings: a JSON file of ``engine_job.EngineSettings``
    """

    settings: OptionalPath = None

    def make(self) -> base.StandIn:
        """Create the stand-in."""
        settings = engine_job.EngineSettings()
        if self.settings is not None:
            settings = process.load_settings(
                self.settings, engine_job.EngineSettings
            )
        return engine.Engine(self.name, self.host, self.port, settings)


@cappa.command(name='log', help='Run a log service.')
@dataclasses.dataclass
class LogCommand(Listener):
    """The log service."""

    retained_records: Number = 100_000
    appends_per_s: OptionalDecimal = None

    def make(self) -> base.StandIn:
        """Create the stand-in."""
        return log_service.LogService(
            self.name,
            self.host,
            self.port,
            self.retained_records,
            self.appends_per_s,
        )


@cappa.command(name='vm-list', help='Run a VM list.')
@dataclasses.dataclass
class VmListCommand(Listener):
    """The list of VMs."""

    lag_s: Decimal = 0.0

    def make(self) -> base.StandIn:
        """Create the stand-in."""
        return vm_list.VmList(self.name, self.host, self.port, self.lag_s)


@cappa.command(name='orders', help='Run a plain service.')
@dataclasses.dataclass
class OrdersCommand(Listener):
    """A plain service whose calls are not idempotent."""

    def make(self) -> base.StandIn:
        """Create the stand-in."""
        return order_service.OrderService(self.name, self.host, self.port)


@cappa.command(name='cloud', help="Run the cloud's API.")
@dataclasses.dataclass
class CloudCommand(Listener):
    """The cloud's API.

    :ivar vm_list: the address of the VM list to keep up to date
    """

    start_s: Decimal = 0.1
    hour_s: Decimal = 3600.0
    vm_list: OptionalText = None

    def make(self) -> base.StandIn:
        """Create the stand-in."""
        feed = None
        if self.vm_list is not None:
            feed = remote_vm_list.RemoteVmList(self.vm_list)
        return cloud.Cloud(
            self.name,
            self.host,
            self.port,
            start_s=self.start_s,
            hour_s=self.hour_s,
            feed=feed,
        )


@cappa.command(name='weights', help='Run a store of model weights.')
@dataclasses.dataclass
class WeightsCommand(Listener):
    """The store of model weights."""

    size_bytes: Number = 1_000_000
    bytes_per_s: Decimal = 10_000_000.0
    most_fetches: Number = 4

    def make(self) -> base.StandIn:
        """Create the stand-in."""
        return weight_store.WeightStore(
            self.name,
            self.host,
            self.port,
            size_bytes=self.size_bytes,
            bytes_per_s=self.bytes_per_s,
            most_fetches=self.most_fetches,
        )


@cappa.command(name='guavachute-standin', help='Run one stand-in.')
@dataclasses.dataclass
class StandInCommand:
    """The arguments of ``guavachute-standin``."""

    kind: cappa.Subcommands[
        EngineCommand
        | LogCommand
        | VmListCommand
        | OrdersCommand
        | CloudCommand
        | WeightsCommand
    ]


def serve(standin: base.StandIn) -> int:
    """Run *standin* until SIGTERM and return the exit status."""
    hosting = kernel.Kernel()
    hosting.add(standin)
    standin.on_crash = lambda: os._exit(KILLED_STATUS)
    with (
        process.stopped_by_signals(hosting.request_stop),
        logs.to_stderr('warning'),
        hosting.running(),
    ):
        process.announce('guavachute-standin', http=standin.address)
        hosting.wait()
    return process.EXIT_FAILED if hosting.broken_task else 0


def main() -> None:
    """Run the console script and exit with its status."""
    sys.exit(serve(process.parse(StandInCommand).kind.make()))


if __name__ == '__main__':
    main()
