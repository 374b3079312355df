"""Tests that the capacity page is derived from its figures alone."""

import unittest

import msgspec

from bench import capacity_fit
from bench import capacity_page


def with_slope(
    capacity: capacity_fit.Capacity, name: str, slope: float
) -> capacity_fit.Capacity:
    """Return *capacity* with another slope under *name*."""
    changed = msgspec.structs.replace(capacity.slopes[name], slope=slope)
    return msgspec.structs.replace(
        capacity, slopes={**capacity.slopes, name: changed}
    )


class CapacityPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.capacity = capacity_fit.load(capacity_page.FIGURES)
        self.template = capacity_page.TEMPLATE.read_text()
        self.page = capacity_page.page(self.capacity, self.template)

    def test_the_page_is_the_one_that_the_figures_give(self) -> None:
        self.assertEqual(self.page, capacity_page.PAGE.read_text())

    def test_each_slope_changes_the_page(self) -> None:
        for name, slope in self.capacity.slopes.items():
            modified = with_slope(self.capacity, name, 2 * slope.slope + 1)
            with self.subTest(name):
                changed = capacity_page.page(modified, self.template)
                self.assertNotEqual(self.page, changed)

    def test_a_line_beyond_its_limit_is_called_missed(self) -> None:
        name = 'node_memory_by_engines'
        line = '- node: memory,'
        for slope, missed in ((0.0, False), (1.0, True)):
            modified = with_slope(self.capacity, name, slope)
            changed = capacity_page.page(modified, self.template)
            self.assertEqual(missed, line in changed)

    def test_a_fit_gives_the_line_that_the_points_are_on(self) -> None:
        slope = capacity_fit.fit('x', 'y', [(1, 5), (2, 7), (4, 11)])
        self.assertAlmostEqual(2, slope.slope)
        self.assertAlmostEqual(3, slope.intercept)
        self.assertAlmostEqual(1, slope.r2)
