"""Tests of what counts as an outage of the platform."""

import asyncio
import random

from testtools import TestCase

from oleanderpier.exception import PlatformError
from oleanderpier.replication import (
    Item,
    ItemsUpdate,
    OutageDetector,
    Replica,
    ReplicaSummary,
    WatchTiming,
    maintain_replica,
    make_position,
)
from oleanderpier.replication.outages import REPORTED_S
from oleanderpier.utils import ManualTimers, run_coroutine

SPACE = "servers"
# Entries expire no sooner than two heartbeat intervals of 1.2 s after the beginning
# of an outage.
OUTAGE_S = 2.4


class OutageDetectorTest(TestCase):
    """An outage is a time in which the platform answered no host that asked it."""

    def setUp(self):
        """Confirm a replica once."""
        super().setUp()
        self.timers = ManualTimers()
        self.timers.advance(100.0)
        self.replica = Replica(SPACE, self.timers)
        self.replica.apply(ItemsUpdate(SPACE, 0, 5, True, [Item("a", 4, b"1")]), "h2")
        self.ends_s: list[float] = []
        self.own_count = 0
        self.detector = OutageDetector(
            self.replica, self.timers, self.ends_s.append, self.count_own
        )
        self.replica.confirm_current()

    def count_own(self) -> None:
        """Count an end that is reported at once."""
        self.own_count += 1

    def fail_and_confirm_after(self, elapsed_s: float, age_s: float = 0.0) -> None:
        """Let time pass in which a call fails, then apply a peer's summary."""
        self.detector.record_failure()
        self.confirm_after(elapsed_s, age_s)

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
            self.fail_and_confirm_after(1.0, age_s=0.9)
        self.assertEqual([], self.ends_s)

    def test_reports_of_an_old_response_are_no_sign_of_the_platform(self):
        """Reports that only grow older do not shorten an outage."""
        ended_s = self.timers.now() + OUTAGE_S
        for age_s in (0.8, 1.6):
            self.confirm_after(0.8, age_s=age_s)
        self.fail_and_confirm_after(0.8)
        self.assertEqual([ended_s], self.list_ends())

    def test_outage_ends_with_the_response(self):
        """The end is when the platform answered, not when this host learnt of it."""
        ended_s = self.timers.now() + OUTAGE_S
        self.timers.advance(1.0)
        self.fail_and_confirm_after(OUTAGE_S + 0.5, age_s=1.5)
        self.assertEqual([ended_s], self.list_ends())

    def test_change_after_an_outage_ends_it(self):
        """A change that comes before the confirmation shows the return as well."""
        self.timers.advance(1.0)
        self.detector.record_failure()
        self.timers.advance(OUTAGE_S - 1.0)
        self.detector.check_age()
        self.assertEqual([self.timers.now()], self.ends_s)

    def test_loss_of_the_hosts_that_read_the_platform_is_no_outage(self):
        """Guards against keeping removed servers because their readers have ended."""
        self.confirm_after(3 * OUTAGE_S)
        self.timers.advance(3 * OUTAGE_S)
        self.detector.check_age()
        self.replica.confirm_current()
        self.assertEqual(([], 0, {}), (self.ends_s, self.own_count, self.summarize()))

    def test_own_call_in_vain_shows_an_outage_and_is_reported(self):
        """For some time after the platform's response."""
        self.timers.advance(1.0)
        self.detector.record_failure()
        self.timers.advance(OUTAGE_S)
        self.replica.confirm_current()
        ended_s = self.timers.now()
        self.timers.advance(0.5)
        self.assertEqual([ended_s], self.ends_s)
        self.assertEqual((1, [0.5]), (self.own_count, [*self.summarize().values()]))
        self.timers.advance(REPORTED_S)
        self.assertEqual({}, self.summarize())

    def test_host_that_did_not_ask_learns_of_the_outage(self):
        """In the report before the changes, or just after a confirmation."""
        for age_s, confirms_first in ((0.0, False), (0.4, False), (0.3, True)):
            self.ends_s.clear()
            self.replica.confirm_current()
            self.timers.advance(OUTAGE_S)
            if confirms_first:
                self.replica.apply_summary(5, 4, age_s)
            for _ in range(2):
                self.detector.receive_summaries(make_report(age_s))
            self.assertEqual([round(self.timers.now() - age_s, 3)], self.list_ends())
            self.timers.advance(REPORTED_S)

    def test_outage_of_one_host_is_not_taken_over(self):
        """Others had responses of the platform meanwhile."""
        self.timers.advance(OUTAGE_S)
        self.replica.confirm_current()
        self.timers.advance(1.0)
        self.replica.confirm_current()
        self.detector.receive_summaries(make_report(0.0))
        self.assertEqual([], self.ends_s)

    def summarize(self) -> dict[str, float]:
        """Return the reported ages of outages, in whole milliseconds."""
        summaries = self.detector.summarize()
        return {name: round(each.age_s, 3) for name, each in summaries.items()}

    def test_return_in_a_new_era_is_not_an_outage_again(self):
        """A silence that began before the change of era is not counted twice."""
        self.timers.advance(OUTAGE_S)
        self.detector.record_failure()
        later = ItemsUpdate(SPACE, 0, make_position(1, 9), True, [])
        self.replica.apply(later, "h2")
        self.replica.confirm_current()
        self.assertEqual(self.replica.era_changed_s, self.timers.now())
        self.assertEqual([], self.ends_s)


def make_report(age_s: float) -> dict[str, ReplicaSummary]:
    """Return the report of an outage that ended some time ago."""
    return {f"{SPACE}:outage": ReplicaSummary(0, 0, age_s)}


class _ReturningStore:
    """A platform that is out for ``OUTAGE_S``, in which an entry expires."""

    def __init__(self, timers: ManualTimers) -> None:
        self._timers = timers
        self._is_out = True
        self._returned = False

    async def read_snapshot(self, space: str) -> ItemsUpdate:
        return ItemsUpdate(space, 0, 5, True, [Item("a", 4, b"1")])

    async def wait_for_changes(
        self, space: str, after: int, wait_s: float
    ) -> ItemsUpdate:
        if self._returned:
            raise asyncio.CancelledError
        if self._is_out:
            self._is_out = False
            self._timers.advance(OUTAGE_S)
            raise PlatformError("no response")
        self._returned = True
        return ItemsUpdate(space, after, 6, False, [Item("a", 6, None)])


class WatchOrderTest(TestCase):
    """The end of an outage is known before the deletions that it explains."""

    def test_outage_ends_before_its_deletions_apply(self):
        """The watch confirms the replica first."""
        timers = ManualTimers()
        replica = Replica(SPACE, timers)
        seen: list[object] = []
        detector = OutageDetector(
            replica, timers, lambda ended_s: seen.append("outage ended")
        )
        replica.subscribe(lambda change: seen.append(change.items[0].value))
        watch = maintain_replica(
            replica,
            _ReturningStore(timers),
            timers,
            random.Random(1),
            lambda: True,
            lambda space, reachable: reachable or detector.record_failure(),
            timing=WatchTiming(batch_s=0.0, min_retry_s=0.001),
        )
        self.assertRaises(asyncio.CancelledError, run_coroutine, watch)
        self.assertEqual([b"1", "outage ended", None], seen)
