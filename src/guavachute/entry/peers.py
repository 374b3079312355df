"""News between the entry nodes, by datagrams, and state by request."""

import os
import random
import socket
import time
import typing

from guavachute.decide.nodes import addresses
from guavachute.decide.nodes import clock as agreed_clock
from guavachute.decide.nodes import counting
from guavachute.domain import site as domain_site
from guavachute.entry import control_client
from guavachute.entry import endpoint_book
from guavachute.entry import loop as entry_loop
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.wire import entry_news

NEAR_PERIOD_S = 0.25
"""Pause between news to the nodes of the same region."""

FAR_EVERY = 4
"""Nodes of other regions get every so manieth of these."""

SILENT_EVERY = 8
"""Nodes that were not heard lately get every so manieth."""

SILENT_AFTER_S = 2.0
"""A node that was not heard for this long counts as silent."""

FORGET_AFTER_S = 120.0
"""A node that was not heard for this long is forgotten."""

MAX_DATAGRAM_BYTES = 65_000
STATE_PATH = '/state'
STATE_TIMEOUT_S = 1.0

DEMAND_KEPT_S = 10.0
"""What a silent node's callers asked for still counts for so long."""


class Peer:
    """Another node, by its latest news."""

    def __init__(self, address: ids.Address) -> None:
        self.address = address
        self.news: entry_news.NodeNews | None = None
        self.heard_s = float('-inf')
        self.added_s = 0.0


def source(news: entry_news.NodeNews) -> str:
    """The name of one run of one node."""
    return f'{news.node}/{news.run}'


Told = typing.Callable[[entry_news.NodeNews], None]


class Peers:
    """The other entry nodes.

    :param describe: makes this node's news of the moment
    :param told: called with each new message of another node
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        describe: typing.Callable[[int, int], entry_news.NodeNews],
        told: Told,
    ) -> None:
        self._loop = loop
        self._site = site
        self._describe = describe
        self._told = told
        self.run = random.SystemRandom().getrandbits(62)
        self.address = ids.Address(f'{site.ip}:{site.listen.peers_port}')
        self._sequence = 0
        self._turn = 0
        self._is_closed = False
        self._peers: dict[str, Peer] = {}
        self._seeds: list[ids.Address] = []
        self._clients: dict[ids.Address, control_client.Client] = {}
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
            self._peer(record.node, ids.Address(record.peers_address))

    def unlearn(self, node: str) -> None:
        """A node's entry in the store is gone."""
        self._peers.pop(node, None)

    def heard(self, within_s: float = SILENT_AFTER_S) -> list[Peer]:
        """The nodes that were heard of late."""
        oldest_s = self._loop.now_s - within_s
        return [
            peer
            for peer in self._peers.values()
            if peer.news is not None and peer.heard_s >= oldest_s
        ]

    @property
    def count(self) -> int:
        """Nodes that count as serving callers, with this one."""
        return 1 + len(self._counted())

    def counted_runs(self, silent_after_s: float) -> tuple[set[str], set[str]]:
        """The runs of other nodes that count, and the silent of them.

        A node that was never heard goes by its name alone.
        """
        oldest_s = self._loop.now_s - silent_after_s
        runs, silent = set(), set()
        for node in self._counted():
            peer = self._peers[node]
            run = node if peer.news is None else source(peer.news)
            runs.add(run)
            if peer.heard_s < oldest_s:
                silent.add(run)
        return runs, silent

    def _counted(self) -> set[str]:
        return counting.counted(
            {
                node: max(peer.heard_s, peer.added_s)
                for node, peer in self._peers.items()
            },
            self._loop.now_s,
        )

    def load_of(self, service: ids.ServiceName) -> list[entry_news.LoadNews]:
        """What the other nodes' callers ask of a service."""
        return [
            peer.news.load[service]
            for peer in self.heard(DEMAND_KEPT_S)
            if peer.news is not None and service in peer.news.load
        ]

    def work_at(self, endpoint: ids.EndpointId) -> endpoint_book.Work:
        """The other nodes' work at an endpoint."""
        total = endpoint_book.Work()
        for peer in self.heard():
            work = peer.news.work.get(endpoint) if peer.news else None
            if work is not None:
                total.requests += work.requests
                total.waiting_tokens += work.waiting_tokens
        return total

    def candidates(self) -> list[addresses.Candidate]:
        """The other nodes, for callers that ask for addresses."""
        return [
            addresses.Candidate(
                address=ids.Address(peer.news.callers_address),
                domain=ids.FailureDomain(peer.news.domain),
                region=ids.Region(peer.news.region),
                is_ready=peer.news.is_ready,
                heard_s=peer.heard_s,
            )
            for peer in self._peers.values()
            if peer.news is not None
        ]

    def true_time_s(self) -> float:
        """The time of day that most nodes' clocks agree on."""
        return self._loop.now_s + self.true_offset_s()

    def true_offset_s(self) -> float:
        """What to add to the loop's time for the time of day."""
        now_s = self._loop.now_s
        readings = [
            agreed_clock.Reading(peer.news.wall_s - peer.heard_s, peer.heard_s)
            for peer in self._peers.values()
            if peer.news is not None
        ]
        own_offset_s = time.time() - now_s
        return agreed_clock.agreed_offset_s(own_offset_s, readings, now_s)

    def tell(self) -> None:
        """Send news to every node now."""
        self._send(list(self._peers.values()))

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

    def _peer(self, node: str, address: ids.Address) -> Peer:
        peer = self._peers.get(node)
        if peer is None or peer.address != address:
            peer = self._peers[node] = Peer(address)
            peer.added_s = self._loop.now_s
            journal.event('peer', outcome='known', peer=node, address=address)
        return peer

    def _tick(self) -> None:
        self._loop.call_after(NEAR_PERIOD_S, self._tick)
        self._turn += 1
        self._forget_old()
        self._send(
            [peer for peer in self._peers.values() if self._is_due(peer)]
        )
        if not self.heard():
            self._send_to(self._seeds)

    def _is_due(self, peer: Peer) -> bool:
        if self._loop.now_s - peer.heard_s > SILENT_AFTER_S:
            return self._turn % SILENT_EVERY == 0
        assert peer.news is not None
        if peer.news.region == self._site.region:
            return True
        return self._turn % FAR_EVERY == 0

    def _forget_old(self) -> None:
        oldest_s = self._loop.now_s - FORGET_AFTER_S
        for node, peer in list(self._peers.items()):
            if max(peer.heard_s, peer.added_s) < oldest_s:
                del self._peers[node]

    def _send(self, peers: typing.Sequence[Peer]) -> None:
        if peers:
            self._send_to([peer.address for peer in peers])

    def _send_to(self, to: typing.Sequence[ids.Address]) -> None:
        if not to:
            return
        if self._is_closed:
            return
        self._sequence += 1
        data = entry_news.encode(self._describe(self.run, self._sequence))
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
            elif news.node != self._site.node:
                self._take(news)

    def _take(self, news: entry_news.NodeNews) -> None:
        peer = self._peer(news.node, ids.Address(news.peers_address))
        before = peer.news
        if (
            before is not None
            and before.run == news.run
            and before.sequence >= news.sequence
        ):
            return
        if self._loop.now_s - peer.heard_s > SILENT_AFTER_S:
            journal.event('peer', outcome='heard', peer=news.node)
        peer.news = news
        peer.heard_s = self._loop.now_s
        self._told(news)
