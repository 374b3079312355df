"""Settings of the operators' command."""

import pathlib

from guavachute.cli import process
from guavachute import settings

DEFAULT_PATH = pathlib.Path('guavachute.json')


class OperatorSettings(settings.Strict, frozen=True, kw_only=True):
    """Where the operators' command finds the platform and the fleet.

    :ivar nodes: node processes to ask, any of each environment
    :ivar author: stands beside each change in the log
    """

    log_address: settings.AddressText
    nodes: dict[str, list[settings.AddressText]] = {}
    cloud_address: settings.AddressText | None = None
    author: str = 'operator'


def load(path: pathlib.Path | None) -> OperatorSettings:
    """The checked settings; ends the program when they are wrong."""
    return process.load_settings(path or DEFAULT_PATH, OperatorSettings)
