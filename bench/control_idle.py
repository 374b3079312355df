"""Measures what an idle node process uses."""

import collections
import dataclasses
import statistics
import time

import urllib3

from bench import control_site
from bench import processes
from guavachute.clients import node_client
from guavachute.wire import status

PEER_BYTES = ('membership.sent_bytes', 'membership.received_bytes')
LOG_BYTES = ('log.read_bytes',)


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a node process uses, as a mean over all of them.

    :ivar peer_bytes_per_s: sent and received between nodes
    :ivar log_bytes_per_s: bodies of the log's responses
    :ivar list_bytes_per_s: bodies of the VM list's responses
    :ivar core_share: CPU time as a part of one core
    :ivar highest_core_share: of the busiest node process
    :ivar highest_resident_mib: of the node process with most memory
    """

    peer_bytes_per_s: float
    log_bytes_per_s: float
    list_bytes_per_s: float
    core_share: float
    highest_core_share: float
    highest_resident_mib: float

    @property
    def bytes_per_s(self) -> float:
        """The sum of the control traffic that is counted."""
        return (
            self.peer_bytes_per_s
            + self.log_bytes_per_s
            + self.list_bytes_per_s
        )


def measure(site: control_site.Site, duration_s: float) -> Usage:
    """Measure the node processes of *site* for *duration_s*."""
    nodes = list(site.nodes.values())
    count_before = sum_counters(nodes)
    cpu_before_s = [node.cpu_s() for node in nodes]
    start_s = time.monotonic()
    time.sleep(duration_s)
    cpu_s = [
        node.cpu_s() - before_s
        for node, before_s in zip(nodes, cpu_before_s, strict=True)
    ]
    elapsed_s = time.monotonic() - start_s
    count = sum_counters(nodes)
    count.subtract(count_before)
    per_node_s = elapsed_s * len(nodes)
    list_bytes = count['vm_list.read'] * _vm_list_bytes(site)
    return Usage(
        sum(count[name] for name in PEER_BYTES) / per_node_s,
        sum(count[name] for name in LOG_BYTES) / per_node_s,
        list_bytes / per_node_s,
        statistics.mean(cpu_s) / elapsed_s,
        max(cpu_s) / elapsed_s,
        max(node.resident_mib() for node in nodes),
    )


def sum_counters(
    nodes: list[processes.Program],
) -> collections.Counter[str]:
    """Return the sums of the counters of all *nodes*, by name."""
    total: collections.Counter[str] = collections.Counter()
    for node in nodes:
        reply = node_client.fetch_status(node.announced['tables'])
        assert isinstance(reply, status.StatusReply), reply
        for name, value in reply.counters.items():
            total[name] += int(value)
    return total


def _vm_list_bytes(site: control_site.Site) -> int:
    answer = urllib3.request('GET', f'http://{site.vm_list.address}/v1/vms')
    return len(answer.data)
