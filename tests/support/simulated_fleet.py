"""A fleet of entry nodes, their store and endpoints' entries, simulated."""

import dataclasses
import typing

import msgspec

from guavachute.entry import node as entry_node
from guavachute import ids
from guavachute.standin.platform import store as standin_store
from tests.support import platform_site
from tests.support import simulated

SERVICE = ids.ServiceName(platform_site.PLAIN_SERVICE)
BEAT_S = 1.2
"""Endpoints renew their entries this often."""

CONTACT_S = 5.0
"""A node's disruption excuses it for this long after its end."""

RESTART_S = 1.0
SLOW_START_S = 0.6
"""How long the first answers to a process that starts are on their way, at
most: it has much to read, and its machine has little processor time."""

SEEDS = 6
"""How many nodes each one is told at its start."""

MAX_TRANSIT_S = 0.02
"""How long a request is on its way to an endpoint, at most."""


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """A node, or its place while it is down.

    :ivar disturbed_s: when its latest disruption ended, or will end
    """

    number: int
    ip: str
    region: str
    loop: simulated.Loop | None = None
    node: entry_node.Node | None = None
    disturbed_s: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Entry:
    """An endpoint's entry in the store.

    :ivar left_s: when the store acknowledged that it leaves; None before
    :ivar is_deleted: whether its entry was deleted then
    """

    name: str
    number: int
    writes: int = 0
    left_s: float | None = None
    is_deleted: bool = False


class LateUse(typing.NamedTuple):
    """A node would use an endpoint that has left too long ago."""

    node: ids.NodeId
    endpoint: str
    age_s: float
    entries_age_s: float


