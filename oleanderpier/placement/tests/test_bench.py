"""A smaller run of the placement bench, held to the stated targets."""

from testtools import TestCase

from bench.placement import USERS, run_scenario

SCENARIO = USERS._replace(length_s=200.0, surge_start_s=100.0, surge_end_s=130.0)
SEEDS = (1, 2)
REUSE_OF_ORACLE = 0.9
CONTROL_BYTES_A_HOST = 4_000
LATE_OR_REFUSED_QUIET = 0.05


def find_misses(report, known):
    """Return the targets that a run misses."""
    misses = {
        "over the bound": report.over_bound > 0,
        "over the bound for 10 ms": report.stayed_over > 0,
        "reuse": report.reuse < REUSE_OF_ORACLE * known.reuse,
        "control": report.control_bytes > CONTROL_BYTES_A_HOST,
        "late": sum(report.late.values()) > 0,
        "quiet workspaces": report.quiet_on_time < 1 - LATE_OR_REFUSED_QUIET,
    }
    return {target for target, missed in misses.items() if missed}


class PlacementBenchTest(TestCase):
    """The package meets the targets that each simpler router misses."""

    def test_targets(self):
        """Through a surge, churn, lagging reports and lost cache events."""
        for seed in SEEDS:
            scenario = SCENARIO._replace(seed=seed)
            known = run_scenario(scenario, "oracle")
            report = run_scenario(scenario, "pool owners")
            with self.subTest(seed=seed):
                self.assertTrue(report.samples > 400)
                self.assertEqual(set(), find_misses(report, known))

    def test_baselines_miss(self):
        """Each simpler router misses the targets that it was weighed for."""
        known = run_scenario(SCENARIO, "oracle")
        cases = {
            "random": {"over the bound", "reuse", "late"},
            "affinity": {"over the bound", "late", "quiet workspaces"},
            "two choices": {"over the bound", "reuse", "late"},
            "bounded alone": {"over the bound", "reuse"},
            "leased shares": {"over the bound", "reuse", "quiet workspaces"},
            "pool owners, no migration": {"over the bound for 10 ms"},
        }
        for router, expected in cases.items():
            with self.subTest(router=router):
                misses = find_misses(run_scenario(SCENARIO, router), known)
                self.assertEqual(set(), expected - misses)

    def test_same_verdict(self):
        """A seed gives the same figures each time."""
        scenario = SCENARIO._replace(length_s=40.0)
        reports = [run_scenario(scenario, "pool owners") for _ in range(2)]
        self.assertEqual(reports[0], reports[1])
