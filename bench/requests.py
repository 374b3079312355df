"""Compares the routers with simple balancers under load and faults.

The site has nine routers with their nodes, ten engines in three failure
domains and two regions, and five workspaces. Each scenario runs against
each policy on processes of its own, with the same load script. Prints a
table and a line for each target, met or missed.

A baseline has three balancers instead of nine, so that each sees more of
the load than it would with nine; the callers are the same.
"""

import argparse
import collections
import dataclasses
import pathlib
import subprocess
import sys
import threading
import time
import typing

import msgspec

from bench import counter_sums
from bench import load
from bench import request_load
from bench import request_scenarios
from bench import request_site

WARM_UP_S = 2.0
SAMPLE_INTERVAL_S = 0.5
FIRST_TOKEN_TARGET_S = 0.41
GAP_TARGET_MS = 51.0
SHARE_TOLERANCE = 0.15
MAX_LOST_ENDPOINTS = 2
COUNTER_PREFIX = 'guavachute.router.'


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The figures of one run of a scenario.

    :ivar figures: by label
    :ivar counters: the routers' counters, summed
    :ivar lost_endpoints: engines that ended during the run
    :ivar offered_tokens: tokens requested by label, over a period as long
        as the measured one but earlier by about the time that an answer
        takes
    """

    scenario: request_scenarios.Scenario
    policy: request_site.Policy
    figures: dict[str, load.Figures]
    counters: collections.Counter[str]
    work: request_site.Work
    lost_endpoints: int
    offered_tokens: dict[str, int]

    @property
    def total(self) -> load.Figures:
        """The figures of all labels together."""
        total = load.Figures()
        for figures in self.figures.values():
            total.add(figures)
        return total

    @property
    def refused(self) -> int:
        """Number of complete answers with another status than 200."""
        return self.total.results['refused']

    @property
    def bad(self) -> int:
        """Number of answers that were cut, wrong or cancelled by callers.

        Error answers of the site without the outcome ``not-run`` count as
        well. Labels of ``expected_bad`` count only with a wrong text.
        """
        bad = 0
        for label, figures in self.figures.items():
            bad += figures.results['wrong-text']
            if label not in self.scenario.expected_bad:
                bad += figures.results['cut']
                bad += figures.results[request_load.LATE]
                bad += self._unexpected_errors(figures)
        return bad

    def _unexpected_errors(self, figures: load.Figures) -> int:
        """Return the error answers without the outcome ``not-run``.

        Baselines send no outcomes, so that theirs are not counted.
        """
        if self.policy is not request_site.Policy.OURS:
            return 0
        refused = figures.results['refused']
        return max(0, refused - figures.outcomes['not-run'])

    def count(self, name: str) -> int:
        """Return a counter of the routers by its name, summed."""
        return self.counters[COUNTER_PREFIX + name]

    def shares(self) -> dict[str, tuple[float, float]]:
        """Return tokens/s reached and tokens/s due, by workspace."""
        measured_s = self.scenario.duration_s - WARM_UP_S
        reached = {
            name: self.figures[name].tokens / measured_s
            if name in self.figures
            else 0.0
            for name in request_site.SHARES
        }
        offered = {
            name: self.offered_tokens.get(name, 0) / measured_s
            for name in reached
        }
        due = shares_due(offered, sum(reached.values()))
        return {name: (reached[name], due[name]) for name in reached}

    def lowest_share(self) -> float:
        """Return the lowest ratio of reached to due of all workspaces."""
        return min(
            (reached / due for reached, due in self.shares().values() if due),
            default=0.0,
        )

    def line(self) -> str:
        """Return the figures as a row below ``HEADING``."""
        total = self.total
        requests = total.results.total()
        retries = self.count('retries.sent') / max(1, requests)
        return ''.join(
            [
                f'{self.scenario.name:16}{self.policy.value:18}',
                f'{total.first_byte_ms(95):9.0f}{total.gap_ms(95):8.1f}',
                f'{self.work.prefilled_tokens:9}',
                f'{self.work.recomputed_tokens:9}',
                f'{requests:6}{total.results["complete"]:6}',
                f'{self.refused:8}{self.bad:5}{self.lowest_share():8.2f}',
                f'{retries:8.3f}{self.lost_endpoints:6}',
                f'{self.count("region_link.bytes") / 1000:9.0f}',
            ]
        )


HEADING = (
    f'{"scenario":16}{"policy":18}{"1st ms":>9}{"gap ms":>8}{"prefill":>9}'
    f'{"resumed":>9}{"sent":>6}{"done":>6}{"refused":>8}{"bad":>5}'
    f'{"share":>8}{"retries":>8}{"lost":>6}{"link kB":>9}'
)


def shares_due(offered: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the weighted max-min fair shares of *capacity*.

    The weights are those of ``request_site.SHARES``. No share exceeds
    what its workspace has offered.
    """
    due = dict.fromkeys(offered, 0.0)
    unsatisfied = set(offered)
    remaining = capacity
    while unsatisfied and remaining > 0:
        weights = sum(request_site.SHARES[name] for name in unsatisfied)
        unit = remaining / weights
        filled = {
            name
            for name in unsatisfied
            if offered[name] <= unit * request_site.SHARES[name]
        }
        if not filled:
            for name in unsatisfied:
                due[name] = unit * request_site.SHARES[name]
            return due
        for name in filled:
            due[name] = offered[name]
            remaining -= offered[name]
        unsatisfied -= filled
    return due


