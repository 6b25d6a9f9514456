"""Tests that only the platform folder contains names of the platform."""

import re
from pathlib import Path

from testtools import TestCase

PACKAGE = Path(__file__).parents[2]
PLATFORM_FOLDER = PACKAGE / "platform"
WIRE_NAMES = re.compile(
    r"Request-Deadline-Ms|Expect-Instance|Tenant-Name|Not-Executed|Prompt-Prefix"
    r"|Response-Signature|TargetLatencyMs|kv-(range|watch|key)|Kv-Fetch|op/config"
    r"|Request-Urgency|Last-Event-Id|TrafficSplit|Model-Name|Token-Usage"
)


class BoundaryTest(TestCase):
    """The rest of the package does not depend on the adapter."""

    def test_other_folders_are_independent_of_platform(self):
        """No other source contains a wire name or imports from the folder."""
        for path in PACKAGE.rglob("*.py"):
            if path.is_relative_to(PLATFORM_FOLDER):
                continue
            text = path.read_text()
            self.assertIsNone(WIRE_NAMES.search(text), path)
            self.assertNotIn("oleanderpier.platform", text, path)
