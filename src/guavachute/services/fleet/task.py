"""The fleet duty of one node: looks, plans, writes, orders.

Every node runs it; only the holder of the lease plans. Each round the
holder compares the log with the cloud's list, orders what the log says
is open, and writes down what the plan wants next. What it writes is
ordered in a later round, after it was read back as accepted, so that the
process may die between any two steps.
"""

import dataclasses
import random
import time
import typing

from guavachute.clients import cloud_client
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import fleet_view
from guavachute.decide.fleet import purchases
from guavachute.decide.requests import allowances
from guavachute import ids
from guavachute.kernel import clock
from guavachute.kernel import mailbox
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute import outcome
from guavachute.services.fleet import cloud_view
from guavachute.services.fleet import drains
from guavachute.services.fleet import intents
from guavachute.services.fleet import messages
from guavachute.services.fleet import picture
from guavachute.services.fleet import placer
from guavachute.services.fleet import purchasing
from guavachute.services.fleet import reclaims
from guavachute.services.fleet import rollouts
from guavachute.services import log_writer
from guavachute.wire import records

ROUND_S = 2.0
APPEND_TIMEOUT_S = 10.0
BUSY_S = 15.0
"""How long the cloud is looked at each round after something changed."""
PLAN_EVERY_S = 10.0
IDLE_LIST_S = 60.0
OUTAGE_LIST_S = 10.0


def lease_name(environment: ids.EnvironmentName) -> str:
    """The lease under which an environment's VMs are bought."""
    return f'fleet/{environment}'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSettings:
    """What a node's fleet task is told.

    :ivar environment: whose document it carries out
    """

    environment: ids.EnvironmentName
    node: ids.NodeId
    store_bytes_per_s: float = 1e9
    round_s: float = ROUND_S


