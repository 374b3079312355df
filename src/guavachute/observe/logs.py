"""Text logs on standard error.

Only changes of state are logged; recurring events are counted instead.
"""

import contextlib
import sys
import typing

import logbook

FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} '
    '{record.channel}: {record.message}'
)


def logger(name: str) -> logbook.Logger:
    """The logger of the part of the program that is named *name*."""
    return logbook.Logger(name)


@contextlib.contextmanager
def to_stderr(level_name: str) -> typing.Iterator[None]:
    """Write lines of *level_name* and above to standard error."""
    handler = logbook.StreamHandler(
        sys.stderr, level=level_name.upper(), format_string=FORMAT
    )
    with handler.applicationbound():
        yield
