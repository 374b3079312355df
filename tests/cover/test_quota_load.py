"""Tests the quota under the load of a workspace that sends 3 to 6 times of it.

No network. A third of the requests costs 200 tokens each, a third 3,000 and a
third 12,000; the quota is 200,000 tokens a second.
"""

import itertools
import unittest

from guavachute.decide.ingress.admission import pace
from tests.support import quota_load

CALM_S = 3.0
SURGE_S = 16.0


def surging(
    nodes: int, times: float, regions: int = 2, **changes
) -> quota_load.Cluster:
    """Nodes whose callers have begun to send *times* the quota."""
    cluster = quota_load.Cluster(nodes, regions)
    cluster.run(CALM_S, 0.3)
    for name, value in changes.items():
        setattr(cluster, name, value)
    cluster.offered.clear()
    cluster.served.clear()
    cluster.returned_after_s.clear()
    return cluster


class QuotaUnderLoadTest(unittest.TestCase):
    def assert_bounded(self, cluster: quota_load.Cluster) -> None:
        self.assertLessEqual(
            cluster.most_in_window(), quota_load.bound(cluster.workspace)
        )

    def test_nodes_grant_the_quota_without_oscillation(self) -> None:
        """Guards against all nodes admitting at once, and then none."""
        for nodes, times in ((7, 3), (59, 6), (90, 4), (195, 4)):
            with self.subTest(nodes=nodes, times=times):
                cluster = surging(nodes, times)
                cluster.run(SURGE_S, times)
                steady_s = cluster.now_s
                cluster.run(quota_load.WINDOW_S, times)
                self.assert_bounded(cluster)
                granted = sum(
                    cost for at_s, cost in cluster.admitted if at_s >= steady_s
                )
                per_window = cluster.workspace.rate_per_s * quota_load.WINDOW_S
                self.assertGreater(granted, 0.9 * per_window)

    def test_light_kinds_are_served_and_no_kind_starves(self) -> None:
        for times in (3, 6):
            cluster = surging(90, times)
            cluster.run(SURGE_S, times)
            light, middle, heavy = cluster.served_share().values()
            self.assertGreater(light, 0.9)
            everyone = sum(cluster.served.values()) / sum(
                cluster.offered.values()
            )
            for share in (light, middle, heavy):
                self.assertGreater(share, everyone / 4)

    def test_sizes_of_one_kind_are_served_alike(self) -> None:
        for nodes in (7, 90):
            cluster = surging(nodes, 4, has_kinds=False)
            cluster.run(SURGE_S, 4)
            shares = cluster.served_share().values()
            self.assertGreater(min(shares), max(shares) / 2)

    def test_a_few_nodes_with_all_callers_use_the_whole_quota(self) -> None:
        cluster = surging(90, 4, used_nodes=10)
        cluster.run(SURGE_S, 4)
        self.assert_bounded(cluster)
        granted = sum(cost for _, cost in cluster.admitted)
        self.assertGreater(
            granted, 0.9 * SURGE_S * cluster.workspace.rate_per_s
        )

    def test_all_nodes_start_together(self) -> None:
        """Guards against a full bucket at each of them."""
        for nodes in (7, 59, 90, 195):
            with self.subTest(nodes=nodes):
                cluster = surging(nodes, 4)
                cluster.run(6.0, 4)
                cluster.start_all()
                cluster.run(10.0, 4)
                self.assert_bounded(cluster)

    def test_regions_cut_off_from_each_other(self) -> None:
        """Guards against a whole bucket in each region."""
        for nodes, regions in (
            *((7, 2), (7, 3), (59, 3)),
            *((90, 2), (90, 3), (195, 2)),
        ):
            with self.subTest(nodes=nodes, regions=regions):
                cluster = surging(nodes, 4, regions, cut={'r0', 'r1', 'r2'})
                cluster.run(12.0, 5)
                self.assert_bounded(cluster)
                cluster.cut.clear()
                cluster.run(6.0, 5)
                self.assert_bounded(cluster)

    def test_updates_stop_in_one_direction(self) -> None:
        for nodes in (7, 90):
            with self.subTest(nodes=nodes):
                cluster = surging(nodes, 4, cut={'r0'})
                cluster.run(14.0, 4)
                self.assert_bounded(cluster)

    def test_nodes_die_with_admitted_requests(self) -> None:
        """Guards against a bucket filled again by each node that starts."""
        cluster = surging(90, 4)
        for second in range(12):
            cluster.run(1.0, 4)
            for node in cluster.nodes[4 * second : 4 * second + 4]:
                cluster.restart(node)
        self.assert_bounded(cluster)

    def test_a_calm_workspace_is_not_refused(self) -> None:
        for nodes in (7, 90):
            cluster = surging(nodes, 0.6)
            cluster.run(SURGE_S, 0.6)
            self.assertEqual([], cluster.returned_after_s)

    def test_a_calm_workspace_is_served_when_all_nodes_start(self) -> None:
        """Guards against a start that grants next to nothing."""
        for nodes in (7, 90, 195):
            cluster = surging(nodes, 0.6)
            cluster.start_all()
            cluster.run(quota_load.START_S, 0.6)
            cluster.offered.clear()
            cluster.run(6.0, 0.6)
            self.assertGreater(min(cluster.served_share().values()), 0.8)


class PaceTest(unittest.TestCase):
    """One node, at six times its part of the quota."""

    def setUp(self) -> None:
        self.pace = pace.Pace(-500.0, 0.0)
        self.pace.advance(1_000.0, 0.5, 0.0, False, 0.0)

    def returns(self, lane: pace.Lane, awaited_s: float) -> float:
        ask = pace.Ask(100.0, awaited_s=awaited_s)
        return self.pace.return_after_s([lane], ask, 0.0)

    def test_the_refused_return_one_after_the_other(self) -> None:
        times = [self.returns(pace.Lane.COMMON, 9.0) for _ in range(5)]
        # Three quarters of half the quota refill 375 in a second.
        for before, after in itertools.pairwise(times):
            self.assertAlmostEqual(100.0 / 375.0, after - before)

    def test_a_caller_that_does_not_wait_gets_no_turn(self) -> None:
        first = self.returns(pace.Lane.COMMON, 0.5)
        self.assertEqual(first, self.returns(pace.Lane.COMMON, 9.0))

    def test_large_requests_leave_the_reserves(self) -> None:
        self.pace.advance(1_000.0, 0.5, 0.0, False, 0.9)
        common = [pace.Lane.COMMON]
        while self.pace.usable(common) is not None:
            self.pace.charge(pace.Lane.COMMON, 900.0)
        for lane in (pace.Lane.LIGHT, pace.Lane.URGENT):
            self.assertEqual(lane, self.pace.usable([lane, *common]))

    def test_urgent_requests_are_told_from_the_others(self) -> None:
        kinds = pace.Kinds()
        asks = [pace.Ask(1_000.0, 0, 'brief'), pace.Ask(1_000.0, 2, 'alt')]
        for _ in range(50):
            for ask in asks:
                kinds.record(ask)
        self.assertIn(pace.Lane.URGENT, kinds.lanes(asks[0]))
        self.assertEqual([pace.Lane.COMMON], kinds.lanes(asks[1]))
