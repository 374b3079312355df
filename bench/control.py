"""Latency and cost of the control plane, in processes on loopback.

Prints the figures by the number of nodes with the slope of each, then a
line for each target, met or missed. Up to 18 of the VMs have a router;
the node process of such a VM commits that router's claims.
"""

import argparse
import contextlib
import pathlib
import statistics
import tempfile
import time
import typing

from bench import control_idle
from bench import control_orders
from bench import control_publish
from bench import control_routers
from bench import control_site
from bench import control_table

MAIN_SIZE = 9
SIZES = [3, 9, 18, 30]
ROUTERS = 18
PUBLISHES = 20
SETTLE_S = 3.0
LOAD_S = 3.0
MIB_PER_MB = 1e6 / 2**20
OTHER_RATE = 200
RATES = [50, 200, 400]


class Extent(typing.NamedTuple):
    """How thoroughly a site of one size is measured.

    :ivar rest_s: duration of the measurement of idle nodes with routers
    :ivar report_trials: publications after which a node is polled until it
        knows that all nodes have them in force
    :ivar end_trials: repetitions of each way in which a router ends
    :ivar rates: the loads of the order measurement, in orders/s
    """

    rest_s: float
    report_trials: int
    end_trials: int
    rates: list[int]


MAIN_EXTENT = Extent(20.0, 4, 2, RATES)
OTHER_EXTENT = Extent(8.0, 2, 1, [OTHER_RATE])

IN_FORCE = 'in force on all, p95, s'
REPORTED = 'reported by a node of all, longest, s'
CORE = 'core of a node, %'
BUSIEST = 'core of the busiest node, %'
RESIDENT = 'memory of the largest node, MB'
BYTES = 'bytes/s of a node'
DEAD_ROUTER = 'killed router named, longest, s'
DEAD_VM = 'killed VM named, longest, s'
CUT_OFF = 'leaving router refused too early, s'
APPENDS = f'appends/s at {OTHER_RATE} orders/s'
HIGHEST_APPENDS = 'appends/s, highest'
ORDER_FAULTS = 'orders run twice or told wrongly'

TARGETS = [
    control_table.Target(IN_FORCE, 4.0),
    control_table.Target(REPORTED, 4.0),
    control_table.Target(CORE, 1.2),
    control_table.Target(RESIDENT, 64.0),
    control_table.Target(BYTES, 8000.0),
    control_table.Target(DEAD_ROUTER, 5.0),
    control_table.Target(DEAD_VM, 5.0),
    control_table.Target(CUT_OFF, 0.0),
    control_table.Target(HIGHEST_APPENDS, 300.0),
    control_table.Target(ORDER_FAULTS, 0.0),
]

Figures = typing.Iterator[control_table.Figure]


