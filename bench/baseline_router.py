"""A plain load balancer: no queue, no shares, no retry and no resume.

It chooses endpoints by round robin or by the fewest requests that it has
outstanding itself, and copies the bytes of the answers. It polls the VM
list, sends nothing to VMs that are about to leave, and skips an endpoint
for one second after a connection to it failed.
"""

import dataclasses
import itertools
import selectors
import socket
import sys
import threading
import time

import msgspec
import urllib3

from bench import load_stream
from guavachute.cli import process
from guavachute.http import message
from guavachute.http import server
from guavachute.kernel import kernel
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.standin import vm_list

RECEIVE_BYTES = 64 * 1024
LAST_CHUNK = b'\r\n0\r\n\r\n'
SELECT_TIMEOUT_S = 0.5
LIST_INTERVAL_S = 1.0
FAILURE_BACKOFF_S = 1.0
UNAVAILABLE = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class BaselineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the balancer, read from its command line as JSON.

    :ivar statsd: address of the statsd server, ``IP:PORT``
    :ivar least_outstanding: choose the endpoint with the fewest
        outstanding requests instead of by round robin
    """

    region: str
    pool: str
    vm_list_address: str
    statsd: str
    least_outstanding: bool


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request to forward, and the connection of its waiting caller.

    :ivar tail: the last bytes of the response, to detect the last chunk
    """

    body: bytes
    caller: server.DetachedConnection
    engine: vm_list.Vm | None = None
    tail: bytes = b''
    response_started: bool = False


class Engines:
    """The endpoints that can be chosen; used by the balancer's task only.

    :ivar listed: the pool's live VMs
    :ivar outstanding: requests in progress by endpoint address
    """

    def __init__(self, settings: BaselineSettings) -> None:
        self._settings = settings
        self._turns = itertools.count()
        self._backoff_until_s: dict[str, float] = {}
        self.listed: list[vm_list.Vm] = []
        self.outstanding: dict[str, int] = {}

    def choose(self, now_s: float) -> vm_list.Vm | None:
        """Return the endpoint of the next request, None without one."""
        usable = [
            vm
            for vm in self.listed
            if self._backoff_until_s.get(vm.address, 0) <= now_s
        ]
        if not usable:
            return None
        turn = next(self._turns)
        if not self._settings.least_outstanding:
            return usable[turn % len(usable)]
        ordered = usable[turn % len(usable) :] + usable[: turn % len(usable)]
        return min(ordered, key=lambda vm: self.outstanding.get(vm.address, 0))

    def record_failure(self, address: str, now_s: float) -> None:
        """Skip *address* for ``FAILURE_BACKOFF_S``."""
        self._backoff_until_s[address] = now_s + FAILURE_BACKOFF_S


