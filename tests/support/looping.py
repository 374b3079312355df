"""Runs an event loop of the entry process in a test, without threads."""

import contextlib
import time
import typing

from guavachute.entry import loop as entry_loop

TIMEOUT_S = 10.0


def run_until(
    loop: entry_loop.Loop,
    condition: typing.Callable[[], object],
    timeout_s: float = TIMEOUT_S,
) -> None:
    """Run *loop* until *condition* holds; fails after *timeout_s*."""
    end_s = time.monotonic() + timeout_s

    def check() -> None:
        if condition() or time.monotonic() > end_s:
            loop.stop()
        else:
            loop.call_after(0.002, check)

    check()
    loop.run()
    loop.resume()
    if not condition():
        raise AssertionError(f'the condition did not hold in {timeout_s} s')


def run_for(loop: entry_loop.Loop, duration_s: float) -> None:
    """Run *loop* for *duration_s*."""
    end_s = time.monotonic() + duration_s
    run_until(loop, lambda: time.monotonic() >= end_s)


@contextlib.contextmanager
def closing_all(
    *items: typing.Any,
) -> typing.Iterator[None]:
    """Close each of *items* at the end of the context."""
    try:
        yield
    finally:
        for item in items:
            item.close()
