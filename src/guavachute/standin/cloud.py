"""A stand-in for the cloud's API that keeps a ledger of charges.

It can keep a VM list up to date and, within one process, start and stop
the services that run on its VMs.
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
"""The address of a VM on which no service was started."""


class Offers(msgspec.Struct, frozen=True):
    """The body of ``GET /v1/offers`` and, in tests, ``PUT /v1/offers``."""

    offers: list[cloud_ledger.Offer]


class Reclaim(msgspec.Struct, frozen=True):
    """The body of ``POST /reclaims``: a VM or all of a failure domain.

    :ivar notice_s: seconds until the VMs end; 0 ends them at once and
        without a notice
    """

    vm: str | None = None
    failure_domain: str | None = None
    notice_s: float = 30


class VmFeed(typing.Protocol):
    """Receives changes of the VMs; :class:`vm_list.VmList` is one."""

    def put(self, vm: vm_list.Vm) -> None:
        """Add *vm*, or replace the entry with the same id."""

    def remove(self, vm: str) -> None:
        """Remove the entry whose id is *vm*."""


class Machines:
    """Starts and stops the services on the VMs; by default there are none."""

    def launch(self, machine: cloud_ledger.Machine) -> str:
        """Start the service of *machine* and return its address."""
        return UNREACHABLE

    def kill(self, machine: cloud_ledger.Machine) -> None:
        """Stop the service of *machine* abruptly."""


class Cloud(base.StandIn):
    """The cloud's API: sells, lists, reclaims and charges for VMs.

    :param start_s: seconds from the purchase until a VM is live
    :param hour_s: seconds that are charged as one hour of the price
    :param feed: receives each change of the VMs
    :param machines: starts and stops the services on the VMs
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
        self._timer = _PeriodicTask(f'{name}-timer', self._advance)

    def start(self) -> None:
        """Start the service and its timer."""
        self._timer.start()
        super().start()

    def request_stop(self) -> None:
        """Stop the service and its timer."""
        self._timer.request_stop()
        super().request_stop()

    def set_offers(self, offers: list[cloud_ledger.Offer]) -> None:
        """Replace all offers; running VMs are charged the new prices."""
        with self._lock:
            self._ledger.set_offers(offers, time.monotonic())

    def buy(
        self, order: cloud_ledger.Order
    ) -> cloud_ledger.Entry | outcome.Failure:
        """Buy a VM; fails if no capacity is left."""
        with self._lock:
            bought = self._ledger.buy(order, time.monotonic())
            if isinstance(bought, outcome.Failure):
                return bought
            return bought.entry()

    def running(self) -> list[cloud_ledger.Entry]:
        """Return the VMs that have not ended."""
        with self._lock:
            return self._ledger.running()

    def charges(self) -> list[cloud_ledger.Charge]:
        """Return what each VM has cost so far, including ended ones."""
        with self._lock:
            return self._ledger.charges(time.monotonic())

    def reclaim(self, vm: str, notice_s: float) -> None:
        """Reclaim *vm* after *notice_s* seconds; 0 ends it at once."""
        if notice_s <= 0:
            self.end(vm)
            return
        with self._lock:
            if self._ledger.give_notice(vm, notice_s, time.monotonic()):
                self._publish_vm(self._ledger.machines[vm])

    def reclaim_failure_domain(self, name: str, notice_s: float) -> None:
        """Reclaim all VMs of the failure domain *name*."""
        for entry in self.running():
            if entry.failure_domain == name:
                self.reclaim(entry.vm, notice_s)

    def end(self, vm: str) -> bool:
        """End *vm* at once; return False if no such VM is running."""
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
        """Answer one request to the cloud's API."""
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
        """Make VMs live that are due, and end those whose notice is over."""
        with self._lock:
            for machine in self._ledger.due(time.monotonic()):
                if machine.state is cloud_ledger.VmState.LEAVING:
                    self.end(machine.vm)
                else:
                    machine.address = self._machines.launch(machine)
                    machine.state = cloud_ledger.VmState.LIVE
                    self._publish_vm(machine)

    def _publish_vm(self, machine: cloud_ledger.Machine) -> None:
        if self._feed is None or machine.address is None:
            return
        leaving = machine.state is cloud_ledger.VmState.LEAVING
        remaining_s = None
        if leaving and machine.leave_at_s is not None:
            remaining_s = max(0.0, machine.leave_at_s - time.monotonic())
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
                leave_in_s=remaining_s,
            )
        )


class _PeriodicTask(task.Task):
    """Calls *advance* every ``TICK_S`` seconds until it is stopped."""

    def __init__(self, name: str, advance: typing.Callable[[], None]) -> None:
        super().__init__(name)
        self._call = advance

    def run(self) -> None:
        while not self.stopping.wait(TICK_S):
            self._call()
