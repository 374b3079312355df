"""Lines of the capacity page for each role, from the measured slopes.

Each function returns the lines of one section, with the figures at the
target size. Texts and figures are those of the page.
"""

from bench import capacity_fit
from bench import capacity_lines as lines
from bench import capacity_target as target
from guavachute.clients import log_source
from guavachute.decide.control import relay_tree
from guavachute.decide.control import snapshot_duty
from guavachute.decide import lease
from guavachute.decide.orders import order_commit
from guavachute.services.fleet import task as fleet_task
from guavachute.services import leases
from guavachute.services import log_relay

VM_LIST_PERIOD_S = 1.0
"""The default of the node's setting ``vm_list_interval_s``."""

ROOTS = relay_tree.ROOTS * target.DOMAINS
"""Nodes that read the control stream from the log itself."""

CORE = lines.Limit(target.NODE_CORE_PERCENT, '% of a core')
MEMORY = lines.Limit(target.NODE_MIB, 'MiB (64 MB)')
TRAFFIC = lines.Limit(target.NODE_BYTES_PER_S, 'bytes/s')
APPENDS = lines.Limit(target.APPENDS_PER_S, 'appends/s')

Lines = list[lines.Line]


class Figures:
    """The measured figures, and terms that several sections use."""

    def __init__(self, capacity: capacity_fit.Capacity) -> None:
        self.slopes = capacity.slopes
        self.values = capacity.values

    def memory(self) -> lines.Term:
        """Return the memory of a node process in MiB."""
        by_members = lines.at(
            self.slopes['node_memory_by_members'], target.MEMBERS
        )
        return by_members + lines.increment(
            self.slopes['node_memory_by_engines'], target.ENGINES
        )

    def core(self) -> lines.Term:
        """Return the CPU use of a node process without changes.

        The unit is % of a core.
        """
        by_members = lines.at(
            self.slopes['node_core_by_members'], target.MEMBERS
        )
        return by_members + lines.increment(
            self.slopes['node_core_by_engines'], target.ENGINES
        )

    def core_of_changes(self) -> lines.Term:
        """Return what the day's changes add to it, in % of a core."""
        change = lines.at(self.slopes['node_cpu_by_change'], target.ENGINES)
        return change.times(target.CHANGES_PER_S, 'changes/s').times(
            0.1, '% per ms/s'
        )

    def change(self) -> lines.Term:
        """Return the bytes of one configuration change."""
        return lines.at(self.slopes['change_bytes'], target.WORKSPACES)

    def snapshot(self) -> lines.Term:
        """Return the bytes of one snapshot."""
        return lines.at(self.slopes['snapshot_bytes'], target.ENGINES)

    def vm_list(self) -> lines.Term:
        """Return the bytes of one answer of the VM list."""
        return lines.at(
            self.slopes['vm_list_bytes'], target.ENGINES + target.NODES
        )

    def gossip(self) -> lines.Term:
        """Return the membership traffic of one node in bytes/s, both ways.

        It is that of the simulated protocol states, without sockets.
        """
        sent = self.slopes['membership_bytes_per_s']
        return lines.at(sent, target.MEMBERS).times(2, 'ways')

    def log_reading(self) -> lines.Term:
        """Return what one node reads of the control stream, in bytes/s."""
        idle = self.values['node_rest_log_bytes_per_s'].value
        empty = lines.plain(f'{lines.number(idle)} (empty answers)', idle)
        return empty + self.change().times(target.CHANGES_PER_S, 'changes/s')

    def follower(self) -> lines.Term:
        """Return the traffic from a relay to one follower, in bytes/s."""
        alive = self.values['relay_alive_bytes'].value
        life = lines.plain(
            f'{lines.number(alive)} × 1/s (sign of life)',
            alive / log_relay.ALIVE_PERIOD_S,
        )
        return life + self.change().times(target.CHANGES_PER_S, 'changes/s')


