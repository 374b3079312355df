"""Settings of the operators' command-line program."""

import pathlib

from guavachute.cli import process
from guavachute import settings

DEFAULT_PATH = pathlib.Path('guavachute.json')


class OperatorSettings(settings.Strict, frozen=True, kw_only=True):
    """The addresses of the platform and the fleet.

    :ivar nodes: addresses of node processes by environment; one node of
        an environment that answers is enough
    :ivar author: recorded with each change in the log
    """

    log_address: settings.AddressText
    nodes: dict[str, list[settings.AddressText]] = {}
    cloud_address: settings.AddressText | None = None
    author: str = 'operator'


def load(path: pathlib.Path | None) -> OperatorSettings:
    """Load and check the settings; ends the program if they are invalid."""
    return process.load_settings(path or DEFAULT_PATH, OperatorSettings)
