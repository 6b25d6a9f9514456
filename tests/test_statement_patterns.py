"""Replays of servers that say that they leave or ask for time.

What a server has said to a host holds from then on, so no later request of that host
may reach it. The bound on the worst window is that of ``test_emulator``.
"""

from testtools import TestCase

from bench.emulator.outcomes import Outcome
from bench.emulator.patterns import read_pattern
from bench.emulator.policies import POLICIES
from bench.emulator.worlds import run_pattern
from tests.test_emulator import MIN_WORST_WINDOW_RATIO, SEED


def replay(name: str, policy: str = "present") -> Outcome:
    """Run a pattern under a policy."""
    return run_pattern(read_pattern(name), POLICIES[policy], SEED)


class StatementPatternTest(TestCase):
    """No request goes to a server that has told the host that it wants none."""

    def check_no_unwanted_sends(self, name: str) -> Outcome:
        """Replay a pattern and check that no send was unwanted."""
        outcome = replay(name)
        self.assertEqual(0.0, outcome.unwanted)
        return outcome

    def test_half_of_the_servers_ask_for_time(self):
        """They ask for 2 s at the same moment, under full load."""
        outcome = self.check_no_unwanted_sends("half_ask_30")
        self.assertGreaterEqual(outcome.worst_window, MIN_WORST_WINDOW_RATIO)

    def test_half_of_the_servers_ask_300_hosts_for_time(self):
        """Each host has to hear it from each server."""
        self.check_no_unwanted_sends("half_ask_300")

    def test_worst_window_while_half_of_the_servers_ask_300_hosts_for_time(self):
        """The other half serves what it can."""
        outcome = replay("half_ask_300")
        self.assertGreaterEqual(outcome.worst_window, MIN_WORST_WINDOW_RATIO)

    def test_one_server_asks_again_and_again(self):
        """It asks for 0.1 s each time."""
        outcome = self.check_no_unwanted_sends("one_asks")
        self.assertGreaterEqual(outcome.worst_window, MIN_WORST_WINDOW_RATIO)

    def test_release_of_servers_that_say_so(self):
        """A third of the hosts is cut off from the platform."""
        for name in ("release_said_30", "release_said_300"):
            outcome = self.check_no_unwanted_sends(name)
            self.assertGreaterEqual(outcome.worst_window, MIN_WORST_WINDOW_RATIO)

    def test_all_servers_leave(self):
        """What no server takes is given up at once; those that join serve the rest."""
        outcome = self.check_no_unwanted_sends("all_leave")
        self.assertEqual(1.0, outcome.windows[-1])

    def test_server_says_leaving_and_stays(self):
        """The platform never lists it as leaving."""
        self.check_no_unwanted_sends("leaving_stays")

    def test_heedless_policy_sends_what_is_not_wanted(self):
        """The same product without attention to statements."""
        for name in ("half_ask_30", "release_said_30", "leaving_stays"):
            self.assertGreater(replay(name, "heedless").unwanted, 0.0, name)
