"""Tests that docs/RESULT_CODES.md agrees with the result codes."""

import re
from pathlib import Path

from testtools import TestCase

from oleanderpier.results import Code, Fate, describe_code, list_codes

RESULT_CODES_PAGE = Path(__file__).parents[3] / "docs" / "RESULT_CODES.md"


class ResultCodePageTest(TestCase):
    """The page has a row for each code, and no others."""

    def test_page_rows_match_codes(self):
        """The rows of the page are those of the codes, in the same order."""
        rows = re.findall(r"(?m)^\| \d+ .*$", RESULT_CODES_PAGE.read_text())
        expected = [
            f"| {int(entry.code)} | `{entry.code.name}` | `{entry.fate.value}` "
            f"| {entry.http_status} | {entry.meaning} |"
            for entry in list_codes()
        ]
        self.assertEqual(expected, rows)

    def test_page_describes_fates_and_statuses_match(self):
        """The page describes each fate; only done codes have a status below 400."""
        page = RESULT_CODES_PAGE.read_text()
        for fate in Fate:
            self.assertIn(f"\n| `{fate.value}` | ", page)
        for code in Code:
            entry = describe_code(code)
            self.assertEqual(entry.fate is Fate.DONE, entry.http_status < 400)
