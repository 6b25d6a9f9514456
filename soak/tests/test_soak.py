"""Short runs of the soak with real processes."""

import asyncio
import json
import tempfile
from pathlib import Path

from testtools import TestCase

from oleanderpier.utils import run_coroutine
from soak.checks import find_violations
from soak.observations import Observations
from soak.runs import SoakSettings, run_seed
from soak.schedule import ADDED_KINDS, Fault, FaultKind

REGRESSIONS = Path(__file__).parents[1] / "regressions.json"
CI_SEED = 1


class SoakTest(TestCase):
    """The product violates no guarantee; naive hosts are found to violate one."""

    def test_product_violates_nothing(self):
        """One seed with a few seconds of faults gives no violations.

        Neither does another fleet at the same time, with nothing but planned work.
        """

        async def run() -> list[Observations]:
            mixed = SoakSettings(hosts=3, callers=4, faults_s=7.0)
            planned = SoakSettings(hosts=3, callers=4, faults_s=7.0, planned_only=True)
            return await asyncio.gather(
                run_seed(CI_SEED, mixed), run_seed(CI_SEED, planned)
            )

        for observations in run_coroutine(run()):
            self.assertEqual([], find_violations(observations))

    def test_product_violates_nothing_under_the_added_kinds(self):
        """Neither do the kinds that are drawn apart, all at once."""
        faults = [
            Fault(0.2 + 0.3 * number, kind, number, 3.0)
            for number, kind in enumerate(ADDED_KINDS)
        ]
        settings = SoakSettings(hosts=3, callers=4)
        observations = run_coroutine(run_seed(CI_SEED, settings, faults))
        self.assertEqual([], find_violations(observations))

    def test_resending_host_violates_at_most_once_if_part_is_mute(self):
        """A host that resends a payout that one server never answers is found."""
        kind = FaultKind.SERVER_PARTLY_MUTE
        faults = [Fault(0.0, kind, n, 6.0) for n in range(4)]
        self.assertIn("at_most_once", self.find_violated_guarantees(faults, "resend"))

    def test_naive_host_violates_whole_answer_if_streams_have_no_length(self):
        """A host that takes the end of a connection for that of a stream is found."""
        kind = FaultKind.SERVER_PARTLY_SENDS_NO_LENGTH
        faults = [Fault(0.0, kind, n, 6.0) for n in range(4)]
        # One in seven chats at a server is closed inside an event.
        violated = self.find_violated_guarantees(faults, "resend", callers=24)
        self.assertIn("whole_answer", violated)

    def test_resending_host_violates_at_most_once(self):
        """A host that resends a payout after a lost response is found."""
        # Responses are held back from the first request on, for longer than the
        # time-out of the naive host.
        faults = [Fault(0.0, FaultKind.SERVER_DEAF, n, 6.0) for n in range(4)]
        self.assertIn("at_most_once", self.find_violated_guarantees(faults, "resend"))

    def test_naive_host_violates_server_limit(self):
        """A host that sends as many requests as without a limit is found."""
        faults = [Fault(0.5, FaultKind.SERVER_NAMES_LIMIT, n, 3.0) for n in range(4)]
        violated = self.find_violated_guarantees(faults, "resend", callers=24)
        self.assertIn("server_limit", violated)

    def test_naive_host_violates_crashing_prompt(self):
        """A host that sends on what has crashed server after server is found."""
        faults = [Fault(0.5, FaultKind.PROMPT_CRASHES_SERVERS, 0, 2.0)]
        violated = self.find_violated_guarantees(faults, "resend")
        self.assertIn("crashing_prompt", violated)

    def test_naive_host_violates_crashing_request(self):
        """Neither does it hold back one request that comes again and again."""
        faults = [Fault(0.5, FaultKind.REQUEST_CRASHES_SERVERS, 0, 2.0)]
        violated = self.find_violated_guarantees(faults, "resend")
        self.assertIn("crashing_request", violated)

    def test_host_without_drain_violates_graceful_shutdown(self):
        """A host that exits at once on SIGTERM is found, by both checks of it."""
        # All hosts are terminated twice, so that some request is in progress.
        faults = [
            Fault(at_s, FaultKind.HOST_TERMINATED, n, 0.0)
            for at_s in (1.0, 4.0)
            for n in range(3)
        ]
        violated = self.find_violated_guarantees(faults, "no_drain")
        self.assertIn("graceful_shutdown", violated)
        self.assertIn("answered", violated)

    def find_violated_guarantees(
        self, faults: list[Fault], variant: str, callers: int = 6
    ) -> set[str]:
        """Return the guarantees that a naive host violates under some faults."""
        program = ("soak.naive", variant)
        # A naive host that nobody reads would block as soon as its pipe is full.
        with tempfile.TemporaryDirectory() as folder:
            settings = SoakSettings(3, 4, callers, 12.0, program, Path(folder))
            observations = run_coroutine(run_seed(CI_SEED, settings, faults))
        return {violation.guarantee for violation in find_violations(observations)}


class RegressionTest(TestCase):
    """The list of seeds that have failed in the past, with their causes."""

    def test_entries_have_required_keys(self):
        """Each entry has the seed, the options, the observation and the cause."""
        for entry in json.loads(REGRESSIONS.read_text()):
            self.assertEqual(
                {"seed", "options", "seen", "cause", "open"}, set(entry), entry
            )
