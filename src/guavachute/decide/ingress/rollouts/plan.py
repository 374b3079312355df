"""Decides the steps of a roll-out.

A version may turn bad at any time, and nobody knows how late. So the share
stays small for most of the time that the operator allows, and rises as late as
the roll-out can still be completed. At each step, what the target has got and
what it gets until the next one stays within the bound, whatever it does.

Late in the roll-out one endpoint of the target gets the load of an old one, as
some versions are bad only under load. Then all of them get a large part, and
finally all requests.
"""

import dataclasses

from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.decide.ingress.rollouts import results
from guavachute.domain import site

Step = rollout_record.Step

MIN_CANARY_PART = 0.15
MAX_CANARY_PART = 0.9
"""Parts of the permitted share between which that of the canary is; the rest
is for the later steps, until the old endpoints are idle."""

LOAD_COST_S = 1.5
"""The step LOAD costs no more than all requests of this time."""

CANARY_PER_S = 3.0
"""Requests per second that are enough to judge a version."""

LOAD_FACTOR = 1.1
"""The load of one endpoint at the step LOAD, compared with an old one."""

MAX_LOAD_SHARE = 0.3
PART_SHARE = 0.3

LOAD_PART_OF_TIME = 0.08
LOAD_S = (2.5, 10.0)
"""How long the step LOAD takes: a part of the time, within these bounds."""

PART_S = 2.0
"""How long the step PART takes. The records and counts of nodes are up to this
old at other nodes."""

REACT_S = 2.5
"""Longest usual time from the bad responses that show a bad version to the
last request that is sent to it."""

FULL_S = 1.0
"""The step FULL takes at least this long, and until results are known."""

CLOSE_S = 4.0
"""Time from the step FULL to COMPLETED, if the old endpoints are idle within
half of it: all nodes have to acknowledge the step CLOSING."""

MIN_FULL_S = 1.0
"""The step FULL is planned no later than this before the deadline."""

DRAIN_S = (1.0, 15.0)
"""Bounds of the time that requests at old endpoints are expected to take."""

DRAIN_DEVIATIONS = 2.0

MARGIN_PART_OF_TIME = 0.05
MARGIN_S = (0.5, 5.0)
"""A roll-out ends this long before its deadline, if it can."""

LATE_PART = 0.1
"""A roll-out that an outage has delayed under load may be completed so much
later, as a part of its time."""

BUDGET_RESERVE = 0.97
"""Part of the bound that is used: the nodes' counts are some seconds old."""

ALLOWANCE_PART = 0.8

FUTURE_PART = 0.9
"""Part of the present rate that counts as certain until the deadline."""

MIN_BASELINE = 30
BASELINE_S = 5.0
"""The canary starts with so many times of the old version, or after this."""

EARLIEST_FULL_PART = 0.5
"""The step FULL begins no earlier than after this part of the time."""

EARLIEST_PART = 0.3
"""The step LOAD begins no earlier than after this part of the time."""

MIN_ROUTE_RESULTS = 5
MIN_RESULTS = 20
"""The target needs this many responses, and so many on each route in use,
unless there are fewer requests than that."""

MIN_ROUTE_SHARE = 0.02
"""A route with a smaller part of the requests is judged with the others."""

MIN_EXPECTED = 3
"""With fewer requests to the target than this, there may be none."""

FULL_RESULTS = 10

