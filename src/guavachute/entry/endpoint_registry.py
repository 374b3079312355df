"""What this node knows of each endpoint beyond the endpoint's entry."""

import collections
import dataclasses
import math
import random
import typing

from guavachute.decide.ingress import announcements
from guavachute.decide.ingress import brittle_endpoints
from guavachute.decide.ingress.capacity import endpoint_capacity
from guavachute.decide.ingress.capacity import service_speed
from guavachute.decide.ingress import choice
from guavachute.decide.ingress import endpoint_health
from guavachute.decide.ingress import endpoint_links
from guavachute.decide.ingress.failover import abandonment
from guavachute.decide.nodes import endpoint_table
from guavachute.domain import call
from guavachute.domain import endpoints
from guavachute.domain import site as domain_site
from guavachute.entry.capacity import learned as learned_capacity
from guavachute.entry.capacity import updates as capacity_updates
from guavachute.entry import endpoint_limits
from guavachute import ids
from guavachute.observe import journal
from guavachute.platform import requests
from guavachute.wire import node_updates

MAX_CACHED_PARTS = 4_000
"""Upper bound of the prompt parts that are remembered as cached by one
engine."""

MAX_ALL_CACHED_PARTS = 50_000
"""Upper bound of the same over all endpoints, as callers choose the parts.
With the longest names, these take 22 MB."""

MIN_CACHED_PARTS = 50
"""So many are remembered for each endpoint, however many there are."""

SPEED_WEIGHT = 0.1
"""Weight of the newest measurement in the moving averages of an endpoint's
speed."""

CLOSES_BEFORE_END_S = 0.6
"""A leaving endpoint gets no new work from this long before it may end."""

LEAST_NOTICE_AGE_S = 1.0
"""The notice of a leaving endpoint is at least so old when it is known here:
what a read brings, or another node tells, has been on its way."""

MIN_REPORTED_RESULTS = 0.5
"""Results of an endpoint with a smaller decayed sum than this are not sent to
other nodes."""

REPORTED_LOAD_TTL_S = 0.6
"""The load that an endpoint reports is used for this long."""

MAX_LIMIT_WAIT_S = 0.5
"""Callers return after this if all endpoints have named a limit and this node
may send nothing: another node may."""

MAX_LOGGED_AGE_S = 99.0

_NO_LOAD = requests.EndpointLoad(0, 0, 0)


def _new_learned() -> learned_capacity.Learned:
    return learned_capacity.Learned(service_speed.ServiceSpeed())


@dataclasses.dataclass(slots=True)
class Work:
    """Load and recent results of one or more nodes at an endpoint.

    :ivar requests: requests that the endpoint has now
    :ivar waiting_tokens: prompt tokens not yet processed
    :ivar failed: recent requests that failed; old ones count less
    :ivar answered: recent requests that had a result; old ones count less
    :ivar heard_s: loop time at which one of the nodes last heard it
    """

    requests: int = 0
    waiting_tokens: int = 0
    failed: float = 0.0
    answered: float = 0.0
    heard_s: float = endpoint_links.NEVER_S

    def heard_ds(self, now_s: float) -> int | None:
        """How long ago it was heard, in tenths of a second, rounded up."""
        if self.heard_s == endpoint_links.NEVER_S:
            return None
        return math.ceil(10 * (now_s - self.heard_s))