def run(
    scenario: request_scenarios.Scenario,
    policy: request_site.Policy,
    seed: int,
    traces: pathlib.Path | None = None,
) -> Result:
    """Run *scenario* against *policy*.

    :param traces: folder for the spans of the site's routers
    """
    sums = counter_sums.CounterSums()
    sums.start()
    try:
        with request_site.running(policy, sums, traces) as site:
            script = _build_script(scenario, site.routers, seed)
            figures = _run_load(scenario, site, script)
            site.sample_work()
            lost = site.lost_engines()
    finally:
        counters = sums.stop()
    offered = request_load.offered_tokens(
        script, scenario.duration_s - WARM_UP_S
    )
    return Result(
        scenario, policy, figures, counters, site.total_work(), lost, offered
    )


def _build_script(
    scenario: request_scenarios.Scenario, addresses: list[str], seed: int
) -> request_load.Script:
    return request_load.Script(
        addresses=addresses,
        model=request_site.MODEL,
        seed=seed,
        callers=[
            request_load.Caller(
                workspace=name,
                api_key=request_site.api_key(name),
                requests_per_s=scenario.rate(name),
            )
            for name in request_site.SHARES
        ],
        singles=list(scenario.singles),
        measure_from_s=WARM_UP_S,
        until_s=scenario.duration_s,
        give_up_s=scenario.give_up_s,
    )


def _run_load(
    scenario: request_scenarios.Scenario,
    site: request_site.Site,
    script: request_load.Script,
) -> dict[str, load.Figures]:
    process = subprocess.Popen(
        [sys.executable, '-m', 'bench.request_load'],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    ended = threading.Event()
    acting = threading.Thread(target=_run_steps, args=(scenario, site, ended))
    acting.start()
    output, _ = process.communicate(msgspec.json.encode(script))
    ended.set()
    acting.join()
    reports = msgspec.json.decode(output, type=dict[str, load.Report])
    return {label: report.figures() for label, report in reports.items()}


def _run_steps(
    scenario: request_scenarios.Scenario,
    site: request_site.Site,
    ended: threading.Event,
) -> None:
    """Run the scenario's steps and sample the engines between them."""
    start_s = time.monotonic()
    remaining = collections.deque(scenario.steps)
    while not ended.wait(SAMPLE_INTERVAL_S):
        site.sample_work()
        while remaining and time.monotonic() - start_s >= remaining[0].at_s:
            remaining.popleft().action(site)


def targets(results: list[Result]) -> list[tuple[str, bool]]:
    """Return each target in words, and whether the site's routers met it."""
    lines = []
    for result in results:
        if result.policy is request_site.Policy.OURS:
            name = result.scenario.name
            lines += [
                (f'{name}: {words}', met)
                for words, met in _result_targets(result)
            ]
    return lines


def _result_targets(result: Result) -> typing.Iterator[tuple[str, bool]]:
    first_s = result.total.first_byte_ms(95) / 1000
    yield (
        f'first token p95 within {FIRST_TOKEN_TARGET_S} s: {first_s:.2f} s',
        first_s <= FIRST_TOKEN_TARGET_S,
    )
    gap_ms = result.total.gap_ms(95)
    yield (
        f'gap p95 within {GAP_TARGET_MS:.0f} ms: {gap_ms:.1f} ms',
        gap_ms <= GAP_TARGET_MS,
    )
    yield f'no answer lost, wrong or given up: {result.bad}', result.bad == 0
    if result.scenario.name == 'overload':
        lowest = result.lowest_share()
        yield (
            f'shares within {SHARE_TOLERANCE:.0%} of those due: '
            f'the shortest gets {lowest:.2f} of it',
            lowest >= 1 - SHARE_TOLERANCE,
        )
    if result.scenario.name != 'crashing':
        return
    yield (
        f'at most {MAX_LOST_ENDPOINTS} endpoints lost to one request: '
        f'{result.lost_endpoints}',
        result.lost_endpoints <= MAX_LOST_ENDPOINTS,
    )


def print_details(result: Result) -> None:
    """Print shares and outcomes, for which a row has no columns."""
    shares = ', '.join(
        f'{name} {reached:.0f}/{due:.0f}'
        for name, (reached, due) in result.shares().items()
    )
    print(f'    tokens/s reached/due: {shares}')
    for label, figures in result.figures.items():
        print(
            f'    {label}: {dict(figures.results)}, '
            f'outcomes {dict(figures.outcomes)}, '
            f'dead idle connections {figures.reconnects}'
        )
    sys.stdout.flush()


def main() -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    every = {
        scenario.name: scenario
        for scenario in request_scenarios.all_scenarios()
    }
    parser.add_argument('--scenario', choices=list(every))
    policies = [policy.value for policy in request_site.Policy]
    parser.add_argument('--policy', choices=policies)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--traces', type=pathlib.Path, help="folder for our routers' spans"
    )
    options = parser.parse_args()
    chosen = [every[options.scenario]] if options.scenario else every.values()
    results = []
    print(f'seed {options.seed}; first token and gap p95 in ms')
    print(HEADING, flush=True)
    for scenario in chosen:
        for policy in scenario.policies:
            if options.policy not in (None, policy.value):
                continue
            result = run(scenario, policy, options.seed, options.traces)
            results.append(result)
            print(result.line())
            print_details(result)
    met = True
    for words, reached in targets(results):
        print(f'{"met" if reached else "missed"}: {words}')
        met = met and reached
    return 0 if met else 1


if __name__ == '__main__':
    sys.exit(main())
