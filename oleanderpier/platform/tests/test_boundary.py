"""Tests that the platform's names stay in one folder."""

import re
from pathlib import Path

from testtools import TestCase

PACKAGE = Path(__file__).parents[2]
FOLDER = PACKAGE / "platform"
NAMES = re.compile(
    r"Request-Deadline-Ms|Expect-Instance|Tenant-Name|Not-Executed|Prompt-Prefix"
    r"|Response-Signature|TargetLatencyMs|kv-(range|watch|key)|Kv-Fetch|op/config"
    r"|Request-Urgency|Last-Event-Id|TrafficSplit|Model-Name|Token-Usage"
)


class BoundaryTest(TestCase):
    """Nothing outside the folder knows a wire name or imports from it."""

    def test_names(self):
        """No source outside the folder holds a name of the platform."""
        for path in PACKAGE.rglob("*.py"):
            if path.is_relative_to(FOLDER):
                continue
            text = path.read_text()
            self.assertIsNone(NAMES.search(text), path)
            self.assertNotIn("oleanderpier.platform", text, path)
