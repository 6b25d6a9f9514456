"""Tests that a short run of the placement bench meets its targets."""

from testtools import TestCase

from bench.placement import USERS, run_scenario

SCENARIO = USERS._replace(length_s=200.0, surge_start_s=100.0, surge_end_s=130.0)
SEEDS = (1, 2)
# Reuse of cached prompt tokens, relative to the oracle.
MIN_REUSE_RATIO = 0.9
# Sent by each host to other hosts.
MAX_CONTROL_BYTES_PER_S = 4_000
# Late or refused requests of quiet workspaces during the surge.
MAX_QUIET_MISS_RATIO = 0.05


def find_missed_targets(report, oracle):
    """Return the names of the targets that a run misses."""
    missed = {
        "over the bound": report.over_bound > 0,
        "over the bound for 10 ms": report.stayed_over > 0,
        "reuse": report.reuse < MIN_REUSE_RATIO * oracle.reuse,
        "control": report.control_bytes > MAX_CONTROL_BYTES_PER_S,
        "late": sum(report.late.values()) > 0,
        "quiet workspaces": report.quiet_on_time < 1 - MAX_QUIET_MISS_RATIO,
    }
    return {target for target, is_missed in missed.items() if is_missed}


class PlacementBenchTest(TestCase):
    """Placement by pool owners meets the targets; each simpler router misses some."""

    def test_pool_owners_meet_all_targets(self):
        """The scenario has a surge, churn, delayed reports and lost cache events."""
        for seed in SEEDS:
            scenario = SCENARIO._replace(seed=seed)
            oracle = run_scenario(scenario, "oracle")
            report = run_scenario(scenario, "pool owners")
            with self.subTest(seed=seed):
                self.assertTrue(report.samples > 400)
                self.assertEqual(set(), find_missed_targets(report, oracle))

    def test_simpler_routers_miss_targets(self):
        """Each simpler router misses the targets listed for it."""
        oracle = run_scenario(SCENARIO, "oracle")
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
                missed = find_missed_targets(run_scenario(SCENARIO, router), oracle)
                self.assertEqual(set(), expected - missed)

    def test_run_is_deterministic_for_a_seed(self):
        """Two runs with the same seed give the same report."""
        scenario = SCENARIO._replace(length_s=40.0)
        reports = [run_scenario(scenario, "pool owners") for _ in range(2)]
        self.assertEqual(reports[0], reports[1])
