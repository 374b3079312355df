"""Simulates nodes that choose endpoints by old figures, without a network.

Each node knows its own requests, and those of all others as they were some
time before.
"""

import collections
import dataclasses
import heapq
import random
import statistics
import typing

from guavachute.decide.ingress.capacity import endpoint_capacity
from guavachute.decide.ingress.capacity import service_speed
from guavachute.decide.ingress import choice
from guavachute.domain import call
from guavachute.entry.capacity import learned
from guavachute import ids

PREFILL_TOKENS_PER_S = 157_000.0
TOKEN_S = 0.00355
EVENT_TOKENS = 10
CACHE_TOKENS = 536_451
FIGURES_EVERY_S = 1.0
"""Interval at which a node gets figures, which are up to 2 s old then."""

PLAIN_WORK_S = 0.09
OLD_REPORT_TTL_S = 0.6
OLD_MIN_TOKENS = 2_000
OLD_WEIGHT = 0.1
"""How the old rule measured the prefill speed of each engine."""
TOLD_NODES = 24
"""How many other nodes get a node's figures of slow endpoints at once."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of requests, with *subjects* shared parts of different use.

    :ivar shared: tokens of the part that others share
    :ivar prompt: tokens of the whole prompt; 0 for plain requests
    """

    per_s: float
    objective_s: float
    shared: int = 0
    prompt: int = 0
    events: int = 0
    subjects: int = 400


MODEL_KINDS = (
    Kind(82.1, 0.645, 5_382, 6_610, 38),
    Kind(61.1, 0.519, 198, 628, 29),
    Kind(193.0, 0.522, 568, 1_800, 2),
)
UNSHARED_KINDS = tuple(
    dataclasses.replace(kind, shared=0, subjects=0) for kind in MODEL_KINDS
)
PLAIN_KINDS = (Kind(117.7, 0.518),)


class SimulatedEndpoint:
    """An engine or a plain endpoint with slots and a queue.

    :ivar slowness: how long work takes, in proportion to the usual time
    :ivar reports_slowdown: whether its load reports have a fourth figure
    """

    def __init__(self, name: str, slots: int, slowness: float = 1.0) -> None:
        self.id = ids.EndpointId(name)
        self.slots = slots
        self.usual_slowness = slowness
        self.slowness = slowness
        self.reports_slowdown = True
        self.frozen_until_s = 0.0
        self.served = 0
        self.busy_s = 0.0
        self._slot_free_s = [0.0] * slots
        self._ends_s: list[float] = []
        self._prefill_free_s = 0.0
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0

    def serve(
        self, kind: Kind, subject: str, now_s: float
    ) -> tuple[float, float, int]:
        """When it sends the first and last byte, and tokens it read again."""
        start_s = max(now_s, self.frozen_until_s, self._slot_free_s[0])
        read = 0
        if kind.prompt:
            read = 0 if subject in self._cached else kind.shared
            self._cache(subject, kind.shared)
            tokens = read + kind.prompt - kind.shared
            prefill_s = tokens * self.slowness / PREFILL_TOKENS_PER_S
            self._prefill_free_s = first_s = (
                max(start_s, self._prefill_free_s) + prefill_s
            )
            event_s = EVENT_TOKENS * TOKEN_S * self.slowness
            first_s += event_s
            end_s = first_s + (kind.events - 1) * event_s
        else:
            first_s = end_s = start_s + PLAIN_WORK_S * self.slowness
        heapq.heapreplace(self._slot_free_s, end_s)
        heapq.heappush(self._ends_s, end_s)
        self.served += 1
        self.busy_s += end_s - start_s
        return first_s, end_s, read

    def load(self, now_s: float) -> int:
        """The requests that it runs or that wait there."""
        while self._ends_s and self._ends_s[0] <= now_s:
            heapq.heappop(self._ends_s)
        return len(self._ends_s)

    def _cache(self, subject: str, tokens: int) -> None:
        if subject not in self._cached:
            self._cached_tokens += tokens
        self._cached[subject] = tokens
        self._cached.move_to_end(subject)
        while self._cached_tokens > CACHE_TOKENS:
            self._cached_tokens -= self._cached.popitem(last=False)[1]


