"""Measures the slopes from which docs/CAPACITY.md is calculated.

``python -m bench.capacity`` runs every part on this machine with small
stand-ins, prints each slope with its fit, and writes the figures to
``bench/out/capacity.json`` and ``docs/capacity.json`` and their plot to
``docs/capacity.svg``. ``--part`` measures only the given parts and keeps
the other figures. Processor time is the CPU time of the processes; the
duration of a start and the time until a change is in force are wall-clock
time.
"""

import argparse
import os
import pathlib
import platform
import sys
import time
import typing

from bench import capacity_control
from bench import capacity_fit
from bench import capacity_membership
from bench import capacity_node
from bench import capacity_router

ROOT = pathlib.Path(__file__).parent.parent
OUT = ROOT / 'bench' / 'out' / 'capacity.json'
COMMITTED = ROOT / 'docs' / 'capacity.json'
PLOT = ROOT / 'docs' / 'capacity.svg'
COMMAND = 'python -m bench.capacity'

Part = typing.Callable[[], capacity_fit.Measurements]
PARTS: dict[str, Part] = {
    'tables': capacity_control.measure_tables,
    'log': capacity_control.measure_log,
    'orders': capacity_control.measure_orders,
    'planner': capacity_control.measure_planner,
    'membership': capacity_membership.measure,
    'start': capacity_node.measure_start_up,
    'members': capacity_node.measure_by_members,
    'engines': capacity_node.measure_by_engines,
    'target': capacity_node.measure_at_target,
    'router': capacity_router.measure,
}


def run(names: typing.Iterable[str]) -> capacity_fit.Measurements:
    """Measure the parts called *names* and print the figures of each."""
    slopes: dict[str, capacity_fit.Slope] = {}
    values: dict[str, capacity_fit.Value] = {}
    for name in names:
        start_s = time.monotonic()
        found = PARTS[name]()
        print(f'-- {name}, {time.monotonic() - start_s:.0f} s')
        for key, slope in found.slopes.items():
            print(
                f'{key}: {slope.intercept:.4g} + {slope.slope:.4g} a unit '
                f'of "{slope.x}" ({slope.y}); r2 {slope.r2:.3f}, '
                f'{len(slope.points)} points'
            )
        for key, value in found.values.items():
            print(f'{key}: {value.value:.4g} {value.unit} ({value.how})')
        sys.stdout.flush()
        slopes.update(found.slopes)
        values.update(found.values)
    return capacity_fit.Measurements(slopes=slopes, values=values)


def plot(capacity: capacity_fit.Capacity, path: pathlib.Path) -> None:
    """Draw each slope with its points; requires the extra ``plot``."""
    import matplotlib

    matplotlib.use('svg')
    # A fixed salt makes the SVG file depend on the figures only.
    matplotlib.rcParams['svg.hashsalt'] = 'capacity'
    from matplotlib import pyplot

    columns = 4
    rows = -(-len(capacity.slopes) // columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(4 * columns, 3 * rows), squeeze=False
    )
    cells = axes.flatten()
    for cell, (name, slope) in zip(
        cells, sorted(capacity.slopes.items()), strict=False
    ):
        xs = [x for x, _ in slope.points]
        cell.plot(xs, [y for _, y in slope.points], 'o')
        ends = [min(xs), max(xs)]
        cell.plot(ends, [slope.intercept + slope.slope * x for x in ends])
        cell.set_title(f'{name} (r2 {slope.r2:.2f})', fontsize=8)
        cell.set_xlabel(slope.x, fontsize=7)
        cell.set_ylabel(slope.y, fontsize=6)
        cell.tick_params(labelsize=6)
    for cell in cells[len(capacity.slopes) :]:
        cell.set_axis_off()
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})


def main() -> None:
    """Measure the chosen parts, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--part', action='append', choices=list(PARTS), default=[]
    )
    chosen = parser.parse_args().part
    found = run(chosen or PARTS)
    slopes, values = found.slopes, found.values
    if chosen and COMMITTED.exists():
        before = capacity_fit.load(COMMITTED)
        slopes = {**before.slopes, **slopes}
        values = {**before.values, **values}
    capacity = capacity_fit.Capacity(
        command=COMMAND,
        cores=os.cpu_count() or 0,
        python=platform.python_version(),
        slopes=slopes,
        values=values,
    )
    for path in (OUT, COMMITTED):
        capacity_fit.save(capacity, path)
    plot(capacity, PLOT)


if __name__ == '__main__':
    main()
