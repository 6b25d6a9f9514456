"""Tests that the page of result codes agrees with the code."""

import re
from pathlib import Path

from testtools import TestCase

from oleanderpier.results import Code, Fate, describe_code, list_codes

PAGE = Path(__file__).parents[3] / "docs" / "RESULT_CODES.md"


class ResultCodePageTest(TestCase):
    """Every code has its row in the page, and no other row is there."""

    def test_rows(self):
        """The page's rows are those of the code, in the same order."""
        rows = re.findall(r"(?m)^\| \d+ .*$", PAGE.read_text())
        expected = [
            f"| {int(entry.code)} | `{entry.code.name}` | `{entry.fate.value}` "
            f"| {entry.http_status} | {entry.meaning} |"
            for entry in list_codes()
        ]
        self.assertEqual(expected, rows)

    def test_fates(self):
        """Each fate is explained, and only success has a status of success."""
        page = PAGE.read_text()
        for fate in Fate:
            self.assertIn(f"\n| `{fate.value}` | ", page)
        for code in Code:
            entry = describe_code(code)
            self.assertEqual(entry.fate is Fate.DONE, entry.http_status < 400)