NO_OTHER_VERSION = 'there is no endpoint of another version'


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What the holder of the duties knows of a roll-out.

    :ivar true_s: the Unix time that the nodes agree on
    :ivar totals: the responses of both versions, over all nodes
    :ivar requests: requests to the service since the request of the operator
    :ivar sent: those that were sent to the target
    :ivar per_s: the present rate of requests
    :ivar bad_reason: why a node has found the target bad; None if none has
    :ivar old_slots: slots of the endpoints of other versions
    :ivar old_endpoints: number of them
    :ivar target_slots: slots of the endpoints of the target that accept work
    :ivar target_endpoints: number of them
    :ivar behind: nodes that have not acknowledged the present record
    :ivar old_running: requests that still run at old endpoints
    :ivar new_results: responses of the target since the present step
    """

    true_s: float
    totals: results.ByRoute
    requests: int
    sent: int
    per_s: float
    bad_reason: str | None
    old_slots: int
    old_endpoints: int
    target_slots: int
    target_endpoints: int
    behind: int
    old_running: int
    new_results: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Times:
    """When the steps begin, in seconds after the request.

    :ivar close_s: the time from FULL to COMPLETED
    """

    load_s: float
    load_hold_s: float
    full_s: float
    close_s: float


def next_record(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> rollout_record.Record | None:
    """The record of the next step; None while the present one continues."""
    if record.step.is_final:
        return None
    bad = now.bad_reason or results.is_bad(now.totals)
    if bad is not None and record.step > Step.HOLD:
        return _changed(record, now, Step.ROLLED_BACK, 0.0, bad)
    elapsed_s = now.true_s - record.begun_s
    is_late = elapsed_s >= record.duration_s
    if record.step >= Step.LOAD:
        # The target was good so far.
        is_late = elapsed_s >= (1 + LATE_PART) * record.duration_s
    if record.step < Step.FULL and is_late:
        reason = 'the time is over, and the target was not found good'
        return _changed(record, now, Step.ROLLED_BACK, 0.0, reason)
    return _STEPS[record.step](record, now, bounds)


def first_record(
    record: rollout_record.Record, old_endpoints: int, target_endpoints: int
) -> rollout_record.Record:
    """The first record, or the last step where there is nothing to replace.

    :param record: as :func:`rollout_record.first` gives it
    """
    if old_endpoints or not target_endpoints:
        return record
    return dataclasses.replace(
        record, step=Step.CLOSING, share=1.0, reason=NO_OTHER_VERSION
    )


def _after_hold(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> rollout_record.Record | None:
    if not now.target_endpoints:
        return None
    if not now.old_endpoints:
        return _changed(record, now, Step.CLOSING, 1.0, NO_OTHER_VERSION)
    waited_s = now.true_s - record.begun_s
    timed = sum(counts.timed for counts in now.totals.values())
    longest_s = min(BASELINE_S, 0.1 * record.duration_s)
    if timed < MIN_BASELINE and waited_s < longest_s:
        return None
    share = MIN_CANARY_PART * bounds.canary_share
    if now.per_s > 0:
        # What the last steps need comes first. A share that doesn't exceed the
        # bound's is harmless at any rate of requests.
        left = _budget(record, now, bounds)
        left -= now.per_s * (_times(record, now, bounds).close_s + LOAD_COST_S)
        expected = now.requests + now.per_s * (record.duration_s - waited_s)
        most = min(MAX_CANARY_PART * bounds.canary_share, left / expected)
        share = min(max(share, most), CANARY_PER_S / now.per_s)
    return _changed(record, now, Step.CANARY, share, 'to be judged')


def _after_canary(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> rollout_record.Record | None:
    times = _times(record, now, bounds)
    if now.true_s - record.begun_s < times.load_s:
        return None
    share = record.share
    if now.old_endpoints:
        wanted = _load_share(now)
        left = _budget(record, now, bounds) - now.sent
        left -= now.per_s * times.close_s
        cost = now.per_s * (times.load_hold_s + REACT_S)
        share = max(share, min(wanted, left / cost if cost > 0 else wanted))
    return _changed(record, now, Step.LOAD, share, 'the canary is good')


def _after_load(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> rollout_record.Record | None:
    times = _times(record, now, bounds)
    elapsed_s = now.true_s - record.begun_s
    if now.true_s - record.changed_s < times.load_hold_s:
        return None
    if elapsed_s < times.full_s - PART_S or not _is_judged(record, now):
        return None
    if elapsed_s >= times.full_s:
        return _to_full(record, now, bounds, times)
    cost = now.per_s * (PART_SHARE * (PART_S + REACT_S) + times.close_s)
    if now.sent + cost <= _budget(record, now, bounds):
        return _changed(record, now, Step.PART, PART_SHARE, 'good under load')
    return _to_full(record, now, bounds, times)


def _after_part(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> rollout_record.Record | None:
    if now.true_s - record.changed_s < PART_S:
        return None
    return _to_full(record, now, bounds, _times(record, now, bounds))


def _to_full(
    record: rollout_record.Record,
    now: Situation,
    bounds: site.Bounds,
    times: _Times,
) -> rollout_record.Record | None:
    elapsed_s = now.true_s - record.begun_s
    if elapsed_s < times.full_s or not _is_judged(record, now):
        return None
    lasts_s = min(times.close_s, record.duration_s - elapsed_s)
    if now.sent + now.per_s * lasts_s > _budget(record, now, bounds):
        return None
    return _changed(record, now, Step.FULL, 1.0, 'good under load')


def _after_full(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> rollout_record.Record | None:
    since_s = now.true_s - record.changed_s
    enough = min(FULL_RESULTS, now.per_s)
    has_results = now.new_results >= enough or since_s >= CLOSE_S
    if since_s < FULL_S or not has_results or not now.target_endpoints:
        return None
    return _changed(record, now, Step.CLOSING, 1.0, 'good with all requests')


def _after_closing(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> rollout_record.Record | None:
    if now.behind or now.old_running:
        return None
    reason = 'nothing runs at the old endpoints'
    return _changed(record, now, Step.COMPLETED, 1.0, reason)


_STEPS = {
    Step.HOLD: _after_hold,
    Step.CANARY: _after_canary,
    Step.LOAD: _after_load,
    Step.PART: _after_part,
    Step.FULL: _after_full,
    Step.CLOSING: _after_closing,
}


def _changed(
    record: rollout_record.Record,
    now: Situation,
    step: Step,
    share: float,
    reason: str,
) -> rollout_record.Record:
    return dataclasses.replace(
        record,
        step=step,
        share=round(min(1.0, max(0.0, share)), 6),
        changed_s=now.true_s,
        requests=now.requests,
        sent=now.sent,
        reason=reason,
    )


def _times(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> _Times:
    duration_s = record.duration_s
    usual_s = [
        results.usual_total_s(counts, DRAIN_DEVIATIONS) or 0.0
        for counts in now.totals.values()
    ]
    drain_s = _within(max(usual_s, default=0.0), DRAIN_S)
    close_s = CLOSE_S + max(0.0, drain_s - CLOSE_S / 2)
    margin_s = _within(MARGIN_PART_OF_TIME * duration_s, MARGIN_S)
    full_s = max(
        EARLIEST_FULL_PART * duration_s, duration_s - margin_s - close_s
    )
    hold_s = min(_within(LOAD_PART_OF_TIME * duration_s, LOAD_S), 0.2 * full_s)
    if now.per_s > 0 and record.step <= Step.CANARY:
        # Before the time from which all requests until the deadline are
        # within the bound, the step LOAD would only use it up.
        left = _budget(record, now, bounds) - now.sent
        left -= now.per_s * _load_share(now) * hold_s
        full_s = max(full_s, duration_s - max(MIN_FULL_S, left / now.per_s))
    load_s = max(EARLIEST_PART * duration_s, full_s - PART_S - hold_s)
    return _Times(load_s, hold_s, full_s, close_s)


def _load_share(now: Situation) -> float:
    return min(MAX_LOAD_SHARE, LOAD_FACTOR / max(1, now.old_endpoints))


def _within(value: float, bounds: tuple[float, float]) -> float:
    return min(bounds[1], max(bounds[0], value))


def _budget(
    record: rollout_record.Record, now: Situation, bounds: site.Bounds
) -> float:
    """How many requests may be sent to a target that proves bad."""
    left_s = max(0.0, record.begun_s + record.duration_s - now.true_s)
    elapsed_s = max(0.1, now.true_s - record.begun_s)
    certain_per_s = min(now.per_s, now.requests / elapsed_s)
    expected = now.requests + FUTURE_PART * certain_per_s * left_s
    return (
        BUDGET_RESERVE * bounds.canary_share * expected
        + ALLOWANCE_PART * bounds.canary_allowance
    )


def _is_judged(record: rollout_record.Record, now: Situation) -> bool:
    """Whether there are enough responses of the target on each route."""
    old_done = sum(counts.old_done for counts in now.totals.values())
    new_done = sum(counts.new_done for counts in now.totals.values())
    if not now.target_endpoints:
        return False
    if not new_done:
        # Where there are nearly no requests, there is nothing to judge by.
        return now.requests * record.share < MIN_EXPECTED
    expected = now.sent / max(1, now.requests) * old_done
    if new_done < min(MIN_RESULTS, 0.5 * expected):
        return False
    part = 0.5 * expected / max(1, old_done)
    return all(
        counts.new_done >= min(MIN_ROUTE_RESULTS, part * counts.old_done - 1)
        for counts in now.totals.values()
        if counts.old_done >= MIN_ROUTE_SHARE * old_done
    )
