"""Usage reports contain the requests of all nodes.

Patterns: 74 nodes in two regions, which all are told the same three of them;
a third is cut off from the store from its start on. No network.
"""

import unittest

from tests.support import simulated_usage


class UsageReportsTest(unittest.TestCase):
    """380 requests/s on a simulated network; no request is sent."""

    def assert_right(
        self, reports: list[simulated_usage.Report], count: int
    ) -> None:
        self.assertEqual(count, len(reports))
        self.assertEqual(
            [], [report for report in reports if not report.is_right]
        )

    # Guards against lost counts: nodes that couldn't read or write the list
    # of nodes knew the seeds only, and were unknown to the readers, so the
    # reports of 13 s lacked a third of the requests.
    def test_nodes_cut_off_from_their_start_on_are_counted(self) -> None:
        reports = simulated_usage.play('cut_at_start', 74, 1, 25.5)
        self.assert_right(reports, 3)
