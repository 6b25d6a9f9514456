"""Tests of the retry budget: all hosts together stay within the limit."""

import random

from testtools import TestCase

from oleanderpier.routing import BudgetLimits, RetryBudget
from oleanderpier.utils import ManualTimers

LIMITS = BudgetLimits(ratio=0.2, slack=54.0, window_s=10.0)


class RetryBudgetTest(TestCase):
    """Hosts that cannot communicate stay within the limit together."""

    def check_retries(
        self, hosts: int, known_hosts: int, requests_per_s: float
    ) -> None:
        """Run hosts that retry whatever they may, and check every window."""
        timers = ManualTimers()
        budgets = [
            RetryBudget(LIMITS, timers, lambda: known_hosts) for _ in range(hosts)
        ]
        rng = random.Random(2)
        requests: list[float] = []
        retries: list[float] = []
        for _ in range(4_000):
            timers.advance(rng.expovariate(requests_per_s))
            now_s = timers.now()
            budget = rng.choice(budgets)
            budget.record_request("ledger")
            requests.append(now_s)
            for _ in range(3):
                if budget.try_acquire("ledger"):
                    retries.append(now_s)
            recent_retries = [
                at_s for at_s in retries if at_s > now_s - LIMITS.window_s
            ]
            recent_requests = [
                at_s for at_s in requests if at_s > now_s - LIMITS.window_s
            ]
            self.assertLessEqual(
                len(recent_retries), LIMITS.ratio * len(recent_requests) + LIMITS.slack
            )
        self.assertGreater(len(retries), 0)

    def test_eight_hosts(self):
        """Eight hosts that know of each other."""
        self.check_retries(hosts=8, known_hosts=8, requests_per_s=70.0)

    def test_hosts_that_know_no_other(self):
        """Eight hosts that have just started and know of no other host."""
        self.check_retries(hosts=8, known_hosts=1, requests_per_s=20.0)

    def test_many_hosts_with_few_requests(self):
        """Seventy-eight hosts with little traffic each."""
        self.check_retries(hosts=78, known_hosts=78, requests_per_s=70.0)