@contextlib.contextmanager
def running_site(nodes: int) -> typing.Iterator[control_site.Site]:
    """Run a site with *nodes* nodes and no routers."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = control_site.Site(pathlib.Path(folder), stack)
        site.add_nodes(nodes)
        # Stopped one after the other, each router would drain before the
        # next one is stopped.
        stack.callback(site.kill)
        yield site


def measure(nodes: int, extent: Extent) -> Figures:
    """Measure all figures of a site with *nodes* nodes."""
    with (
        running_site(nodes) as site,
        control_publish.publisher(site.log.address) as source,
    ):
        yield from _with_progress(
            'publishing', measure_publishing(site, source, extent)
        )
        time.sleep(SETTLE_S)
        rest_s = OTHER_EXTENT.rest_s
        yield from _with_progress('at rest', measure_idle(site, rest_s, ''))
        order_service = site.add_order_service()
        site.add_routers(list(site.nodes)[:ROUTERS])
        yield control_table.Figure('nodes with a router', len(site.routers))
        callers = control_routers.Callers(site)
        callers.wait_ready()
        if nodes == MAIN_SIZE:
            used = measure_idle(site, extent.rest_s, ', with router')
            yield from _with_progress('at rest with routers', used)
        order_callers = control_orders.Callers(site, order_service)
        yield from _with_progress(
            'orders', measure_orders(order_callers, extent)
        )
        yield from _with_progress(
            'ends', measure_router_ends(site, callers, extent)
        )


def _with_progress(what: str, figures: Figures) -> Figures:
    """Yield *figures*; print each one and how long all of them took."""
    start_s = time.monotonic()
    for figure in figures:
        print(f'  {figure.name}: {figure.value:.4g}', flush=True)
        yield figure
    print(f'{what}: {time.monotonic() - start_s:.0f} s', flush=True)


def measure_publishing(
    site: control_site.Site,
    source: control_publish.Publisher,
    extent: Extent,
) -> Figures:
    """Measure the time from publication of a document until in force."""
    in_force_s = control_publish.measure_in_force_s(site, source, PUBLISHES)
    median_s = statistics.median(in_force_s)
    yield control_table.Figure('in force on all, median, s', median_s)
    p95_s = statistics.quantiles(in_force_s, n=20)[-1]
    yield control_table.Figure(IN_FORCE, p95_s)
    reported_s = control_publish.measure_reported_s(
        site, source, extent.report_trials
    )
    yield from _median_and_longest('reported by a node of all', reported_s)


def measure_idle(site: control_site.Site, rest_s: float, how: str) -> Figures:
    """Measure the traffic, CPU time and memory of idle node processes.

    :param how: suffix of the figures' names
    """
    used = control_idle.measure(site, rest_s)
    for name, value in (
        (BYTES, used.bytes_per_s),
        ('- between nodes', used.peer_bytes_per_s),
        ('- from the log', used.log_bytes_per_s),
        ('- from the VM list', used.list_bytes_per_s),
        (CORE, used.core_share * 100),
        (BUSIEST, used.highest_core_share * 100),
        (RESIDENT, used.highest_resident_mib / MIB_PER_MB),
    ):
        yield control_table.Figure(name + how, value)


def measure_orders(callers: control_orders.Callers, extent: Extent) -> Figures:
    """Measure the appends to the log under several rates of orders."""
    callers.wait_ready()
    loads = [callers.load(rate, LOAD_S) for rate in extent.rates]
    print(control_orders.HEADING)
    for load in loads:
        print(load.line(), flush=True)
        if load.target_per_s == OTHER_RATE:
            yield control_table.Figure(APPENDS, load.appends_per_s)
    highest = max(load.appends_per_s for load in loads)
    yield control_table.Figure(HIGHEST_APPENDS, highest)
    faults = sum(load.doubled + load.wrong for load in loads)
    yield control_table.Figure(ORDER_FAULTS, faults)


def measure_router_ends(
    site: control_site.Site, callers: control_routers.Callers, extent: Extent
) -> Figures:
    """Measure how soon callers stop being sent to a router that ended.

    Routers are stopped, killed, and killed together with their node
    process, as with the loss of a VM.
    """
    names = list(site.routers)[: extent.end_trials]
    departures = [callers.stop_router(name) for name in names]
    site.add_routers(names)
    callers.wait_ready()
    killed_s = [callers.kill_router(name) for name in names]
    site.add_routers(names)
    callers.wait_ready()
    vm_killed_s = [callers.kill_vm(name) for name in names]
    named_s = [departure.last_named_s for departure in departures]
    yield from _median_and_longest('leaving router named', named_s)
    early_s = max(
        departure.last_named_s
        + control_site.ADDRESS_TTL_S
        - departure.last_accepted_s
        for departure in departures
    )
    yield control_table.Figure(CUT_OFF, max(0.0, early_s))
    yield from _median_and_longest('killed router named', killed_s)
    yield from _median_and_longest('killed VM named', vm_killed_s)


def _median_and_longest(name: str, spans_s: list[float]) -> Figures:
    yield control_table.Figure(
        f'{name}, median, s', statistics.median(spans_s)
    )
    yield control_table.Figure(f'{name}, longest, s', max(spans_s))


def main() -> None:
    """Measure each size, then print the table and the targets."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='+', default=SIZES)
    table = control_table.Table()
    for nodes in parser.parse_args().nodes:
        extent = MAIN_EXTENT if nodes == MAIN_SIZE else OTHER_EXTENT
        start_s = time.monotonic()
        print(f'{nodes} nodes', flush=True)
        table.add(nodes, measure(nodes, extent))
        print(f'measured in {time.monotonic() - start_s:.0f} s\n', flush=True)
    print('\n'.join(table.lines()), '\n')
    print('\n'.join(table.verdicts(MAIN_SIZE, TARGETS)))


if __name__ == '__main__':
    main()
