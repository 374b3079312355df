"""Node process: reads the platform's VM list again and again."""

import dataclasses
import typing

from guavachute.clients import vm_list
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome

_log = logs.logger('vm-watch')


@dataclasses.dataclass(frozen=True, slots=True)
class VmsSeen:
    """Sent to the subscribers after each successful read.

    :ivar at_s: monotonic time of the answer
    """

    vms: tuple[vm_list.Vm, ...]
    at_s: float


class VmWatch(task.Task):
    """Sends :class:`VmsSeen` to its subscribers.

    While the list can't be read, nobody is told anything: the last list
    stays in force, for a store that is down says nothing about VMs.
    """

    def __init__(
        self,
        address: str,
        interval_s: float,
        count: counters.Counters,
        subscribers: list[mailbox.Mailbox],
        now: typing.Callable[[], float],
    ) -> None:
        super().__init__('vm-watch')
        self._client = vm_list.VmListClient(address)
        self._interval_s = interval_s
        self._count = count
        self._subscribers = subscribers
        self._clock = now
        self._readable = True

    def subscribe(self, subscriber: mailbox.Mailbox) -> None:
        """Tell *subscriber* too; before the start."""
        self._subscribers.append(subscriber)

    def run(self) -> None:
        """Read until stopped."""
        while not self.stopping.is_set():
            self._read_once()
            self.mailbox.receive(self._interval_s)

    def _read_once(self) -> None:
        seen = self._client.read()
        if isinstance(seen, outcome.Failure):
            self._count.add('vm_list.failed')
            if self._readable:
                _log.warning('VM list unreadable: {}', seen)
            self._readable = False
            return
        if not self._readable:
            _log.notice('VM list readable again')
        self._readable = True
        self._count.add('vm_list.read')
        message = VmsSeen(seen.vms, self._clock())
        for subscriber in self._subscribers:
            subscriber.send(message)
