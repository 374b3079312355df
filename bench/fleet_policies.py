"""The planner and the baselines that ``bench.fleet`` compares."""

import abc
import collections
import dataclasses
import math
import random

from bench import fleet_traces
from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import market
from guavachute.decide.fleet import reclaim_rate
from guavachute.decide.requests import congestion_window
from guavachute.document import schema
from guavachute import ids

POOL = ids.PoolName('pool')
MODEL = ids.ModelName('model')
FREE_SLOTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM of a run.

    :ivar ready_s: when it starts to serve
    """

    name: str
    key: market.OfferKey
    ordered_s: float
    ready_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """The starts and ends of VMs that a policy orders in one step.

    :ivar starts: an offer for each VM to start
    :ivar ends: names of the VMs to end
    """

    starts: list[market.OfferKey]
    ends: list[str]


class Policy(abc.ABC):
    """A policy that orders starts and ends of VMs at each step.

    All policies get the same forecast and the same measured start-up
    time, so that only the choice of VMs differs.
    """

    name = ''

    def __init__(self, site: fleet_traces.Site) -> None:
        self.site = site
        self.start_up = demand.StartUp(
            fleet_traces.START_UP_S, fleet_traces.START_UP_S / 10, 10
        )
        self.forecast = demand.Forecast()
        self.prices: dict[market.OfferKey, float] = {}

    def observe(
        self,
        load_tokens_per_s: float,
        prices: dict[market.OfferKey, float],
        now_s: float,
    ) -> None:
        """Update the forecast and the prices for this step."""
        self.prices = prices
        self.forecast = demand.observe(
            self.forecast, load_tokens_per_s, self.start_up, now_s
        )

    def needed_engines(self) -> int:
        """Return the number of VMs that carry the committed load."""
        load = demand.committed_tokens_per_s(self.forecast)
        return math.ceil(load / fleet_traces.TOKENS_PER_S)

    @abc.abstractmethod
    def decide(self, vms: list[Vm], now_s: float) -> Orders:
        """Return the orders for this step."""

    def record_start(self, key: market.OfferKey, now_s: float) -> None:
        """Record a start that the cloud accepted."""

    def record_refusal(self, key: market.OfferKey, now_s: float) -> None:
        """Record a start that the cloud refused."""

    def record_reclaims(
        self, key: market.OfferKey, lost: int, running: int, now_s: float
    ) -> None:
        """Record that *lost* of *running* VMs of an offer were reclaimed."""


class EvenSpread(Policy):
    """Runs the same number in each domain, so that one can be lost."""

    name = 'even spread'
    used_market = market.Market.RECLAIMABLE

    def decide(self, vms: list[Vm], now_s: float) -> Orders:
        """Fill each domain up to its share, at its lowest price."""
        domains = self.site.domains
        each = math.ceil(self.needed_engines() / (len(domains) - 1))
        starts = []
        ends = []
        for domain in domains:
            keys = [
                fleet_traces.offer(domain, self.used_market, kind)
                for kind in fleet_traces.MACHINE_CLASSES
            ]
            cheapest = min(keys, key=lambda key: self.prices[key])
            in_domain = sorted(
                (vm for vm in vms if vm.key in keys),
                key=lambda vm: self.prices[vm.key],
            )
            starts += [cheapest] * (each - len(in_domain))
            ends += [vm.name for vm in in_domain[each:]]
        return Orders(starts, ends)


class AllOnDemand(EvenSpread):
    """An even spread of on-demand VMs."""

    name = 'all on-demand'
    used_market = market.Market.ON_DEMAND


class CheapestFirst(Policy):
    """Buys the cheapest reclaimable VMs, 25% more than the load needs."""

    name = 'cheapest reclaimable'

    def __init__(self, site: fleet_traces.Site) -> None:
        super().__init__(site)
        self._refused_s: dict[market.OfferKey, float] = {}

    def decide(self, vms: list[Vm], now_s: float) -> Orders:
        """Start VMs at the lowest price, end those at the highest."""
        desired = math.ceil(1.25 * self.needed_engines())
        offers = sorted(
            (price, key)
            for key, price in self.prices.items()
            if key.market is market.Market.RECLAIMABLE
            and now_s > self._refused_s.get(key, -math.inf)
        )
        missing = desired - len(vms)
        starts = [offers[0][1]] * missing if offers else []
        dearest = sorted(vms, key=lambda vm: -self.prices[vm.key])
        return Orders(starts, [vm.name for vm in dearest[: max(0, -missing)]])

    def record_refusal(self, key: market.OfferKey, now_s: float) -> None:
        """Skip the offer for five minutes."""
        self._refused_s[key] = now_s + 300


class Planner(Policy):
    """The planner of ``guavachute.decide.fleet``."""

    name = 'planner'
    keep_margin = market.KEEP_MARGIN

    def __init__(self, site: fleet_traces.Site) -> None:
        super().__init__(site)
        self._random = random.Random(site.name)
        self._paces: dict[
            market.OfferKey, congestion_window.CongestionWindow
        ] = {}
        self._observed: dict[market.OfferKey, reclaim_rate.Observed] = {}
        self._policy = schema.Policy(
            recomputed_token_cost_cents=site.recomputed_token_cost_cents,
            keep_margin=self.keep_margin,
        )
        self._config = schema.Pool(
            kind=schema.PoolKind.MODEL,
            machine_classes=list(fleet_traces.MACHINE_CLASSES),
            tokens_per_s_per_endpoint=fleet_traces.TOKENS_PER_S,
        )

    def decide(self, vms: list[Vm], now_s: float) -> Orders:
        """Return the orders of the planner's plan."""
        counts = collections.Counter(vm.key for vm in vms)
        for key in self.prices:
            self._observed[key] = reclaim_rate.advance(
                self._observed.get(key, reclaim_rate.Observed(at_s=now_s)),
                counts[key],
                now_s,
            )
        phases = fleet_plan.Phase
        view = fleet_plan.PoolState(
            POOL,
            self._config,
            {MODEL: schema.Model(pool=POOL)},
            {MODEL: self.forecast},
            (),
            tuple(
                fleet_plan.FleetVm(
                    vm.name,
                    vm.key,
                    phases.SERVING if vm.ready_s <= now_s else phases.STARTING,
                )
                for vm in vms
            ),
            self.start_up,
        )
        offers = fleet_plan.MarketState(
            self.prices, self._observed, self._paces
        )
        plan = fleet_plan.plan([view], offers, self._policy, FREE_SLOTS, now_s)
        return Orders(
            [start.offer for start in plan.starts],
            [end.name for each in plan.decisions for end in each.ends],
        )

    def record_start(self, key: market.OfferKey, now_s: float) -> None:
        """Raise the pace of starts of the offer."""
        self._paces[key] = congestion_window.after_success(
            self._paces.get(key, congestion_window.CongestionWindow())
        )

    def record_refusal(self, key: market.OfferKey, now_s: float) -> None:
        """Lower the pace of starts of the offer, with back-off."""
        self._paces[key] = congestion_window.after_overload(
            self._paces.get(key, congestion_window.CongestionWindow()),
            None,
            self._random.random(),
            now_s,
        )

    def record_reclaims(
        self, key: market.OfferKey, lost: int, running: int, now_s: float
    ) -> None:
        """Add the reclaims to the observed rate of the offer."""
        seen = self._observed.get(key, reclaim_rate.Observed(at_s=now_s))
        self._observed[key] = reclaim_rate.record_reclaims(
            seen, lost, running, now_s
        )


class NoHysteresis(Planner):
    """The planner without a margin for keeping VMs when prices change."""

    name = 'planner, no hysteresis'
    keep_margin = 0.0


POLICIES: tuple[type[Policy], ...] = (
    Planner,
    NoHysteresis,
    AllOnDemand,
    CheapestFirst,
    EvenSpread,
)