class SimulatedNode:
    """What one node knows: its own work, and old figures of all work."""

    def __init__(self, phase_s: float) -> None:
        self.next_figures_s = phase_s
        self.running: collections.Counter[str] = collections.Counter()
        self.waiting: collections.Counter[str] = collections.Counter()
        self.others_running: collections.Counter[str] = collections.Counter()
        self.others_waiting: collections.Counter[str] = collections.Counter()
        self.cached: dict[str, set[str]] = collections.defaultdict(set)
        self.reported: dict[str, tuple[int, int, float]] = {}
        speed = service_speed.ServiceSpeed()
        self.learned = collections.defaultdict[str, learned.Learned](
            lambda: learned.Learned(speed)
        )
        self.initial = learned.Learned(service_speed.ServiceSpeed())
        self.old_prefill_per_s = collections.defaultdict[str, float](
            lambda: choice.DEFAULT_PREFILL_TOKENS_PER_S
        )


@dataclasses.dataclass
class Result:
    """What the callers and the endpoints had.

    :ivar busiest: busy time of the busiest endpoint, divided by the mean
    :ivar read_again: share of shared tokens that were not in the cache
    """

    busiest: float
    mean_wait_s: float
    p99_wait_s: float
    late: float
    read_again: float

    def __str__(self) -> str:
        return (
            f'busiest/mean {self.busiest:.2f}, wait mean '
            f'{1000 * self.mean_wait_s:.0f} ms, 99% '
            f'{1000 * self.p99_wait_s:.0f} ms, late {100 * self.late:.1f}%, '
            f'read again {100 * self.read_again:.1f}%'
        )


