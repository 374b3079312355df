"""Compares the fleet planner's decisions with those of simple baselines.

``python -m bench.fleet`` runs each policy on the same traces. A VM is a
name, an offer and the time from which it serves; there are no requests
and no network. The figures compare decisions and don't predict how a
cluster behaves. Then it measures the planner's CPU time at three sizes.
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import math
import random
import statistics
import time
import typing

from bench import fleet_policies
from bench import fleet_traces
from guavachute.decide.fleet import demand
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.fleet import market
from guavachute.decide.fleet import placement
from guavachute.decide.fleet import replacement_wave
from guavachute.document import schema
from guavachute import ids

SEEDS = (1, 2, 3, 4, 5)
TOKENS_IN_FLIGHT_PER_VM = 20_000
WORKERS = 5
SIZES = (13, 280, 2800)
ROUNDS = 15
DOMAINS = 8
MODELS = 6
WORKSPACES = 5


@dataclasses.dataclass(slots=True)
class Score:
    """Totals of one run.

    The first four leave out the first hour, the others don't.

    :ivar in_target: steps in which the serving VMs carried the load
    :ivar survives: steps in which they would have carried it without the
        largest failure domain
    :ivar starts: VMs that were started
    :ivar ended: VMs that the policy ended
    """

    cost_cents: float = 0.0
    steps: int = 0
    in_target: int = 0
    survives: int = 0
    recomputed_tokens: float = 0.0
    starts: int = 0
    ended: int = 0


class Run:
    """The simulation of one policy on one trace."""

    def __init__(
        self, policy: fleet_policies.Policy, trace: fleet_traces.Trace
    ) -> None:
        self._policy = policy
        self._trace = trace
        self._random = random.Random(trace.seed)
        self._vms: list[fleet_policies.Vm] = []
        self._closed_until_s: dict[str, float] = {}
        self._number = 0
        self.score = Score()

    def finish(self) -> Score:
        """Simulate the complete trace and return the score."""
        for step in range(fleet_traces.STEPS):
            self._step(step)
        return self.score

    def _step(self, step: int) -> None:
        now_s = step * fleet_traces.STEP_S
        prices = {key: each[step] for key, each in self._trace.prices.items()}
        load = self._trace.loads_tokens_per_s[step]
        self._reclaim(step, load, now_s)
        self._policy.observe(load, prices, now_s)
        orders = self._policy.decide(list(self._vms), now_s)
        for key in orders.starts:
            self._start(key, now_s)
        gone = set(orders.ends)
        self._vms = [vm for vm in self._vms if vm.name not in gone]
        self.score.ended += len(gone)
        # In the first hour the empty fleet is filled, which would distort
        # the score.
        if now_s >= 3600:
            self._update_score(load, prices, now_s)

    def _reclaim(self, step: int, load: float, now_s: float) -> None:
        wave = self._trace.wave_domains[step]
        site = self._trace.site
        serving = [vm for vm in self._vms if vm.ready_s <= now_s]
        for domain, rate in zip(
            site.domains, site.reclaims_per_vm_hour, strict=True
        ):
            reclaimable = [
                vm
                for vm in self._vms
                if vm.key.failure_domain == domain
                and vm.key.market is market.Market.RECLAIMABLE
            ]
            chance = rate * fleet_traces.STEP_S / 3600
            lost = {
                vm.name
                for vm in reclaimable
                if domain == wave or self._random.random() < chance
            }
            if domain == wave:
                end_s = now_s + fleet_traces.WAVE_REFUSAL_S
                self._closed_until_s[domain] = end_s
            if not lost:
                continue
            for key in {vm.key for vm in reclaimable}:
                names = {vm.name for vm in reclaimable if vm.key == key}
                gone = len(names & lost)
                if gone:
                    self._policy.record_reclaims(key, gone, len(names), now_s)
            busy = sum(vm.name in lost for vm in serving)
            capacity = len(serving) * fleet_traces.TOKENS_PER_S
            used = min(1.0, load / capacity) if capacity else 0.0
            self.score.recomputed_tokens += (
                busy * used * TOKENS_IN_FLIGHT_PER_VM
            )
            self._vms = [vm for vm in self._vms if vm.name not in lost]

    def _start(self, key: market.OfferKey, now_s: float) -> None:
        closed_s = self._closed_until_s.get(key.failure_domain, 0)
        if key.market is market.Market.RECLAIMABLE and now_s < closed_s:
            self._policy.record_refusal(key, now_s)
            return
        self._policy.record_start(key, now_s)
        self._number += 1
        self.score.starts += 1
        took_s = fleet_traces.START_UP_S * self._random.uniform(0.8, 1.3)
        self._vms.append(
            fleet_policies.Vm(
                f'vm-{self._number:06}', key, now_s, now_s + took_s
            )
        )

    def _update_score(
        self,
        load: float,
        prices: dict[market.OfferKey, float],
        now_s: float,
    ) -> None:
        score = self.score
        hours = fleet_traces.STEP_S / 3600
        score.cost_cents += sum(prices[vm.key] for vm in self._vms) * hours
        by_domain = collections.Counter(
            vm.key.failure_domain for vm in self._vms if vm.ready_s <= now_s
        )
        total = sum(by_domain.values())
        left = total - max(by_domain.values(), default=0)
        score.steps += 1
        score.in_target += total * fleet_traces.TOKENS_PER_S >= load
        score.survives += left * fleet_traces.TOKENS_PER_S >= load


def compare(
    seeds: typing.Iterable[int], workers: concurrent.futures.Executor
) -> typing.Iterator[str]:
    """Yield the lines of a table for each site, with means over seeds."""
    numbers = tuple(seeds)
    for site in fleet_traces.SITES:
        traces = [fleet_traces.make(site, seed) for seed in numbers]
        yield (
            f'{site.name}: {fleet_traces.HOURS} h, seeds {numbers}, a '
            f'recomputed token costs {site.recomputed_token_cost_cents} cents'
        )
        yield (
            f'{"policy":<24}{"cents/h":>9}{"with tokens":>13}'
            f'{"in target":>11}{"worst":>8}{"survives":>10}'
            f'{"recomputed/h":>14}{"starts/h":>10}{"ended/h":>9}'
        )
        for kind in fleet_policies.POLICIES:
            jobs = [(kind, trace) for trace in traces]
            scores = list(workers.map(_score, jobs))
            yield _row(kind.name, scores, site)
        yield ''


def _score(
    job: tuple[type[fleet_policies.Policy], fleet_traces.Trace],
) -> Score:
    kind, trace = job
    return Run(kind(trace.site), trace).finish()


def _row(name: str, scores: list[Score], site: fleet_traces.Site) -> str:
    hours = [each.steps * fleet_traces.STEP_S / 3600 for each in scores]

    def mean(values: list[float]) -> float:
        return statistics.mean(
            value / each for value, each in zip(values, hours, strict=True)
        )

    cost = mean([each.cost_cents for each in scores])
    tokens = mean([each.recomputed_tokens for each in scores])
    total_cost = cost + tokens * site.recomputed_token_cost_cents
    in_target = [each.in_target / each.steps for each in scores]
    survives = statistics.mean(e.survives / e.steps for e in scores)
    return (
        f'{name:<24}{cost:>9.1f}{total_cost:>13.1f}'
        f'{statistics.mean(in_target):>11.3%}{min(in_target):>8.2%}'
        f'{survives:>10.2%}{tokens:>14.0f}'
        f'{mean([float(each.starts) for each in scores]):>10.2f}'
        f'{mean([float(each.ended) for each in scores]):>9.2f}'
    )


def large_pool(engines: int, lost_domain: int) -> fleet_plan.PoolState:
    """Return the state of a pool that just lost one failure domain.

    :param engines: size before the loss
    """
    source = random.Random(engines)
    models = {
        ids.ModelName(f'model-{number}'): schema.Model(
            pool='pool', minimum_endpoints=1
        )
        for number in range(MODELS)
    }
    per_endpoint = fleet_traces.TOKENS_PER_S
    load = engines * (1 - 1 / DOMAINS) * per_endpoint * 0.98
    forecasts = {
        name: demand.Forecast(at_s=0.0, recent=((0.0, load / MODELS),))
        for name in models
    }
    names = sorted(models)
    vms = []
    for number in range(engines):
        domain = number % DOMAINS
        if domain == lost_domain:
            continue
        endpoint = ids.EndpointId(f'vm-{number:05}')
        where = ids.FailureDomain(f'domain-{domain}')
        key = market.OfferKey(where, 'class-0', market.Market.RECLAIMABLE)
        model = names[source.randrange(MODELS)]
        engine = placement.Engine(endpoint, where, model, '1')
        vms.append(
            fleet_plan.FleetVm(endpoint, key, fleet_plan.Phase.SERVING, engine)
        )
    loads = tuple(
        replacement_wave.WorkspaceLoad(
            ids.WorkspaceName(f'workspace-{number}'),
            number + 1.0,
            load / WORKSPACES,
        )
        for number in range(WORKSPACES)
    )
    config = schema.Pool(
        kind=schema.PoolKind.MODEL,
        machine_classes=['class-0', 'class-1'],
        maximum_endpoints=10_000,
    )
    return fleet_plan.PoolState(
        ids.PoolName('pool'), config, models, forecasts, loads, tuple(vms)
    )


def large_market() -> fleet_plan.MarketState:
    """Return prices of two machine classes in all domains and markets."""
    prices = {}
    for domain in range(DOMAINS):
        for number in range(2):
            for how, price in (
                (market.Market.RECLAIMABLE, 100.0 + domain + 5 * number),
                (market.Market.ON_DEMAND, 300.0 + domain + 5 * number),
            ):
                key = market.OfferKey(
                    ids.FailureDomain(f'domain-{domain}'),
                    f'class-{number}',
                    how,
                )
                prices[key] = price
    return fleet_plan.MarketState(prices, {}, {})


def time_planner() -> typing.Iterator[str]:
    """Measure the planner's CPU time by size, after the loss of a domain.

    Yields the lines of a table and the slope.
    """
    offers = large_market()
    policy = schema.Policy()
    medians = []
    yield f'{"engines":>8}{"median ms":>11}{"p95 ms":>9}{"starts":>8}'
    for size in SIZES:
        view = large_pool(size, lost_domain=0)
        took_s = []
        for _ in range(ROUNDS):
            before_s = time.process_time()
            plan = fleet_plan.plan([view], offers, policy, 64, 1.0)
            took_s.append(time.process_time() - before_s)
        medians.append(statistics.median(took_s))
        p95_s = sorted(took_s)[math.ceil(0.95 * ROUNDS) - 1]
        yield (
            f'{size:>8}{1000 * medians[-1]:>11.2f}{1000 * p95_s:>9.2f}'
            f'{len(plan.starts):>8}'
        )
    slope_us = (medians[-1] - medians[0]) / (SIZES[-1] - SIZES[0]) * 1e6
    exponent = math.log(medians[-1] / medians[1]) / math.log(
        SIZES[-1] / SIZES[1]
    )
    yield (
        f'slope: {slope_us:.1f} us an engine; from {SIZES[1]} to '
        f'{SIZES[-1]} the time grows as engines to the power {exponent:.2f}'
    )


def main() -> None:
    """Print the tables of both parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=SEEDS)
    arguments = parser.parse_args()
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as workers:
        for line in compare(arguments.seeds, workers):
            print(line, flush=True)
    for line in time_planner():
        print(line, flush=True)


if __name__ == '__main__':
    main()
