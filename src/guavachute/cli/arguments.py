"""Arguments that several of the operators' commands take."""

import pathlib
import typing

import cappa

Environment = typing.Annotated[
    str, cappa.Arg(long=True, help='The environment that is meant.')
]
SettingsPath = typing.Annotated[
    pathlib.Path | None, cappa.Arg(long=True, help='Operator settings.')
]
AsJson = typing.Annotated[bool, cappa.Arg(long=True, help='Print JSON.')]
