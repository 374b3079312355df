"""Ports that stay reserved until what a test starts has bound them."""

import contextlib
import errno
import socket
import typing


@contextlib.contextmanager
def reserved(ip: str, also: typing.Sequence[int] = ()) -> typing.Iterator[int]:
    """Reserve a TCP port at *ip* that a listener may bind meanwhile.

    A socket stays bound to it without listening. The kernel then gives the
    port to nobody who binds port 0 or connects. A listener with SO_REUSEADDR,
    such as a node's, may bind it nevertheless, also again after its process
    has ended. UDP ports are only bound by number here, so the same number is
    reserved for UDP as well.

    :param also: offsets of further ports that are reserved with it
    """
    with contextlib.ExitStack() as stack:
        while True:
            with contextlib.ExitStack() as attempt:
                port = _bind(attempt, ip, 0)
                if all(
                    _bind(attempt, ip, port + offset) is not None
                    for offset in also
                ):
                    assert port is not None
                    stack.push(attempt.pop_all())
                    break
        yield port


def _bind(stack: contextlib.ExitStack, ip: str, port: int) -> int | None:
    """Bind a socket for as long as *stack* lasts; None if it is taken."""
    holder = stack.enter_context(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    )
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        holder.bind((ip, port))
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        return None
    return int(holder.getsockname()[1])
