"""Decisions about roll-outs, with versions that are bad in several ways.

The simulated fleet has requests at a constant rate, by default 336 a second on
three routes. The holder of the duties knows what nodes count after 1.5 s, and
the nodes know what it records after the same time.
"""

import collections
import dataclasses
import math
import random
import typing
import unittest

import msgspec

from guavachute.decide.ingress.rollouts import plan
from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute.decide.ingress.rollouts import results
from guavachute.decide.ingress.rollouts import selection
from guavachute.domain import rollouts
from guavachute.domain import site
from guavachute import ids
from tests.support import platform_site

Step = rollout_record.Step
SERVICE = ids.ServiceName('drafts')
V1, V2, V3 = (ids.BuildName(name) for name in ('v1', 'v2', 'v3'))
ROUTES = {'brief': (0.25, 1.8), 'title': (0.15, 0.9), 'pick': (0.6, 0.35)}
"""By route: its part of the requests, and the usual time of a response."""

TICK_S = 0.25
SLOTS = 12

IsBad = typing.Callable[[float, str, float], bool]
"""Whether the version is bad at a time, on a route, at a load per endpoint."""


def bounds() -> site.Bounds:
    return platform_site.node_settings(
        'edge', '127.0.0.1', ids.Address('127.0.0.1:1'), None, 1
    ).bounds


def request(
    target: ids.BuildName = V2, duration_s: float = 60.0, position: int = 1
) -> rollouts.Request:
    return rollouts.Request(
        f'{position}-{target}',
        ids.LogPosition(position),
        SERVICE,
        target,
        duration_s,
    )


@dataclasses.dataclass
class Played:
    """The course of one roll-out.

    :ivar ended_s: when its last record was written
    :ivar requests: those until the deadline
    :ivar sent: those of them that the target got
    :ivar bad_s: when each bad response was sent
    :ivar last_sent_s: when the target got its last request
    """

    record: rollout_record.Record
    ended_s: float = math.inf
    requests: int = 0
    sent: int = 0
    bad_s: list[float] = dataclasses.field(default_factory=list)
    last_sent_s: float = 0.0


class Fleet:
    """Plays a roll-out on a fleet without a network."""

    def __init__(
        self,
        duration_s: float,
        per_s: float,
        endpoints: int,
        is_bad: IsBad,
        delay_s: float = 1.5,
        bad_part: float = 0.4,
        slow: float = 0.0,
        seed: int = 1,
    ) -> None:
        self._random = random.Random(seed)
        self._per_s, self._endpoints = per_s, endpoints
        self._is_bad, self._bad_part, self._slow = is_bad, bad_part, slow
        self._bounds, self._delay_s = bounds(), delay_s
        self.played = Played(
            rollout_record.first(request(V2, duration_s), None, 0.0, 0.0)
        )
        self._known: collections.deque[
            tuple[float, dict[str, results.Counts], int, int]
        ] = collections.deque()
        self._totals: dict[str, results.Counts] = {}
        self._ends: list[tuple[float, str, bool, bool, float]] = []
        self._records = [(0.0, self.played.record)]
        self._running_old: list[float] = []
        self._step_done = 0

    def play(self) -> Played:
        now_s = 0.0
        last_s = self.played.record.duration_s + 20
        while now_s < last_s:
            self._send(now_s)
            self._finish(now_s)
            self._decide(now_s)
            now_s += TICK_S
        return self.played

    def _in_force(self, now_s: float) -> rollout_record.Record:
        return (
            [r for at_s, r in self._records if at_s + self._delay_s <= now_s][
                -1
            ]
            if now_s >= self._delay_s
            else self._records[0][1]
        )

    def _send(self, now_s: float) -> None:
        record = self._in_force(now_s)
        share = record.share if record.step <= Step.COMPLETED else 0.0
        part = selection.canaries(share, self._endpoints * SLOTS, SLOTS)
        per_endpoint = share * self._per_s / min(part, self._endpoints)
        load = per_endpoint / (self._per_s / self._endpoints)
        expected = self._per_s * TICK_S
        count = int(expected) + (self._random.random() < expected % 1)
        for _ in range(count):
            is_counted = now_s < record.duration_s
            self.played.requests += is_counted
            name = self._random.choices(
                list(ROUTES), [item[0] for item in ROUTES.values()]
            )[0]
            time_s = ROUTES[name][1] * self._random.lognormvariate(0, 0.3)
            is_new = self._random.random() < share
            failed = False
            if is_new:
                self.played.sent += is_counted
                self.played.last_sent_s = now_s
                if (
                    self._is_bad(now_s, name, load)
                    and self._random.random() < self._bad_part
                ):
                    self.played.bad_s.append(now_s)
                    failed = not self._slow
                    time_s *= self._slow or 0.2
            else:
                self._running_old.append(now_s + time_s)
            self._ends.append((now_s + time_s, name, is_new, failed, time_s))

    def _finish(self, now_s: float) -> None:
        ended = [item for item in self._ends if item[0] <= now_s]
        self._ends = [item for item in self._ends if item[0] > now_s]
        self._running_old = [end for end in self._running_old if end > now_s]
        for _, name, is_new, failed, time_s in ended:
            counts = self._totals.get(name, results.Counts())
            limits = results.thresholds(counts)
            is_slow = limits is not None and limits.is_slow(time_s, None)
            self._totals[name] = results.recorded(
                counts, is_new, failed, is_slow and not failed, time_s, None
            )
        self._known.append(
            (now_s, dict(self._totals), self.played.requests, self.played.sent)
        )

    def _decide(self, now_s: float) -> None:
        while (
            len(self._known) > 1 and self._known[1][0] <= now_s - self._delay_s
        ):
            self._known.popleft()
        _, totals, requests, sent = self._known[0]
        record = self.played.record
        has_acknowledged = now_s >= self._records[-1][0] + 2 * self._delay_s
        new_done = sum(counts.new_done for counts in totals.values())
        found = plan.next_record(
            record,
            plan.Situation(
                true_s=now_s,
                totals=totals,
                requests=requests,
                sent=sent,
                per_s=self._per_s,
                bad_reason=None,
                old_slots=self._endpoints * SLOTS,
                old_endpoints=self._endpoints,
                target_slots=self._endpoints * SLOTS,
                target_endpoints=self._endpoints,
                behind=0 if has_acknowledged else 1,
                old_running=len(self._running_old),
                new_results=new_done - self._step_done,
            ),
            self._bounds,
        )
        if found is not None:
            assert found.step > record.step
            self.played.record = found
            self.played.ended_s = now_s
            self._step_done = new_done
            self._records.append((now_s, found))


