"""Tests the duty holder's scaling and usage decisions."""

import math
import unittest

import hypothesis
from hypothesis import strategies

from guavachute.decide.duty import scaling
from guavachute.decide.duty import usage
from guavachute.domain import configuration
from guavachute import ids

DOMAINS = [ids.FailureDomain(name) for name in ('cheap', 'dear', 'mid')]
PRICES = {DOMAINS[0]: 0.8, DOMAINS[1]: 1.25, DOMAINS[2]: 1.0}


def bounds(
    most: int = 6, spot_price_ratio: float | None = 0.15
) -> configuration.Scaling:
    return configuration.Scaling(
        min_per_domain=1,
        max_per_domain=most,
        start_s=4.0,
        spot_price_ratio=spot_price_ratio,
        price_by_domain=PRICES,
    )


def count(desired: scaling.DesiredCounts, is_reclaimable: bool) -> int:
    return sum(
        number
        for kind, number in desired.items()
        if kind.is_reclaimable is is_reclaimable
    )


class ScalingTest(unittest.TestCase):
    """The cloud reclaims all reclaimable endpoints of a domain at once."""

    def desired(
        self,
        busy: float,
        ready: dict[ids.FailureDomain, int],
        is_reclaiming: bool = False,
        most: int = 6,
    ) -> scaling.DesiredCounts:
        return scaling.desired_counts(
            bounds(most), DOMAINS, busy, ready, is_reclaiming
        )

    def test_limited_endpoints_are_replaced(self) -> None:
        """Pattern: three of eight endpoints name a limit under full load."""
        before = self.desired(4.0, dict.fromkeys(DOMAINS, 4))
        desired = scaling.desired_counts(
            bounds(), DOMAINS, 4.0, dict.fromkeys(DOMAINS, 3), False, limited=3
        )
        self.assertGreaterEqual(
            count(desired, is_reclaimable=True),
            count(before, is_reclaimable=True) + 3,
        )
        without_load = scaling.desired_counts(
            bounds(), DOMAINS, 0.0, dict.fromkeys(DOMAINS, 3), False, limited=0
        )
        self.assertLess(
            count(without_load, is_reclaimable=True),
            count(desired, is_reclaimable=True),
        )

    def test_in_peace_nearly_all_are_reclaimable(self) -> None:
        desired = self.desired(4.0, dict.fromkeys(DOMAINS, 4))
        self.assertEqual(
            scaling.MIN_ON_DEMAND, count(desired, is_reclaimable=False)
        )
        self.assertGreaterEqual(
            count(desired, is_reclaimable=True),
            math.ceil(4.0 / scaling.TARGET_UTILIZATION),
        )

    def test_the_loss_of_any_one_domain_leaves_what_is_needed(self) -> None:
        desired = self.desired(3.0, dict.fromkeys(DOMAINS, 4))
        for lost in DOMAINS:
            remaining = sum(
                number
                for kind, number in desired.items()
                if not (kind.is_reclaimable and kind.domain == lost)
            )
            self.assertGreaterEqual(
                remaining, 3.0 / scaling.TARGET_UTILIZATION
            )

    def test_after_a_wave_another_one_is_prepared_for(self) -> None:
        ready = {DOMAINS[1]: 4, DOMAINS[2]: 4}
        before = count(self.desired(6.0, ready), is_reclaimable=False)
        after = count(self.desired(6.0, ready, True), is_reclaimable=False)
        self.assertGreaterEqual(after + 4, 6.0)
        self.assertGreaterEqual(after, before)

    def test_what_is_short_is_ordered_on_demand(self) -> None:
        desired = self.desired(4.0, {}, True)
        self.assertGreaterEqual(
            count(desired, is_reclaimable=False), 4.0 / scaling.MAX_UTILIZATION
        )

    def test_on_demand_orders_leave_room_for_reclaimable_ones(self) -> None:
        desired = self.desired(40.0, {}, True)
        for domain in DOMAINS:
            on_demand = desired[scaling.EndpointKind(domain, False)]
            reclaimable = desired[scaling.EndpointKind(domain, True)]
            self.assertLessEqual(on_demand + reclaimable, 6)
            self.assertGreaterEqual(reclaimable, scaling.RECLAIMABLE_RESERVE)

    @hypothesis.given(
        busy=strategies.floats(0, 60),
        most=strategies.integers(1, 12),
        ready=strategies.lists(
            strategies.integers(0, 12), min_size=3, max_size=3
        ),
        is_reclaiming=strategies.booleans(),
    )
    def test_the_bounds_of_each_domain_hold(
        self, busy: float, most: int, ready: list[int], is_reclaiming: bool
    ) -> None:
        desired = self.desired(
            busy, dict(zip(DOMAINS, ready, strict=True)), is_reclaiming, most
        )
        for domain in DOMAINS:
            both = [
                desired[scaling.EndpointKind(domain, kind)]
                for kind in (True, False)
            ]
            self.assertGreaterEqual(min(both), 0)
            self.assertTrue(1 <= sum(both) <= most)

    def test_without_reclaimable_ones_all_are_on_demand(self) -> None:
        desired = scaling.desired_counts(
            bounds(spot_price_ratio=None), DOMAINS, 3.0, {}, False
        )
        self.assertEqual(0, count(desired, is_reclaimable=True))
        self.assertEqual(
            math.ceil(3.0 / scaling.TARGET_UTILIZATION),
            count(desired, is_reclaimable=False),
        )

    def test_a_lower_demand_lowers_the_need_only_after_a_while(self) -> None:
        need = scaling.DemandEstimate()
        warm_s = scaling.DEMAND_WARMUP_S + 1
        need.update(8.0, 0, 0.0)
        need.update(8.0, 0, warm_s)
        self.assertEqual(8.0, need.update(2.0, 0, warm_s + 1))
        self.assertEqual(
            2.0, need.update(2.0, 0, warm_s + scaling.SCALE_DOWN_DELAY_S + 2)
        )

    def test_before_any_demand_the_endpoints_found_are_the_guide(self) -> None:
        need = scaling.DemandEstimate()
        need.update(0.0, 9, 1.0)
        self.assertGreater(need.update(0.0, 0, 2.0), 3.0)

    def test_a_holder_that_starts_amid_the_day_gives_nothing_up(self) -> None:
        """All nodes restart; the first measured demand is too low."""
        need = scaling.DemandEstimate()
        for second, measured in enumerate((0.0, 0.0, 1.0, 4.0, 9.0), 1):
            needed = need.update(measured, 20, 100.0 + second)
            self.assertGreaterEqual(needed, 0.6 * 20)

    def test_engines_ordered_since_the_start_are_no_guide(self) -> None:
        need = scaling.DemandEstimate()
        need.update(0.0, 10, 1.0)
        before = need.update(0.0, 10, 2.0)
        self.assertEqual(before, need.update(0.0, 24, 6.0))

    def test_a_late_first_holder_counts_what_it_finds(self) -> None:
        """The lease may be acquired only seconds after the start."""
        self.assertGreater(scaling.DemandEstimate().update(0.0, 9, 20.0), 5.0)

    def test_the_measured_demand_counts_once_callers_were_there(self) -> None:
        need = scaling.DemandEstimate()
        need.update(0.0, 20, 1.0)
        need.update(3.0, 20, 12.0)
        warm_s = 12.0 + scaling.DEMAND_WARMUP_S + 1
        self.assertEqual(3.0, need.update(3.0, 20, warm_s))


