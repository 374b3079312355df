"""Builds this node's updates for other nodes, and applies theirs."""

import dataclasses
import math
import typing

from guavachute.decide.duty import scaling
from guavachute.decide.ingress import copy_age
from guavachute.decide.ingress import quota
from guavachute.domain import site as domain_site
from guavachute.entry import catch_up
from guavachute.entry import endpoint_registry
from guavachute.entry import ingress as entry_ingress
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute.entry import part_suspects
from guavachute.entry import peer_table
from guavachute.entry import peers as entry_peers
from guavachute.entry import region_sums
from guavachute.entry import relay_peers
from guavachute.entry.rollouts import tracker
from guavachute.entry import store_client
from guavachute.entry import stream_builds
from guavachute.entry import usage_counts
from guavachute import ids
from guavachute.wire import node_updates

MAX_READY_NODES = 6
"""Upper bound of the ready nodes that are named to other regions, for their
callers."""


class Status(typing.NamedTuple):
    """What a node tells of its own role.

    :ivar is_ready: whether callers should be sent to it
    :ivar is_reader: whether it reads the store closely
    :ivar reaches_store: whether the store answers it
    """

    is_ready: bool
    is_reader: bool
    reaches_store: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The parts of a node whose state its updates contain."""

    peers: entry_peers.Peers
    state: known_state.KnownState
    registry: endpoint_registry.EndpointRegistry
    ingress: entry_ingress.Ingress
    usage: usage_counts.UsageCounts
    suspects: part_suspects.PartSuspects
    builds: stream_builds.StreamBuilds
    relays: relay_peers.RelayPeers
    rollouts: tracker.Rollouts
    store: store_client.StoreClient
    copy_age: copy_age.CopyAge
    catch_up: catch_up.CatchUp


class StateUpdates:
    """Encodes the state of a node's parts, and merges that of other nodes.

    :param status: gives the present role of this node
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        parts: Parts,
        status: typing.Callable[[], Status],
    ) -> None:
        self._loop = loop
        self._site = site
        self._parts = parts
        self._status = status
        self._sums = region_sums.ConsumptionSums()
        self._started_s = loop.now_s

    @property
    def _age_s(self) -> float:
        return self._loop.now_s - self._started_s

    def node_update(self, run: int, sequence: int) -> node_updates.NodeUpdate:
        """The current update of this node about itself.

        :param run: the random number of this run of the process
        :param sequence: grows with each update of the run
        """
        status = self._status()
        return node_updates.NodeUpdate(
            node=self._site.node,
            run=run,
            sequence=sequence,
            peers_address=self._parts.peers.address,
            callers_address=self._parts.ingress.address,
            domain=self._site.domain,
            region=self._site.region,
            age_s=round(self._age_s, 3),
            wall_s=self._parts.peers.table.own_wall_s(),
            is_ready=status.is_ready,
            is_reader=status.is_reader,
            configuration_version=self._parts.state.version,
            endpoints_version=self._parts.state.endpoints_version,
            reaches_store=status.reaches_store,
            spent=self._parts.ingress.admission.consumption(),
            load=self._parts.ingress.load(),
            work={
                endpoint: node_updates.EndpointWork(
                    work.requests,
                    work.waiting_tokens,
                    round(10 * work.failed),
                    round(10 * work.answered),
                    work.heard_ds(self._loop.now_s),
                )
                for endpoint, work in self._parts.registry.work().items()
            },
            usage=self._parts.usage.recent(),
            crashes=self._parts.ingress.crash_notices(),
            store_era=self._parts.store.told_era,
            leaving=self._parts.registry.notices(self._loop.now_s),
            parts=self._parts.suspects.notices(),
            limits=self._parts.registry.limits.notices(),
            builds=self._parts.builds.records(),
            streams=self._parts.builds.told(),
            relay_address=self._parts.ingress.paths.relay_address,
            reaches_endpoints=not self._parts.registry.links.is_cut,
            endpoints_age_ds=self._parts.copy_age.age_ds(self._loop.now_s),
            endpoints_position=self._parts.state.endpoints_position,
            capacity=self._parts.registry.told_capacity(),
            queued=self._parts.ingress.admission.queued(),
            rollouts=self._parts.rollouts.notices(),
        )

    def region_update(
        self, run: int, sequence: int, readers: list[str]
    ) -> node_updates.RegionUpdate:
        """The current update about all nodes of this region, summed up.

        :param readers: the peer addresses of the readers of this region
        """
        local = [
            peer.update
            for peer in self._parts.peers.table.active_peers()
            if peer.update is not None
            and peer.update.region == self._site.region
        ]
        spent = self._parts.ingress.admission.consumption()
        self._sums.record('own', spent, True)
        now_s = self._loop.now_s
        return node_updates.RegionUpdate(
            region=self._site.region,
            node=self._site.node,
            run=run,
            sequence=sequence,
            readers=readers,
            age_s=round(self._age_s, 3),
            nodes=1 + len(local),
            ready=[
                (update.callers_address, update.domain)
                for update in local
                if update.is_ready
            ][:MAX_READY_NODES],
            wall_s=self._parts.peers.table.own_wall_s(),
            spent=self._sums.sums(spent, [update.spent for update in local]),
            load=region_sums.sum_load(
                [
                    self._parts.ingress.load(),
                    *[update.load for update in local],
                ]
            ),
            usage=self._parts.usage.region_totals(),
            update_ages_ds=[
                round(10 * (now_s - at_s))
                for at_s in self._parts.usage.local_update_times_s()
            ],
            crashes=self._parts.ingress.crash_notices(),
            parts=self._parts.suspects.notices(),
            limits=self._parts.registry.limits.region_notices(),
            builds=self._parts.builds.records(),
            relays=self._parts.relays.told_helpers(),
            heard=self._parts.relays.told_endpoints(
                self._parts.registry.heard()
            ),
            unproven=self._parts.builds.unproven(),
            capacity=self._parts.registry.region_capacity(),
            queued=region_sums.sum_queued(
                [
                    self._parts.ingress.admission.queued(),
                    *[update.queued for update in local],
                ]
            ),
            rollouts=self._parts.rollouts.region_notices(),
        )

    def merge_node_update(self, update: node_updates.NodeUpdate) -> None:
        """Apply the update of another node."""
        if update.store_era is not None:
            self._parts.store.observe_era(update.store_era, update.node)
        if update.leaving:
            self._parts.registry.apply_notices(
                update.leaving, update.node, self._loop.now_s
            )
        self._parts.usage.merge_node_update(update)
        source = peer_table.source(update)
        is_no_older = update.age_s <= self._age_s + quota.STARTUP_WINDOW_S
        self._sums.record(source, update.spent, is_no_older)
        self._parts.ingress.admission.merge_consumption(
            quota.Source(source, source), update.spent, update.age_s
        )
        self._parts.ingress.admission.merge_queued(
            update.node, 1, update.queued
        )
        for notice in update.crashes:
            self._parts.ingress.merge_crash_notice(notice)
        self._parts.suspects.merge_notices(update.parts, update.node)
        self._parts.registry.limits.merge_notices(update.limits, update.node)
        self._parts.builds.merge_node_update(source, update)
        self._parts.rollouts.merge_node_update(update)
        self._parts.catch_up.check_update(update)
        self._parts.registry.merge_capacity(update.node, update.capacity)

    def merge_region_update(self, update: node_updates.RegionUpdate) -> None:
        """Apply the update of a reader of another region."""
        self._parts.usage.merge_region_update(update)
        # Another reader may have sent the sums of that region before this one
        # started, so a younger run is treated as older than this process.
        is_younger = update.age_s < self._age_s - quota.STARTUP_WINDOW_S
        age_s = math.inf if is_younger else update.age_s
        self._parts.ingress.admission.merge_consumption(
            quota.Source(peer_table.region_source(update), update.region),
            update.spent,
            age_s,
        )
        self._parts.ingress.admission.merge_queued(
            update.region, update.nodes, update.queued
        )
        for notice in update.crashes:
            self._parts.ingress.merge_crash_notice(notice)
        self._parts.suspects.merge_notices(update.parts, update.node)
        self._parts.registry.limits.merge_notices(update.limits, update.node)
        self._parts.builds.merge_region_update(update)
        self._parts.registry.merge_capacity(update.region, update.capacity)
        self._parts.rollouts.merge_region_update(update)

    def total_demand(self, service: ids.ServiceName) -> scaling.Demand:
        """The demand for a service, over the callers of all nodes."""
        own = self._parts.ingress.load().get(service)
        loads = self._parts.peers.table.load_of(service) + (
            [own] if own else []
        )
        demand = scaling.Demand(
            prompt_tokens_per_s=sum(
                item.prompt_tokens_per_s for item in loads
            ),
            output_tokens_per_s=sum(
                item.output_tokens_per_s for item in loads
            ),
        )
        return demand.at_speed(*self._parts.registry.measured_speeds(service))
