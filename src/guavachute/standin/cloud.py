"""A stand-in for the cloud's API, with a ledger of its own.

It can drive a VM list and, in one process, start and end what runs on
its VMs.
"""

import threading
import time
import typing

import msgspec

from guavachute.http import message
from guavachute.http import server
from guavachute.kernel import task
from guavachute import outcome
from guavachute.standin import base
from guavachute.standin import cloud_ledger
from guavachute.standin import vm_list

TICK_S = 0.05
UNREACHABLE = '127.0.0.1:1'
"""The address of a VM on which nothing was started."""


class Offers(msgspec.Struct, frozen=True):
    """The body of ``GET`` and, for tests, ``PUT /v1/offers``."""

    offers: list[cloud_ledger.Offer]


class Reclaim(msgspec.Struct, frozen=True):
    """The body of ``POST /reclaims``: a VM or a whole failure domain.

    :ivar notice_s: 0 ends it at once and without a notice
    """

    vm: str | None = None
    failure_domain: str | None = None
    notice_s: float = 30


class VmFeed(typing.Protocol):
    """What is told of the VMs; :class:`vm_list.VmList` is one."""

    def put(self, vm: vm_list.Vm) -> None:
        """List *vm*."""

    def remove(self, vm: str) -> None:
        """List *vm* no more."""


class Machines:
    """What runs on the VMs: by default nothing."""

    def launch(self, machine: cloud_ledger.Machine) -> str:
        """Start what belongs on *machine*; gives its address."""
        return UNREACHABLE

    def kill(self, machine: cloud_ledger.Machine) -> None:
        """End what runs on *machine*, without warning."""


