"""Tests of what a choice of a server costs."""

import random

from testtools import TestCase

from oleanderpier.routing import CopyCosts, PrefillTimes, ServerCost
from oleanderpier.routing.costs import (
    DEFAULT_ESTIMATE,
    MAX_TOKENS_PER_MS,
    MIN_MEASUREMENTS,
    compute_slot_wait_ms,
    compute_usable_slots,
    list_cheapest,
)
from oleanderpier.routing.tests.fakes import ENGINE, make_server


def make_cost(identity: str, **changes) -> ServerCost:
    """Return the cost of a free server that holds the prompt, with some changes."""
    cost = ServerCost(
        server=make_server(identity),
        load=4.0,
        room=16.0,
        is_free=True,
        is_over_limit=False,
        holds_prompt=True,
        slow_factor=1.0,
        wait_ms=0.0,
        work_ms=100.0,
        missing_ms=0.0,
    )
    return cost._replace(**changes)


def list_names(*costs: ServerCost) -> list[str]:
    """Return the ids of the servers that cost nearly the least."""
    return [cost.server.identity for cost in list_cheapest(list(costs))]


class CheapestTest(TestCase):
    """Which servers cost nearly the least."""

    def test_full_holder_loses_to_a_shorter_prefill(self):
        """Otherwise requests wait for a holder while other slots are free."""
        other = make_cost("s2", holds_prompt=False, missing_ms=94.0)
        for wait_ms, expected in ((200.0, ["s2"]), (50.0, ["s1"])):
            holder = make_cost("s1", is_free=False, wait_ms=wait_ms)
            self.assertEqual(expected, list_names(holder, other))

    def test_holder_over_the_load_limit_is_left_out(self):
        """A holder below its slots would be chosen although the limit is not kept."""
        holder = make_cost("s1", is_free=False, is_over_limit=True)
        other = make_cost("s2", holds_prompt=False, missing_ms=94.0)
        self.assertEqual(["s2"], list_names(holder, other))

    def test_rereading_counts_twice_while_a_holder_has_room(self):
        """Calm prompts would move from a holder that is somewhat slow for a moment."""
        holder = make_cost("s1", slow_factor=2.5, work_ms=250.0)
        other = make_cost("s2", holds_prompt=False, missing_ms=94.0)
        self.assertEqual(["s1"], list_names(holder, other))
        crowded = holder._replace(wait_ms=1.0)
        self.assertEqual(["s2"], list_names(crowded, other))

    def test_full_servers_without_the_prompt_are_left_out(self):
        """They are compared only if no server has a free slot."""
        full = make_cost("s1", is_free=False, holds_prompt=False, wait_ms=1.0)
        slow = make_cost("s2", holds_prompt=False, work_ms=300.0)
        self.assertEqual(["s2"], list_names(full, slow))
        self.assertEqual(["s1"], list_names(full, slow._replace(is_free=False)))

    def test_slots_of_a_slow_server(self):
        """A server that takes 2.5 times as long has room for as many fewer."""
        self.assertAlmostEqual(6.4, compute_usable_slots(16, 2.5))
        self.assertEqual(16.0, compute_usable_slots(16, 0.8))
        self.assertEqual(1.0, compute_usable_slots(2, 5.0))

    def test_wait_for_a_slot(self):
        """The requests ahead, over the slots, times the time that each takes."""
        self.assertEqual(0.0, compute_slot_wait_ms(15.0, 16, 0.4))
        self.assertAlmostEqual(225.0, compute_slot_wait_ms(24.0, 16, 0.4))
        self.assertEqual(0.0, compute_slot_wait_ms(500.0, float("inf"), 0.4))


class PrefillTimesTest(TestCase):
    """Measured prefill."""

    def test_default_until_enough_was_measured(self):
        """The first measurements may all have been waits."""
        times = PrefillTimes()
        for _ in range(int(MIN_MEASUREMENTS)):
            self.assertEqual(DEFAULT_ESTIMATE, times.estimate(ENGINE))
            times.record(ENGINE, 11_812, 900.0)
        self.assertEqual(DEFAULT_ESTIMATE, times.estimate("other"))

    def test_speed_is_told_from_the_time_that_each_request_takes(self):
        """Requests of a deployment: few have to read the shared tokens."""
        times, rng = PrefillTimes(), random.Random(1)
        for _ in range(600):
            tokens = rng.choice((130, 360, 1300)) + 10_512 * (rng.random() < 0.1)
            times.record(ENGINE, tokens, rng.gauss(120.0, 20.0) + tokens / 112)
        estimate = times.estimate(ENGINE)
        self.assertAlmostEqual(112.0, estimate.tokens_per_ms, delta=25.0)
        self.assertAlmostEqual(120.0, estimate.base_ms, delta=8.0)

    def test_like_requests_tell_no_speed(self):
        """They tell the time of each request; the speed stays at its default."""
        times = PrefillTimes()
        for number in range(100):
            times.record(ENGINE, 130 + number % 2, 100.0 - number % 2)
        estimate = times.estimate(ENGINE)
        self.assertEqual(DEFAULT_ESTIMATE.tokens_per_ms, estimate.tokens_per_ms)

    def test_prompts_that_take_no_time(self):
        """Caches that this host did not know of do not give an infinite speed."""
        times = PrefillTimes()
        for number in range(100):
            times.record(ENGINE, 10_000 * (number % 2), 100.0)
        self.assertEqual(MAX_TOKENS_PER_MS, times.estimate(ENGINE).tokens_per_ms)


class CopyCostsTest(TestCase):
    """What a copy takes."""

    def test_setup_and_transfer(self):
        """2 ms, and the bytes over the link."""
        costs = CopyCosts(token_bytes=160_000, link_mbps=100_000.0)
        self.assertAlmostEqual(2.0 + 12.8 * 10.512, costs.compute_ms(10_512))
