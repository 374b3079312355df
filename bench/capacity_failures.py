"""Lines of the capacity page for failures, and what reaches a limit first.

Each function for a failure returns the lines of one section. Texts and
figures are those of the page.
"""

import math

from bench import capacity_lines as lines
from bench import capacity_roles as roles
from bench import capacity_target as target
from guavachute.decide.orders import order_commit
from guavachute.services.fleet import task as fleet_task

Lines = list[lines.Line]


def domain_gone(figures: roles.Figures) -> Lines:
    """Return the lines for the loss of a failure domain."""
    lost = target.ENGINES // target.DOMAINS
    nodes = target.NODES - target.MEMBERS
    tokens = target.TOKENS_PER_S / nodes
    by_token = figures.slopes['router_core_by_token']
    return [
        lines.Line(
            'router, processor',
            lines.at(by_token, tokens)
            + lines.increment(
                figures.slopes['router_core_by_request'],
                target.REQUESTS_PER_S / nodes,
            ),
            '% of a core',
            f'callers ask for addresses again; {nodes} nodes are left',
            lines.Limit(100, '% (one process uses one core)'),
        ),
        lines.Line(
            'one plan',
            lines.at(figures.slopes['planner_ms'], target.ENGINES),
            'ms',
            f'a plan each {fleet_task.PLAN_EVERY_S:.0f} s',
            lines.Limit(fleet_task.PLAN_EVERY_S * 1000, 'ms'),
        ),
        lines.Line(
            'records to replace the engines',
            lines.plain(f'{lost} × 2 (intent, result)', lost * 2.0),
            'appends',
            'one writer, one record an append',
        ),
        lines.Line(
            'folding them, each node',
            lines.at(figures.slopes['fold_ms'], target.ENGINES).times(
                lost * 2.0, 'records'
            ),
            'ms in all',
            'the maps of the state are copied for each record',
        ),
    ]


def reclaimed(figures: roles.Figures) -> Lines:
    """Return the lines for a reclaim notice to most VMs at once."""
    count = round(target.ENGINES * target.RECLAIMED_SHARE)
    return [
        lines.Line(
            'node process, processor',
            lines.measured(figures.values['node_reclaim_core_percent']),
            '% of a core',
            'the time left changes in each answer of the VM list, so each '
            'is decoded',
            roles.CORE,
        ),
        lines.Line(
            'engines under notice',
            lines.plain(
                f'{target.ENGINES:,} × {target.RECLAIMED_SHARE}', count
            ),
            'engines',
            'routers stop sending to them; work is refused early, by share',
        ),
        lines.Line(
            'folding the replacements, each node',
            lines.at(figures.slopes['fold_ms'], target.ENGINES).times(
                count * 2.0, 'records'
            ),
            'ms in all',
            'as above',
        ),
    ]


def regions_apart(figures: roles.Figures) -> Lines:
    """Return the lines for a region that can't reach the log for an hour."""
    roots = roles.ROOTS // target.REGIONS
    return [
        lines.Line(
            'changes that wait for the region',
            lines.plain(
                f'{target.CHANGES_PER_DAY:,} / 24', target.CHANGES_PER_HOUR
            ),
            'changes',
            'the cut-off side goes on with its last configuration',
        ),
        lines.Line(
            'bytes over the link when it is back',
            figures.change()
            .times(target.CHANGES_PER_HOUR, 'changes')
            .times(roots, 'roots'),
            'bytes',
            'the roots of the domains read, the trees pass it on',
        ),
    ]


def log_down(figures: roles.Figures) -> Lines:
    """Return the lines for an hour without the log.

    All readers return at once when it is back.
    """
    backlog = figures.change().times(target.CHANGES_PER_HOUR, 'changes')
    change = lines.at(figures.slopes['node_cpu_by_change'], target.ENGINES)
    return [
        lines.Line(
            'reads of the herd',
            lines.plain(
                f'{target.NODES} claims + {roles.ROOTS} control',
                target.NODES + roles.ROOTS,
            ),
            'reads',
            'repeats are spread by a back-off with jitter; only roots read '
            'the control stream, unless their followers give them up',
        ),
        lines.Line(
            'bytes that one node reads',
            backlog,
            'bytes',
            "only where the fleet's reads failed and operators' appends "
            'did not; else nothing was added',
        ),
        lines.Line(
            'bytes of the herd',
            backlog.times(roles.ROOTS, 'roots'),
            'bytes',
            'the same; the trees pass it on within the domains',
        ),
        lines.Line(
            'processor of one node, at the most',
            change.times(target.CHANGES_PER_HOUR, 'changes'),
            'ms in all',
            'less where records come in one batch, then one publication',
        ),
        lines.Line(
            'orders',
            lines.plain('0', 0.0),
            'orders/s run',
            'answered `not-run` at once; streams go on',
        ),
    ]


