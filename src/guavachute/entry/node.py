"""The entry process: connects its parts, and starts and stops them."""

import contextlib
import gc
import random
import typing

from guavachute.decide.ingress import copy_age
from guavachute.decide.nodes import addresses
from guavachute.decide.nodes import readers
from guavachute.decide.nodes import rounds
from guavachute.domain import endpoints
from guavachute.domain import site as domain_site
from guavachute.entry import address_book
from guavachute.entry.capacity import records as capacity_records
from guavachute.entry import catch_up
from guavachute.entry.closing import stop_sequence
from guavachute.entry import control_client
from guavachute.entry import death_checks
from guavachute.entry import duty as entry_duty
from guavachute.entry import endpoint_registry
from guavachute.entry import ingress as entry_ingress
from guavachute.entry import known_state
from guavachute.entry import leave_moves
from guavachute.entry import loop as entry_loop
from guavachute.entry import part_suspects
from guavachute.entry import peer_table
from guavachute.entry import peers as entry_peers
from guavachute.entry import query_server
from guavachute.entry import relay_peers
from guavachute.entry import report_watch
from guavachute.entry.rollouts import driver as rollout_driver
from guavachute.entry.rollouts import tracker
from guavachute.entry import scaler as entry_scaler
from guavachute.entry import store_client
from guavachute.entry import store_writer
from guavachute.entry import stream_builds
from guavachute.entry import stream_network
from guavachute.entry import topic_follower
from guavachute.entry.updates import state_updates
from guavachute.entry import usage_counts
from guavachute import ids
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics
from guavachute import outcome
from guavachute.platform import configuration as platform_configuration
from guavachute.platform import endpoints as platform_endpoints
from guavachute.platform import store
from guavachute.wire import node_updates

NODE_KEY_PREFIX = 'node/'

READER_WAIT_S = 1.5
"""How long a read by a reader waits at the store for new records. A connection
that fell silent is noticed this much later, and a new configuration has to be
in force within three seconds."""

READER_PERIOD_S = 0.6
"""Pause between a reader's reads of the endpoints' entries, which change all
the time. A draining endpoint has to be known within three seconds."""

SECOND_READER_WAIT_S = 4.0
"""The same for the second reader of a region, which gets a configuration from
the first one."""

LEASE_WATCH_PERIOD_S = 1.5
"""Pause between reads of the system's own topic by a reader that does not
hold the duties. The holder's renewals would end each waiting read."""

MANY_NODES_PERIOD_S = 0.3
"""Minimum pause between reads of the nodes' entries while all nodes start, and
where there are many nodes: each new entry would end the waiting read of every
reader."""

FOLLOWER_PERIOD_S = 8.0
"""Pause between reads of nodes that are no readers; they learn of changes from
the readers' updates."""

NODES_AT_BASE_PERIOD = 12
"""With more nodes than this, :data:`FOLLOWER_PERIOD_S` grows in proportion."""

HOUSEKEEPING_S = 0.5
STATE_CHECK_S = 0.5
REGISTER_RETRY_S = 1.0

REGISTER_SPREAD_S = 2.0
"""Within this time after a new era of the store, all nodes write their entries
again."""

CONFIRM_AFTER_S = 2.0
"""Endpoints that live have written again this long after a new era."""

READER_SILENT_S = 1.2
"""A reader from which no update came for this long is replaced."""

ENDED_AFTER_S = 60.0
"""The entry of a node from which no update came for this long is deleted."""

DROP_PERIOD_S = 5.0
"""Interval at which the entries of ended nodes are deleted."""

UPDATE_DELAY_S = 0.02
"""Delay of an update after a change, so that changes which are read together
go out in one update."""

STALE_AFTER_S = 1.0
"""After this long without an answer of the store, peers are queried."""


