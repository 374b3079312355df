"""What the operating system receives on a socket before it is read."""

import socket


def limit(sock: socket.socket, unread_bytes: int) -> None:
    """Limit what *sock* receives before it is read.

    Connections that a listener accepts inherit its limit. The operating system
    doubles the figure, and may fill all of that with what was sent.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, unread_bytes // 2)
