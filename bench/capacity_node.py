"""Memory, CPU time and traffic of the node process by size of the site.

Measures nine node processes against the number of engines on the VM
list, one node process against the members of its failure domain, and the
cost of a configuration change from its publication until all nodes have
it in force.
"""

import contextlib
import os
import pathlib
import resource
import statistics
import subprocess
import sys
import tempfile
import time
import typing

from bench import capacity_fit
from bench import capacity_site
from bench import processes
from bench import relay

NODES = 9
ENGINES = (0, 280, 1400, 2800)
MEMBERS = (3, 30, 83)
SETTLE_S = 4.0
MEASURED_S = 12.0
CHANGES = 10
CHANGE_PAUSE_S = 0.3
STARTS = 5
RECLAIMED_SHARE = 0.62
# The program prints its own peak memory: the maximum that wait4 reports
# includes the memory of the benchmark between fork and exec.
STATUS_CODE = """
import atexit, sys
from guavachute.cli import operator
def peak():
    with open('/proc/self/status') as lines:
        print([l for l in lines if 'VmHWM' in l][0], file=sys.stderr)
atexit.register(peak)
operator.main()
"""


@contextlib.contextmanager
def _site(nodes: int) -> typing.Iterator[capacity_site.Site]:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = capacity_site.Site(pathlib.Path(folder), stack)
        for _ in range(nodes):
            site.add_node()
        site.list_engines(0)
        site.publish(document(0))
        site.wait_in_force()
        site.wait_members(nodes)
        yield site


def document(number: int, workspaces: int = 1) -> dict[str, typing.Any]:
    """Return a document with *workspaces*; it differs with *number*."""
    result = relay.document()
    (workspace,) = result['workspaces'].values()
    result['workspaces'] = {
        f'workspace-{each}': {**workspace, 'share': number + 1}
        for each in range(workspaces)
    }
    return result


def _mean(values: typing.Iterable[float]) -> float:
    return statistics.mean(values)


def measure_by_engines() -> capacity_fit.Measurements:
    """Measure nine idle node processes by the number of listed engines."""
    memory, cores, listing, in_force, change_cpu = [], [], [], [], []
    values = {}
    with _site(NODES) as site:
        for engines in ENGINES:
            listing.append((engines, site.list_engines(engines)))
            time.sleep(SETTLE_S)
            usages = capacity_site.measure_usage(site.nodes, MEASURED_S)
            memory.append((engines, _mean(s.resident_mib for s in usages)))
            cores.append((engines, _mean(s.core_percent for s in usages)))
            if engines == 0:
                values = _idle_values(usages)
            took_s, cpu_s = _measure_changes(site, usages)
            in_force.append((engines, took_s))
            change_cpu.append((engines, cpu_s * 1000))
    engines_text = 'engines on the VM list'
    return capacity_fit.Measurements(
        slopes={
            'node_memory_by_engines': capacity_fit.fit(
                engines_text, 'MiB resident, node process', memory
            ),
            'node_core_by_engines': capacity_fit.fit(
                engines_text, '% of a core, node process', cores
            ),
            'vm_list_bytes': capacity_fit.fit(
                engines_text, 'bytes of one answer of the VM list', listing
            ),
            'change_in_force_s': capacity_fit.fit(
                engines_text, 's until a change is in force', in_force
            ),
            'node_cpu_by_change': capacity_fit.fit(
                engines_text, 'ms of processor time a change', change_cpu
            ),
        },
        values=values,
    )


def _idle_values(
    usages: typing.Sequence[capacity_site.Usage],
) -> dict[str, capacity_fit.Value]:
    how = f'{NODES} node processes, no engines, no callers'
    return {
        'node_rest_core_percent': capacity_fit.Value(
            value=_mean(s.core_percent for s in usages),
            unit='% of a core',
            how=how,
        ),
        'node_rest_gossip_bytes_per_s': capacity_fit.Value(
            value=_mean(
                s.counters['membership.sent_bytes']
                + s.counters['membership.received_bytes']
                for s in usages
            ),
            unit='bytes/s, both ways',
            how=how,
        ),
        'node_rest_log_bytes_per_s': capacity_fit.Value(
            value=_mean(s.counters.get('log.read_bytes', 0.0) for s in usages),
            unit='bytes/s of answers, without HTTP headers',
            how=how,
        ),
    }


def _measure_changes(
    site: capacity_site.Site,
    idle: typing.Sequence[capacity_site.Usage],
) -> tuple[float, float]:
    """Publish changes and return their cost, the idle use subtracted.

    Returns the median seconds until a change is in force on all nodes,
    and the CPU seconds of one node for one change.
    """
    before_s = sum(node.cpu_s() for node in site.nodes)
    start_s = time.monotonic()
    durations_s = []
    for number in range(CHANGES):
        sent_s = time.monotonic()
        site.publish(document(number))
        site.wait_in_force()
        durations_s.append(time.monotonic() - sent_s)
        time.sleep(CHANGE_PAUSE_S)
    elapsed_s = time.monotonic() - start_s
    used_s = sum(node.cpu_s() for node in site.nodes) - before_s
    idle_s = sum(s.core_percent / 100 for s in idle) * elapsed_s
    each_s = max(0.0, used_s - idle_s) / CHANGES / NODES
    return statistics.median(durations_s), each_s


