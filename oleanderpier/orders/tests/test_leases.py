"""What a witness grants, and how the holder measures its lease."""

import random
from types import SimpleNamespace

from testtools import TestCase

from oleanderpier.claims import MAX_CLOCK_SKEW_S, HostList, RoundId, WitnessSet
from oleanderpier.connections.sessions import TCP_USER_TIMEOUT_MS
from oleanderpier.orders import (
    FENCE_SPAN,
    LEASE_S,
    MARGIN_S,
    ORDER_TIMEOUT_S,
    RENEW_S,
    ROUND_RESEND_S,
    ROUND_S,
    START_WAIT_S,
    LeaseDenial,
    LeaseGranted,
    LeaseHeld,
    LeaseQuery,
    LeaseRelease,
    Leases,
    LeaseWitness,
    StartWindow,
    read_fence_time,
)
from oleanderpier.utils import ManualTimers

WITNESSES = ("host-1", "host-2", "host-3")
SUBJECT = "engine-0"


class FakeLists:
    """Host lists of which a test sets the newest version."""

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
        """Note a version."""


class WitnessTest(TestCase):
    """Each ask, after a grant to round 3 of another process."""

    def setUp(self):
        """Let a witness grant a lease once it is ready."""
        super().setUp()
        self.timers, self.lists = ManualTimers(), FakeLists()
        self.witness = LeaseWitness(self.timers, self.lists)
        self.timers.advance(START_WAIT_S)
        self.fence = read_fence_time(self.timers.wall())
        self.assertIsInstance(self.ask(3), LeaseGranted)

    def ask(self, sequence, host="host-8", ahead=0, version=1):
        """Ask the witness; ``ahead`` is added to the first fence."""
        round_id = RoundId(host, "a", sequence)
        ask = LeaseQuery(SUBJECT, round_id, self.fence + ahead, version)
        return self.witness.grant(ask)

    def reason(self, *args, **options):
        """Return why an ask is refused."""
        return self.ask(*args, **options).reason

    def test_renewal(self):
        """The holder renews, but neither an old round nor a lower fence."""
        self.assertIsInstance(self.ask(4, ahead=5), LeaseGranted)
        self.assertEqual(LeaseDenial.OLD_ROUND, self.reason(3, ahead=5))
        self.assertEqual(LeaseDenial.FENCE_OLD, self.reason(5, ahead=4))

    def test_other_process(self):
        """Another process waits for the end, and then needs a higher fence."""
        self.timers.advance(LEASE_S - 0.5)
        held = self.ask(1, "host-9", FENCE_SPAN)
        self.assertEqual(("host-8", 0.5), (held.holder, round(held.remaining_s, 3)))
        self.timers.advance(0.5)
        low = self.reason(1, "host-9", FENCE_SPAN - 1)
        self.assertEqual(LeaseDenial.FENCE_OLD, low)
        self.assertIsInstance(self.ask(1, "host-9", FENCE_SPAN), LeaseGranted)

    def test_release(self):
        """A release ends the lease, keeps the fence and stops old rounds."""
        self.witness.release(LeaseRelease(SUBJECT, RoundId("host-8", "a", 2)))
        self.assertIsInstance(self.ask(1, "host-9", FENCE_SPAN), LeaseHeld)
        self.witness.release(LeaseRelease(SUBJECT, RoundId("host-8", "a", 3)))
        self.assertEqual(LeaseDenial.OLD_ROUND, self.reason(3))
        self.assertEqual(LeaseDenial.FENCE_OLD, self.reason(1, "host-9"))
        self.assertIsInstance(self.ask(1, "host-9", FENCE_SPAN), LeaseGranted)

    def test_fence_ahead(self):
        """A fence may be ahead of the clock by no more than clocks differ."""
        limit = round(MAX_CLOCK_SKEW_S * 1000)
        self.assertEqual(LeaseDenial.FENCE_AHEAD, self.reason(4, ahead=limit + 1))
        self.assertIsInstance(self.ask(4, ahead=limit), LeaseGranted)

    def test_lists(self):
        """Nothing is granted under an old list, or while lists are not ready."""
        self.lists.highest_version = 2
        self.assertEqual(LeaseDenial.OLD_LIST, self.reason(4))
        self.lists.ready = False
        self.assertEqual(LeaseDenial.NOT_READY, self.reason(4, version=2))

    def test_start(self):
        """A new process waits until its predecessor's leases have ended."""
        self.witness = LeaseWitness(self.timers, self.lists)
        self.timers.advance(START_WAIT_S - 0.1)
        self.assertEqual(LeaseDenial.NOT_READY, self.reason(1, "host-9"))
        self.timers.advance(0.1)
        self.assertIsInstance(self.ask(1, "host-9"), LeaseGranted)