def never(now_s: float, route: str, load: float) -> bool:
    return False


class GoodVersionTest(unittest.TestCase):
    def test_it_is_completed_in_time(self) -> None:
        """Guards against a good version that is held back or blamed.

        Load: 2 to 336 requests a second at 3 to 45 endpoints.
        """
        for per_s, endpoints, duration_s in (
            (336, 45, 60), (117, 6, 60), (117, 6, 90), (20, 6, 60), (2, 3, 60),
        ):  # fmt: skip
            with self.subTest(per_s=per_s, duration_s=duration_s):
                played = Fleet(duration_s, per_s, endpoints, never, 1.0).play()
                self.assertEqual(Step.COMPLETED, played.record.step)
                self.assertLessEqual(played.ended_s, duration_s)


class BadVersionTest(unittest.TestCase):
    """Guards against more requests to a bad version than the bound allows.

    Load: 20 to 336 requests a second, a version that fails 40% of the
    requests.
    """

    def play(self, is_bad: IsBad, **options: typing.Any) -> None:
        for per_s, endpoints, duration_s in (
            (336, 45, 60), (117, 6, 90), (20, 6, 60), (60, 10, 40),
        ):  # fmt: skip
            with self.subTest(per_s=per_s, duration_s=duration_s):
                self.check(
                    Fleet(duration_s, per_s, endpoints, is_bad, **options)
                )

    def check(self, fleet: Fleet) -> None:
        limits = bounds()
        played = fleet.play()
        self.assertEqual(Step.ROLLED_BACK, played.record.step)
        self.assertLessEqual(
            played.sent,
            limits.canary_share * played.requests + limits.canary_allowance,
        )
        if len(played.bad_s) >= 50:
            self.assertLessEqual(
                played.last_sent_s, played.bad_s[49] + limits.rollback_s
            )

    def test_one_that_is_bad_at_once(self) -> None:
        self.play(lambda now_s, route, load: True)

    def test_one_that_is_slow_at_once(self) -> None:
        self.play(lambda now_s, route, load: True, slow=5.0)

    def test_one_that_becomes_bad_late(self) -> None:
        for late in (0.5, 0.8):
            self.play(lambda now_s, route, load: now_s > 50 * late)

    def test_one_that_is_bad_under_load(self) -> None:
        self.play(lambda now_s, route, load: load > 0.8)

    def test_one_that_is_bad_on_one_route(self) -> None:
        self.play(lambda now_s, route, load: route == 'title')

    def test_one_that_turns_bad_with_all_requests(self) -> None:
        """It is only seen once all requests are sent to it."""
        for per_s, late_s in ((60, 56.0), (336, 55.0)):
            self.check(
                Fleet(60, per_s, 20, lambda now_s, route, load: now_s > late_s)
            )


