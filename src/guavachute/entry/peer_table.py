"""The other entry nodes, by their latest updates, and totals over them."""

import time
import typing

from guavachute.decide.ingress import endpoint_links
from guavachute.decide.ingress import named_limits
from guavachute.decide.ingress import update_delay
from guavachute.decide.nodes import addresses
from guavachute.decide.nodes import clock as agreed_clock
from guavachute.decide.nodes import counting
from guavachute.decide.nodes import rounds
from guavachute.entry import endpoint_registry
from guavachute import ids
from guavachute.observe import journal
from guavachute.wire import node_updates

SILENT_AFTER_S = 2.0
"""A node from which no update came for this long counts as silent. The time is
longer where nodes send updates in turns."""

REGION_SILENT_S = 3.0
"""A region whose readers sent no update for this long counts as silent."""

READER_SWITCH_AFTER_S = 1.2
"""If the chosen reader of a region sent no update for this long, another one
is chosen: the first may have stopped reading, as nearly all nodes do after a
start."""

CLOCK_CHECK_S = 0.1
"""Interval at which the nodes' clocks are compared."""

DISCARD_AFTER_S = 120.0
"""A node that has no entry in the store and sent no update for this long is
discarded."""

DEMAND_TTL_S = 10.0
"""The demand of a silent node's callers counts for this long."""


_NO_WORK = endpoint_registry.Work()


class Peer:
    """Another node and its latest update.

    :ivar region: the region of the node
    :ivar update: its latest update; None before the first
    :ivar last_update_s: loop time at which that update came
    :ivar delay_s: how long it was on its way, beyond others of its run; None
        if not known yet
    :ivar added_s: loop time at which the node became known
    :ivar is_listed: whether it has an entry in the store
    :ivar last_no_answer_s: loop time of its latest unanswered request
    :ivar counted_work: its work as it is included in the totals
    :ivar passed_on_s: loop time at which its update was last passed on to the
        readers of its region
    """

    def __init__(self, address: ids.Address, region: str) -> None:
        self.address = address
        self.region = region
        self.update: node_updates.NodeUpdate | None = None
        self.last_update_s = float('-inf')
        self.delay_s: float | None = None
        self._delay = update_delay.UpdateDelay()
        self.added_s = 0.0
        self.is_listed = False
        self.last_no_answer_s = float('-inf')
        self.counted_work: typing.Mapping[str, node_updates.EndpointWork] = {}
        self.passed_on_s = float('-inf')

    def replace_update(
        self, update: node_updates.NodeUpdate, now_s: float
    ) -> None:
        """Keep an update that has come now."""
        if self.update is None or self.update.run != update.run:
            self._delay = update_delay.UpdateDelay()
        self.update = update
        self.last_update_s = now_s
        self.delay_s = self._delay.delay_s(update.age_s, now_s)

    def heard_s(self, endpoint: str) -> float:
        """Loop time at which the node last heard an endpoint."""
        work = self.counted_work.get(endpoint)
        if work is None or work.heard_ds is None:
            return endpoint_links.NEVER_S
        return self.last_update_s - work.heard_ds / 10


class ReceivedRegionUpdate(typing.NamedTuple):
    """The latest update of a reader of another region, and when it came."""

    update: node_updates.RegionUpdate
    received_s: float


def source(update: node_updates.NodeUpdate) -> str:
    """The name of one run of one node."""
    return f'{update.node}/{update.run}'


def region_source(update: node_updates.RegionUpdate) -> str:
    """The name of the sums that one run of a reader sends."""
    return f'{update.region}:{update.node}/{update.run}'


