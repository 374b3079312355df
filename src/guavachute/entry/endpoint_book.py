"""What this node knows of each endpoint beyond its entry."""

import collections
import dataclasses
import random
import typing

from guavachute.decide.ingress import choice
from guavachute.decide.ingress import endpoint_health
from guavachute.decide.nodes import endpoint_table
from guavachute.domain import call
from guavachute.domain import endpoints
from guavachute.domain import site as domain_site
from guavachute import ids

MAX_CACHED_PARTS = 4_000
"""Parts of prompts remembered for each engine."""

SPEED_WEIGHT = 0.1
"""Weight of the newest measurement of an engine's prefill speed."""

MIN_MEASURED_TOKENS = 2_000
"""Shorter prompts say little about the speed of reading them."""

SPEED_RANGE_PER_S = (5_000.0, 500_000.0)

CLOSES_BEFORE_END_S = 1.6
"""A leaving endpoint gets no new work this long before it may end. That
it leaves was read up to a second late."""

LEAST_TOLD = 0.5
"""Results of an endpoint that count less in sum are not told."""

LOAD_FRESH_S = 0.6
"""An endpoint's own count of its work is used for this long."""


@dataclasses.dataclass(slots=True)
class Work:
    """Requests, prompt tokens that wait to be read, and results.

    :ivar failed: requests of late that failed; old ones count less
    :ivar answered: all requests of late that had a result
    """

    requests: int = 0
    waiting_tokens: int = 0
    failed: float = 0.0
    answered: float = 0.0


