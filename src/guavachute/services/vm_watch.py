"""Node process: polls the platform's VM list."""

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
    """To subscribers: the VM list, after each successful read.

    :ivar at_s: when the answer arrived, by the *now* of :class:`VmWatch`
    """

    vms: tuple[vm_list.Vm, ...]
    at_s: float


class VmWatch(task.Task):
    """Polls the VM list and sends :class:`VmsSeen` to its subscribers.

    While the list can't be read, nothing is sent and the last list stays
    valid: an unreachable list says nothing about the VMs.

    :param address: ``IP:PORT`` of the platform's service
    :param now: the monotonic clock for :attr:`VmsSeen.at_s`
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
        """Send to *subscriber* too; call it before the start."""
        self._subscribers.append(subscriber)

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopping.is_set():
            self._read_once()
            self.mailbox.receive(self._interval_s)

    def _read_once(self) -> None:
        listed = self._client.read()
        if isinstance(listed, outcome.Failure):
            self._count.add('vm_list.failed')
            if self._readable:
                _log.warning('failed to read the VM list: {}', listed)
            self._readable = False
            return
        if not self._readable:
            _log.notice('the VM list is readable again')
        self._readable = True
        self._count.add('vm_list.read')
        message = VmsSeen(listed.vms, self._clock())
        for subscriber in self._subscribers:
            subscriber.send(message)
