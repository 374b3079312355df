"""Tasks: threads that own their state and read one mailbox each."""

import abc
import threading
import typing

from guavachute.kernel import mailbox
from guavachute.observe import logs

_log = logs.logger('kernel')


class Task(abc.ABC):
    """A thread that runs until it is requested to stop.

    A subclass implements :meth:`run`, which returns soon after
    :attr:`stopping` is set. Only the task itself accesses its state;
    others send it messages.

    An exception that escapes :meth:`run` is a broken invariant: it is
    logged and reported to the kernel, which stops the process.

    :ivar broken: the exception that ended the task, if any
    :ivar on_broken: called with the task's name after such an exception
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.mailbox = mailbox.Mailbox()
        self.stopping = threading.Event()
        self.broken: BaseException | None = None
        self.on_broken: typing.Callable[[str], None] | None = None
        self._thread: threading.Thread | None = None

    @abc.abstractmethod
    def run(self) -> None:
        """Do the work in the task's thread until :attr:`stopping` is set."""

    def start(self) -> None:
        """Start the task's thread."""
        assert self._thread is None, f'task {self.name} started twice'
        self._thread = threading.Thread(
            target=self._run_guarded, name=self.name, daemon=True
        )
        self._thread.start()

    def request_stop(self) -> None:
        """Request the task to stop, without waiting for it."""
        self.stopping.set()
        self.mailbox.send(STOP)

    def join(self, timeout_s: float) -> bool:
        """Wait up to *timeout_s* for the task; False if it still runs."""
        if self._thread is None:
            return True
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _run_guarded(self) -> None:
        try:
            self.run()
        except BaseException as error:
            self.broken = error
            _log.exception('task {} broke an invariant', self.name)
            if self.on_broken is not None:
                self.on_broken(self.name)


class Stop:
    """The message that wakes a task so that it stops."""


STOP = Stop()
