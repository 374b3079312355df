"""Handles signals in a turn of the loop, not at any point of the code."""

import contextlib
import signal
import socket
import typing

from guavachute.entry import loop as entry_loop

Handlers = typing.Mapping[signal.Signals, typing.Callable[[], None]]


@contextlib.contextmanager
def handled(
    loop: entry_loop.Loop, handlers: Handlers
) -> typing.Iterator[None]:
    """Call the handler of each received signal in the loop.

    The former handlers are restored at the end of the context.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)

    def ready(events: int) -> None:
        for number in reader.recv(4096):
            handler = handlers.get(signal.Signals(number))
            if handler is not None:
                handler()

    loop.watch(reader, entry_loop.READ, ready)
    wake_before = signal.set_wakeup_fd(writer.fileno())
    before = {
        number: signal.signal(number, _leave_to_loop) for number in handlers
    }
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(wake_before)
        loop.unwatch(reader)
        reader.close()
        writer.close()


def _leave_to_loop(number: int, frame: typing.Any) -> None:
    """Do nothing: the interpreter writes to a descriptor on the loop."""
