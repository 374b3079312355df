"""Waiting for a condition instead of for a span of time."""

import time
import typing

LIMIT_S = 30.0
PAUSE_S = 0.01

Found = typing.TypeVar('Found')


def until(
    condition: typing.Callable[[], Found],
    what: str,
    limit_s: float = LIMIT_S,
) -> Found:
    """The first true value of *condition*; fails naming *what*."""
    end_s = time.monotonic() + limit_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > end_s:
            raise AssertionError(f'waited {limit_s} s in vain: {what}')
        time.sleep(PAUSE_S)