class EvidenceTest(unittest.TestCase):
    def test_failures_that_the_old_version_has_too_are_no_reason(self) -> None:
        counts = results.Counts(1_000, 50, 20, 60, 4, 2)
        self.assertIsNone(results.is_bad({'a': counts}))

    def test_a_route_is_judged_by_itself(self) -> None:
        totals = {
            'sound': results.Counts(9_000, 0, 0, 900, 0, 0),
            'broken': results.Counts(300, 0, 0, 12, 4, 0),
        }
        self.assertIn('broken', results.is_bad(totals) or '')

    def test_many_failures_need_no_large_difference(self) -> None:
        """Guards against a version that fails rarely with all requests."""
        few = results.Counts(9_000, 0, 0, 300, 9, 0)
        self.assertIsNone(results.is_bad({'a': few}))
        many = results.Counts(9_000, 0, 0, 1_000, 30, 0)
        self.assertIsNotNone(results.is_bad({'a': many}))

    def test_slowness_is_relative_to_the_route(self) -> None:
        """Guards against long work that is taken for slow work."""
        counts = results.Counts()
        for _ in range(results.MIN_TIMED):
            counts = results.recorded(counts, False, False, False, 5.0, 0.5)
        limits = results.thresholds(counts)
        assert limits is not None
        self.assertFalse(limits.is_slow(9.0, 0.9))
        self.assertTrue(limits.is_slow(25.0, 0.5))
        self.assertTrue(limits.is_slow(5.0, 2.5))

    def test_counts_of_another_node_may_be_anything(self) -> None:
        huge = results.from_values([2**62] * 20)
        self.assertIsNotNone(results.thresholds(huge))
        self.assertEqual(
            results.Counts(old_done=1), results.from_values([1, -5])
        )

    def test_more_bad_responses_than_responses_are_cut_off(self) -> None:
        """Guards against counts that end the process, or can't be encoded."""
        odd = results.from_values([10, 0, 0, 3, 50, 9])
        self.assertIsNotNone(results.is_bad({'r': odd}))
        self.assertEqual([10, 0, 0, 3, 3, 0], odd.values()[:6])
        huge = {'r': results.from_values([2**60] * 11)}
        msgspec.msgpack.encode(results.add([huge] * 500)['r'].values())

    def test_no_traffic_and_no_target_ends_in_a_roll_back(self) -> None:
        """Guards against a roll-out that is completed without a target."""
        record = rollout_record.first(request(), None, 0.0, 0.0)
        now = plan.Situation(
            60.0, {}, 500, 0, 8.0, None, 12, 1, 0, 0, 0, 0, 0
        )  # fmt: skip
        early = dataclasses.replace(now, true_s=30.0)
        self.assertIsNone(plan.next_record(record, early, bounds()))
        found = plan.next_record(record, now, bounds())
        assert found is not None
        self.assertIs(Step.ROLLED_BACK, found.step)


class RecordTest(unittest.TestCase):
    def test_a_later_step_outlives_a_copy_of_the_store(self) -> None:
        """Guards against a step that is taken again in a new era."""
        early = rollout_record.first(request(), None, 0.0, 0.0)
        late = dataclasses.replace(
            early, step=Step.CLOSING, position=ids.LogPosition(5)
        )
        copied = dataclasses.replace(early, position=ids.LogPosition(2**40))
        self.assertFalse(late.is_superseded_by(copied))
        self.assertTrue(early.is_superseded_by(late))

    def test_a_version_that_was_not_found_good_stays_withheld(self) -> None:
        """Guards against a canary that a new request leaves in use."""
        canary = dataclasses.replace(
            rollout_record.first(request(), None, 0.0, 0.0), step=Step.CANARY
        )
        after = rollout_record.first(request(V3, position=2), canary, 9.0, 9.0)
        self.assertEqual((V2,), after.withheld)
        again = rollout_record.first(request(V2, position=3), after, 9.0, 9.0)
        self.assertEqual((V3,), again.withheld)

    def test_a_version_that_has_all_requests_is_not_withheld(self) -> None:
        full = dataclasses.replace(
            rollout_record.first(request(), None, 0.0, 0.0), step=Step.FULL
        )
        after = rollout_record.first(request(V3, position=2), full, 9.0, 9.0)
        self.assertEqual((), after.withheld)