@dataclasses.dataclass(slots=True)
class EndpointRecord:
    """One incarnation of an endpoint, as this node knows it.

    :ivar own: the work of this node at the endpoint
    :ivar accepts_until_s: loop time until which it gets new work although it
        is leaving
    :ivar has_announced_end: whether it told in an answer that it will end, so
        that it gets no new work
    :ivar is_in_doubt: whether an end that was announced just before this
        incarnation was known may be its own, so that it gets no new work
    :ivar is_gone: whether its entry is gone; the endpoint may still run the
        requests that it has started
    :ivar reported: the load in the endpoint's latest report
    :ivar reported_at_s: loop time of that report
    :ivar own_at_report: requests of this node there at that time
    :ivar work_s: how long this node's requests there took on average; None
        before the first
    :ivar cached: ids of prompt parts that the engine should have in its cache,
        the most recently used last
    :ivar max_cached_parts: the oldest are forgotten beyond this number
    """

    entry: endpoints.Endpoint
    own: Work = dataclasses.field(default_factory=Work)
    health: endpoint_health.EndpointHealth = dataclasses.field(
        default_factory=endpoint_health.EndpointHealth
    )
    learned: learned_capacity.Learned = dataclasses.field(
        default_factory=_new_learned
    )
    reported: requests.EndpointLoad = _NO_LOAD
    reported_at_s: float = float('-inf')
    own_at_report: int = 0
    accepts_until_s: float = float('-inf')
    has_announced_end: bool = False
    is_in_doubt: bool = False
    is_gone: bool = False
    work_s: float | None = None
    cached: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    max_cached_parts: int = MIN_CACHED_PARTS

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint has announced that it will end."""
        return (
            self.has_announced_end
            or self.entry.state is endpoints.EndpointState.DRAINING
        )

    @property
    def has_short_work(self) -> bool:
        """Whether its requests end before other nodes hear of them."""
        return (
            self.work_s is not None
            and self.work_s < brittle_endpoints.SHORT_WORK_S
        )

    def record_ended(self, duration_s: float) -> None:
        """Record the end of a request that this node had there."""
        self.own.requests -= 1
        if self.work_s is None:
            self.work_s = duration_s
        self.work_s += SPEED_WEIGHT * (duration_s - self.work_s)

    def begin_attempt(
        self, chosen: choice.Chosen | None, now_s: float
    ) -> learned_capacity.Attempt:
        """Measure a request that is sent there now.

        :param chosen: None if the time that it takes shows nothing
        """
        return learned_capacity.Attempt(
            self.learned, chosen, self._reported_share, now_s
        )

    def _reported_share(self, now_s: float) -> float:
        """The share of its slots that the endpoint reports as occupied."""
        if now_s - self.reported_at_s > REPORTED_LOAD_TTL_S:
            return 0.0
        reported = self.reported.running + self.reported.waiting
        return reported / max(1, self.entry.slots)

    @property
    def incarnation(self) -> announcements.Incarnation:
        """Identifies this incarnation in announcements."""
        return announcements.Incarnation(self.entry.id, self.entry.start_ms)

    def cached_tokens(self, parts: typing.Sequence[call.PromptPart]) -> int:
        """Tokens at the start of a prompt that the engine should have cached.

        Counting ends at the first part that is not cached.
        """
        tokens = 0
        for part in parts:
            if part.id not in self.cached:
                break
            tokens += part.tokens
        return tokens

    def record_prompt(self, parts: typing.Sequence[call.PromptPart]) -> None:
        """Record that the engine processes this prompt, and caches it."""
        for part in parts:
            self.cached[part.id] = None
            self.cached.move_to_end(part.id)
        self._forget_oldest_parts()

    def limit_cached_parts(self, endpoints_in_all: int) -> None:
        """Share what may be remembered with the other endpoints."""
        self.max_cached_parts = max(
            MIN_CACHED_PARTS,
            min(
                MAX_CACHED_PARTS,
                MAX_ALL_CACHED_PARTS // max(1, endpoints_in_all),
            ),
        )
        self._forget_oldest_parts()

    def _forget_oldest_parts(self) -> None:
        while len(self.cached) > self.max_cached_parts:
            self.cached.popitem(last=False)

    def record_reported_load(
        self, load: requests.EndpointLoad, now_s: float
    ) -> None:
        """Record the load that the endpoint reports of itself."""
        self.reported = load
        self.reported_at_s = now_s
        self.own_at_report = self.own.requests
        if load.slowdown is not None:
            self.learned.record_report(load.slowdown, now_s)


class EndpointRegistry:
    """The records of the endpoints in the table, by id.

    A record outlives its entry while requests of this node run there.

    :param now_s: gives the loop's time
    :ivar links: this node's contacts with endpoints
    """

    def __init__(
        self,
        site: domain_site.Site,
        table: endpoint_table.EndpointTable,
        now_s: typing.Callable[[], float],
    ) -> None:
        self._site = site
        self._now_s = now_s
        self._table = table
        self._records: dict[ids.EndpointId, EndpointRecord] = {}
        self._announcements = announcements.Announcements()
        self._initial_speed = service_speed.ServiceSpeed()
        self.links = endpoint_links.EndpointLinks()
        self._brittle = brittle_endpoints.BrittleServices()
        self.speeds: dict[ids.ServiceName, service_speed.ServiceSpeed] = {}
        """What this node has measured, by service."""
        self.draw: choice.Draw | None = (
            random.random if learned_capacity.IS_USED else None
        )
        """Gives the random numbers of choices; None for choices by the lowest
        cost alone, without learned capacity."""
        self._senders = (endpoint_links.NEVER_S, 1)
        """When the nodes of this region were counted, and how many are."""
        self.limits = endpoint_limits.EndpointLimits(
            site, lambda: table.entries, now_s
        )
        self.work_of_others: typing.Callable[[ids.EndpointId], Work] = (
            lambda endpoint: Work()
        )
        """Gives the work of all other nodes at an endpoint."""
        self.heard_by_others_s: typing.Callable[[ids.EndpointId], float] = (
            lambda endpoint: endpoint_links.NEVER_S
        )
        """Gives when another node last heard an endpoint."""
        self.is_build_awaited: typing.Callable[
            [ids.ServiceName, ids.BuildName, float], bool
        ] = lambda service, build, now_s: False
        """Whether endpoints of other builds are preferred for now."""
        self.entries_age_s: typing.Callable[[], float] = lambda: 0.0
        """For how long changes of the entries may not be known."""
        self.has_helper: typing.Callable[[EndpointRecord], bool] = (
            lambda record: False
        )
        """Whether another node can pass a request on to an endpoint."""
        self.on_died: typing.Callable[[EndpointRecord], None] = (
            lambda record: None
        )  # fmt: skip
        """Called with the record of an incarnation that has ended."""
        self.on_unreachable: typing.Callable[[EndpointRecord], None] = (
            lambda record: None
        )
        """Called with the record of an endpoint that was not reached, and may
        have ended."""
        self.on_leaving: typing.Callable[[EndpointRecord], None] = (
            lambda record: None
        )
        """Called with the record of an endpoint that starts to drain, or whose
        entry is gone while requests of this node run there."""
        self.on_in_doubt: typing.Callable[[EndpointRecord], None] = (
            lambda record: None
        )
        """Called with the record of an incarnation that may be leaving; ends
        with :meth:`resolve_doubt`."""

    def record_for(self, entry: endpoints.Endpoint) -> EndpointRecord:
        """The record of *entry*, which is new for a new incarnation."""
        found = self._records.get(entry.id)
        if found is None or found.entry.incarnation != entry.incarnation:
            if found is not None:
                self.on_died(found)
            found = self._records[entry.id] = EndpointRecord(entry)
            found.learned = learned_capacity.Learned(
                self.speed(entry.service), known_since_s=self._now_s()
            )
            found.has_announced_end = self._announcements.is_leaving(
                found.incarnation
            )
            if self._announcements.is_in_doubt(
                found.incarnation, self._now_s()
            ):
                found.is_in_doubt = True
                self.on_in_doubt(found)
        was_leaving = found.is_leaving
        found.entry = entry
        found.is_gone = False
        if found.is_leaving and not was_leaving:
            drain_s = self._site.bounds.drain_s
            ends_in_s = min(entry.leaves_in_s or drain_s, drain_s)
            # It may be as old as the latest proof that there was none.
            age_s = max(LEAST_NOTICE_AGE_S, self.entries_age_s())
            found.accepts_until_s = (
                self._now_s() - age_s + ends_in_s - CLOSES_BEFORE_END_S
            )
            self.on_leaving(found)
        return found

    def apply_table_changes(self) -> None:
        """Apply changes of the table, and report endpoints that leave."""
        for entry in self._table.entries.values():
            self.record_for(entry)
        for record in self._records.values():
            record.limit_cached_parts(len(self._records))
        for endpoint in self._records.keys() - self._table.entries.keys():
            record = self._records[endpoint]
            if record.own.requests and not record.is_gone:
                record.is_gone = True
                self.on_leaving(record)

    def discard_gone(self) -> None:
        """Discard idle records of endpoints that are not in the table."""
        for endpoint in self._records.keys() - self._table.entries.keys():
            if not self._records[endpoint].own.requests:
                del self._records[endpoint]
        self._brittle.discard(self._records)
        self.links.discard(
            {item.entry.address for item in self._records.values()}
        )

    def usable(
        self,
        service: ids.ServiceName,
        excluded: typing.Container[ids.EndpointId],
        now_s: float,
        build: ids.BuildName | None = None,
    ) -> list[EndpointRecord]:
        """The endpoints of *service* that a request may be sent to.

        Endpoints that were recently unreachable are left out for a pause,
        unless other nodes reach them.

        :param build: only endpoints of this build; None for all
        """
        accepting = [
            item
            for item in self._records.values()
            if item.entry.service == service
            and item.entry.id not in excluded
            and (build is None or item.entry.build == build)
            and self._accepts_work(item, now_s)
            and not self.call_wait_s(item, now_s)
            and self._has_room(item, now_s)
        ]
        found = [
            item
            for item in accepting
            if self.is_direct(item, now_s)
            or (self.has_broken_link(item) and self.has_helper(item))
        ] or [item for item in accepting if self.has_helper(item)]
        known = [
            item
            for item in found
            if not self.is_build_awaited(service, item.entry.build, now_s)
        ]
        return known or found

    def _has_room(self, record: EndpointRecord, now_s: float) -> bool:
        """Whether a request fits, at an endpoint of a brittle service."""
        if not self._brittle.is_brittle(record.entry.service, now_s):
            return True
        if self._brittle.has_rejected(record.entry.id, now_s):
            return False
        counted_s, nodes = self._senders
        if now_s - counted_s >= brittle_endpoints.WINDOW_S:
            nodes = 1 + sum(
                place.region == self._site.region
                for place in self.limits.other_places()
            )
            self._senders = now_s, nodes
        slots, running = record.entry.slots, self._running(record, now_s)
        if record.has_short_work:
            return record.own.requests < brittle_endpoints.allowed_at_once(
                slots, nodes
            )
        return self._brittle.sent(
            record.entry.id, now_s
        ) < brittle_endpoints.allowed_sends(
            self._site.node, record.entry.id, slots, running, nodes, now_s
        )

    def record_sent(self, record: EndpointRecord, now_s: float) -> None:
        """Record a request that is sent to an endpoint."""
        self.limits.record_sent(record.incarnation, now_s)
        self._brittle.record_sent(record.entry.id, now_s)

    def is_direct(self, record: EndpointRecord, now_s: float) -> bool:
        """Whether requests are sent to an endpoint from here."""
        return not self.links.is_cut and not record.health.is_paused(now_s)

    def is_reached_by_others(self, record: EndpointRecord) -> bool:
        """Whether another node heard an endpoint after it failed from here."""
        return self.links.is_contradicted(
            record.entry.address,
            lambda address: self.heard_by_others_s(record.entry.id),
        )

    def has_broken_link(self, record: EndpointRecord) -> bool:
        """Whether an endpoint lives, but isn't reached from here."""
        return self.links.is_cut or self.is_reached_by_others(record)

    def is_abandoned(
        self, record: EndpointRecord, silent_s: float, has_begun: bool
    ) -> bool:
        """Whether a request at an endpoint should go on at another one.

        :param silent_s: for how long its connection has received nothing
        :param has_begun: whether its caller has a part of the answer
        """
        return abandonment.is_abandoned(
            abandonment.Link(
                self.links.is_cut,
                self.is_reached_by_others(record),
                self.links.is_only_link(record.entry.address, self._now_s()),
            ),
            silent_s,
            has_begun,
        )

    def heard_at_by_others_s(self, address: ids.Address) -> float:
        """When another node last heard the endpoint at an address."""
        return max(
            (
                self.heard_by_others_s(record.entry.id)
                for record in self.records_at(address)
            ),
            default=endpoint_links.NEVER_S,
        )

    def records_at(self, address: ids.Address) -> list[EndpointRecord]:
        """The endpoints in the table that have an address."""
        return [
            item
            for item in self._records.values()
            if item.entry.address == address
            and item.entry.id in self._table.entries
        ]

    def heard(self) -> dict[ids.EndpointId, float]:
        """When this node last heard each endpoint in the table."""
        return {
            endpoint: self.links.heard_s(item.address)
            for endpoint, item in self._table.entries.items()
        }

    def addresses(self) -> list[ids.Address]:
        """The addresses of the endpoints in the table."""
        return [item.address for item in self._table.entries.values()]

    def relay_target(
        self, endpoint: ids.EndpointId, start_ms: int, now_s: float
    ) -> EndpointRecord | None:
        """The endpoint to which another node's request may be passed on.

        None if this node knows no such incarnation, or a reason against it.
        Whether a limit that it has named allows the request is for the other
        node to know.
        """
        record = self._records.get(endpoint)
        if (
            record is None
            or record.entry.start_ms != start_ms
            or not self._accepts_work(record, now_s)
            or self.pause_s(record, now_s) > 0
            or not self.is_direct(record, now_s)
        ):
            return None
        return record

    def handle_links_lost(self) -> None:
        """Discard what the loss of all links showed of endpoints."""
        for record in self._records.values():
            record.health.discard_results()

    def handle_links_regained(self) -> None:
        """Use all endpoints again, and forget what the cut showed of them."""
        for record in self._records.values():
            record.health.end_pause()
            record.health.discard_results()

    def serves_build(
        self, service: ids.ServiceName, build: ids.BuildName, now_s: float
    ) -> bool:
        """Whether an endpoint of *service* with that build accepts work."""
        return any(
            item.entry.service == service
            and item.entry.build == build
            and self._accepts_work(item, now_s)
            for item in self._records.values()
        )

    def call_wait_s(self, record: EndpointRecord, now_s: float) -> float:
        """The time until a call may be sent to an endpoint."""
        return max(
            self.pause_s(record, now_s),
            self.limits.wait_s(record.incarnation, now_s),
        )

    def accepts_call(self, record: EndpointRecord, now_s: float) -> bool:
        """Whether a call that is no request of a caller may be sent now.

        A call that is allowed counts as sent.
        """
        if self.call_wait_s(record, now_s) > 0:
            return False
        self.limits.record_sent(record.incarnation, now_s)
        return True

    def _accepts_work(self, item: EndpointRecord, now_s: float) -> bool:
        """Whether the endpoint accepts work, for a while also if it leaves."""
        return (
            item.entry.id in self._table.entries
            and not item.has_announced_end
            and not item.is_in_doubt
            and (not item.is_leaving or now_s < item.accepts_until_s)
        )

    # -- what endpoints say of themselves ------------------------------

    def apply_announcement(
        self,
        record: EndpointRecord,
        announced: requests.Announcement,
        sent_s: float | None,
        now_s: float,
    ) -> bool:
        """Apply what an endpoint says in an answer.

        Returns whether it wants no request for a while, or fewer from now on.

        :param sent_s: when the request was sent that is answered; None for an
            answer that doesn't tell the end of a limit
        """
        if announced.is_leaving:
            self._handle_announced_end(record, 'answer', now_s)
        service = record.entry.service
        if self._brittle.apply_answer(
            service, announced.is_brittle, sent_s, now_s
        ):
            journal.event(
                'endpoint',
                outcome='brittle' if announced.is_brittle else 'firm',
                endpoint=record.entry.id,
                service=service,
            )
        if announced.has_rejected and announced.is_brittle:
            self._brittle.record_rejection(
                record.entry.id, random.random(), now_s
            )
        elif announced.has_rejected and announced.limit_per_s is None:
            record.learned.record_rejection(
                self._running(record, now_s) / max(1, record.entry.slots),
                now_s,
            )
        is_limited = self.limits.apply_answer(
            record.incarnation, announced.limit_per_s, sent_s, now_s
        )
        if announced.retry_after_s is None:
            return is_limited
        pause_s = announcements.bounded_pause_s(announced.retry_after_s)
        if pause_s != announced.retry_after_s:
            journal.problem(
                'endpoint',
                outcome='pause-bounded',
                endpoint=record.entry.id,
                announced_s=str(announced.retry_after_s),
                pause_s=pause_s,
            )
        is_longer = self._announcements.record_pause(
            record.incarnation, now_s + pause_s
        )
        if pause_s and is_longer:
            journal.event(
                'endpoint',
                outcome='paused',
                endpoint=record.entry.id,
                reason='the endpoint wants no requests',
                pause_s=pause_s,
            )
        return is_limited or pause_s > 0

    def apply_notices(
        self,
        notices: typing.Iterable[tuple[ids.EndpointId, int]],
        source: str,
        now_s: float,
    ) -> None:
        """Apply that endpoints have told another node that they leave."""
        for endpoint, start_ms in notices:
            record = self._records.get(endpoint)
            if record is not None and record.entry.start_ms == start_ms:
                self._handle_announced_end(record, source, now_s)
            else:
                self._announcements.record_leaving(
                    announcements.Incarnation(endpoint, start_ms), now_s
                )

    def remains_in_doubt(self, record: EndpointRecord, now_s: float) -> bool:
        """Whether it is to be asked still whether it is leaving."""
        return self._records.get(
            record.entry.id
        ) is record and self._announcements.is_in_doubt(
            record.incarnation, now_s
        )

    def resolve_doubt(
        self,
        record: EndpointRecord,
        is_leaving: bool,
        reason: str,
        now_s: float,
    ) -> None:
        """Apply whether an incarnation that may be leaving is leaving.

        :param reason: how that was found out, for the log
        """
        record.is_in_doubt = False
        if is_leaving:
            self._handle_announced_end(record, 'report', now_s)
        journal.event(
            'endpoint',
            outcome='asked',
            endpoint=record.entry.id,
            is_leaving=record.is_leaving,
            reason=reason,
        )

    def notices(self, now_s: float) -> list[tuple[ids.EndpointId, int]]:
        """The endpoints that announced their end, for the other nodes."""
        return [
            (item.endpoint, item.start_ms)
            for item in self._announcements.notices(now_s)
        ]

    def pause_s(self, record: EndpointRecord, now_s: float) -> float:
        """For how long an endpoint wants no request; 0 if it wants them."""
        return self._announcements.pause_s(record.incarnation, now_s)

    def service_pause_s(
        self, service: ids.ServiceName, now_s: float
    ) -> float | None:
        """The time until an endpoint of *service* wants requests again.

        None if one may want them now, or there is none.
        """
        pauses_s = [
            max(
                self.pause_s(item, now_s),
                min(
                    MAX_LIMIT_WAIT_S,
                    self.limits.wait_s(item.incarnation, now_s),
                ),
            )
            for item in self._records.values()
            if item.entry.service == service
            and self._accepts_work(item, now_s)
        ]
        return min(pauses_s, default=0.0) or None

    def log_ended_pauses(self, now_s: float) -> None:
        """Log the endpoints that want requests again."""
        for incarnation in self._announcements.pop_ended_pauses(now_s):
            journal.event(
                'endpoint',
                outcome='resumed',
                endpoint=incarnation.endpoint,
                reason='the pause that it wanted is over',
            )

    def _handle_announced_end(
        self, record: EndpointRecord, source: str, now_s: float
    ) -> None:
        self._announcements.record_leaving(record.incarnation, now_s)
        if record.has_announced_end:
            return
        was_leaving = record.is_leaving
        record.has_announced_end = True
        journal.event(
            'endpoint',
            outcome='leaving',
            endpoint=record.entry.id,
            service=record.entry.service,
            domain=record.entry.domain,
            source=source,
        )
        if not was_leaving:
            self.on_leaving(record)

    def candidates(
        self,
        records: typing.Sequence[EndpointRecord],
        parts: typing.Sequence[call.PromptPart],
        now_s: float,
    ) -> list[choice.Candidate]:
        """The input for a choice between *records*, in the same order.

        :param records: of one service
        """
        if not records:
            return []
        usual = (
            self._initial_speed
            if self.draw is None
            else records[0].learned.service
        ).usual()
        return [self._candidate(item, parts, usual, now_s) for item in records]

    def engines_with_requests(self) -> list[EndpointRecord]:
        """The engines that run model requests of this node."""
        return [
            item
            for item in self._records.values()
            if item.own.requests and item.cached
        ]

    def work(self) -> dict[ids.EndpointId, Work]:
        """This node's work and results by endpoint, for the other nodes."""
        now_s = self._now_s()
        found = {}
        for endpoint, item in self._records.items():
            results = item.health.results(now_s)
            if self.has_broken_link(item):
                # They show nothing of the endpoint.
                results = endpoint_health.Results()
            if item.own.requests or results.answered >= MIN_REPORTED_RESULTS:
                found[endpoint] = Work(
                    item.own.requests,
                    item.own.waiting_tokens,
                    *results,
                    heard_s=self.links.heard_s(item.entry.address),
                )
        return found

    # -- learned capacity ----------------------------------------------

    def speed(self, service: ids.ServiceName) -> service_speed.ServiceSpeed:
        """What this node has measured at all endpoints of a service."""
        found = self.speeds.get(service)
        if found is None:
            found = self.speeds[service] = service_speed.ServiceSpeed()
        return found

    def measured_speeds(
        self, service: ids.ServiceName
    ) -> tuple[float | None, float | None]:
        """The prefill speed of a service's engines, and the time per token.

        The time is a token's share of a batch step. None if not measured.
        """
        found = self.speeds.get(service)
        if found is None or self.draw is None:
            return None, None
        return (
            found.prefill_tokens_per_s if found.first_token.is_known else None,
            found.token_s,
        )

    def _learned(
        self, within_s: float
    ) -> dict[ids.EndpointId, learned_capacity.Learned]:
        """The endpoints of which something was learned within that time."""
        since_s = self._now_s() - within_s
        return {
            name: item.learned
            for name, item in self._records.items()
            if not item.learned.is_unchanged(since_s)
        }

    def told_capacity(
        self,
    ) -> dict[ids.EndpointId, node_updates.EndpointCapacity]:
        """This node's figures that other nodes of the region should know."""
        now_s = self._now_s()
        return capacity_updates.encode(
            learned_capacity.told_figures(
                self._learned(learned_capacity.TELLING_S), now_s
            ),
            now_s,
        )

    def region_capacity(
        self,
    ) -> dict[ids.EndpointId, node_updates.EndpointCapacity]:
        """The figures of this region's endpoints, for other regions."""
        now_s = self._now_s()
        local = {
            name: item
            for name, item in self._learned(endpoint_capacity.KEPT_S).items()
            if self.nearness(self._records[name].entry)
            is not choice.Nearness.OTHER_REGION
        }
        return capacity_updates.encode(
            learned_capacity.region_figures(local, now_s), now_s
        )

    def merge_capacity(
        self,
        source: str,
        received: typing.Mapping[
            ids.EndpointId, node_updates.EndpointCapacity
        ],
    ) -> None:
        """Keep the figures that a node, or the reader of a region, sent."""
        now_s = self._now_s()
        for name, told in capacity_updates.decode(received, now_s).items():
            record = self._records.get(name)
            if record is not None:
                record.learned.merge_told(source, told, now_s)

    def slowdowns(self) -> dict[str, float]:
        """The slowdown of slow endpoints, for metrics."""
        return learned_capacity.slowdowns(
            self._learned(endpoint_capacity.KEPT_S), self._now_s()
        )

    def limit_shares(self) -> dict[str, float]:
        """The share of slots of endpoints that handle few, for metrics."""
        return learned_capacity.limit_shares(
            self._learned(endpoint_capacity.KEPT_S), self._now_s()
        )

    def expire_capacity(self) -> None:
        """Discard old figures of other nodes, and log what has changed."""
        now_s = self._now_s()
        for name, item in self._records.items():
            item.learned.expire(name, item.entry.service, now_s)

    def record_unreachable(self, record: EndpointRecord, now_s: float) -> None:
        """Record that an endpoint was unreachable or fell silent."""
        record.health.record_unreachable(now_s, random.random())
        address = record.entry.address
        others_heard_s = self.heard_by_others_s(record.entry.id)
        journal.event(
            'endpoint',
            outcome='unreachable',
            endpoint=record.entry.id,
            service=record.entry.service,
            domain=record.entry.domain,
            failures=record.health.consecutive_unreachable,
            pause_s=round(record.health.paused_until_s - now_s, 3),
            heard_age_s=_age_s(self.links.heard_s(address), now_s),
            others_heard_age_s=_age_s(others_heard_s, now_s),
        )
        self.on_unreachable(record)

    def nearness(self, entry: endpoints.Endpoint) -> choice.Nearness:
        """Whether an endpoint is in the domain or region of this node."""
        if entry.domain == self._site.domain:
            return choice.Nearness.SAME_DOMAIN
        if self._site.region_of.get(entry.domain) == self._site.region:
            return choice.Nearness.SAME_REGION
        return choice.Nearness.OTHER_REGION

    def _candidate(
        self,
        item: EndpointRecord,
        parts: typing.Sequence[call.PromptPart],
        usual: service_speed.Usual,
        now_s: float,
    ) -> choice.Candidate:
        others = self.work_of_others(item.entry.id)
        spreads = item.has_short_work and self._brittle.is_brittle(
            item.entry.service, now_s
        )
        learned = item.learned
        slots = item.entry.slots
        slowdown, limit = learned.figures(now_s) if self.draw else (1.0, 1.0)
        return choice.Candidate(
            id=item.entry.id,
            nearness=self.nearness(item.entry),
            slots=slots,
            running=item.own.requests
            if spreads
            else self._expected_running(item, now_s),
            waiting_tokens=item.own.waiting_tokens + others.waiting_tokens,
            cached_tokens=item.cached_tokens(parts),
            prefill_tokens_per_s=usual.prefill_tokens_per_s,
            is_doubtful=self._table.is_deletion_pending(item.entry.id)
            or item.health.is_doubtful(
                endpoint_health.Results(others.failed, others.answered), now_s
            ),
            is_leaving=item.is_leaving,
            is_relayed=not self.is_direct(item, now_s),
            order=random.random() if spreads else 0.0,
            slowdown=slowdown,
            limit=slots * limit,
            step_s=usual.step_s,
            slot_wait_s=usual.slot_wait_s(slots),
        )

    def _expected_running(self, item: EndpointRecord, now_s: float) -> float:
        """The requests that an endpoint is expected to have."""
        if self.draw is None:
            return self._running(item, now_s)
        own = item.own.requests
        return endpoint_capacity.expected_requests(
            own + self.work_of_others(item.entry.id).requests,
            item.reported.running
            + item.reported.waiting
            + max(0, own - item.own_at_report),
            now_s - item.reported_at_s,
            item.entry.slots,
        )

    def _running(self, item: EndpointRecord, now_s: float) -> int:
        """The requests at an endpoint, as far as is known."""
        running = (
            item.own.requests + self.work_of_others(item.entry.id).requests
        )
        if now_s - item.reported_at_s <= REPORTED_LOAD_TTL_S:
            reported = item.reported.running + item.reported.waiting
            running = max(running, reported)
        return running


def _age_s(at_s: float, now_s: float) -> float:
    """An age for the log, which has no infinite numbers."""
    return round(min(MAX_LOGGED_AGE_S, now_s - at_s), 3)
