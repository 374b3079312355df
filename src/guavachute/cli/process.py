"""Helpers of all programs: arguments, settings, signals and failures."""

import contextlib
import pathlib
import signal
import sys
import typing

import cappa
import msgspec

from guavachute import outcome
from guavachute import settings

EXIT_FAILED = 1
EXIT_USAGE = 2

ERROR_FORMAT = '{prog}: {message} (see --help)'

Command = typing.TypeVar('Command')
Settings = typing.TypeVar('Settings')


def fail(message: object, code: int = EXIT_FAILED) -> typing.NoReturn:
    """Print *message* on standard error and exit with status *code*."""
    print(f'guavachute: {message}', file=sys.stderr)
    raise SystemExit(code)


def parse(command: type[Command]) -> Command:
    """Parse the command line; an invalid one ends the program."""
    return cappa.parse(command, output=cappa.Output(error_format=ERROR_FORMAT))


def load_settings(path: pathlib.Path, expected: type[Settings]) -> Settings:
    """Load and check settings; ends the program if they are invalid."""
    loaded = settings.load(path, expected)
    if isinstance(loaded, outcome.Failure):
        fail(loaded.detail, EXIT_USAGE)
    return loaded


@contextlib.contextmanager
def stopped_by_signals(
    on_stop: typing.Callable[[], None],
) -> typing.Iterator[None]:
    """Call *on_stop* on SIGTERM and SIGINT while the context is active."""

    def handle(number: int, frame: typing.Any) -> None:
        on_stop()

    previous = {
        number: signal.signal(number, handle)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        yield
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


def announce(program: str, **addresses: str) -> None:
    """Print one JSON line with the addresses that the program listens on."""
    line = msgspec.json.encode({'program': program, **addresses})
    print(line.decode(), flush=True)
