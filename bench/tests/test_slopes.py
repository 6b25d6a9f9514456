"""Tests that the capacity page matches the roles, and tests of the linear fits."""

import random
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

import oleanderpier
from bench.slopes import ROLES, Point, fit_line
from bench.slopes.page import parse_rows

ROOT = Path(oleanderpier.__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"


class PageTest(TestCase):
    """The capacity page lists the same roles as the program."""

    def setUp(self):
        """Read the page."""
        super().setUp()
        self.page = PAGE.read_text()

    def test_first_table_lists_all_roles(self):
        """The first table has a row for each role, in the same order."""
        rows = [(role.name, role.mechanism, role.module) for role in ROLES]
        self.assertThat(parse_rows(self.page), Equals(rows))

    def test_modules_of_roles_exist(self):
        """The module of each role is an existing file."""
        missing = [r.module for r in ROLES if not (ROOT / r.module).is_file()]
        self.assertThat(missing, Equals([]))

    def test_each_role_has_a_section(self):
        """The page has a section for each role."""
        missing = [r.name for r in ROLES if f"### {r.name}\n" not in self.page]
        self.assertThat(missing, Equals([]))

    def test_roles_over_budget_have_a_remedy(self):
        """Each role whose cost exceeds the budget names a remedy."""
        lines = [line for line in self.page.splitlines() if "| OVER" in line]
        over_budget = {line.strip("| ").split(" | ")[0] for line in lines}
        without_remedy = [
            r.name for r in ROLES if r.name in over_budget and not r.remedy
        ]
        self.assertThat(without_remedy, Equals([]))


class FitTest(TestCase):
    """Fitting of a line to points."""

    def test_fit_of_noisy_points(self):
        """The fit recovers the line, and the residual is within the noise."""
        rng = random.Random(1)
        sizes = (10, 20, 40, 80)
        points = [Point(s, 3.0 * s + 7.0 + rng.uniform(-1, 1), 0.0) for s in sizes]
        line = fit_line("bytes", "hosts", points)
        self.assertTrue(abs(line.estimate(1_000).value - 3_007.0) < 100.0)
        self.assertTrue(0.0 < line.residual < 2.0)

    def test_fit_of_two_points_fails(self):
        """Two points are too few for a fit."""
        points = [Point(1, 1.0, 1.0), Point(2, 2.0, 2.0)]
        self.assertRaises(ValueError, fit_line, "bytes", "hosts", points)
