"""News between the entry nodes, by datagrams, and state by request."""

import os
import random
import socket
import time
import typing

import msgspec

from guavachute.decide.nodes import addresses
from guavachute.decide.nodes import clock as agreed_clock
from guavachute.decide.nodes import counting
from guavachute.decide.nodes import rounds
from guavachute.domain import site as domain_site
from guavachute.entry import control_client
from guavachute.entry import endpoint_book
from guavachute.entry import loop as entry_loop
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.wire import entry_news

SILENT_AFTER_S = 2.0
"""A node that was not heard for this long counts as silent; longer, as
far as nodes are told in turns."""

REGION_SILENT_S = 3.0
"""A region whose readers were not heard for this long is silent."""

CLOCK_CHECK_S = 0.1
"""How often the nodes' clocks are compared."""

FORGET_AFTER_S = 120.0
"""A node that has no entry in the store and was not heard for this long
is forgotten."""

MAX_DATAGRAM_BYTES = 65_000
STATE_PATH = '/state'
STATE_TIMEOUT_S = 1.0

DEMAND_KEPT_S = 10.0
"""What a silent node's callers asked for still counts for so long."""


_NO_WORK = endpoint_book.Work()


class Peer:
    """Another node, by its latest news.

    :ivar is_listed: whether it has an entry in the store
    :ivar counted_work: its work as it is counted in the sums
    """

    def __init__(self, address: ids.Address, region: str) -> None:
        self.address = address
        self.region = region
        self.news: entry_news.NodeNews | None = None
        self.heard_s = float('-inf')
        self.added_s = 0.0
        self.is_listed = False
        self.counted_work: typing.Mapping[str, entry_news.WorkNews] = {}


class _Region(typing.NamedTuple):
    """What a reader of another region said, and when."""

    news: entry_news.RegionNews
    heard_s: float


def source(news: entry_news.NodeNews) -> str:
    """The name of one run of one node."""
    return f'{news.node}/{news.run}'


def region_source(news: entry_news.RegionNews) -> str:
    """The name of what one run of a reader adds up."""
    return f'{news.region}:{news.node}/{news.run}'


class Owner(typing.Protocol):
    """What the peers need of the process."""

    def describe(self, run: int, sequence: int) -> entry_news.NodeNews:
        """This node's news of the moment."""

    def describe_region(
        self, run: int, sequence: int, readers: list[str]
    ) -> entry_news.RegionNews:
        """What this node adds up of its region."""

    def told(self, news: entry_news.NodeNews) -> None:
        """Another node told its news."""

    def told_of_region(self, news: entry_news.RegionNews) -> None:
        """A reader of another region told its sums."""


