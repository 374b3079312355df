"""The endpoints known to one router; owned by the relay task.

Combines the data for routing decisions: the tables, the router's own and
the reported load, health, and which endpoint holds which prompt blocks.
"""

import dataclasses
import typing

from guavachute.decide.requests import health
from guavachute.decide.requests import limits
from guavachute.decide.requests import load
from guavachute.decide.requests import prefix_index
from guavachute.decide.requests import routing
from guavachute.decide.requests import subset
from guavachute.document import schema
from guavachute import ids
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services.relay import work as relay_work
from guavachute.wire import tables

NO_ENDPOINT_RETRY_S = 1.0
DEFAULT_SLOTS = 32
LINK_BYTES_PER_S = 250_000.0
"""Limit of the traffic of this router's requests between regions."""

ASSUMED_NOTICE_S = 20.0
"""Time left for a leaving endpoint if the tables don't state it."""

_log = logs.logger('endpoints')


@dataclasses.dataclass(slots=True)
class Endpoint:
    """One endpoint of the router's subset.

    :ivar leave_at_s: when it leaves, on the monotonic clock; None if it
        isn't leaving
    :ivar listed: False once the tables no longer list it; it is removed
        when its last attempt ends
    :ivar has_reported: whether the endpoint itself has reported its
        number of slots
    """

    entry: tables.EndpointEntry
    candidate: routing.Candidate
    leave_at_s: float | None = None
    listed: bool = True
    has_reported: bool = False


