"""Orders engines from the cloud while this node holds the lease of duties."""

import collections
import dataclasses
import typing

from guavachute.decide.duty import scaling
from guavachute.domain import configuration
from guavachute.domain import endpoints
from guavachute.entry import control_client
from guavachute.entry import duty as entry_duty
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute import ids
from guavachute.observe import journal
from guavachute.platform import cloud

SETTLE_S = 3.5
"""Time from the start of the process until all running endpoints should have
written their entries. No order is sent before, so that none removes an
endpoint that is not known yet."""

RESEND_AFTER_S = 2.0
"""An order that was rejected or lost is sent again after this."""

RECLAIMING_S = 12.0
"""For this long after a reclaim, another one is expected."""

REFRESH_S = 30.0
"""An accepted order is sent again after this, since an older order that was
answered late may have replaced it."""

DemandOf = typing.Callable[[ids.ServiceName], scaling.Demand]
"""Gives the demand for a service, over the callers of all nodes."""

LimitedOf = typing.Callable[[ids.ServiceName], set[ids.EndpointId]]
"""Gives the endpoints of a service that have named a limit."""


@dataclasses.dataclass(slots=True)
class _Order:
    """The latest order of one kind of endpoints.

    :ivar desired: the ordered number of endpoints
    """

    desired: int
    sent_s: float
    is_accepted: bool = False


class Scaler:
    """Keeps the orders for each service at the desired number of engines."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        state: known_state.KnownState,
        domains: typing.Sequence[ids.FailureDomain],
        demand: DemandOf,
        limited: LimitedOf,
    ) -> None:
        self._loop = loop
        self._state = state
        self._domains = domains
        self._demand = demand
        self._limited = limited
        self._started_s = loop.now_s
        self._reclaimed_s: dict[ids.ServiceName, float] = {}
        self._estimates: dict[ids.ServiceName, scaling.DemandEstimate] = {}
        self._orders: dict[
            tuple[ids.ServiceName, scaling.EndpointKind], _Order
        ] = {}

    def run(self, duty: entry_duty.Duty) -> None:
        """Send the orders that differ from the desired numbers."""
        current = self._state.configuration
        if current is None or self._state.endpoints_position < 0:
            return
        if self._loop.now_s - self._started_s < SETTLE_S:
            return
        for service in current.services.values():
            if service.scaling is not None:
                self._scale_service(duty, service, service.scaling)

    def _scale_service(
        self,
        duty: entry_duty.Duty,
        service: configuration.Service,
        bounds: configuration.Scaling,
    ) -> None:
        now_s = self._loop.now_s
        estimate = self._estimates.get(service.name)
        if estimate is None:
            estimate = self._estimates[service.name] = scaling.DemandEstimate()
        demand = self._demand(service.name)
        ready = list(self._state.table.ready(service.name))
        limited = self._limited(service.name)
        busy_engines = estimate.update(demand.busy_engines, len(ready), now_s)
        desired = scaling.desired_counts(
            bounds,
            self._domains,
            busy_engines,
            collections.Counter(
                entry.domain
                for entry in ready
                if entry.is_reclaimable and entry.id not in limited
            ),
            self._is_reclaiming(service.name, now_s),
            len(limited),
        )
        # Orders for reclaimable engines are sent first, so that they are
        # placed before the orders for on-demand engines are reduced.
        for kind, count in sorted(
            desired.items(), key=lambda item: not item[0].is_reclaimable
        ):
            order = self._orders.get((service.name, kind))
            if order is not None and not self._is_due(order, count, now_s):
                continue
            self._send(duty, service.name, kind, count, demand)

    def _is_reclaiming(self, service: ids.ServiceName, now_s: float) -> bool:
        """Whether endpoints of the service were recently reclaimed."""
        for entry in self._state.table.entries.values():
            if (
                entry.service == service
                and entry.is_reclaimable
                and entry.state is endpoints.EndpointState.DRAINING
                and entry.leaves_in_s is not None
            ):
                self._reclaimed_s[service] = now_s
        last_s = self._reclaimed_s.get(service, float('-inf'))
        return now_s - last_s < RECLAIMING_S

    def _is_due(self, order: _Order, desired: int, now_s: float) -> bool:
        age_s = now_s - order.sent_s
        if order.desired != desired:
            return order.is_accepted or age_s >= RESEND_AFTER_S
        return age_s >= (REFRESH_S if order.is_accepted else RESEND_AFTER_S)

    def _send(
        self,
        duty: entry_duty.Duty,
        service: ids.ServiceName,
        kind: scaling.EndpointKind,
        desired: int,
        demand: scaling.Demand,
    ) -> None:
        order = _Order(desired, self._loop.now_s)
        self._orders[(service, kind)] = order

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            answer: typing.Any = (
                reply.value
                if isinstance(reply, control_client.CallFailure)
                else reply.status
            )
            order.is_accepted = answer == 200
            journal.event(
                'order',
                outcome=answer,
                service=service,
                domain=kind.domain,
                is_reclaimable=kind.is_reclaimable,
                wanted=desired,
                demand=dataclasses.asdict(demand),
            )

        duty.call_cloud(
            cloud.ORDER_TARGET,
            cloud.encode_order(
                service, kind.domain, desired, kind.is_reclaimable
            ),
            handle_reply,
        )
