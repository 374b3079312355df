"""Arguments that several subcommands of ``guavachute`` share."""

import pathlib
import typing

import cappa

Environment = typing.Annotated[
    str, cappa.Arg(long=True, help='The environment to act on.')
]
SettingsPath = typing.Annotated[
    pathlib.Path | None,
    cappa.Arg(long=True, help='File with the operator settings.'),
]
AsJson = typing.Annotated[bool, cappa.Arg(long=True, help='Print JSON.')]
