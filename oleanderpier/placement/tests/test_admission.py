"""Tests of admission control at a pool's owner, with seeded random events."""

import math
import random
from collections import Counter

from testtools import TestCase

from oleanderpier.placement import (
    AdmissionController,
    Grant,
    Holding,
    HoldingsReply,
    LeavingNotice,
    PermitQuery,
    Refusal,
    Release,
    Renewal,
    divide_servers,
)
from oleanderpier.placement.tests.fleet import make_server
from oleanderpier.results import Code
from oleanderpier.utils import ManualTimers

LOAD_MULTIPLE = 1.25


class CheckedOwner:
    """An admission controller whose grants are checked by an independent count.

    Attributes:
        held: The backend server of each granted permit, by number.
        refusals: All refusals received.
        violations: The server and counts of each grant that exceeds the bound.
        waiting: The workspaces of queries without a reply, by number.
    """

    def __init__(self, servers=6, slots=16, admission_class=AdmissionController):
        self.timers = ManualTimers()
        self.servers = [make_server(f"e{i}", slots) for i in range(servers)]
        self.slots = slots
        self.held = {}
        self.refusals = []
        self.violations = []
        self.waiting = {}
        pool = divide_servers(self.servers)[0]
        self.admission = admission_class(pool, ["h0"], self.timers, self._receive)
        self.admission.begin_grace_period()
        self.admission.handle(HoldingsReply(pool.number, []), "h0")

    def query(self, number, chat=0, workspace=1, target_ms=1600):
        """Send a permit query as an entry host."""
        self.waiting[number] = workspace
        query = PermitQuery(
            number, self.admission.pool.number, chat, workspace, target_ms
        )
        self.admission.handle(query, "h0")

    def release(self, number, failed=False):
        """Release a permit as an entry host."""
        del self.held[number]
        done, failures = ([], [number]) if failed else ([number], [])
        self.admission.handle(Release(1, done, failures, []), "h0")

    def _receive(self, host, message):
        if isinstance(message, Grant):
            self.held[message.number] = message.backend_server
            self.waiting.pop(message.number, None)
            self._check(message.backend_server)
        elif isinstance(message, Refusal):
            self.refusals.append(message)
            self.waiting.pop(message.number, None)

    def _check(self, server):
        now, loads = self.timers.now(), self.admission.loads.servers
        counts = Counter(self.held.values())
        usable = [name for name, load in loads.items() if load.is_usable(now)]
        mean = sum(counts[name] for name in usable) / len(usable)
        limit = math.ceil(LOAD_MULTIPLE * mean) if mean >= 8 else LOAD_MULTIPLE * 8
        if counts[server] > min(limit, self.slots):
            self.violations.append((server, counts))


class AffinityOnlyController(AdmissionController):
    """A naive owner that sends each chat to a fixed server regardless of load."""

    def _choose_server(self, query, available):
        names = sorted(self.loads.servers)
        return names[query.chat % 7 % len(names)]


