"""Enforces the quotas of workspaces over all nodes together.

Each node keeps a token bucket for the whole quota of each workspace. It
deducts what it admits at once, and what other nodes admit when they
report it. Between two reports of a node, the node is assumed to
continue at its latest rate; otherwise all nodes would consume the same
refill. For each node that may serve callers but sends no reports, an
even share of the refill is reserved.

A node that has just started assumes a full bucket until another node
reports a lower level. Runs that started at the same time all assumed a
full bucket; so everything that such a run has admitted since its start
is deducted.

While the quota is short, each node paces its admissions, see
:mod:`guavachute.decide.ingress.admission.pace`.

When a node stops reporting, its share of the level and of the refill is
reserved for it. What was admitted here since its last report counts
against the own share, as both sides may have used the same level.
"""

import dataclasses
import math
import typing

from guavachute.decide import decay
from guavachute.decide.ingress.admission import pace
from guavachute.decide.requests import demand_shares
from guavachute.domain import configuration
from guavachute import ids
from guavachute.wire import requests

OVERDRAFT_SHARE = 0.25
"""Share of the allowance by which a level may fall below zero. The rest
of the allowance covers what nodes admit between two reports."""

HALF_LIFE_S = 1.5
"""Half-life of the weight of a request in a rate."""

SILENT_AFTER_S = 3.0
"""A node without reports is assumed to continue at its latest rate for
this long; afterwards an even share is reserved for it instead."""

RESERVED_AFTER_S = 1.6
"""A share of the level and of the refill is reserved for a node or region
without reports for this long. Reports come every second at least; after 3 s,
three regions cut off from each other would have used three times the burst."""

STARTUP_WINDOW_S = 2.0
"""A bucket younger than this adopts a lower level that another node
reports. Runs whose starts are at most this far apart count as started
together."""

SETTLE_S = 2.5
"""For so long after its start, a node paces its admissions. Others that
started with it may have admitted requests that it doesn't know of, so each
node uses an even share of the refill and of the burst."""

SETTLED_SHARE = 0.1
OBSERVED_S = 0.45
"""If other nodes are asked for no more than this share of a quota this time
after a node that has just started was asked for it, they aren't asked by many
callers at once, and the node needn't pace its admissions."""

CALM_SHARE = 0.5
"""At a level above this share of the burst the quota isn't short any more."""

UNUSED_SHARE = 0.9
"""At a level above this share of the burst the nodes don't use the quota, so
that it isn't short, even though some requests were refused."""

CALM_AFTER_S = 2.0
"""A quota is short for at least this long after the last refusal."""

KNOWN_SHARE = 0.9
"""Share of the other nodes that count as nearly all. The refill is divided by
demand if that of so many is known."""

