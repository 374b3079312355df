"""The kernel starts and stops the tasks of a process in order."""

import contextlib
import threading
import typing

from guavachute.kernel import mailbox
from guavachute.kernel import task

STOP_TIMEOUT_S = 10.0


class Kernel:
    """Runs the tasks of one process and finds them by name.

    Services are started in the order of :meth:`add` and stopped in the
    reverse order, so that a service may rely on those before it. If a
    task fails, :meth:`wait` returns.

    :ivar broken_task: name of a task that failed; None if all work
    """

    def __init__(self) -> None:
        self._tasks: dict[str, task.Task] = {}
        self._stop_requested = threading.Event()
        self.broken_task: str | None = None

    def add(self, service: task.Task) -> None:
        """Add *service* under its name, which must not be in use."""
        assert service.name not in self._tasks, service.name
        service.on_broken = self._handle_task_failure
        self._tasks[service.name] = service

    def find(self, name: str) -> task.Task:
        """The service called *name*; it must have been added."""
        assert name in self._tasks, f'no service called {name!r}'
        return self._tasks[name]

    def has(self, name: str) -> bool:
        """Whether a service called *name* has been added."""
        return name in self._tasks

    def send(self, name: str, message: mailbox.Message) -> None:
        """Put *message* into the mailbox of the service *name*."""
        self.find(name).mailbox.send(message)

    def request_stop(self) -> None:
        """Make :meth:`wait` return; safe to call from a signal handler."""
        self._stop_requested.set()

    def wait(self) -> None:
        """Block until :meth:`request_stop` is called or a task fails."""
        # A wait without a timeout would delay signal handlers.
        while not self._stop_requested.wait(0.2):
            pass

    @contextlib.contextmanager
    def running(self) -> typing.Iterator[None]:
        """Start all services, and stop them on exit."""
        started: list[task.Task] = []
        try:
            for service in self._tasks.values():
                service.start()
                started.append(service)
            yield
        finally:
            for service in reversed(started):
                service.request_stop()
                if service.join(STOP_TIMEOUT_S):
                    service.mailbox.close()

    def _handle_task_failure(self, name: str) -> None:
        self.broken_task = name
        self.request_stop()
