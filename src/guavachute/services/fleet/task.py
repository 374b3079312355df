"""The task that runs the fleet duty on one node.

Every node runs the task; only the holder of the lease plans. In each
round the holder compares the log with the cloud's list of VMs, orders
the purchases that are open in the log, and appends the records of the
next plan. A purchase is ordered only in a later round, after its intent
was read back from the log as accepted, so the process may die between
any two steps without losing or repeating a purchase.
"""

import dataclasses
import random
import time
import typing

from guavachute.clients import cloud_client
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import fleet_state
from guavachute.decide.fleet import purchases
from guavachute.decide.requests import allowances
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute import outcome
from guavachute.services.fleet import cloud_state
from guavachute.services.fleet import drains
from guavachute.services.fleet import input_collector
from guavachute.services.fleet import intents
from guavachute.services.fleet import messages
from guavachute.services.fleet import placer
from guavachute.services.fleet import purchasing
from guavachute.services.fleet import reclaims
from guavachute.services.fleet import rollouts
from guavachute.services import log_writer
from guavachute.wire import records

ROUND_S = 2.0
APPEND_TIMEOUT_S = 10.0
BUSY_WINDOW_S = 15.0
"""How long the VMs are listed in every round after records were appended."""
PLAN_EVERY_S = 10.0
IDLE_LIST_S = 60.0
OUTAGE_LIST_S = 10.0


def lease_name(environment: ids.EnvironmentName) -> str:
    """Return the name of the lease of an environment's fleet duty."""
    return f'fleet/{environment}'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSettings:
    """The settings of a node's fleet task.

    :ivar environment: whose VMs are bought, according to its document
    :ivar node: this node, whose allowance may be spent
    :ivar store_bytes_per_s: the total throughput of the weight store
    :ivar round_s: the time from the end of a round to the next start
    """

    environment: ids.EnvironmentName
    node: ids.NodeId
    store_bytes_per_s: float = 1e9
    round_s: float = ROUND_S