def measure_by_members() -> capacity_fit.Measurements:
    """Measure one node process in failure domains of several sizes."""
    memory, cores, traffic = [], [], []
    for size in MEMBERS:
        with _site(1) as site:
            site.add_members(size - 1)
            site.list_engines(0)
            site.wait_members(size)
            time.sleep(SETTLE_S)
            (usage,) = capacity_site.measure_usage(site.nodes, MEASURED_S)
        memory.append((size, usage.resident_mib))
        cores.append((size, usage.core_percent))
        sent = usage.counters['membership.sent_bytes']
        received = usage.counters['membership.received_bytes']
        traffic.append((size, sent + received))
    text = 'members of the failure domain'
    return capacity_fit.Measurements(
        slopes={
            'node_memory_by_members': capacity_fit.fit(
                text, 'MiB resident, node process', memory
            ),
            'node_core_by_members': capacity_fit.fit(
                text, '% of a core, node process', cores
            ),
            'node_gossip_by_members': capacity_fit.fit(
                text, 'bytes/s of gossip, both ways', traffic
            ),
        }
    )


def measure_at_target() -> capacity_fit.Measurements:
    """Measure one node process with the target's members and engines.

    Measured first with all VMs staying, then with most of them under
    notice.
    """
    with _site(1) as site:
        site.add_members(MEMBERS[-1] - 1)
        site.list_engines(ENGINES[-1])
        site.wait_members(MEMBERS[-1])
        time.sleep(SETTLE_S)
        (usage,) = capacity_site.measure_usage(site.nodes, 2 * MEASURED_S)
        site.list_engines(ENGINES[-1], RECLAIMED_SHARE)
        time.sleep(SETTLE_S)
        (reclaim,) = capacity_site.measure_usage(site.nodes, MEASURED_S)
    how = (
        f'one node process, {MEMBERS[-1]} members that report each second, '
        f'{ENGINES[-1]} engines'
    )
    return capacity_fit.Measurements(
        values={
            'node_target_core_percent': capacity_fit.Value(
                value=usage.core_percent, unit='% of a core', how=how
            ),
            'node_target_memory_mib': capacity_fit.Value(
                value=usage.resident_mib, unit='MiB resident', how=how
            ),
            'node_reclaim_core_percent': capacity_fit.Value(
                value=reclaim.core_percent,
                unit='% of a core',
                how=f'the same with {RECLAIMED_SHARE:.0%} under notice',
            ),
        }
    )


def measure_start_up() -> capacity_fit.Measurements:
    """Measure the start of a node process and one ``guavachute status``."""
    times, cpu = [], []
    with _site(1) as site:
        for _ in range(STARTS):
            start_s = time.monotonic()
            program = site.add_node()
            times.append(time.monotonic() - start_s)
            cpu.append(program.cpu_s())
        command_s, command_mib = _status_command(site)
    how = f'median of {STARTS}, until it listens'
    return capacity_fit.Measurements(
        values={
            'node_start_s': capacity_fit.Value(
                value=statistics.median(times), unit='s', how=how
            ),
            'node_start_cpu_s': capacity_fit.Value(
                value=statistics.median(cpu), unit='s of a core', how=how
            ),
            'status_cpu_s': capacity_fit.Value(
                value=command_s,
                unit='s of a core',
                how='one `guavachute status`',
            ),
            'status_memory_mib': capacity_fit.Value(
                value=command_mib,
                unit='MiB resident at the most',
                how='one `guavachute status`',
            ),
        }
    )


def _status_command(site: capacity_site.Site) -> tuple[float, float]:
    with tempfile.TemporaryDirectory() as folder:
        path = relay.settings_file(
            pathlib.Path(folder),
            'operator',
            {
                'log_address': site.log.address,
                'nodes': {
                    capacity_site.ENVIRONMENT: [
                        node.announced['tables'] for node in site.nodes
                    ]
                },
            },
        )
        command = [
            *(sys.executable, '-c', STATUS_CODE, 'status'),
            *('--environment', capacity_site.ENVIRONMENT, '--settings', path),
        ]
        process = subprocess.Popen(
            command, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE
        )
        assert process.stderr is not None
        peak_kib = int(process.stderr.read().split()[-2])
        process.stderr.close()
        _, code, used = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(code)
    assert process.returncode == 0, 'guavachute status failed'
    return _cpu_s(used), peak_kib / processes.KIB


def _cpu_s(used: resource.struct_rusage) -> float:
    return used.ru_utime + used.ru_stime
