"""Mailboxes, through which tasks send each other messages."""

import collections
import contextlib
import socket
import threading
import typing

Message = typing.Any


class Mailbox:
    """An unbounded queue with one reader and any number of senders.

    The reader either blocks in :meth:`receive`, or registers
    :meth:`fileno` with a selector and calls :meth:`drain` when the
    descriptor becomes readable.
    """

    def __init__(self) -> None:
        self._messages: collections.deque[Message] = collections.deque()
        self._condition = threading.Condition()
        self._wake_reader: socket.socket | None = None
        self._wake_writer: socket.socket | None = None
        self._closed = False

    def fileno(self) -> int:
        """A descriptor that is readable while messages are queued."""
        with self._condition:
            if self._wake_reader is None:
                self._wake_reader, self._wake_writer = socket.socketpair()
                self._wake_reader.setblocking(False)
                self._wake_writer.setblocking(False)
                if self._messages:
                    self._wake()
            return self._wake_reader.fileno()

    def send(self, message: Message) -> None:
        """Queue *message* without blocking; dropped after :meth:`close`."""
        with self._condition:
            if self._closed:
                return
            was_empty = not self._messages
            self._messages.append(message)
            self._condition.notify()
            if was_empty:
                self._wake()

    def receive(self, timeout_s: float | None = None) -> Message | None:
        """Wait for the next message; None after *timeout_s* or if closed."""
        with self._condition:
            self._condition.wait_for(
                lambda: self._messages or self._closed, timeout_s
            )
            return self._messages.popleft() if self._messages else None

    def drain(self) -> list[Message]:
        """Remove and return all queued messages, oldest first."""
        with self._condition:
            messages = list(self._messages)
            self._messages.clear()
            if self._wake_reader is not None and not self._closed:
                with contextlib.suppress(BlockingIOError):
                    self._wake_reader.recv(4096)
            return messages

    def close(self) -> None:
        """Drop all queued messages and wake the reader."""
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