class PeerTable:
    """The known nodes, their latest updates and totals over them.

    Where there are few nodes, all send updates to each other. Where there are
    many, other regions are known by the sums of their readers.

    :param now_s: gives the loop's time
    """

    def __init__(
        self, region: ids.Region, now_s: typing.Callable[[], float]
    ) -> None:
        self._own_region = region
        self._now_s = now_s
        self._peers: dict[str, Peer] = {}
        self._by_region: dict[str, list[Peer]] | None = None
        self._extra_age_s: float | None = None
        self._regions: dict[str, dict[str, ReceivedRegionUpdate]] = {}
        self._work: dict[str, endpoint_registry.Work] = {}
        self._clock = agreed_clock.OwnClock()
        self._offset_s = 0.0
        self._offset_read_s = float('-inf')

    # -- known nodes ---------------------------------------------------

    @property
    def are_few(self) -> bool:
        """Whether all nodes send updates to each other."""
        return rounds.are_few(1 + len(self._peers))

    def all(self) -> list[Peer]:
        """Every other node that is known."""
        return list(self._peers.values())

    def local_peers(self) -> list[Peer]:
        """The known nodes of this node's region."""
        return list(self._peers_by_region().get(self._own_region, ()))

    def is_local(self, peer: Peer) -> bool:
        """Whether a node is in this node's region."""
        return peer.region == self._own_region

    def remote_peers(self) -> dict[str, list[Peer]]:
        """The known nodes of each other region."""
        return {
            region: list(peers)
            for region, peers in self._peers_by_region().items()
            if region != self._own_region
        }

    def _peers_by_region(self) -> typing.Mapping[str, typing.Sequence[Peer]]:
        if self._by_region is None:
            self._by_region = {}
            for peer in self._peers.values():
                self._by_region.setdefault(peer.region, []).append(peer)
        return self._by_region

    def _handle_nodes_changed(self) -> None:
        """Discard what was computed from the set of nodes."""
        self._by_region = None
        self._extra_age_s = None

    def readers(self) -> list[Peer]:
        """The active nodes that read the store closely."""
        return [
            peer
            for peer in self.active_peers()
            if peer.update is not None and peer.update.is_reader
        ]

    def local_readers(self) -> list[Peer]:
        """The readers of this node's region.

        Those that the store answers come first: one that is cut off from it
        may count itself as a reader, but know few others.
        """
        return sorted(
            (peer for peer in self.readers() if self.is_local(peer)),
            key=lambda peer: not (peer.update and peer.update.reaches_store),
        )

    def add(
        self, node: str, address: ids.Address, region: str, is_listed: bool
    ) -> Peer:
        """Add a node, or replace it if its address has changed.

        :param is_listed: whether it has an entry in the store
        """
        peer = self._peers.get(node)
        if peer is None or peer.address != address:
            if peer is not None:
                self._count_work(peer, {})
            peer = self._peers[node] = Peer(address, region)
            peer.added_s = self._now_s()
            self._handle_nodes_changed()
            journal.event('peer', outcome='known', peer=node, address=address)
        peer.is_listed = peer.is_listed or is_listed
        return peer

    def remove(self, node: str) -> None:
        """Remove a node and its work; harmless if it is unknown."""
        peer = self._peers.pop(node, None)
        if peer is not None:
            self._handle_nodes_changed()
            self._count_work(peer, {})

    def unlist(self, node: str) -> None:
        """Handle that the store lists a node no more.

        It is removed unless it still sends updates.
        """
        peer = self._peers.get(node)
        if peer is None:
            return
        oldest_s = self._now_s() - SILENT_AFTER_S - self.extra_age_s
        if peer.last_update_s >= oldest_s:
            peer.is_listed = False
        else:
            self.remove(node)

    def active_peers(self, within_s: float = SILENT_AFTER_S) -> list[Peer]:
        """The nodes from which an update came recently.

        :param within_s: the maximum age of the update, for nodes that send one
            in each round; it is longer where they send less often
        """
        oldest_s = self._now_s() - within_s - self.extra_age_s
        return [
            peer
            for peer in self._peers.values()
            if peer.update is not None and peer.last_update_s >= oldest_s
        ]

    @property
    def extra_age_s(self) -> float:
        """How much older updates may be than with few nodes, in seconds."""
        if self._extra_age_s is None:
            round_s = rounds.round_s(
                1 + len(self._peers), len(self.local_peers())
            )
            self._extra_age_s = (
                0.0 if self.are_few else 2 * (round_s - rounds.PERIOD_S)
            )
        return self._extra_age_s

    @property
    def count(self) -> int:
        """The number of nodes that count as serving callers, with this one."""
        return 1 + sum(self.counted_runs()[0].values())

    def counted_runs(
        self, silent_after_s: float = SILENT_AFTER_S
    ) -> tuple[dict[str, int], set[str]]:
        """The sources that count as serving callers, and the silent ones.

        Returns the number of nodes by source, and the set of sources from
        which no update came recently. A node without any update goes by its
        name alone.
        """
        runs: dict[str, int] = {}
        silent = set()
        oldest_s = self._now_s() - silent_after_s - self.extra_age_s
        for node in self._counted():
            peer = self._peers[node]
            run = node if peer.update is None else source(peer.update)
            runs[run] = 1
            if peer.last_update_s < oldest_s:
                silent.add(run)
        if not self.are_few:
            for region, remote in self.remote_peers().items():
                chosen = self.latest_region_update(region)
                if chosen is None:
                    runs[region] = len(remote)
                    silent.add(region)
                    continue
                run = region_source(chosen.update)
                runs[run] = max(1, chosen.update.nodes)
                if chosen.received_s < self._now_s() - REGION_SILENT_S:
                    silent.add(run)
        return runs, silent

    def counted_places(self) -> list[named_limits.Place]:
        """The other nodes that count as serving callers, and their places.

        Where there are many nodes, those of other regions are all known ones.
        """
        counted = self._counted()
        are_few = self.are_few
        return [
            named_limits.Place(
                ids.NodeId(node),
                None
                if peer.update is None
                else ids.FailureDomain(peer.update.domain),
                ids.Region(peer.region),
            )
            for node, peer in self._peers.items()
            if node in counted or not (are_few or self.is_local(peer))
        ]

    def ended_nodes(self, silent_s: float) -> list[str]:
        """Listed nodes of this region that have certainly ended.

        :param silent_s: the minimum time without an update
        """
        oldest_s = self._now_s() - silent_s
        local = {
            node: max(peer.last_update_s, peer.added_s)
            for node, peer in self._peers.items()
            if self.is_local(peer)
        }
        counted = counting.counted_nodes(local, self._now_s())
        return [
            node
            for node, last_s in local.items()
            if node not in counted
            and last_s < oldest_s
            and self._peers[node].is_listed
        ]

    # -- received updates ----------------------------------------------

    def merge_node_update(self, update: node_updates.NodeUpdate) -> bool:
        """Merge the update of a node; False if it is not newer."""
        peer = self.add(
            update.node,
            ids.Address(update.peers_address),
            update.region,
            False,
        )
        before = peer.update
        if (
            before is not None
            and before.run == update.run
            and before.sequence >= update.sequence
        ):
            return False
        now_s = self._now_s()
        if now_s - peer.last_update_s > SILENT_AFTER_S + self.extra_age_s:
            journal.event('peer', outcome='heard', peer=update.node)
        peer.replace_update(update, now_s)
        if peer.region != update.region:
            peer.region = update.region
            self._handle_nodes_changed()
        self._count_work(peer, update.work)
        return True

    def was_passed_on(self, node: str, since_s: float) -> bool:
        """Whether a node's update was passed on to readers since a time."""
        peer = self._peers.get(node)
        return peer is not None and peer.passed_on_s > since_s

    def record_passed_on(self, node: str, now_s: float) -> None:
        """Record that a node's update was passed on to readers."""
        peer = self._peers.get(node)
        if peer is not None:
            peer.passed_on_s = now_s

    def delay_s(self, node: str) -> float | None:
        """How long the latest update of a node was on its way.

        None if that is not known.
        """
        peer = self._peers.get(node)
        return None if peer is None else peer.delay_s

    def merge_region_update(self, update: node_updates.RegionUpdate) -> bool:
        """Store the update of a reader; True if that reader is the chosen one.

        All readers of a region send the same sums, so one is chosen and the
        same one is kept as long as its updates come.
        """
        if update.region == self._own_region:
            return False
        readers = self._regions.setdefault(update.region, {})
        before = readers.get(update.node)
        if (
            before is not None
            and before.update.run == update.run
            and before.update.sequence >= update.sequence
        ):
            return False
        now_s = self._now_s()
        readers[update.node] = ReceivedRegionUpdate(update, now_s)
        for node, item in list(readers.items()):
            if item.received_s < now_s - DISCARD_AFTER_S:
                del readers[node]
        chosen = self.latest_region_update(update.region)
        return chosen is not None and chosen.update is update

    def is_own_region(self, update: node_updates.RegionUpdate) -> bool:
        """Whether an update is about the region of this node."""
        return update.region == self._own_region

    def reader_addresses(self, region: str) -> list[str]:
        """The addresses that the readers of another region have sent."""
        oldest_s = self._now_s() - REGION_SILENT_S
        found = [
            address
            for item in self._regions.get(region, {}).values()
            if item.received_s >= oldest_s
            for address in item.update.readers
        ]
        return list(dict.fromkeys(found))

    def latest_region_update(self, region: str) -> ReceivedRegionUpdate | None:
        """The latest update of the chosen reader of a region.

        The choice is the same as long as that reader sends updates. None if no
        update came from the region.
        """
        readers = self._regions.get(region, {})
        oldest_s = self._now_s() - READER_SWITCH_AFTER_S
        active_readers = [
            node
            for node, item in readers.items()
            if item.received_s >= oldest_s
        ]
        if active_readers:
            return readers[min(active_readers)]
        return max(
            readers.values(), key=lambda item: item.received_s, default=None
        )

    def region_updates(self) -> list[tuple[node_updates.RegionUpdate, float]]:
        """The latest update of each other region, and when it came."""
        chosen = [
            self.latest_region_update(region) for region in self._regions
        ]
        oldest_s = self._now_s() - DEMAND_TTL_S
        return [
            (item.update, item.received_s)
            for item in chosen
            if item is not None and item.received_s >= oldest_s
        ]

    def load_of(
        self, service: ids.ServiceName
    ) -> list[node_updates.ServiceLoad]:
        """The demand of the callers of the other nodes for a service."""
        loads: list[
            typing.Mapping[ids.ServiceName, node_updates.ServiceLoad]
        ] = [
            peer.update.load
            for peer in self.active_peers(DEMAND_TTL_S)
            if peer.update is not None
        ]
        loads += [update.load for update, _ in self.region_updates()]
        return [load[service] for load in loads if service in load]

    def work_at(self, endpoint: ids.EndpointId) -> endpoint_registry.Work:
        """The work of all other nodes at an endpoint."""
        return self._work.get(endpoint, _NO_WORK)

    def candidates(self) -> list[addresses.Candidate]:
        """The other nodes, as addresses to choose from for a caller."""
        extra_age_s = self.extra_age_s
        found = [
            addresses.Candidate(
                address=ids.Address(peer.update.callers_address),
                domain=ids.FailureDomain(peer.update.domain),
                region=ids.Region(peer.update.region),
                is_ready=peer.update.is_ready,
                last_update_s=peer.last_update_s + extra_age_s,
                reaches_endpoints=peer.update.reaches_endpoints,
            )
            for peer in self._peers.values()
            if peer.update is not None
        ]
        for update, received_s in self.region_updates():
            found += [
                addresses.Candidate(
                    address=ids.Address(address),
                    domain=ids.FailureDomain(domain),
                    region=ids.Region(update.region),
                    is_ready=True,
                    last_update_s=received_s + extra_age_s,
                )
                for address, domain in update.ready
            ]
        return found

    def own_wall_s(self) -> float:
        """The Unix time by this node's clock alone."""
        now_s = self._now_s()
        return now_s + self._clock.offset_s(time.time(), now_s)

    def true_time_s(self) -> float:
        """The Unix time that most nodes' clocks agree on."""
        return self._now_s() + self.true_offset_s()

    def true_offset_s(self) -> float:
        """The agreed Unix time minus the loop's time, in seconds."""
        now_s = self._now_s()
        if now_s - self._offset_read_s < CLOCK_CHECK_S:
            return self._offset_s
        readings = [
            agreed_clock.Reading(
                peer.update.wall_s - peer.last_update_s, peer.last_update_s
            )
            for peer in self._peers.values()
            if peer.update is not None
        ]
        self._offset_read_s = now_s
        self._offset_s = agreed_clock.agreed_offset_s(
            self._clock.offset_s(time.time(), now_s), readings, now_s
        )
        return self._offset_s

    # -- housekeeping --------------------------------------------------

    def discard_endpoints(
        self, existing: typing.Container[ids.EndpointId]
    ) -> None:
        """Discard the totals of endpoints that are gone and have no work."""
        for endpoint, work in list(self._work.items()):
            if endpoint not in existing and not work.requests:
                del self._work[endpoint]

    def expire(self) -> None:
        """Expire the state of silent nodes; called in each round."""
        now_s = self._now_s()
        silent_s = now_s - SILENT_AFTER_S - self.extra_age_s
        for node, peer in list(self._peers.items()):
            if peer.last_update_s < silent_s and peer.counted_work:
                self._count_work(peer, {})
            last_s = max(peer.last_update_s, peer.added_s)
            if not peer.is_listed and last_s < now_s - DISCARD_AFTER_S:
                self.remove(node)

    def _counted(self) -> set[str]:
        are_few = self.are_few
        return counting.counted_nodes(
            {
                node: max(peer.last_update_s, peer.added_s)
                for node, peer in self._peers.items()
                if are_few or self.is_local(peer)
            },
            self._now_s(),
        )

    def _count_work(
        self, peer: Peer, work: typing.Mapping[str, node_updates.EndpointWork]
    ) -> None:
        """Replace a node's contribution to the totals."""
        for endpoint, item in peer.counted_work.items():
            total = self._work.setdefault(endpoint, endpoint_registry.Work())
            # The totals of an endpoint that was gone for a while started again
            # from zero.
            total.requests = max(0, total.requests - item.requests)
            total.waiting_tokens = max(
                0, total.waiting_tokens - item.waiting_tokens
            )
            total.failed = max(0.0, total.failed - item.failed_tenths / 10)
            total.answered = max(
                0.0, total.answered - item.answered_tenths / 10
            )
        for endpoint, item in work.items():
            total = self._work.setdefault(endpoint, endpoint_registry.Work())
            total.requests += item.requests
            total.waiting_tokens += item.waiting_tokens
            total.failed += item.failed_tenths / 10
            total.answered += item.answered_tenths / 10
        peer.counted_work = work
