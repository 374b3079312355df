"""Sends orders to model engines and reads their reports.

Engines that haven't reached their desired state come first in each
round, the others follow in turn. A round visits a limited number of
engines, so that the traffic doesn't grow with the fleet.
"""

import collections
import itertools
import time

from guavachute.clients import engine_orders
from guavachute.decide.fleet import fleet_state
from guavachute.decide.fleet import placement
from guavachute import ids
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute import outcome
from guavachute.services.fleet import messages

ROUND_S = 2.0
MAX_QUERIED = 20
"""The most engines that are ordered or queried in one round."""
RETRY_PAUSE_S = 15.0
"""How long an engine that didn't answer isn't queried again."""


class EngineOrders(task.Task):
    """The task that brings engines into their desired states.

    :param held_now: called right before each order, which is sent only
        if the lease is held
    """

    def __init__(
        self,
        name: str,
        held_now: messages.HeldNow,
        count: counters.Counters,
        round_s: float = ROUND_S,
    ) -> None:
        super().__init__(name)
        self._held_now = held_now
        self._reply: mailbox.Mailbox | None = None
        self._count = count
        self._round_s = round_s
        self._desired: dict[ids.EndpointId, messages.DesiredEngine] = {}
        self._accepted: dict[ids.EndpointId, placement.DesiredState] = {}
        self._models: dict[ids.EndpointId, tuple[str, ...]] = {}
        self._queue: collections.deque[ids.EndpointId] = collections.deque()
        self._paused_until_s: dict[ids.EndpointId, float] = {}

    def run(self) -> None:
        """Order and query engines until stopped."""
        while not self.stopping.is_set():
            message = self.mailbox.receive(self._round_s)
            for each in (message, *self.mailbox.drain()):
                if isinstance(each, messages.DesiredEngines):
                    self._replace_desired(each)
            for endpoint in self._choose_engines():
                if self.stopping.is_set():
                    return
                self._order_and_query(self._desired[endpoint])

    def _replace_desired(self, update: messages.DesiredEngines) -> None:
        self._reply = update.reply
        self._desired = {each.endpoint: each for each in update.engines}
        for table in (self._accepted, self._models, self._paused_until_s):
            for endpoint in table.keys() - self._desired.keys():
                del table[endpoint]
        known = set(self._queue)
        self._queue = collections.deque(
            each for each in self._queue if each in self._desired
        )
        self._queue.extend(each for each in self._desired if each not in known)

    def _choose_engines(self) -> list[ids.EndpointId]:
        """Choose engines not in their desired state first, then others."""
        now_s = time.monotonic()
        paused = {
            endpoint
            for endpoint, until_s in self._paused_until_s.items()
            if now_s < until_s
        }
        unfinished = [
            endpoint
            for endpoint, each in self._desired.items()
            if endpoint not in paused and not self._is_as_desired(each)
        ][:MAX_QUERIED]
        chosen = dict.fromkeys(unfinished)
        spare = MAX_QUERIED - len(chosen)
        others = (each for each in self._queue if each not in paused)
        for endpoint in itertools.islice(others, max(0, spare)):
            chosen[endpoint] = None
        for endpoint in chosen:
            self._queue.remove(endpoint)
            self._queue.append(endpoint)
        return list(chosen)

    def _is_as_desired(self, each: messages.DesiredEngine) -> bool:
        loaded = self._models.get(each.endpoint)
        if each.desired is None:
            return loaded is not None
        return (
            self._accepted.get(each.endpoint) == each.desired
            and loaded is not None
            and each.desired.model in loaded
        )

    def _order_and_query(self, each: messages.DesiredEngine) -> None:
        if each.desired is not None:
            self._send_order(each, each.desired)
        load = engine_orders.fetch_load(each.address)
        if isinstance(load, outcome.Failure):
            self._count.add('fleet.engine_reads_failed')
            self._paused_until_s[each.endpoint] = (
                time.monotonic() + RETRY_PAUSE_S
            )
            return
        models = tuple(ids.ModelName(model) for model in load.models)
        self._models[each.endpoint] = models
        report = fleet_state.EngineReport(
            each.endpoint,
            models,
            self._accepted.get(each.endpoint),
            load.running + load.queued,
        )
        assert self._reply is not None, (
            'an engine was queried before any reply mailbox was set'
        )
        self._reply.send(messages.EngineReported(report))

    def _send_order(
        self, each: messages.DesiredEngine, desired: placement.DesiredState
    ) -> None:
        # Sent at each visit, also when the engine has accepted it before:
        # an engine that ignores fencing may since have accepted a delayed
        # order of an earlier holder, which this order replaces.
        held = self._held_now()
        if held is None:
            return
        failure = engine_orders.send_order(
            each.address, desired, held.fencing_number
        )
        if failure is None:
            self._accepted[each.endpoint] = desired
            self._count.add('fleet.engine_orders')
        elif failure.reason is outcome.Reason.SUPERSEDED:
            self._count.add('fleet.engine_orders_superseded')
        else:
            self._count.add('fleet.engine_orders_failed')
