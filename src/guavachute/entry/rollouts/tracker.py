"""Follows roll-outs at one node: their records, the choice and the counts.

The requests of the operator and the records come from the store or from other
nodes. A node that reads neither closely learns of both by the updates, which
also prove that a record is the latest one.
"""

import dataclasses
import math
import typing
import weakref

from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.decide.ingress.rollouts import results
from guavachute.decide.ingress.rollouts import selection
from guavachute.decide.ingress import update_delay
from guavachute.decide.nodes import counting
from guavachute.domain import endpoints
from guavachute.domain import log_position
from guavachute.domain import rollouts
from guavachute.domain import site as domain_site
from guavachute.entry import endpoint_registry
from guavachute.entry import known_state
from guavachute.entry import loop as entry_loop
from guavachute.entry import peer_table
from guavachute.entry import peers as entry_peers
from guavachute.entry.rollouts import codec
from guavachute.entry.rollouts import counts as rollout_counts
from guavachute.entry import topic_follower
from guavachute import ids
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics
from guavachute import outcome
from guavachute.platform import rollouts as platform_rollouts
from guavachute.platform import store
from guavachute.wire import node_updates

if typing.TYPE_CHECKING:
    from guavachute.entry import exchange

KEY_PREFIX = platform_rollouts.KEY_PREFIX
"""Of the keys of the records in the system's own topic."""

TICK_S = 0.25

MAX_SERVICES = 16
"""Upper bound of the services whose roll-outs are followed."""

MAX_OPEN = 10_000
"""Upper bound of the requests whose responses are awaited."""

LOST_CHECK_S = 2.0
"""A lost connection counts as a failure if its endpoint still exists after
this: one that was reclaimed or has crashed shows nothing of its version."""

TOLD_S = 120.0
"""The other nodes are told of a roll-out for this long after its end."""

ISOLATED_S = 5.0
"""A node that hears too few others, and has no proof of the record for this
long, is isolated: it may not know that the old endpoints stop."""

SILENT_S = 7.0
"""A node from which no update came for this long has ended, or is isolated
and sends no requests to the service."""

PARTITION_SILENT_S = 20.0
"""The same if several nodes are silent at a time: some may still hear each
other, and requests that they sent before may run."""

PROOF_PART = 0.5
"""A proof is valid for no longer than this part of the time in which a bad
version has to be left."""

MAX_PROOF_DS = 990

INFORMED_S = 10.0
"""A node that started this long ago tells all roll-outs that there are."""


@dataclasses.dataclass(slots=True)
class Open:
    """A request that an endpoint has.

    :ivar is_new: whether the endpoint has the target's version
    :ivar is_timed: whether its duration is a measure for others
    :ivar is_counted: whether the response was counted already, as slow
    :ivar is_lost: whether its connection broke
    """

    service: ids.ServiceName
    request_id: str
    route: str
    is_new: bool
    is_timed: bool
    sent_s: float
    is_counted: bool = False
    is_lost: bool = False


class _Lost(typing.NamedTuple):
    """A request whose connection to an endpoint was lost."""

    at_s: float
    item: Open
    entry: endpoints.Endpoint


class Rollout:
    """The roll-out of one service, as this node knows it.

    :ivar request: the latest request of the operator; None if only a record
        is known
    :ivar seen_s: when this node learnt of it, as Unix time
    :ivar record: the record with the latest step; None before the first
    :ivar stored: step and position of the latest record in the store
    :ivar proven_s: loop time at which *record* was certainly the latest
    :ivar bad: why the target was found bad; empty if it wasn't
    :ivar ended_s: loop time at which the last step became known
    :ivar closing_s: loop time at which the step CLOSING became known
    """

    def __init__(self, service: ids.ServiceName) -> None:
        self.service = service
        self.request: rollouts.Request | None = None
        self.seen_s = 0.0
        self.record: rollout_record.Record | None = None
        self.stored: tuple[str, rollout_record.Step] | None = None
        self.stored_position = log_position.NO_POSITION
        self.proven_s = float('-inf')
        self.bad = ''
        self.ended_s: float | None = None
        self.closing_s = float('-inf')
        self.is_used = False
        self.counts = rollout_counts.RolloutCounts()
        self.summed = rollout_counts.Sums()
        self.summed_s = float('-inf')

    @property
    def target(self) -> ids.BuildName:
        """The version that is rolled out now."""
        if self.current is not None:
            return self.current.target
        assert self.request is not None
        return self.request.target

    @property
    def current(self) -> rollout_record.Record | None:
        """The record, if it is of the latest request."""
        record, request = self.record, self.request
        if record is None or request is None:
            return record
        if request.id == record.request_id or (
            request.position <= record.request_position
        ):
            return record
        return None

    @property
    def request_id(self) -> str:
        """The id of the latest request."""
        if self.current is not None:
            return self.current.request_id
        assert self.request is not None
        return self.request.id

    @property
    def is_running(self) -> bool:
        """Whether requests and responses are counted."""
        return self.current is None or not self.current.step.is_final