CLOSED_OVERDRAFT = 3.0
"""At a level below this multiple of the overdraft only light requests are
admitted, and no other credit accrues."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0
SPREAD = 0.2
"""Share of the time of a refused caller that is drawn at random."""


Draw = typing.Callable[[], float]


def _middle() -> float:
    return 0.5


class RateMeter:
    """Measures a rate, weighted towards recent amounts."""

    __slots__ = ('_recent',)

    def __init__(self, now_s: float) -> None:
        self._recent = decay.DecayingSum(HALF_LIFE_S, now_s)

    def add(self, amount: float, now_s: float) -> None:
        """Record *amount*."""
        self._recent.add(amount, now_s)

    def per_s(self, now_s: float) -> float:
        """The recent rate per second."""
        return self._recent.value(now_s) * math.log(2) / HALF_LIFE_S


class Consumption(typing.NamedTuple):
    """What a run of a node, or several, admitted of a workspace.

    All figures are in the unit of the workspace's quota.

    :ivar total: admitted since the start of the run
    :ivar per_s: recent rate of admission
    :ivar level: remaining quota of the workspace, as seen by the run
    """

    total: float
    per_s: float
    level: float


class Source(typing.NamedTuple):
    """Where a report of admissions comes from.

    :ivar run: the run that sent the report
    :ivar admitted_by: the run or region that admitted; several runs may
        report for the same region
    """

    run: str
    admitted_by: str


class PeerRuns(typing.NamedTuple):
    """The runs of other nodes that share the quotas with this node.

    :ivar nodes: number of nodes that each run reports for
    :ivar silent: runs that have not reported for a while
    """

    nodes: typing.Mapping[str, int]
    silent: typing.AbstractSet[str]


class View(typing.NamedTuple):
    """What a node knows of a quota, for its log.

    :ivar level: remaining quota, less the estimate of unreported admissions
    :ivar part: the part of the refill that this node uses; None while the
        quota isn't short
    :ivar nodes: how many nodes share the quota
    :ivar silent: how many of them don't report
    :ivar age_s: age of the oldest report that is not silent
    """

    level: float
    part: float | None
    nodes: int
    silent: int
    age_s: float


@dataclasses.dataclass(slots=True)
class _PeerRun:
    """The latest report of another run.

    :ivar seen: what this node knew to be admitted at the time of the report
    :ivar is_silent: whether it is older than :data:`SILENT_AFTER_S`
    """

    total: float
    per_s: float
    reported_s: float
    seen: float = 0.0
    is_silent: bool = False


@dataclasses.dataclass(slots=True)
class _Unreported:
    """An estimate of what runs have admitted since their latest reports.

    Each run goes on at its latest rate. The estimate for all runs is kept as
    a line over time, so that its cost does not grow with their number.

    :ivar per_s: how fast the estimate grows
    :ivar offset: the estimate at time 0 of the clock
    """

    per_s: float = 0.0
    offset: float = 0.0

    def add(self, run: _PeerRun, sign: int) -> None:
        """Add the part of *run*, or with a negative *sign* take it away."""
        if run.is_silent:
            self.offset += sign * run.per_s * SILENT_AFTER_S
        else:
            self.per_s += sign * run.per_s
            self.offset -= sign * run.per_s * run.reported_s

    def at(self, now_s: float) -> float:
        """The estimate at *now_s*."""
        return max(0.0, self.per_s * now_s + self.offset)


class Bucket:
    """The token bucket of one workspace, as seen by one node.

    :param overdraft: how far the level may fall below zero
    :param draw: gives random numbers from 0 to 1
    :param settled_s: until then, others may have started with this node
    """

    def __init__(
        self,
        workspace: configuration.Workspace,
        overdraft: float,
        now_s: float,
        draw: Draw = _middle,
        settled_s: float = 0.0,
    ) -> None:
        self._workspace = workspace
        self._overdraft = overdraft
        self._level = workspace.burst
        self._started_s = now_s
        self._refilled_s = now_s
        self._own_total = 0.0
        self._own_rate = RateMeter(now_s)
        self._peers: dict[str, _PeerRun] = {}
        self._unreported = _Unreported()
        self._deducted: dict[str, float] = {}
        self._node_count = 1
        self._silent_nodes: dict[str, int] = {}
        self._reserved: dict[str, float] = {}
        self._draw = draw
        self._settled_s = settled_s
        self._kinds = pace.Kinds()
        self._pace: pace.Pace | None = None
        self._first_asked_s: float | None = None
        self._is_precaution = False
        self._seen = 0.0
        self._asked = RateMeter(now_s)
        self._part = 1.0
        self._oldest_s = now_s

    @property
    def is_short(self) -> bool:
        """Whether the admissions of this node are paced."""
        return self._pace is not None

    def is_settling(self, now_s: float) -> bool:
        """Whether others may have admitted much that isn't known here."""
        return now_s < self._settled_s and self._node_count > 1

    def settle(self, asked_per_s: float, now_s: float) -> None:
        """Stop to pace admissions after a start if little is asked for.

        :param asked_per_s: what other nodes are asked for
        """
        if (
            self._first_asked_s is not None
            and now_s - self._first_asked_s >= OBSERVED_S
            and asked_per_s <= SETTLED_SHARE * self._workspace.rate_per_s
        ):
            self._settled_s = now_s

    def asked_per_s(self, now_s: float) -> float:
        """What callers ask of the quota per second here, also in vain."""
        return self._asked.per_s(now_s)

    def set_part(self, part: float) -> None:
        """Use this part of the refill while the quota is short."""
        self._part = part

    def view(self, now_s: float) -> View:
        """What this node knows of the quota."""
        return View(
            # With digits, this does not raise for infinite values.
            round(self.level(now_s), 1),
            None if self._pace is None else round(self._part, 4),
            self._node_count,
            sum(self._silent_nodes.values()),
            round(now_s - min(self._oldest_s, now_s), 3),
        )

    def set_workspace(
        self, workspace: configuration.Workspace, now_s: float
    ) -> None:
        """Refill by the quota of *workspace* from now on."""
        if workspace is not self._workspace:
            self._refill(now_s)
            self._workspace = workspace
            self._level = min(self._level, workspace.burst)

    def consumption(self, now_s: float) -> Consumption:
        """What this run admitted, to be reported to other nodes."""
        level = self.level(now_s)
        self._update_pace(level, 0.0, now_s)
        return Consumption(
            round(self._own_total, 1),
            round(self._own_rate.per_s(now_s), 1),
            round(level, 1),
        )

    def merge(
        self,
        source: Source,
        consumption: Consumption,
        started_together: bool,
        now_s: float,
    ) -> None:
        """Deduct what another run reports to have admitted.

        :param started_together: whether the other run started together
            with this one or later
        """
        other = self._peers.get(source.run)
        if (
            other is not None
            and not other.per_s
            and not consumption.per_s
            and consumption.total == other.total
            and source.run not in self._reserved
        ):
            # Most workspaces send nothing through most nodes.
            other.reported_s = now_s
            other.seen = self._seen
            return
        self._refill(now_s)
        if other is None and not started_together:
            # The reported level includes what the run admitted before.
            self._settled_s = now_s
            if now_s - self._started_s < STARTUP_WINDOW_S:
                self._level = min(self._level, consumption.level)
        else:
            deducted = (
                other.total
                if other
                else self._deducted.get(source.admitted_by, 0.0)
            )
            # A total falls where costs were refunded.
            admitted = consumption.total - deducted
            if other is None:
                admitted = max(0.0, admitted)
            self._seen += admitted
            self._level = min(
                self._workspace.burst,
                self._level + self._reserved.get(source.run, 0.0) - admitted,
            )
        if started_together:
            self._deducted[source.admitted_by] = max(
                consumption.total, self._deducted.get(source.admitted_by, 0.0)
            )
        self._reserved.pop(source.run, None)
        if other is not None:
            self._unreported.add(other, -1)
        latest = _PeerRun(
            consumption.total, consumption.per_s, now_s, self._seen
        )
        self._unreported.add(latest, 1)
        self._peers[source.run] = latest

    def set_peers(self, peers: PeerRuns, now_s: float) -> None:
        """Share the quota with exactly these runs of other nodes."""
        self._refill(now_s)
        self._node_count = 1 + sum(peers.nodes.values())
        if self._pace is None:
            self._part = 1 / self._node_count
        before = self._silent_nodes
        # Elsewhere regions count as silent only after a longer time.
        silent = peers.silent | {
            run
            for run, other in self._peers.items()
            if peers.nodes.get(run, 0) > 1
            and now_s - other.reported_s > RESERVED_AFTER_S
        }
        self._silent_nodes = {run: peers.nodes[run] for run in silent}
        self._reserve_levels(self._silent_nodes.keys() - before.keys())
        for table in (self._peers, self._reserved):
            for run in table.keys() - peers.nodes.keys():
                del table[run]
        # Adding it up anew also takes rounding errors away.
        self._unreported = _Unreported()
        self._oldest_s = now_s
        for run, other in self._peers.items():
            other.is_silent = now_s - other.reported_s >= SILENT_AFTER_S
            self._unreported.add(other, 1)
            if run not in peers.silent:
                self._oldest_s = min(self._oldest_s, other.reported_s)

    def level(self, now_s: float) -> float:
        """The remaining quota, less the estimate of unreported admissions."""
        self._refill(now_s)
        return self._level - self._unreported.at(now_s)

    def consume(self, ask: pace.Ask, now_s: float) -> float:
        """Consume a cost; 0 if admitted, else when to retry, in seconds."""
        self.record(ask, now_s)
        if self.admit(ask, now_s):
            return 0.0
        return self.return_after_s(ask, now_s)

    def record(self, ask: pace.Ask, now_s: float) -> None:
        """Record what a caller asks for, once for each request."""
        self._kinds.record(ask)
        self._asked.add(ask.cost, now_s)
        if self._first_asked_s is None:
            self._first_asked_s = now_s

    def admit(self, ask: pace.Ask, now_s: float) -> bool:
        """Consume a cost if there is quota for it."""
        level = self.level(now_s)
        capacity = max(1.0, self._workspace.burst)
        missing = min(ask.cost, capacity) - level - self._overdraft
        self._update_pace(level, ask.cost if missing > 0 else 0.0, now_s)
        if self._pace is None:
            self._admit(ask.cost, now_s)
            return True
        lanes = self._kinds.lanes(ask)
        if level < -CLOSED_OVERDRAFT * self._overdraft:
            lanes = [lane for lane in lanes if lane is pace.Lane.LIGHT]
        lane = self._pace.usable(lanes)
        if lane is None:
            return False
        self._pace.charge(lane, ask.cost)
        self._admit(ask.cost, now_s)
        return True

    def wait_s(self, ask: pace.Ask, before: float, now_s: float) -> float:
        """How long until there is quota for a request.

        :param before: the cost of the requests that get quota before it
        """
        if self._pace is None:
            return 0.0
        lanes = self._kinds.lanes(ask)
        wait_s = self._pace.wait_s(lanes, before)
        wait_s += self._closed_for_s(lanes, now_s)
        if self.is_settling(now_s) and self._first_asked_s is not None:
            observed_s = self._first_asked_s + OBSERVED_S
            if now_s < observed_s:
                wait_s = min(wait_s, observed_s - now_s)
        return wait_s

    def return_after_s(self, ask: pace.Ask, now_s: float) -> float:
        """When a request that is refused now should be sent again."""
        if self._pace is None:
            return MIN_RETRY_AFTER_S
        lanes = self._kinds.lanes(ask)
        wait_s = self._pace.return_after_s(lanes, ask, now_s)
        wait_s += self._closed_for_s(lanes, now_s)
        # The spread shortens long times, so that they differ too.
        wait_s = min(MAX_RETRY_AFTER_S, wait_s * (1 + SPREAD))
        wait_s *= 1 - SPREAD * self._draw()
        return max(MIN_RETRY_AFTER_S, wait_s)

    def _closed_for_s(
        self, lanes: typing.Sequence[pace.Lane], now_s: float
    ) -> float:
        """How long until requests of *lanes* get credit again."""
        if lanes[0] is pace.Lane.LIGHT:
            return 0.0
        below = -CLOSED_OVERDRAFT * self._overdraft - self.level(now_s)
        return max(0.0, below) / self._workspace.rate_per_s

    def uses_common_lane_only(self, ask: pace.Ask) -> bool:
        """Whether nothing is reserved for requests such as this one."""
        return self._kinds.lanes(ask) == [pace.Lane.COMMON]

    def refund(self, cost: float) -> None:
        """Refund *cost*, which was consumed but not used."""
        self._level = min(self._level + cost, self._workspace.burst)
        self._own_total -= cost
        self._seen -= cost
        if self._pace is not None:
            self._pace.refund(cost)

    def _admit(self, cost: float, now_s: float) -> None:
        self._level -= cost
        self._own_total += cost
        self._seen += cost
        self._own_rate.add(cost, now_s)

    def _update_pace(self, level: float, refused: float, now_s: float) -> None:
        """Begin or end the pacing, and accrue credit.

        :param refused: cost of a request for which the level is too low
        """
        burst, rate_per_s = self._workspace.burst, self._workspace.rate_per_s
        is_settling = self.is_settling(now_s)
        if self._pace is None:
            # The random part of the credit needs the cost of a request.
            cost = refused or self._kinds.mean
            if not cost:
                return
            if refused or level < -self._overdraft:
                self._pace = pace.Pace(-self._draw() * cost, now_s)
                self._is_precaution = False
            elif is_settling:
                part = burst / self._node_count
                credit = part - self._draw() * cost
                self._pace = pace.Pace(credit, now_s)
                self._is_precaution = True
            else:
                return
        elif (
            not refused
            and not is_settling
            and level >= CALM_SHARE * burst
            and (
                self._is_precaution
                or level >= UNUSED_SHARE * burst
                or now_s - self._pace.refused_s > CALM_AFTER_S
            )
        ):
            self._pace = None
            return
        if refused or level < -self._overdraft:
            self._is_precaution = False
        excess = level + self._overdraft
        self._pace.advance(
            rate_per_s,
            self._part,
            min(0.0, excess) if is_settling else excess,
            level < -CLOSED_OVERDRAFT * self._overdraft,
            now_s,
        )

    def _reserve_levels(self, runs: typing.AbstractSet[str]) -> None:
        """Reserve a share of the level for runs that have fallen silent.

        They don't know either what was admitted here since their reports.
        """
        level = self._level
        for run in runs:
            other = self._peers.get(run)
            if other is not None:
                known = max(0.0, level + self._seen - other.seen)
                reserved = known * self._silent_nodes[run] / self._node_count
                self._reserved[run] = self._reserved.get(run, 0.0) + reserved
                self._level -= reserved

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        filled = elapsed_s * self._workspace.rate_per_s
        share = filled / self._node_count
        for source, nodes in self._silent_nodes.items():
            filled -= nodes * share
            reserved = self._reserved.get(source, 0.0)
            self._reserved[source] = reserved + nodes * share
        self._level = min(self._workspace.burst, self._level + filled)
        self._refilled_s = max(self._refilled_s, now_s)