class Node:
    """Owns the parts of the entry process, and connects them.

    Everything runs on *loop*, in one thread.
    """

    def __init__(self, loop: entry_loop.Loop, site: domain_site.Site) -> None:
        self.loop = loop
        self.site = site
        self.metrics = observe_metrics.Metrics()
        self.state = known_state.KnownState(loop)
        self.registry = endpoint_registry.EndpointRegistry(
            site, self.state.table, lambda: loop.now_s
        )
        self.metrics.labelled_gauges(
            'endpoint_slowdown', 'endpoint', self.registry.slowdowns
        )
        self.metrics.labelled_gauges(
            'endpoint_limit_share', 'endpoint', self.registry.limit_shares
        )
        self.peers = entry_peers.Peers(loop, site, self)
        self.usage = usage_counts.UsageCounts(site, self.peers)
        self.registry.work_of_others = self.peers.table.work_at
        self._relays = relay_peers.RelayPeers(
            site, self.peers.table, lambda: loop.now_s
        )
        self.registry.heard_by_others_s = self._relays.heard_s
        deaths = death_checks.DeathChecks(loop, self.registry)
        self.registry.on_unreachable = deaths.handle_unreachable
        self.registry.limits.other_places = self.peers.table.counted_places
        self._suspects = part_suspects.PartSuspects(
            loop,
            site.node,
            self.metrics,
            self.registry,
            deaths,
            lambda: [
                peer.update.node
                for peer in self.peers.table.active_peers()
                if peer.update is not None
            ],
            lambda: self._is_reader,
        )
        self._store = store_client.StoreClient(loop, site.store.address)
        self._speed_records = capacity_records.SpeedRecords(
            loop,
            self._store,
            self.registry.speeds,
            self.registry.speed,
            lambda: self._role is readers.Role.FIRST,
        )
        self._builds = stream_builds.StreamBuilds(
            loop,
            self._store,
            stream_network.StreamNetwork(
                site,
                self.peers.table,
                lambda: self._is_reader,
                lambda: self._reaches_store,
                lambda: self._nodes,
            ),
            lambda: self.state.table.entries,
            lambda: self.state.configuration,
        )
        self.rollouts = tracker.Rollouts(
            loop,
            site,
            self.state,
            self.registry,
            self.peers,
            self.metrics,
            lambda: (self._operator, self._nodes),
            lambda: self.duty is not None and self.duty.is_held,
        )
        self.registry.entries_age_s = lambda: self._copy_age.age_s(loop.now_s)
        self.registry.is_build_awaited = self._builds.is_awaited
        self.ingress = entry_ingress.Ingress(
            loop,
            site,
            self.state,
            self.registry,
            self.peers,
            self.metrics,
            self._suspects,
            self._builds,
            self._relays,
            self.rollouts,
            self.usage.record_run,
        )
        self.registry.on_died = self.ingress.handle_endpoint_death
        self._store.on_new_era.append(self._handle_new_era)
        self._suspects.store = self._store
        self._operator = self._follow(
            platform_configuration.TOPIC,
            self._fold_operator,
            wait_s=READER_WAIT_S,
        )
        self._endpoints = self._follow(
            platform_endpoints.TOPIC,
            self.state.fold_endpoint,
            wait_s=0.0,
            period_s=READER_PERIOD_S,
            missing_keys=self.state.end_snapshot,
        )
        self._endpoints.on_recovered = self._handle_store_recovery
        self._nodes = self._follow(
            store.OWN_TOPIC,
            self._fold_own_topic,
            wait_s=READER_WAIT_S,
            period_s=MANY_NODES_PERIOD_S,
        )
        self.duty: entry_duty.Duty | None = None
        if site.cloud is not None:
            self.duty = entry_duty.Duty(
                loop,
                site,
                site.cloud,
                self._store,
                self._nodes,
                self.usage.total,
                self.peers.table.true_time_s,
                self.usage.last_update_times_s,
                entry_scaler.Scaler(
                    loop,
                    self.state,
                    sorted(site.region_of),
                    lambda service: self._updates.total_demand(service),
                    self.registry.limits.limited,
                )
                if site.cloud.expects_orders
                else None,
                rollout_driver.RolloutDuty(
                    loop,
                    site,
                    self._store,
                    self.state,
                    self.registry,
                    self.rollouts,
                    self.peers.table.true_time_s,
                ),
            )
        self.state.on_changed = self._schedule_update
        self.rollouts.on_changed = self._schedule_update
        self.state.on_unproven = lambda: self._endpoints.read_after(
            CONFIRM_AFTER_S
        )
        self._role = readers.Role.FIRST
        self._is_reader = True
        self._interval_basis: typing.Hashable = None
        self._is_update_scheduled = False
        self._reports = report_watch.ReportWatch(
            loop,
            self.registry,
            lambda: self._endpoints.lost_since_s is not None,
            self._apply_leave_report,
            self.ingress.handle_announcement,
        )
        self.registry.on_in_doubt = self._reports.ask_whether_leaving
        self.registry.on_leaving = leave_moves.LeaveMoves(
            loop, site, self.registry, self._reports, self.ingress
        ).schedule
        self._is_registered = False
        self.address_book = address_book.AddressBook(
            site, self.peers.table, self._own_candidate, lambda: loop.now_s
        )
        self._copy_age = copy_age.CopyAge(site.bounds.drain_s)
        self._catch_up = catch_up.CatchUp(
            loop, self.peers.table, self._versioned_states()
        )
        self._updates = state_updates.StateUpdates(
            loop,
            site,
            state_updates.Parts(
                peers=self.peers,
                state=self.state,
                registry=self.registry,
                ingress=self.ingress,
                usage=self.usage,
                suspects=self._suspects,
                builds=self._builds,
                relays=self._relays,
                rollouts=self.rollouts,
                store=self._store,
                copy_age=self._copy_age,
                catch_up=self._catch_up,
            ),
            self._status,
        )
        self._stop_sequence = stop_sequence.StopSequence(
            loop, self.ingress, site.bounds.stop_grace_s
        )
        self._query_server = query_server.QueryServer(
            loop,
            site,
            self.state,
            self.metrics,
            lambda: self.is_ready,
            self.address_book.addresses_for,
        )

    # -- start and stop ------------------------------------------------

    def start(self) -> None:
        """Start following the store, sending updates and serving callers."""
        for follower in (self._operator, self._endpoints, self._nodes):
            follower.start()
        self.peers.start(self.site.seeds)
        if self.duty is not None:
            self.duty.start()
        self._reports.start()
        self.ingress.paths.start()
        self._builds.start()
        self.rollouts.start()
        self._register()
        self.loop.every(HOUSEKEEPING_S, self._run_housekeeping)
        self.loop.every(STATE_CHECK_S, self._catch_up.check)
        self.loop.every(DROP_PERIOD_S, self._delete_ended_nodes)

    def stop(self) -> None:
        """Stop gracefully: report not ready now, and end the loop later.

        The loop ends when no request is open, or shortly before the end of the
        grace period. Further calls have no effect.
        """
        if self._stop_sequence.has_begun:
            return
        self._stop_sequence.begin()
        self.ingress.stop()
        if self.duty is not None:
            self.duty.stop()
        self.peers.broadcast_update()

    def close(self) -> None:
        """Close all sockets and connections."""
        self.ingress.close()
        self._query_server.close()
        for follower in (self._operator, self._endpoints, self._nodes):
            follower.stop()
        if self.duty is not None:
            self.duty.close()
        self._reports.close()
        self._store.close()
        self.peers.close()

    def reload(self, site: domain_site.Site) -> None:
        """Log whether *site* differs; changes apply at the next start."""
        if site == self.site:
            journal.event('reload', outcome='unchanged')
            return
        # The addresses and limits of a process are fixed at its start.
        journal.event('reload', outcome='kept-until-restart')

    # -- readiness and addresses ---------------------------------------

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent to this node."""
        return (
            not self._stop_sequence.has_begun
            and self.state.configuration is not None
            and self.state.endpoints_position >= 0
        )

    def _own_candidate(self) -> addresses.Candidate:
        return addresses.Candidate(
            address=self.ingress.address,
            domain=self.site.domain,
            region=self.site.region,
            is_ready=self.is_ready,
            last_update_s=self.loop.now_s,
            reaches_endpoints=not self.registry.links.is_cut,
        )

    # -- following the store -------------------------------------------

    def _follow(
        self,
        topic: str,
        fold: topic_follower.Fold,
        wait_s: float,
        **options: typing.Any,
    ) -> topic_follower.TopicFollower:
        return topic_follower.TopicFollower(
            self.loop, self._store, topic, fold, self._apply_folded, wait_s,
            **options,
        )  # fmt: skip

    def _apply_folded(self) -> None:
        end = self._endpoints.end_position
        if end is not None:
            self.state.advance_position(end)
        self.registry.apply_table_changes()
        self._builds.observe_endpoints()

    def _handle_store_recovery(self) -> None:
        """Let entries that expired in the outage be written again first."""
        self.state.table.store_returned_s = self.loop.now_s

    def _handle_new_era(self, was_known: bool) -> None:
        """Start to follow a store that has come back from a copy.

        :param was_known: whether another era was known before
        """
        if self.duty is not None:
            self.duty.handle_new_era()
        if not was_known:
            return
        self.state.handle_new_era()
        self._suspects.handle_new_era()
        self._speed_records.handle_new_era()
        for follower in (self._operator, self._endpoints, self._nodes):
            follower.handle_new_era(self._is_reader)
        # The entry of this node may be lost. All nodes write theirs again, but
        # not all at once.
        self._is_registered = False
        self.loop.call_after(
            random.uniform(0.0, REGISTER_SPREAD_S), self._register
        )
        self._broadcast_update()

    def _fold_operator(
        self, record: store.KeyedRecord, is_snapshot: bool
    ) -> None:
        self.state.fold_operator(record, is_snapshot)
        self.rollouts.fold_operator(record)

    def _fold_own_topic(
        self, record: store.KeyedRecord, is_snapshot: bool
    ) -> None:
        if record.key == entry_duty.KEY:
            if self.duty is not None:
                self.duty.fold(record)
            return
        if record.key.startswith(part_suspects.KEY_PREFIX):
            self._suspects.fold(record, is_snapshot)
            return
        if record.key.startswith(stream_builds.KEY_PREFIX):
            self._builds.fold(record)
            return
        if record.key.startswith(capacity_records.KEY_PREFIX):
            self._speed_records.fold(record)
        if record.key.startswith(tracker.KEY_PREFIX):
            self.rollouts.fold(record)
            return
        if not record.key.startswith(NODE_KEY_PREFIX):
            return
        if record.value is None:
            node_name = record.key.removeprefix(NODE_KEY_PREFIX)
            if is_snapshot:
                # The store may have lost the entry with its latest records.
                self.peers.table.unlist(node_name)
            else:
                self.peers.table.remove(node_name)
            return
        node = node_updates.decode_node(record.value)
        if isinstance(node, outcome.Failure):
            journal.problem('node', outcome='unreadable', reason=str(node))
            return
        self.peers.add_listed_node(node)

    def _register(self) -> None:
        """Append this node's entry to the store, for the other nodes."""
        if self._is_registered:
            return
        record = node_updates.NodeRecord(
            node=self.site.node,
            run=self.peers.run,
            peers_address=self.peers.address,
            region=self.site.region,
        )
        store_writer.append(
            self._store,
            store.OWN_TOPIC,
            store.KeyedRecord(
                NODE_KEY_PREFIX + self.site.node, node_updates.encode(record)
            ),
            None,
            self._handle_registration,
            REGISTER_RETRY_S,
        )

    def _handle_registration(
        self, reply: control_client.Reply | control_client.CallFailure
    ) -> None:
        if isinstance(reply, control_client.Reply) and reply.status == 200:
            self._is_registered = True
            journal.event('node', outcome='registered')
            return
        journal.event('node', outcome='not-registered', reason=str(reply))
        self.loop.call_after(REGISTER_RETRY_S, self._register)

    def _delete_ended_nodes(self) -> None:
        """Delete the entries of nodes that have ended for good.

        A node that runs after all still exchanges updates with the others.
        """
        if not self._is_reader:
            return
        for node in self.peers.table.ended_nodes(ENDED_AFTER_S):
            journal.event('node', outcome='dropped', peer=node)
            store_writer.append(
                self._store,
                store.OWN_TOPIC,
                store.KeyedRecord(NODE_KEY_PREFIX + node, None),
                None,
                # The next round checks whether the entry is gone.
                lambda reply: None,
                REGISTER_RETRY_S,
            )

    # -- updates between nodes -----------------------------------------

    def node_update(self, run: int, sequence: int) -> node_updates.NodeUpdate:
        """The current update of this node about itself."""
        return self._updates.node_update(run, sequence)

    def region_update(
        self, run: int, sequence: int, readers: list[str]
    ) -> node_updates.RegionUpdate:
        """The current update about all nodes of this region, summed up."""
        return self._updates.region_update(run, sequence, readers)

    def handle_node_update(self, update: node_updates.NodeUpdate) -> None:
        """Apply the update of another node."""
        self._updates.merge_node_update(update)

    def handle_region_update(self, update: node_updates.RegionUpdate) -> None:
        """Apply the update of a reader of another region."""
        self._updates.merge_region_update(update)

    def merge_region_usage(self, update: node_updates.RegionUpdate) -> None:
        """Merge the usage that another reader of a region has told."""
        self.usage.merge_region_update(update)

    def _status(self) -> state_updates.Status:
        return state_updates.Status(
            is_ready=self.is_ready,
            is_reader=self._is_reader,
            reaches_store=self._reaches_store,
        )

    def _apply_leave_report(self, entry: endpoints.Endpoint) -> None:
        self.state.apply_leave_report(entry)
        self.registry.apply_table_changes()

    def _versioned_states(self) -> list[catch_up.VersionedState]:
        """What this node fetches from peers that have a newer version."""
        return [
            catch_up.VersionedState(
                is_needed=lambda: self._needs_peers(self._operator),
                own_version=lambda: self.state.version,
                peer_version=lambda update: update.configuration_version,
                fetch=self._fetch_configuration,
                read_store=self._operator.read_now,
            ),
            catch_up.VersionedState(
                is_needed=lambda: self._needs_peers(self._endpoints),
                own_version=lambda: self.state.known_version,
                peer_version=lambda update: update.endpoints_version,
                fetch=self._fetch_endpoints,
                read_store=self._endpoints.read_now,
                age=self._copy_age,
                confirmed_s=lambda: self._endpoints.confirmed_s,
                confirm=self._endpoints.confirm,
                learn_position=self._learn_position,
                waits_for_readers=lambda: self._endpoints.lost_since_s is None,
            ),
        ]

    def _needs_peers(self, follower: topic_follower.TopicFollower) -> bool:
        """Whether peers know of changes sooner than *follower* reads them."""
        since_s = follower.lost_since_s
        lost_s = 0.0 if since_s is None else self.loop.now_s - since_s
        return not self._is_reader or lost_s > STALE_AFTER_S

    def _fetch_configuration(
        self, peer: peer_table.Peer, done: catch_up.Done
    ) -> None:
        def merge_shared(
            shared: node_updates.SharedConfiguration | None,
        ) -> None:
            if shared is not None:
                self.state.merge_shared_configuration(shared)
                self._operator.skip_to(self.state.configuration_position)
            done(shared is not None)

        self.peers.fetch_configuration(peer, self.state.version, merge_shared)

    def _fetch_endpoints(
        self, peer: peer_table.Peer, done: catch_up.Done
    ) -> None:
        def merge_shared(shared: node_updates.SharedEndpoints | None) -> None:
            if shared is not None:
                self.state.merge_shared_endpoints(shared, peer.address)
                self._endpoints.skip_to(self.state.endpoints_position)
                if self.peers.table.are_few:
                    # The peer may have missed records of a store that it has
                    # just lost. With few nodes, calls are few, so this node
                    # reads the store itself at once.
                    self._endpoints.read_now()
                self.registry.apply_table_changes()
            done(shared is not None)

        self.peers.fetch_endpoints(
            peer, self.state.known_version, merge_shared
        )

    def _learn_position(self, position: ids.LogPosition) -> None:
        """Take in that no change before *position* is unknown here."""
        if not self._is_reader and self._endpoints.learn_position(position):
            self.state.advance_position(position)

    # -- the role of a reader ------------------------------------------

    @property
    def _reaches_store(self) -> bool:
        return all(
            follower.lost_since_s is None
            for follower in (self._operator, self._endpoints, self._nodes)
        )

    def _update_role(self) -> None:
        """Decide whether this node reads the store closely."""
        own = readers.Candidate(self.site.node, self.site.region, True, True)
        others = [
            readers.Candidate(
                ids.NodeId(peer.update.node),
                ids.Region(peer.update.region),
                peer.update.reaches_store,
                peer.update.is_ready,
            )
            for peer in self.peers.table.active_peers(READER_SILENT_S)
            if peer.update is not None
        ]
        self._role = readers.role(own, others)
        is_reader = self._role is not readers.Role.FOLLOWER
        holds_duty = self.duty is not None and self.duty.is_held
        if self.duty is not None:
            self.duty.set_contending(is_reader)
        self._set_reader(is_reader or holds_duty)
        self._set_read_intervals(holds_duty)

    def _set_reader(self, is_reader: bool) -> None:
        if is_reader == self._is_reader:
            return
        self._is_reader = self.peers.is_reader = is_reader
        journal.event('reader', outcome='begun' if is_reader else 'ended')

    def _set_read_intervals(self, holds_duty: bool) -> None:
        """Set the interval of each topic's reads by this node's role."""
        are_few = rounds.are_few(self.peers.table.count)
        if self._interval_basis == (self._role, holds_duty, are_few):
            # The number of nodes changes often, and is no reason to read at
            # once.
            return
        self._interval_basis = (self._role, holds_duty, are_few)
        if self._is_reader:
            is_first = self._role is readers.Role.FIRST
            wait_s = READER_WAIT_S if is_first else SECOND_READER_WAIT_S
            self._operator.set_intervals(wait_s, 0.0)
            self._endpoints.set_intervals(0.0, READER_PERIOD_S)
            duty_period_s = 0.0 if are_few else MANY_NODES_PERIOD_S
            period_s = duty_period_s if holds_duty else LEASE_WATCH_PERIOD_S
            self._nodes.set_intervals(READER_WAIT_S, period_s)
            return
        # The number of calls to the store must not grow with the nodes.
        period_s = FOLLOWER_PERIOD_S * max(
            1.0, self.peers.table.count / NODES_AT_BASE_PERIOD
        )
        self._endpoints.set_intervals(0.0, period_s)
        self._nodes.set_intervals(0.0, period_s)
        # A read that waits would let all nodes at once fetch a large
        # configuration over the link between the regions. They fetch it from
        # peers instead.
        self._operator.set_intervals(0.0, period_s)

    def _schedule_update(self) -> None:
        """Schedule an update, so that the other nodes fetch the change."""
        if self._is_reader and not self._is_update_scheduled:
            self._is_update_scheduled = True
            self.loop.call_after(UPDATE_DELAY_S, self._broadcast_update)

    def _broadcast_update(self) -> None:
        self._is_update_scheduled = False
        self.peers.broadcast_update()

    # -- housekeeping --------------------------------------------------

    def _run_housekeeping(self) -> None:
        self._update_role()
        self.state.expire()
        self.registry.discard_gone()
        self.registry.expire_capacity()
        self.registry.limits.expire(self.peers.table.extra_age_s)
        self.peers.table.discard_endpoints(self.state.table.entries)
        self.ingress.expire()
        self._suspects.expire()
        self._speed_records.write()


@contextlib.contextmanager
def running(site: domain_site.Site) -> typing.Iterator[Node]:
    """Provide a node with open sockets; the caller starts and runs it.

    The node is closed at the end of the context.
    """
    node = Node(entry_loop.Loop(), site)
    # Objects that live as long as the process need no further collection.
    gc.collect()
    gc.freeze()
    try:
        yield node
    finally:
        node.close()
