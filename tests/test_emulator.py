"""Replays of load patterns in the emulator with the product's placement policy.

The bounds come from the users' targets: at most 3 % of the requests may go to
engines with more than twice the mean load plus three; at least 0.8 of the requests
have to be on time in the worst window; and shared prompt parts that are read again
may cost at most a third of what they cost with the naive router.
"""

from testtools import TestCase

from bench.emulator.outcomes import Outcome
from bench.emulator.patterns import Pattern, read_pattern
from bench.emulator.policies import POLICIES
from bench.emulator.worlds import run_pattern
from oleanderpier.exception import SettingsError

MAX_OVER_LIMIT_RATIO = 0.03
MIN_WORST_WINDOW_RATIO = 0.8
MAX_READ_AGAIN_RATIO = 1 / 3
SEED = 11
# Patterns are shortened to PATTERN_LENGTH_S, and their troubles start earlier by
# TROUBLE_SHIFT_S.
TROUBLE_SHIFT_S = 6.0
PATTERN_LENGTH_S = 12.0


def shorten_pattern(name: str) -> Pattern:
    """Return a pattern with a shorter length and earlier troubles."""
    pattern = read_pattern(name)
    troubles = [
        {**trouble, "at_s": trouble["at_s"] - TROUBLE_SHIFT_S}
        for trouble in pattern["troubles"]
    ]
    return {**pattern, "length_s": PATTERN_LENGTH_S, "troubles": troubles}


def replay_pattern(name: str, policy: str = "present") -> Outcome:
    """Run a shortened pattern under a placement policy."""
    return run_pattern(shorten_pattern(name), POLICIES[policy], SEED)


class ReplayTest(TestCase):
    """Replays of the load patterns that the placement policy has to cope with."""

    def replay_and_check_bounds(self, name: str) -> Outcome:
        """Replay a pattern and check the bounds that hold for every pattern."""
        outcome = replay_pattern(name)
        self.assertLessEqual(outcome.over_limit, MAX_OVER_LIMIT_RATIO)
        self.assertGreaterEqual(outcome.worst_window, MIN_WORST_WINDOW_RATIO)
        return outcome

    def test_burst(self):
        """Many users arrive at the same time."""
        self.replay_and_check_bounds("burst")

    def test_hot_key(self):
        """A frequent prompt is spread by copying caches, not by reading it again."""
        outcome = self.replay_and_check_bounds("hot_key")
        naive = replay_pattern("hot_key", "naive")
        self.assertLessEqual(
            outcome.read_again, MAX_READ_AGAIN_RATIO * naive.read_again
        )

    def test_crash(self):
        """Two of nine engines crash."""
        self.replay_and_check_bounds("crash")

    def test_slow_engines(self):
        """Two engines need four times as long for each step."""
        self.replay_and_check_bounds("slow")

    def test_release(self):
        """Engines are replaced one by one and their caches are copied."""
        outcome = self.replay_and_check_bounds("release")
        naive = replay_pattern("release", "naive")
        self.assertLessEqual(
            outcome.read_again, MAX_READ_AGAIN_RATIO * naive.read_again
        )

    def test_alternating_lengths(self):
        """Long prompts and long responses alternate."""
        self.replay_and_check_bounds("swing")

    def test_sends_over_limit_with_aged_loads_of_60_hosts(self):
        """Each host's loads of the servers are older than a request takes."""
        outcome = run_pattern(read_pattern("replacement_60"), POLICIES["present"], SEED)
        self.assertLessEqual(outcome.worst_over_limit, MAX_OVER_LIMIT_RATIO)

    def test_sends_over_limit_with_aged_loads_of_300_hosts(self):
        """Hosts of other failure domains report every 14 s."""
        outcome = run_pattern(
            read_pattern("replacement_300"), POLICIES["present"], SEED
        )
        self.assertLessEqual(outcome.worst_over_limit, MAX_OVER_LIMIT_RATIO)

    def test_prompts_stay_cached_in_uneven_service(self):
        """Prompts left servers for a margin that few sends needed.

        The lowest window is not checked: in the first seconds all prompts are read for
        the first time.
        """
        outcome = replay_pattern("uneven_131")
        # Services of even speed have the margin that all services had.
        even = {**shorten_pattern("uneven_131"), "states_speed": False}
        before = run_pattern(even, POLICIES["present"], SEED)
        self.assertLess(outcome.copied, before.copied)
        self.assertLess(outcome.read_again, before.read_again)
        self.assertLessEqual(outcome.worst_over_limit, MAX_OVER_LIMIT_RATIO)

    def test_sends_over_limit_without_prompts(self):
        """Requests that have no cached prompt go to the least loaded server."""
        for name in ("plain_8", "plain_60"):
            outcome = run_pattern(read_pattern(name), POLICIES["present"], SEED)
            self.assertLessEqual(outcome.worst_over_limit, MAX_OVER_LIMIT_RATIO, name)

    def test_all_hosts_killed(self):
        """Restarted hosts without knowledge choose the same servers as before."""
        outcome, naive = (
            replay_pattern("herd_kill"),
            replay_pattern("herd_kill", "naive"),
        )
        self.assertLessEqual(
            outcome.read_again, MAX_READ_AGAIN_RATIO * naive.read_again
        )
        self.assertLessEqual(outcome.over_limit, MAX_OVER_LIMIT_RATIO)

    def test_least_loaded_policy_violates_bound(self):
        """A policy that considers only loads violates the bound on the windows."""
        outcome = replay_pattern("burst", "least_loaded")
        self.assertLess(outcome.worst_window, MIN_WORST_WINDOW_RATIO)

    def test_same_seed_gives_same_outcome(self):
        """The same seed gives the same outcome, except for the time of choices."""
        first, second = replay_pattern("calm"), replay_pattern("calm")
        self.assertEqual(first._replace(choice_us=0.0), second._replace(choice_us=0.0))

    def test_unknown_pattern_refused(self):
        """The error for an unknown pattern lists the existing patterns."""
        error = self.assertRaises(SettingsError, read_pattern, "flood")
        self.assertIn("burst", str(error))