class SelectionTest(unittest.TestCase):
    ENDPOINTS: typing.ClassVar = [('a', V1), ('b', V2), ('c', V2), ('d', V3)]

    def builds(
        self,
        found: selection.Rule | None,
        attempt: str = 'x',
        is_repeated: bool = False,
        build: ids.BuildName | None = None,
    ) -> set[str]:
        assert found is not None
        items = [
            item
            for item in self.ENDPOINTS
            if build is None or item[1] == build
        ]
        return {
            item[1]
            for item in selection.restrict(
                items,
                lambda item: item[1],
                lambda item: item[0],
                found,
                attempt,
                is_repeated,
                build,
                1,
            )
        }

    def at(self, step: Step, **fields: typing.Any) -> rollout_record.Record:
        record = rollout_record.first(request(), None, 0.0, 0.0)
        return dataclasses.replace(
            record, step=step, old=(V1,), withheld=(V3,), **fields
        )

    def test_the_target_gets_nothing_before_a_record(self) -> None:
        found = selection.rule(request(), None, True, False, False, 0.0)
        self.assertNotIn(V2, self.builds(found))
        self.assertEqual(set(), self.builds(found, build=V2))

    def test_without_proof_or_with_a_bad_target_it_gets_nothing(self) -> None:
        for step in (Step.CANARY, Step.LOAD, Step.PART, Step.FULL):
            record = self.at(step, share=1.0)
            for is_proven, is_stopped in ((False, False), (True, True)):
                found = selection.rule(
                    request(), record, is_proven, is_stopped, False, 0.0
                )
                self.assertEqual({V1}, self.builds(found))

    def test_an_isolated_node_sends_nothing_once_all_may_be_moved(
        self,
    ) -> None:
        """Guards against requests at old endpoints when these stop."""
        for step, now_s, expected in (
            (Step.CANARY, 10.0, {V1}),
            (Step.CANARY, 31.0, set()),
            (Step.FULL, 10.0, set()),
            (Step.ROLLED_BACK, 31.0, {V1}),
        ):
            found = selection.rule(
                request(), self.at(step, share=0.1), False, False, True, now_s
            )
            self.assertEqual(expected, self.builds(found))

    def test_the_share_is_a_share_of_the_requests(self) -> None:
        record = self.at(Step.CANARY, share=0.05)
        found = selection.rule(request(), record, True, False, False, 0.0)
        sent = sum(
            self.builds(found, f'attempt-{number}') == {V2}
            for number in range(4_000)
        )
        self.assertTrue(150 < sent < 250, sent)

    def test_a_repeated_request_goes_to_the_old_version(self) -> None:
        record = self.at(Step.PART, share=0.999)
        found = selection.rule(request(), record, True, False, False, 0.0)
        self.assertEqual({V2}, self.builds(found))
        self.assertEqual({V1}, self.builds(found, is_repeated=True))

    def test_a_stream_stays_at_its_version(self) -> None:
        found = selection.rule(
            request(), self.at(Step.FULL, share=1.0), True, False, False, 0.0
        )
        self.assertEqual({V1}, self.builds(found, build=V1))
        self.assertEqual({V2}, self.builds(found, build=V2))

    def test_the_old_version_gets_nothing_when_it_is_closed(self) -> None:
        found = selection.rule(
            request(), self.at(Step.CLOSING), False, False, False, 0.0
        )
        self.assertEqual({V2}, self.builds(found))
        self.assertEqual(set(), self.builds(found, build=V1))

    def test_the_version_that_has_the_requests_keeps_them(self) -> None:
        """Guards against an outage when the operator cancels a roll-out."""
        back = request(V1, position=2)
        found = selection.rule(
            back, self.at(Step.CANARY, share=0.1), True, False, False, 0.0
        )
        self.assertEqual({V1}, self.builds(found))

    def test_old_endpoints_are_avoided_after_the_end(self) -> None:
        """Guards against requests at endpoints that are about to stop."""
        record = self.at(Step.COMPLETED, changed_s=100.0)
        soon = selection.rule(request(), record, True, False, False, 105.0)
        self.assertEqual({V2}, self.builds(soon))
        self.assertEqual(set(), self.builds(soon, build=V1))
        later = selection.rule(request(), record, True, False, False, 300.0)
        self.assertEqual({V1, V2}, self.builds(later))
