"""Tests of the guarantees of orders, under named faults and random schedules.

At most one process holds a lease, fencing tokens increase from issuer to issuer, and
starts keep to the rate of their budget.
"""

from testtools import TestCase

from oleanderpier.orders import LEASE_TERM_S
from oleanderpier.orders.tests.baselines import HashedOwnerNode
from oleanderpier.orders.tests.faults import CASES, WARM_UP_S, run_case
from oleanderpier.orders.tests.fleet import OrdersFleet
from oleanderpier.orders.tests.schedules import run_schedule

SCHEDULE_COUNT = 6
BASELINE_FAULTS = (
    "kill at sent",
    "pause at write",
    "holder paused",
    "holder cut off",
    "holder's outgoing links cut",
    "split 3/4",
    "split 4/3",
    "split 3/3/2",
    "restart every 3 s",
    "rolling replacement",
    "all replaced at once",
    "lease released, all replaced",
    "lists one version apart",
    "lists two versions apart",
    "one clock an hour ahead",
)
SPLIT_SEEDS = (1, 2, 4, 12)


class FaultsTest(TestCase):
    """Every named fault, against the leases and the baseline."""

    def test_leases_keep_guarantees(self):
        """No fault breaks a guarantee, and orders are executed after each."""
        broken, idle = {}, []
        for name in CASES:
            fleet = run_case(name, 1)
            broken[name] = fleet.find_violations()
            idle += [] if all(fleet.count_executed(fleet.timers.now() - 10)) else [name]
        self.assertEqual({name: [] for name in CASES}, broken)
        self.assertEqual([], idle)

    def test_faults_break_owner_without_lease(self):
        """An owner without a lease fails where hosts disagree on it or are replaced."""
        fleets = {name: run_case(name, 1, HashedOwnerNode) for name in BASELINE_FAULTS}
        unbroken = [name for name in fleets if not fleets[name].find_violations()]
        self.assertEqual([], unbroken)

    def test_orders_continue_where_majority_is(self):
        """In a split, orders are executed where a majority is, and nowhere else."""
        for seed in SPLIT_SEEDS:
            self.check_split(seed)

    def check_split(self, seed):
        """Check in which splits orders are still executed."""
        executed = {}
        for name, hosts in (("split 3/4", 7), ("split 4/3", 7), ("split 3/3/2", 8)):
            fleet = OrdersFleet(seed, hosts=hosts)
            fleet.timers.advance(WARM_UP_S)
            CASES[name](fleet)
            fleet.timers.advance(LEASE_TERM_S + 10.0)
            start_s = fleet.timers.now()
            fleet.timers.advance(10.0)
            executed[name] = [count > 0 for count in fleet.count_executed(start_s)]
        larger, nowhere = [True, True], [False, False]
        expected = {"split 3/4": larger, "split 4/3": larger, "split 3/3/2": nowhere}
        self.assertEqual(expected, executed, f"seed {seed}")

    def test_order_paused_after_last_check(self):
        """An order paused past its lease is refused by its fence or reported as late.

        The engine that checks fencing tokens refuses it; the other one executes it, and
        the issuer gets ``LEASE_ENDED``.
        """
        fleet = run_case("pause at write", 1)
        self.assertEqual(1, fleet.count_late_orders())
        self.assertEqual(1, fleet.results["LEASE_ENDED"])


class SchedulesTest(TestCase):
    """Random schedules of orders and faults."""

    def test_leases_keep_guarantees(self):
        """No schedule breaks a guarantee, and orders are executed at the end."""
        for seed in range(SCHEDULE_COUNT):
            fleet = run_schedule(seed)
            self.assertEqual([], fleet.find_violations(), f"seed {seed}")
            at_end = fleet.count_executed(fleet.timers.now() - 10)
            self.assertTrue(all(at_end), f"seed {seed}")

    def test_schedules_break_owner_without_lease(self):
        """The same schedules break the baseline."""
        fleets = [run_schedule(seed, HashedOwnerNode) for seed in range(SCHEDULE_COUNT)]
        broken = [fleet for fleet in fleets if fleet.find_violations()]
        self.assertGreater(len(broken), SCHEDULE_COUNT / 2)