def node(figures: Figures) -> Lines:
    """Return the lines of the node process."""
    list_rate = figures.vm_list().times(1 / VM_LIST_PERIOD_S, 'reads/s')
    return [
        lines.Line(
            'memory',
            figures.memory(),
            'MiB',
            'membership keeps its own domain only; endpoints are built once',
            MEMORY,
        ),
        lines.Line(
            'memory, measured whole',
            lines.measured(figures.values['node_target_memory_mib']),
            'MiB',
            'the same',
            MEMORY,
        ),
        lines.Line(
            'processor, no changes',
            figures.core(),
            '% of a core',
            'an unchanged VM list is not decoded again; one probe a second',
            CORE,
        ),
        lines.Line(
            'processor, measured whole',
            lines.measured(figures.values['node_target_core_percent']),
            '% of a core',
            'the same',
            CORE,
        ),
        lines.Line(
            "processor, the day's changes",
            figures.core_of_changes(),
            '% of a core',
            'whole tables are sent to the routers of the VM',
            CORE,
        ),
        lines.Line(
            'processor, both',
            figures.core() + figures.core_of_changes(),
            '% of a core',
            'the two lines above',
            CORE,
        ),
        lines.Line(
            'messages of membership',
            lines.at(
                figures.slopes['membership_messages_per_s'], target.MEMBERS
            ),
            'messages/s sent',
            'one probe a second, whatever the number of members',
        ),
        lines.Line(
            'traffic of membership',
            figures.gossip(),
            'bytes/s',
            'news rides on probes within a byte budget; sums between domains',
            TRAFFIC,
        ),
        lines.Line(
            'traffic of the log',
            figures.log_reading(),
            'bytes/s',
            'from the log, or from a relay; whole documents',
            TRAFFIC,
        ),
        lines.Line(
            'traffic of the VM list',
            list_rate,
            'bytes/s',
            'each node reads the whole list each second; no difference '
            'or relay yet',
            TRAFFIC,
        ),
        lines.Line(
            'traffic of control, all',
            figures.gossip() + figures.log_reading() + list_rate,
            'bytes/s',
            'the three lines above',
            TRAFFIC,
        ),
        lines.Line(
            'start, until it listens',
            lines.measured(figures.values['node_start_s']),
            's',
            'imports are most of it',
        ),
    ]


def router(figures: Figures) -> Lines:
    """Return the lines of the router process, one on each node."""
    by_token = lines.at(
        figures.slopes['router_core_by_token'], target.NODE_TOKENS_PER_S
    )
    by_request = lines.increment(
        figures.slopes['router_core_by_request'], target.NODE_REQUESTS_PER_S
    )
    return [
        lines.Line(
            'processor',
            by_token + by_request,
            '% of a core',
            'one task with a selector moves all streams; more processes '
            'behind SO_REUSEPORT',
            lines.Limit(100, '% (one process uses one core)'),
        ),
        lines.Line(
            'memory',
            lines.at(
                figures.slopes['router_memory_by_stream'], target.NODE_STREAMS
            ),
            'MiB',
            'no thread for each stream',
        ),
        lines.Line(
            'time between tokens, p95',
            lines.measured(figures.values['router_gap_p95_ms']),
            'ms',
            'the stand-in engine alone takes 51 ms; the cores were shared '
            'with engines, callers and other work',
            lines.Limit(1000 * target.TOKEN_GAP_S, 'ms'),
        ),
        lines.Line(
            'tables taken in',
            lines.at(figures.slopes['tables_decode_ms'], target.ENGINES),
            'ms each time',
            'whole tables over loopback; the router keeps its subset',
        ),
        lines.Line(
            'bytes of the tables',
            lines.at(figures.slopes['tables_bytes'], target.ENGINES),
            'bytes each time',
            'loopback only',
        ),
    ]


