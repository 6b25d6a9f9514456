"""The page holds the rows that the program prints, and lines fit points."""

import random
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

import oleanderpier
from bench.slopes import ROLES, Point, fit_slope
from bench.slopes.page import read_rows

ROOT = Path(oleanderpier.__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"


class PageTest(TestCase):
    """The page and the program say the same of roles."""

    def setUp(self):
        """Read the page."""
        super().setUp()
        self.page = PAGE.read_text()

    def test_rows(self):
        """The first table has the same rows."""
        rows = [(role.role, role.mechanism, role.module) for role in ROLES]
        self.assertThat(read_rows(self.page), Equals(rows))

    def test_modules_exist(self):
        """Each module that a row names exists."""
        missing = [r.module for r in ROLES if not (ROOT / r.module).is_file()]
        self.assertThat(missing, Equals([]))

    def test_sections(self):
        """Each role has a section."""
        missing = [r.role for r in ROLES if f"### {r.role}\n" not in self.page]
        self.assertThat(missing, Equals([]))

    def test_over_is_mended(self):
        """Each row over its budget has something that would mend it."""
        lines = [line for line in self.page.splitlines() if "| OVER" in line]
        named = {line.strip("| ").split(" | ")[0] for line in lines}
        without = [r.role for r in ROLES if r.role in named and not r.mend]
        self.assertThat(without, Equals([]))


class SlopeTest(TestCase):
    """A line gives back what points on it were made of."""

    def test_noise(self):
        """Noise stays within the residual."""
        rng = random.Random(1)
        sizes = (10, 20, 40, 80)
        points = [Point(s, 3.0 * s + 7.0 + rng.uniform(-1, 1), 0.0) for s in sizes]
        line = fit_slope("bytes", "hosts", points)
        self.assertTrue(abs(line.at(1_000).value - 3_007.0) < 100.0)
        self.assertTrue(0.0 < line.residual < 2.0)

    def test_two_sizes(self):
        """Two sizes are no slope."""
        points = [Point(1, 1.0, 1.0), Point(2, 2.0, 2.0)]
        self.assertRaises(ValueError, fit_slope, "bytes", "hosts", points)
