"""Carries out purchases: orders VMs at the cloud and records results.

Used by the fleet's task only. The decisions are made by pure functions
in ``decide.fleet.purchases``; this module keeps the history that they
need, sends their orders to the workers and turns results into records.
"""

import random
import typing

from guavachute.decide.fleet import market
from guavachute.decide.fleet import purchases
from guavachute.decide.requests import congestion_window
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services.fleet import messages
from guavachute.wire import records

_log = logs.logger('fleet')

ORDER_TIMEOUT_S = 600.0
"""An intent that couldn't be ordered within this time is closed."""
READ_BACK_TIMEOUT_S = 60.0
"""An intent that wasn't read back within this time is no longer counted."""


class Purchasing:
    """The purchases of one environment, as one process handles them.

    :param workers: mailboxes of the cloud workers
    :param reply: the mailbox that receives the workers' results
    :ivar api_window: limits the orders in flight to the cloud API
    :ivar offer_windows: the same for the starts from each offer
    """

    def __init__(
        self,
        environment: ids.EnvironmentName,
        workers: typing.Sequence[mailbox.Mailbox],
        reply: mailbox.Mailbox,
        count: counters.Counters,
        jitter: random.Random,
    ) -> None:
        self._environment = environment
        self._workers = workers
        self._reply = reply
        self._count = count
        self._jitter = jitter
        self._next_worker = 0
        self._in_flight: set[str] = set()
        self._ordered_at_s: dict[str, float] = {}
        self._opened_at_s: dict[str, float] = {}
        self._first_seen_s: dict[ids.VmId, float] = {}
        self._awaited: dict[str, tuple[records.PurchaseIntent, float]] = {}
        self.api_window = congestion_window.CongestionWindow()
        self.offer_windows: dict[
            market.OfferKey, congestion_window.CongestionWindow
        ] = {}

    def awaited_intents(
        self, state: records.ControlState, now_s: float
    ) -> tuple[records.PurchaseIntent, ...]:
        """Return the intents that were written and not yet read back."""
        self._awaited = {
            name: (intent, at_s)
            for name, (intent, at_s) in self._awaited.items()
            if now_s - at_s < READ_BACK_TIMEOUT_S
            and name not in state.open_purchases
            and name not in state.owned_purchases
            and name not in state.closed_purchases
        }
        return tuple(intent for intent, _ in self._awaited.values())

    def record_written(
        self, intents: typing.Iterable[records.PurchaseIntent], now_s: float
    ) -> None:
        """Count *intents* as open until they are read back."""
        for intent in intents:
            self._awaited[intent.vm_name] = (intent, now_s)
            # The name is new, so no other process can have ordered it:
            # there is no earlier order to wait for.
            self._ordered_at_s[intent.vm_name] = float('-inf')

    def discard_unwritten(self, record_id: ids.RecordId) -> None:
        """Discard an intent whose record certainly isn't in the log."""
        self._awaited = {
            name: entry
            for name, entry in self._awaited.items()
            if entry[0].record_id != record_id
        }

    def free_slots(self, now_s: float) -> int:
        """Return how many more orders may be sent to the cloud API now."""
        return congestion_window.free_slots(
            self.api_window, len(self._in_flight), now_s
        )

    def is_busy(self, state: records.ControlState) -> bool:
        """Whether orders, open purchases or drains will change the list."""
        prefix = purchases.name_prefix(self._environment)
        return (
            bool(self._in_flight or self._awaited)
            or any(name.startswith(prefix) for name in state.open_purchases)
            or any(
                owned.draining
                for name, owned in state.owned_purchases.items()
                if name.startswith(prefix)
            )
        )

    def reconcile(
        self,
        state: records.ControlState,
        listed: typing.Sequence[purchases.ListedVm],
        now_s: float,
    ) -> list[records.Record]:
        """Send the orders that are due and return the records to write.

        :param listed: all VMs that the cloud lists, read after *state*
        """
        self._update_times(state, listed, now_s)
        actions = purchases.reconcile(
            state,
            self._environment,
            listed,
            self._ordered_at_s,
            self._first_seen_s,
            now_s,
        )
        new_records: list[records.Record] = []
        for action in actions:
            if isinstance(action, purchases.Order):
                new_records.extend(self._order(action.intent, now_s))
            elif isinstance(action, purchases.EndVm):
                self._end(action, now_s)
            else:
                new_records.append(_record(action))
        return new_records

    def order_from_allowance(
        self,
        allowance: records.PurchaseAllowance,
        names: typing.Iterable[str],
        now_s: float,
    ) -> None:
        """Order VMs from an allowance while the log is down.

        A name is ordered again only after ``purchases.SETTLE_S``, when an
        earlier order can no longer take effect.
        """
        offer = market.OfferKey(
            allowance.failure_domain,
            allowance.machine_class,
            market.Market(allowance.market),
        )
        for name in names:
            ordered_s = self._ordered_at_s.get(name, float('-inf'))
            if now_s - ordered_s >= purchases.SETTLE_S:
                self._count.add('fleet.allowance_orders')
                self._send_start(name, allowance.pool, offer, now_s, True)

    def handle_start_done(
        self, done: messages.StartDone, now_s: float
    ) -> list[records.Record]:
        """Handle the result of a start and return the records to write."""
        order = done.order
        self._in_flight.discard(order.name)
        result = done.result
        if not isinstance(result, outcome.Failure):
            self.api_window = congestion_window.after_success(self.api_window)
            self._update_offer_window(order.offer, None, now_s)
            _log.notice('purchase {} started VM {}', order.name, result.vm)
            return []
        if result.reason in _CLOSING:
            self._update_offer_window(order.offer, result, now_s)
            refused = purchases.closing_record(
                order.name, 'refused', str(result)
            )
            return [refused]
        if result.reason is not outcome.Reason.LOST_ANSWER:
            # The VM was certainly not ordered, so the name can be ordered
            # again as soon as the congestion window allows.
            self._ordered_at_s[order.name] = float('-inf')
        if result.reason is not outcome.Reason.SUPERSEDED:
            self._slow_down(result, now_s)
        return []

    def handle_end_done(self, done: messages.EndDone, now_s: float) -> None:
        """Handle the result of an end.

        A VM that wasn't ended is still in the next list, and the order
        is sent again.
        """
        self._in_flight.discard(_end_key(done.order.vm))
        if done.failure is None:
            self.api_window = congestion_window.after_success(self.api_window)
        elif done.failure.reason is not outcome.Reason.SUPERSEDED:
            self._slow_down(done.failure, now_s)

    def _update_times(
        self,
        state: records.ControlState,
        listed: typing.Sequence[purchases.ListedVm],
        now_s: float,
    ) -> None:
        present = {vm.vm for vm in listed}
        self._first_seen_s = {
            vm: self._first_seen_s.get(vm, now_s) for vm in present
        }
        self._opened_at_s = {
            name: self._opened_at_s.get(name, now_s)
            for name in state.open_purchases
        }
        # An earlier holder may have ordered these just before it died.
        for name in state.open_purchases:
            self._ordered_at_s.setdefault(name, now_s)
        for name in list(self._ordered_at_s):
            if name in state.closed_purchases or name in state.owned_purchases:
                del self._ordered_at_s[name]

    def _order(
        self, intent: records.PurchaseIntent, now_s: float
    ) -> typing.Iterator[records.Record]:
        name = intent.vm_name
        if name in self._in_flight:
            return
        if now_s - self._opened_at_s.get(name, now_s) >= ORDER_TIMEOUT_S:
            yield purchases.closing_record(
                name, 'refused', 'not ordered in time'
            )
        elif self.free_slots(now_s) > 0:
            offer = purchases.offer_of(intent)
            self._send_start(name, intent.pool, offer, now_s)

    def _send_start(
        self,
        name: str,
        pool: ids.PoolName,
        offer: market.OfferKey,
        now_s: float,
        from_allowance: bool = False,
    ) -> None:
        self._ordered_at_s[name] = now_s
        self._in_flight.add(name)
        self._send_to_worker(
            messages.StartVm(name, pool, offer, self._reply, from_allowance)
        )

    def _end(self, action: purchases.EndVm, now_s: float) -> None:
        key = _end_key(action.vm)
        if key in self._in_flight or not self.free_slots(now_s):
            return
        self._count.add('fleet.end_orders')
        _log.notice('ending VM {}: {}', action.vm, action.why)
        self._in_flight.add(key)
        self._send_to_worker(
            messages.EndVm(action.vm, action.vm_name, self._reply)
        )

    def _send_to_worker(
        self, order: messages.StartVm | messages.EndVm
    ) -> None:
        self._workers[self._next_worker].send(order)
        self._next_worker = (self._next_worker + 1) % len(self._workers)

    def _slow_down(self, failure: outcome.Failure, now_s: float) -> None:
        self.api_window = congestion_window.after_overload(
            self.api_window,
            failure.retry_after_s,
            self._jitter.random(),
            now_s,
        )

    def _update_offer_window(
        self,
        offer: market.OfferKey,
        failure: outcome.Failure | None,
        now_s: float,
    ) -> None:
        current = self.offer_windows.get(
            offer, congestion_window.CongestionWindow()
        )
        if failure is None:
            self.offer_windows[offer] = congestion_window.after_success(
                current
            )
            return
        self._count.add('fleet.starts_refused')
        self.offer_windows[offer] = congestion_window.after_overload(
            current, failure.retry_after_s, self._jitter.random(), now_s
        )


_CLOSING = (outcome.Reason.NO_CAPACITY, outcome.Reason.BAD_REQUEST)
"""Failures that close the purchase; its name isn't ordered again."""


def _end_key(vm: ids.VmId) -> str:
    return f'end {vm}'


def _record(
    action: purchases.WriteStarted
    | purchases.WriteBought
    | purchases.WriteEnded,
) -> records.Record:
    if isinstance(action, purchases.WriteStarted):
        return purchases.started_record(action.vm_name, action.vm)
    if isinstance(action, purchases.WriteEnded):
        return purchases.closing_record(
            action.vm_name, 'ended', action.why, action.vm
        )
    return purchases.bought_record(action.vm_name, action.allowance)