def relay(figures: Figures) -> Lines:
    """Return the lines of the log relay in each node process."""
    sent = figures.follower().times(relay_tree.FAN_OUT, 'followers')
    reading = figures.log_reading()
    snapshots = figures.snapshot().times(1 / snapshot_duty.PERIOD_S, '/s')
    return [
        lines.Line(
            'traffic to one follower',
            figures.follower(),
            'bytes/s',
            'records as they come, a sign of life each second',
            TRAFFIC,
        ),
        lines.Line(
            'traffic to its followers',
            sent,
            'bytes/s',
            f'a tree in each domain, {relay_tree.FAN_OUT} below each node',
            TRAFFIC,
        ),
        lines.Line(
            'control of a node in the tree, but for the VM list',
            figures.gossip() + reading + sent,
            'bytes/s',
            'membership, its own reading, its followers',
            TRAFFIC,
        ),
        lines.Line(
            'control of a root, but for the VM list',
            figures.gossip() + reading + sent + snapshots,
            'bytes/s',
            'a root reads the snapshots from the log as well',
            TRAFFIC,
        ),
        lines.Line(
            'followers that fit beside membership',
            _followers(figures),
            'followers',
            f'the tree has up to {relay_tree.FAN_OUT}',
        ),
    ]


def _followers(figures: Figures) -> lines.Term:
    remaining = target.NODE_BYTES_PER_S - figures.gossip().value
    each = figures.follower().value
    return lines.plain(
        f'({target.NODE_BYTES_PER_S:,} − '
        f'{lines.number(figures.gossip().value)} '
        f'− {lines.number(each)} of its own) / {lines.number(each)}',
        max(0.0, (remaining - each) / each),
    )


def committer(figures: Figures) -> Lines:
    """Return the lines of the committer; each node process has one."""
    node_appends_per_s = 1 / order_commit.APPEND_INTERVAL_S
    rate = lines.design(node_appends_per_s, 'appends/s, APPEND_INTERVAL_S')
    memory = figures.slopes['claims_memory_mib']
    remaining_mib = target.NODE_MIB - figures.memory().value
    claim = figures.values['claim_bytes'].value
    return [
        lines.Line(
            'processor of one full append',
            lines.at(
                figures.slopes['claims_append_ms'], order_commit.BATCH_RECORDS
            ),
            'ms',
            'claims are batched',
        ),
        lines.Line(
            'appends, every node commits',
            rate.times(target.NODES, 'nodes'),
            'appends/s',
            'as it is wired today, when orders come at every node',
            APPENDS,
        ),
        lines.Line(
            'appends, a committer per domain',
            rate.times(target.DOMAINS, 'domains'),
            'appends/s',
            'the design; a router can be pointed at any committer',
            APPENDS,
        ),
        lines.Line(
            'keys that fit in its memory',
            lines.plain(
                f'({lines.number(target.NODE_MIB)} − '
                f'{lines.number(figures.memory().value)}) '
                f'/ {lines.number(memory.slope)}',
                remaining_mib / memory.slope,
            ),
            'keys',
            'a key is forgotten after the window of the document',
        ),
        lines.Line(
            'orders that this allows, whole fleet',
            lines.plain(
                f'{lines.number(remaining_mib / memory.slope)} keys / '
                f'{target.DAY_S:,} s (default window)',
                remaining_mib / memory.slope / target.DAY_S,
            ),
            'orders/s',
            'every node folds the one claims stream',
        ),
        lines.Line(
            'orders that the traffic allows, whole fleet',
            lines.plain(
                f'{target.NODE_BYTES_PER_S:,} / {lines.number(claim)}',
                target.NODE_BYTES_PER_S / claim,
            ),
            'orders/s',
            'claims only, answers come on top',
        ),
    ]


