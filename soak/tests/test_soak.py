"""Short runs of the soak over real processes."""

import json
from pathlib import Path

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from soak.checks import find_breaches
from soak.runs import SoakSettings, run_seed
from soak.schedule import Fault, FaultKind

REGRESSIONS = Path(__file__).parents[1] / "regressions.json"
CI_SEED = 1


class SoakTest(TestCase):
    """The product keeps its promises, and hosts that break one are found."""

    def test_short_run(self):
        """One seed with a few seconds of faults."""
        settings = SoakSettings(hosts=3, callers=4, faults_s=7.0)
        evidence = run_coroutine(run_seed(CI_SEED, settings))
        self.assertEqual([], find_breaches(evidence))

    def test_resending_host_fails(self):
        """A host that sends a payout again when its answer is lost."""
        # From the first request on no answer comes back for longer than it waits.
        faults = [Fault(0.0, FaultKind.SERVER_DEAF, n, 6.0) for n in range(4)]
        self.assertIn("at_most_once", self.find(faults, "resend"))

    def test_host_without_drain_fails(self):
        """A host that ends at once when it is told to."""
        # All at once, and again: some request is under way then.
        faults = [
            Fault(at_s, FaultKind.HOST_TERMINATED, n, 0.0)
            for at_s in (1.0, 4.0)
            for n in range(3)
        ]
        self.assertIn("graceful_shutdown", self.find(faults, "no_drain"))

    def find(self, faults: list[Fault], variant: str) -> set[str]:
        """Return the promises that a naive host breaks under some faults."""
        settings = SoakSettings(hosts=3, callers=6, program=("soak.naive", variant))
        evidence = run_coroutine(run_seed(CI_SEED, settings, faults))
        return {finding.promise for finding in find_breaches(evidence)}


class RegressionTest(TestCase):
    """Seeds that failed once are kept with their cause."""

    def test_listed(self):
        """Each entry has its command's arguments, what was seen, and the cause."""
        for entry in json.loads(REGRESSIONS.read_text()):
            self.assertEqual(
                {"seed", "options", "seen", "cause", "open"}, set(entry), entry
            )
