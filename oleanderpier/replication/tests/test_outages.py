"""Tests of what counts as an outage of the platform."""

import asyncio
import random

from testtools import TestCase

from oleanderpier.replication import (
    Item,
    ItemsUpdate,
    OutageDetector,
    Replica,
    WatchTiming,
    maintain_replica,
    make_position,
)
from oleanderpier.utils import ManualTimers, run_coroutine

SPACE = "servers"
# Entries expire no sooner than two heartbeat intervals of 1.2 s after the beginning
# of an outage.
OUTAGE_S = 2.4


class OutageDetectorTest(TestCase):
    """An outage is a time in which no host had a response of the platform."""

    def setUp(self):
        """Confirm a replica once."""
        super().setUp()
        self.timers = ManualTimers()
        self.timers.advance(100.0)
        self.replica = Replica(SPACE, self.timers)
        self.replica.apply(ItemsUpdate(SPACE, 0, 5, True, [Item("a", 4, b"1")]), "h2")
        self.ends_s: list[float] = []
        self.detector = OutageDetector(self.replica, self.timers, self.ends_s.append)
        self.replica.confirm_current()

    def confirm_after(self, elapsed_s: float, age_s: float = 0.0) -> None:
        """Let time pass, then apply a peer's summary of a given age."""
        self.timers.advance(elapsed_s)
        self.replica.apply_summary(5, 4, age_s)

    def list_ends(self) -> list[float]:
        """Return the noted ends, in whole milliseconds."""
        return [round(end_s, 3) for end_s in self.ends_s]

    def test_first_confirmation_ends_no_outage(self):
        """A host that starts does not take the time before for an outage."""
        self.assertEqual([], self.ends_s)

    def test_reports_of_peers_rule_out_an_outage(self):
        """While peers report fresh responses, no outage is noted."""
        for _ in range(9):
            self.confirm_after(1.0, age_s=0.9)
        self.assertEqual([], self.ends_s)

    def test_reports_of_an_old_response_are_no_sign_of_the_platform(self):
        """Reports that only grow older do not shorten an outage."""
        ended_s = self.timers.now() + OUTAGE_S
        for age_s in (0.8, 1.6):
            self.confirm_after(0.8, age_s=age_s)
        self.confirm_after(0.8)
        self.assertEqual([ended_s], self.list_ends())

    def test_outage_ends_with_the_response(self):
        """The end is when the platform answered, not when this host learnt of it."""
        ended_s = self.timers.now() + OUTAGE_S
        self.confirm_after(OUTAGE_S + 1.5, age_s=1.5)
        self.assertEqual([ended_s], self.list_ends())

    def test_change_after_an_outage_ends_it(self):
        """A change that comes before the confirmation shows the return as well."""
        self.timers.advance(OUTAGE_S)
        self.detector.check_age()
        self.assertEqual([self.timers.now()], self.ends_s)

    def test_return_in_a_new_era_is_not_an_outage_again(self):
        """A silence that began before the change of era is not counted twice."""
        self.timers.advance(OUTAGE_S)
        later = ItemsUpdate(SPACE, 0, make_position(1, 9), True, [])
        self.replica.apply(later, "h2")
        self.replica.confirm_current()
        self.assertEqual(self.replica.era_changed_s, self.timers.now())
        self.assertEqual([], self.ends_s)


class _ReturningStore:
    """A platform that is out for ``OUTAGE_S``, in which an entry expires."""

    def __init__(self, timers: ManualTimers) -> None:
        self._timers = timers
        self._is_out = True

    async def read_snapshot(self, space: str) -> ItemsUpdate:
        return ItemsUpdate(space, 0, 5, True, [Item("a", 4, b"1")])

    async def wait_for_changes(
        self, space: str, after: int, wait_s: float
    ) -> ItemsUpdate:
        if not self._is_out:
            raise asyncio.CancelledError
        self._is_out = False
        self._timers.advance(OUTAGE_S)
        return ItemsUpdate(space, after, 6, False, [Item("a", 6, None)])


class WatchOrderTest(TestCase):
    """The end of an outage is known before the deletions that it explains."""

    def test_outage_ends_before_its_deletions_apply(self):
        """The watch confirms the replica first."""
        timers = ManualTimers()
        replica = Replica(SPACE, timers)
        seen: list[object] = []
        OutageDetector(replica, timers, lambda ended_s: seen.append("outage ended"))
        replica.subscribe(lambda change: seen.append(change.items[0].value))
        watch = maintain_replica(
            replica,
            _ReturningStore(timers),
            timers,
            random.Random(1),
            lambda: True,
            lambda space, reachable: None,
            timing=WatchTiming(batch_s=0.0),
        )
        self.assertRaises(asyncio.CancelledError, run_coroutine, watch)
        self.assertEqual([b"1", "outage ended", None], seen)
