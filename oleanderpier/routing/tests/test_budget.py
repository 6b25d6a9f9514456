"""Tests of the retry budget: all hosts together stay in the bound."""

import random

from testtools import TestCase

from oleanderpier.routing import BudgetLimits, RetryBudget
from oleanderpier.utils import ManualTimers

LIMITS = BudgetLimits(ratio=0.2, slack=54.0, window_s=10.0)


class BudgetTest(TestCase):
    """Hosts that can't talk keep the bound between them."""

    def count_repeats(self, hosts: int, known: int, per_s: float) -> None:
        """Drive hosts that repeat whatever they may, and check each window."""
        timers = ManualTimers()
        budgets = [RetryBudget(LIMITS, timers, lambda: known) for _ in range(hosts)]
        rng = random.Random(2)
        requests: list[float] = []
        repeats: list[float] = []
        for _ in range(4_000):
            timers.advance(rng.expovariate(per_s))
            now_s = timers.now()
            budget = rng.choice(budgets)
            budget.record_request("ledger")
            requests.append(now_s)
            for _ in range(3):
                if budget.try_acquire("ledger"):
                    repeats.append(now_s)
            window = [at_s for at_s in repeats if at_s > now_s - LIMITS.window_s]
            asked = [at_s for at_s in requests if at_s > now_s - LIMITS.window_s]
            self.assertLessEqual(len(window), LIMITS.ratio * len(asked) + LIMITS.slack)
        self.assertGreater(len(repeats), 0)

    def test_small_fleet(self):
        """Eight hosts that know each other."""
        self.count_repeats(hosts=8, known=8, per_s=70.0)

    def test_hosts_that_know_themselves_only(self):
        """Eight hosts that have just started and know nobody."""
        self.count_repeats(hosts=8, known=1, per_s=20.0)

    def test_large_fleet(self):
        """Seventy-eight hosts with little traffic each."""
        self.count_repeats(hosts=78, known=78, per_s=70.0)
