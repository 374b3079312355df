"""Orders endpoints while this node holds the duties."""

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
"""From the start of the process until the endpoints that live have
written their entries, so that none is given up unseen."""

REPEAT_S = 2.0
"""Pause before an order that was refused or lost is sent again."""

RECLAIMING_S = 12.0
"""After a reclaim, another one is expected for this long."""

START_MARGIN_S = 1.5
"""How much longer than it should an ordered endpoint may take to serve
and to be seen, before it is given up."""

REFRESH_S = 30.0
"""An order that was taken is sent again after this, since one that was
answered late may have replaced it."""

Demands = typing.Callable[[ids.ServiceName], scaling.Demand]


@dataclasses.dataclass(slots=True)
class _Order:
    """The latest order of one kind.

    :ivar is_refused: whether it was answered, and not taken
    """

    wanted: int
    sent_s: float
    is_taken: bool = False
    is_refused: bool = False


class Scaler:
    """Keeps the orders of each service at what is needed."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        state: known_state.KnownState,
        domains: typing.Sequence[ids.FailureDomain],
        demand: Demands,
    ) -> None:
        self._loop = loop
        self._state = state
        self._domains = domains
        self._demand = demand
        self._started_s = loop.now_s
        self._reclaimed_s: dict[ids.ServiceName, float] = {}
        self._needs: dict[ids.ServiceName, scaling.Need] = {}
        self._orders: dict[tuple[ids.ServiceName, scaling.Kind], _Order] = {}

    def act(self, duty: entry_duty.Duty) -> None:
        """Send the orders that differ from the wish."""
        current = self._state.configuration
        if current is None or self._state.endpoints_offset < 0:
            return
        if self._loop.now_s - self._started_s < SETTLE_S:
            return
        for service in current.services.values():
            if service.scaling is not None:
                self._act_for(duty, service, service.scaling)

    def _act_for(
        self,
        duty: entry_duty.Duty,
        service: configuration.Service,
        bounds: configuration.Scaling,
    ) -> None:
        now_s = self._loop.now_s
        need = self._needs.get(service.name)
        if need is None:
            need = self._needs[service.name] = scaling.Need()
        demand = self._demand(service.name)
        ready = list(self._state.table.ready(service.name))
        busy_engines = need.update(demand.busy_engines, len(ready), now_s)
        is_reclaiming = self._is_reclaiming(service.name, now_s)
        # Reclaimable ones first: what was ordered just now, and is not
        # refused, need not be ordered on demand.
        for is_reclaimable in (True, False):
            wished = scaling.wish(
                bounds,
                self._domains,
                busy_engines,
                self._supply(service.name, bounds, ready, now_s),
                is_reclaiming,
            )
            for kind, wanted in wished.items():
                if kind.is_reclaimable is not is_reclaimable:
                    continue
                order = self._orders.get((service.name, kind))
                if order is None or self._is_due(order, wanted, now_s):
                    self._send(duty, service.name, kind, wanted, demand)

    def _supply(
        self,
        service: ids.ServiceName,
        bounds: configuration.Scaling,
        ready: typing.Iterable[endpoints.Endpoint],
        now_s: float,
    ) -> scaling.Supply:
        serving = collections.Counter(
            entry.domain for entry in ready if entry.is_reclaimable
        )
        coming = collections.Counter(serving)
        # A holder that has ordered nothing yet goes by what it finds.
        found = collections.Counter(
            entry.domain for entry in ready if not entry.is_reclaimable
        )
        on_demand = 0
        for domain in self._domains:
            order = self._orders.get((service, scaling.Kind(domain, False)))
            on_demand += found[domain] if order is None else order.wanted
            order = self._orders.get((service, scaling.Kind(domain, True)))
            starts_in_s = bounds.start_s + START_MARGIN_S
            if (
                order is not None
                and not order.is_refused
                and now_s - order.sent_s < starts_in_s
                and not self._is_losing(service, domain)
            ):
                coming[domain] = max(serving[domain], order.wanted)
        return scaling.Supply(serving, coming, on_demand)

    def _is_losing(
        self, service: ids.ServiceName, domain: ids.FailureDomain | None = None
    ) -> bool:
        """Whether reclaimable endpoints leave now, of *domain* or any."""
        return any(
            entry.service == service
            and entry.is_reclaimable
            and entry.state is endpoints.EndpointState.DRAINING
            and domain in (None, entry.domain)
            for entry in self._state.table.entries.values()
        )

    def _is_reclaiming(self, service: ids.ServiceName, now_s: float) -> bool:
        """Whether reclaimable endpoints were taken away of late."""
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

    def _is_due(self, order: _Order, wanted: int, now_s: float) -> bool:
        age_s = now_s - order.sent_s
        if order.wanted != wanted:
            return order.is_taken or age_s >= REPEAT_S
        return age_s >= (REFRESH_S if order.is_taken else REPEAT_S)

    def _send(
        self,
        duty: entry_duty.Duty,
        service: ids.ServiceName,
        kind: scaling.Kind,
        wanted: int,
        demand: scaling.Demand,
    ) -> None:
        order = _Order(wanted, self._loop.now_s)
        self._orders[(service, kind)] = order

        def got(reply: control_client.Reply | control_client.Lost) -> None:
            answer: typing.Any = (
                reply.value
                if isinstance(reply, control_client.Lost)
                else reply.status
            )
            order.is_taken = answer == 200
            order.is_refused = answer == cloud.SUPERSEDED_STATUS
            journal.event(
                'order',
                outcome=answer,
                service=service,
                domain=kind.domain,
                is_reclaimable=kind.is_reclaimable,
                wanted=wanted,
                demand=dataclasses.asdict(demand),
            )

        duty.call_cloud(
            cloud.ORDER_TARGET,
            cloud.order(service, kind.domain, wanted, kind.is_reclaimable),
            got,
        )