class Simulation:
    """Nodes that send requests to endpoints for some seconds.

    :param learns: whether nodes use the present rules; otherwise those
        without random numbers and learned capacity
    """

    def __init__(
        self,
        nodes: int,
        endpoints: typing.Sequence[SimulatedEndpoint],
        kinds: typing.Sequence[Kind],
        load: float,
        learns: bool,
        seed: int = 0,
    ) -> None:
        # The callers' requests are the same whatever the nodes draw.
        self._random = random.Random(f'callers {nodes} {seed}')
        self._draws = random.Random(seed)
        self._nodes = [
            SimulatedNode(self._random.uniform(0, FIGURES_EVERY_S))
            for _ in range(nodes)
        ]
        self.endpoints = endpoints
        self._kinds = kinds
        self._load = load
        self._learns = learns
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = 0
        self._history: collections.deque[
            tuple[float, collections.Counter[str], collections.Counter[str]]
        ] = collections.deque(maxlen=40)
        self.on_step: typing.Callable[[float], None] = lambda now_s: None
        """Called every 50 ms; changes the endpoints."""

    def run(self, duration_s: float, warm_s: float = 3.0) -> Result:
        """Send requests; those of the first *warm_s* don't count."""
        waits: list[tuple[Kind, float]] = []
        read = shared = 0
        arrivals = self._arrivals(duration_s)
        next_step_s = 0.0
        for now_s, kind in arrivals:
            while next_step_s <= now_s:
                self._advance(next_step_s)
                next_step_s += 0.05
            self._run_events(now_s)
            node = self._random.choice(self._nodes)
            subject = self._subject(kind)
            first_s, reread = self._send(node, kind, subject, now_s)
            if now_s >= warm_s:
                waits.append((kind, first_s - now_s))
                read += reread
                shared += kind.shared
        busy = [item.busy_s for item in self.endpoints]
        ordered = sorted(wait for _, wait in waits)
        return Result(
            max(busy) / statistics.mean(busy),
            statistics.mean(ordered),
            ordered[int(0.99 * len(ordered))],
            sum(wait > kind.objective_s for kind, wait in waits) / len(waits),
            read / max(1, shared),
        )

    def _arrivals(self, duration_s: float) -> list[tuple[float, Kind]]:
        found = []
        for kind in self._kinds:
            now_s = 0.0
            while now_s < duration_s:
                now_s += self._random.expovariate(self._load * kind.per_s)
                found.append((now_s, kind))
        return sorted(found, key=lambda item: item[0])

    def _subject(self, kind: Kind) -> str:
        number = int(kind.subjects * self._random.random() ** 2)
        return f'{kind.prompt}/{number}'

    def _advance(self, now_s: float) -> None:
        self._run_events(now_s)
        self.on_step(now_s)
        running: collections.Counter[str] = collections.Counter()
        waiting: collections.Counter[str] = collections.Counter()
        for node in self._nodes:
            running.update(node.running)
            waiting.update(node.waiting)
        self._history.append((now_s, running, waiting))
        for node in self._nodes:
            if node.next_figures_s <= now_s:
                node.next_figures_s += FIGURES_EVERY_S
                age_s = self._draws.uniform(0, 2)
                _, running, waiting = next(
                    item for item in self._history if item[0] >= now_s - age_s
                )
                node.others_running = running - node.running
                node.others_waiting = waiting - node.waiting
                self._tell(node, now_s)

    def _tell(self, node: SimulatedNode, now_s: float) -> None:
        """Send the figures of *node* to some others."""
        told = learned.told_figures(node.learned, now_s)
        for other in self._draws.sample(
            self._nodes, min(TOLD_NODES, len(self._nodes))
        ):
            if other is not node:
                for name, item in told.items():
                    other.learned[name].merge_told(str(id(node)), item, now_s)

    def _run_events(self, now_s: float) -> None:
        while self._events and self._events[0][0] <= now_s:
            heapq.heappop(self._events)[2]()

    def _at(self, at_s: float, run: typing.Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_s, self._sequence, run))

    def _candidate(
        self,
        node: SimulatedNode,
        item: SimulatedEndpoint,
        subject: str,
        kind: Kind,
        now_s: float,
    ) -> choice.Candidate:
        known = node.learned[item.id] if self._learns else node.initial
        own = node.running[item.id]
        running: float = own + node.others_running[item.id]
        reported, own_then, at_s = node.reported.get(item.id, (0, 0, -99.0))
        if self._learns:
            running = endpoint_capacity.expected_requests(
                own + node.others_running[item.id],
                reported + max(0, own - own_then),
                now_s - at_s,
                item.slots,
            )
        elif now_s - at_s <= OLD_REPORT_TTL_S:
            running = max(running, reported)
        slowdown, limit = known.figures(now_s)
        return choice.Candidate(
            id=item.id,
            nearness=choice.Nearness.SAME_REGION,
            slots=item.slots,
            running=running,
            waiting_tokens=node.waiting[item.id]
            + node.others_waiting[item.id],
            cached_tokens=kind.shared
            if subject in node.cached[item.id]
            else 0,
            prefill_tokens_per_s=known.service.prefill_tokens_per_s
            if self._learns
            else node.old_prefill_per_s[item.id],
            is_doubtful=False,
            slowdown=slowdown,
            limit=item.slots * limit,
            step_s=known.service.step_s,
            slot_wait_s=known.service.usual().slot_wait_s(item.slots),
        )

    def _send(
        self, node: SimulatedNode, kind: Kind, subject: str, now_s: float
    ) -> tuple[float, int]:
        candidates = [
            self._candidate(node, item, subject, kind, now_s)
            for item in self.endpoints
        ]
        draw = self._draws.random if self._learns else None
        if kind.prompt:
            parts = [
                call.PromptPart(subject, kind.shared),
                call.PromptPart('own', kind.prompt - kind.shared),
            ]
            if not kind.subjects:
                parts.clear()
            chosen = choice.choose_engine(
                candidates, kind.prompt, parts, kind.objective_s, draw
            )
        else:
            chosen = choice.choose_plain(candidates, draw)
        assert chosen is not None
        name = chosen.endpoint
        endpoint = next(i for i in self.endpoints if i.id == name)
        tokens = kind.prompt - (
            kind.shared if subject in node.cached[name] else 0
        )
        node.cached[name].add(subject)
        node.running[name] += 1
        node.waiting[name] += tokens
        share = (1 + endpoint.load(now_s)) / endpoint.slots
        first_s, end_s, read = endpoint.serve(kind, subject, now_s)

        attempt = learned.Attempt(
            node.learned[name], chosen, lambda now_s: share, now_s
        )

        backlog = node.waiting[name]

        def handle_first() -> None:
            node.waiting[name] -= tokens
            if backlog >= OLD_MIN_TOKENS:
                speed = min(500_000.0, backlog / (first_s - now_s))
                node.old_prefill_per_s[name] += OLD_WEIGHT * (
                    speed - node.old_prefill_per_s[name]
                )
            node.reported[name] = (
                endpoint.load(first_s),
                node.running[name],
                first_s,
            )
            if endpoint.reports_slowdown:
                node.learned[name].record_report(
                    endpoint.slowness / endpoint.usual_slowness, first_s
                )
            if kind.prompt:
                attempt.handle_event(first_s)

        def handle_end() -> None:
            node.running[name] -= 1
            attempt.handle_success(kind.events, 0, endpoint.slots, end_s)
            attempt.handle_released()

        self._at(first_s, handle_first)
        self._at(end_s, handle_end)
        return first_s, read


def engines(count: int) -> list[SimulatedEndpoint]:
    """Engines, every third of which takes 1.3 times as long."""
    return [
        SimulatedEndpoint(f'e{number:02}', 12, 1.3 if number % 3 == 0 else 1.0)
        for number in range(count)
    ]
