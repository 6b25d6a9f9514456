"""Replays of load patterns in the emulator, under the product's choice.

Bounds come from the users' targets: an engine over twice the mean and three may get
3 requests in 100; the worst windows are to keep 0.8 of their worth; shared parts
that are read again are to cost a third of what the naive router makes of them.
"""

from testtools import TestCase

from bench.emulator.patterns import Pattern, read_pattern
from bench.emulator.policies import POLICIES
from bench.emulator.worlds import Outcome, run_pattern
from oleanderpier.exception import SettingsError

OVER_LIMIT = 0.03
WORST_WINDOW = 0.8
READ_AGAIN_SHARE = 1 / 3
SEED = 11
# Patterns are shortened: what happens in them starts so much earlier.
EARLIER_S = 6.0
LENGTH_S = 12.0


def shorten(name: str) -> Pattern:
    """Return a pattern whose troubles come sooner."""
    pattern = read_pattern(name)
    troubles = [
        {**trouble, "at_s": trouble["at_s"] - EARLIER_S}
        for trouble in pattern["troubles"]
    ]
    return {**pattern, "length_s": LENGTH_S, "troubles": troubles}


def replay(name: str, policy: str = "present") -> Outcome:
    """Run a shortened pattern."""
    return run_pattern(shorten(name), POLICIES[policy], SEED)


class ReplayTest(TestCase):
    """Each load that a decision answers is played again."""

    def check(self, name: str) -> Outcome:
        """Check what holds under any load that engines can bear."""
        outcome = replay(name)
        self.assertLessEqual(outcome.over_limit, OVER_LIMIT)
        self.assertGreaterEqual(outcome.worst_window, WORST_WINDOW)
        return outcome

    def test_burst(self):
        """Many users come at once."""
        self.check("burst")

    def test_hot_key(self):
        """One prompt gets much of a class: it spreads by copies, not by reading."""
        outcome = self.check("hot_key")
        naive = replay("hot_key", "naive")
        self.assertLessEqual(outcome.read_again, READ_AGAIN_SHARE * naive.read_again)

    def test_crash(self):
        """Two of nine engines are lost."""
        self.check("crash")

    def test_slow(self):
        """Two engines need four times as long for each step."""
        self.check("slow")

    def test_release(self):
        """Engines are replaced one after the other; their caches are copied."""
        outcome = self.check("release")
        naive = replay("release", "naive")
        self.assertLessEqual(outcome.read_again, READ_AGAIN_SHARE * naive.read_again)

    def test_swing(self):
        """Long prompts and long answers take turns."""
        self.check("swing")

    def test_herd_kill(self):
        """Hosts that know nothing choose as they did before the kill."""
        outcome, naive = replay("herd_kill"), replay("herd_kill", "naive")
        self.assertLessEqual(outcome.read_again, READ_AGAIN_SHARE * naive.read_again)
        self.assertLessEqual(outcome.over_limit, OVER_LIMIT)

    def test_checks_can_fail(self):
        """A router that looks at loads only breaks a bound."""
        outcome = replay("burst", "least_loaded")
        self.assertLess(outcome.worst_window, WORST_WINDOW)

    def test_same_seed_same_run(self):
        """The same seed gives the same run, but for the time that choices take."""
        first, second = replay("calm"), replay("calm")
        self.assertEqual(first._replace(choice_us=0.0), second._replace(choice_us=0.0))

    def test_bad_pattern(self):
        """An unknown pattern is refused with what there is."""
        error = self.assertRaises(SettingsError, read_pattern, "flood")
        self.assertIn("burst", str(error))
