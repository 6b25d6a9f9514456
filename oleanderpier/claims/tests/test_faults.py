"""Tests of the guarantees of claims, under named faults and random schedules.

A key runs at most once, and a key that was reported as not run never runs.
"""

from testtools import TestCase

from oleanderpier.claims.tests.baselines import HashedOwnerNode, UnsharedNode
from oleanderpier.claims.tests.faults import CASES, run_case
from oleanderpier.claims.tests.schedules import run_schedule
from oleanderpier.results import Code

SCHEDULE_COUNT = 200
BASELINE_SCHEDULE_COUNT = 10


class FaultsTest(TestCase):
    """Every named fault, against the claims and both baselines."""

    def test_claims_keep_guarantees(self):
        """No fault makes a key run twice, or run although it was reported not run."""
        broken = {name: run_case(name, 1).find_violations() for name in CASES}
        self.assertEqual({name: [] for name in CASES}, broken)

    def test_unshared_state_runs_keys_twice(self):
        """Without shared state, a key runs twice in every case."""
        unbroken = [
            n for n in CASES if not run_case(n, 1, UnsharedNode).find_violations()
        ]
        self.assertEqual([], unbroken)

    def test_hashed_owner_breaks(self):
        """A hashed owner fails where hosts disagree on which hosts are alive."""
        broken = {n for n in CASES if run_case(n, 1, HashedOwnerNode).find_violations()}
        expected = {"split 4/3", "split 3/3/2", "incoming links cut", "rolling restart"}
        expected |= {"rolling replacement", "all replaced at once", "pause at claim"}
        expected |= {"lists one version apart", "three hosts killed"}
        self.assertEqual(set(), expected - broken)

    def test_repeated_request_gets_first_result(self):
        """A request that is repeated gets the result of the first one."""
        for name in ("duplicate at all hosts", "split 4/3", "three hosts restarted"):
            fleet = run_case(name, 2)
            last = {call.key: call.received_codes for call in fleet.calls}
            self.assertEqual({(Code.DONE,)}, {tuple(codes) for codes in last.values()})
            self.assertEqual(len(last), len(fleet.executions))


class SchedulesTest(TestCase):
    """Random schedules of requests and faults."""

    def test_claims_keep_guarantees(self):
        """No schedule breaks a guarantee, and more than half of the keys run."""
        ran = keys = 0
        for seed in range(SCHEDULE_COUNT):
            fleet = run_schedule(seed)
            self.assertEqual([], fleet.find_violations(), f"seed {seed}")
            ran += len(fleet.executions)
            keys += len({call.key for call in fleet.calls})
        self.assertGreater(ran, keys / 2)

    def test_schedules_break_both_baselines(self):
        """The same schedules break both baselines."""
        for make_node in (UnsharedNode, HashedOwnerNode):
            fleets = [
                run_schedule(s, make_node) for s in range(BASELINE_SCHEDULE_COUNT)
            ]
            broken = [fleet for fleet in fleets if fleet.find_violations()]
            self.assertGreater(len(broken), BASELINE_SCHEDULE_COUNT / 2)