class Fleet:
    """Nodes in two regions, which know each other by the store and seeds.

    :ivar late: what was found by :meth:`check`
    :param seeds: numbers of the nodes that all are told at their start; each
        is told some by chance if there are none
    :param cloud: address of the cloud's API; None if there is none
    :param bounds: replace bounds of the settings
    """

    def __init__(
        self,
        network: simulated.Network,
        nodes: int,
        endpoints: int,
        drain_s: float = 4.0,
        seeds: typing.Sequence[int] = (),
        cloud: ids.Address | None = None,
        bounds: typing.Mapping[str, float] | None = None,
    ) -> None:
        self.network = network
        self._seeds = seeds
        self._cloud = cloud
        self._bounds = {'drain_s': drain_s, **(bounds or {})}
        self.drain_s = drain_s
        self.store_loop = simulated.Loop(network)
        self.store = standin_store.Store(self.store_loop)
        self.store.put(
            standin_store.OPERATOR_TOPIC,
            'config',
            platform_site.configuration(1),
        )
        self.members = [
            Member(
                number,
                f'10.{1 + number % 2}.{number // 200}.{1 + number % 200}',
                ('here', 'there')[number % 2],
            )
            for number in range(nodes)
        ]
        self.entries: list[Entry] = []
        self.late: list[LateUse] = []
        for _ in range(endpoints):
            self.add_endpoint()
        for member in self.members:
            self.start(member)

    # -- nodes -----------------------------------------------------------

    def start(self, member: Member) -> None:
        """Start the process of a node."""
        seeds = [self.members[number] for number in self._seeds]
        if not seeds:
            seeds = self.network.random.sample(
                self.members, min(SEEDS, len(self.members))
            )
        site = platform_site.node_settings(
            f'edge-{member.number}',
            member.ip,
            self.store.address,
            self._cloud,
            7_600,
            domain=ids.FailureDomain(f'{member.region}-a'),
            region=ids.Region(member.region),
            region_of={
                ids.FailureDomain(f'{region}-a'): ids.Region(region)
                for region in ('here', 'there')
            },
            bounds=self._bounds,
            seeds=tuple(ids.Address(f'{seed.ip}:7600') for seed in seeds),
        )
        member.loop = loop = simulated.Loop(self.network)
        member.node = entry_node.Node(loop, site)
        member.node.start()
        self.network.slow_s[loop] = SLOW_START_S
        self.network.schedule(
            self.network.now_s + 2 * SLOW_START_S,
            lambda: self.network.slow_s.pop(loop, None),
        )
        self._disturb(member, 0.0)

    def kill(self, member: Member) -> None:
        """Kill the process of a node; it starts again soon."""
        if member.node is None or member.loop is None:
            return
        member.node.close()
        member.loop.end()
        member.node = member.loop = None
        self._disturb(member, 2 * RESTART_S)
        delay_s = RESTART_S * (0.5 + self.network.random.random())
        self.network.schedule(
            self.network.now_s + delay_s, lambda: self.start(member)
        )

    def freeze(self, member: Member, duration_s: float) -> None:
        """Stop a node's process for a while."""
        if member.loop is not None:
            member.loop.frozen_until_s = self.network.now_s + duration_s
            self._disturb(member, duration_s)

    def cut_from_store(self, member: Member, duration_s: float) -> None:
        """Drop all packets between a node and the store for a while."""
        if member.loop is None:
            return
        pair = frozenset((member.loop, self.store_loop))
        self.network.cut.add(pair)
        self._disturb(member, duration_s)
        self.network.schedule(
            self.network.now_s + duration_s,
            lambda: self.network.cut.discard(pair),
        )

    def fill_link(
        self, member: Member, wait_s: float, duration_s: float
    ) -> None:
        """Let datagrams to a node wait, up to *wait_s*, for a while."""
        loop = member.loop
        if loop is None:
            return
        self.network.queued_s[loop] = wait_s
        self.network.schedule(
            self.network.now_s + duration_s,
            lambda: self.network.queued_s.pop(loop, None),
        )

    def running(self) -> list[tuple[Member, entry_node.Node]]:
        """The nodes whose processes run, and their places."""
        return [
            (member, member.node)
            for member in self.members
            if member.node is not None
        ]

    def readers(self) -> list[Member]:
        """The nodes that read the store closely."""
        return [member for member, node in self.running() if node._is_reader]

    def some(self, share: float) -> list[Member]:
        """Some of the nodes, at least one."""
        count = max(1, round(share * len(self.members)))
        return self.network.random.sample(self.members, count)

    def later(self, within_s: float, act: typing.Callable[[], object]) -> None:
        """Call *act* at some time within *within_s*."""
        self.network.schedule(
            self.network.now_s + within_s * self.network.random.random(), act
        )

    def _disturb(self, member: Member, duration_s: float) -> None:
        member.disturbed_s = max(
            member.disturbed_s, self.network.now_s + duration_s
        )

    # -- endpoints -------------------------------------------------------

    def add_endpoint(self) -> None:
        """Add an endpoint, which renews its entry."""
        number = len(self.entries)
        entry = Entry(f'i-{number}', number)
        self.entries.append(entry)
        self._write(entry)
        self._schedule_renewal(entry)

    def leave(self, entry: Entry, is_deleted: bool) -> None:
        """Write that an endpoint leaves; the store acknowledges it now.

        :param is_deleted: whether its entry is deleted, rather than replaced
        """
        if entry.left_s is None:
            entry.left_s = self.network.now_s
            entry.is_deleted = is_deleted
            self._write(entry)

    def leave_some(self, share: float, within_s: float) -> None:
        """Some of the endpoints leave within a moment.

        Half of them delete their entries.
        """
        present = [item for item in self.entries if item.left_s is None]
        count = round(share * len(present))
        chosen = self.network.random.sample(present, count)
        for number, entry in enumerate(chosen):
            self.later(
                within_s,
                lambda entry=entry, number=number: self.leave(
                    entry, bool(number % 2)
                ),
            )

    def _schedule_renewal(self, entry: Entry) -> None:
        delay_s = BEAT_S * (0.8 + 0.4 * self.network.random.random())

        def renew() -> None:
            if not entry.is_deleted:
                self._write(entry)
                self._schedule_renewal(entry)

        self.network.schedule(self.network.now_s + delay_s, renew)

    def _write(self, entry: Entry) -> None:
        if entry.is_deleted:
            self.store.put(standin_store.ENDPOINTS_TOPIC, entry.name, None)
            return
        entry.writes += 1
        number = entry.number
        self.store.put(
            standin_store.ENDPOINTS_TOPIC,
            entry.name,
            msgspec.json.encode({
                'service': SERVICE,
                'address': f'10.9.{number // 200}.{1 + number % 200}:8000',
                'zone': ('here-a', 'there-a')[number % 2],
                'version': 'v1',
                'slots': 8,
                'state': 'ready' if entry.left_s is None else 'draining',
                'sequence': entry.writes,
                'born': 1,
            }),
        )  # fmt: skip

    # -- the rule ----------------------------------------------------------

    def check(self) -> None:
        """Look for nodes that would use an endpoint that has left."""
        now_s = self.network.now_s
        old = {
            entry.name: now_s - entry.left_s
            for entry in self.entries
            if entry.left_s is not None
            and now_s + MAX_TRANSIT_S > entry.left_s + self.drain_s
        }
        for member, node in self.running():
            if now_s < member.disturbed_s + CONTACT_S:
                continue
            for record in node.registry.usable(SERVICE, (), now_s):
                if record.entry.id in old:
                    self.late.append(
                        LateUse(
                            node.site.node,
                            record.entry.id,
                            round(old[record.entry.id], 3),
                            round(node.registry.entries_age_s(), 3),
                        )
                    )

    def play(self, duration_s: float, check_s: float = 0.05) -> None:
        """Play for a while, and check all the time."""
        end_s = self.network.now_s + duration_s
        while self.network.now_s < end_s:
            self.network.run_for(check_s)
            self.check()
