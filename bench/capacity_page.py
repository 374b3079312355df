"""Writes docs/CAPACITY.md from docs/capacity.json.

``python -m bench.capacity_page`` writes the page; with ``--check`` it
writes nothing and fails if the page differs from what the figures give.
"""

import argparse
import pathlib
import string
import sys

from bench import capacity_failures as failures
from bench import capacity_fit
from bench import capacity_lines as lines
from bench import capacity_roles as roles
from bench import capacity_target as target

ROOT = pathlib.Path(__file__).parent.parent
FIGURES = ROOT / 'docs' / 'capacity.json'
TEMPLATE = ROOT / 'docs' / 'CAPACITY.template.md'
PAGE = ROOT / 'docs' / 'CAPACITY.md'


def page(capacity: capacity_fit.Capacity, template: str) -> str:
    """Return the page that *capacity* gives with *template*."""
    figures = roles.Figures(capacity)
    sections = {
        'node': roles.node(figures),
        'router': roles.router(figures),
        'relay': roles.relay(figures),
        'committer': roles.committer(figures),
        'lease_holder': roles.lease_holder(figures),
        'operators': roles.operators(figures),
        'platform': roles.platform(figures),
        'domain_gone': failures.domain_gone(figures),
        'reclaimed': failures.reclaimed(figures),
        'regions_apart': failures.regions_apart(figures),
        'log_down': failures.log_down(figures),
        'all_restarted': failures.all_restarted(figures),
    }
    return string.Template(template).substitute(
        {name: lines.table(found) for name, found in sections.items()},
        command=capacity.command,
        cores=str(capacity.cores),
        python=capacity.python,
        missed=_missed(sections),
        breaks=_limits_reached(figures),
        slopes=_slopes(capacity),
        values=_values(capacity),
        members=str(target.MEMBERS),
        workspaces=str(target.WORKSPACES),
        requests=lines.number(target.NODE_REQUESTS_PER_S),
        tokens=lines.number(target.NODE_TOKENS_PER_S),
        streams=lines.number(target.NODE_STREAMS),
    )


def _missed(sections: dict[str, list[lines.Line]]) -> str:
    found = [
        f'- {name.replace("_", " ")}: {line.what}, '
        f'{lines.number(line.term.value)} {line.unit}, limit '
        f'{lines.number(line.limit.value)} {line.limit.unit}'
        for name, section in sections.items()
        for line in section
        if line.exceeds_limit and line.limit is not None
    ]
    return '\n'.join(found) or 'None.'


def _limits_reached(figures: roles.Figures) -> str:
    return '\n'.join(
        f'{place}. {what}: at {where} ({share:.0%} of it).'
        for place, (what, share, where) in enumerate(
            failures.first_limits_reached(figures), 1
        )
    )


def _slopes(capacity: capacity_fit.Capacity) -> str:
    rows = [
        '| slope | measured | against | intercept | slope | r2 | points |',
        '|---|---|---|---|---|---|---|',
    ]
    for name, slope in sorted(capacity.slopes.items()):
        points = ', '.join(
            f'{lines.number(x)}: {lines.number(y)}' for x, y in slope.points
        )
        rows.append(
            f'| `{name}` | {slope.y} | {slope.x} | '
            f'{lines.number(slope.intercept)} | {lines.number(slope.slope)} '
            f'| {slope.r2:.3f} | {points} |'
        )
    return '\n'.join(rows)


def _values(capacity: capacity_fit.Capacity) -> str:
    rows = ['| figure | value | how |', '|---|---|---|']
    for name, value in sorted(capacity.values.items()):
        rows.append(
            f'| `{name}` | {lines.number(value.value)} {value.unit} | '
            f'{value.how} |'
        )
    return '\n'.join(rows)


def expected_page() -> str:
    """Return the page that the committed figures and the template give."""
    return page(capacity_fit.load(FIGURES), TEMPLATE.read_text())


def main() -> int:
    """Write or check the page; return 1 if the checked page differs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    only_check = parser.parse_args().check
    expected = expected_page()
    if not only_check:
        PAGE.write_text(expected)
    elif not PAGE.exists() or PAGE.read_text() != expected:
        print(
            f'{PAGE.name} is not what the figures give: run '
            'python -m bench.capacity_page',
            file=sys.stderr,
        )
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