class Cloud(base.StandIn):
    """Sells VMs.

    :param start_s: from the purchase until a VM is live
    :param hour_s: how long an hour of the prices lasts here
    :param feed: is told which VMs there are
    :param machines: is told to start and end what runs on them
    """

    def __init__(
        self,
        name: str = 'cloud',
        host: str = base.HOST,
        port: int = 0,
        *,
        start_s: float = 0.1,
        hour_s: float = cloud_ledger.HOUR_S,
        feed: VmFeed | None = None,
        machines: Machines | None = None,
    ) -> None:
        super().__init__(name, host, port)
        self._lock = threading.RLock()
        self._ledger = cloud_ledger.Ledger(start_s, hour_s)
        self._feed = feed
        self._machines = machines or Machines()
        self._timer = _Timer(f'{name}-timer', self._advance)

    def start(self) -> None:
        """Start the service and its timer."""
        self._timer.start()
        super().start()

    def request_stop(self) -> None:
        """Stop the service and its timer."""
        self._timer.request_stop()
        super().request_stop()

    def set_offers(self, offers: list[cloud_ledger.Offer]) -> None:
        """Sell exactly *offers* from now on, at their prices."""
        with self._lock:
            self._ledger.set_offers(offers, time.monotonic())

    def buy(
        self, order: cloud_ledger.Order
    ) -> cloud_ledger.Entry | outcome.Failure:
        """Start a VM."""
        with self._lock:
            bought = self._ledger.buy(order, time.monotonic())
            if isinstance(bought, outcome.Failure):
                return bought
            return bought.entry()

    def running(self) -> list[cloud_ledger.Entry]:
        """The VMs that have not ended."""
        with self._lock:
            return self._ledger.running()

    def charges(self) -> list[cloud_ledger.Charge]:
        """What every VM has cost so far."""
        with self._lock:
            return self._ledger.charges(time.monotonic())

    def reclaim(self, vm: str, notice_s: float) -> None:
        """Take *vm* back after *notice_s*; 0 gives no notice."""
        if notice_s <= 0:
            self.end(vm)
            return
        with self._lock:
            if self._ledger.give_notice(vm, notice_s, time.monotonic()):
                self._tell(self._ledger.machines[vm])

    def reclaim_failure_domain(self, name: str, notice_s: float) -> None:
        """Take back all VMs of the failure domain *name*."""
        for entry in self.running():
            if entry.failure_domain == name:
                self.reclaim(entry.vm, notice_s)

    def end(self, vm: str) -> bool:
        """End *vm* at once; False when there is none that runs."""
        with self._lock:
            machine = self._ledger.end(vm, time.monotonic())
            if machine is None:
                return False
            if self._feed is not None:
                self._feed.remove(vm)
            if machine.address is not None:
                self._machines.kill(machine)
            return True

    def serve(
        self, request: message.Request, exchange: server.Exchange
    ) -> base.Reply:
        """Answer one request."""
        match request.method, request.path:
            case 'GET', '/v1/offers':
                with self._lock:
                    return message.json_response(Offers(self._ledger.offers()))
            case 'PUT', '/v1/offers':
                return self._serve_prices(request)
            case 'POST', '/v1/vms':
                return self._serve_purchase(request)
            case 'GET', '/v1/vms':
                with self._lock:
                    vms = self._ledger.running(request.query.get('name'))
                return message.json_response({'vms': vms})
            case 'GET', '/v1/notices':
                return self._serve_notices(request)
            case 'GET', '/ledger':
                return message.json_response({'charges': self.charges()})
            case 'POST', '/reclaims':
                return self._serve_reclaim(request)
        if request.method == 'DELETE' and request.path.startswith('/v1/vms/'):
            ended = self.end(request.path.removeprefix('/v1/vms/'))
            return message.json_response({}) if ended else base.not_found()
        return base.not_found()

    def _serve_prices(self, request: message.Request) -> message.Response:
        body = message.decode_json(request.body, Offers)
        if isinstance(body, outcome.Failure):
            return base.bad_request(body)
        self.set_offers(body.offers)
        return message.json_response({})

    def _serve_purchase(self, request: message.Request) -> message.Response:
        order = message.decode_json(request.body, cloud_ledger.Order)
        if isinstance(order, outcome.Failure):
            return base.bad_request(order)
        bought = self.buy(order)
        if isinstance(bought, outcome.Failure):
            return base.error(409, bought.detail)
        return message.json_response(bought, 201)

    def _serve_notices(self, request: message.Request) -> message.Response:
        try:
            first = max(0, int(request.query.get('from', '0')))
        except ValueError as error:
            return base.error(400, str(error))
        with self._lock:
            notices = self._ledger.notices(first, time.monotonic())
        return message.json_response(
            {'next': first + len(notices), 'notices': notices}
        )

    def _serve_reclaim(self, request: message.Request) -> message.Response:
        body = message.decode_json(request.body, Reclaim)
        if isinstance(body, outcome.Failure):
            return base.bad_request(body)
        if body.vm is not None:
            self.reclaim(body.vm, body.notice_s)
        if body.failure_domain is not None:
            self.reclaim_failure_domain(body.failure_domain, body.notice_s)
        return message.json_response({})

    def _advance(self) -> None:
        """Let VMs go live, and end those whose notice has run out."""
        with self._lock:
            for machine in self._ledger.due(time.monotonic()):
                if machine.state is cloud_ledger.VmState.LEAVING:
                    self.end(machine.vm)
                else:
                    machine.address = self._machines.launch(machine)
                    machine.state = cloud_ledger.VmState.LIVE
                    self._tell(machine)

    def _tell(self, machine: cloud_ledger.Machine) -> None:
        if self._feed is None or machine.address is None:
            return
        leaving = machine.state is cloud_ledger.VmState.LEAVING
        left_s = None
        if leaving and machine.leave_at_s is not None:
            left_s = max(0.0, machine.leave_at_s - time.monotonic())
        self._feed.put(
            vm_list.Vm(
                vm=machine.vm,
                address=machine.address,
                failure_domain=machine.order.failure_domain,
                region=machine.region,
                pool=machine.order.pool,
                kind='endpoint',
                machine_class=machine.order.machine_class,
                market=machine.order.market,
                state='leaving' if leaving else 'live',
                leave_in_s=left_s,
            )
        )


class _Timer(task.Task):
    """Calls *advance* again and again."""

    def __init__(self, name: str, advance: typing.Callable[[], None]) -> None:
        super().__init__(name)
        self._call = advance

    def run(self) -> None:
        while not self.stopping.wait(TICK_S):
            self._call()
