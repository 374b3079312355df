"""Loads the settings of the programs from JSON files.

Each program has one struct. Errors name the path of the invalid field.
Unknown fields are rejected, since a misspelt setting would otherwise be
ignored silently.
"""

import pathlib
import typing

import msgspec

from guavachute.document import problems
from guavachute import outcome

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Host = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[0-9]{1,3}(\.[0-9]{1,3}){3}$')
]
AddressText = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$')
]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0)]
Megabytes = typing.Annotated[float, msgspec.Meta(gt=0)]
Descriptors = typing.Annotated[int, msgspec.Meta(gt=0)]
LogLevel = typing.Literal['debug', 'info', 'notice', 'warning', 'error']


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of settings that reject unknown fields."""


class Traces(Strict, frozen=True):
    """Where spans are exported.

    :ivar path: file of the exporter ``json-lines``
    :ivar url: collector of the exporter ``otlp``
    """

    exporter: typing.Literal['none', 'json-lines', 'otlp'] = 'none'
    path: str | None = None
    url: str | None = None

    def __post_init__(self) -> None:
        """Reject an exporter without its destination."""
        if self.exporter == 'json-lines' and self.path is None:
            raise ValueError('path: got none, expected one for "json-lines"')
        if self.exporter == 'otlp' and self.url is None:
            raise ValueError('url: got none, expected one for "otlp"')


class Observe(Strict, frozen=True):
    """Settings of logs, counters and traces.

    :ivar statsd: the statsd server; None keeps counters in the process
    """

    log_level: LogLevel = 'notice'
    statsd: AddressText | None = None
    traces: Traces = Traces()


Settings = typing.TypeVar('Settings')


def load(
    path: pathlib.Path, expected: type[Settings]
) -> Settings | outcome.Failure:
    """Read the settings in *path*; a failure names the invalid field."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return outcome.Failure(
            outcome.Reason.UNREADABLE, f'{path}: {error.strerror}'
        )
    try:
        return msgspec.json.decode(text, type=expected)
    except msgspec.ValidationError as error:
        detail = _explain(text, expected) or str(error)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        detail = f'not JSON: {error}'
    return outcome.Failure(outcome.Reason.BAD_REQUEST, f'{path}: {detail}')


def _explain(text: bytes, expected: type) -> str:
    """The first problem with its value, which msgspec doesn't report."""
    found = problems.schema_violations(
        msgspec.json.decode(text), msgspec.json.schema(expected)
    )
    return str(found[0]) if found else ''