class Rollouts:
    """The roll-outs that this node knows, by service.

    :param topics: gives the followers of the operator's topic and of the
        system's own
    :param holds_duty: gives whether this node holds the lease of the duties
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        site: domain_site.Site,
        state: known_state.KnownState,
        registry: endpoint_registry.EndpointRegistry,
        peers: entry_peers.Peers,
        metrics: observe_metrics.Metrics,
        topics: typing.Callable[
            [],
            tuple[topic_follower.TopicFollower, topic_follower.TopicFollower],
        ],
        holds_duty: typing.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._site = site
        self._state = state
        self._registry = registry
        self._peers = peers
        self._metrics = metrics
        self._topics = topics
        self._is_informed = False
        self._holds_duty = holds_duty
        self._rollouts: dict[ids.ServiceName, Rollout] = {}
        self._open: dict[exchange.Exchange, Open] = {}
        self._requested: weakref.WeakSet[exchange.Exchange]
        self._requested = weakref.WeakSet()
        self._lost: list[_Lost] = []
        self._delays: dict[str, tuple[int, update_delay.UpdateDelay]] = {}
        self.on_changed: typing.Callable[[], None] = lambda: None
        """Called when other nodes should hear of a change soon."""
        for name, read in (
            ('step', lambda item: item.current.step),
            ('share', lambda item: item.current.share),
            ('requests', lambda item: self.total(item).requests),
            ('sent', lambda item: self.total(item).sent),
            ('bad', lambda item: self._bad_responses(item)),
        ):
            metrics.gauge(f'rollout_{name}', self._gauge(read))

    def start(self) -> None:
        """Start to look for slow responses and bad versions."""
        self._loop.every(TICK_S, self._run)

    @property
    def holds_duty(self) -> bool:
        """Whether this node holds the lease of the duties now."""
        return self._holds_duty()

    def all(self) -> list[Rollout]:
        """The roll-outs that are known, those that ended included."""
        return list(self._rollouts.values())

    # -- requests of the operator, and records -------------------------

    def fold_operator(self, record: store.KeyedRecord) -> None:
        """Fold a record of the operator's topic.

        A request that is deleted stays in effect until another replaces it.
        """
        if not record.key.startswith(KEY_PREFIX) or record.value is None:
            return
        request = platform_rollouts.decode_request(record)
        if isinstance(request, outcome.Failure):
            journal.problem(
                'rollout', outcome='unreadable', reason=str(request)[:300]
            )
            return
        self._merge_request(request, 'store')

    def fold(self, record: store.KeyedRecord) -> None:
        """Fold a record of the system's own topic under the key prefix."""
        service = ids.ServiceName(record.key.removeprefix(KEY_PREFIX))
        if record.value is None or record.position is None:
            found = self._rollouts.get(service)
            if found is not None:
                # The store has lost it; the holder writes it again.
                found.stored = None
            return
        decoded = codec.decode(record.value, service, record.position)
        if isinstance(decoded, outcome.Failure):
            journal.problem('rollout', outcome='unreadable', service=service,
                            reason=str(decoded)[:300])  # fmt: skip
            return
        rollout = self._find(service)
        if rollout is None:
            return
        if record.position > rollout.stored_position:
            rollout.stored = (decoded.request_id, decoded.step)
            rollout.stored_position = record.position
        self._merge_record(rollout, decoded, 'store')

    def _find(self, service: ids.ServiceName) -> Rollout | None:
        found = self._rollouts.get(service)
        if found is None:
            if len(self._rollouts) >= MAX_SERVICES:
                idle = [
                    name
                    for name, item in self._rollouts.items()
                    if not item.is_running
                ]
                if not idle:
                    journal.problem(
                        'rollout', outcome='too-many', service=service
                    )
                    return None
                del self._rollouts[idle[0]]
            found = self._rollouts[service] = Rollout(service)
        return found

    def _merge_request(self, request: rollouts.Request, source: str) -> None:
        rollout = self._find(request.service)
        if rollout is None:
            return
        known = rollout.request
        if known is not None and request.position <= known.position:
            return
        if known is not None and known.id == request.id:
            # The same request, in a copy of the store.
            rollout.request = request
            return
        before = None if known is None and rollout.record is None else (
            rollout.request_id
        )  # fmt: skip
        rollout.request = request
        rollout.seen_s = self._peers.table.true_time_s()
        if before != rollout.request_id:
            self._begin(rollout)
        journal.event(
            'rollout',
            outcome='requested',
            service=request.service,
            target=request.target,
            duration_s=request.duration_s,
            request=request.id,
            source=source,
        )
        self.on_changed()

    def _begin(self, rollout: Rollout) -> None:
        """Start to count for another request of the operator."""
        rollout.counts = rollout_counts.RolloutCounts()
        rollout.summed_s = float('-inf')
        rollout.bad = ''
        rollout.ended_s = None

    def _merge_record(
        self, rollout: Rollout, record: rollout_record.Record, source: str
    ) -> bool:
        """Apply a record; returns whether it is new here."""
        before = rollout.record
        if before is not None and not before.is_superseded_by(record):
            return False
        is_other = before is None or before.request_id != record.request_id
        known = rollout.request
        rollout.record = record
        if is_other and (
            known is None
            or known.id != record.request_id
            and known.position < record.request_position
        ):
            self._begin(rollout)
        rollout.proven_s = float('-inf')
        rollout.ended_s = self._loop.now_s if record.step.is_final else None
        if is_other or before is None or before.step is not record.step:
            if record.step is rollout_record.Step.CLOSING:
                rollout.closing_s = self._loop.now_s
            journal.event(
                'rollout',
                outcome=record.step.name.lower().replace('_', '-'),
                service=record.service,
                target=record.target,
                share=record.share,
                reason=record.reason,
                request=record.request_id,
                requests=record.requests,
                sent=record.sent,
                position=record.position,
                source=source,
            )
        self.on_changed()
        return True

    # -- the choice of endpoints ---------------------------------------

    def select(
        self,
        started: 'exchange.Exchange',
        records: list[endpoint_registry.EndpointRecord],
    ) -> list[endpoint_registry.EndpointRecord]:
        """The endpoints of *records* that a request may use."""
        service = started.service
        rollout = self._rollouts.get(service)
        if rollout is None:
            return [] if self._is_unclear(service) else records
        rule = self._rule(rollout)
        if rule is None:
            return records
        if self._is_alone(rollout, rule):
            if rollout.current is not None:
                return records
            return [i for i in records if i.entry.build not in rule.withheld]
        return selection.restrict(
            records,
            lambda item: item.entry.build,
            lambda item: item.entry.id,
            rule,
            started.call.attempt_id,
            started.attempts > 0,
            started.build,
            self._canaries(service, rule, records),
        )

    def _is_alone(self, rollout: Rollout, rule: selection.Rule) -> bool:
        """Whether no endpoint is left to which the rule restricts requests.

        This is so before the record of a request for the only version, and if
        the operator returns to a version after its roll-out has ended. The
        endpoints of a version that was rolled back drain for some seconds, in
        which it stays unused also if the others are lost.
        """
        record = rollout.current
        if record is not None and (
            not record.step.is_final
            or self._peers.table.true_time_s() - record.changed_s
            <= selection.REPLACED_S
        ):
            return False
        unused = {*rule.withheld, rule.target}
        return not any(
            entry.service == rollout.service and entry.build not in unused
            for entry in self._state.table.entries.values()
        )

    def uses_target(self, service: ids.ServiceName) -> bool:
        """Whether some requests of this node go to the target now."""
        rollout = self._rollouts.get(service)
        rule = None if rollout is None else self._rule(rollout)
        return rule is not None and rule.share > 0

    def _is_unclear(self, service: ids.ServiceName) -> bool:
        """Whether a roll-out of *service* may exist that is not known yet."""
        if self._is_informed:
            return False
        self._is_informed = all(
            math.isfinite(follower.confirmed_s) for follower in self._topics()
        )
        if self._is_informed:
            return False
        builds = {
            entry.build
            for entry in self._state.table.entries.values()
            if entry.service == service
        }
        return len(builds) > 1

    def _rule(self, rollout: Rollout) -> selection.Rule | None:
        longest_s = min(
            selection.PROOF_S, PROOF_PART * self._site.bounds.rollback_s
        )
        is_proven = self.proof_age_s(rollout) <= longest_s
        record = rollout.current
        needs_proof = record is not None and record.step.needs_proof
        is_used = is_proven and not rollout.bad
        if needs_proof and is_used != rollout.is_used:
            rollout.is_used = is_used
            journal.event(
                'rollout',
                outcome='used' if is_used else 'not-used',
                service=rollout.service,
                reason=rollout.bad
                or ('' if is_proven else 'the record is not proven'),
                proof_age_s=round(min(99.0, self.proof_age_s(rollout)), 3),
            )
        return selection.rule(
            rollout.request,
            rollout.record,
            is_proven,
            bool(rollout.bad),
            self._is_isolated(rollout),
            self._peers.table.true_time_s(),
        )

    def _is_isolated(self, rollout: Rollout) -> bool:
        """Whether the other nodes may take this one for ended."""
        if self.proof_age_s(rollout) <= ISOLATED_S:
            return False
        known = len(self._peers.table.local_peers())
        active = sum(
            self._peers.table.is_local(peer)
            for peer in self._peers.table.active_peers()
        )
        return active < (1 - counting.PARTITION_SHARE) * known

    def _canaries(
        self,
        service: ids.ServiceName,
        rule: selection.Rule,
        records: list[endpoint_registry.EndpointRecord],
    ) -> int:
        if not 0 < rule.share < 1:
            return 1
        old = [
            entry.slots
            for entry in self._state.table.entries.values()
            if entry.service == service and entry.build != rule.target
        ]
        new = [
            item.entry.slots
            for item in records
            if item.entry.build == rule.target
        ]
        return selection.canaries(
            rule.share, sum(old), sum(new) / len(new) if new else 0.0
        )

    def proof_age_s(self, rollout: Rollout) -> float:
        """How long ago the record was certainly the latest one."""
        record = rollout.record
        if record is None:
            return math.inf
        now_s = self._loop.now_s
        if rollout.stored_position <= record.position:
            if self.holds_duty:
                # Nobody else can write one.
                rollout.proven_s = now_s
            if rollout.stored_position == record.position:
                _, own_topic = self._topics()
                rollout.proven_s = max(rollout.proven_s, own_topic.confirmed_s)
        return now_s - rollout.proven_s

    # -- requests and responses ----------------------------------------

    def handle_sent(
        self,
        started: 'exchange.Exchange',
        record: endpoint_registry.EndpointRecord,
    ) -> None:
        """Count a request that is sent to an endpoint."""
        rollout = self._rollouts.get(started.service)
        if rollout is None or not rollout.is_running:
            return
        is_new = record.entry.build == rollout.target
        if started not in self._requested:
            self._requested.add(started)
            rollout.counts.requests += 1
        rollout.counts.sent += is_new
        if len(self._open) < MAX_OPEN:
            self._open[started] = Open(
                started.service,
                rollout.request_id,
                started.route.name,
                is_new,
                started.attempts == 1 and started.call.last_event_id is None,
                self._loop.now_s,
            )

    def handle_result(
        self,
        started: 'exchange.Exchange',
        record: endpoint_registry.EndpointRecord,
        has_failed: bool,
        begun_s: float | None,
    ) -> None:
        """Count the response to a request.

        :param begun_s: when its first event came; None if there is none
        """
        item = self._open.pop(started, None)
        if item is None:
            return
        if has_failed and item.is_lost:
            self._lost.append(_Lost(self._loop.now_s, item, record.entry))
            return
        first_s = None if begun_s is None else begun_s - item.sent_s
        self._count(item, has_failed, first_s)

    def handle_lost(self, started: 'exchange.Exchange') -> None:
        """Handle that the connection to the endpoint broke."""
        item = self._open.get(started)
        if item is not None:
            item.is_lost = True

    def handle_released(self, started: 'exchange.Exchange') -> None:
        """Forget a request that ended without a result of its endpoint."""
        item = self._open.pop(started, None)
        if item is not None:
            limits = self._thresholds(item)
            waited_s = self._loop.now_s - item.sent_s
            if limits is not None and limits.is_slow(waited_s, None):
                self._count(item, False, None)

    def _count(
        self, item: Open, has_failed: bool, first_s: float | None
    ) -> None:
        rollout = self._rollouts.get(item.service)
        if (
            rollout is None
            or item.is_counted
            or rollout.request_id != item.request_id
            or not rollout.is_running
        ):
            return
        total_s = self._loop.now_s - item.sent_s
        limits = self._thresholds(item)
        is_slow = limits is not None and limits.is_slow(total_s, first_s)
        rollout.counts.record(
            item.route,
            item.is_new,
            has_failed,
            is_slow and not has_failed,
            total_s if item.is_timed else None,
            first_s,
        )

    def _thresholds(self, item: Open) -> results.Thresholds | None:
        rollout = self._rollouts.get(item.service)
        if rollout is None:
            return None
        return results.thresholds(self.total(rollout).routes.get(item.route))

    def total(self, rollout: Rollout) -> rollout_counts.Sums:
        """The counts of all nodes, up to :data:`TICK_S` old."""
        now_s = self._loop.now_s
        if now_s - rollout.summed_s >= TICK_S:
            rollout.summed_s = now_s
            rollout.summed = rollout.counts.total(self._site.region)
        return rollout.summed

    def _run(self) -> None:
        """Look for slow responses, and for targets that are bad."""
        now_s = self._loop.now_s
        due = [
            item for item in self._lost if item.at_s <= now_s - LOST_CHECK_S
        ]
        self._lost = [item for item in self._lost if item not in due]
        for lost in due:
            entry = self._state.table.entries.get(lost.entry.id)
            if (
                entry is not None
                and entry.incarnation == lost.entry.incarnation
                and entry.state is endpoints.EndpointState.READY
            ):
                self._count(lost.item, True, None)
        for item in self._open.values():
            if item.is_new and not item.is_counted:
                limits = self._thresholds(item)
                if limits is not None and limits.is_slow(
                    now_s - item.sent_s, None
                ):
                    self._count(item, False, None)
                    item.is_counted = True
        for rollout in self._rollouts.values():
            self._check_target(rollout)

    def _check_target(self, rollout: Rollout) -> None:
        """Stop to use a target that the known responses show to be bad."""
        if rollout.bad or rollout.current is None or not rollout.is_running:
            return
        bad = results.is_bad(self.total(rollout).routes)
        if bad is not None:
            self._stop(rollout, bad, 'own')

    def _stop(self, rollout: Rollout, reason: str, source: str) -> None:
        rollout.bad = reason[: codec.MAX_REASON_CHARACTERS]
        self._metrics.add('rollouts_stopped')
        journal.event(
            'rollout',
            outcome='bad',
            service=rollout.service,
            target=rollout.target,
            reason=rollout.bad,
            source=source,
        )
        self.on_changed()

    # -- other nodes ---------------------------------------------------

    def notices(self) -> list[node_updates.RolloutNotice]:
        """The roll-outs, with the counts of this node."""
        return [
            self._notice(item, item.counts.own, self.old_running(item), 0)
            for item in self._told()
        ]

    def region_notices(self) -> list[node_updates.RolloutNotice]:
        """The roll-outs, with the counts of this node's region."""
        found = []
        for item in self._told():
            behind, running = self._region_state(item, self._local_peers())
            sums = item.counts.of_region(self._site.region)
            found.append(self._notice(item, sums, running, behind))
        return found

    def _told(self) -> list[Rollout]:
        oldest_s = self._loop.now_s - TOLD_S
        return [
            item
            for item in self._rollouts.values()
            if item.ended_s is None or item.ended_s >= oldest_s
        ]

    def _notice(
        self,
        rollout: Rollout,
        sums: rollout_counts.Sums,
        old_running: int,
        behind: int,
    ) -> node_updates.RolloutNotice:
        record = rollout.record
        request = rollout.request
        if request is None:
            assert record is not None
            request = rollouts.Request(
                record.request_id,
                record.request_position,
                record.service,
                record.target,
                record.duration_s,
            )
        proof_ds = math.ceil(
            10 * min(MAX_PROOF_DS, max(0.0, self.proof_age_s(rollout)))
        )
        is_running = rollout.is_running
        return node_updates.RolloutNotice(
            service=rollout.service,
            request_id=request.id,
            request_position=request.position,
            target=request.target,
            duration_s=request.duration_s,
            record=b'' if record is None else codec.encode(record, 0),
            record_position=log_position.NO_POSITION
            if record is None
            else record.position,
            proof_ds=None if proof_ds >= MAX_PROOF_DS else proof_ds,
            bad=rollout.bad,
            requests=sums.requests,
            sent=sums.sent,
            old_running=old_running,
            behind=behind,
            routes={
                route: counts.values() for route, counts in sums.routes.items()
            }
            if is_running
            else {},
            is_refusing=self._is_refusing(rollout),
        )

    def _is_refusing(self, rollout: Rollout) -> bool:
        """Whether this node sends no requests to any version."""
        rule = self._rule(rollout)
        return (
            rule is not None
            and rule.is_closed
            and rule.target == selection.NO_VERSION
        )

    def old_running(self, rollout: Rollout) -> int:
        """The requests of this node that run at old endpoints."""
        entries = self._state.table.entries
        return sum(
            work.requests
            for endpoint, work in self._registry.work().items()
            if endpoint in entries
            and entries[endpoint].service == rollout.service
            and entries[endpoint].build != rollout.target
        )

    def merge_node_update(self, update: node_updates.NodeUpdate) -> None:
        """Merge what another node tells."""
        # A node that has run for a while has read the topics, or heard of
        # them; what it knows is in its updates.
        self._is_informed = self._is_informed or update.age_s >= INFORMED_S
        delay_s = self._peers.table.delay_s(update.node)
        source = rollout_counts.Source(
            update.region, peer_table.source(update)
        )
        for notice in update.rollouts:
            self._merge_notice(notice, source, delay_s, update.node)

    def merge_region_update(self, update: node_updates.RegionUpdate) -> None:
        """Merge what a reader of another region tells."""
        run, delay = self._delays.get(update.node, (None, None))
        if delay is None or run != update.run:
            delay = update_delay.UpdateDelay()
            self._delays[update.node] = (update.run, delay)
        delay_s = delay.delay_s(update.age_s, self._loop.now_s)
        source = rollout_counts.Source(update.region, '')
        for notice in update.rollouts:
            self._merge_notice(notice, source, delay_s, update.node)

    def _merge_notice(
        self,
        notice: node_updates.RolloutNotice,
        source: rollout_counts.Source,
        delay_s: float | None,
        node: str,
    ) -> None:
        rollout = self._find(notice.service)
        if rollout is None:
            return
        self._merge_request(
            rollouts.Request(
                notice.request_id,
                notice.request_position,
                notice.service,
                notice.target,
                notice.duration_s,
            ),
            node,
        )
        known = rollout.record
        if notice.record and (
            known is None or known.position < notice.record_position
        ):
            decoded = codec.decode(
                notice.record, notice.service, notice.record_position
            )
            if isinstance(decoded, outcome.Failure):
                journal.problem(
                    'rollout', outcome='unreadable', reason=str(decoded)[:300]
                )
                return
            self._merge_record(rollout, decoded, node)
        if (
            rollout.record is not None
            and rollout.record.position == notice.record_position
            and notice.proof_ds is not None
            and delay_s is not None
        ):
            proven_s = self._loop.now_s - notice.proof_ds / 10 - delay_s
            rollout.proven_s = max(rollout.proven_s, proven_s)
        if notice.request_id != rollout.request_id:
            return
        routes = list(notice.routes.items())[: rollout_counts.MAX_ROUTES]
        rollout.counts.merge(
            source,
            rollout_counts.Sums(
                notice.requests,
                notice.sent,
                {name: results.from_values(item) for name, item in routes},
            ),
        )
        if notice.bad and not rollout.bad and rollout.is_running:
            self._stop(rollout, notice.bad, node)

    # -- what all nodes know -------------------------------------------

    def fleet_state(self, rollout: Rollout) -> tuple[int, int]:
        """How many nodes don't know the record, and what runs at old ones.

        The second figure is over the nodes that know it.
        """
        table = self._peers.table
        if table.are_few:
            return self._region_state(rollout, table.all())
        behind, running = self._region_state(rollout, self._local_peers())
        assert rollout.record is not None
        for region, peers in table.remote_peers().items():
            chosen = table.latest_region_update(region)
            notices = [] if chosen is None else chosen.update.rollouts
            is_recent = chosen is not None and (
                self._loop.now_s - chosen.received_s
                <= peer_table.REGION_SILENT_S
            )
            for item in notices:
                if (
                    is_recent
                    and item.service == rollout.service
                    and item.record_position == rollout.record.position
                ):
                    behind += item.behind
                    running += item.old_running
                    break
            else:
                behind += len(peers)
        return behind, running

    def _local_peers(self) -> list[peer_table.Peer]:
        return self._peers.table.local_peers()

    def _region_state(
        self, rollout: Rollout, peers: list[peer_table.Peer]
    ) -> tuple[int, int]:
        running = self.old_running(rollout)
        now_s = self._loop.now_s
        behind = 0
        is_closing = (
            rollout.record is not None
            and rollout.record.step is rollout_record.Step.CLOSING
        )
        begun_s = rollout.closing_s if is_closing else float('-inf')
        quiet_s = {
            peer: now_s - max(peer.last_update_s, peer.added_s, begun_s)
            for peer in peers
        }
        silent = sum(age_s > SILENT_S for age_s in quiet_s.values())
        is_partition = silent > counting.PARTITION_SHARE * len(peers)
        ended_s = (
            PARTITION_SILENT_S if is_partition and silent > 1 else SILENT_S
        )
        if is_closing:
            # Requests of a silent node may run at old endpoints for so long.
            ended_s = max(ended_s, self._longest_timeout_s(rollout.service))
        for peer in peers:
            if quiet_s[peer] > ended_s:
                continue
            found = [
                item
                for item in (peer.update.rollouts if peer.update else ())
                if item.service == rollout.service
                and rollout.record is not None
                and (
                    item.record_position == rollout.record.position
                    # The node can't learn of the record, and needn't.
                    or is_closing
                    and item.is_refusing
                    and item.request_id == rollout.request_id
                )
            ]
            if found:
                running += found[0].old_running
            else:
                behind += 1
        return behind, running

    def _longest_timeout_s(self, service: ids.ServiceName) -> float:
        """The longest time for which a request to the service may run."""
        current = self._state.configuration
        if current is None:
            return 0.0
        return max(
            (
                route.timeout_s
                for by_prefix in current.routes_by_host.values()
                for route in by_prefix.values()
                if any(target.service == service for target in route.targets)
            ),
            default=0.0,
        )

    # -- metrics -------------------------------------------------------

    def _bad_responses(self, rollout: Rollout) -> int:
        routes = self.total(rollout).routes.values()
        return sum(item.new_failed + item.new_slow for item in routes)

    def _gauge(
        self, read: typing.Callable[[Rollout], float]
    ) -> typing.Callable[[], float]:
        """The greatest figure of the roll-outs that go on."""
        return lambda: max(
            (
                read(item)
                for item in self._rollouts.values()
                if item.current is not None and item.is_running
            ),
            default=0,
        )