class Endpoints:
    """Chooses endpoints for attempts and keeps the state for that.

    :param router: the id of the VM, which determines the subset of
        endpoints
    :param failure_domain: of this router
    :param region: of this router
    """

    def __init__(
        self,
        router: str,
        failure_domain: str,
        region: str,
        count: counters.Counters,
    ) -> None:
        self._router = router
        self._failure_domain = ids.FailureDomain(failure_domain)
        self._region = region
        self._count = count
        self._known: dict[ids.EndpointId, Endpoint] = {}
        self._health: dict[str, health.Health] = {}
        self._index = prefix_index.PrefixIndex()
        self._link = limits.TokenBucket(LINK_BYTES_PER_S, 0.0)

    def update(
        self,
        new_tables: tables.Tables,
        document: schema.Document,
        now_s: float,
    ) -> list[Endpoint]:
        """Apply new tables and the document that is in force.

        :returns: the endpoints that have just begun to leave
        """
        entries = self._choose_subset(new_tables)
        leaving = []
        for name, entry in entries.items():
            known = self._known.get(name)
            if known is None:
                known = self._add(entry, now_s)
            known.entry = entry
            known.listed = True
            if not known.has_reported:
                known.candidate.slots = _configured_slots(entry, document)
            if entry.leaving and known.leave_at_s is None:
                notice_s = entry.leave_in_s
                if notice_s is None:
                    notice_s = ASSUMED_NOTICE_S
                known.leave_at_s = now_s + notice_s
                leaving.append(known)
            elif not entry.leaving:
                known.leave_at_s = None
        for name in set(self._known) - set(entries):
            self._discard(name)
        return leaving

    def names(self, pool: str) -> list[ids.EndpointId]:
        """The endpoints of *pool* that are listed and not leaving."""
        return [
            name
            for name, known in self._known.items()
            if known.entry.pool == pool and _is_staying(known)
        ]

    def entry(self, name: ids.EndpointId) -> tables.EndpointEntry | None:
        """The tables' entry of endpoint *name*; None if it is unknown."""
        known = self._known.get(name)
        return None if known is None else known.entry

    def known_entry(self, name: ids.EndpointId) -> tables.EndpointEntry:
        """The tables' entry of endpoint *name*.

        :raises KeyError: if the endpoint is unknown
        """
        return self._known[name].entry

    def has_capacity(self, name: ids.EndpointId) -> bool:
        """Whether endpoint *name* isn't leaving and has a free slot."""
        known = self._known.get(name)
        if known is None or not _is_staying(known):
            return False
        return self.free_slots_of(name) > 0

    def leave_at_s(self, name: str) -> float | None:
        """When endpoint *name* leaves, on the monotonic clock.

        None if it isn't leaving or is unknown.
        """
        known = self._known.get(ids.EndpointId(name))
        return None if known is None else known.leave_at_s

    def free_slots(self, pool: str) -> int:
        """Free slots of the endpoints of *pool* that aren't leaving."""
        return sum(
            max(0, known.candidate.slots - known.candidate.load.outstanding)
            for known in self._known.values()
            if known.entry.pool == pool and _is_staying(known)
        )

    def outstanding(self, name: str) -> int:
        """Requests that run or wait at endpoint *name*; 0 if unknown."""
        known = self._known.get(ids.EndpointId(name))
        return 0 if known is None else known.candidate.load.outstanding

    def free_slots_of(self, name: ids.EndpointId) -> int:
        """Free slots of endpoint *name*.

        :raises KeyError: if the endpoint is unknown
        """
        candidate = self._known[name].candidate
        return max(0, candidate.slots - candidate.load.outstanding)

    def slots(self, pool: str) -> int:
        """All slots of the endpoints of *pool* that aren't leaving."""
        return sum(
            known.candidate.slots
            for known in self._known.values()
            if known.entry.pool == pool and _is_staying(known)
        )

    def held_blocks(self, chain: list[str]) -> int:
        """The longest prefix of *chain*, in blocks, that an endpoint holds."""
        return max(self._index.match(chain).values(), default=0)

    def choose(
        self,
        pool: str,
        work: relay_work.Work,
        tried: typing.Iterable[str],
        avoided: typing.Container[str],
        now_s: float,
    ) -> tables.EndpointEntry | outcome.Failure:
        """Choose the endpoint for the next attempt of *work*.

        Endpoints of *tried* are used only if there is no other, and
        ejected ones only if the whole pool is ejected. Those of *avoided*
        and leaving ones are never used. Traffic to another region is
        charged to the limit of this router.

        :returns: its entry, or a failure if no endpoint can be used now
        """
        candidates = [
            known.candidate
            for known in self._known.values()
            if known.entry.pool == pool
            and _is_staying(known)
            and known.entry.endpoint not in avoided
        ]
        if not candidates:
            return outcome.Failure(
                outcome.Reason.NO_CAPACITY,
                f'no endpoint of pool {pool} can serve the request now',
                NO_ENDPOINT_RETRY_S,
            )
        chain = work.chain
        affinity = chain[0] if chain else work.fingerprint
        placement = routing.PlacementRequest(
            affinity,
            self._index.match(chain),
            routing.region_bytes(
                work.prompt_bytes, int(work.request.expected_tokens)
            ),
        )
        link_bytes = self._link.level(now_s)
        ejected = self._pool_health(pool).excluded(now_s)
        result: routing.Choice | outcome.Failure | None = None
        # While any endpoint works, ejected ones are left out, even for a
        # suspect, which then waits for an endpoint without suspects.
        if ejected.issuperset(self.names(pool)):
            ejected = frozenset()
        tried_endpoints = frozenset(ids.EndpointId(name) for name in tried)
        for excluded in (ejected | tried_endpoints, ejected):
            result = routing.choose(
                placement, candidates, excluded, link_bytes
            )
            if isinstance(result, routing.Choice):
                if result.region_bytes:
                    self._link.consume(result.region_bytes, now_s)
                    self._count.add('region_link.bytes', result.region_bytes)
                return self._known[result.endpoint].entry
        assert isinstance(result, outcome.Failure)
        return result

    def record_start(
        self, name: str, work: relay_work.Work, now_s: float
    ) -> None:
        """Record that an attempt of *work* starts at endpoint *name*."""
        endpoint = ids.EndpointId(name)
        known = self._known[endpoint]
        known.candidate.load.record_sent(now_s)
        self._index.record_routed(endpoint, work.chain)
        change = self._pool_health(known.entry.pool).record_sent(
            endpoint, now_s
        )
        self._record_change(change)

    def record_end(self, name: str, now_s: float) -> None:
        """Record that an attempt at endpoint *name* has ended."""
        endpoint = ids.EndpointId(name)
        known = self._known[endpoint]
        known.candidate.load.record_end(now_s)
        if not known.listed and not known.candidate.load.own:
            del self._known[endpoint]

    def record_pace(self, name: str, gap_s: float, now_s: float) -> None:
        """Record the mean gap between tokens of a stream from *name*."""
        known = self._known.get(ids.EndpointId(name))
        if known is not None:
            pool_health = self._pool_health(known.entry.pool)
            self._record_change(
                pool_health.record_success(ids.EndpointId(name), gap_s, now_s)
            )

    def record_failure(self, name: str, now_s: float) -> None:
        """Record an attempt that failed by the fault of endpoint *name*."""
        known = self._known.get(ids.EndpointId(name))
        if known is not None:
            pool_health = self._pool_health(known.entry.pool)
            self._record_change(
                pool_health.record_failure(ids.EndpointId(name), now_s)
            )

    def record_unreachable(self, name: str, now_s: float) -> None:
        """Record that endpoint *name* died and its prompt cache is lost."""
        endpoint = ids.EndpointId(name)
        self._index.remove_endpoint(endpoint)
        known = self._known.get(endpoint)
        if known is not None:
            pool_health = self._pool_health(known.entry.pool)
            self._record_change(
                pool_health.record_unreachable(endpoint, now_s)
            )

    def record_report(
        self,
        name: str,
        outstanding: int,
        slots: int,
        age_s: float,
        now_s: float,
    ) -> None:
        """Record the load that endpoint *name* reported about itself.

        :param age_s: age of the load at *now_s*
        """
        known = self._known.get(ids.EndpointId(name))
        if known is not None:
            known.has_reported = True
            known.candidate.slots = max(1, slots)
            known.candidate.load.record_report(outstanding, age_s, now_s)

    def apply_cache_events(
        self, name: str, events: list[prefix_index.Event]
    ) -> None:
        """Apply prompt cache events of endpoint *name*, oldest first."""
        if self._index.apply_events(ids.EndpointId(name), events):
            self._count.add('cache_events.gaps')

    def _choose_subset(
        self, new_tables: tables.Tables
    ) -> dict[ids.EndpointId, tables.EndpointEntry]:
        by_pool: dict[str, list[tables.EndpointEntry]] = {}
        for entry in new_tables.endpoints:
            by_pool.setdefault(entry.pool, []).append(entry)
        entries = {}
        for of_pool in by_pool.values():
            chosen = subset.choose(
                self._router,
                self._failure_domain,
                [
                    subset.EndpointLocation(
                        ids.EndpointId(entry.endpoint),
                        ids.FailureDomain(entry.failure_domain),
                    )
                    for entry in of_pool
                ],
                {
                    router.node
                    for router in new_tables.routers
                    if router.failure_domain == self._failure_domain
                },
            )
            for entry in of_pool:
                name = ids.EndpointId(entry.endpoint)
                # A leaving endpoint stays known for the attempts on it.
                if name in chosen or (entry.leaving and name in self._known):
                    entries[name] = entry
        return entries

    def _add(
        self,
        entry: tables.EndpointEntry,
        now_s: float,
    ) -> Endpoint:
        name = ids.EndpointId(entry.endpoint)
        known = Endpoint(
            entry,
            routing.Candidate(
                name,
                ids.FailureDomain(entry.failure_domain),
                DEFAULT_SLOTS,
                load.Load(),
                entry.region != self._region,
            ),
        )
        self._known[name] = known
        self._pool_health(entry.pool).add(name, now_s)
        return known

    def _discard(self, name: ids.EndpointId) -> None:
        known = self._known[name]
        known.listed = False
        self._index.remove_endpoint(name)
        self._pool_health(known.entry.pool).remove(name)
        if not known.candidate.load.own:
            del self._known[name]

    def _pool_health(self, pool: str) -> health.Health:
        return self._health.setdefault(pool, health.Health())

    def _record_change(self, change: health.Change | None) -> None:
        if change is None:
            return
        self._count.add(f'endpoints.{change.state.value}')
        if change.cause is not None:
            self._count.add(f'endpoints.ejected.{change.cause.value}')
            _log.notice(
                'endpoint {} ejected: {}',
                change.endpoint,
                change.cause.value,
            )


def _configured_slots(
    entry: tables.EndpointEntry, document: schema.Document
) -> int:
    pool = document.pools.get(entry.pool)
    return DEFAULT_SLOTS if pool is None else pool.slots_per_endpoint


def _is_staying(known: Endpoint) -> bool:
    return known.listed and known.leave_at_s is None