def lease_holder(figures: Figures) -> Lines:
    """Return the lines of the fleet duty and of the snapshot duty."""
    renewals = lines.plain(
        f'{lease.RENEWALS_PER_DURATION} / {leases.DURATION_S:.0f} s (design)',
        lease.RENEWALS_PER_DURATION / leases.DURATION_S,
    )
    plan = lines.at(figures.slopes['planner_ms'], target.ENGINES)
    per_s = 1 / fleet_task.PLAN_EVERY_S
    return [
        lines.Line(
            'fleet: processor of the planner',
            plan.times(per_s, 'plans/s').times(0.1, '% per ms/s'),
            '% of a core',
            'one holder plans for the whole environment',
            CORE,
        ),
        lines.Line(
            'fleet: renewals',
            renewals,
            'appends/s',
            'one lease for each duty',
            APPENDS,
        ),
        lines.Line(
            'fleet: records of replacements',
            lines.plain(
                f'{target.REPLACEMENTS_PER_DAY} × '
                f'{target.RECORDS_PER_REPLACEMENT} / {target.DAY_S:,} s',
                target.REPLACEMENTS_PER_DAY
                * target.RECORDS_PER_REPLACEMENT
                / target.DAY_S,
            ),
            'appends/s',
            'intent, result, drain, end (design)',
            APPENDS,
        ),
        lines.Line(
            'fleet: reading of the VM list',
            figures.vm_list().times(
                1 / fleet_task.IDLE_LIST_S, 'reads/s idle'
            ),
            'bytes/s',
            'its own list of the cloud, each '
            f'{fleet_task.IDLE_LIST_S:.0f} s at rest',
            TRAFFIC,
        ),
        lines.Line(
            'snapshot: bytes written',
            figures.snapshot().times(1 / snapshot_duty.PERIOD_S, '/s'),
            'bytes/s',
            f'one writer; read by the {ROOTS} roots of the trees',
            TRAFFIC,
        ),
    ]


def operators(figures: Figures) -> Lines:
    """Return the lines of the operators' commands."""
    return [
        lines.Line(
            'processor of a `status`',
            lines.measured(figures.values['status_cpu_s']),
            's of a core',
            'asks one node; members of its domain, sums of the others',
        ),
        lines.Line(
            'memory of a `status`',
            lines.measured(figures.values['status_memory_mib']),
            'MiB',
            'the same',
        ),
        lines.Line(
            'bytes of a change',
            figures.change(),
            'bytes',
            f'the whole document; {target.WORKSPACES} workspaces assumed',
        ),
        lines.Line(
            'a change in force on a node',
            lines.at(figures.slopes['change_in_force_s'], target.ENGINES),
            's',
            'long polls; measured with 9 nodes on one machine, without '
            "the platform's own delay or that of 660 readers",
            lines.Limit(target.IN_FORCE_S, 's'),
        ),
    ]


def platform(figures: Figures) -> Lines:
    """Return the lines of the load that all nodes put on the platform."""
    renewals = lease.RENEWALS_PER_DURATION / leases.DURATION_S
    replaced = (
        target.REPLACEMENTS_PER_DAY
        * target.RECORDS_PER_REPLACEMENT
        / target.DAY_S
    )
    snapshots = 1 / snapshot_duty.PERIOD_S
    appends = target.CHANGES_PER_S + renewals + replaced + snapshots
    readers = target.NODES + ROOTS
    reads = readers / log_source.POLL_WAIT_S
    return [
        lines.Line(
            'log: appends without orders',
            lines.plain(
                f'{lines.number(target.CHANGES_PER_S)} changes + '
                f'{lines.number(renewals)} renewals + '
                f'{lines.number(replaced)} of replacements + '
                f'{lines.number(snapshots)} snapshots',
                appends,
            ),
            'appends/s',
            'only durable decisions go through the log',
            APPENDS,
        ),
        lines.Line(
            'log: reads at rest',
            lines.plain(
                f'({target.NODES} claims + {ROOTS} control) / '
                f'{log_source.POLL_WAIT_S:.0f} s (design)',
                reads,
            ),
            'reads/s',
            'roots read the control stream, the trees pass it on; every '
            'node reads the claims',
        ),
        lines.Line(
            'log: bytes read of the control stream',
            figures.log_reading().times(ROOTS, 'roots')
            + figures.snapshot()
            .times(1 / snapshot_duty.PERIOD_S, '/s')
            .times(ROOTS, 'roots'),
            'bytes/s',
            'changes and snapshots',
        ),
        lines.Line(
            'VM list: bytes read',
            figures.vm_list().times(target.NODES, 'nodes, 1/s each'),
            'bytes/s',
            'every node reads it all',
        ),
        lines.Line(
            'weight store: an ordinary day',
            lines.plain(
                f'{target.REPLACEMENTS_PER_DAY} / {target.DAY_S:,} s',
                target.REPLACEMENTS_PER_DAY / target.DAY_S,
            ),
            'times the size of the weights a second',
            'fetches are scheduled at the rate of the store; the size of '
            'the weights is not given',
        ),
    ]