class Quotas:
    """The token buckets of all workspaces at one node.

    :param allowance: what all nodes may admit beyond a quota in a window
    :param started_s: when this run of the node started
    :param draw: gives random numbers from 0 to 1
    """

    def __init__(
        self, allowance: float, started_s: float, draw: Draw = _middle
    ) -> None:
        self._draw = draw
        self._overdraft = allowance * OVERDRAFT_SHARE
        self._started_s = started_s
        self._peers = PeerRuns({}, frozenset())
        self._buckets: dict[ids.WorkspaceName, Bucket] = {}
        self._demand = demand_shares.DemandShares()
        self._queued: dict[str, typing.Mapping[ids.WorkspaceName, float]] = {}

    def consume(
        self, workspace: configuration.Workspace, cost: float, now_s: float
    ) -> float:
        """Consume *cost*; 0 if admitted, else when to retry, in seconds.

        A workspace without a rate is unlimited.
        """
        return self.request(workspace, pace.Ask(cost), now_s)

    def request(
        self,
        workspace: configuration.Workspace,
        ask: pace.Ask,
        now_s: float,
    ) -> float:
        """As :meth:`consume`, for a request of any kind."""
        if workspace.rate_per_s <= 0:
            return 0.0
        return self._bucket(workspace, now_s).consume(ask, now_s)

    def bucket(
        self, workspace: configuration.Workspace, now_s: float
    ) -> Bucket | None:
        """The bucket of a workspace; None if it is unlimited."""
        if workspace.rate_per_s <= 0:
            return None
        bucket = self._bucket(workspace, now_s)
        self._settle(workspace.name, bucket, now_s)
        return bucket

    def refund(self, workspace: configuration.Workspace, cost: float) -> None:
        """Refund the *cost* of an admitted request that did not run."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.refund(cost)

    def merge(
        self,
        source: Source,
        workspace: configuration.Workspace,
        consumption: Consumption,
        run_age_s: float,
        now_s: float,
    ) -> None:
        """Merge the admissions that a run of another node reports.

        :param run_age_s: how long ago that run started
        """
        if workspace.rate_per_s > 0:
            own_age_s = now_s - self._started_s
            self._bucket(workspace, now_s).merge(
                source,
                consumption,
                run_age_s <= own_age_s + STARTUP_WINDOW_S,
                now_s,
            )

    def set_peers(self, peers: PeerRuns, now_s: float) -> None:
        """Share the quotas with exactly these runs of other nodes."""
        self._peers = peers
        for name, bucket in self._buckets.items():
            bucket.set_peers(peers, now_s)
            self._settle(name, bucket, now_s)
            if bucket.is_short:
                bucket.set_part(self._part(name, bucket, now_s))

    def view(self, workspace: ids.WorkspaceName, now_s: float) -> View | None:
        """What this node knows of a quota that it has used."""
        bucket = self._buckets.get(workspace)
        return None if bucket is None else bucket.view(now_s)

    def _settle(
        self, name: ids.WorkspaceName, bucket: Bucket, now_s: float
    ) -> None:
        """Don't pace for long after a start if callers ask for little."""
        if not bucket.is_settling(now_s):
            return
        nodes = self._peers.nodes
        silent = sum(nodes[run] for run in self._peers.silent)
        if silent <= (1 - KNOWN_SHARE) * sum(nodes.values()):
            bucket.settle(
                sum(queued.get(name, 0.0) for queued in self._queued.values()),
                now_s,
            )

    def queued(self, now_s: float) -> dict[ids.WorkspaceName, float]:
        """What callers ask per second here of the quotas that are short."""
        return {
            name: round(bucket.asked_per_s(now_s), 1)
            for name, bucket in self._buckets.items()
            if bucket.is_short
        }

    def merge_queued(
        self,
        source: str,
        nodes: int,
        queued: typing.Mapping[ids.WorkspaceName, float],
        now_s: float,
    ) -> None:
        """Merge what is asked at other nodes of the quotas that are short.

        :param source: a node, or a region
        :param nodes: how many nodes *queued* is the sum of
        """
        if now_s < self._started_s + SETTLE_S:
            self._queued[source] = queued
        elif self._queued:
            self._queued.clear()
        self._demand.record_sum(
            requests.DemandSum(
                source=source,
                routers=nodes,
                demand={str(name): per_s for name, per_s in queued.items()},
            ),
            now_s,
        )

    def _part(
        self, name: ids.WorkspaceName, bucket: Bucket, now_s: float
    ) -> float:
        """The part of a refill that this node uses, by demand.

        It is even until the demand of nearly all nodes is known: the parts of
        the nodes that know only some would add up to more than one.
        """
        others = sum(self._peers.nodes.values())
        if self._demand.routers(now_s) < KNOWN_SHARE * others:
            return 1 / (1 + others)
        return self._demand.fraction(
            name, bucket.asked_per_s(now_s), 1 + others, now_s
        )

    def consumption(
        self, now_s: float
    ) -> dict[ids.WorkspaceName, Consumption]:
        """What this run admitted of each workspace."""
        return {
            name: bucket.consumption(now_s)
            for name, bucket in self._buckets.items()
        }

    def _bucket(
        self, workspace: configuration.Workspace, now_s: float
    ) -> Bucket:
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = Bucket(
                workspace,
                self._overdraft,
                now_s,
                self._draw,
                self._started_s + SETTLE_S,
            )
            bucket.set_peers(self._peers, now_s)
            self._buckets[workspace.name] = bucket
        else:
            bucket.set_workspace(workspace, now_s)
        return bucket


def cost(workspace: configuration.Workspace, total_tokens: int) -> float:
    """The cost of a request in the unit of the workspace's quota.

    :param total_tokens: of prompt and answer; 0 if unknown
    """
    if workspace.counts_tokens and total_tokens > 0:
        return float(total_tokens)
    return workspace.default_cost
