"""Mailboxes: the only way in which tasks talk to each other."""

import collections
import contextlib
import socket
import threading
import typing

Message = typing.Any


class Mailbox:
    """An unbounded queue that one task reads and any task writes.

    The reader either blocks in :meth:`receive`, or, where it waits in a
    selector, registers :meth:`fileno` and takes everything with
    :meth:`drain` when that becomes readable.
    """

    def __init__(self) -> None:
        self._messages: collections.deque[Message] = collections.deque()
        self._condition = threading.Condition()
        self._wake_reader: socket.socket | None = None
        self._wake_writer: socket.socket | None = None
        self._closed = False

    def fileno(self) -> int:
        """A descriptor that is readable while messages wait."""
        with self._condition:
            if self._wake_reader is None:
                self._wake_reader, self._wake_writer = socket.socketpair()
                self._wake_reader.setblocking(False)
                self._wake_writer.setblocking(False)
                if self._messages:
                    self._wake()
            return self._wake_reader.fileno()

    def send(self, message: Message) -> None:
        """Queue *message*; never blocks; dropped once closed."""
        with self._condition:
            if self._closed:
                return
            was_empty = not self._messages
            self._messages.append(message)
            self._condition.notify()
            if was_empty:
                self._wake()

    def receive(self, timeout_s: float | None = None) -> Message | None:
        """The next message, or None after *timeout_s* or when closed."""
        with self._condition:
            self._condition.wait_for(
                lambda: self._messages or self._closed, timeout_s
            )
            return self._messages.popleft() if self._messages else None

    def drain(self) -> list[Message]:
        """All messages that wait, oldest first."""
        with self._condition:
            messages = list(self._messages)
            self._messages.clear()
            if self._wake_reader is not None and not self._closed:
                with contextlib.suppress(BlockingIOError):
                    self._wake_reader.recv(4096)
            return messages

    def close(self) -> None:
        """Drop what waits and release the reader."""
        with self._condition:
            self._closed = True
            self._messages.clear()
            self._condition.notify_all()
            for end in (self._wake_reader, self._wake_writer):
                if end is not None:
                    end.close()

    def _wake(self) -> None:
        if self._wake_writer is not None:
            with contextlib.suppress(BlockingIOError):
                self._wake_writer.send(b'!')