class Fleet(task.Task):
    """The task that plans the fleet and reconciles log and cloud.

    :param client: reads lists and prices; orders go through *workers*
    :param append: queues records for the control stream
    :param held_now: returns the lease if it is safely held at this
        moment
    :param workers: mailboxes of the tasks that send orders to the cloud
    :param engine_orders: mailbox of the task that orders engines
    :param now: the monotonic clock of all decisions, in seconds
    """

    def __init__(
        self,
        settings: FleetSettings,
        client: cloud_client.CloudClient,
        append: messages.QueueAppend,
        held_now: messages.HeldNow,
        workers: typing.Sequence[mailbox.Mailbox],
        engine_orders: mailbox.Mailbox,
        count: counters.Counters,
        jitter: random.Random,
        now: typing.Callable[[], float] = clock.now_s,
        name: str = 'fleet',
    ) -> None:
        super().__init__(name)
        self._settings = settings
        self._cloud = cloud_state.CloudState(client, count)
        self._append = append
        self._held_now = held_now
        self._engine_orders = engine_orders
        self._count = count
        self._now = now
        self._inputs = input_collector.InputCollector(
            settings.environment, now()
        )
        self._purchasing = purchasing.Purchasing(
            settings.environment, workers, self.mailbox, count, jitter
        )
        self._placer = placer.Placer(settings.store_bytes_per_s)
        self._drains = drains.Drains(settings.environment)
        self._rollouts = rollouts.Rollouts(settings.environment)
        self._planned_at_s = float('-inf')
        self._busy_until_s = float('-inf')
        self._reclaims = reclaims.Reclaims()
        self._grants = intents.AllowanceGrants(settings.environment)
        self._lost_since_s: dict[str, float] = {}

    def run(self) -> None:
        """Handle messages and run a round every ``round_s`` until stopped."""
        next_round_s = time.monotonic()
        while not self.stopping.is_set():
            wait_s = next_round_s - time.monotonic()
            message = self.mailbox.receive(max(0.0, wait_s))
            if message is not None:
                self._handle_message(message, self._now())
            if time.monotonic() >= next_round_s:
                self._run_round(self._now())
                next_round_s = time.monotonic() + self._settings.round_s
        self._cloud.close()

    def _handle_message(self, message: mailbox.Message, now_s: float) -> None:
        match message:
            case log_writer.AppendEnded():
                self._handle_append_ended(message)
            case messages.StartDone():
                self._inputs.start_ups.record_order(message, now_s)
                self._append_records(
                    self._purchasing.handle_start_done(message, now_s), now_s
                )
            case messages.EndDone():
                self._purchasing.handle_end_done(message, now_s)
            case messages.VersionHealth():
                self._rollouts.record_health(message)
            case _:
                self._inputs.handle_message(message, now_s)

    def _run_round(self, now_s: float) -> None:
        state = self._inputs.state
        if state is None:
            return
        self._count.add('fleet.rounds')
        if now_s - self._inputs.log_contact_s >= allowances.LOG_DOWN_S:
            self._order_from_allowance(state, now_s)
        elif self._held_now() is None:
            self._cloud.discard_list()
        else:
            self._lost_since_s.clear()
            self._run_holder_round(state, now_s)

    def _run_holder_round(
        self, state: records.ControlState, now_s: float
    ) -> None:
        busy = now_s < self._busy_until_s or self._purchasing.is_busy(state)
        # The list is read after the state, so a VM that the state owns
        # and the list lacks is really gone.
        new_list = self._cloud.read_list_if_due(
            now_s, 0 if busy else IDLE_LIST_S
        )
        if new_list is not None:
            self._reconcile(state, new_list, now_s)
        elif now_s - self._planned_at_s < PLAN_EVERY_S:
            return
        listed = self._cloud.listed
        if listed is None:
            return
        awaited = self._purchasing.awaited_intents(state, now_s)
        inputs = self._inputs.plan_inputs(listed, awaited)
        if inputs is not None:
            self._planned_at_s = now_s
            self._cloud.refresh_prices(now_s)
            self._append_records(self._plan(inputs, now_s), now_s)

    def _reconcile(
        self,
        state: records.ControlState,
        listed: typing.Sequence[purchases.ListedVm],
        now_s: float,
    ) -> None:
        lost = allowances.lost_names(state, self._settings.environment, listed)
        self._reclaims.record(state, lost, now_s)
        new_records = self._purchasing.reconcile(state, listed, now_s)
        new_records += self._drains.close_drained(
            state, self._inputs.reports, now_s
        )
        self._append_records(new_records, now_s)

    def _plan(
        self, inputs: fleet_state.FleetInputs, now_s: float
    ) -> list[records.Record]:
        held = self._held_now()
        if held is None:
            return []
        offers = fleet_plan.MarketState(
            self._cloud.prices,
            self._reclaims.observed,
            self._purchasing.offer_windows,
        )
        pools = fleet_state.pool_states(inputs, now_s)
        plan = fleet_plan.plan(
            pools,
            offers,
            inputs.document.policy,
            self._purchasing.free_slots(now_s),
            now_s,
        )
        self._engine_orders.send(
            self._placer.desired_engines(inputs, plan, self.mailbox, now_s)
        )
        new_intents = intents.intents_of_plan(plan, inputs.environment, held)
        self._purchasing.record_written(new_intents, now_s)
        return [
            *new_intents,
            *self._drains.begin_drains(plan, inputs.state, held, now_s),
            *self._drains.drain_stuck(pools, inputs.state, held, now_s),
            *self._rollouts.changes(inputs, held, now_s),
            *self._grants.due_allowances(
                plan, inputs.state, self._inputs.nodes, held, now_s
            ),
        ]

    def _order_from_allowance(
        self,
        state: records.ControlState,
        now_s: float,
    ) -> None:
        listed = self._cloud.read_list_if_due(now_s, OUTAGE_LIST_S)
        if listed is None:
            return
        environment = self._settings.environment
        lost = allowances.lost_names(state, environment, listed)
        self._lost_since_s = {
            name: self._lost_since_s.get(name, now_s) for name in lost
        }
        node = self._settings.node
        names = allowances.names_to_order(
            state, environment, node, listed, self._lost_since_s, now_s
        )
        if names:
            allowance = state.allowances[node]
            self._purchasing.order_from_allowance(allowance, names, now_s)

    def _append_records(
        self, new_records: typing.Sequence[records.Record], now_s: float
    ) -> None:
        if new_records:
            self._busy_until_s = now_s + BUSY_WINDOW_S
        deadline_s = time.monotonic() + APPEND_TIMEOUT_S
        for record in new_records:
            self._append(
                log_writer.Append(
                    records.CONTROL_STREAM,
                    record.record_id,
                    record,
                    deadline_s,
                    self.mailbox,
                )
            )

    def _handle_append_ended(self, ended: log_writer.AppendEnded) -> None:
        """Discard the intent of an append that certainly had no effect.

        Records that did take effect are read back from the log; the
        others are created again in a later round.
        """
        if not isinstance(ended.result, outcome.Failure):
            return
        self._count.add('fleet.append_failed')
        if ended.result.reason is not outcome.Reason.LOST_ANSWER:
            self._purchasing.discard_unwritten(ended.record_id)
