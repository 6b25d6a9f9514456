"""One issuer at a time, rising fences, a rate that holds: faults and schedules."""

from testtools import TestCase

from oleanderpier.orders import LEASE_TERM_S
from oleanderpier.orders.tests.baselines import HashedOwnerNode
from oleanderpier.orders.tests.faults import CASES, WARM_UP_S, run_case
from oleanderpier.orders.tests.fleet import OrdersFleet
from oleanderpier.orders.tests.schedules import run_schedule

SCHEDULES = 6
BASELINE_BREAKS = (
    "kill at sent",
    "pause at write",
    "holder paused",
    "holder cut off",
    "holder is not heard",
    "split 3/4",
    "split 4/3",
    "split 3/3/2",
    "restart every 3 s",
    "rolling replacement",
    "all replaced at once",
    "given up, all replaced",
    "lists one step apart",
    "lists two steps apart",
    "one clock an hour ahead",
)

SPLIT_SEEDS = (1, 2, 4, 12)


class FaultsTest(TestCase):
    """Every named fault, against the leases and the baseline."""

    def test_leases_hold(self):
        """No fault breaks a promise, and orders are obeyed after each."""
        broken, idle = {}, []
        for name in CASES:
            fleet = run_case(name, 1)
            broken[name] = fleet.find_violations()
            idle += [] if all(fleet.count_executed(fleet.timers.now() - 10)) else [name]
        self.assertEqual({name: [] for name in CASES}, broken)
        self.assertEqual([], idle)

    def test_baseline_breaks(self):
        """An owner without lease fails where hosts differ, or are replaced."""
        fleets = {name: run_case(name, 1, HashedOwnerNode) for name in BASELINE_BREAKS}
        held = [name for name in fleets if not fleets[name].find_violations()]
        self.assertEqual([], held)

    def test_majority_goes_on(self):
        """In a split, orders go on where a majority is, and nowhere else."""
        for seed in SPLIT_SEEDS:
            self.check_split(seed)

    def check_split(self, seed):
        """Check on which side of each split orders go on."""
        obeyed = {}
        for name, hosts in (("split 3/4", 7), ("split 4/3", 7), ("split 3/3/2", 8)):
            fleet = OrdersFleet(seed, hosts=hosts)
            fleet.timers.advance(WARM_UP_S)
            CASES[name](fleet)
            fleet.timers.advance(LEASE_TERM_S + 10.0)
            begin_s = fleet.timers.now()
            fleet.timers.advance(10.0)
            obeyed[name] = [count > 0 for count in fleet.count_executed(begin_s)]
        larger, nowhere = [True, True], [False, False]
        expected = {"split 3/4": larger, "split 4/3": larger, "split 3/3/2": nowhere}
        self.assertEqual(expected, obeyed, f"seed {seed}")

    def test_late_order(self):
        """A pause after the last check is refused by a fence, or told of."""
        fleet = run_case("pause at write", 1)
        self.assertEqual(1, fleet.count_late_orders())
        self.assertEqual(1, fleet.results["LEASE_ENDED"])


class SchedulesTest(TestCase):
    """Seeded schedules of orders and faults."""

    def test_leases_hold(self):
        """No schedule breaks a promise, and orders are obeyed at the end."""
        for seed in range(SCHEDULES):
            fleet = run_schedule(seed)
            self.assertEqual([], fleet.find_violations(), f"seed {seed}")
            late = fleet.count_executed(fleet.timers.now() - 10)
            self.assertTrue(all(late), f"seed {seed}")

    def test_baseline_breaks(self):
        """The same schedules break the baseline."""
        fleets = [run_schedule(seed, HashedOwnerNode) for seed in range(SCHEDULES)]
        broken = [fleet for fleet in fleets if fleet.find_violations()]
        self.assertGreater(len(broken), SCHEDULES / 2)
