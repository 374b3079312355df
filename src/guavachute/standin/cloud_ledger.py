"""The stand-in cloud's offers, VMs and charges, as a pure state object.

All times are passed in, as seconds of a monotonic clock.
"""

import dataclasses
import enum
import typing

import msgspec

from guavachute import outcome

HOUR_S = 3600.0
Market = typing.Literal['reclaimable', 'on-demand']


class VmState(enum.Enum):
    """The state of a VM's life cycle."""

    STARTING = 'starting'
    LIVE = 'live'
    LEAVING = 'leaving'
    ENDED = 'ended'


class Offer(msgspec.Struct, frozen=True, kw_only=True):
    """A type of VM on sale in one failure domain.

    :ivar capacity: the most VMs that can run at a time; -1 for no limit
    """

    failure_domain: str
    region: str
    machine_class: str
    market: Market
    price_cents_per_hour: float
    capacity: int = -1


class Order(msgspec.Struct, frozen=True):
    """The body of a purchase; *name* is a label and need not be unique."""

    name: str
    pool: str
    failure_domain: str
    machine_class: str
    market: Market


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One VM as ``GET /v1/vms`` lists it."""

    vm: str
    name: str
    pool: str
    failure_domain: str
    region: str
    machine_class: str
    market: Market
    state: VmState
    address: str | None = None


class Charge(msgspec.Struct, frozen=True, kw_only=True):
    """What one VM has cost so far."""

    vm: str
    name: str
    ran_s: float
    cost_cents: float
    ended: bool


class Notice(msgspec.Struct, frozen=True):
    """A reclaim notice; ``leave_in_s`` counts from the response."""

    vm: str
    leave_in_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Machine:
    """The ledger's record of one VM that was bought.

    :ivar settled_s: until when ``cost_cents`` has been charged
    """

    vm: str
    order: Order
    region: str
    bought_s: float
    live_at_s: float
    settled_s: float
    state: VmState = VmState.STARTING
    address: str | None = None
    leave_at_s: float | None = None
    ended_s: float | None = None
    cost_cents: float = 0

    def entry(self) -> Entry:
        """Return the VM as ``GET /v1/vms`` lists it."""
        return Entry(
            vm=self.vm,
            name=self.order.name,
            pool=self.order.pool,
            failure_domain=self.order.failure_domain,
            region=self.region,
            machine_class=self.order.machine_class,
            market=self.order.market,
            state=self.state,
            address=self.address,
        )


OfferKey = tuple[str, str, str]
"""Failure domain, machine class and market of an offer."""


def _offer_key(each: Offer | Order) -> OfferKey:
    return each.failure_domain, each.machine_class, each.market


class Ledger:
    """The offers, the VMs and their costs.

    :param start_s: seconds from the purchase until a VM is live
    :param hour_s: seconds that are charged as one hour of the price
    """

    def __init__(self, start_s: float, hour_s: float = HOUR_S) -> None:
        self._start_s = start_s
        self._hour_s = hour_s
        self._offers: dict[OfferKey, Offer] = {}
        self._notices: list[str] = []
        self.machines: dict[str, Machine] = {}

    def offers(self) -> list[Offer]:
        """Return all offers, at their current prices."""
        return list(self._offers.values())

    def set_offers(self, offers: list[Offer], now_s: float) -> None:
        """Replace all offers; the time until *now_s* keeps its price."""
        for machine in self.machines.values():
            self._settle(machine, now_s)
        self._offers = {_offer_key(offer): offer for offer in offers}

    def buy(self, order: Order, now_s: float) -> Machine | outcome.Failure:
        """Buy a VM; fails if there is no such offer or it is sold out."""
        offer = self._offers.get(_offer_key(order))
        if offer is None or self._count_running(order) == offer.capacity:
            return outcome.Failure(outcome.Reason.NO_CAPACITY, 'no_capacity')
        machine = Machine(
            vm=f'vm-{len(self.machines)}',
            order=order,
            region=offer.region,
            bought_s=now_s,
            live_at_s=now_s + self._start_s,
            settled_s=now_s,
        )
        self.machines[machine.vm] = machine
        return machine

    def give_notice(self, vm: str, notice_s: float, now_s: float) -> bool:
        """Add a notice that *vm* ends in *notice_s* seconds.

        Returns False if no such VM is running.
        """
        machine = self.machines.get(vm)
        if machine is None or machine.state is VmState.ENDED:
            return False
        machine.state = VmState.LEAVING
        machine.leave_at_s = now_s + notice_s
        self._notices.append(vm)
        return True

    def end(self, vm: str, now_s: float) -> Machine | None:
        """End *vm* and return it; None if no such VM is running."""
        machine = self.machines.get(vm)
        if machine is None or machine.state is VmState.ENDED:
            return None
        self._settle(machine, now_s)
        machine.state = VmState.ENDED
        machine.ended_s = now_s
        return machine

    def due(self, now_s: float) -> list[Machine]:
        """Return the VMs whose start or notice period is over."""
        return [
            machine
            for machine in self.machines.values()
            if _is_due(machine, now_s)
        ]

    def running(self, name: str | None = None) -> list[Entry]:
        """Return the VMs that have not ended, optionally those of *name*."""
        return [
            machine.entry()
            for machine in self.machines.values()
            if machine.state is not VmState.ENDED
            and name in (None, machine.order.name)
        ]

    def notices(self, first: int, now_s: float) -> list[Notice]:
        """Return the reclaim notices from index *first* on."""
        return [
            Notice(vm, self._remaining_s(vm, now_s))
            for vm in self._notices[first:]
        ]

    def charges(self, now_s: float) -> list[Charge]:
        """Return what each VM has cost so far, including ended ones."""
        for machine in self.machines.values():
            self._settle(machine, now_s)
        return [
            Charge(
                vm=machine.vm,
                name=machine.order.name,
                ran_s=machine.settled_s - machine.bought_s,
                cost_cents=machine.cost_cents,
                ended=machine.state is VmState.ENDED,
            )
            for machine in self.machines.values()
        ]

    def _remaining_s(self, vm: str, now_s: float) -> float:
        leave_at_s = self.machines[vm].leave_at_s
        assert leave_at_s is not None, vm
        return max(0.0, leave_at_s - now_s)

    def _count_running(self, order: Order) -> int:
        key = _offer_key(order)
        return sum(
            machine.state is not VmState.ENDED
            and _offer_key(machine.order) == key
            for machine in self.machines.values()
        )

    def _settle(self, machine: Machine, now_s: float) -> None:
        """Charge *machine* for the time since it was last settled."""
        if machine.state is VmState.ENDED:
            return
        offer = self._offers.get(_offer_key(machine.order))
        if offer is not None:
            hours = (now_s - machine.settled_s) / self._hour_s
            machine.cost_cents += hours * offer.price_cents_per_hour
        machine.settled_s = now_s


def _is_due(machine: Machine, now_s: float) -> bool:
    if machine.state is VmState.STARTING:
        return machine.live_at_s <= now_s
    if machine.state is VmState.LEAVING:
        return machine.leave_at_s is not None and machine.leave_at_s <= now_s
    return False