def all_restarted(figures: roles.Figures) -> Lines:
    """Return the lines for a simultaneous start of all node processes."""
    sync = figures.slopes['membership_sync_bytes']
    return [
        lines.Line(
            'processor of a start',
            lines.measured(figures.values['node_start_cpu_s']),
            's of a core',
            'routers go on with their last tables meanwhile',
        ),
        lines.Line(
            'bytes of the log, at the most',
            figures.snapshot().times(target.NODES, 'nodes'),
            'bytes',
            'the last snapshot, then at most 500 records; a node that knows '
            'no members yet reads the log itself',
        ),
        lines.Line(
            'bytes of the VM list, all nodes',
            figures.vm_list().times(target.NODES, 'nodes'),
            'bytes',
            'all of it at once',
        ),
        lines.Line(
            'one whole exchange of a node',
            lines.at(sync, target.MEMBERS),
            'bytes',
            'one stranger is greeted a second',
        ),
    ]


def first_limits_reached(
    figures: roles.Figures,
) -> list[tuple[str, float, str]]:
    """Return the limits in the order in which a growing site reaches them.

    Each entry holds the resource, the size at its limit as a share of the
    target, and that size in words. A size is where the fitted line meets
    the limit while all other sizes are at their target.
    """
    listing = figures.slopes['vm_list_bytes']
    remaining_bytes_per_s = target.NODE_BYTES_PER_S - (
        figures.gossip().value + figures.log_reading().value
    )
    vms = max(0.0, (remaining_bytes_per_s - listing.intercept) / listing.slope)
    node_appends_per_s = 1 / order_commit.APPEND_INTERVAL_S
    entries = [
        (
            'bytes of control a node: the VM list, read whole each second',
            vms,
            target.ENGINES + target.NODES,
            'VMs on the list',
        ),
        (
            "appends a second: every node's own committer",
            target.APPENDS_PER_S / node_appends_per_s,
            target.NODES,
            'nodes that take orders at once',
        ),
        (
            'node process, processor (no changes)',
            _limit_reached_at(
                target.NODE_CORE_PERCENT,
                figures.core().value,
                figures.slopes['node_core_by_members'].slope,
                target.MEMBERS,
            ),
            target.MEMBERS,
            'members of a failure domain',
        ),
        (
            'node process, memory',
            _limit_reached_at(
                target.NODE_MIB,
                figures.memory().value,
                figures.slopes['node_memory_by_engines'].slope,
                target.ENGINES,
            ),
            target.ENGINES,
            'engines',
        ),
        (
            'router, one process on one core',
            _limit_reached_at(
                100,
                lines.at(
                    figures.slopes['router_core_by_token'],
                    target.NODE_TOKENS_PER_S,
                ).value,
                figures.slopes['router_core_by_token'].slope,
                target.NODE_TOKENS_PER_S,
            ),
            target.NODE_TOKENS_PER_S,
            'tokens/s a node',
        ),
        (
            'planner, processor of its node',
            _limit_reached_at(
                target.NODE_CORE_PERCENT * 10 * fleet_task.PLAN_EVERY_S,
                lines.at(figures.slopes['planner_ms'], target.ENGINES).value,
                figures.slopes['planner_ms'].slope,
                target.ENGINES,
            ),
            target.ENGINES,
            'engines',
        ),
    ]
    entries.sort(key=lambda each: each[1] / each[2])
    return [
        (
            what,
            size / target_size,
            f'{_format_size(size)} {unit}, target {lines.number(target_size)}',
        )
        for what, size, target_size, unit in entries
    ]


def _format_size(size: float) -> str:
    if math.isinf(size):
        return 'any number of'
    return lines.number(math.floor(size))


def _limit_reached_at(
    limit: float, value: float, slope: float, at: float
) -> float:
    """Return the x where a line through (*at*, *value*) meets *limit*.

    Infinite if the line doesn't rise.
    """
    if slope <= 0:
        return math.inf
    return max(0.0, at + (limit - value) / slope)