WINDOW_S = 5.0
DELAY_S = 10.0


class UsageTest(unittest.TestCase):
    """Nodes stop, stop sending updates, or restart within a window."""

    def due(
        self, now_s: float, *last_report_s: float, first: int = 0
    ) -> list[int]:
        return usage.due_windows(
            now_s, last_report_s, WINDOW_S, DELAY_S, first
        )

    def test_a_window_is_due_once_every_node_has_told(self) -> None:
        self.assertEqual([], self.due(5.1, 5.1))
        self.assertEqual([], self.due(5.6, 5.6, 4.9))
        self.assertEqual([0], self.due(5.6, 5.6, 5.5))

    def test_a_silent_node_is_waited_for_a_few_seconds(self) -> None:
        silent_s = 3.0
        self.assertEqual([], self.due(7.0, 7.0, silent_s))
        after_s = WINDOW_S + usage.SETTLE_MAX_S
        self.assertEqual([0], self.due(after_s, after_s, silent_s))

    def test_a_node_that_was_gone_before_is_not_waited_for(self) -> None:
        self.assertEqual([1, 2], self.due(15.5, 15.5, 1.0, first=1))

    def test_windows_are_reported_in_order(self) -> None:
        self.assertEqual([], self.due(8.9, 8.9, 4.9))
        self.assertEqual([0], self.due(12.0, 12.0, 9.0))
        self.assertEqual([1, 2], self.due(15.5, 15.5, first=1))

    def test_counts_of_one_run_only_grow(self) -> None:
        totals = usage.UsageTotals()
        name = ids.WorkspaceName('botany')
        totals.merge('here', 'n1/1', {3: {name: 5}}, 3)
        totals.merge('here', 'n1/1', {3: {name: 4}}, 3)
        totals.merge('here', 'n1/2', {3: {name: 2}}, 3)
        totals.merge('there', 'n2/1', {3: {name: 1}}, 3)
        self.assertEqual({name: 8}, totals.total(3))

    def test_old_windows_are_forgotten(self) -> None:
        totals, meter = usage.UsageTotals(), usage.UsageMeter()
        name = ids.WorkspaceName('botany')
        for window in range(60):
            meter.record_start(name, window)
            totals.merge('here', 'n', meter.recent(window), window)
        self.assertEqual({}, totals.total(1))
        self.assertLessEqual(len(meter.recent(59)), usage.KEPT_WINDOWS)

    # Guards against requests counted twice, or left out, where a region is
    # known by its readers' sums and by updates of some of its nodes.
    def test_a_region_counts_by_its_sums_or_its_nodes(self) -> None:
        totals = usage.UsageTotals()
        botany, zoology = map(ids.WorkspaceName, ('botany', 'zoology'))
        totals.merge('here', 'n1/1', {3: {botany: 2}}, 3)
        totals.merge('there', 'n2/1', {3: {botany: 4, zoology: 6}}, 3)
        totals.merge_region('there', {3: {botany: 9, zoology: 5}}, 3)
        self.assertEqual({botany: 11, zoology: 6}, totals.total(3))
        self.assertEqual({botany: 2}, totals.region_total(3, 'here'))

    # Guards against lost counts: a reader that has just begun lacks those of
    # nodes that have ended.
    def test_sums_of_a_reader_that_has_just_begun_lower_nothing(self) -> None:
        totals = usage.UsageTotals()
        name = ids.WorkspaceName('botany')
        totals.merge_region('there', {3: {name: 9}}, 3)
        totals.merge_region('there', {3: {name: 5}, 4: {name: 1}}, 4)
        self.assertEqual({name: 9}, totals.total(3))
        self.assertEqual({name: 1}, totals.total(4))
