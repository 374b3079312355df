"""Updates between entry nodes by UDP, and requests for shared state."""

import os
import random
import socket
import typing

import msgspec

from guavachute.decide.nodes import rounds
from guavachute.domain import site as domain_site
from guavachute.entry import control_client
from guavachute.entry import loop as entry_loop
from guavachute.entry import peer_table
from guavachute.entry import transport
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.wire import node_updates

MAX_DATAGRAM_BYTES = 65_000
RECEIVE_DELAY_S = 0.04
"""Where there are many nodes, how long a received datagram waits for others. A
node among hundreds gets a hundred in a second, and waking up for each costs
more than handling it."""

CONFIGURATION_PATH = '/configuration'
CONFIGURATION_TIMEOUT_S = 1.5
"""A large configuration over a slow link, which other nodes fetch at the same
time, takes about a second."""

ENDPOINTS_PATH = '/endpoints'
ENDPOINTS_TIMEOUT_S = 0.6
"""After this another peer is queried. Every node has to know of a draining
endpoint within three seconds."""

PASS_ON_PERIOD_S = 1.0
"""A node's updates are passed on to the readers at most this often. Between
the first one and the readers' own updates to that node, each update that it
sends arrives here."""

VERSION_FIELD = 'beyond'
"""The query parameter with the version that the requesting node has."""

Shared = typing.TypeVar('Shared')


class Owner(typing.Protocol):
    """What the exchange of updates needs of the node."""

    def node_update(self, run: int, sequence: int) -> node_updates.NodeUpdate:
        """The current update of this node about itself."""

    def region_update(
        self, run: int, sequence: int, readers: list[str]
    ) -> node_updates.RegionUpdate:
        """The current update about all nodes of this region, summed up."""

    def handle_node_update(self, update: node_updates.NodeUpdate) -> None:
        """Apply the update of another node."""

    def handle_region_update(self, update: node_updates.RegionUpdate) -> None:
        """Apply the update of a reader of another region."""

    def merge_region_usage(self, update: node_updates.RegionUpdate) -> None:
        """Merge the usage that another reader of a region has told."""