@dataclasses.dataclass(slots=True)
class Record:
    """One incarnation of an endpoint, as this node knows it.

    :ivar own: this node's work there
    :ivar closes_at_s: until when it gets new work although it leaves
    :ivar is_gone: whether its entry is gone, though it may still run
        what it had begun
    :ivar told_busy: what the endpoint said it runs and holds waiting
    """

    entry: endpoints.Endpoint
    own: Work = dataclasses.field(default_factory=Work)
    health: endpoint_health.EndpointHealth = dataclasses.field(
        default_factory=endpoint_health.EndpointHealth
    )
    prefill_tokens_per_s: float = choice.DEFAULT_PREFILL_TOKENS_PER_S
    told_busy: int = 0
    told_at_s: float = float('-inf')
    closes_at_s: float = float('-inf')
    is_gone: bool = False
    cached: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint said that it will end."""
        return self.entry.state is endpoints.EndpointState.DRAINING

    def cached_tokens(self, parts: typing.Sequence[call.PromptPart]) -> int:
        """Tokens at the start of a prompt that the engine should hold."""
        tokens = 0
        for part in parts:
            if part.id not in self.cached:
                break
            tokens += part.tokens
        return tokens

    def read_prompt(self, parts: typing.Sequence[call.PromptPart]) -> None:
        """The engine has read this prompt."""
        for part in parts:
            self.cached[part.id] = None
            self.cached.move_to_end(part.id)
        while len(self.cached) > MAX_CACHED_PARTS:
            self.cached.popitem(last=False)

    def measured(self, tokens: int, duration_s: float) -> None:
        """It took *duration_s* until *tokens* of prompts were read."""
        if tokens < MIN_MEASURED_TOKENS or duration_s <= 0:
            return
        low, high = SPEED_RANGE_PER_S
        speed = min(high, max(low, tokens / duration_s))
        self.prefill_tokens_per_s += SPEED_WEIGHT * (
            speed - self.prefill_tokens_per_s
        )

    def told(self, busy: int, now_s: float) -> None:
        """The endpoint said how many requests it has."""
        self.told_busy = busy
        self.told_at_s = now_s


class EndpointBook:
    """The records of all endpoints in the table."""

    def __init__(
        self,
        site: domain_site.Site,
        table: endpoint_table.EndpointTable,
        now_s: typing.Callable[[], float],
    ) -> None:
        self._site = site
        self._now_s = now_s
        self._table = table
        self._records: dict[ids.EndpointId, Record] = {}
        self.others: typing.Callable[[ids.EndpointId], Work] = (
            lambda endpoint: Work()
        )
        """The work of all other nodes at an endpoint."""
        self.on_died: typing.Callable[[Record], None] = lambda record: None
        """Called with the record of an incarnation that has ended."""
        self.on_leaving: typing.Callable[[Record], None] = lambda record: None
        """Called with the record of an endpoint that begins to drain, or
        whose entry is gone while requests of this node run there."""

    def record(self, entry: endpoints.Endpoint) -> Record:
        """What is known of *entry*; nothing, for a new incarnation."""
        found = self._records.get(entry.id)
        if found is None or found.entry.incarnation != entry.incarnation:
            if found is not None:
                self.on_died(found)
            found = self._records[entry.id] = Record(entry)
        was_leaving = found.is_leaving
        found.entry = entry
        found.is_gone = False
        if found.is_leaving and not was_leaving:
            drain_s = self._site.bounds.drain_s
            ends_in_s = min(entry.leaves_in_s or drain_s, drain_s)
            found.closes_at_s = self._now_s() + ends_in_s - CLOSES_BEFORE_END_S
            self.on_leaving(found)
        return found

    def take_changes(self) -> None:
        """Notice what changed in the table, such as who is leaving."""
        for entry in self._table.entries.values():
            self.record(entry)
        for endpoint in self._records.keys() - self._table.entries.keys():
            record = self._records[endpoint]
            if record.own.requests and not record.is_gone:
                record.is_gone = True
                self.on_leaving(record)

    def forget_gone(self) -> None:
        """Drop the records of endpoints that are not in the table."""
        for endpoint in self._records.keys() - self._table.entries.keys():
            if not self._records[endpoint].own.requests:
                del self._records[endpoint]

    def usable(
        self,
        service: ids.ServiceName,
        excluded: typing.Container[ids.EndpointId],
        now_s: float,
    ) -> list[Record]:
        """The endpoints of *service* that a request may be sent to.

        Those that were not reached lately are left out, unless all are.
        """
        return [
            item
            for item in self._records.values()
            if item.entry.service == service
            and item.entry.id not in excluded
            and self._takes_work(item, now_s)
            and not item.health.is_paused(now_s)
        ]

    def _takes_work(self, item: Record, now_s: float) -> bool:
        """Whether a request may go there; for a while also if it leaves."""
        return item.entry.id in self._table.entries and (
            not item.is_leaving or now_s < item.closes_at_s
        )

    def candidates(
        self,
        records: typing.Sequence[Record],
        parts: typing.Sequence[call.PromptPart],
        now_s: float,
    ) -> list[choice.Candidate]:
        """What a choice between *records* needs to know."""
        return [self._candidate(item, parts, now_s) for item in records]

    def with_runs(self) -> list[Record]:
        """The engines that this node has model requests at."""
        return [
            item
            for item in self._records.values()
            if item.own.requests and item.cached
        ]

    def work(self) -> dict[ids.EndpointId, Work]:
        """This node's work and results, for the other nodes."""
        now_s = self._now_s()
        found = {}
        for endpoint, item in self._records.items():
            results = item.health.results(now_s)
            if item.own.requests or results.answered >= LEAST_TOLD:
                found[endpoint] = Work(
                    item.own.requests, item.own.waiting_tokens, *results
                )
        return found

    def not_reached(self, record: Record, now_s: float) -> None:
        """An endpoint could not be reached, or fell silent."""
        record.health.not_reached(now_s, random.random())
        self.on_died(record)

    def nearness(self, entry: endpoints.Endpoint) -> choice.Nearness:
        """How far an endpoint is from this node."""
        if entry.domain == self._site.domain:
            return choice.Nearness.SAME_DOMAIN
        if self._site.region_of.get(entry.domain) == self._site.region:
            return choice.Nearness.SAME_REGION
        return choice.Nearness.ELSEWHERE

    def _candidate(
        self,
        item: Record,
        parts: typing.Sequence[call.PromptPart],
        now_s: float,
    ) -> choice.Candidate:
        others = self.others(item.entry.id)
        running = item.own.requests + others.requests
        if now_s - item.told_at_s <= LOAD_FRESH_S:
            running = max(running, item.told_busy)
        return choice.Candidate(
            id=item.entry.id,
            nearness=self.nearness(item.entry),
            slots=item.entry.slots,
            running=running,
            waiting_tokens=item.own.waiting_tokens + others.waiting_tokens,
            cached_tokens=item.cached_tokens(parts),
            prefill_tokens_per_s=item.prefill_tokens_per_s,
            is_doubtful=self._table.may_be_gone(item.entry.id)
            or item.health.is_doubtful(
                endpoint_health.Results(others.failed, others.answered), now_s
            ),
            is_leaving=item.is_leaving,
        )