def run_schedule(owner, seed, events=1500):
    """Run seeded random queries, releases and failures.

    Returns:
        How often a query was queued although a server was available.
    """
    rng, idle = random.Random(seed), 0
    for number in range(events):
        rate = 0.75 if (number // 300) % 2 else 0.5
        if rng.random() < rate or not owner.held:
            owner.query(number, chat=rng.randrange(80), workspace=rng.randrange(4))
        else:
            owner.release(rng.choice(list(owner.held)), failed=rng.random() < 0.01)
        owner.timers.advance(rng.expovariate(50))
        if number % 100 == 0:
            owner.admission.handle(Renewal(1, list(owner.held)), "h0")
        now = owner.timers.now()
        admission = owner.admission
        idle += bool(admission.count_queued() and admission.loads.find_available(now))
    return idle


class AdmissionTest(TestCase):
    """Invariants of a pool that has a single owner."""

    def test_grants_stay_within_bound_and_no_slot_idles(self):
        """Checked by an independent count, over 12 seeded schedules."""
        for seed in range(12):
            owner = CheckedOwner()
            with self.subTest(seed=seed):
                idle = run_schedule(owner, seed)
                self.assertEqual(([], 0), (owner.violations, idle))
                actual = Counter(owner.held.values())
                loads = owner.admission.loads.servers
                self.assertEqual(
                    actual, +Counter({n: s.in_flight for n, s in loads.items()})
                )
                self.assertTrue(owner.refusals or owner.held)

    def test_bound_check_detects_affinity_only_owner(self):
        """Placement by affinity alone exceeds the bound on the same schedule."""
        owner = CheckedOwner(admission_class=AffinityOnlyController)
        run_schedule(owner, 1)
        self.assertNotEqual([], owner.violations)

    def test_query_that_would_miss_its_target_is_refused_at_once(self):
        """A refusal says when to retry and whether the workspace exceeds its share."""
        owner = CheckedOwner(servers=1, slots=4)
        for number in range(4):
            owner.query(number, workspace=1)
        owner.timers.advance(10.0)
        owner.release(0)
        owner.query(4, workspace=1)
        before = len(owner.refusals)
        owner.query(5, workspace=1, target_ms=1600)
        self.assertEqual(before + 1, len(owner.refusals))
        self.assertEqual(Code.TARGET_UNREACHABLE, owner.refusals[-1].code)
        self.assertTrue(2000 <= owner.refusals[-1].retry_after_ms <= 10_000)
        owner.query(6, workspace=2, target_ms=60_000)
        owner.query(7, workspace=1, target_ms=1600)
        self.assertEqual(Code.WORKSPACE_OVER_SHARE, owner.refusals[-1].code)

    def test_chat_waits_briefly_for_its_server(self):
        """It gets a slot that is freed there, or else one on another server."""
        for released, expected in ((True, "e0"), (False, "e1")):
            owner = CheckedOwner(servers=2, slots=2)
            owner.admission.affinity.record_placement(7, "e0")
            owner.admission.affinity.record_placement(8, "e0")
            for number, chat in enumerate((7, 8)):
                owner.query(number, chat=chat)
            owner.query(2, chat=7, target_ms=1600)
            self.assertNotIn(2, owner.held)
            owner.timers.advance(0.05)
            if released:
                owner.release(0)
            owner.timers.advance(0.05)
            self.assertEqual(expected, owner.held[2])

    def test_queued_query_is_refused_at_its_deadline(self):
        """A query whose wait was predicted too short is refused at its deadline."""
        owner = CheckedOwner(servers=1, slots=1)
        owner.query(0)
        owner.query(1, target_ms=1000)
        owner.timers.advance(1.0)
        self.assertEqual([1], [refusal.number for refusal in owner.refusals])
        owner.release(0)
        self.assertEqual({}, owner.held)

    def test_permits_expire_without_renewal(self):
        """Permits that are not renewed are removed; renewed ones stay."""
        owner = CheckedOwner()
        owner.query(0)
        owner.query(1)
        for _ in range(8):
            owner.timers.advance(5.0)
            owner.admission.handle(Renewal(1, [1]), "h0")
        self.assertEqual([1], [number for _, number, _ in owner.admission.permits])
        owner.timers.advance(30.0)
        self.assertEqual([], list(owner.admission.permits))

    def test_lease_starts_with_first_permit(self):
        """A host without permits for a long time starts with a full lease."""
        owner = CheckedOwner()
        owner.query(0)
        owner.release(0)
        owner.timers.advance(60.0)
        owner.query(1)
        owner.timers.advance(5.0)
        self.assertEqual(1, len(list(owner.admission.permits)))

    def test_leaving_and_unknown_servers_get_no_permits(self):
        """A notice holds at once; permits on unknown servers are not counted."""
        owner = CheckedOwner(servers=2)
        owner.admission.handle(LeavingNotice(1, "e0"), "h0")
        held = [Holding(900, "gone", 1, 1)]
        owner.admission.handle(HoldingsReply(1, held), "h0")
        for number in range(10):
            owner.query(number, chat=number)
        self.assertEqual({"e1"}, set(owner.held.values()))