class Peers:
    """Sends the updates of this node, and receives those of others.

    Updates are sent about four times a second and may get lost; the next one
    replaces them.

    :ivar table: the other nodes
    :ivar run: a random number for this run of the process
    :ivar is_reader: whether this node reads the store closely; readers get
        more detailed updates, and sum up their region for the others
    """

    def __init__(
        self, loop: entry_loop.Loop, site: domain_site.Site, owner: Owner
    ) -> None:
        self._loop = loop
        self._site = site
        self._owner = owner
        self.table = peer_table.PeerTable(site.region, lambda: loop.now_s)
        self.run = random.SystemRandom().getrandbits(62)
        self.address = ids.Address(f'{site.ip}:{site.listen.peers_port}')
        self.is_reader = True
        self._sequence = 0
        self._round_number = 0
        self._is_closed = False
        self._seeds: list[ids.Address] = []
        self._clients: dict[ids.Address, control_client.Client] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        transport.bind(self._socket, self.address)
        self._socket.setblocking(False)
        self._is_watched = False
        self._watch()

    def start(self, seeds: typing.Sequence[ids.Address]) -> None:
        """Start sending updates.

        :param seeds: addresses that get updates while no node is active
        """
        self._seeds = [seed for seed in seeds if seed != self.address]
        self._loop.call_after(0.0, self._run_round)
        self._loop.every(rounds.PERIOD_S, self._run_round)

    def close(self) -> None:
        """Stop sending and receiving; close all sockets."""
        if self._is_closed:
            return
        self._is_closed = True
        self._unwatch()
        self._socket.close()
        for client in self._clients.values():
            client.close()

    def add_listed_node(self, record: node_updates.NodeRecord) -> None:
        """Add the node of an entry in the store, unless it is this node's."""
        if record.node != self._site.node:
            address = ids.Address(record.peers_address)
            self.table.add(record.node, address, record.region, True)

    def broadcast_update(self) -> None:
        """Send an update now, outside the rounds.

        It goes to every node where there are few, and to those of this region
        where there are many.
        """
        are_few = self.table.are_few
        self._send_updates(
            self.table.all() if are_few else self.table.local_peers()
        )

    def fetch_configuration(
        self,
        peer: peer_table.Peer,
        version: int,
        done: typing.Callable[[node_updates.SharedConfiguration | None], None],
    ) -> None:
        """Request a configuration newer than *version* from *peer*.

        *done* gets None if the peer has none or does not answer.
        """
        self._fetch(
            peer,
            f'{CONFIGURATION_PATH}?{VERSION_FIELD}={version}',
            CONFIGURATION_TIMEOUT_S,
            node_updates.decode_configuration,
            done,
        )

    def fetch_endpoints(
        self,
        peer: peer_table.Peer,
        version: ids.LogPosition,
        done: typing.Callable[[node_updates.SharedEndpoints | None], None],
    ) -> None:
        """Request the changes of the endpoints since *version* from *peer*.

        *done* gets None if the peer does not answer.
        """
        self._fetch(
            peer,
            f'{ENDPOINTS_PATH}?{VERSION_FIELD}={version}',
            ENDPOINTS_TIMEOUT_S,
            node_updates.decode_endpoints,
            done,
        )

    def _fetch(
        self,
        peer: peer_table.Peer,
        target: str,
        timeout_s: float,
        decode: typing.Callable[[bytes], Shared | outcome.Failure],
        done: typing.Callable[[Shared | None], None],
    ) -> None:
        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            if (
                isinstance(reply, control_client.CallFailure)
                or reply.status != 200
            ):
                journal.event(
                    'peer-state',
                    outcome='no-answer',
                    peer=peer.address,
                    target=target,
                )
                done(None)
                return
            shared = decode(reply.body)
            if isinstance(shared, outcome.Failure):
                journal.problem(
                    'peer-state', outcome='unreadable', reason=str(shared)
                )
                done(None)
                return
            done(shared)

        client = self._clients.get(peer.address)
        if client is None:
            client = control_client.Client(self._loop, peer.address)
            self._clients[peer.address] = client
        client.call(b'GET', target.encode(), handle_reply, timeout_s)

    # -- sending -------------------------------------------------------

    def _run_round(self) -> None:
        if self._is_closed:
            return
        self._round_number += 1
        self.table.expire()
        if self.table.are_few:
            self._send_updates(
                [peer for peer in self.table.all() if self._is_due(peer)]
            )
        else:
            receivers = rounds.recipients(
                self.table.local_peers(), self._round_number
            )
            readers = [
                peer
                for peer in self.table.local_readers()
                if peer not in receivers
            ]
            self._send_updates([*receivers, *readers])
            is_due = rounds.is_remote_due(
                self._round_number, rounds.REMOTE_READERS_EVERY
            )
            if self.is_reader and is_due:
                self._send_region_update()
        if not self.table.active_peers():
            self._send_to(self._seeds, self._own_update())

    def _is_due(self, peer: peer_table.Peer) -> bool:
        silent_s = self._loop.now_s - peer.last_update_s
        is_silent = silent_s > peer_table.SILENT_AFTER_S
        if self.table.is_local(peer) and not is_silent:
            return True
        return rounds.is_remote_due(self._round_number, rounds.REMOTE_EVERY)

    def _send_updates(self, peers: typing.Sequence[peer_table.Peer]) -> None:
        """Send an update to *peers*; of many, only readers get it in full."""
        if not peers:
            return
        update = self._own_update()
        are_few = self.table.are_few
        readers: list[ids.Address] = []
        others: list[ids.Address] = []
        for peer in peers:
            gets_all = are_few or (peer.update and peer.update.is_reader)
            (readers if gets_all else others).append(peer.address)
        self._send_to(readers, update)
        if others:
            self._send_to(others, msgspec.structs.replace(update, usage={}))

    def _own_update(self) -> node_updates.NodeUpdate:
        self._sequence += 1
        update = self._owner.node_update(self.run, self._sequence)
        if self.table.are_few or not self.is_reader:
            return update
        beyond = [item for item, _ in self.table.region_updates()]
        return msgspec.structs.replace(update, region_updates=beyond)

    def _send_region_update(self) -> None:
        """Send the sums of this region to the readers of the others."""
        self._sequence += 1
        update = self._owner.region_update(
            self.run,
            self._sequence,
            [self.address, *self._local_reader_addresses()],
        )
        for region, nodes in self.table.remote_peers().items():
            targets = self.table.reader_addresses(region)
            if not targets:
                # No reader is known there. A node that is no reader passes the
                # update on to one.
                targets = [peer.address for peer in nodes]
                random.shuffle(targets)
            to = targets[: rounds.READERS_PER_REMOTE_REGION]
            self._send_to([ids.Address(address) for address in to], update)

    def _local_reader_addresses(self) -> list[ids.Address]:
        readers = self.table.local_readers()
        return [
            peer.address
            for peer in readers[: rounds.READERS_PER_REMOTE_REGION]
        ]

    def _send_to(
        self, to: typing.Sequence[ids.Address], update: node_updates.Update
    ) -> None:
        if not to or self._is_closed:
            return
        data = node_updates.encode(update)
        for address in to:
            host, _, port = address.rpartition(':')
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError as error:
                # The next update follows soon, and datagrams may get lost in
                # any case.
                journal.event(
                    'peer',
                    outcome='not-sent',
                    address=address,
                    reason=os.strerror(error.errno or 0),
                )

    # -- receiving -----------------------------------------------------

    def _watch(self) -> None:
        if not self._is_watched and not self._is_closed:
            self._is_watched = True
            self._loop.watch(
                self._socket, entry_loop.READ, self._handle_readable
            )

    def _unwatch(self) -> None:
        if self._is_watched:
            self._is_watched = False
            self._loop.unwatch(self._socket)

    def _handle_readable(self, events: int) -> None:
        if self.table.are_few:
            self._receive_all()
            return
        self._unwatch()
        self._loop.call_after(RECEIVE_DELAY_S, self._receive_all)

    def _receive_all(self) -> None:
        while not self._is_closed:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                # No datagram is left. An error of an earlier datagram is
                # ignored, as updates are not acknowledged.
                break
            self._receive(data)
        self._watch()

    def _receive(self, data: bytes) -> None:
        update = node_updates.decode_update(data)
        if isinstance(update, outcome.Failure):
            journal.problem('peer', outcome='unreadable', reason=str(update))
        elif isinstance(update, node_updates.RegionUpdate):
            if not self.is_reader:
                self._send_to(self._local_reader_addresses(), update)
            self._handle_region_update(update)
        elif update.node != self._site.node and self.table.merge_node_update(
            update
        ):
            self._pass_on(update)
            self._owner.handle_node_update(update)
            for beyond in update.region_updates:
                self._handle_region_update(beyond)

    def _pass_on(self, update: node_updates.NodeUpdate) -> None:
        """Pass an update on to the readers of its region, if they lack it.

        Where there are many nodes, usage is sent to readers only. A node that
        sends it to others knows few nodes: it can't read the list of nodes in
        the store, and has been told the seeds only. The readers don't know it
        either if it couldn't register.
        """
        is_local = update.region == self._site.region
        if (
            not update.usage
            or self.table.are_few
            or (is_local and self.is_reader)
        ):
            return
        now_s = self._loop.now_s
        if self.table.was_passed_on(update.node, now_s - PASS_ON_PERIOD_S):
            return
        if not self.table.was_passed_on(update.node, float('-inf')):
            journal.event('peer', outcome='passed-on', peer=update.node)
        readers = (
            self._local_reader_addresses()
            if is_local
            else [
                ids.Address(address)
                for address in self.table.reader_addresses(update.region)
            ][: rounds.READERS_PER_REMOTE_REGION]
        )
        self._send_to(
            [address for address in readers if address != self.address],
            msgspec.structs.replace(update, region_updates=[]),
        )
        self.table.record_passed_on(update.node, now_s)

    def _handle_region_update(self, update: node_updates.RegionUpdate) -> None:
        if self.table.merge_region_update(update):
            self._owner.handle_region_update(update)
        elif not self.table.is_own_region(update):
            # The chosen reader may have begun a moment ago, and lack counts.
            self._owner.merge_region_usage(update)