class HolderTest(TestCase):
    """The holder's side, with answers given by hand."""

    def setUp(self):
        """Let a process ask for a lease."""
        super().setUp()
        self.timers, self.lists = ManualTimers(), FakeLists()
        self.sent, self.told = [], []
        outbox = SimpleNamespace(send=self.send)
        shortest = SimpleNamespace(random=lambda: 0.0, uniform=min)
        args = (self.timers, shortest, outbox, self.lists)
        self.leases = Leases("host-8", "a", *args)
        self.acquire(SUBJECT)

    def acquire(self, subject):
        """Ask for a lease, with the shortest of the random waits."""
        self.leases.acquire(subject, 10.0, self.told.append)
        self.timers.advance(0.0)

    def send(self, host, message):
        """Keep a message."""
        self.sent.append(message)
        return True

    def grant(self, ask):
        """Let a majority grant an ask."""
        for host in WITNESSES[:2]:
            granted = LeaseGranted(
                ask.subject, ask.round_id, self.lists.highest_version
            )
            self.leases.handle(host, granted)

    def test_measured_from_ask(self):
        """A lease lasts from before its first ask, also if the clock is set back."""
        self.timers.advance(0.75 * ROUND_S)
        self.timers._wall_offset_s -= MAX_CLOCK_SKEW_S
        self.grant(self.sent[-1])
        self.assertEqual(LEASE_S - 0.75 * ROUND_S, self.told[0].ok.left_s)

    def test_late_answer(self):
        """Answers count for a short time, so that the fence is never old."""
        ask = self.sent[-1]
        self.timers.advance(ROUND_S + 0.01)
        self.grant(ask)
        self.assertEqual([], self.told)

    def test_version_of_round(self):
        """An ask that is sent again keeps the version of its witnesses."""
        self.lists.highest_version = 2
        self.timers.advance(ROUND_RESEND_S)
        self.assertEqual({1}, {ask.list_version for ask in self.sent})

    def test_older_lists(self):
        """A list is out of use only when its leases have ended."""
        self.assertLess(self.lists.key_time, self.timers.wall() - LEASE_S)

    def test_unsure_order(self):
        """A lease with an order in doubt is kept to its end by everyone."""
        self.grant(self.sent[-1])
        lease = self.told[0].ok
        lease.start_order()
        lease.finish_order(False)
        self.assertIsNone(lease.start_order())
        self.sent.clear()
        self.leases.release(lease)
        self.acquire(SUBJECT)
        self.assertEqual(([], LEASE_S), (self.sent, self.told[1].error.retry_after_s))
        self.timers.advance(LEASE_S)
        self.acquire(SUBJECT)
        self.assertIsInstance(self.sent[-1], LeaseQuery)

    def test_ended_lease(self):
        """A lease that has ended is not revived by a late renewal."""
        self.grant(self.sent[-1])
        lease = self.told[0].ok
        self.timers.advance(LEASE_S - 0.01)
        renewal = self.sent[-1]
        self.timers.advance(0.02)
        self.grant(renewal)
        self.assertEqual((0.0, None), (lease.left_s, self.leases.find_lease(SUBJECT)))

    def test_suspended_machine(self):
        """A lease ends by the wall clock where the other one stood still."""
        self.grant(self.sent[-1])
        self.timers._wall_offset_s += LEASE_S
        self.assertEqual(0.0, self.told[0].ok.left_s)
        self.assertIsNone(self.told[0].ok.start_order())

    def test_close(self):
        """A host that shuts down gives its leases up and asks for none."""
        self.acquire("engine-1")
        self.grant(self.sent[0])
        self.leases.close()
        released = {m.subject for m in self.sent if isinstance(m, LeaseRelease)}
        self.assertEqual({SUBJECT, "engine-1"}, released)
        self.assertEqual([True, False], [result.is_ok() for result in self.told])


class LimitsTest(TestCase):
    """What the proofs ask of the limits."""

    def test_fence_rises(self):
        """A successor's clock passes a forgotten fence while it has to wait."""
        spare_s = LEASE_S + MARGIN_S - ROUND_S - 2 * MAX_CLOCK_SKEW_S
        self.assertGreater(spare_s, FENCE_SPAN / 1000)

    def test_order_fits(self):
        """An order fits in after a failed renewal, and no byte outlives it."""
        left_s = LEASE_S - 2 * RENEW_S
        self.assertGreater(left_s, ORDER_TIMEOUT_S + MARGIN_S)
        self.assertLessEqual(TCP_USER_TIMEOUT_MS / 1000, ORDER_TIMEOUT_S)


class StartWindowTest(TestCase):
    """The rate of a budget."""

    def test_any_window(self):
        """No window holds more starts than it may, wherever it begins."""
        timers, rng, taken = ManualTimers(), random.Random(1), []
        window = StartWindow(timers, 3, 10.0, 0.0)
        while timers.now() < 300:
            taken += [] if window.take() else [timers.now()]
            timers.advance(rng.uniform(0.0, 2.0))
        self.assertGreaterEqual(taken[0], 10.0)
        gaps = [b - a for a, b in zip(taken, taken[3:], strict=False)]
        self.assertGreaterEqual(min(gaps), 10.0)
        self.assertGreater(len(taken), 60)
