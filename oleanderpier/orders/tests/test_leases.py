"""Tests of witnesses and holders of leases, of the limits, and of start rates."""

import random
from types import SimpleNamespace

from testtools import TestCase

from oleanderpier.claims import MAX_CLOCK_SKEW_S, HostList, RoundId, WitnessSet
from oleanderpier.connections.sessions import TCP_USER_TIMEOUT_MS
from oleanderpier.orders import (
    LEASE_MARGIN_S,
    LEASE_TERM_S,
    ORDER_TIMEOUT_S,
    RENEW_INTERVAL_S,
    ROUND_RESEND_S,
    ROUND_TIMEOUT_S,
    TERM_FENCE_COUNT,
    WITNESS_START_DELAY_S,
    LeaseGranted,
    LeaseHeld,
    LeaseQuery,
    LeaseRefusal,
    LeaseRelease,
    Leases,
    LeaseWitness,
    SlidingWindow,
    make_fence,
)
from oleanderpier.utils import ManualTimers

WITNESSES = ("host-1", "host-2", "host-3")
SUBJECT = "engine-0"


class FakeLists:
    """Fake host lists; a test sets the newest version."""

    def __init__(self):
        self.ready, self.highest_version = True, 1

    @property
    def newest(self):
        """The newest list."""
        return HostList(self.highest_version, ())

    def choose_witness_sets(self, key, key_time):
        """Return the same witnesses for every version."""
        self.key_time = key_time
        return [WitnessSet(self.highest_version, WITNESSES)]

    def receive_version(self, host, version):
        """Ignore a version."""


class WitnessTest(TestCase):
    """Replies of a witness that has granted a lease to round 3 of a process."""

    def setUp(self):
        """Let a witness that is ready grant a lease."""
        super().setUp()
        self.timers, self.lists = ManualTimers(), FakeLists()
        self.witness = LeaseWitness(self.timers, self.lists)
        self.timers.advance(WITNESS_START_DELAY_S)
        self.fence = make_fence(self.timers.wall())
        self.assertIsInstance(self.query(3), LeaseGranted)

    def query(self, sequence, host="host-8", ahead=0, version=1):
        """Query the witness; ``ahead`` is added to the first granted fencing token."""
        round_id = RoundId(host, "a", sequence)
        query = LeaseQuery(SUBJECT, round_id, self.fence + ahead, version)
        return self.witness.grant(query)

    def get_refusal(self, *args, **options):
        """Return why a query is refused."""
        return self.query(*args, **options).reason

    def test_renewal_needs_new_round_and_fence(self):
        """The holder can renew, but not in an old round or with a lower fence."""
        self.assertIsInstance(self.query(4, ahead=5), LeaseGranted)
        self.assertEqual(LeaseRefusal.OLD_ROUND, self.get_refusal(3, ahead=5))
        self.assertEqual(LeaseRefusal.FENCE_TOO_LOW, self.get_refusal(5, ahead=4))

    def test_other_process_needs_end_and_higher_fence(self):
        """Another process gets the lease after its end, with a higher fence."""
        self.timers.advance(LEASE_TERM_S - 0.5)
        held = self.query(1, "host-9", TERM_FENCE_COUNT)
        self.assertEqual(("host-8", 0.5), (held.holder, round(held.remaining_s, 3)))
        self.timers.advance(0.5)
        low = self.get_refusal(1, "host-9", TERM_FENCE_COUNT - 1)
        self.assertEqual(LeaseRefusal.FENCE_TOO_LOW, low)
        self.assertIsInstance(self.query(1, "host-9", TERM_FENCE_COUNT), LeaseGranted)

    def test_release_keeps_fence(self):
        """A release ends the lease, but old fences and old rounds are refused."""
        self.witness.release(LeaseRelease(SUBJECT, RoundId("host-8", "a", 2)))
        self.assertIsInstance(self.query(1, "host-9", TERM_FENCE_COUNT), LeaseHeld)
        self.witness.release(LeaseRelease(SUBJECT, RoundId("host-8", "a", 3)))
        self.assertEqual(LeaseRefusal.OLD_ROUND, self.get_refusal(3))
        self.assertEqual(LeaseRefusal.FENCE_TOO_LOW, self.get_refusal(1, "host-9"))
        self.assertIsInstance(self.query(1, "host-9", TERM_FENCE_COUNT), LeaseGranted)

    def test_fence_ahead_of_clock(self):
        """A fence may be ahead of the witness's clock by the largest skew only."""
        limit = round(MAX_CLOCK_SKEW_S * 1000)
        self.assertEqual(LeaseRefusal.FENCE_AHEAD, self.get_refusal(4, ahead=limit + 1))
        self.assertIsInstance(self.query(4, ahead=limit), LeaseGranted)

    def test_old_or_unready_list(self):
        """Nothing is granted under an old list, or while lists are not ready."""
        self.lists.highest_version = 2
        self.assertEqual(LeaseRefusal.OLD_LIST, self.get_refusal(4))
        self.lists.ready = False
        self.assertEqual(LeaseRefusal.NOT_READY, self.get_refusal(4, version=2))

    def test_new_process_waits_for_old_leases(self):
        """A new process grants nothing until the previous one's leases have ended."""
        self.witness = LeaseWitness(self.timers, self.lists)
        self.timers.advance(WITNESS_START_DELAY_S - 0.1)
        self.assertEqual(LeaseRefusal.NOT_READY, self.get_refusal(1, "host-9"))
        self.timers.advance(0.1)
        self.assertIsInstance(self.query(1, "host-9"), LeaseGranted)