class Peers:
    """The other entry nodes.

    :ivar is_reader: whether this node reads the store closely; readers
        are told more, and add up their region for the others
    """

    def __init__(
        self, loop: entry_loop.Loop, site: domain_site.Site, owner: Owner
    ) -> None:
        self._loop = loop
        self._site = site
        self._owner = owner
        self.run = random.SystemRandom().getrandbits(62)
        self.address = ids.Address(f'{site.ip}:{site.listen.peers_port}')
        self.is_reader = True
        self._sequence = 0
        self._turn = 0
        self._is_closed = False
        self._peers: dict[str, Peer] = {}
        self._regions: dict[str, dict[str, _Region]] = {}
        self._work: dict[str, endpoint_book.Work] = {}
        self._seeds: list[ids.Address] = []
        self._clients: dict[ids.Address, control_client.Client] = {}
        self._offset_s = 0.0
        self._offset_read_s = float('-inf')
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((site.ip, site.listen.peers_port))
        self._socket.setblocking(False)
        loop.watch(self._socket, entry_loop.READ, self._receive)

    def start(self, seeds: typing.Sequence[ids.Address]) -> None:
        """Begin to send news; *seeds* get it until nodes are known."""
        self._seeds = [seed for seed in seeds if seed != self.address]
        self._loop.call_after(0.0, self._tick)

    def close(self) -> None:
        """Send and hear no more."""
        self._is_closed = True
        self._loop.unwatch(self._socket)
        self._socket.close()
        for client in self._clients.values():
            client.close()

    def learn(self, record: entry_news.NodeRecord) -> None:
        """A node has an entry in the store."""
        if record.node != self._site.node:
            address = ids.Address(record.peers_address)
            peer = self._peer(record.node, address, record.region)
            peer.is_listed = True

    def unlearn(self, node: str) -> None:
        """A node's entry in the store is gone."""
        peer = self._peers.pop(node, None)
        if peer is not None:
            self._count_work(peer, {})

    def heard(self, within_s: float = SILENT_AFTER_S) -> list[Peer]:
        """The nodes that told their news of late.

        :param within_s: for nodes that are told at each turn; longer,
            as far as they are told less often
        """
        oldest_s = self._loop.now_s - within_s - self.late_s
        return [
            peer
            for peer in self._peers.values()
            if peer.news is not None and peer.heard_s >= oldest_s
        ]

    @property
    def late_s(self) -> float:
        """How much longer than with few nodes news may take to come."""
        round_s = rounds.round_s(len(self._peers), len(self._near()))
        return 2 * (round_s - rounds.PERIOD_S)

    @property
    def count(self) -> int:
        """Nodes that count as serving callers, with this one."""
        return 1 + sum(self.counted_runs()[0].values())

    def counted_runs(
        self, silent_after_s: float = SILENT_AFTER_S
    ) -> tuple[dict[str, int], set[str]]:
        """The sources that count, by their nodes, and the silent ones.

        A node that was never heard goes by its name alone.
        """
        runs: dict[str, int] = {}
        silent = set()
        oldest_s = self._loop.now_s - silent_after_s - self.late_s
        for node in self._counted():
            peer = self._peers[node]
            run = node if peer.news is None else source(peer.news)
            runs[run] = 1
            if peer.heard_s < oldest_s:
                silent.add(run)
        if not self._are_few:
            for region, nodes in self._far_nodes().items():
                chosen = self._region(region)
                if chosen is None:
                    runs[region] = nodes
                    silent.add(region)
                    continue
                run = region_source(chosen.news)
                runs[run] = max(1, chosen.news.nodes)
                if chosen.heard_s < self._loop.now_s - REGION_SILENT_S:
                    silent.add(run)
        return runs, silent

    def near_heard(self) -> int:
        """How many nodes this region has, with this one."""
        return 1 + len([peer for peer in self.heard() if self._is_near(peer)])

    def ended(self, silent_s: float) -> list[str]:
        """Nodes of this region with an entry that have surely ended."""
        oldest_s = self._loop.now_s - silent_s
        near = {
            node: max(peer.heard_s, peer.added_s)
            for node, peer in self._peers.items()
            if self._is_near(peer)
        }
        counted = counting.counted(near, self._loop.now_s)
        return [
            node
            for node, last_s in near.items()
            if node not in counted
            and last_s < oldest_s
            and self._peers[node].is_listed
        ]

    def regions(self) -> list[tuple[entry_news.RegionNews, float]]:
        """The latest sums of each other region, and when they came."""
        chosen = [self._region(region) for region in self._regions]
        oldest_s = self._loop.now_s - DEMAND_KEPT_S
        return [
            (item.news, item.heard_s)
            for item in chosen
            if item is not None and item.heard_s >= oldest_s
        ]

    def load_of(self, service: ids.ServiceName) -> list[entry_news.LoadNews]:
        """What the other nodes' callers ask of a service."""
        loads: list[typing.Mapping[ids.ServiceName, entry_news.LoadNews]] = [
            peer.news.load
            for peer in self.heard(DEMAND_KEPT_S)
            if peer.news is not None
        ]
        loads += [news.load for news, _ in self.regions()]
        return [load[service] for load in loads if service in load]

    def work_at(self, endpoint: ids.EndpointId) -> endpoint_book.Work:
        """The other nodes' work at an endpoint."""
        return self._work.get(endpoint, _NO_WORK)

    def candidates(self) -> list[addresses.Candidate]:
        """The other nodes, for callers that ask for addresses."""
        late_s = self.late_s
        found = [
            addresses.Candidate(
                address=ids.Address(peer.news.callers_address),
                domain=ids.FailureDomain(peer.news.domain),
                region=ids.Region(peer.news.region),
                is_ready=peer.news.is_ready,
                heard_s=peer.heard_s + late_s,
            )
            for peer in self._peers.values()
            if peer.news is not None
        ]
        for news, heard_s in self.regions():
            found += [
                addresses.Candidate(
                    address=ids.Address(address),
                    domain=ids.FailureDomain(domain),
                    region=ids.Region(news.region),
                    is_ready=True,
                    heard_s=heard_s + late_s,
                )
                for address, domain in news.ready
            ]
        return found

    def true_time_s(self) -> float:
        """The time of day that most nodes' clocks agree on."""
        return self._loop.now_s + self.true_offset_s()

    def true_offset_s(self) -> float:
        """What to add to the loop's time for the time of day."""
        now_s = self._loop.now_s
        if now_s - self._offset_read_s < CLOCK_CHECK_S:
            return self._offset_s
        readings = [
            agreed_clock.Reading(peer.news.wall_s - peer.heard_s, peer.heard_s)
            for peer in self._peers.values()
            if peer.news is not None
        ]
        own_offset_s = time.time() - now_s
        self._offset_read_s = now_s
        self._offset_s = agreed_clock.agreed_offset_s(
            own_offset_s, readings, now_s
        )
        return self._offset_s

    def tell(self) -> None:
        """Send news to every node of the region now, and to few beyond."""
        if self._are_few:
            self._send_news(list(self._peers.values()))
        else:
            self._send_news(self._near())

    def fetch_state(
        self,
        peer: Peer,
        configuration_version: int,
        endpoints_version: ids.Offset,
        done: typing.Callable[[entry_news.SharedState | None], None],
    ) -> None:
        """Ask *peer* what it has read beyond these versions."""

        def got(reply: control_client.Reply | control_client.Lost) -> None:
            if isinstance(reply, control_client.Lost) or reply.status != 200:
                journal.event(
                    'peer-state', outcome='no-answer', peer=peer.address
                )
                done(None)
                return
            state = entry_news.decode_state(reply.body)
            if isinstance(state, outcome.Failure):
                journal.problem(
                    'peer-state', outcome='unreadable', reason=str(state)
                )
                done(None)
                return
            done(state)

        client = self._clients.get(peer.address)
        if client is None:
            client = control_client.Client(self._loop, peer.address)
            self._clients[peer.address] = client
        query = f'?c={configuration_version}&e={endpoints_version}'
        target = (STATE_PATH + query).encode()
        client.call(b'GET', target, got, STATE_TIMEOUT_S)

    # -- who is known --------------------------------------------------

    @property
    def _are_few(self) -> bool:
        return rounds.are_few(1 + len(self._peers))

    def _is_near(self, peer: Peer) -> bool:
        return peer.region == self._site.region

    def _near(self) -> list[Peer]:
        return [peer for peer in self._peers.values() if self._is_near(peer)]

    def _far_nodes(self) -> dict[str, int]:
        """How many nodes of each other region are known by name."""
        counts: dict[str, int] = {}
        for peer in self._peers.values():
            if not self._is_near(peer):
                counts[peer.region] = counts.get(peer.region, 0) + 1
        return counts

    def _counted(self) -> set[str]:
        are_few = self._are_few
        return counting.counted(
            {
                node: max(peer.heard_s, peer.added_s)
                for node, peer in self._peers.items()
                if are_few or self._is_near(peer)
            },
            self._loop.now_s,
        )

    def _region(self, region: str) -> _Region | None:
        """One of a region's readers, the same as long as it is heard."""
        readers = self._regions.get(region, {})
        oldest_s = self._loop.now_s - REGION_SILENT_S
        heard = [
            node for node, item in readers.items() if item.heard_s >= oldest_s
        ]
        if heard:
            return readers[min(heard)]
        return max(
            readers.values(), key=lambda item: item.heard_s, default=None
        )

    def _peer(self, node: str, address: ids.Address, region: str) -> Peer:
        peer = self._peers.get(node)
        if peer is None or peer.address != address:
            if peer is not None:
                self._count_work(peer, {})
            peer = self._peers[node] = Peer(address, region)
            peer.added_s = self._loop.now_s
            journal.event('peer', outcome='known', peer=node, address=address)
        return peer

    def forget_endpoints(
        self, living: typing.Container[ids.EndpointId]
    ) -> None:
        """Drop the sums of endpoints that are gone and have no work."""
        for endpoint, work in list(self._work.items()):
            if endpoint not in living and not work.requests:
                del self._work[endpoint]

    def _forget_old(self) -> None:
        now_s = self._loop.now_s
        silent_s = now_s - SILENT_AFTER_S - self.late_s
        for node, peer in list(self._peers.items()):
            if peer.heard_s < silent_s and peer.counted_work:
                self._count_work(peer, {})
            last_s = max(peer.heard_s, peer.added_s)
            if not peer.is_listed and last_s < now_s - FORGET_AFTER_S:
                self.unlearn(node)

    def _count_work(
        self, peer: Peer, work: typing.Mapping[str, entry_news.WorkNews]
    ) -> None:
        """Replace what the sums hold of a node's work."""
        for endpoint, item in peer.counted_work.items():
            total = self._work.setdefault(endpoint, endpoint_book.Work())
            # The sums of an endpoint that was gone began anew.
            total.requests = max(0, total.requests - item.requests)
            total.waiting_tokens = max(
                0, total.waiting_tokens - item.waiting_tokens
            )
            total.failed = max(0.0, total.failed - item.failed_tenths / 10)
            total.answered = max(
                0.0, total.answered - item.answered_tenths / 10
            )
        for endpoint, item in work.items():
            total = self._work.setdefault(endpoint, endpoint_book.Work())
            total.requests += item.requests
            total.waiting_tokens += item.waiting_tokens
            total.failed += item.failed_tenths / 10
            total.answered += item.answered_tenths / 10
        peer.counted_work = work

    # -- sending -------------------------------------------------------

    def _tick(self) -> None:
        self._loop.call_after(rounds.PERIOD_S, self._tick)
        self._turn += 1
        self._forget_old()
        if self._are_few:
            self._send_news(
                [peer for peer in self._peers.values() if self._is_due(peer)]
            )
        else:
            told = rounds.in_turn(self._near(), self._turn)
            readers = [
                peer
                for peer in self.heard()
                if peer.news is not None
                and peer.news.is_reader
                and peer not in told
            ]
            self._send_news([*told, *readers])
            if self.is_reader and self._turn % rounds.REGIONS_EVERY == 0:
                self._tell_regions()
        if not self.heard():
            self._send_to(self._seeds, self._describe())

    def _is_due(self, peer: Peer) -> bool:
        is_silent = self._loop.now_s - peer.heard_s > SILENT_AFTER_S
        if self._is_near(peer) and not is_silent:
            return True
        return self._turn % rounds.FAR_EVERY == 0

    def _send_news(self, peers: typing.Sequence[Peer]) -> None:
        """Tell *peers*; those that add nothing up get less."""
        if not peers:
            return
        news = self._describe()
        readers = [
            peer
            for peer in peers
            if self._are_few or (peer.news is not None and peer.news.is_reader)
        ]
        others = [peer for peer in peers if peer not in readers]
        if readers:
            self._send_to([peer.address for peer in readers], news)
        if others:
            short = msgspec.structs.replace(news, usage={})
            self._send_to([peer.address for peer in others], short)

    def _describe(self) -> entry_news.NodeNews:
        self._sequence += 1
        news = self._owner.describe(self.run, self._sequence)
        if self._are_few or not self.is_reader:
            return news
        beyond = [item for item, _ in self.regions()]
        return msgspec.structs.replace(news, beyond=beyond)

    def _tell_regions(self) -> None:
        """Tell the other regions' readers what is added up here."""
        self._sequence += 1
        near_readers = [
            peer.address
            for peer in self.heard()
            if peer.news is not None and peer.news.is_reader
        ]
        news = self._owner.describe_region(
            self.run,
            self._sequence,
            [self.address, *near_readers[: rounds.READERS_TOLD]],
        )
        for region in self._far_nodes():
            self._send_to(self._readers_of(region), news)

    def _readers_of(self, region: str) -> list[ids.Address]:
        """Where to tell a region; any of its nodes, if no reader is heard.

        A node that is no reader passes the news on to one.
        """
        oldest_s = self._loop.now_s - REGION_SILENT_S
        readers = [
            address
            for item in self._regions.get(region, {}).values()
            if item.heard_s >= oldest_s
            for address in item.news.readers
        ]
        if readers:
            known = list(dict.fromkeys(readers))
            return [ids.Address(item) for item in known[: rounds.READERS_TOLD]]
        nodes = [
            peer.address
            for peer in self._peers.values()
            if peer.region == region
        ]
        return random.sample(nodes, min(rounds.READERS_TOLD, len(nodes)))

    def _send_to(
        self, to: typing.Sequence[ids.Address], news: entry_news.News
    ) -> None:
        if not to or self._is_closed:
            return
        data = entry_news.encode(news)
        for address in to:
            host, _, port = address.rpartition(':')
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError as error:
                # News is sent again soon, and a datagram may be lost
                # in any case.
                journal.event(
                    'peer',
                    outcome='not-sent',
                    address=address,
                    reason=os.strerror(error.errno or 0),
                )

    # -- receiving -----------------------------------------------------

    def _receive(self, events: int) -> None:
        while True:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                # Nothing waits; an error of an earlier datagram is of
                # no use, since news gets no answers.
                return
            news = entry_news.decode_news(data)
            if isinstance(news, outcome.Failure):
                journal.problem('peer', outcome='unreadable', reason=str(news))
            elif isinstance(news, entry_news.RegionNews):
                self._take_region(news, is_direct=True)
            elif news.node != self._site.node:
                self._take(news)

    def _take(self, news: entry_news.NodeNews) -> None:
        peer = self._peer(
            news.node, ids.Address(news.peers_address), news.region
        )
        before = peer.news
        if (
            before is not None
            and before.run == news.run
            and before.sequence >= news.sequence
        ):
            return
        now_s = self._loop.now_s
        if now_s - peer.heard_s > SILENT_AFTER_S + self.late_s:
            journal.event('peer', outcome='heard', peer=news.node)
        peer.news = news
        peer.region = news.region
        peer.heard_s = now_s
        self._count_work(peer, news.work)
        self._owner.told(news)
        for beyond in news.beyond:
            self._take_region(beyond, is_direct=False)

    def _take_region(
        self, news: entry_news.RegionNews, is_direct: bool
    ) -> None:
        if news.region == self._site.region:
            return
        readers = self._regions.setdefault(news.region, {})
        before = readers.get(news.node)
        if (
            before is not None
            and before.news.run == news.run
            and before.news.sequence >= news.sequence
        ):
            return
        readers[news.node] = _Region(news, self._loop.now_s)
        oldest_s = self._loop.now_s - FORGET_AFTER_S
        for node, item in list(readers.items()):
            if item.heard_s < oldest_s:
                del readers[node]
        if is_direct and not self.is_reader:
            near_readers = [
                peer.address
                for peer in self.heard()
                if peer.news is not None and peer.news.is_reader
            ]
            self._send_to(near_readers[: rounds.READERS_TOLD], news)
        chosen = self._region(news.region)
        if chosen is not None and chosen.news is news:
            self._owner.told_of_region(news)
