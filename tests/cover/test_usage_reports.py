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

    # Guards against requests counted twice: a node that knows few others
    # sends its usage to other regions too. What they got from it was added to
    # the sums of its region, and readers went on to tell each other theirs.
    def test_requests_are_counted_once_while_nodes_learn_of_others(
        self,
    ) -> None:
        reports = simulated_usage.play('quiet', 74, 2, 25.5, seeds=())
        self.assert_right(reports, 3)
