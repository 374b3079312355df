"""Nodes that share the quota of one workspace, with callers, in simulation.

The nodes report to each other as :mod:`guavachute.entry.peers` does it, so
that what one node knows of another is up to three seconds old.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from guavachute.decide.ingress.admission import pace
from guavachute.decide.ingress import quota
from guavachute.decide.nodes import rounds
from guavachute.domain import configuration
from guavachute.entry import peer_table
from guavachute.entry import region_sums
from guavachute import ids

TICK_S = 0.05
TICKS_PER_ROUND = round(rounds.PERIOD_S / TICK_S)
WINDOW_S = 8.0
OVERSHOOT = 0.1
ALLOWANCE = 140_000.0
RATE_PER_S = 200_000.0
SIZES = (200.0, 3_000.0, 12_000.0)
READERS = 2
START_S = 1.0
"""Time in which a process that starts serves nobody: importing its modules
alone takes half as long on a whole core, and it reads the store after that."""

WAITED_SHARE = 1 / 3
"""Callers wait for at most this share of their remaining time."""


def workspace(
    rate_per_s: float = RATE_PER_S, burst: float = RATE_PER_S
) -> configuration.Workspace:
    """A workspace with a quota in tokens."""
    return configuration.Workspace(
        name=ids.WorkspaceName('botany'),
        priority=None,
        rate_per_s=rate_per_s,
        burst=burst,
        counts_tokens=True,
        default_cost=200.0,
    )


def bound(limited: configuration.Workspace) -> float:
    """What all nodes may admit in a window."""
    in_window = limited.rate_per_s * WINDOW_S + limited.burst
    return in_window * (1 + OVERSHOOT) + ALLOWANCE


@dataclasses.dataclass(slots=True)
class Client:
    """A caller's request; it is sent again once."""

    cost: float
    expires_s: float
    is_retry: bool = False


class Node:
    """One node with its quotas and what it heard of the others."""

    def __init__(
        self, name: str, region: str, now_s: float, draw: quota.Draw
    ) -> None:
        self.name = name
        self.region = region
        self.started_s = now_s
        self.quotas = quota.Quotas(ALLOWANCE, now_s, draw)
        self.sums = region_sums.ConsumptionSums()
        self.spent: dict[str, tuple[float, float, float]] = {}
        self.queued: dict[str, float] = {}
        self.asked: dict[str, dict] = {}
        self.heard_s: dict[str, float] = {}
        self.rates: dict[str, dict] = {}
        self.regions: dict[str, dict[str, tuple[float, dict, dict, float]]] = (
            collections.defaultdict(dict)
        )

    @property
    def run(self) -> str:
        """The name of this run of the node."""
        return f'{self.name}/{self.started_s}'