class HolderTest(TestCase):
    """A holder of a lease, with replies from the test."""

    def setUp(self):
        """Let a process start to acquire a lease."""
        super().setUp()
        self.timers, self.lists = ManualTimers(), FakeLists()
        self.sent, self.results = [], []
        outbox = SimpleNamespace(send=self.send)
        min_random = SimpleNamespace(random=lambda: 0.0, uniform=min)
        args = (self.timers, min_random, outbox, self.lists)
        self.leases = Leases("host-8", "a", *args)
        self.acquire(SUBJECT)

    def acquire(self, subject):
        """Acquire a lease, with the shortest of the random waits."""
        self.leases.acquire(subject, 10.0, self.results.append)
        self.timers.advance(0.0)

    def send(self, host, message):
        """Record a message."""
        self.sent.append(message)
        return True

    def grant(self, query):
        """Deliver grants of a majority for a query."""
        for host in WITNESSES[:2]:
            granted = LeaseGranted(
                query.subject, query.round_id, self.lists.highest_version
            )
            self.leases.handle(host, granted)

    def test_lease_starts_with_first_query(self):
        """A lease lasts from its round's start, also if the wall clock is set back."""
        self.timers.advance(0.75 * ROUND_TIMEOUT_S)
        self.timers._wall_offset_s -= MAX_CLOCK_SKEW_S
        self.grant(self.sent[-1])
        self.assertEqual(
            LEASE_TERM_S - 0.75 * ROUND_TIMEOUT_S, self.results[0].ok.left_s
        )

    def test_late_reply_is_ignored(self):
        """Replies after the round's time-out are ignored, so no fence is too old."""
        query = self.sent[-1]
        self.timers.advance(ROUND_TIMEOUT_S + 0.01)
        self.grant(query)
        self.assertEqual([], self.results)

    def test_resent_query_keeps_list_version(self):
        """A query that is sent again keeps the list version of its witnesses."""
        self.lists.highest_version = 2
        self.timers.advance(ROUND_RESEND_S)
        self.assertEqual({1}, {query.list_version for query in self.sent})

    def test_list_used_until_its_leases_end(self):
        """A list is out of use only when its leases have ended."""
        self.assertLess(self.lists.key_time, self.timers.wall() - LEASE_TERM_S)

    def test_uncertain_order_blocks_release(self):
        """A lease with an order that may still take effect is kept to its end."""
        self.grant(self.sent[-1])
        lease = self.results[0].ok
        lease.start_order()
        lease.finish_order(False)
        self.assertIsNone(lease.start_order())
        self.sent.clear()
        self.leases.release(lease)
        self.acquire(SUBJECT)
        self.assertEqual(
            ([], LEASE_TERM_S), (self.sent, self.results[1].error.retry_after_s)
        )
        self.timers.advance(LEASE_TERM_S)
        self.acquire(SUBJECT)
        self.assertIsInstance(self.sent[-1], LeaseQuery)

    def test_late_renewal_of_ended_lease(self):
        """A lease that has ended is not revived by a late renewal."""
        self.grant(self.sent[-1])
        lease = self.results[0].ok
        self.timers.advance(LEASE_TERM_S - 0.01)
        renewal = self.sent[-1]
        self.timers.advance(0.02)
        self.grant(renewal)
        self.assertEqual((0.0, None), (lease.left_s, self.leases.find_lease(SUBJECT)))

    def test_lease_ends_by_wall_clock_after_suspension(self):
        """A lease ends by the wall clock if the monotonic clock stood still."""
        self.grant(self.sent[-1])
        self.timers._wall_offset_s += LEASE_TERM_S
        self.assertEqual(0.0, self.results[0].ok.left_s)
        self.assertIsNone(self.results[0].ok.start_order())

    def test_close_releases_leases(self):
        """A host that shuts down gives up its leases and fails acquisitions."""
        self.acquire("engine-1")
        self.grant(self.sent[0])
        self.leases.close()
        released = {m.subject for m in self.sent if isinstance(m, LeaseRelease)}
        self.assertEqual({SUBJECT, "engine-1"}, released)
        self.assertEqual([True, False], [result.is_ok() for result in self.results])


class LimitsTest(TestCase):
    """Relations between the limits on which the guarantees depend."""

    def test_fences_increase_without_record(self):
        """A new issuer's clock passes the last fences while it has to wait.

        This holds although no witness has a record of them any more.
        """
        spare_s = LEASE_TERM_S + LEASE_MARGIN_S - ROUND_TIMEOUT_S - 2 * MAX_CLOCK_SKEW_S
        self.assertGreater(spare_s, TERM_FENCE_COUNT / 1000)

    def test_order_fits_after_failed_renewal(self):
        """An order fits in after a failed renewal; its bytes expire by its time-out."""
        left_s = LEASE_TERM_S - 2 * RENEW_INTERVAL_S
        self.assertGreater(left_s, ORDER_TIMEOUT_S + LEASE_MARGIN_S)
        self.assertLessEqual(TCP_USER_TIMEOUT_MS / 1000, ORDER_TIMEOUT_S)


class SlidingWindowTest(TestCase):
    """Limit of the number of starts in a sliding window."""

    def test_limit_in_every_window(self):
        """No window has more starts than the limit, wherever it begins."""
        timers, rng, start_times_s = ManualTimers(), random.Random(1), []
        window = SlidingWindow(timers, 3, 10.0, 0.0)
        while timers.now() < 300:
            start_times_s += [] if window.try_start() else [timers.now()]
            timers.advance(rng.uniform(0.0, 2.0))
        self.assertGreaterEqual(start_times_s[0], 10.0)
        gaps = [b - a for a, b in zip(start_times_s, start_times_s[3:], strict=False)]
        self.assertGreaterEqual(min(gaps), 10.0)
        self.assertGreater(len(start_times_s), 60)