class Balancer(task.Task):
    """A task that copies the bytes of all streams."""

    def __init__(self, settings: BaselineSettings) -> None:
        super().__init__('balancer')
        self._settings = settings
        self._engines = Engines(settings)
        self._count = counters.connect(settings.statsd, 'guavachute.router')
        self._selector = selectors.DefaultSelector()

    def run(self) -> None:
        """Forward requests and copy responses until stopped."""
        self._selector.register(self.mailbox.fileno(), selectors.EVENT_READ)
        while not self.stopping.is_set():
            for key, mask in self._selector.select(SELECT_TIMEOUT_S):
                if key.data is None:
                    self._handle_mailbox()
                elif mask & selectors.EVENT_WRITE:
                    self._send(key.fileobj, key.data)
                else:
                    self._copy(key.fileobj, key.data)

    def _handle_mailbox(self) -> None:
        for item in self.mailbox.drain():
            if isinstance(item, vm_list.Listing):
                self._engines.listed = [
                    vm
                    for vm in item.vms
                    if vm.pool == self._settings.pool and vm.state == 'live'
                ]
            elif isinstance(item, PendingRequest):
                self._start(item)

    def _start(self, job: PendingRequest) -> None:
        job.engine = self._engines.choose(time.monotonic())
        if job.engine is None:
            self._reject(job)
            return
        address = job.engine.address
        outstanding = self._engines.outstanding
        outstanding[address] = outstanding.get(address, 0) + 1
        upstream = load_stream.connect(address)
        self._selector.register(upstream, selectors.EVENT_WRITE, job)

    def _send(self, upstream: socket.socket, job: PendingRequest) -> None:
        assert job.engine is not None
        encoded = load_stream.Request(job.engine.address, job.body).encode()
        try:
            upstream.send(encoded)
        except OSError:
            self._handle_upstream_failure(upstream, job)
            return
        self._count_bytes(job, len(encoded))
        self._selector.modify(upstream, selectors.EVENT_READ, job)

    def _copy(self, upstream: socket.socket, job: PendingRequest) -> None:
        try:
            data = upstream.recv(RECEIVE_BYTES)
        except OSError:
            data = b''
        if not data:
            self._handle_upstream_failure(upstream, job)
            return
        self._count_bytes(job, len(data))
        job.response_started = True
        try:
            job.caller.socket.sendall(data)
        except OSError:
            self._close_upstream(upstream, job)
            job.caller.close()
            return
        job.tail = (job.tail + data)[-len(LAST_CHUNK) :]
        if job.tail == LAST_CHUNK:
            self._close_upstream(upstream, job)
            job.caller.close()

    def _count_bytes(self, job: PendingRequest, size: int) -> None:
        assert job.engine is not None
        if job.engine.region != self._settings.region:
            self._count.add('region_link.bytes', size)

    def _handle_upstream_failure(
        self, upstream: socket.socket, job: PendingRequest
    ) -> None:
        self._close_upstream(upstream, job)
        assert job.engine is not None
        if job.response_started:
            job.caller.close()
            return
        self._engines.record_failure(job.engine.address, time.monotonic())
        self._reject(job)

    def _close_upstream(
        self, upstream: socket.socket, job: PendingRequest
    ) -> None:
        assert job.engine is not None
        self._selector.unregister(upstream)
        upstream.close()
        self._engines.outstanding[job.engine.address] -= 1

    def _reject(self, job: PendingRequest) -> None:
        try:
            job.caller.socket.sendall(UNAVAILABLE)
        except OSError:
            pass
        job.caller.close()


def poll_vm_list(
    settings: BaselineSettings, balancer: Balancer, stopping: threading.Event
) -> None:
    """Poll the VM list and send it to *balancer* until *stopping* is set."""
    url = f'http://{settings.vm_list_address}/v1/vms'
    while not stopping.is_set():
        answer = urllib3.request('GET', url)
        listing = msgspec.json.decode(answer.data, type=vm_list.Listing)
        balancer.mailbox.send(listing)
        stopping.wait(LIST_INTERVAL_S)


def main() -> None:
    """Serve until stopped; the only argument is the settings as JSON."""
    settings = msgspec.json.decode(sys.argv[1], type=BaselineSettings)
    balancer = Balancer(settings)

    def handle(
        request: message.Request, exchange: server.Exchange
    ) -> message.Detach:
        balancer.mailbox.send(PendingRequest(request.body, exchange.detach()))
        return message.DETACH

    hosting = kernel.Kernel()
    serving = server.Server('baseline-http', '127.0.0.1', 0, handle)
    hosting.add(balancer)
    hosting.add(serving)
    stopping = threading.Event()
    polling = threading.Thread(
        target=poll_vm_list, args=(settings, balancer, stopping), daemon=True
    )
    with (
        process.stopped_by_signals(hosting.request_stop),
        hosting.running(),
    ):
        polling.start()
        process.announce('baseline-router', http=serving.address)
        hosting.wait()
        stopping.set()


if __name__ == '__main__':
    main()