class Cluster:
    """All nodes of a deployment, and the clients of one workspace."""

    def __init__(self, nodes: int, regions: int = 2, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.workspace = workspace()
        self.names = [
            (f'n{place:03}', f'r{place % regions}') for place in range(nodes)
        ]
        self.cut: set[str] = set()
        """Regions whose updates don't reach the others."""
        self.has_kinds = True
        self.used_nodes = nodes
        self.now_s = 100.0
        self.turn = 0
        self.admitted: list[tuple[float, float]] = []
        self.offered: collections.Counter[float] = collections.Counter()
        self.served: collections.Counter[float] = collections.Counter()
        self.returned_after_s: list[float] = []
        self._order = itertools.count()
        self._retries: list[tuple[float, int, Client]] = []
        self.start_all()

    def start_all(self) -> None:
        """Start all nodes together, without any state."""
        self.turn = 0
        self.ready_s = self.now_s + START_S
        self.nodes = [
            Node(name, region, self.now_s, self.random.random)
            for name, region in self.names
        ]
        self.by_region: dict[str, list[Node]] = collections.defaultdict(list)
        for node in self.nodes:
            self.by_region[node.region].append(node)
        for node in self.nodes:
            self._set_peers(node, rounds.are_few(len(self.nodes)))

    def restart(self, node: Node) -> Node:
        """Let *node* die, and start it again without state."""
        new = Node(node.name, node.region, self.now_s, self.random.random)
        local = self.by_region[node.region]
        local[local.index(node)] = new
        self.nodes[self.nodes.index(node)] = new
        self._set_peers(new, rounds.are_few(len(self.nodes)))
        return new

    def run(
        self, duration_s: float, times: float, timeout_s: float = 6.0
    ) -> None:
        """Send *times* the rate for a while, in equal numbers by size."""
        per_tick = times * self.workspace.rate_per_s * TICK_S * len(SIZES)
        per_tick /= sum(SIZES)
        end_s = self.now_s + duration_s
        pending = 0.0
        while self.now_s < end_s - TICK_S / 2:
            self.now_s += TICK_S
            self._exchange()
            while self._retries and self._retries[0][0] <= self.now_s:
                self._request(heapq.heappop(self._retries)[2])
            pending += self.random.expovariate(1.0) * per_tick
            for _ in range(int(pending)):
                cost = self.random.choice(SIZES)
                self.offered[cost] += 1
                self._request(Client(cost, self.now_s + timeout_s))
            pending -= int(pending)

    def most_in_window(self, from_s: float = 0.0) -> float:
        """The largest amount that was admitted in any window."""
        return max(self.windows(from_s), default=0.0)

    def windows(self, from_s: float = 0.0) -> list[float]:
        """The amount in the window that begins with each admission."""
        items = [item for item in self.admitted if item[0] >= from_s]
        found = []
        total, end = 0.0, 0
        for start_s, cost in items:
            while end < len(items) and items[end][0] < start_s + WINDOW_S:
                total += items[end][1]
                end += 1
            found.append(total)
            total -= cost
        return found

    def served_share(self) -> dict[float, float]:
        """The share of the clients that were served, by size."""
        return {
            cost: self.served[cost] / max(1, self.offered[cost])
            for cost in SIZES
        }

    def _request(self, client: Client) -> None:
        if self.now_s < self.ready_s:
            return
        node = self.random.choice(self.nodes[: self.used_nodes])
        honoured_s = (client.expires_s - self.now_s) * WAITED_SHARE
        ask = pace.Ask(
            client.cost,
            kind=str(client.cost) if self.has_kinds else '',
            awaited_s=honoured_s,
        )
        wait_s = node.quotas.request(self.workspace, ask, self.now_s)
        if not wait_s:
            self.admitted.append((self.now_s, client.cost))
            self.served[client.cost] += 1
            return
        self.returned_after_s.append(wait_s)
        if not client.is_retry:
            client.is_retry = True
            at_s = self.now_s + min(wait_s, honoured_s)
            heapq.heappush(self._retries, (at_s, next(self._order), client))

    # -- updates between the nodes --------------------------------------

    def _exchange(self) -> None:
        self.turn += 1
        are_few = rounds.are_few(len(self.nodes))
        for place, node in enumerate(self.nodes):
            if place % TICKS_PER_ROUND != self.turn % TICKS_PER_ROUND:
                continue
            turn = self.turn // TICKS_PER_ROUND + 1
            node.spent = dict(node.quotas.consumption(self.now_s))
            node.queued = node.quotas.queued(self.now_s)
            if are_few:
                self._send_to_few(node, turn)
            else:
                self._send_to_many(node, turn)
            if turn % 2:
                self._set_peers(node, are_few)

    def _send_to_few(self, node: Node, turn: int) -> None:
        for other in self.nodes:
            is_local = other.region == node.region
            if other is not node and (
                is_local or turn % rounds.REMOTE_EVERY == 0
            ):
                self._deliver(node, other)

    def _send_to_many(self, node: Node, turn: int) -> None:
        local = self.by_region[node.region]
        others = [other for other in local if other is not node]
        readers = local[:READERS]
        to = rounds.recipients(others, turn)
        to += [item for item in readers if item not in to and item != node]
        for other in to:
            self._deliver(node, other)
            if node in readers:
                for region, sent in node.regions.items():
                    for reader, (at_s, spent, queued, age_s) in sent.items():
                        if at_s >= self.now_s - 10.0:
                            update = (at_s, spent, queued, age_s)
                            self._deliver_region(region, reader, update, other)
        if node in readers and rounds.is_remote_due(
            turn, rounds.REMOTE_READERS_EVERY
        ):
            node.sums.record('own', node.spent, True)
            sums = node.sums.sums(node.spent, list(node.rates.values()))
            queued = region_sums.sum_queued(
                [node.queued, *node.asked.values()]
            )
            for region, members in self.by_region.items():
                if region != node.region and node.region not in self.cut:
                    for other in members[:READERS]:
                        update = (
                            self.now_s,
                            sums,
                            queued,
                            self.now_s - node.started_s,
                        )
                        self._deliver_region(
                            node.region, node.name, update, other
                        )

    def _deliver(self, node: Node, other: Node) -> None:
        if node.region in self.cut and node.region != other.region:
            return
        other.heard_s[node.run] = self.now_s
        other.rates[node.run] = node.spent
        other.asked[node.run] = node.queued
        other.quotas.merge_queued(node.name, 1, node.queued, self.now_s)
        age_s = self.now_s - node.started_s
        own_age_s = self.now_s - other.started_s
        is_no_older = age_s <= own_age_s + quota.STARTUP_WINDOW_S
        other.sums.record(node.run, node.spent, is_no_older)
        self._merge(other, quota.Source(node.run, node.run), node.spent, age_s)

    def _deliver_region(
        self,
        region: str,
        reader: str,
        update: tuple[float, dict, dict, float],
        other: Node,
    ) -> None:
        at_s, spent, queued, age_s = update
        before = other.regions[region].get(reader)
        if before is not None and before[0] >= at_s:
            return
        other.regions[region][reader] = update
        if reader == min(other.regions[region]):
            age_s += self.now_s - at_s
            own_age_s = self.now_s - other.started_s
            is_younger = age_s < own_age_s - quota.STARTUP_WINDOW_S
            self._merge(
                other,
                quota.Source(f'{region}:{reader}', region),
                spent,
                math.inf if is_younger else age_s,
            )
            nodes = len(self.by_region[region])
            other.quotas.merge_queued(region, nodes, queued, self.now_s)

    def _merge(
        self, node: Node, source: quota.Source, spent: dict, age_s: float
    ) -> None:
        item = spent.get(self.workspace.name)
        if item is not None:
            node.quotas.merge(
                source,
                self.workspace,
                quota.Consumption(*item),
                age_s,
                self.now_s,
            )

    def _set_peers(self, node: Node, are_few: bool) -> None:
        local = self.nodes if are_few else self.by_region[node.region]
        extra_s = (
            0.0
            if are_few
            else 2
            * (
                rounds.round_s(len(self.nodes), len(local) - 1)
                - rounds.PERIOD_S
            )
        )
        oldest_s = self.now_s - quota.RESERVED_AFTER_S - extra_s
        runs: dict[str, int] = {}
        silent = set()
        for other in local:
            if other is node:
                continue
            at_s = node.heard_s.get(other.run)
            run = other.name if at_s is None else other.run
            runs[run] = 1
            if at_s is None or at_s < oldest_s:
                silent.add(run)
        if not are_few:
            for region, members in self.by_region.items():
                if region == node.region:
                    continue
                sent = node.regions.get(region)
                run = region
                if sent:
                    run = f'{region}:{min(sent)}'
                runs[run] = len(members)
                at_s = sent[min(sent)][0] if sent else -math.inf
                if at_s < self.now_s - peer_table.REGION_SILENT_S:
                    silent.add(run)
        node.quotas.set_peers(quota.PeerRuns(runs, silent), self.now_s)
