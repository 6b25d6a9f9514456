"""Tests of the token buckets of servers that name a limit."""

from testtools import TestCase

from oleanderpier.routing import (
    LimitBuckets,
    compute_owner_per_s,
    compute_share_per_s,
)
from oleanderpier.routing.rate_limits import (
    BUCKET_KEPT_S,
    BURST_S,
    MIN_RATE_PER_S,
)
from oleanderpier.routing.tests.fakes import make_server

SERVER = make_server("s1", born_ms=5)
RATE_PER_S = 4.0


class LimitBucketsTest(TestCase):
    """Over any time a server gets its rate, and at most a bucket more."""

    def setUp(self):
        """Make buckets."""
        super().setUp()
        self.buckets = LimitBuckets()

    def count_granted(self, from_s: float, for_s: float, per_s: float) -> int:
        """Return how many of a steady stream of requests are granted."""
        interval_s = 1 / per_s
        times_s = [from_s + n * interval_s for n in range(round(for_s * per_s))]
        return sum(
            not self.buckets.acquire(SERVER, RATE_PER_S, at_s) for at_s in times_s
        )

    def test_new_bucket_is_empty(self):
        """The host that was the owner before may just have granted requests."""
        self.assertEqual(0.25, self.buckets.acquire(SERVER, RATE_PER_S, 0.0))

    def test_whole_rate_is_granted_while_there_are_more_requests(self):
        """Neither less nor more."""
        granted = self.count_granted(0.0, 20.0, per_s=50.0)
        self.assertTrue(79 <= granted <= 80, granted)

    def test_all_requests_are_granted_below_the_rate(self):
        """From the moment at which the first token is there."""
        self.buckets.acquire(SERVER, RATE_PER_S, 0.0)
        self.assertEqual(30, self.count_granted(1.0, 10.0, per_s=3.0))

    def test_idle_time_adds_a_bucket_at_most(self):
        """A crowd after an hour does not get what was left in it."""
        self.buckets.acquire(SERVER, RATE_PER_S, 0.0)
        granted = self.count_granted(3600.0, 0.2, per_s=1000.0)
        self.assertEqual(RATE_PER_S * BURST_S, granted)

    def test_wait_is_the_time_until_the_next_token(self):
        """A request then is granted, one before is not."""
        wait_s = self.buckets.acquire(SERVER, RATE_PER_S, 0.0)
        self.assertTrue(self.buckets.acquire(SERVER, RATE_PER_S, 0.99 * wait_s))
        self.assertFalse(self.buckets.acquire(SERVER, RATE_PER_S, wait_s))

    def test_another_run_has_its_own_bucket(self):
        """A server that starts again knows nothing of before."""
        self.buckets.acquire(SERVER, RATE_PER_S, 0.0)
        restarted = SERVER._replace(born_ms=6)
        self.assertTrue(self.buckets.acquire(restarted, RATE_PER_S, 0.3))
        self.assertFalse(self.buckets.acquire(SERVER, RATE_PER_S, 0.3))

    def test_unused_buckets_are_removed(self):
        """A server that has long gone costs no memory."""
        self.buckets.acquire(SERVER, RATE_PER_S, 0.0)
        self.buckets.remove_expired(BUCKET_KEPT_S)
        self.assertEqual({}, self.buckets._buckets)


class RateTest(TestCase):
    """The owner grants the limit, and shares add what the users allow besides."""

    def test_shares_of_all_hosts_are_within_the_users_bound(self):
        """They allow one and a half times the limit."""
        granted_per_s = compute_owner_per_s(4.0) + 8 * compute_share_per_s(4.0, 8)
        self.assertEqual(1.5 * 4.0, granted_per_s)
        self.assertEqual(2.0, compute_share_per_s(4.0, 0))

    def test_server_that_takes_none_is_tried_at_times(self):
        """Only its response shows that its limit has ended."""
        self.assertEqual(MIN_RATE_PER_S, compute_owner_per_s(0.0))
