"""The soak of links that pause: one short seed."""

import pathlib
import tempfile
import unittest

from soak import paused_links
from soak import seed_run


class ShortRun(paused_links.PausedRun):
    series_s = 7.0


class PausedLinksTest(unittest.TestCase):
    # Guards against begun answers that a node ends as its links are silent.
    def test_a_short_seed_ends_no_begun_answer(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = seed_run.run_seed(
                63100, 2, pathlib.Path(folder), run_type=ShortRun
            )
        self.assertEqual([], result.failures)
        self.assertGreater(result.served, 10)