class Fleet(task.Task):
    """Plans and reconciles; see the module.

    :param client: for lists and prices; orders go through *workers*
    :param append: queues what is to be written to the control stream
    :param held_now: the lease, if it is safely held at this moment
    :param engine_orders: mailbox of the task that orders engines
    :param now: the clock of all decisions; monotonic
    """

    def __init__(
        self,
        settings: FleetSettings,
        client: cloud_client.CloudClient,
        append: messages.Append,
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
        self._cloud = cloud_view.CloudView(client, count)
        self._append = append
        self._held_now = held_now
        self._engine_orders = engine_orders
        self._count = count
        self._now = now
        self._picture = picture.Picture(settings.environment, now())
        self._buying = purchasing.Purchasing(
            settings.environment, workers, self.mailbox, count, jitter
        )
        self._placer = placer.Placer(settings.store_bytes_per_s)
        self._drains = drains.Drains(settings.environment)
        self._rollouts = rollouts.Rollouts(settings.environment)
        self._planned_at_s = float('-inf')
        self._busy_until_s = float('-inf')
        self._reclaims = reclaims.Reclaims()
        self._grants = intents.Grants(settings.environment)
        self._lost_since_s: dict[str, float] = {}

    def run(self) -> None:
        """Hold rounds until stopped."""
        next_round_s = time.monotonic()
        while not self.stopping.is_set():
            wait_s = next_round_s - time.monotonic()
            message = self.mailbox.receive(max(0.0, wait_s))
            if message is not None:
                self._take(message, self._now())
            if time.monotonic() >= next_round_s:
                self._round(self._now())
                next_round_s = time.monotonic() + self._settings.round_s
        self._cloud.close()

    def _take(self, message: mailbox.Message, now_s: float) -> None:
        match message:
            case log_writer.AppendEnded():
                self._append_ended(message)
            case messages.StartDone():
                self._picture.start_ups.ordered(message, now_s)
                self._write(self._buying.start_done(message, now_s), now_s)
            case messages.EndDone():
                self._buying.end_done(message, now_s)
            case messages.VersionHealth():
                self._rollouts.take_health(message)
            case _:
                self._picture.take(message, now_s)

    # A round

    def _round(self, now_s: float) -> None:
        state = self._picture.state
        if state is None:
            return
        self._count.add('fleet.rounds')
        if now_s - self._picture.log_heard_s >= allowances.LOG_DOWN_S:
            self._spend_allowance(state, now_s)
        elif self._held_now() is None:
            self._cloud.forget_list()
        else:
            self._lost_since_s.clear()
            self._act(state, now_s)

    def _act(self, state: records.ControlState, now_s: float) -> None:
        busy = now_s < self._busy_until_s or self._buying.is_busy(state)
        # The state is older than the list, so that a VM which the state
        # owns and the list lacks is really gone.
        fresh = self._cloud.fresh_list(now_s, 0 if busy else IDLE_LIST_S)
        if fresh is not None:
            self._reconcile(state, fresh, now_s)
        elif now_s - self._planned_at_s < PLAN_EVERY_S:
            return
        listed = self._cloud.listed
        if listed is None:
            return
        awaited = self._buying.awaited(state, now_s)
        known = self._picture.known(listed, awaited)
        if known is not None:
            self._planned_at_s = now_s
            self._cloud.refresh_prices(now_s)
            self._write(self._plan(known, now_s), now_s)

    def _reconcile(
        self,
        state: records.ControlState,
        listed: typing.Sequence[purchases.ListedVm],
        now_s: float,
    ) -> None:
        lost = allowances.lost_names(state, self._settings.environment, listed)
        self._reclaims.look(state, lost, now_s)
        written = self._buying.reconcile(state, listed, now_s)
        written += self._drains.ended(state, self._picture.reports, now_s)
        self._write(written, now_s)

    def _plan(
        self, known: fleet_view.Known, now_s: float
    ) -> list[records.Record]:
        held = self._held_now()
        if held is None:
            return []
        offers = fleet_plan.MarketView(
            self._cloud.prices, self._reclaims.observed, self._buying.paces
        )
        views = fleet_view.build(known, now_s)
        plan = fleet_plan.plan(
            views,
            offers,
            known.document.policy,
            self._buying.room(now_s),
            now_s,
        )
        self._engine_orders.send(
            self._placer.wishes(known, plan, self.mailbox, now_s)
        )
        bought = intents.of_plan(plan, known.environment, held)
        self._buying.wrote(bought, now_s)
        return [
            *bought,
            *self._drains.begun(plan, known.state, held, now_s),
            *self._drains.stuck(views, known.state, held, now_s),
            *self._rollouts.changes(known, held, now_s),
            *self._grants.due(
                plan, known.state, self._picture.nodes, held, now_s
            ),
        ]

    def _spend_allowance(
        self,
        state: records.ControlState,
        now_s: float,
    ) -> None:
        listed = self._cloud.fresh_list(now_s, OUTAGE_LIST_S)
        if listed is None:
            return
        environment = self._settings.environment
        lost = allowances.lost_names(state, environment, listed)
        self._lost_since_s = {
            name: self._lost_since_s.get(name, now_s) for name in lost
        }
        node = self._settings.node
        names = allowances.to_order(
            state, environment, node, listed, self._lost_since_s, now_s
        )
        if names:
            allowance = state.allowances[node]
            self._buying.order_allowed(allowance, names, now_s)

    def _write(
        self, written: typing.Sequence[records.Record], now_s: float
    ) -> None:
        if written:
            self._busy_until_s = now_s + BUSY_S
        deadline_s = time.monotonic() + APPEND_TIMEOUT_S
        for record in written:
            self._append(
                log_writer.Append(
                    records.CONTROL_STREAM,
                    record.record_id,
                    record,
                    deadline_s,
                    self.mailbox,
                )
            )

    def _append_ended(self, ended: log_writer.AppendEnded) -> None:
        """What took effect is read back; the rest is due again."""
        if not isinstance(ended.result, outcome.Failure):
            return
        self._count.add('fleet.append_failed')
        if ended.result.reason is not outcome.Reason.LOST_ANSWER:
            self._buying.not_written(ended.record_id)
